"""Who has acknowledged a withdrawal, and who is still to."""

import threading
from collections.abc import Iterable, Mapping

import msgspec

from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord
from lentilrill.ids import EntryHostId, HostId, Incarnation, PoolId, ProcessId, Revision, ZoneId
from lentilrill.inner import Barred
from lentilrill.membership import Member, Role, ZoneRecord
from lentilrill.platform import HostKind, HostListing

__all__ = ["Acknowledgements", "Closing"]

Sender = tuple[ProcessId, Incarnation]

MEMBERS_PER_HOST = 1024
"""Bound of the acknowledgements kept for one host; far above the gateways of a zone."""


class Closing(msgspec.Struct, frozen=True):
    """What decides whether withdrawals may be closed.

    :param records: pool records by id.
    :param zones: zone records by id.
    :param heard: gateways of any zone that are heard now, registered or not.
    :param lag_s: how old the host list may be.
    :param now: seconds since the epoch.
    """

    records: Mapping[PoolId, PoolRecord]
    zones: Mapping[ZoneId, ZoneRecord]
    heard: tuple[Member, ...]
    listing: HostListing
    lag_s: float
    now: float


class Acknowledgements:
    """The newest acknowledgement of each gateway for each host that is being withdrawn.

    Kept in memory only: gateways repeat them, so a controller that starts anew hears them again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revisions_by_host: dict[HostId, dict[Sender, Revision]] = {}
        self._entry_hosts_by_sender: dict[Sender, EntryHostId] = {}
        self._unclean_by_zone: dict[ZoneId, tuple[tuple[Member, ...], float]] = {}
        self.changes = 0

    def note(self, member: Member, barred: Iterable[Barred], withdrawing: set[HostId]) -> None:
        """Take over what a gateway acknowledges.

        :param withdrawing: hosts being withdrawn as far as this process knows. Others are left
            out, which bounds what is kept; their acknowledgements will come again.
        """
        sender = (member.process, member.incarnation)
        with self._lock:
            for item in barred:
                if item.host not in withdrawing:
                    continue
                revisions = self._revisions_by_host.setdefault(item.host, {})
                if revisions.get(sender, 0) >= item.revision:
                    continue
                if sender not in revisions and len(revisions) >= MEMBERS_PER_HOST:
                    continue
                revisions[sender] = item.revision
                self._entry_hosts_by_sender[sender] = member.entry_host
                self.changes += 1

    def closable(self, closing: Closing) -> tuple[frozenset[HostId], dict[HostId, str]]:
        """Return the withdrawing hosts that may be closed, and why the others may not yet."""
        entries = [
            entry
            for record in closing.records.values()
            for entry in record.hosts
            if entry.phase is HostPhase.WITHDRAWING
        ]
        with self._lock:
            self._forget_all_but({entry.id for entry in entries})
            self._watch_unclean(closing)
            reasons_by_host = {entry.id: self._wait(entry, closing) for entry in entries}
        done = frozenset(host for host, reason in reasons_by_host.items() if not reason)
        return done, {host: reason for host, reason in reasons_by_host.items() if reason}

    def _wait(self, entry: HostEntry, closing: Closing) -> str:
        """Return whose acknowledgement a host still needs; empty if none.

        Guard against two pools that send to one host: a gateway that has not heard of the
        withdrawal, or is paused between its check and its send, would send for the old pool
        after the host serves the new one. So each registered gateway of the zone is asked, and
        neither silence nor time counts as its answer.
        """
        zone = closing.zones.get(entry.zone, ZoneRecord(entry.zone))
        for member in zone.members:
            if member.role is Role.GATEWAY and not self._acked(entry, member):
                return f"gateway {member.process} of zone {entry.zone} has not acknowledged"
        if zone.unclean:
            return self._wait_for_unregistered(entry, closing)
        return ""

    def _wait_for_unregistered(self, entry: HostEntry, closing: Closing) -> str:
        """Return which entry host may run a gateway that nobody has registered; empty if none.

        A member that was lost may have passed the state on to a newcomer which could not
        register, as the platform was away, and which sends for the old pool. Only the
        platform's list, past its lag, shows every entry host that may run one.
        """
        for member in closing.heard:
            if member.zone == entry.zone and not self._acked(entry, member):
                return f"gateway {member.process}, not registered yet, has not acknowledged"
        _, since = self._unclean_by_zone[entry.zone]
        wait_until = max(since, entry.proposed) + closing.lag_s
        if closing.listing.as_of < wait_until:
            return f"the host list must be newer than the loss of a gateway of zone {entry.zone}"
        acked = {
            self._entry_hosts_by_sender[sender]
            for sender, revision in self._revisions_by_host.get(entry.id, {}).items()
            if revision > entry.after
        }
        for info in closing.listing.hosts:
            if info.kind is HostKind.ENTRY and info.zone == entry.zone and info.id not in acked:
                return f"no gateway on entry host {info.id} has acknowledged"
        return ""

    def _acked(self, entry: HostEntry, member: Member) -> bool:
        """Return whether this incarnation acknowledged this proposal, not an earlier one.

        The proposal's own revision is the first after ``entry.after``: a transaction takes the
        record straight from one to the other.
        """
        revisions = self._revisions_by_host.get(entry.id, {})
        return revisions.get((member.process, member.incarnation), 0) > entry.after

    def _watch_unclean(self, closing: Closing) -> None:
        for zone, record in closing.zones.items():
            known = self._unclean_by_zone.get(zone)
            if known is None or known[0] != record.unclean:
                self._unclean_by_zone[zone] = (record.unclean, closing.now)
        for zone in self._unclean_by_zone.keys() - closing.zones.keys():
            del self._unclean_by_zone[zone]

    def _forget_all_but(self, hosts: set[HostId]) -> None:
        for host in self._revisions_by_host.keys() - hosts:
            del self._revisions_by_host[host]
        senders = {s for revisions in self._revisions_by_host.values() for s in revisions}
        for sender in self._entry_hosts_by_sender.keys() - senders:
            del self._entry_hosts_by_sender[sender]
