"""Threads that wait for a slot, and the zones in which pools have hosts."""

import threading

from returns.result import Result

from lentilrill.fleet import FleetView, HostEntry, HostPhase
from lentilrill.ids import HostId, PoolId, RequestId, ZoneId
from lentilrill.inner import MAX_JOB_RUN_S, Refusal
from lentilrill.routing._contract import Decline, Job, Slot

__all__ = ["PoolZones", "Waiter", "answer_s", "decline"]

REASONS = {
    Refusal.QUEUE_FULL: "the pool's queue is full",
    Refusal.PLAN_LIMIT: "the plan is at its limit",
    Refusal.TOO_LATE: "the job can't start in time",
    Refusal.NO_HOSTS: "the pool has no host that may run the job",
    Refusal.NOT_SCHEDULER: "the pool has no scheduler now",
}


def decline(refusal: Refusal, retry_after_s: float | None) -> Decline:
    """Return the decline for a refusal."""
    return Decline(refusal, REASONS[refusal], retry_after_s)


def answer_s(job: Job, now: float) -> float:
    """Return the seconds from now until which a job may run."""
    return max(0.0, job.answer_by - now) if job.answer_by else MAX_JOB_RUN_S


class Waiter:
    """One thread that waits in :meth:`SlotClient.acquire`.

    :ivar ask: identifies this attempt to schedulers; a later attempt of the job has another.
    :ivar scheduler_address: address of the scheduler that was asked last.
    :ivar redirected_at: when the asked process first answered that it is not the scheduler.
    """

    def __init__(self, job: Job, pool: PoolId, ask: RequestId) -> None:
        self.job = job
        self.pool = pool
        self.ask = ask
        self.scheduler_address = ""
        self.redirected_at: float | None = None
        self.woken = threading.Event()
        self.answer: Result[Slot, Decline] | None = None


class PoolZones:
    """Zones in which each pool has serving hosts, computed once for each state of the view."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._hosts_read: dict[HostId, tuple[PoolId, HostEntry]] = {}
        self._zones_by_pool: dict[PoolId, set[ZoneId]] = {}

    def serving(self) -> dict[PoolId, set[ZoneId]]:
        """Return the zones with serving hosts by pool."""
        hosts_by_id = self._view.hosts_by_id
        if hosts_by_id is not self._hosts_read:
            zones_by_pool: dict[PoolId, set[ZoneId]] = {}
            for pool, entry in hosts_by_id.values():
                if entry.phase is HostPhase.SERVING:
                    zones_by_pool.setdefault(pool, set()).add(entry.zone)
            self._zones_by_pool = zones_by_pool
            self._hosts_read = hosts_by_id
        return self._zones_by_pool
