"""Outlier detection: ejection of failing hosts, and probes that restore them."""

from enum import Enum

import msgspec

from lentilrill.ids import HostId, PlanId, PoolId
from lentilrill.inner import Verdict
from lentilrill.telemetry import Event, log

__all__ = ["Health", "HealthTable", "log_health"]

SCORE_SMOOTHING = 0.2
EJECT_SCORE = 0.8
UNREACHABLE_TO_EJECT = 3
PROBES_TO_RESTORE = 3
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 60.0
LEAVING_PAUSE_S = 600.0

FAILURES = (Verdict.ERROR, Verdict.UNREACHABLE, Verdict.BROKEN)


class Health(Enum):
    """Health of a host, judged by the results of its jobs."""

    GOOD = "good"
    LAST_RESORT = "last"
    """The host fails, but ejecting it would exceed the availability budget. It gets one job at a
    time when no good host has a free slot, and none for a second after a failure."""
    EJECTED = "ejected"
    """The host fails: it gets one probe job at a time, after a pause that grows."""
    LEAVING = "leaving"
    """The host's endpoint reported that it is leaving."""


def log_health(pool: PoolId, host: HostId, health: Health) -> None:
    """Log that a host's health changed to ``health``."""
    match health:
        case Health.LEAVING:
            log(Event.HOST_LEAVING, pool=pool, host=host)
        case Health.GOOD:
            log(Event.HOST_RESTORED, pool=pool, host=host)
        case _:
            log(Event.HOST_EJECTED, pool=pool, host=host, health=health.value)


class _HostHealth(msgspec.Struct):
    health: Health = Health.GOOD
    score: float = 0.0
    consecutive_unreachable: int = 0
    consecutive_ok: int = 0
    pause_s: float = 0.0
    next_probe_at: float = 0.0


class HealthTable:
    """Health of hosts, from the verdicts on their jobs.

    A host that fails every job at once always has free slots, so it would attract and fail most
    of the pool's jobs. Its failure score nears 1 within a dozen jobs, and it is ejected. Failures
    of a plan whose jobs fail on every host are ignored, or one plan's bad jobs would eject the
    whole pool.

    :ivar max_ejected: maximum number of ejected hosts.
    """

    def __init__(self) -> None:
        self.max_ejected = 0
        self._records_by_host: dict[HostId, _HostHealth] = {}
        self._ok_by_host_by_plan: dict[PlanId, dict[HostId, bool]] = {}

    def health(self, host: HostId) -> Health:
        """Return the health of ``host``."""
        record = self._records_by_host.get(host)
        return record.health if record is not None else Health.GOOD

    def hosts_with(self, health: Health) -> tuple[HostId, ...]:
        """Return the hosts with the given health, sorted."""
        records = self._records_by_host.items()
        return tuple(sorted(host for host, record in records if record.health is health))

    def probe_due(self, host: HostId, now: float) -> bool:
        """Return whether the pause before the next probe of ``host`` is over."""
        record = self._records_by_host[host]
        return now >= record.next_probe_at

    def record_verdict(self, host: HostId, plan: PlanId, verdict: Verdict, now: float) -> bool:
        """Record the verdict on one job; return whether the host's health changed."""
        record = self._records_by_host.setdefault(host, _HostHealth())
        before = record.health
        if verdict is Verdict.LEAVING:
            record.health = Health.LEAVING
            record.next_probe_at = now + LEAVING_PAUSE_S
        elif verdict is Verdict.OK:
            self._succeeded(host, record, plan)
        elif verdict in FAILURES:
            self._failed(host, record, plan, verdict, now)
        return record.health is not before

    def retain_hosts(self, hosts: set[HostId]) -> tuple[HostId, ...]:
        """Remove all hosts except ``hosts``, and reduce the ejected hosts to the maximum.

        :return: the hosts that are no longer ejected, but a last resort.
        """
        for host in self._records_by_host.keys() - hosts:
            del self._records_by_host[host]
        for results in self._ok_by_host_by_plan.values():
            for host in results.keys() - hosts:
                del results[host]
        surplus = self.hosts_with(Health.EJECTED)[max(0, self.max_ejected) :]
        for host in surplus:
            self._records_by_host[host].health = Health.LAST_RESORT
        return surplus

    def retain_plans(self, plans: set[PlanId]) -> None:
        """Remove the results of all plans except ``plans``."""
        for plan in self._ok_by_host_by_plan.keys() - plans:
            del self._ok_by_host_by_plan[plan]

    def _succeeded(self, host: HostId, record: _HostHealth, plan: PlanId) -> None:
        record.score *= 1.0 - SCORE_SMOOTHING
        record.consecutive_unreachable = 0
        record.consecutive_ok += 1
        self._ok_by_host_by_plan.setdefault(plan, {})[host] = True
        if record.health is not Health.GOOD and record.consecutive_ok >= PROBES_TO_RESTORE:
            record.health = Health.GOOD
            record.score = 0.0
            record.pause_s /= 2.0
        elif record.health is Health.EJECTED:
            record.next_probe_at = 0.0

    def _failed(
        self, host: HostId, record: _HostHealth, plan: PlanId, verdict: Verdict, now: float
    ) -> None:
        record.consecutive_ok = 0
        self._ok_by_host_by_plan.setdefault(plan, {})[host] = False
        if verdict is Verdict.UNREACHABLE:
            record.consecutive_unreachable += 1
        elif self._fails_everywhere(plan, host):
            return
        record.score += SCORE_SMOOTHING * (1.0 - record.score)
        fails = (
            record.score >= EJECT_SCORE or record.consecutive_unreachable >= UNREACHABLE_TO_EJECT
        )
        if record.health is Health.EJECTED:
            # Only a failed probe increases the pause. The jobs that were running when the host
            # was ejected fail together, and would raise the first pause to the maximum.
            if now >= record.next_probe_at:
                self._extend_pause(record, now)
        elif fails and record.health is not Health.LEAVING:
            self._eject(record, now)

    def _fails_everywhere(self, plan: PlanId, host: HostId) -> bool:
        elsewhere = [ok for other, ok in self._ok_by_host_by_plan[plan].items() if other != host]
        return bool(elsewhere) and not any(elsewhere)

    def _eject(self, record: _HostHealth, now: float) -> None:
        if len(self.hosts_with(Health.EJECTED)) >= self.max_ejected:
            record.health = Health.LAST_RESORT
            record.next_probe_at = now + MIN_PAUSE_S
            return
        record.health = Health.EJECTED
        self._extend_pause(record, now)

    def _extend_pause(self, record: _HostHealth, now: float) -> None:
        record.pause_s = min(max(MIN_PAUSE_S, record.pause_s * 2.0), MAX_PAUSE_S)
        record.next_probe_at = now + record.pause_s
