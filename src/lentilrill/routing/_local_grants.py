"""The grants that this gateway holds, and its reports of them to schedulers."""

import threading
from collections.abc import Callable

import msgspec

from lentilrill.ids import GrantId, HostId, PoolId
from lentilrill.inner import Batch, Done, GrantCopy, Held, HeldAsk, HeldGrants, Node, Verdict
from lentilrill.routing._contract import Job, Slot
from lentilrill.routing._placement import Placement, instance_of
from lentilrill.routing._schedulers import LocalSchedulers
from lentilrill.routing._waiters import answer_s
from lentilrill.telemetry import Event, log

__all__ = ["LocalGrant", "LocalGrants"]

REPORT_S = 2.0


class LocalGrant(msgspec.Struct, frozen=True):
    """A grant held by this gateway, with its job."""

    grant: GrantId
    host: HostId
    job: Job

    def to_held(self, now: float) -> Held:
        """Return the entry for a report to schedulers."""
        return Held(self.grant, self.host, self.job.plan.id, answer_s(self.job, now))


class LocalGrants:
    """Grants held by this gateway, by pool. Thread-safe."""

    def __init__(
        self,
        node: Node,
        placement: Placement,
        schedulers: LocalSchedulers,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._placement = placement
        self._schedulers = schedulers
        self._clock = clock
        self._lock = threading.Lock()
        self._grants_by_pool: dict[PoolId, dict[GrantId, LocalGrant]] = {}
        self._reported_at = clock()
        node.on(HeldAsk, self._on_held_ask)

    def has(self, pool: PoolId, grant: GrantId) -> bool:
        """Return whether a grant is held."""
        with self._lock:
            return grant in self._grants_by_pool.get(pool, ())

    def add(self, pool: PoolId, local_grant: LocalGrant) -> None:
        """Add a grant."""
        with self._lock:
            self._grants_by_pool.setdefault(pool, {})[local_grant.grant] = local_grant
            self._send_copy(GrantCopy(pool, held=(local_grant.to_held(self._clock()),)))

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Remove a grant and report its end to the pool's scheduler."""
        scheduler = self._placement.scheduler(slot.pool)
        address = scheduler.inner if scheduler is not None else ""
        with self._lock:
            local_grant = self._grants_by_pool.get(slot.pool, {}).pop(slot.grant, None)
            if local_grant is None:
                log(Event.ROUTING_INVARIANT, pool=slot.pool, reason="a slot was released twice")
                return
            plan = local_grant.job.plan.id
            done = Done(slot.pool, slot.grant, slot.host, plan, verdict, run_s)
            # Sent under the lock, so that an older report of held grants can't arrive after it.
            if address and address != self._node.address:
                self._node.send(address, done)
            self._send_copy(GrantCopy(slot.pool, ended=(slot.grant,)))
        if address == self._node.address:
            self._schedulers.on_done(done)

    def report_all(self) -> None:
        """Report the held grants to each pool's scheduler."""
        with self._lock:
            pools = [pool for pool, grants in self._grants_by_pool.items() if grants]
        for pool in pools:
            self._report(pool)
            self._send_full_copy(pool)

    def tick(self) -> None:
        """Report the held grants about every two seconds, as earlier reports may have been lost."""
        now = self._clock()
        if now - self._reported_at < REPORT_S:
            return
        self._reported_at = now
        with self._lock:
            pools = list(self._grants_by_pool)
        for pool in pools:
            if self._placement.is_mine(pool):  # calls within the process don't get lost
                self._send_full_copy(pool)
            else:
                self._report(pool)

    def _send_full_copy(self, pool: PoolId) -> None:
        with self._lock:
            self._send_copy(GrantCopy(pool, held=self._held_grants(pool), whole=True))

    def _send_copy(self, copy: GrantCopy) -> None:
        # Sent under the lock, so that an older full copy can't arrive after the end of a grant.
        next_scheduler = self._placement.next_scheduler(copy.pool)
        if next_scheduler is not None and self._placement.is_mine(copy.pool):
            self._node.send(next_scheduler.inner, copy)

    def _held_grants(self, pool: PoolId) -> tuple[Held, ...]:
        now = self._clock()
        local_grants = self._grants_by_pool.get(pool, {}).values()
        return tuple(local_grant.to_held(now) for local_grant in local_grants)

    def _report(self, pool: PoolId, address: str = "") -> None:
        if not address:
            scheduler = self._placement.scheduler(pool)
            if scheduler is None:
                return
            address = scheduler.inner
        with self._lock:
            report = HeldGrants(pool, self._held_grants(pool))
            if address != self._node.address:
                self._node.send(address, report)
                return
        self._schedulers.on_held_grants(report, instance_of(self._placement.me))

    def _on_held_ask(self, batch: Batch, ask: HeldAsk) -> None:
        del batch
        self._report(ask.pool, ask.reply_to)
