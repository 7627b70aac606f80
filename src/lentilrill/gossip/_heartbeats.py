"""Heartbeats between members, with the revision of each member's mirror."""

import threading
import time
from collections.abc import Callable

from lentilrill.gossip._exchange import StateExchange
from lentilrill.gossip._health import health, news
from lentilrill.gossip._ring import OtherZones
from lentilrill.ids import HostId, ZoneId
from lentilrill.inner import Batch, Heartbeat, Leave, Node, ZoneHealth
from lentilrill.membership import Member, Role, RosterView, ZoneNews
from lentilrill.settings import ProcessSettings
from lentilrill.store import Mirror
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Heartbeats"]

CHANGE_PAUSE_S = 0.1
ANSWER_LASTS_S = 0.25
PROBE_EVERY = 8
"""Every how many heartbeats a head sends to all members, including silent ones."""
METRICS_EVERY = 4
FORGET_AFTER_S = 60.0
LEAVE_REPEATS = 3
LEAVE_PAUSE_S = 0.1

Trouble = tuple[frozenset[HostId], frozenset[HostId]]


def _no_trouble() -> Trouble:
    return frozenset(), frozenset()


class Heartbeats:
    """Exchange of heartbeats with peers, which also requests newer state from them.

    Within a zone every member exchanges heartbeats with the zone's heads, which report to it
    which other members are alive. So the cost of a member that is not a head does not depend on
    the size of the zone. Between zones the first heads form a ring, along which they pass on the
    status of every zone.

    A member that receives no heartbeat of any head sends its own to all members of the zone, and
    each answers. Otherwise a failure of all heads would hide the gateways from each other, and
    every gateway, as the only one alive in its own view, would grant all slots of the zone.

    :param platform_ok: whether the platform answered this process's last call.
    :param trouble: ejected and leaving workers of this zone, for the other zones' controllers.
    :param is_drained: whether this process accepts no callers and has none left.
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
        self._other_zones = OtherZones(roster, settings.zone, settings.seeds)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heartbeats", daemon=True)
        self._wake = threading.Event()
        mirror.subscribe(lambda items: self._wake.set())
        self._head_since: float | None = None
        self._held_answer: tuple[float, Heartbeat] | None = None
        self._exchange = StateExchange(node, mirror)
        self._bytes_counted = (0, 0)
        node.on(Heartbeat, self._heard)
        node.on(Leave, self._left)

    def start(self) -> None:
        """Start sending heartbeats."""
        self._thread.start()

    def close(self, is_clean: bool = True) -> None:
        """Stop the thread and, after a clean end, send a ``Leave`` message to the zone.

        ``Leave`` means that this process has nothing in flight. A process that abandons its jobs
        must not send it: a host could be released while one of the jobs still runs there. Without
        it, withdrawals wait until there is other proof that the process has ended.

        :param is_clean: whether nothing is in flight.
        """
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        if not is_clean:
            return
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
            self._tell_zone(beat)
            self._tell(self._other_zones.peers(beat, self._zone_peers()))
            if beat % METRICS_EVERY == 0:
                self._count_bytes()
            beat += 1
            self._pause()

    def _pause(self) -> None:
        """Wait for the next heartbeat; a change of state shortens the wait, down to a minimum."""
        if not self._stopping.wait(CHANGE_PAUSE_S):
            self._wake.wait(max(0.0, self._settings.heartbeat_s - CHANGE_PAUSE_S))
        self._wake.clear()

    def _count_bytes(self) -> None:
        sent, received = self._node.bytes_sent, self._node.bytes_received
        self._metrics.incr("inner.bytes_sent", sent - self._bytes_counted[0])
        self._metrics.incr("inner.bytes_received", received - self._bytes_counted[1])
        self._bytes_counted = (sent, received)

    def _tell_zone(self, beat: int) -> None:
        heads = self._roster.heads()
        is_head = self._roster.me in heads
        self._note_head(is_head)
        others = [member for member in heads if member != self._roster.me]
        for member in others:
            self._roster.try_out(member)
        addresses = [member.inner for member in others]
        settled = self._knows_zone if is_head else self._roster.word() is not None
        # During a network partition two heads may each consider the other silent and remain
        # heads. They find each other afterwards only by sending to all members again.
        if not settled or (is_head and beat % PROBE_EVERY == 0):
            addresses = self._zone_peers()
        self._tell(addresses)

    def _tell(self, addresses: list[str]) -> None:
        if not addresses:
            return
        heartbeat = self._heartbeat()
        for address in addresses:
            self._node.send(address, heartbeat)

    def _note_head(self, is_head: bool) -> None:
        now = time.monotonic()
        if not is_head:
            self._head_since = None
        elif self._head_since is None:
            self._head_since = now

    @property
    def _knows_zone(self) -> bool:
        """Whether this process is a head that has heard all members, or waited long enough."""
        since = self._head_since
        if since is None:
            return False
        had_time = time.monotonic() - since > self._settings.suspect_after_s
        return had_time or not self._roster.silent()

    def _heartbeat(self, answers: bool = False) -> Heartbeat:
        told = self._health() if self._roster.me.role is Role.CONTROLLER else ()
        return Heartbeat(
            self._roster.me,
            self._mirror.complete_to,
            answers,
            self._platform_ok(),
            self._is_drained(),
            told,
        )

    def _answer(self) -> Heartbeat:
        """Return an answer, which is cached for a short time to serve several members."""
        now = time.monotonic()
        held = self._held_answer
        fresh = held is not None and now - held[0] < ANSWER_LASTS_S
        if held is not None and fresh and held[1].complete_to == self._mirror.complete_to:
            return held[1]
        answer = self._heartbeat(answers=True)
        self._held_answer = (now, answer)
        return answer

    def _health(self) -> tuple[ZoneHealth, ...]:
        others = [health(one) for one in self._roster.news()]
        if self._knows_zone:
            return (self._own_health(), *others)
        word = self._roster.word()
        return tuple(others) if word is None else (health(word), *others)

    def _own_health(self) -> ZoneHealth:
        zone = self._settings.zone
        suspects = frozenset(member.process for member in self._roster.silent())
        heard = [
            one
            for one in self._roster.heard()
            if one.member.zone == zone and one.member.process not in suspects and not one.left
        ]
        least = min((one.complete_to for one in heard), default=self._mirror.complete_to)
        ejected, leaving = self._trouble()
        return health(
            ZoneNews(
                zone,
                time.monotonic(),
                suspects,
                min(least, self._mirror.complete_to),
                frozenset(one.member.process for one in heard if one.drained),
                ejected,
                leaving,
            )
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

    def _heard(self, batch: Batch, message: Heartbeat) -> None:
        member = message.member
        last = self._roster.last_heard(member)
        if not self._roster.hear(member, message.complete_to, message.platform, message.drained):
            self._metrics.incr("membership.stale_heartbeats")
            return
        if last is None:
            log(Event.MEMBER_ALIVE, peer=member.process, incarnation=member.incarnation)
        if not message.answers and (last is None or self._is_to_answer(member)):
            self._node.send(member.inner, self._answer())
        self._hear_zones(member, message.health)
        if message.complete_to > self._mirror.complete_to:
            self._exchange.pull(batch.reply_to)
        elif last is not None and message.complete_to > last.complete_to:
            self._wake.set()  # operators of other zones wait until the change is reported here

    def _is_to_answer(self, member: Member) -> bool:
        """Return whether to answer the member; two heads send to each other anyway."""
        heads = self._roster.heads()
        both_heads = member in heads and self._roster.me in heads
        return member.zone == self._settings.zone and not both_heads

    def _hear_zones(self, teller: Member, told: tuple[ZoneHealth, ...]) -> None:
        heard = [news(one) for one in told]
        self._roster.hear_zones(heard)
        for one in heard:
            if one.zone == self._settings.zone == teller.zone:
                self._roster.hear_word(teller.process, one)

    def _left(self, batch: Batch, message: Leave) -> None:
        del batch
        self._roster.hear_leave(message.member)
        log(Event.MEMBER_GONE, peer=message.member.process, proof="left")
