"""Maintenance of the zone's record of members on the platform."""

import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure

from lentilrill.faults import FaultKind
from lentilrill.ids import Revision, ZoneId
from lentilrill.membership import (
    Liveness,
    Member,
    MembershipTracker,
    ZoneRecord,
    zone_key,
)
from lentilrill.store import Compare, HostList, HostListing, Item, KeyValue, Put
from lentilrill.telemetry import Event, Metrics, log, run_and_log_errors

__all__ = ["ZoneRecorder", "next_record"]

INTERVAL_S = 1.0
HOST_LIST_EVERY_S = 2.0
CONFLICT_PAUSE_S = 1.0

ZonesById = Callable[[], dict[ZoneId, tuple[ZoneRecord, Revision]]]


def next_record(
    record: ZoneRecord, alive: tuple[Member, ...], is_gone: Callable[[Member], bool]
) -> ZoneRecord:
    """Return the record with new members added and members removed that have provably ended.

    A registered member that is merely silent stays: it may be paused between a check and a send.

    :param alive: living members of the zone.
    :param is_gone: returns whether an incarnation has provably ended.
    """
    members = [member for member in record.members if not is_gone(member)]
    recorded_by_process = {member.process: member for member in members}
    for member in alive:
        recorded = recorded_by_process.get(member.process)
        if recorded is None and not is_gone(member):
            members.append(member)
    members.sort(key=lambda member: member.process)
    return ZoneRecord(record.zone, tuple(members))


class ZoneRecorder:
    """Task that updates the zone's record when members join or have provably ended.

    Any controller of the zone may write, by compare-and-swap on the record's revision. Normally
    only the zone's first head does, since it receives the heartbeats of every member.

    :param publish: called with the items of each committed write.
    :param host_list_lag_s: maximum lag of the host list.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostList,
        membership: MembershipTracker,
        zones_by_id: ZonesById,
        publish: Callable[[tuple[Item, ...]], None],
        host_list_lag_s: float,
        metrics: Metrics,
    ) -> None:
        self._kv = kv
        self._hosts = hosts
        self._membership = membership
        self._zones_by_id = zones_by_id
        self._publish = publish
        self._lag_s = host_list_lag_s
        self._metrics = metrics
        self._silent_since: dict[Member, float] = {}
        self._listing: HostListing | None = None
        self._listed_at = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="zone-recorder", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def close(self) -> None:
        """Stop the task."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(INTERVAL_S):
            run_and_log_errors("zone-recorder", self.run_once)

    def run_once(self) -> None:
        """Check the zone's members once, and write the record if it has to change."""
        me = self._membership.me
        if self._membership.heads()[:1] != (me,):
            return
        record, revision = self._zones_by_id().get(me.zone, (ZoneRecord(me.zone), Revision(0)))
        self._update_silence(record)
        updated = next_record(record, self._alive_members(), self._is_gone)
        if updated != record:
            self._write(updated, revision)

    def _alive_members(self) -> tuple[Member, ...]:
        me = self._membership.me
        alive = [
            heartbeat.member
            for heartbeat in self._membership.last_heartbeats()
            if heartbeat.member.zone == me.zone
            and self._membership.liveness(heartbeat.member) is Liveness.ALIVE
        ]
        return (*alive, me)

    def _update_silence(self, record: ZoneRecord) -> None:
        now = time.time()
        silent = {
            member
            for member in record.members
            if self._membership.liveness(member) is Liveness.SUSPECT
        }
        self._silent_since = {member: self._silent_since.get(member, now) for member in silent}
        if silent and now - self._listed_at > HOST_LIST_EVERY_S:
            self._listed_at = now
            result = self._hosts.hosts()
            self._listing = None if isinstance(result, Failure) else result.unwrap()

    def _is_gone(self, member: Member) -> bool:
        return self._membership.liveness(member) is Liveness.GONE or self._is_delisted(member)

    def _is_delisted(self, member: Member) -> bool:
        """Return whether the host list proves that the member's entry host has ended.

        The list lags: soon after the silence began it may lack a host that is starting, or still
        contain one that has ended. So it must be newer than the start of the silence by more than
        its lag. It is read only while members are silent.
        """
        since = self._silent_since.get(member)
        listing = self._listing
        if since is None or listing is None or listing.as_of < since + self._lag_s:
            return False
        return all(host.id != member.entry_host for host in listing.hosts)

    def _write(self, record: ZoneRecord, revision: Revision) -> None:
        key = zone_key(record.zone)
        value = msgspec.json.encode(record)
        result = self._kv.commit((Compare(key, revision),), (Put(key, value),))
        if isinstance(result, Failure):
            if result.failure().kind is FaultKind.AMBIGUOUS:
                # The write may have taken effect; the watch delivers it before the next attempt.
                self._stopping.wait(CONFLICT_PAUSE_S)
            return
        answer = result.unwrap()
        if answer.succeeded:
            self._publish((Item(key, value, answer.revision),))
            log(
                Event.ZONE_RECORDED,
                zone=record.zone,
                revision=answer.revision,
                members=len(record.members),
            )
        else:
            self._metrics.incr("membership.record_conflicts")
            self._stopping.wait(CONFLICT_PAUSE_S)
