"""Acknowledgements of withdrawals by gateways."""

import threading
from collections.abc import Iterable, Mapping

from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord
from lentilrill.ids import HostId, Incarnation, ProcessId, Revision, ZoneId
from lentilrill.inner import Barred
from lentilrill.membership import Member, Role, ZoneRecord

__all__ = ["Acknowledgements"]

Sender = tuple[ProcessId, Incarnation]

MAX_MEMBERS_PER_HOST = 1024
"""Limit of the acknowledgements kept for one host; far above the gateways of a zone."""


class Acknowledgements:
    """The newest acknowledgement of each gateway for each host that is being withdrawn.

    Kept in memory only: gateways repeat them, so a restarted controller receives them again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revisions_by_host: dict[HostId, dict[Sender, Revision]] = {}
        self.changes = 0

    def record(self, member: Member, barred: Iterable[Barred], withdrawing: set[HostId]) -> bool:
        """Record the acknowledgements of a gateway.

        :param withdrawing: hosts that are being withdrawn in the view of this process. Others
            are ignored, which bounds the memory use; gateways repeat their acknowledgements.
        :return: whether any of the acknowledgements is new.
        """
        changes_before = self.changes
        sender = (member.process, member.incarnation)
        with self._lock:
            for item in barred:
                if item.host not in withdrawing:
                    continue
                revisions = self._revisions_by_host.setdefault(item.host, {})
                if revisions.get(sender, 0) >= item.revision:
                    continue
                if sender not in revisions and len(revisions) >= MAX_MEMBERS_PER_HOST:
                    continue
                revisions[sender] = item.revision
                self.changes += 1
            return self.changes > changes_before

    def closable(
        self, records: Iterable[PoolRecord], zones: Mapping[ZoneId, ZoneRecord]
    ) -> tuple[frozenset[HostId], dict[HostId, str]]:
        """Return the hosts whose withdrawal may be closed, and why the others must wait."""
        entries = [
            entry
            for record in records
            for entry in record.hosts
            if entry.phase is HostPhase.WITHDRAWING
        ]
        with self._lock:
            self._prune({entry.id for entry in entries})
            reasons_by_host = {
                entry.id: self._missing_acknowledgement(entry, zones) for entry in entries
            }
        done = frozenset(host for host, reason in reasons_by_host.items() if not reason)
        return done, {host: reason for host, reason in reasons_by_host.items() if reason}

    def _missing_acknowledgement(self, entry: HostEntry, zones: Mapping[ZoneId, ZoneRecord]) -> str:
        """Return which acknowledgement is still missing for a host; empty if none is.

        A gateway that has not received the withdrawal, or is paused between its check and its
        send, would send a job of the old pool to the host after it serves the new one. Only
        registered gateways of the host's zone send to it, so each of them must acknowledge;
        neither silence nor elapsed time counts as an acknowledgement. A gateway that is proved
        gone is removed from the zone record and one that joins is added. Both change the
        revision of the record, which the closing transaction compares.
        """
        zone = zones.get(entry.zone, ZoneRecord(entry.zone))
        for member in zone.members:
            if member.role is Role.GATEWAY and not self._acked(entry, member):
                return f"gateway {member.process} of zone {entry.zone} has not acknowledged"
        return ""

    def _acked(self, entry: HostEntry, member: Member) -> bool:
        """Return whether this incarnation acknowledged this proposal and not an earlier one.

        The revision of the proposal is the first one of the record after ``entry.after``, since
        a single transaction changes the record from one to the other.
        """
        revisions = self._revisions_by_host.get(entry.id, {})
        return revisions.get((member.process, member.incarnation), 0) > entry.after

    def _prune(self, hosts: set[HostId]) -> None:
        for host in self._revisions_by_host.keys() - hosts:
            del self._revisions_by_host[host]
