"""This process's view of the other members, from the heartbeats and reports it receives."""

import threading
import time
from collections.abc import Callable, Iterable

import msgspec

from lentilrill.ids import ProcessId, Revision, ZoneId
from lentilrill.membership._contract import ranked
from lentilrill.membership._records import Liveness, Member, Role, ZoneNews, ZoneRecord

__all__ = ["Heard", "RosterView"]

KEPT_ENDED = 2000
"""Limit of ended members that are remembered; some days' worth of replaced entry hosts."""
HEADS = 2
"""Number of heads of a zone; members already know the second when the first one fails."""


class Heard(msgspec.Struct):
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


class RosterView:
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
        self._heard_by_process: dict[ProcessId, Heard] = {}
        self._news_by_zone: dict[ZoneId, ZoneNews] = {}
        self._word_by_head: dict[ProcessId, ZoneNews] = {}
        self._tried_by_process: dict[ProcessId, float] = {}
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
        return Liveness.ALIVE if self._is_heard(member) else Liveness.SUSPECT

    def registered_in(self, zone: ZoneId) -> tuple[Member, ...]:
        """Return the members in the zone's record."""
        held = self._zones_by_id().get(zone)
        return held[0].members if held is not None else ()

    def zones(self) -> tuple[ZoneId, ...]:
        """Return the zones that have a record, sorted."""
        return tuple(sorted(self._zones_by_id()))

    def heard(self) -> tuple[Heard, ...]:
        """Return the last heartbeats, sorted by process id."""
        with self._lock:
            return tuple(heard for _, heard in sorted(self._heard_by_process.items()))

    def news(self) -> tuple[ZoneNews, ...]:
        """Return the last status received of each other zone, sorted by zone."""
        with self._lock:
            return tuple(news for _, news in sorted(self._news_by_zone.items()))

    def word(self) -> ZoneNews | None:
        """Return the newest report of a head of this process's own zone, if one is recent."""
        return max(self._fresh_words(), key=lambda news: news.at, default=None)

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
        for one in self.heard():
            if one.member.zone == zone and one.member.role is Role.CONTROLLER:
                known[one.member.process] = one.member
        if self._me.role is Role.CONTROLLER:
            known[self._me.process] = self._me
        able = [member for member in known.values() if self._may_head(member)]
        return tuple(ranked(f"head/{zone}", able)[:HEADS])

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

    def last_heard(self, member: Member) -> Heard | None:
        """Return the last heartbeat of one incarnation, or ``None``."""
        heard = self._heard_by_process.get(member.process)
        return heard if heard is not None and heard.member == member else None

    def silent(self) -> tuple[Member, ...]:
        """Return the registered members of this zone that sent no recent heartbeat here."""
        return tuple(
            member
            for member in self.registered_in(self._me.zone)
            if member != self._me and not self._is_direct(member)
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the usable members."""
        self._listeners.append(listener)

    def hear(
        self, member: Member, complete_to: Revision, platform: bool, drained: bool = False
    ) -> bool:
        """Record a heartbeat.

        :return: ``False`` if the heartbeat is outdated: a newer incarnation is known, or this
            incarnation has left.
        """
        with self._lock:
            held = self._heard_by_process.get(member.process)
            if held is not None and held.member.incarnation > member.incarnation:
                return False
            if held is not None and held.member == member and held.left:
                return False
            known = held is not None and held.member == member
            self._heard_by_process[member.process] = Heard(
                member, self._clock(), complete_to, platform, drained=drained
            )
            self._tried_by_process.pop(member.process, None)
        if not known:
            self.refresh()
        return True

    def try_out(self, member: Member) -> None:
        """Record that a heartbeat was sent to a head, which must answer it."""
        with self._lock:
            self._tried_by_process.setdefault(member.process, self._clock())

    def hear_word(self, head: ProcessId, news: ZoneNews) -> None:
        """Record the report of a head on this process's own zone."""
        with self._lock:
            self._word_by_head[head] = news

    def hear_leave(self, member: Member) -> None:
        """Record that an incarnation has left."""
        with self._lock:
            held = self._heard_by_process.get(member.process)
            if held is None or held.member.incarnation <= member.incarnation:
                self._heard_by_process[member.process] = Heard(
                    member, self._clock(), Revision(0), False, left=True
                )
        self.refresh()

    def hear_zones(self, news: Iterable[ZoneNews]) -> None:
        """Record those statuses of other zones that are newer than the recorded ones."""
        with self._lock:
            for one in news:
                held = self._news_by_zone.get(one.zone)
                if one.zone != self._me.zone and (held is None or one.at > held.at):
                    self._news_by_zone[one.zone] = one

    def refresh(self) -> None:
        """Recompute the usable members, and call the listeners if they changed."""
        self._heads = self._choose_heads()
        members = [member for member in self._candidates() if self._is_usable(member)]
        members.sort(key=lambda member: member.process)
        alive: dict[tuple[Role, ZoneId | None], list[Member]] = {}
        for member in members:
            alive.setdefault((member.role, member.zone), []).append(member)
            alive.setdefault((member.role, None), []).append(member)
        fresh = {key: tuple(value) for key, value in alive.items()}
        if fresh != self._alive:
            self._alive = fresh
            for listener in list(self._listeners):
                listener()

    def forget(self, silent_s: float) -> None:
        """Remove unregistered members that have been silent for more than ``silent_s`` seconds."""
        with self._lock:
            for process, heard in list(self._heard_by_process.items()):
                old = self._clock() - heard.at > silent_s
                if old and not self._is_registered(heard.member):
                    del self._heard_by_process[process]
            self._forget_ended()

    def _forget_ended(self) -> None:
        """Limit the data kept on ended members, since entry hosts are replaced every day."""
        registered = {
            member.process
            for record, _ in self._zones_by_id().values()
            for member in record.members
        }
        known = registered | self._heard_by_process.keys()
        for process in self._tried_by_process.keys() - known:
            del self._tried_by_process[process]
        for process in self._word_by_head.keys() - known:
            del self._word_by_head[process]
        ended = [p for p in self._registered_by_process if p not in registered]
        for process in ended[:-KEPT_ENDED]:
            del self._registered_by_process[process]

    def _candidates(self) -> list[Member]:
        by_process = {
            member.process: member
            for record, _ in self._zones_by_id().values()
            for member in record.members
        }
        self._registered_by_process |= by_process
        with self._lock:
            for process, heard in self._heard_by_process.items():
                if heard.member.zone == self._me.zone:
                    by_process[process] = heard.member
        by_process[self._me.process] = self._me
        return list(by_process.values())

    def _is_usable(self, member: Member) -> bool:
        if member.role is Role.GATEWAY and not self._is_registered(member):
            return False
        return member == self._me or (not self._is_gone(member) and self._is_heard(member))

    def _is_registered(self, member: Member) -> bool:
        held = self._zones_by_id().get(member.zone)
        return held is not None and member in held[0].members

    def _is_heard(self, member: Member) -> bool:
        now = self._clock()
        if member.zone != self._me.zone:
            news = self._news_by_zone.get(member.zone)
            if news is None or now - news.at > self._zone_silent_after_s:
                return False
            return member.process not in news.suspects
        return self._is_direct(member) or self._is_vouched_for(member)

    def _is_direct(self, member: Member) -> bool:
        heard = self._heard_by_process.get(member.process)
        if heard is None or heard.member != member:
            return False
        return self._clock() - heard.at <= self._suspect_after_s

    def _is_vouched_for(self, member: Member) -> bool:
        if not self._is_registered(member):
            return False
        return any(member.process not in word.suspects for word in self._fresh_words())

    def _fresh_words(self) -> list[ZoneNews]:
        oldest = self._clock() - self._suspect_after_s
        with self._lock:
            return [word for word in self._word_by_head.values() if word.at >= oldest]

    def _may_head(self, member: Member) -> bool:
        if member == self._me:
            return True
        if self._is_gone(member):
            return False
        tried_at = self._tried_by_process.get(member.process)
        if tried_at is None or self._clock() - tried_at <= self._suspect_after_s:
            return True
        return self._is_direct(member) or self._is_vouched_for(member)

    def _is_gone(self, member: Member) -> bool:
        heard = self._heard_by_process.get(member.process)
        if heard is not None:
            if heard.member.incarnation > member.incarnation:
                return True
            if heard.member == member and heard.left:
                return True
        registered = self._registered_by_process.get(member.process)
        if registered is None:
            return False
        if registered == member:
            return not self._is_registered(member)
        return registered.incarnation > member.incarnation
