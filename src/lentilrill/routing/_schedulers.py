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
from lentilrill.routing._peer_updates import PeerUpdates, RunningScheduler
from lentilrill.routing._placement import Placement, sender_of
from lentilrill.routing._pool_config import pool_config
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import PoolScheduler, Reply
from lentilrill.telemetry import Event, Metrics, NoMetrics, log

__all__ = ["LocalSchedulers"]

INSIST_PERIOD_S = 10.0
EPOCH_BITS = 62
FORGET_INTERVAL_S = 60.0

AnswerHandler = Callable[[str, Granted | Refused], None]


class LocalSchedulers:
    """Runs the schedulers of the pools that are assigned to this process in its zone.

    :ivar on_answer: receives the grants and refusals for this process itself.
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
        self.on_answer: AnswerHandler = lambda sender, message: None
        self._node = node
        self._view = view
        self._placement = placement
        self._clock = clock
        self._rng = rng or random.SystemRandom()
        self._peers = PeerUpdates(node, placement, metrics or NoMetrics())
        self._copies = GrantCopies(clock)
        self._lock = threading.Lock()
        self._local_delivery = threading.local()
        self._refreshing = threading.Lock()
        self._running_by_pool: dict[PoolId, RunningScheduler] = {}
        self._forgot_at = clock()
        node.on(Ask, lambda batch, ask: self.on_ask(ask, sender_of(batch)))
        node.on(Cancel, lambda batch, cancel: self.on_cancel(cancel, sender_of(batch)))
        node.on(Done, lambda batch, done: self.on_done(done))
        node.on(HeldGrants, lambda batch, report: self.on_held_grants(report, sender_of(batch)))
        node.on(PoolLoad, self._on_pool_load)
        node.on(GrantCopy, lambda batch, copy: self._copies.update(copy, sender_of(batch)))

    @property
    def schedulers_by_pool(self) -> dict[PoolId, PoolScheduler]:
        """The schedulers that run in this process."""
        with self._lock:
            return {pool: entry.scheduler for pool, entry in self._running_by_pool.items()}

    @property
    def busy(self) -> bool:
        """Whether an ask is queued, or a scheduler lacks reports of held grants."""
        schedulers = [entry.scheduler for _, entry in self._list_running()]
        return any(scheduler.waiting or scheduler.awaited_gateways for scheduler in schedulers)

    def on_ask(self, ask: Ask, gateway: GatewayInstance) -> None:
        """Handle an ask from a gateway of this zone."""
        wanted = ask.insist or self._placement.is_mine(ask.pool)
        if not self._is_running(ask.pool) and not (wanted and ask.pool in self._view.pools_by_id):
            refused = Refused(ask.request, ask.pool, Refusal.NOT_SCHEDULER)
            self._deliver([Reply(gateway.address, refused)])
            return
        entry = self._get_or_start(ask.pool)
        if ask.insist:
            entry.insisted_at = self._clock()
        self._call(ask.pool, lambda scheduler: scheduler.ask(ask, gateway))

    def on_cancel(self, cancel: Cancel, gateway: GatewayInstance) -> None:
        """Handle the cancellation of an ask."""
        request: RequestId = cancel.request
        self._call(cancel.pool, lambda scheduler: scheduler.cancel(request, gateway))

    def on_done(self, done: Done) -> None:
        """Handle the report that a grant is over."""
        self._call(done.pool, lambda scheduler: scheduler.on_done(done))

    def on_held_grants(self, report: HeldGrants, gateway: GatewayInstance) -> None:
        """Handle a gateway's report of the grants that it holds."""
        self._call(report.pool, lambda scheduler: scheduler.on_held_grants(report, gateway))

    def occupies(self, host: HostId) -> bool:
        """Return whether a job may run on ``host`` under a grant that is known here."""
        for _, entry in self._list_running():
            with entry.lock:
                if entry.scheduler.occupies(host):
                    return True
        return self._copies.occupies(host)

    def refresh(self) -> None:
        """Start, configure and stop schedulers by the current view and membership."""
        with self._refreshing:
            zone = self._placement.me.zone
            for pool in self._pools_here():
                if self._placement.is_mine(pool):
                    self._get_or_start(pool)
            for pool, entry in self._list_running():
                if self._should_stop(pool, entry):
                    self._stop(pool, entry)
                else:
                    config = pool_config(self._view, pool, zone)
                    self._call(pool, lambda s, config=config: s.configure(config))  # type: ignore[misc]

    def tick(self) -> None:
        """Do the periodic work: refusals, reports to peers, freeing of grants."""
        alive = self._placement.instances()
        now = self._clock()
        self._copies.tick(alive)
        for pool, entry in self._list_running():
            self._call(pool, lambda s: s.tick(alive, self._placement.is_gone))
            self._peers.request_held_grants(entry, now)
            self._peers.send_load(entry, now)
            if self._should_stop(pool, entry):
                self._stop(pool, entry)
        if self._peers.is_trouble_due(now):
            self._peers.send_trouble(
                self._hosts_with(Health.EJECTED), self._hosts_with(Health.LEAVING)
            )
        if now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self._forget_ended()

    def _forget_ended(self) -> None:
        holders: set[GatewayInstance] = set()
        for _, entry in self._list_running():
            with entry.lock:
                holders |= entry.scheduler.holders
        self._placement.forget(holders)

    def _pools_here(self) -> list[PoolId]:
        zone = self._placement.me.zone
        pools = {pool for pool, entry in self._view.hosts_by_id.values() if entry.zone == zone}
        return sorted(pools)

    def _list_running(self) -> list[tuple[PoolId, RunningScheduler]]:
        with self._lock:
            return list(self._running_by_pool.items())

    def _is_running(self, pool: PoolId) -> bool:
        return pool in self._running_by_pool

    def _get_or_start(self, pool: PoolId) -> RunningScheduler:
        entry = self._running_by_pool.get(pool)
        if entry is not None:
            return entry
        with self._lock:
            entry = self._running_by_pool.get(pool)
            if entry is None:
                entry = self._running_by_pool[pool] = self._start_scheduler(pool)
        return entry

    def _start_scheduler(self, pool: PoolId) -> RunningScheduler:
        zone = self._placement.me.zone
        awaited_gateways = {member.inner for member in self._placement.gateways(zone)}
        scheduler = PoolScheduler(
            pool,
            zone,
            self._rng.getrandbits(EPOCH_BITS),
            awaited_gateways,
            self._clock,
            random.Random(self._rng.random()),
        )
        scheduler.configure(pool_config(self._view, pool, zone))
        log(Event.SCHEDULER_STARTED, pool=pool, zone=zone, epoch=scheduler.epoch)
        return RunningScheduler(scheduler, self._clock() - INSIST_PERIOD_S)

    def _call(
        self, pool: PoolId, call: Callable[[PoolScheduler], list[Reply]]
    ) -> PoolScheduler | None:
        entry = self._running_by_pool.get(pool)
        if entry is None:
            return None
        with entry.lock:
            if entry.ended:
                return None
            replies = call(entry.scheduler)
            if entry.scheduler.waiting and not self.woken.is_set():
                self.woken.set()
        # Delivered without the lock, as an answer to this process may call back at once.
        self._deliver(replies)
        return entry.scheduler

    def _deliver(self, replies: list[Reply]) -> None:
        for reply in replies:
            if reply.address != self._node.address:
                self._node.send(reply.address, reply.message)
        local = [reply.message for reply in replies if reply.address == self._node.address]
        if local:
            self._deliver_locally(local)

    def _deliver_locally(self, messages: list[Message]) -> None:
        # A grant that is returned unused may grant its slot to the next ask of this process, and
        # so on. A loop handles them, since recursion over a long queue would exhaust the stack.
        pending: deque[Message] | None = getattr(self._local_delivery, "pending", None)
        if pending is not None:
            pending.extend(messages)
            return
        pending = self._local_delivery.pending = deque(messages)
        try:
            while pending:
                message = pending.popleft()
                assert isinstance(message, Granted | Refused)
                self.on_answer(self._node.address, message)
        finally:
            self._local_delivery.pending = None

    def _should_stop(self, pool: PoolId, entry: RunningScheduler) -> bool:
        if pool not in self._view.pools_by_id:
            return True
        is_insisted = self._clock() - entry.insisted_at < INSIST_PERIOD_S
        return not is_insisted and not self._placement.is_mine(pool)

    def _stop(self, pool: PoolId, entry: RunningScheduler) -> None:
        with self._lock:
            self._running_by_pool.pop(pool, None)
        with entry.lock:
            entry.ended = True
            replies = entry.scheduler.close()
        log(Event.SCHEDULER_ENDED, pool=pool, waiting=len(replies))
        self._deliver(replies)

    def _on_pool_load(self, batch: Batch, load: PoolLoad) -> None:
        del batch

        def update(scheduler: PoolScheduler) -> list[Reply]:
            scheduler.on_pool_load(load)
            return []

        if load.zone != self._placement.me.zone:
            self._call(load.pool, update)

    def _hosts_with(self, health: Health) -> tuple[HostId, ...]:
        hosts: list[HostId] = []
        for _, entry in self._list_running():
            with entry.lock:
                hosts.extend(entry.scheduler.hosts.health.hosts_with(health))
        return tuple(sorted(hosts))
