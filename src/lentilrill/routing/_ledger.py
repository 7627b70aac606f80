"""Registry of the jobs in flight from this gateway to each host."""

import threading
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet import FleetView, HostEntry, HostPhase, PoolRecord
from lentilrill.ids import GrantId, HostId, PoolId, Revision
from lentilrill.inner import Barred
from lentilrill.membership import Member
from lentilrill.routing._contract import Slot, SlotTarget

__all__ = ["SendLedger"]

_WithdrawingCache = tuple[dict[HostId, tuple[PoolId, HostEntry]], tuple[tuple[PoolId, HostId], ...]]


class SendLedger:
    """Jobs of this process that may be in flight to a host.

    A thread could check that a host serves the pool, be suspended, and send after this process
    acknowledged the host's withdrawal. So the check and the registration are one step under the
    lock, and :meth:`drained` takes the same lock: when a withdrawal is acknowledged no send is
    between the two, and each later check sees the withdrawal.

    A process that registers while a host moves to another pool is not asked to acknowledge the
    withdrawal, and its copy of the pool record may be older than the move. So it sends nothing
    until its copy of the state is complete to the revision in which it saw itself registered.
    """

    def __init__(
        self, view: FleetView, me: Member, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._view = view
        self._me = me
        self._registered_at: Revision | None = None
        self._withdrawing_cache: _WithdrawingCache = ({}, ())
        self._clock = clock
        self._lock = threading.Lock()
        self._sends_by_host: dict[HostId, dict[GrantId, Slot]] = {}

    @property
    def may_send(self) -> bool:
        """Whether this process is registered and its state recent enough to send to hosts."""
        record, revision = self._view.zones_by_id.get(self._me.zone, (None, Revision(0)))
        if record is None or self._me not in record.members:
            self._registered_at = None
            return False
        if self._registered_at is None:
            self._registered_at = revision
        return self._view.mirror.complete_to >= self._registered_at

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Register the send of ``slot``; send the first byte only after a success."""
        with self._lock:
            fault = self._find_fault(slot)
            if fault is not None:
                return Failure(fault)
            if slot.target is SlotTarget.ENDPOINT:
                self._sends_by_host.setdefault(slot.host, {})[slot.grant] = slot
        return Success(None)

    def release(self, slot: Slot) -> None:
        """Remove the send of ``slot``, if it was registered."""
        if slot.target is not SlotTarget.ENDPOINT:
            return
        with self._lock:
            sends = self._sends_by_host.get(slot.host, {})
            entered = sends.pop(slot.grant, None) is not None
            if entered and not sends:
                del self._sends_by_host[slot.host]

    def in_flight(self, host: HostId) -> int:
        """Return the number of sends registered for ``host``."""
        with self._lock:
            return len(self._sends_by_host.get(host, ()))

    @property
    def total(self) -> int:
        """Number of sends registered for all hosts."""
        with self._lock:
            return sum(len(sends) for sends in self._sends_by_host.values())

    def drained(self, host: HostId, revision: Revision) -> bool:
        """Return whether nothing is in flight or will be sent to ``host`` from this process.

        :param revision: the pool record's revision in which the host is being withdrawn.
        """
        return any(
            blocked.host == host and blocked.revision >= revision
            for blocked in self.blocked_hosts()
        )

    @property
    def withdrawing(self) -> tuple[HostId, ...]:
        """Hosts of this zone that are being withdrawn."""
        return tuple(host for _, host in self._withdrawing(self._view.hosts_by_id))

    def blocked_hosts(self) -> tuple[Barred, ...]:
        """Return this zone's withdrawing hosts with nothing in flight, with the revision seen."""
        with self._lock:
            # The order of the two reads matters, since the view replaces its pools before its
            # hosts: hosts that are read second are at least as new as the pools' revision.
            pools = self._view.pools_by_id
            hosts = self._view.hosts_by_id
            return tuple(
                Barred(host, pools[pool][1])
                for pool, host in self._withdrawing(hosts)
                if host not in self._sends_by_host and _is_withdrawing(pools.get(pool), host)
            )

    def _withdrawing(
        self, hosts: dict[HostId, tuple[PoolId, HostEntry]]
    ) -> tuple[tuple[PoolId, HostId], ...]:
        hosts_read, withdrawing = self._withdrawing_cache
        if hosts_read is not hosts:
            withdrawing = tuple(
                (pool, entry.id)
                for pool, entry in hosts.values()
                if entry.phase is HostPhase.WITHDRAWING and entry.zone == self._me.zone
            )
            self._withdrawing_cache = (hosts, withdrawing)
        return withdrawing

    def _find_fault(self, slot: Slot) -> Fault | None:
        if self._clock() >= slot.send_by:
            return _start_fault(slot, FaultKind.EXHAUSTED, "the grant is past its send-by time")
        if slot.target is SlotTarget.ZONE:
            return None
        if not self.may_send:
            return _start_fault(slot, FaultKind.REFUSED, "this process is not registered yet")
        pool, entry = self._view.hosts_by_id.get(slot.host, (None, None))
        if entry is None or pool != slot.pool or entry.phase is not HostPhase.SERVING:
            return _start_fault(slot, FaultKind.REFUSED, "the host no longer serves the pool")
        if entry.zone != self._me.zone:
            # A withdrawal waits only for the gateways of the host's own zone.
            return _start_fault(slot, FaultKind.REFUSED, "the host is of another zone")
        return None


def _is_withdrawing(record: tuple[PoolRecord, Revision] | None, host: HostId) -> bool:
    entry = record[0].hosts_by_id().get(host) if record is not None else None
    return entry is not None and entry.phase is HostPhase.WITHDRAWING


def _start_fault(slot: Slot, kind: FaultKind, reason: str) -> Fault:
    return Fault("routing.start", slot.address, kind, reason)
