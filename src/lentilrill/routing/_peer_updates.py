"""Periodic messages from schedulers: requests for held grants, pool loads, unhealthy hosts."""

import threading

from lentilrill.ids import HostId
from lentilrill.inner import HeldAsk, HostTrouble, Node, PoolLoad
from lentilrill.routing._placement import Placement
from lentilrill.routing._scheduler import PoolScheduler
from lentilrill.telemetry import Metrics

__all__ = ["PeerUpdates", "RunningScheduler"]

HELD_REQUEST_INTERVAL_S = 0.25
SHARED_REQUEST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 0.2
UNCHANGED_LOAD_INTERVAL_S = 1.0
TROUBLE_INTERVAL_S = 1.0


class RunningScheduler:
    """One pool's scheduler with its lock.

    :ivar ended: set under the lock when the scheduler is closed. Calls that still refer to this
        object must check it and do nothing.
    """

    def __init__(self, scheduler: PoolScheduler, now: float) -> None:
        self.scheduler = scheduler
        self.lock = threading.Lock()
        self.ended = False
        self.insisted_at = now
        self.held_requested_at = 0.0
        self.load_sent_at = 0.0
        self.sent_load: PoolLoad | None = None


class PeerUpdates:
    """Sends the messages that are due. Messages may be lost, so each is repeated."""

    def __init__(self, node: Node, placement: Placement, metrics: Metrics) -> None:
        self._node = node
        self._placement = placement
        self._metrics = metrics
        self._trouble_sent_at = 0.0
        self._had_trouble = False

    def request_held_grants(self, entry: RunningScheduler, now: float) -> None:
        """Request the list of held grants from gateways that have not reported it."""
        pool = entry.scheduler.pool
        waited_s = now - entry.held_requested_at
        addresses = (
            entry.scheduler.awaited_gateways if waited_s >= HELD_REQUEST_INTERVAL_S else frozenset()
        )
        if waited_s >= SHARED_REQUEST_INTERVAL_S and not self._placement.is_mine(pool):
            # Another process schedules the pool for the other gateways. Its grants are known here
            # only from their reports; without those, both would grant the same slots.
            gateways = self._placement.gateways(self._placement.me.zone)
            addresses = frozenset(gateway.inner for gateway in gateways)
        if addresses:
            entry.held_requested_at = now
        for address in addresses:
            self._node.send(address, HeldAsk(pool, self._node.address))

    def send_load(self, entry: RunningScheduler, now: float) -> None:
        """Send the pool's load to its schedulers in other zones."""
        if now - entry.load_sent_at < LOAD_INTERVAL_S:
            return
        with entry.lock:
            load = entry.scheduler.load()
        if load == entry.sent_load and now - entry.load_sent_at < UNCHANGED_LOAD_INTERVAL_S:
            return
        entry.sent_load = load
        entry.load_sent_at = now
        pool = entry.scheduler.pool
        self._metrics.gauge(f"pool.{pool}.waiting", entry.scheduler.waiting)
        self._metrics.gauge(f"pool.{pool}.running", entry.scheduler.running)
        for zone in self._placement.zones:
            peer = self._placement.scheduler(pool, zone)
            if zone != self._placement.me.zone and peer is not None:
                self._node.send(peer.inner, load)

    def is_trouble_due(self, now: float) -> bool:
        """Return whether the next report of unhealthy hosts is due, and start a new interval."""
        if now - self._trouble_sent_at < TROUBLE_INTERVAL_S:
            return False
        self._trouble_sent_at = now
        return True

    def send_trouble(self, ejected: tuple[HostId, ...], leaving: tuple[HostId, ...]) -> None:
        """Report unhealthy hosts to the zone's controllers; report an empty list once."""
        if ejected or leaving or self._had_trouble:
            trouble = HostTrouble(self._placement.me, ejected, leaving)
            for controller in self._placement.controllers():
                self._node.send(controller.inner, trouble)
        self._had_trouble = bool(ejected or leaving)
