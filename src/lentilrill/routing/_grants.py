"""The grants that a scheduler has given and that are not over."""

from collections import OrderedDict
from collections.abc import Callable, Iterator

import msgspec

from lentilrill.ids import GrantId, HostId, PlanId
from lentilrill.inner import Held
from lentilrill.routing._queue import AskKey, Caller

__all__ = ["Grant", "GrantBook"]

UNLISTED_S = 3.0
UNLISTED_REPORTS = 2
SILENT_GATEWAY_S = 900.0
ENDED_KEPT = 4096


class Grant(msgspec.Struct):
    """One slot that a gateway holds.

    :param key: the ask that it answers; ``None`` if only the gateway's report tells of it.
    :param answer_by: monotonic seconds until which its job may run.
    :param expected_s: run time that its plan was charged.
    :param silent_since: when its gateway was last heard; ``None`` while it is heard.
    """

    id: GrantId
    host: HostId
    plan: PlanId
    caller: Caller
    key: AskKey | None
    given: float
    expected_s: float
    answer_by: float
    unlisted: int = 0
    silent_since: float | None = None


class GrantBook:
    """Grants by id, by ask and by gateway. Each is ended once."""

    def __init__(self) -> None:
        self._grants_by_id: dict[GrantId, Grant] = {}
        self._grants_by_key: dict[AskKey, Grant] = {}
        self._running_by_plan: dict[PlanId, int] = {}
        self._orphaned_until: dict[HostId, float] = {}
        self._ended_lately: OrderedDict[GrantId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._grants_by_id)

    def __iter__(self) -> Iterator[Grant]:
        return iter(list(self._grants_by_id.values()))

    def __contains__(self, grant: GrantId) -> bool:
        return grant in self._grants_by_id

    def has_ended(self, grant: GrantId) -> bool:
        """Return whether a grant ended a short while ago.

        Guard against a report of held grants that crosses the end of one of them: taken for a
        grant still unknown, it would hold its slot until two later reports leave it out.
        """
        return grant in self._ended_lately

    def of_ask(self, key: AskKey) -> Grant | None:
        """Return the grant that answered an ask."""
        return self._grants_by_key.get(key)

    def held_long(self, before: float) -> set[PlanId]:
        """Return plans of which at least half of the grants were given before ``before``."""
        old_by_plan: dict[PlanId, int] = {}
        for grant in self:
            if grant.given < before:
                old_by_plan[grant.plan] = old_by_plan.get(grant.plan, 0) + 1
        return {plan for plan, old in old_by_plan.items() if 2 * old >= self.running(plan)}

    def plans(self) -> tuple[PlanId, ...]:
        """Return the plans that hold grants."""
        return tuple(self._running_by_plan)

    def running(self, plan: PlanId) -> int:
        """Return how many grants ``plan`` holds."""
        return self._running_by_plan.get(plan, 0)

    def add(self, grant: Grant) -> None:
        """Enter a grant."""
        self._grants_by_id[grant.id] = grant
        if grant.key is not None:
            self._grants_by_key[grant.key] = grant
        self._running_by_plan[grant.plan] = self.running(grant.plan) + 1

    def end(self, grant: GrantId) -> Grant | None:
        """Remove and return a grant, if it is not over yet."""
        self._ended_lately[grant] = None
        if len(self._ended_lately) > ENDED_KEPT:
            self._ended_lately.popitem(last=False)
        ended = self._grants_by_id.pop(grant, None)
        if ended is None:
            return None
        if ended.key is not None:
            self._grants_by_key.pop(ended.key, None)
        left = self.running(ended.plan) - 1
        if left:
            self._running_by_plan[ended.plan] = left
        else:
            del self._running_by_plan[ended.plan]
        return ended

    def unreported(self, caller: Caller, held: tuple[Held, ...], now: float) -> list[Grant]:
        """Return grants that ``caller`` should hold, but left out of two reports in a row.

        Guard against slots lost with a message: the report that a grant is over, or the grant
        itself, did not arrive, and its slot would stay taken for good. A grant that is on its
        way while the gateway makes its report is younger than the bound.
        """
        listed = {item.grant for item in held}
        lost: list[Grant] = []
        for grant in self:
            if grant.caller != caller:
                continue
            if grant.id in listed:
                grant.unlisted = 0
            elif now - grant.given > UNLISTED_S:
                grant.unlisted += 1
                if grant.unlisted >= UNLISTED_REPORTS:
                    lost.append(grant)
        return lost

    def note_orphan(self, grant: Grant, now: float) -> None:
        """Remember until when the job of an ended gateway may run on its host."""
        kept = {host: until for host, until in self._orphaned_until.items() if until > now}
        kept[grant.host] = max(kept.get(grant.host, 0.0), grant.answer_by)
        self._orphaned_until = kept

    def orphaned(self, host: HostId, now: float) -> bool:
        """Return whether the job of an ended gateway may still run on ``host``."""
        return self._orphaned_until.get(host, 0.0) > now

    def orphans(
        self, alive: set[Caller], is_gone: Callable[[Caller], bool], now: float
    ) -> list[Grant]:
        """Return grants whose gateway has ended, by proof or after a very long silence.

        A silent gateway may be paused or cut off while its jobs go on running on the host, so
        silence alone frees nothing at first. The bound is there for a gateway whose end is
        never proved; a slot given twice then costs a place in the endpoint's queue, no more.
        """
        ended: list[Grant] = []
        gone_by_caller: dict[Caller, bool] = {}
        for grant in self:
            if grant.caller in alive:
                grant.silent_since = None
                continue
            if grant.silent_since is None:
                grant.silent_since = now
            if grant.caller not in gone_by_caller:
                gone_by_caller[grant.caller] = is_gone(grant.caller)
            silent_s = now - grant.silent_since
            if gone_by_caller[grant.caller] or silent_s > SILENT_GATEWAY_S:
                ended.append(grant)
        return ended
