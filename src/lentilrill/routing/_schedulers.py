"""The pool schedulers that run in this process, and the dispatch of their messages."""

import random
import threading
import time
from collections import deque
from collections.abc import Callable

from lentilrill.fleet import FleetView
from lentilrill.ids import HostId, PoolId, RequestId
from lentilrill.inner import (
    Ask,
    Batch,
    Cancel,
    Done,
    GrantCopy,
    Granted,
    HeldGrants,
    Message,
    Node,
    PoolLoad,
    Refusal,
    Refused,
)
from lentilrill.routing._copies import GrantCopies
from lentilrill.routing._health import Health
from lentilrill.routing._peer_news import PeerNews, Scheduled
from lentilrill.routing._placement import Placement, caller_of_batch
from lentilrill.routing._queue import Caller
from lentilrill.routing._scheduler import PoolScheduler, Reply
from lentilrill.routing._terms import pool_terms
from lentilrill.telemetry import Event, Metrics, NoMetrics, log

__all__ = ["SchedulerHost"]

INSISTED_S = 10.0
EPOCH_BITS = 62
FORGET_S = 60.0

Answer = Callable[[str, Granted | Refused], None]


class SchedulerHost:
    """Runs the schedulers of the pools that are assigned to this process in its zone.

    :ivar answer: receives the grants and refusals for this process itself.
    :ivar woken: set when an ask is queued, so that ticks become frequent.
    """

    def __init__(
        self,
        node: Node,
        view: FleetView,
        placement: Placement,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.woken = threading.Event()
        self.answer: Answer = lambda sender, message: None
        self._node = node
        self._view = view
        self._placement = placement
        self._clock = clock
        self._rng = rng or random.SystemRandom()
        self._peers = PeerNews(node, placement, metrics or NoMetrics())
        self._copies = GrantCopies(clock)
        self._lock = threading.Lock()
        self._delivering = threading.local()
        self._refreshing = threading.Lock()
        self._scheduled_by_pool: dict[PoolId, Scheduled] = {}
        self._forgot = clock()
        node.on(Ask, lambda batch, ask: self.ask(ask, caller_of_batch(batch)))
        node.on(Cancel, lambda batch, cancel: self.cancel(cancel, caller_of_batch(batch)))
        node.on(Done, lambda batch, done: self.done(done))
        node.on(HeldGrants, lambda batch, held: self.held(held, caller_of_batch(batch)))
        node.on(PoolLoad, self._hear)
        node.on(GrantCopy, lambda batch, copy: self._copies.hear(copy, caller_of_batch(batch)))

    @property
    def schedulers_by_pool(self) -> dict[PoolId, PoolScheduler]:
        """The schedulers that run in this process."""
        with self._lock:
            return {pool: held.scheduler for pool, held in self._scheduled_by_pool.items()}

    @property
    def busy(self) -> bool:
        """Whether an ask is queued, or a scheduler lacks reports of held grants."""
        schedulers = [held.scheduler for _, held in self._all()]
        return any(scheduler.waiting or scheduler.awaited for scheduler in schedulers)

    def ask(self, ask: Ask, caller: Caller) -> None:
        """Handle an ask from a gateway of this zone."""
        wanted = ask.insist or self._placement.is_mine(ask.pool)
        if not self._runs(ask.pool) and not (wanted and ask.pool in self._view.pools_by_id):
            refused = Refused(ask.request, ask.pool, Refusal.NOT_SCHEDULER)
            self._deliver([Reply(caller.address, refused)])
            return
        held = self._scheduled(ask.pool)
        if ask.insist:
            held.insisted = self._clock()
        self._decide(ask.pool, lambda scheduler: scheduler.ask(ask, caller))

    def cancel(self, cancel: Cancel, caller: Caller) -> None:
        """Handle the cancellation of an ask."""
        request: RequestId = cancel.request
        self._decide(cancel.pool, lambda scheduler: scheduler.cancel(request, caller))

    def done(self, done: Done) -> None:
        """Handle the report that a grant is over."""
        self._decide(done.pool, lambda scheduler: scheduler.done(done))

    def held(self, report: HeldGrants, caller: Caller) -> None:
        """Handle a gateway's report of the grants that it holds."""
        self._decide(report.pool, lambda scheduler: scheduler.held(report, caller))

    def occupies(self, host: HostId) -> bool:
        """Return whether a job may run on ``host`` under a grant that is known here."""
        for _, held in self._all():
            with held.lock:
                if held.scheduler.occupies(host):
                    return True
        return self._copies.occupies(host)

    def refresh(self) -> None:
        """Start, configure and stop schedulers by the current view and membership."""
        with self._refreshing:
            zone = self._placement.me.zone
            for pool in self._pools_here():
                if self._placement.is_mine(pool):
                    self._scheduled(pool)
            for pool, held in self._all():
                if self._is_over(pool, held):
                    self._resign(pool, held)
                else:
                    terms = pool_terms(self._view, pool, zone)
                    self._decide(pool, lambda s, terms=terms: s.configure(terms))  # type: ignore[misc]

    def tick(self) -> None:
        """Do the periodic work: refusals, reports to peers, freeing of grants."""
        alive = self._placement.callers()
        now = self._clock()
        self._copies.tick(alive)
        for pool, held in self._all():
            self._decide(pool, lambda s: s.tick(alive, self._placement.is_gone))
            self._peers.ask_held(held, now)
            self._peers.tell_load(held, now)
            if self._is_over(pool, held):
                self._resign(pool, held)
        if self._peers.trouble_due(now):
            self._peers.tell_trouble(
                self._of_health(Health.EJECTED), self._of_health(Health.LEAVING)
            )
        if now - self._forgot >= FORGET_S:
            self._forgot = now
            self._forget_ended()

    def _forget_ended(self) -> None:
        holders: set[Caller] = set()
        for _, held in self._all():
            with held.lock:
                holders |= held.scheduler.holders
        self._placement.forget(holders)

    def _pools_here(self) -> list[PoolId]:
        zone = self._placement.me.zone
        pools = {pool for pool, entry in self._view.hosts_by_id.values() if entry.zone == zone}
        return sorted(pools)

    def _all(self) -> list[tuple[PoolId, Scheduled]]:
        with self._lock:
            return list(self._scheduled_by_pool.items())

    def _runs(self, pool: PoolId) -> bool:
        return pool in self._scheduled_by_pool

    def _scheduled(self, pool: PoolId) -> Scheduled:
        held = self._scheduled_by_pool.get(pool)
        if held is not None:
            return held
        with self._lock:
            held = self._scheduled_by_pool.get(pool)
            if held is None:
                held = self._scheduled_by_pool[pool] = self._started(pool)
        return held

    def _started(self, pool: PoolId) -> Scheduled:
        zone = self._placement.me.zone
        awaited = {member.inner for member in self._placement.gateways(zone)}
        scheduler = PoolScheduler(
            pool,
            zone,
            self._rng.getrandbits(EPOCH_BITS),
            awaited,
            self._clock,
            random.Random(self._rng.random()),
        )
        scheduler.configure(pool_terms(self._view, pool, zone))
        log(Event.SCHEDULER_STARTED, pool=pool, zone=zone, epoch=scheduler.epoch)
        return Scheduled(scheduler, self._clock() - INSISTED_S)

    def _decide(
        self, pool: PoolId, decide: Callable[[PoolScheduler], list[Reply]]
    ) -> PoolScheduler | None:
        held = self._scheduled_by_pool.get(pool)
        if held is None:
            return None
        with held.lock:
            if held.ended:
                return None
            replies = decide(held.scheduler)
            if held.scheduler.waiting and not self.woken.is_set():
                self.woken.set()
        # Delivered without the lock, as an answer to this process may call back at once.
        self._deliver(replies)
        return held.scheduler

    def _deliver(self, replies: list[Reply]) -> None:
        for reply in replies:
            if reply.address != self._node.address:
                self._node.send(reply.address, reply.message)
        local = [reply.message for reply in replies if reply.address == self._node.address]
        if local:
            self._answer_here(local)

    def _answer_here(self, messages: list[Message]) -> None:
        # A grant that is returned unused may grant its slot to the next ask of this process, and
        # so on. A loop handles them, since recursion over a long queue would exhaust the stack.
        pending: deque[Message] | None = getattr(self._delivering, "pending", None)
        if pending is not None:
            pending.extend(messages)
            return
        pending = self._delivering.pending = deque(messages)
        try:
            while pending:
                message = pending.popleft()
                assert isinstance(message, Granted | Refused)
                self.answer(self._node.address, message)
        finally:
            self._delivering.pending = None

    def _is_over(self, pool: PoolId, held: Scheduled) -> bool:
        if pool not in self._view.pools_by_id:
            return True
        insisted = self._clock() - held.insisted < INSISTED_S
        return not insisted and not self._placement.is_mine(pool)

    def _resign(self, pool: PoolId, held: Scheduled) -> None:
        with self._lock:
            self._scheduled_by_pool.pop(pool, None)
        with held.lock:
            held.ended = True
            replies = held.scheduler.resign()
        log(Event.SCHEDULER_ENDED, pool=pool, waiting=len(replies))
        self._deliver(replies)

    def _hear(self, batch: Batch, load: PoolLoad) -> None:
        del batch

        def hear(scheduler: PoolScheduler) -> list[Reply]:
            scheduler.hear(load)
            return []

        if load.zone != self._placement.me.zone:
            self._decide(load.pool, hear)

    def _of_health(self, health: Health) -> tuple[HostId, ...]:
        hosts: list[HostId] = []
        for _, held in self._all():
            with held.lock:
                hosts.extend(held.scheduler.hosts.health.hosts(health))
        return tuple(sorted(hosts))
