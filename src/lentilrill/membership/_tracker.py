"""This process's view of the other members, from the heartbeats and reports it receives."""

import threading
import time
from collections.abc import Callable, Iterable

import msgspec

from lentilrill.ids import ProcessId, Revision, ZoneId
from lentilrill.membership._contract import ranked
from lentilrill.membership._records import Liveness, Member, Role, ZoneRecord, ZoneStatus

__all__ = ["LastHeartbeat", "MembershipTracker"]

MAX_ENDED_MEMBERS = 2000
"""Limit of ended members that are remembered; some days' worth of replaced entry hosts."""
HEAD_COUNT = 2
"""Number of heads of a zone; the second is already in use when the first one fails."""


class LastHeartbeat(msgspec.Struct):
    """The last heartbeat of one process.

    :param at: time of receipt in monotonic seconds.
    :param left: whether this incarnation sent ``Leave``.
    :param drained: whether it accepts no callers and has none left.
    """

    member: Member
    at: float
    complete_to: Revision
    platform: bool
    left: bool = False
    drained: bool = False


class MembershipTracker:
    """Liveness of all members, from heartbeats and from the reports of controllers.

    Each zone has a few *heads*: controllers with which every member of the zone exchanges
    heartbeats. A process relies on a head's report for the other members of its own zone, and on
    the reports of other zones' heads, passed on between controllers, for their members.

    A silent member is suspect. It is gone only by proof: its ``Leave`` message, a newer
    incarnation of the same process, or its removal from the zone's record, which itself requires
    such a proof. Silence alone is no proof, since a paused process may resume and go on sending.

    :param zones_by_id: returns the current zone records.
    :param suspect_after_s: silence after which a member is suspect.
    :param zone_silent_after_s: silence after which all members of another zone are suspect.
    """

    def __init__(
        self,
        me: Member,
        zones_by_id: Callable[[], dict[ZoneId, tuple[ZoneRecord, Revision]]],
        suspect_after_s: float,
        zone_silent_after_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._me = me
        self._zones_by_id = zones_by_id
        self._suspect_after_s = suspect_after_s
        self._zone_silent_after_s = zone_silent_after_s
        self._clock = clock
        self._lock = threading.Lock()
        self._last_heartbeat_by_process: dict[ProcessId, LastHeartbeat] = {}
        self._status_by_zone: dict[ZoneId, ZoneStatus] = {}
        self._report_by_head: dict[ProcessId, ZoneStatus] = {}
        self._probed_at_by_process: dict[ProcessId, float] = {}
        self._heads: tuple[Member, ...] = ()
        self._registered_by_process: dict[ProcessId, Member] = {}
        self._alive: dict[tuple[Role, ZoneId | None], tuple[Member, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self.refresh()

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return the usable members, as of the last refresh, sorted by process id."""
        return self._alive.get((role, zone), ())

    def liveness(self, member: Member) -> Liveness:
        """Return the liveness of one incarnation of a process."""
        if member.process == self._me.process:
            return Liveness.ALIVE if member == self._me else Liveness.GONE
        if self._is_gone(member):
            return Liveness.GONE
        return Liveness.ALIVE if self._is_responsive(member) else Liveness.SUSPECT

    def registered_in(self, zone: ZoneId) -> tuple[Member, ...]:
        """Return the members in the zone's record."""
        recorded = self._zones_by_id().get(zone)
        return recorded[0].members if recorded is not None else ()

    def zones(self) -> tuple[ZoneId, ...]:
        """Return the zones that have a record, sorted."""
        return tuple(sorted(self._zones_by_id()))

    def last_heartbeats(self) -> tuple[LastHeartbeat, ...]:
        """Return the last heartbeats, sorted by process id."""
        with self._lock:
            return tuple(
                heartbeat for _, heartbeat in sorted(self._last_heartbeat_by_process.items())
            )

    def zone_statuses(self) -> tuple[ZoneStatus, ...]:
        """Return the last status received of each other zone, sorted by zone."""
        with self._lock:
            return tuple(status for _, status in sorted(self._status_by_zone.items()))

    def latest_head_report(self) -> ZoneStatus | None:
        """Return the newest report of a head of this process's own zone, if one is recent."""
        return max(self._recent_head_reports(), key=lambda report: report.at, default=None)

    def heads(self) -> tuple[Member, ...]:
        """Return the heads of this process's zone, as of the last refresh."""
        return self._heads

    def _choose_heads(self) -> tuple[Member, ...]:
        """Return the heads: the first eligible controllers in rendezvous order.

        A controller to which no heartbeat was sent yet is eligible. One that does not answer is
        not, until it sends a heartbeat or another head reports that it is alive.
        """
        zone = self._me.zone
        known = {m.process: m for m in self.registered_in(zone) if m.role is Role.CONTROLLER}
        for heartbeat in self.last_heartbeats():
            if heartbeat.member.zone == zone and heartbeat.member.role is Role.CONTROLLER:
                known[heartbeat.member.process] = heartbeat.member
        if self._me.role is Role.CONTROLLER:
            known[self._me.process] = self._me
        eligible = [member for member in known.values() if self._may_be_head(member)]
        return tuple(ranked(f"head/{zone}", eligible)[:HEAD_COUNT])

    def other_heads(self) -> dict[ZoneId, Member]:
        """Return the first living head of each other zone, by zone."""
        controllers_by_zone: dict[ZoneId, list[Member]] = {}
        for member in self.alive(Role.CONTROLLER):
            if member.zone != self._me.zone:
                controllers_by_zone.setdefault(member.zone, []).append(member)
        return {
            zone: ranked(f"head/{zone}", controllers)[0]
            for zone, controllers in controllers_by_zone.items()
        }

    def last_heartbeat(self, member: Member) -> LastHeartbeat | None:
        """Return the last heartbeat of one incarnation, or ``None``."""
        heartbeat = self._last_heartbeat_by_process.get(member.process)
        return heartbeat if heartbeat is not None and heartbeat.member == member else None

    def silent(self) -> tuple[Member, ...]:
        """Return the registered members of this zone that sent no recent heartbeat here."""
        return tuple(
            member
            for member in self.registered_in(self._me.zone)
            if member != self._me and not self._has_recent_heartbeat(member)
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the usable members."""
        self._listeners.append(listener)

    def record_heartbeat(
        self, member: Member, complete_to: Revision, platform: bool, drained: bool = False
    ) -> bool:
        """Record a heartbeat.

        :return: ``False`` if the heartbeat is outdated: a newer incarnation is known, or this
            incarnation has left.
        """
        with self._lock:
            recorded = self._last_heartbeat_by_process.get(member.process)
            if recorded is not None and recorded.member.incarnation > member.incarnation:
                return False
            if recorded is not None and recorded.member == member and recorded.left:
                return False
            is_known = recorded is not None and recorded.member == member
            self._last_heartbeat_by_process[member.process] = LastHeartbeat(
                member, self._clock(), complete_to, platform, drained=drained
            )
            self._probed_at_by_process.pop(member.process, None)
        if not is_known:
            self.refresh()
        return True

    def record_probe(self, member: Member) -> None:
        """Record that a heartbeat was sent to a head, which must answer it."""
        with self._lock:
            self._probed_at_by_process.setdefault(member.process, self._clock())

    def record_head_report(self, head: ProcessId, report: ZoneStatus) -> None:
        """Record the report of a head on this process's own zone."""
        with self._lock:
            self._report_by_head[head] = report

    def record_leave(self, member: Member) -> None:
        """Record that an incarnation has left."""
        with self._lock:
            recorded = self._last_heartbeat_by_process.get(member.process)
            if recorded is None or recorded.member.incarnation <= member.incarnation:
                self._last_heartbeat_by_process[member.process] = LastHeartbeat(
                    member, self._clock(), Revision(0), False, left=True
                )
        self.refresh()

    def record_zone_statuses(self, statuses: Iterable[ZoneStatus]) -> None:
        """Record those statuses of other zones that are newer than the recorded ones."""
        with self._lock:
            for status in statuses:
                recorded = self._status_by_zone.get(status.zone)
                if status.zone != self._me.zone and (recorded is None or status.at > recorded.at):
                    self._status_by_zone[status.zone] = status

    def refresh(self) -> None:
        """Recompute the usable members, and call the listeners if they changed."""
        self._heads = self._choose_heads()
        members = [member for member in self._candidates() if self._is_usable(member)]
        members.sort(key=lambda member: member.process)
        alive: dict[tuple[Role, ZoneId | None], list[Member]] = {}
        for member in members:
            alive.setdefault((member.role, member.zone), []).append(member)
            alive.setdefault((member.role, None), []).append(member)
        updated = {key: tuple(value) for key, value in alive.items()}
        if updated != self._alive:
            self._alive = updated
            for listener in list(self._listeners):
                listener()

    def forget(self, silent_s: float) -> None:
        """Remove unregistered members that have been silent for more than ``silent_s`` seconds."""
        with self._lock:
            for process, heartbeat in list(self._last_heartbeat_by_process.items()):
                is_old = self._clock() - heartbeat.at > silent_s
                if is_old and not self._is_registered(heartbeat.member):
                    del self._last_heartbeat_by_process[process]
            self._remove_ended()

    def _remove_ended(self) -> None:
        """Limit the data kept on ended members, since entry hosts are replaced every day."""
        registered = {
            member.process
            for record, _ in self._zones_by_id().values()
            for member in record.members
        }
        known = registered | self._last_heartbeat_by_process.keys()
        for process in self._probed_at_by_process.keys() - known:
            del self._probed_at_by_process[process]
        for process in self._report_by_head.keys() - known:
            del self._report_by_head[process]
        ended = [p for p in self._registered_by_process if p not in registered]
        for process in ended[:-MAX_ENDED_MEMBERS]:
            del self._registered_by_process[process]

    def _candidates(self) -> list[Member]:
        by_process = {
            member.process: member
            for record, _ in self._zones_by_id().values()
            for member in record.members
        }
        self._registered_by_process |= by_process
        with self._lock:
            for process, heartbeat in self._last_heartbeat_by_process.items():
                if heartbeat.member.zone == self._me.zone:
                    by_process[process] = heartbeat.member
        by_process[self._me.process] = self._me
        return list(by_process.values())

    def _is_usable(self, member: Member) -> bool:
        if member.role is Role.GATEWAY and not self._is_registered(member):
            return False
        return member == self._me or (not self._is_gone(member) and self._is_responsive(member))

    def _is_registered(self, member: Member) -> bool:
        recorded = self._zones_by_id().get(member.zone)
        return recorded is not None and member in recorded[0].members

    def _is_responsive(self, member: Member) -> bool:
        now = self._clock()
        if member.zone != self._me.zone:
            status = self._status_by_zone.get(member.zone)
            if status is None or now - status.at > self._zone_silent_after_s:
                return False
            return member.process not in status.suspects
        return self._has_recent_heartbeat(member) or self._is_reported_alive(member)

    def _has_recent_heartbeat(self, member: Member) -> bool:
        heartbeat = self._last_heartbeat_by_process.get(member.process)
        if heartbeat is None or heartbeat.member != member:
            return False
        return self._clock() - heartbeat.at <= self._suspect_after_s

    def _is_reported_alive(self, member: Member) -> bool:
        if not self._is_registered(member):
            return False
        return any(member.process not in report.suspects for report in self._recent_head_reports())

    def _recent_head_reports(self) -> list[ZoneStatus]:
        oldest = self._clock() - self._suspect_after_s
        with self._lock:
            return [report for report in self._report_by_head.values() if report.at >= oldest]

    def _may_be_head(self, member: Member) -> bool:
        if member == self._me:
            return True
        if self._is_gone(member):
            return False
        probed_at = self._probed_at_by_process.get(member.process)
        if probed_at is None or self._clock() - probed_at <= self._suspect_after_s:
            return True
        return self._has_recent_heartbeat(member) or self._is_reported_alive(member)

    def _is_gone(self, member: Member) -> bool:
        heartbeat = self._last_heartbeat_by_process.get(member.process)
        if heartbeat is not None:
            if heartbeat.member.incarnation > member.incarnation:
                return True
            if heartbeat.member == member and heartbeat.left:
                return True
        registered = self._registered_by_process.get(member.process)
        if registered is None:
            return False
        if registered == member:
            return not self._is_registered(member)
        return registered.incarnation > member.incarnation
