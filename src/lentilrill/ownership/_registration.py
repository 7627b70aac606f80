"""The membership of this process: its lease, and its record in the store.

The record and the keys of the shards that the process owns are bound to the lease.
"""

import threading
from collections.abc import Callable

import msgspec
from returns.result import Failure

from lentilrill.faults import FaultKind
from lentilrill.ids import LeaseId, Revision, ZoneId
from lentilrill.ownership._members import MEMBER_PREFIX, MemberRecord, OwnerRecord
from lentilrill.store import Compare, KeyValue, Put
from lentilrill.telemetry import Dependency, Event, log

__all__ = ["LEASE_TTL_S", "Registration"]

LEASE_TTL_S = 1.6
"""Time to live of an entry host's lease. Shorter than a run lease minus the time of a take-over, so
that runs survive the loss of their owner; longer than three renewals plus a slow answer of 0.25 s.
"""
LEASE_MARGIN_S = 0.2
"""Margin before the lease expires in which no order is given, so that an order that passed the
check has been sent by then."""


class Registration:
    """Registers this process as a member, and renews its lease.

    One thread registers; several may renew. An answer about a lease that has been replaced
    meanwhile changes nothing.

    :param me: this process, as its owner records show it.
    :param strength: capacity of this host for control work, in reference cores.
    :param pace: current speed of this host as a share of its usual speed.
    :param clock: clock by which the lease expires.
    :ivar lease: the lease of this process; ``None`` while it has none.
    :ivar valid_until: time until which the lease can't have expired.
    :ivar renewed_at: time at which the last successful renewal was requested.
    """

    def __init__(
        self,
        kv: KeyValue,
        me: OwnerRecord,
        zone: ZoneId,
        strength: float,
        pace: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._kv = kv
        self._me = me
        self._zone = zone
        self._strength = strength
        self._pace = pace
        self._clock = clock
        self._stored_strength = 0.0
        self._lease_calls = Dependency("lease in the store")
        self._lock = threading.Lock()
        self.lease: LeaseId | None = None
        self.valid_until = 0.0
        self.renewed_at = 0.0

    @property
    def strength(self) -> float:
        """Current capacity of this host for control work, in reference cores."""
        return self._strength * self._pace()

    def register(self) -> None:
        """Request a lease and store the member record under it."""
        condition = self._end_previous_process()
        requested_at = self._clock()
        granted = self._kv.lease(LEASE_TTL_S)
        if isinstance(granted, Failure):
            self._lease_calls.record_failure(granted.failure().reason)
            return
        lease = granted.unwrap()
        if not self._write_member_record(lease, condition):
            return
        self._lease_calls.record_success()
        with self._lock:
            self.valid_until = requested_at + LEASE_TTL_S - LEASE_MARGIN_S
            self.lease = lease
        log(Event.MEMBER_REGISTERED, lease=lease, process=self._me.process)

    def renew(self) -> bool:
        """Renew the lease; return ``False`` if it has expired, so that all bound keys are gone."""
        lease = self.lease
        if lease is None:
            return False
        requested_at = self._clock()
        renewed = self._kv.keep_alive(lease)
        if not isinstance(renewed, Failure):
            self._lease_calls.record_success()
            self._extend(lease, requested_at, renewed.unwrap())
            if self._stored_strength != self.strength:
                self._write_member_record(lease)
            return True
        fault = renewed.failure()
        self._lease_calls.record_failure(fault.reason)
        if fault.kind is not FaultKind.CONFLICT:
            return True
        log(Event.LEASE_LAPSED, lease=lease, reason=fault.reason)
        return not self._drop(lease)

    def _extend(self, lease: LeaseId, requested_at: float, granted_s: float) -> None:
        # The store may grant a shorter time to live than requested.
        ttl_s = min(LEASE_TTL_S, granted_s)
        with self._lock:
            if self.lease != lease:
                return
            self.renewed_at = max(self.renewed_at, requested_at)
            self.valid_until = max(self.valid_until, requested_at + ttl_s - LEASE_MARGIN_S)

    def _drop(self, lease: LeaseId) -> bool:
        """Drop a lease that has ended; return whether this process has no lease now."""
        with self._lock:
            if self.lease == lease:
                self.lease = None
                self.valid_until = 0.0
            return self.lease is None

    def revoke(self) -> None:
        """Revoke the lease, which deletes all keys that are bound to it."""
        if (lease := self.lease) is not None:
            self._kv.revoke(lease)

    def _write_member_record(self, lease: LeaseId, condition: tuple[Compare, ...] = ()) -> bool:
        """Write the member record with the current strength; return whether it was stored."""
        strength = self.strength
        record = MemberRecord(
            self._me.process,
            self._me.incarnation,
            self._zone,
            self._me.inner,
            lease,
            strength,
            records_starts=True,
        )
        put = Put(MEMBER_PREFIX + self._me.process, msgspec.json.encode(record), lease)
        written = self._kv.commit(condition, (put,))
        if isinstance(written, Failure):
            self._lease_calls.record_failure(written.failure().reason)
            return False
        if not written.unwrap().succeeded:
            self._lease_calls.record_failure("the member record has changed since it was read")
            return False
        self._stored_strength = strength
        return True

    def _end_previous_process(self) -> tuple[Compare, ...]:
        """Revoke the lease of this host's previous process, so that its shards are free at once.

        That process must have ended, since only one process can listen on its address.

        :return: condition of the next write of the member record. With it a write without an
            answer, of this process or the previous one, that is carried out later fails.
        """
        key = MEMBER_PREFIX + self._me.process
        read = self._kv.get(key)
        if isinstance(read, Failure):
            # Its shards become free when the lease expires, a second or two later.
            self._lease_calls.record_failure(read.failure().reason)
            return ()
        item = read.unwrap()
        if item is None or item.value is None:
            return (Compare(key, Revision(0)),)
        old = msgspec.json.decode(item.value, type=MemberRecord)
        is_same_host = old.inner == self._me.inner
        if not old.lease or not is_same_host or old.incarnation == self._me.incarnation:
            return (Compare(key, item.revision),)
        log(Event.PREDECESSOR_ENDED, lease=old.lease, process=old.process)
        is_revoked = not isinstance(self._kv.revoke(old.lease), Failure)
        return (Compare(key, Revision(0) if is_revoked else item.revision),)
