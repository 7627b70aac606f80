"""The gateway process's register of sends to each host."""

import threading
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet import FleetView, HostEntry, HostPhase, PoolRecord
from lentilrill.ids import GrantId, HostId, PoolId, Revision
from lentilrill.inner import Barred
from lentilrill.membership import Member
from lentilrill.routing._contract import Slot, Where

__all__ = ["SendLedger"]

_Seen = tuple[dict[HostId, tuple[PoolId, HostEntry]], tuple[tuple[PoolId, HostId], ...]]


class SendLedger:
    """Which jobs of this process may be on their way to a host.

    Guard against a host with two senders: a process checks that a host is still its pool's,
    sleeps, and sends after others believe that it has stopped. Here the check and the entry are
    one step under the lock, and :meth:`drained` looks under the same lock. So a process that
    acknowledged a withdrawal has no send between the two, and each later check sees the
    withdrawal.

    Guard against a process that registers while a host changes hands: it is not among those
    asked, and its copy of the pool's record may be older than the change. So it sends nothing
    until its copy of the state is complete to the revision in which it saw itself registered.
    """

    def __init__(
        self, view: FleetView, me: Member, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._view = view
        self._me = me
        self._registered_at: Revision | None = None
        self._seen: _Seen = ({}, ())
        self._clock = clock
        self._lock = threading.Lock()
        self._sends_by_host: dict[HostId, dict[GrantId, Slot]] = {}

    @property
    def may_send(self) -> bool:
        """Whether this process may send to its zone's hosts: registered, and up to date."""
        record, revision = self._view.zones_by_id.get(self._me.zone, (None, Revision(0)))
        if record is None or self._me not in record.members:
            self._registered_at = None
            return False
        if self._registered_at is None:
            self._registered_at = revision
        return self._view.mirror.complete_to >= self._registered_at

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Enter the send of ``slot``; the first byte may go out only after a success."""
        with self._lock:
            fault = self._objection(slot)
            if fault is not None:
                return Failure(fault)
            if slot.where is Where.ENDPOINT:
                self._sends_by_host.setdefault(slot.host, {})[slot.grant] = slot
        return Success(None)

    def release(self, slot: Slot) -> None:
        """Remove the send of ``slot``, if it was entered."""
        if slot.where is not Where.ENDPOINT:
            return
        with self._lock:
            sends = self._sends_by_host.get(slot.host, {})
            entered = sends.pop(slot.grant, None) is not None
            if entered and not sends:
                del self._sends_by_host[slot.host]

    def in_flight(self, host: HostId) -> int:
        """Return how many sends to ``host`` are entered."""
        with self._lock:
            return len(self._sends_by_host.get(host, ()))

    @property
    def total(self) -> int:
        """Sends entered for all hosts."""
        with self._lock:
            return sum(len(sends) for sends in self._sends_by_host.values())

    def drained(self, host: HostId, revision: Revision) -> bool:
        """Return whether nothing is or will be sent to ``host`` from this process.

        :param revision: the pool record's revision in which the host is being withdrawn.
        """
        return any(barred.host == host and barred.revision >= revision for barred in self.barred())

    @property
    def withdrawing(self) -> tuple[HostId, ...]:
        """Hosts of this zone that are being withdrawn."""
        return tuple(host for _, host in self._withdrawing(self._view.hosts_by_id))

    def barred(self) -> tuple[Barred, ...]:
        """Return this zone's withdrawing hosts with nothing in flight, at the revision seen."""
        with self._lock:
            # The order of the two reads matters: the view replaces its pools before its hosts.
            # Hosts read second are as new as the revision named here, or newer.
            pools = self._view.pools_by_id
            hosts = self._view.hosts_by_id
            return tuple(
                Barred(host, pools[pool][1])
                for pool, host in self._withdrawing(hosts)
                if host not in self._sends_by_host and _withdraws(pools.get(pool), host)
            )

    def _withdrawing(
        self, hosts: dict[HostId, tuple[PoolId, HostEntry]]
    ) -> tuple[tuple[PoolId, HostId], ...]:
        seen, found = self._seen
        if seen is not hosts:
            found = tuple(
                (pool, entry.id)
                for pool, entry in hosts.values()
                if entry.phase is HostPhase.WITHDRAWING and entry.zone == self._me.zone
            )
            self._seen = (hosts, found)
        return found

    def _objection(self, slot: Slot) -> Fault | None:
        if self._clock() >= slot.send_by:
            return _refused(slot, FaultKind.EXHAUSTED, "the grant is past its start-by time")
        if slot.where is Where.ZONE:
            return None
        if not self.may_send:
            return _refused(slot, FaultKind.REFUSED, "this process is not registered yet")
        pool, entry = self._view.hosts_by_id.get(slot.host, (None, None))
        if entry is None or pool != slot.pool or entry.phase is not HostPhase.SERVING:
            return _refused(slot, FaultKind.REFUSED, "the host no longer serves the pool")
        if entry.zone != self._me.zone:
            # Its withdrawal would not ask this process, which is of another zone.
            return _refused(slot, FaultKind.REFUSED, "the host is of another zone")
        return None


def _withdraws(record: tuple[PoolRecord, Revision] | None, host: HostId) -> bool:
    entry = record[0].hosts_by_id().get(host) if record is not None else None
    return entry is not None and entry.phase is HostPhase.WITHDRAWING


def _refused(slot: Slot, kind: FaultKind, reason: str) -> Fault:
    return Fault("routing.start", slot.address, kind, reason)
