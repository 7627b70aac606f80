"""Heartbeats between members, with the revision of each member's mirror."""

import itertools
import threading
import time
from collections.abc import Callable
from functools import partial

from lentilrill.gossip._exchange import StateExchange
from lentilrill.gossip._health import zone_health, zone_status
from lentilrill.gossip._ring import ZoneRing
from lentilrill.ids import HostId, ZoneId
from lentilrill.inner import Batch, Heartbeat, Leave, Node, ZoneHealth
from lentilrill.membership import Member, MembershipTracker, Role, ZoneStatus
from lentilrill.settings import ProcessSettings
from lentilrill.store import Mirror
from lentilrill.telemetry import Event, Metrics, log, run_and_log_errors

__all__ = ["Heartbeats"]

MIN_INTERVAL_S = 0.1
ANSWER_TTL_S = 0.25
PROBE_EVERY_BEATS = 8
"""Every how many heartbeats a head sends to all members, including silent ones."""
METRICS_EVERY_BEATS = 4
FORGET_AFTER_S = 60.0
LEAVE_REPEATS = 3
LEAVE_INTERVAL_S = 0.1

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
    each answers. Otherwise gateways that lost contact with the heads would not detect each other,
    and every one of them, as the only gateway in its own view, would grant all slots of the zone.

    :param platform_ok: whether the platform answered this process's last call.
    :param trouble: ejected and leaving workers of this zone, for the other zones' controllers.
    :param is_drained: whether this process accepts no callers and has none left.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        node: Node,
        mirror: Mirror,
        membership: MembershipTracker,
        metrics: Metrics,
        platform_ok: Callable[[], bool] = lambda: False,
        trouble: Callable[[], Trouble] = _no_trouble,
        is_drained: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._node = node
        self._mirror = mirror
        self._membership = membership
        self._metrics = metrics
        self._platform_ok = platform_ok
        self._trouble = trouble
        self._is_drained = is_drained
        self._zone_ring = ZoneRing(membership, settings.zone, settings.seeds)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="heartbeats", daemon=True)
        self._wake = threading.Event()
        mirror.subscribe(lambda items: self._wake.set())
        self._head_since: float | None = None
        self._cached_answer: tuple[float, Heartbeat] | None = None
        self._exchange = StateExchange(node, mirror)
        self._bytes_counted = (0, 0)
        node.on(Heartbeat, self._on_heartbeat)
        node.on(Leave, self._on_leave)

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
        leave = Leave(self._membership.me)
        for _ in range(LEAVE_REPEATS):
            for address in self._zone_peers():
                self._node.send(address, leave)
            time.sleep(LEAVE_INTERVAL_S)

    def _run(self) -> None:
        for beat in itertools.count():
            if self._stopping.is_set():
                return
            run_and_log_errors("heartbeats", partial(self._beat, beat))
            self._pause()

    def _beat(self, beat: int) -> None:
        self._membership.refresh()
        self._membership.forget(FORGET_AFTER_S)
        self._send_to_zone(beat)
        self._send_heartbeat(self._zone_ring.peers(beat, self._zone_peers()))
        if beat % METRICS_EVERY_BEATS == 0:
            self._count_bytes()

    def _pause(self) -> None:
        """Wait for the next heartbeat; a change of state shortens the wait, down to a minimum."""
        if not self._stopping.wait(MIN_INTERVAL_S):
            self._wake.wait(max(0.0, self._settings.heartbeat_s - MIN_INTERVAL_S))
        self._wake.clear()

    def _count_bytes(self) -> None:
        sent, received = self._node.bytes_sent, self._node.bytes_received
        self._metrics.incr("inner.bytes_sent", sent - self._bytes_counted[0])
        self._metrics.incr("inner.bytes_received", received - self._bytes_counted[1])
        self._bytes_counted = (sent, received)

    def _send_to_zone(self, beat: int) -> None:
        heads = self._membership.heads()
        is_head = self._membership.me in heads
        self._update_head_since(is_head)
        others = [member for member in heads if member != self._membership.me]
        for member in others:
            self._membership.record_probe(member)
        addresses = [member.inner for member in others]
        settled = (
            self._has_zone_view if is_head else self._membership.latest_head_report() is not None
        )
        # During a network partition two heads may each consider the other silent and remain
        # heads. They find each other afterwards only by sending to all members again.
        if not settled or (is_head and beat % PROBE_EVERY_BEATS == 0):
            addresses = self._zone_peers()
        self._send_heartbeat(addresses)

    def _send_heartbeat(self, addresses: list[str]) -> None:
        if not addresses:
            return
        heartbeat = self._heartbeat()
        for address in addresses:
            self._node.send(address, heartbeat)

    def _update_head_since(self, is_head: bool) -> None:
        now = time.monotonic()
        if not is_head:
            self._head_since = None
        elif self._head_since is None:
            self._head_since = now

    @property
    def _has_zone_view(self) -> bool:
        """Whether this process is a head with heartbeats of all members, or waited long enough."""
        since = self._head_since
        if since is None:
            return False
        has_waited = time.monotonic() - since > self._settings.suspect_after_s
        return has_waited or not self._membership.silent()

    def _heartbeat(self, answers: bool = False) -> Heartbeat:
        reports = self._health() if self._membership.me.role is Role.CONTROLLER else ()
        return Heartbeat(
            self._membership.me,
            self._mirror.complete_to,
            answers,
            self._platform_ok(),
            self._is_drained(),
            reports,
        )

    def _answer(self) -> Heartbeat:
        """Return an answer, which is cached for a short time to serve several members."""
        now = time.monotonic()
        cached = self._cached_answer
        fresh = cached is not None and now - cached[0] < ANSWER_TTL_S
        if cached is not None and fresh and cached[1].complete_to == self._mirror.complete_to:
            return cached[1]
        answer = self._heartbeat(answers=True)
        self._cached_answer = (now, answer)
        return answer

    def _health(self) -> tuple[ZoneHealth, ...]:
        others = [zone_health(status) for status in self._membership.zone_statuses()]
        if self._has_zone_view:
            return (self._own_health(), *others)
        report = self._membership.latest_head_report()
        return tuple(others) if report is None else (zone_health(report), *others)

    def _own_health(self) -> ZoneHealth:
        zone = self._settings.zone
        suspects = frozenset(member.process for member in self._membership.silent())
        alive = [
            heartbeat
            for heartbeat in self._membership.last_heartbeats()
            if heartbeat.member.zone == zone
            and heartbeat.member.process not in suspects
            and not heartbeat.left
        ]
        lowest = min(
            (heartbeat.complete_to for heartbeat in alive), default=self._mirror.complete_to
        )
        ejected, leaving = self._trouble()
        return zone_health(
            ZoneStatus(
                zone,
                time.monotonic(),
                suspects,
                min(lowest, self._mirror.complete_to),
                frozenset(heartbeat.member.process for heartbeat in alive if heartbeat.drained),
                ejected,
                leaving,
            )
        )

    def _registered(self, zone: ZoneId) -> tuple[Member, ...]:
        return self._membership.registered_in(zone)

    def _zone_peers(self) -> list[str]:
        me = self._membership.me
        addresses = {member.inner for member in self._registered(me.zone)}
        addresses |= {
            heartbeat.member.inner
            for heartbeat in self._membership.last_heartbeats()
            if heartbeat.member.zone == me.zone and not heartbeat.left
        }
        if len(addresses - {me.inner}) == 0:
            addresses |= set(self._settings.seeds)
        return sorted(addresses - {me.inner})

    def _on_heartbeat(self, batch: Batch, message: Heartbeat) -> None:
        member = message.member
        last = self._membership.last_heartbeat(member)
        if not self._membership.record_heartbeat(
            member, message.complete_to, message.platform, message.drained
        ):
            self._metrics.incr("membership.stale_heartbeats")
            return
        if last is None:
            log(Event.MEMBER_ALIVE, peer=member.process, incarnation=member.incarnation)
        if not message.answers and (last is None or self._should_answer(member)):
            self._node.send(member.inner, self._answer())
        self._record_zone_health(member, message.health)
        if message.complete_to > self._mirror.complete_to:
            self._exchange.request_missing(batch.reply_to)
        elif last is not None and message.complete_to > last.complete_to:
            self._wake.set()  # operators of other zones wait until the change is reported here

    def _should_answer(self, member: Member) -> bool:
        """Return whether to answer the member; two heads send to each other anyway."""
        heads = self._membership.heads()
        both_heads = member in heads and self._membership.me in heads
        return member.zone == self._settings.zone and not both_heads

    def _record_zone_health(self, sender: Member, reports: tuple[ZoneHealth, ...]) -> None:
        statuses = [zone_status(report) for report in reports]
        self._membership.record_zone_statuses(statuses)
        for status in statuses:
            if status.zone == self._settings.zone == sender.zone:
                self._membership.record_head_report(sender.process, status)

    def _on_leave(self, batch: Batch, message: Leave) -> None:
        del batch
        self._membership.record_leave(message.member)
        log(Event.MEMBER_GONE, peer=message.member.process, proof="left")
