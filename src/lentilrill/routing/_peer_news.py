"""Periodic messages from schedulers: requests for held grants, pool loads, unhealthy hosts."""

import threading

from lentilrill.ids import HostId
from lentilrill.inner import HeldAsk, HostTrouble, Node, PoolLoad
from lentilrill.routing._placement import Placement
from lentilrill.routing._scheduler import PoolScheduler
from lentilrill.telemetry import Metrics

__all__ = ["PeerNews", "Scheduled"]

HELD_ASK_S = 0.25
SHARED_ASK_S = 1.0
LOAD_S = 0.2
STEADY_LOAD_S = 1.0
TROUBLE_S = 1.0


class Scheduled:
    """One pool's scheduler with its lock.

    :ivar ended: set under the lock when the scheduler is closed. Calls that still refer to this
        object must check it and do nothing.
    """

    def __init__(self, scheduler: PoolScheduler, now: float) -> None:
        self.scheduler = scheduler
        self.lock = threading.Lock()
        self.ended = False
        self.insisted = now
        self.asked_held = 0.0
        self.told_load = 0.0
        self.load: PoolLoad | None = None


class PeerNews:
    """Sends the messages that are due. Messages may be lost, so each is repeated."""

    def __init__(self, node: Node, placement: Placement, metrics: Metrics) -> None:
        self._node = node
        self._placement = placement
        self._metrics = metrics
        self._told_trouble = 0.0
        self._had_trouble = False

    def ask_held(self, held: Scheduled, now: float) -> None:
        """Request the list of held grants from gateways that have not reported it."""
        pool = held.scheduler.pool
        waited_s = now - held.asked_held
        asked = held.scheduler.awaited if waited_s >= HELD_ASK_S else frozenset()
        if waited_s >= SHARED_ASK_S and not self._placement.is_mine(pool):
            # Another process schedules the pool for the other gateways. Its grants are known here
            # only from their reports; without those, both would grant the same slots.
            gateways = self._placement.gateways(self._placement.me.zone)
            asked = frozenset(gateway.inner for gateway in gateways)
        if asked:
            held.asked_held = now
        for address in asked:
            self._node.send(address, HeldAsk(pool, self._node.address))

    def tell_load(self, held: Scheduled, now: float) -> None:
        """Send the pool's load to its schedulers in other zones."""
        if now - held.told_load < LOAD_S:
            return
        with held.lock:
            load = held.scheduler.load()
        if load == held.load and now - held.told_load < STEADY_LOAD_S:
            return
        held.load = load
        held.told_load = now
        pool = held.scheduler.pool
        self._metrics.gauge(f"pool.{pool}.waiting", held.scheduler.waiting)
        self._metrics.gauge(f"pool.{pool}.running", held.scheduler.running)
        for zone in self._placement.zones:
            peer = self._placement.scheduler(pool, zone)
            if zone != self._placement.me.zone and peer is not None:
                self._node.send(peer.inner, load)

    def trouble_due(self, now: float) -> bool:
        """Return whether the next report of unhealthy hosts is due, and start a new interval."""
        if now - self._told_trouble < TROUBLE_S:
            return False
        self._told_trouble = now
        return True

    def tell_trouble(self, ejected: tuple[HostId, ...], leaving: tuple[HostId, ...]) -> None:
        """Report unhealthy hosts to the zone's controllers; report an empty list once."""
        if ejected or leaving or self._had_trouble:
            trouble = HostTrouble(self._placement.me, ejected, leaving)
            for controller in self._placement.controllers():
                self._node.send(controller.inner, trouble)
        self._had_trouble = bool(ejected or leaving)
