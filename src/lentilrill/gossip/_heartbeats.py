"""Heartbeats between members, and what they say of the mirror."""

import random
import threading
import time
from collections.abc import Callable

from lentilrill.ids import HostId, Revision, ZoneId
from lentilrill.inner import (
    Batch,
    Heartbeat,
    Leave,
    Node,
    StateAsk,
    StateItems,
    ZoneHealth,
)
from lentilrill.membership import Member, Role, RosterView, ZoneNews
from lentilrill.platform import Mirror
from lentilrill.settings import ProcessSettings
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Heartbeats"]

OTHER_ZONE_PEERS = 2
"""Controllers of other zones told at each other-zone beat; gossip does the rest."""
OTHER_ZONE_EVERY = 2
"""Heartbeats between two other-zone beats."""
CHANGE_PAUSE_S = 0.1
METRICS_EVERY = 4
FORGET_AFTER_S = 60.0
LEAVE_REPEATS = 3
LEAVE_PAUSE_S = 0.1
ASK_PAUSE_S = 0.3

Trouble = tuple[frozenset[HostId], frozenset[HostId]]


def _no_trouble() -> Trouble:
    return frozenset(), frozenset()


class Heartbeats:
    """Tells peers that this process lives, hears them, and pulls state that they have newer.

    Within a zone everybody tells everybody. Between zones controllers tell a few controllers at
    random what they know of every zone, and pass it on to the gateways of their own.

    :param platform_ok: whether the platform answered this process's last call.
    :param trouble: ejected and leaving workers of this zone, for the other zones' controllers.
    :param is_drained: whether callers go elsewhere, and this process holds none any more.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        node: Node,
        mirror: Mirror,
        roster: RosterView,
        metrics: Metrics,
        platform_ok: Callable[[], bool] = lambda: False,
        trouble: Callable[[], Trouble] = _no_trouble,
        is_drained: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._node = node
        self._mirror = mirror
        self._roster = roster
        self._metrics = metrics
        self._platform_ok = platform_ok
        self._trouble = trouble
        self._is_drained = is_drained
        self._random = random.Random(f"{roster.me.process}/{roster.me.incarnation}")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heartbeats", daemon=True)
        self._wake = threading.Event()
        mirror.subscribe(lambda items: self._wake.set())
        self._last_ask_at = 0.0
        self._bytes_counted = (0, 0)
        node.on(Heartbeat, self._heard)
        node.on(Leave, self._left)
        node.on(StateAsk, self._asked)
        node.on(StateItems, self._told)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._thread.start()

    def close(self) -> None:
        """Say that this process ends, and end the task. Nothing may be in flight any more."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        leave = Leave(self._roster.me)
        for _ in range(LEAVE_REPEATS):
            for address in self._zone_peers():
                self._node.send(address, leave)
            time.sleep(LEAVE_PAUSE_S)

    def _run(self) -> None:
        beat = 0
        while not self._stopping.is_set():
            self._roster.refresh()
            self._roster.forget(FORGET_AFTER_S)
            self._tell_zone()
            if beat % OTHER_ZONE_EVERY == 0:
                self._tell_other_zones()
            if beat % METRICS_EVERY == 0:
                self._count_bytes()
            beat += 1
            self._pause()

    def _pause(self) -> None:
        """Wait for the next beat; a changed state is told sooner, but not at once each time."""
        if not self._stopping.wait(CHANGE_PAUSE_S):
            self._wake.wait(max(0.0, self._settings.heartbeat_s - CHANGE_PAUSE_S))
        self._wake.clear()

    def _count_bytes(self) -> None:
        sent, received = self._node.bytes_sent, self._node.bytes_received
        self._metrics.incr("inner.bytes_sent", sent - self._bytes_counted[0])
        self._metrics.incr("inner.bytes_received", received - self._bytes_counted[1])
        self._bytes_counted = (sent, received)

    def _tell_zone(self) -> None:
        heartbeat = self._heartbeat()
        peers = self._zone_peers()
        for address in peers:
            self._node.send(address, heartbeat)

    def _tell_other_zones(self) -> None:
        if self._roster.me.role is not Role.CONTROLLER:
            return
        others = [
            member.inner
            for member in self._roster.alive(Role.CONTROLLER)
            if member.zone != self._settings.zone
        ]
        # While a zone is believed silent none of its members is alive here; its seeds and
        # registered members are still tried, or two zones that were cut would never meet again.
        if len(others) < OTHER_ZONE_PEERS:
            others = [a for a in self._seeds_and_registered() if a not in self._zone_peers()]
        if not others:
            return
        heartbeat = self._heartbeat()
        for address in self._random.sample(others, min(OTHER_ZONE_PEERS, len(others))):
            self._node.send(address, heartbeat)

    def _heartbeat(self) -> Heartbeat:
        health = self._health() if self._roster.me.role is Role.CONTROLLER else ()
        return Heartbeat(
            self._roster.me,
            self._mirror.complete_to,
            self._platform_ok(),
            self._is_drained(),
            health,
        )

    def _health(self) -> tuple[ZoneHealth, ...]:
        now = time.monotonic()
        others = [
            ZoneHealth(
                news.zone,
                round(now - news.at, 2),
                tuple(sorted(news.suspects)),
                news.complete_to,
                tuple(sorted(news.drained)),
                tuple(sorted(news.ejected)),
                tuple(sorted(news.leaving)),
            )
            for news in self._roster.news()
        ]
        return (self._own_health(), *others)

    def _own_health(self) -> ZoneHealth:
        zone = self._settings.zone
        alive = {member.process for role in Role for member in self._roster.alive(role, zone)}
        suspects = sorted(
            member.process for member in self._registered(zone) if member.process not in alive
        )
        heard = {one.member.process: one.complete_to for one in self._roster.heard()}
        heard[self._roster.me.process] = self._mirror.complete_to
        least = min(heard.get(process, Revision(0)) for process in alive)
        ejected, leaving = self._trouble()
        return ZoneHealth(
            zone,
            0.0,
            tuple(suspects),
            least,
            tuple(one.member.process for one in self._roster.heard() if one.drained),
            tuple(sorted(ejected)),
            tuple(sorted(leaving)),
        )

    def _registered(self, zone: ZoneId) -> tuple[Member, ...]:
        return self._roster.registered_in(zone)

    def _zone_peers(self) -> list[str]:
        me = self._roster.me
        addresses = {member.inner for member in self._registered(me.zone)}
        addresses |= {
            one.member.inner
            for one in self._roster.heard()
            if one.member.zone == me.zone and not one.left
        }
        if len(addresses - {me.inner}) == 0:
            addresses |= set(self._settings.seeds)
        return sorted(addresses - {me.inner})

    def _seeds_and_registered(self) -> list[str]:
        addresses = set(self._settings.seeds) | {
            member.inner
            for zone in self._roster.zones()
            for member in self._registered(zone)
            if member.role is Role.CONTROLLER
        }
        return sorted(addresses - {self._roster.me.inner})

    def _heard(self, batch: Batch, message: Heartbeat) -> None:
        member = message.member
        first = all(one.member != member for one in self._roster.heard())
        if not self._roster.hear(member, message.complete_to, message.platform, message.drained):
            self._metrics.incr("membership.stale_heartbeats")
            return
        if first:
            log(Event.MEMBER_ALIVE, peer=member.process, incarnation=member.incarnation)
            self._node.send(member.inner, self._heartbeat())
        self._hear_zones(message.health)
        if message.complete_to > self._mirror.complete_to:
            self._pull(batch.reply_to)

    def _hear_zones(self, health: tuple[ZoneHealth, ...]) -> None:
        now = time.monotonic()
        self._roster.hear_zones(
            ZoneNews(
                one.zone,
                now - one.age_s,
                frozenset(one.suspects),
                one.complete_to,
                frozenset(one.drained),
                frozenset(one.ejected),
                frozenset(one.leaving),
            )
            for one in health
        )

    def _pull(self, address: str) -> None:
        now = time.monotonic()
        if now - self._last_ask_at < ASK_PAUSE_S:
            return
        self._last_ask_at = now
        self._node.send(address, StateAsk(self._mirror.complete_to))

    def _left(self, batch: Batch, message: Leave) -> None:
        del batch
        self._roster.hear_leave(message.member)
        log(Event.MEMBER_GONE, peer=message.member.process, proof="left")

    def _asked(self, batch: Batch, message: StateAsk) -> None:
        items, complete_to = self._mirror.after(message.after)
        self._node.send(batch.reply_to, StateItems(items, message.after, complete_to))

    def _told(self, batch: Batch, message: StateItems) -> None:
        del batch
        # Items that start after this mirror's end leave a hole; were complete_to taken over with
        # it, the missed change would never be asked for again. So only the items are taken.
        whole = message.after <= self._mirror.complete_to
        self._mirror.offer(message.items, message.complete_to if whole else Revision(0))
