"""The outstanding grants of a scheduler."""

from collections import OrderedDict
from collections.abc import Callable, Iterator

import msgspec

from lentilrill.ids import GrantId, HostId, PlanId
from lentilrill.inner import Held
from lentilrill.routing._queue import AskKey, GatewayInstance

__all__ = ["Grant", "GrantTable"]

REPORT_GRACE_S = 3.0
MISSED_REPORTS_TO_FREE = 2
SILENT_GATEWAY_S = 900.0
MAX_RECENTLY_ENDED = 4096


class Grant(msgspec.Struct):
    """One slot that a gateway holds.

    :param key: the ask that it answers; ``None`` if it is known only from a gateway's report.
    :param answer_by: monotonic seconds until which its job may run.
    :param expected_s: expected run time that was charged to its plan.
    :param silent_since: when its gateway was first missing from the live gateways; ``None``
        while it is live.
    """

    id: GrantId
    host: HostId
    plan: PlanId
    gateway: GatewayInstance
    key: AskKey | None
    granted_at: float
    expected_s: float
    answer_by: float
    missed_reports: int = 0
    silent_since: float | None = None


class GrantTable:
    """Grants by id and by ask. Each is ended once."""

    def __init__(self) -> None:
        self._grants_by_id: dict[GrantId, Grant] = {}
        self._grants_by_key: dict[AskKey, Grant] = {}
        self._running_by_plan: dict[PlanId, int] = {}
        self._orphan_until_by_host: dict[HostId, float] = {}
        self._recently_ended: OrderedDict[GrantId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._grants_by_id)

    def __iter__(self) -> Iterator[Grant]:
        return iter(list(self._grants_by_id.values()))

    def __contains__(self, grant: GrantId) -> bool:
        return grant in self._grants_by_id

    def has_ended(self, grant: GrantId) -> bool:
        """Return whether a grant ended recently.

        A report of held grants may arrive after the end of one of them. If it were entered as a
        grant not known yet, it would occupy a slot until two later reports omit it.
        """
        return grant in self._recently_ended

    def find_by_ask(self, key: AskKey) -> Grant | None:
        """Return the grant that answered an ask."""
        return self._grants_by_key.get(key)

    def plans_with_old_grants(self, before: float) -> set[PlanId]:
        """Return the plans with at least half of their grants made before ``before``."""
        old_by_plan: dict[PlanId, int] = {}
        for grant in self:
            if grant.granted_at < before:
                old_by_plan[grant.plan] = old_by_plan.get(grant.plan, 0) + 1
        return {plan for plan, old in old_by_plan.items() if 2 * old >= self.running(plan)}

    def plans(self) -> tuple[PlanId, ...]:
        """Return the plans that hold grants."""
        return tuple(self._running_by_plan)

    def running(self, plan: PlanId) -> int:
        """Return how many grants ``plan`` holds."""
        return self._running_by_plan.get(plan, 0)

    def add(self, grant: Grant) -> None:
        """Add a grant."""
        self._grants_by_id[grant.id] = grant
        if grant.key is not None:
            self._grants_by_key[grant.key] = grant
        self._running_by_plan[grant.plan] = self.running(grant.plan) + 1

    def end(self, grant: GrantId) -> Grant | None:
        """Remove and return a grant, or return ``None`` if it has ended already."""
        self._recently_ended[grant] = None
        if len(self._recently_ended) > MAX_RECENTLY_ENDED:
            self._recently_ended.popitem(last=False)
        ended = self._grants_by_id.pop(grant, None)
        if ended is None:
            return None
        if ended.key is not None:
            self._grants_by_key.pop(ended.key, None)
        remaining = self.running(ended.plan) - 1
        if remaining:
            self._running_by_plan[ended.plan] = remaining
        else:
            del self._running_by_plan[ended.plan]
        return ended

    def find_unreported(
        self, gateway: GatewayInstance, held: tuple[Held, ...], now: float
    ) -> list[Grant]:
        """Return the grants of ``gateway`` that were missing from two reports in a row.

        If the message that a grant is over, or the grant itself, is lost, its slot would stay
        occupied for good. A grant may be in transit while the gateway makes its report, so
        grants younger than a few seconds are skipped.
        """
        listed = {item.grant for item in held}
        lost: list[Grant] = []
        for grant in self:
            if grant.gateway != gateway:
                continue
            if grant.id in listed:
                grant.missed_reports = 0
            elif now - grant.granted_at > REPORT_GRACE_S:
                grant.missed_reports += 1
                if grant.missed_reports >= MISSED_REPORTS_TO_FREE:
                    lost.append(grant)
        return lost

    def record_orphan(self, grant: Grant, now: float) -> None:
        """Record until when the job of an ended gateway may run on its host."""
        orphans = {host: until for host, until in self._orphan_until_by_host.items() if until > now}
        orphans[grant.host] = max(orphans.get(grant.host, 0.0), grant.answer_by)
        self._orphan_until_by_host = orphans

    def has_orphan(self, host: HostId, now: float) -> bool:
        """Return whether the job of an ended gateway may still run on ``host``."""
        return self._orphan_until_by_host.get(host, 0.0) > now

    def find_orphans(
        self, alive: set[GatewayInstance], is_gone: Callable[[GatewayInstance], bool], now: float
    ) -> list[Grant]:
        """Return the grants of gateways that ended, or were not live for a very long time.

        A gateway that is not live may be paused or partitioned while its jobs still run on the
        host, so its grants are not freed at first. The timeout is for a gateway whose end is
        never confirmed; a slot granted twice then only costs a place in the endpoint's queue.
        """
        ended: list[Grant] = []
        gone_by_gateway: dict[GatewayInstance, bool] = {}
        for grant in self:
            if grant.gateway in alive:
                grant.silent_since = None
                continue
            if grant.silent_since is None:
                grant.silent_since = now
            if grant.gateway not in gone_by_gateway:
                gone_by_gateway[grant.gateway] = is_gone(grant.gateway)
            silent_s = now - grant.silent_since
            if gone_by_gateway[grant.gateway] or silent_s > SILENT_GATEWAY_S:
                ended.append(grant)
        return ended
