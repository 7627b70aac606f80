"""The shards that this process owns: claiming, giving up and handing over."""

import threading
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec
from returns.result import Failure, Success

from lentilrill.ids import Incarnation, ProcessId, Revision, ZoneId
from lentilrill.ownership._claim_times import ClaimTimes
from lentilrill.ownership._clock import boottime
from lentilrill.ownership._hand_over import HandOverPolicy
from lentilrill.ownership._members import (
    OWNER_PREFIX,
    RECORD_PREFIX,
    MemberRecord,
    OwnerRecord,
    Shard,
)
from lentilrill.ownership._owner_keys import OwnerKeys, result_text
from lentilrill.ownership._pace import NORMAL_PACE
from lentilrill.ownership._registration import Registration
from lentilrill.ownership._stored_records import StoredOwner, StoredRecords
from lentilrill.store import Compare, Follower, Item, KeyValue
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["Ownership"]

RENEW_INTERVAL_S = 0.4
"""Three renewals fit into one lease, so that a single lost answer has no effect."""
REGISTER_INTERVAL_S = RENEW_INTERVAL_S / 3
CLAIM_INTERVAL_S = 0.1
FIRST_CLAIM_DELAY_S = 0.4
"""Delay between start and first claim, so that hosts that start together see each other."""


class _ShardListener(Protocol):
    def on_gained(self, shard: Shard, token: Revision) -> None:
        """Start acting as the owner of ``shard``."""

    def on_lost(self, shard: Shard, *, flush: bool = False) -> None:
        """Stop acting as the owner at once; another process may own the shard.

        :param flush: whether to store unsaved state first, as no other process can own it yet.
        """


class Ownership:
    """Registers this process, claims shards without an owner, and tracks the owners of the others.

    :param shards: returns the shards that currently exist.
    :param is_store_outage: whether most entry hosts report that the store does not answer.
    :param strength: capacity of this host for control work, in reference cores.
    :param pace: current speed of this host as a share of its usual speed. The published strength
        is multiplied by it, so that a slowed host claims last and hands its shards over, as a weak
        host does.
    :param can_take_over: whether another host has reported that it can take over a shard now.
    """

    def __init__(
        self,
        kv: KeyValue,
        process: ProcessId,
        incarnation: Incarnation,
        zone: ZoneId,
        inner: str,
        shards: Callable[[], set[Shard]],
        listener: _ShardListener,
        is_store_outage: Callable[[], bool] = lambda: False,
        strength: float = 1.0,
        pace: Callable[[], float] = lambda: 1.0,
        can_take_over: Callable[[ProcessId], bool] = lambda process: False,
        clock: Callable[[], float] = boottime,
    ) -> None:
        self._process = process
        self._record = OwnerRecord(process, incarnation, inner)
        self._shards = shards
        self._listener = listener
        self._is_store_outage = is_store_outage
        self._pace = pace
        self._registration = Registration(kv, self._record, zone, strength, pace, clock)
        self._keys = OwnerKeys(kv)
        self._claim_times = ClaimTimes(process)
        self._hand_over_policy = HandOverPolicy(
            process, can_take_over, lambda: pace() < NORMAL_PACE
        )
        self._clock = clock
        self._lock = threading.RLock()
        self._records = StoredRecords()
        self._tokens_by_shard: dict[Shard, Revision] = {}
        self._released_tokens_by_shard: dict[Shard, Revision] = {}
        self._stopping: set[Shard] = set()
        self._started_at = clock()
        self._ended = threading.Event()
        self._leaving = False
        self._has_left = False
        self._wake = threading.Event()
        self._follower = Follower(kv, RECORD_PREFIX, self)
        self._threads = [
            threading.Thread(target=self._renew_loop, name="ownership-renew", daemon=True),
            threading.Thread(target=self._claim_loop, name="ownership-claim", daemon=True),
        ]

    def start(self) -> None:
        """Start registering and claiming."""
        self._follower.start()
        for thread in self._threads:
            thread.start()

    @property
    def peers(self) -> list[MemberRecord]:
        """The other registered entry hosts, as last read from the store."""
        with self._lock:
            members = list(self._records.members_by_process.values())
        return [member for member in members if member.process != self._process]

    def owner_of(self, shard: Shard) -> OwnerRecord | None:
        """Return the owner of ``shard``, as last read from the store."""
        with self._lock:
            owner = self._records.owners_by_shard.get(shard)
        return owner.record if owner is not None else None

    @property
    def is_owner(self) -> bool:
        """Whether this process acts as owner of any shard."""
        return bool(self._tokens_by_shard)

    def may_order(self, shard: Shard) -> bool:
        """Whether this process may act as the owner of ``shard`` now.

        It may while its lease can't have expired, or while most hosts report that the store does
        not answer, so that no other host can have claimed the shard. A host that takes over relies
        on both conditions, and fences the previous owner first.
        """
        return shard not in self._stopping and self.holds(shard)

    def may_order_as(self, shard: Shard, token: Revision) -> bool:
        """Whether this process may act as the owner of ``shard`` now, under ``token``.

        It may have lost the shard since it got that token, and own it again under another one.
        """
        return self._tokens_by_shard.get(shard) == token and self.may_order(shard)

    def holds(self, shard: Shard) -> bool:
        """Whether no other process can own ``shard`` now, also while this one stops acting on it.

        See :meth:`may_order`.
        """
        if shard not in self._tokens_by_shard:
            return False
        return self._clock() < self._registration.valid_until or self._is_store_outage()

    @property
    def registered(self) -> bool:
        """Whether this process holds a lease and has read the records of the other hosts."""
        has_lease = self._registration.lease is not None
        return has_lease and self._follower.initial_read_done.is_set()

    def leave(self) -> None:
        """Release all shards and stop claiming; the process stays a member."""
        with self._lock:
            self._leaving = True
            tokens = {
                shard: token
                for shard, token in self._tokens_by_shard.items()
                if shard not in self._stopping
            }
        for shard, token in tokens.items():
            started_at = self._clock()
            self._stop_acting(shard, token)
            self._release(shard, token, self._clock() - started_at)
        self._has_left = True

    def _stop_acting(self, shard: Shard, token: Revision) -> None:
        """Stop acting as the owner of ``shard`` before its key is released.

        A slowed host does not flush: endpoints list ended runs again, and the next owner gets them
        from there sooner, as after a crash.
        """
        with self._lock:
            self._released_tokens_by_shard[shard] = token
            self._stopping.add(shard)
        try:
            self._listener.on_lost(shard, flush=self._pace() >= NORMAL_PACE)
        finally:
            with self._lock:
                self._stopping.discard(shard)
                if self._tokens_by_shard.get(shard) == token:
                    del self._tokens_by_shard[shard]

    def _release(self, shard: Shard, token: Revision, stopped_s: float = 0.0) -> None:
        """Delete the key of ``shard``, unless another process has written it since.

        :param stopped_s: seconds that stopping to act as its owner took.
        """
        result = self._keys.delete(shard, token)
        log(
            Event.SHARD_RELEASED,
            shard=shard,
            token=token,
            stopped_s=round(stopped_s, 3),
            result=result_text(result),
        )

    def close(self) -> None:
        """Stop all threads and revoke the lease."""
        self._ended.set()
        self._wake.set()
        self._follower.close()
        self._registration.revoke()

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Replace the cached records by a full read."""
        with self._lock:
            self._records.clear()
        self.on_changed(items)
        self._drop_lost_shards()

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Apply changes of the records."""
        with self._lock:
            self._records.apply(items, self._follower.read_revision)
        self._drop_lost_shards()
        self._wake.set()

    @property
    def records_since(self) -> Revision | None:
        """Revision from which on every owner stores a record before the first start of a job.

        Hosts of an earlier version don't; ``None`` while one of them is registered.
        """
        return self._records.records_since

    def _drop_lost_shards(self) -> None:
        """Drop shards whose key was deleted or belongs to another process."""
        with self._lock:
            lost = [
                shard
                for shard, token in self._tokens_by_shard.items()
                if (current := self._records.owners_by_shard.get(shard)) is None
                or current.token > token
            ]
        for shard in lost:
            self._lose(shard, "its key was deleted or belongs to another process")

    def _lose(self, shard: Shard, reason: str) -> None:
        with self._lock:
            token = self._tokens_by_shard.pop(shard, None)
        if token is not None:
            self._released_tokens_by_shard[shard] = token
            log(Event.SHARD_LOST, shard=shard, token=token, reason=reason)
            self._listener.on_lost(shard)

    def give_up(self, shard: Shard, token: Revision, reason: str) -> None:
        """Stop owning ``shard`` after a request under ``token`` was refused for a newer one."""
        with self._lock:
            is_current = self._tokens_by_shard.get(shard) == token
        if is_current:
            self._lose(shard, reason)

    def _renew_loop(self) -> None:
        while not self._ended.is_set():
            if self._registration.lease is not None:
                run_and_log_errors("lease", self._renew_lease)
            else:
                run_and_log_errors("lease", self._registration.register)
            is_registered = self._registration.lease is not None
            self._ended.wait(RENEW_INTERVAL_S if is_registered else REGISTER_INTERVAL_S)

    def _renew_lease(self) -> None:
        if self._registration.renew():
            return
        with self._lock:
            lost = list(self._tokens_by_shard)
        for shard in lost:
            self._lose(shard, "the lease has expired")

    def _claim_loop(self) -> None:
        while not self._ended.is_set():
            self._wake.wait(CLAIM_INTERVAL_S)
            self._wake.clear()
            if not self.registered or self._clock() - self._started_at < FIRST_CLAIM_DELAY_S:
                continue
            if not self._needs_claim_round():
                continue
            if self._clock() >= self._registration.valid_until:
                continue
            if not self._leaving:
                for shard in sorted(self._shards()):
                    run_and_log_errors("claim", partial(self._claim_if_due, shard))
                run_and_log_errors("hand-over", self._hand_over_if_due)
            if not self._leaving or self._has_left:
                run_and_log_errors("release", self._release_unused)

    def _needs_claim_round(self) -> bool:
        """Whether this process owns shards or holds keys of any, or some shard has no owner."""
        if self.is_owner or self._leaving or self._claim_times.has_pending:
            return True
        with self._lock:
            owners = self._records.process_by_shard()
        return self._process in owners.values() or not self._shards() <= owners.keys()

    def _claim_if_due(self, shard: Shard) -> None:
        now = self._clock()
        self._adopt_claim(shard)
        with self._lock:
            conditions = self._records.claim_conditions(shard)
            if conditions is None or shard in self._tokens_by_shard:
                self._claim_times.reset(shard)
                return
            if not self._claim_times.is_due(shard, self._records, now):
                return
        # This may be long after the check at the beginning of the round, if the host was suspended.
        lease = self._registration.lease
        if lease is None:
            return
        result = self._keys.write(shard, conditions, self._record, lease)
        if isinstance(result, Failure) or not result.unwrap().succeeded:
            # If the answer was lost, the watch shows whether the claim succeeded; see _adopt_claim.
            self._claim_times.reset(shard)
            log(Event.SHARD_NOT_CLAIMED, shard=shard, result=result_text(result))
            return
        owner = StoredOwner(self._record, result.unwrap().revision, lease)
        with self._lock:
            self._records.add_written(shard, owner)
        self._acquire(shard, owner)

    def _adopt_claim(self, shard: Shard) -> None:
        """Act on a claim whose answer was lost, once the watch shows its key."""
        with self._lock:
            owner = self._records.owners_by_shard.get(shard)
            if owner is None or shard in self._tokens_by_shard:
                return
            was_released = owner.token == self._released_tokens_by_shard.get(shard)
            if was_released or not self._is_own(owner.record) or not self._is_bound(owner):
                return
        self._acquire(shard, owner)

    def _is_bound(self, owner: StoredOwner) -> bool:
        """Whether the key of an owner is bound to the present lease of this process, or to none."""
        return owner.lease is None or owner.lease == self._registration.lease

    def _is_own(self, record: OwnerRecord) -> bool:
        me = self._record
        return record.process == me.process and record.incarnation == me.incarnation

    def _hand_over_if_due(self) -> None:
        with self._lock:
            if not self._tokens_by_shard:
                return
            members = self._current_members()
            tokens = dict(self._tokens_by_shard)
            planned = self._hand_over_policy.next_hand_over(
                self._clock(), tokens, members, self._records.process_by_shard()
            )
        if planned is None:
            return
        shard, target = planned
        # If the store is unreachable no host could take over, and the shard would have no owner.
        requested_at = self._clock()
        self._renew_lease()
        if self._registration.renewed_at >= requested_at:
            self._transfer(shard, tokens[shard], target)

    def _current_members(self) -> list[MemberRecord]:
        """Return all members, with this process's current strength instead of the stored one."""
        strength = self._registration.strength
        return [
            (
                msgspec.structs.replace(member, strength=strength)
                if member.process == self._process
                else member
            )
            for member in self._records.members_by_process.values()
        ]

    def _transfer(self, shard: Shard, token: Revision, target: MemberRecord) -> None:
        """Make another process the owner of ``shard``, which its watch of the store shows it.

        If the target has ended, the store refuses its lease; if it ends now, the key expires with
        its lease. If the answer is lost, the key belongs either to the target or still to this
        process, which then releases it.
        """
        started_at = self._clock()
        self._stop_acting(shard, token)
        stopped_at = self._clock()
        record = OwnerRecord(target.process, target.incarnation, target.inner)
        condition = Compare(OWNER_PREFIX + shard, token)
        result = self._keys.write(shard, (condition,), record, target.lease)
        now = self._clock()
        with self._lock:
            self._hand_over_policy.record_change(now)
            if isinstance(result, Success) and result.unwrap().succeeded:
                owner = StoredOwner(record, result.unwrap().revision, target.lease)
                self._records.add_written(shard, owner)
        log(
            Event.SHARD_HANDED_OVER,
            shard=shard,
            token=token,
            to=target.process,
            pace=self._pace(),
            stopped_s=round(stopped_at - started_at, 3),
            written_s=round(now - stopped_at, 3),
            result=result_text(result),
        )

    def _release_unused(self) -> None:
        """Release keys of this process for shards that it has stopped acting on.

        Such keys are left if the answer to a release or hand-over was lost, or if another host
        handed a shard over while this process was leaving.
        """
        with self._lock:
            unused = [
                (shard, owner.token)
                for shard, owner in self._records.owners_by_shard.items()
                if self._is_own(owner.record)
                and shard not in self._tokens_by_shard
                and (self._leaving or owner.token == self._released_tokens_by_shard.get(shard))
            ]
        for shard, token in unused:
            self._release(shard, token)

    def _acquire(self, shard: Shard, owner: StoredOwner) -> None:
        """Start to act as the owner of ``shard``, unless its key has ended with its lease."""
        token = owner.token
        with self._lock:
            if self._leaving:
                return
            current = self._records.owners_by_shard.get(shard)
            if current is None or current.token != token or not self._is_bound(owner):
                self._claim_times.reset(shard)
                log(Event.SHARD_NOT_CLAIMED, shard=shard, result="the key has ended since")
                return
            self._tokens_by_shard[shard] = token
            self._hand_over_policy.record_change(self._clock())
        log(Event.SHARD_CLAIMED, shard=shard, token=token)
        self._listener.on_gained(shard, token)
