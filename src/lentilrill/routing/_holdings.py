"""The grants that this gateway holds, and its reports of them to schedulers."""

import threading
from collections.abc import Callable

import msgspec

from lentilrill.ids import GrantId, HostId, PoolId
from lentilrill.inner import Batch, Done, GrantCopy, Held, HeldAsk, HeldGrants, Node, Verdict
from lentilrill.routing._contract import Job, Slot
from lentilrill.routing._placement import Placement, caller_of
from lentilrill.routing._schedulers import SchedulerHost
from lentilrill.routing._waiting import answer_s
from lentilrill.telemetry import Event, log

__all__ = ["Holding", "Holdings"]

REPORT_S = 2.0


class Holding(msgspec.Struct, frozen=True):
    """A grant held by this gateway, with its job."""

    grant: GrantId
    host: HostId
    job: Job

    def report(self, now: float) -> Held:
        """Return the entry for a report to schedulers."""
        return Held(self.grant, self.host, self.job.plan.id, answer_s(self.job, now))


class Holdings:
    """Grants held by this gateway, by pool. Thread-safe."""

    def __init__(
        self,
        node: Node,
        placement: Placement,
        schedulers: SchedulerHost,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._placement = placement
        self._schedulers = schedulers
        self._clock = clock
        self._lock = threading.Lock()
        self._held_by_pool: dict[PoolId, dict[GrantId, Holding]] = {}
        self._reported = clock()
        node.on(HeldAsk, self._asked)

    def has(self, pool: PoolId, grant: GrantId) -> bool:
        """Return whether a grant is held."""
        with self._lock:
            return grant in self._held_by_pool.get(pool, ())

    def add(self, pool: PoolId, holding: Holding) -> None:
        """Add a grant."""
        with self._lock:
            self._held_by_pool.setdefault(pool, {})[holding.grant] = holding
            self._copy(GrantCopy(pool, held=(holding.report(self._clock()),)))

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Remove a grant and report its end to the pool's scheduler."""
        scheduler = self._placement.scheduler(slot.pool)
        address = scheduler.inner if scheduler is not None else ""
        with self._lock:
            held = self._held_by_pool.get(slot.pool, {}).pop(slot.grant, None)
            if held is None:
                log(Event.ROUTING_INVARIANT, pool=slot.pool, reason="a slot was released twice")
                return
            plan = held.job.plan.id
            done = Done(slot.pool, slot.grant, slot.host, plan, verdict, run_s)
            # Sent under the lock, so that an older report of held grants can't arrive after it.
            if address and address != self._node.address:
                self._node.send(address, done)
            self._copy(GrantCopy(slot.pool, ended=(slot.grant,)))
        if address == self._node.address:
            self._schedulers.done(done)

    def report_all(self) -> None:
        """Report the held grants to each pool's scheduler."""
        with self._lock:
            pools = [pool for pool, held in self._held_by_pool.items() if held]
        for pool in pools:
            self._report(pool)
            self._copy_all(pool)

    def tick(self) -> None:
        """Report the held grants about every two seconds, as earlier reports may have been lost."""
        now = self._clock()
        if now - self._reported < REPORT_S:
            return
        self._reported = now
        with self._lock:
            pools = list(self._held_by_pool)
        for pool in pools:
            if self._placement.is_mine(pool):  # calls within the process don't get lost
                self._copy_all(pool)
            else:
                self._report(pool)

    def _copy_all(self, pool: PoolId) -> None:
        with self._lock:
            self._copy(GrantCopy(pool, held=self._held(pool), whole=True))

    def _copy(self, copy: GrantCopy) -> None:
        # Sent under the lock, so that an older full copy can't arrive after the end of a grant.
        deputy = self._placement.deputy(copy.pool)
        if deputy is not None and self._placement.is_mine(copy.pool):
            self._node.send(deputy.inner, copy)

    def _held(self, pool: PoolId) -> tuple[Held, ...]:
        now = self._clock()
        holdings = self._held_by_pool.get(pool, {}).values()
        return tuple(holding.report(now) for holding in holdings)

    def _report(self, pool: PoolId, address: str = "") -> None:
        if not address:
            scheduler = self._placement.scheduler(pool)
            if scheduler is None:
                return
            address = scheduler.inner
        with self._lock:
            report = HeldGrants(pool, self._held(pool))
            if address != self._node.address:
                self._node.send(address, report)
                return
        self._schedulers.held(report, caller_of(self._placement.me))

    def _asked(self, batch: Batch, ask: HeldAsk) -> None:
        del batch
        self._report(ask.pool, ask.reply_to)
