"""This process's membership and the shards it owns."""

import threading
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec
from returns.result import Failure, Success

from lentilrill.faults import FaultKind
from lentilrill.ids import Incarnation, ProcessId, Revision, ZoneId
from lentilrill.ownership._clock import boottime
from lentilrill.ownership._hand_over import HandOver
from lentilrill.ownership._members import MemberRecord, OwnerRecord, Shard, rank
from lentilrill.ownership._pace import USUAL
from lentilrill.store import Compare, DeleteRange, Follower, Item, KeyValue, Put
from lentilrill.telemetry import Dependency, Event, log, run_and_log_errors

__all__ = ["OWNER_TTL_S", "Ownership"]

MEMBERS = "m/n/"
OWNERS = "m/o/"
BOTH = "m/"

OWNER_TTL_S = 1.6
"""Lease of an entry host. Shorter than an endpoint's hold less a take-over, so that tasks outlive
the loss of their owner; longer than three renewals and a slow answer of 0.25 s."""
RENEW_S = 0.4
"""Three renewals fit into a lease, so that one lost answer costs nothing."""
SAFETY_S = 0.2
"""By how much a right ends before its lease: an order that was checked is on its way by then."""
CLAIM_EVERY_S = 0.1
CLAIM_STAGGER_S = 0.15
"""Pause between the claims of first and second in line, and so on: a claim takes a few ms, so a
race, which costs a call, is rare."""
SETTLE_S = 0.4
"""Wait after the own start before the first claim: hosts that start together see each other."""


class _ShardTask(Protocol):
    def gained(self, shard: Shard, token: Revision) -> None:
        """Begin to act as owner."""

    def lost(self, shard: Shard, *, flush: bool = False) -> None:
        """Stop at once: another process may own the shard.

        :param flush: nobody can own it yet: store what is known.
        """


class Ownership:
    """Registers this process, claims shards that nobody owns, and tells who owns the others.

    :param shards: the shards that exist now.
    :param outage_everywhere: whether most entry hosts report that the store is silent.
    :param strength: how much control work this host can carry, in usual cores.
    :param pace: share of its usual speed at which this host works now. Its strength is told times
        this, so that a slowed host claims last and hands over what it owns, as a weak one does.
    :param takes_over: whether another host says that it can take a shard over now.
    """

    def __init__(
        self,
        kv: KeyValue,
        process: ProcessId,
        incarnation: Incarnation,
        zone: ZoneId,
        inner: str,
        shards: Callable[[], set[Shard]],
        task: _ShardTask,
        outage_everywhere: Callable[[], bool] = lambda: False,
        strength: float = 1.0,
        pace: Callable[[], float] = lambda: 1.0,
        takes_over: Callable[[ProcessId], bool] = lambda process: False,
        clock: Callable[[], float] = boottime,
    ) -> None:
        self._kv = kv
        self._process = process
        self._incarnation = incarnation
        self._zone = zone
        self._inner = inner
        self._shards = shards
        self._task = task
        self._outage_everywhere = outage_everywhere
        self._strength = strength
        self._pace = pace
        self._hand_over = HandOver(process, takes_over, lambda: pace() < USUAL)
        self._clock = clock
        self._lock = threading.RLock()
        self._lease = 0
        self._proved_until = 0.0
        self._kept_at = 0.0
        self._told_strength = 0.0
        self._members_by_process: dict[ProcessId, MemberRecord] = {}
        self._owners_by_shard: dict[Shard, tuple[OwnerRecord, Revision]] = {}
        self._tokens_by_shard: dict[Shard, Revision] = {}
        self._absent_since: dict[Shard, float] = {}
        self._given_up_by_shard: dict[Shard, Revision] = {}
        self._lease_calls = Dependency("lease in the store")
        self._began = clock()
        self._ended = threading.Event()
        self._leaving = False
        self._left = False
        self._wake = threading.Event()
        self._follower = Follower(kv, BOTH, self)
        self._tasks = [
            threading.Thread(target=self._renew, name="ownership-renew", daemon=True),
            threading.Thread(target=self._claim, name="ownership-claim", daemon=True),
        ]

    def start(self) -> None:
        """Begin to register and claim."""
        self._follower.start()
        for task in self._tasks:
            task.start()

    @property
    def peers(self) -> list[MemberRecord]:
        """The other entry hosts, as last read from the store."""
        with self._lock:
            known = list(self._members_by_process.values())
        return [member for member in known if member.process != self._process]

    def owner_of(self, shard: Shard) -> OwnerRecord | None:
        """Return the owner as last read from the store."""
        with self._lock:
            owner = self._owners_by_shard.get(shard)
        return owner[0] if owner is not None else None

    @property
    def is_owner(self) -> bool:
        """Whether this process acts as owner of any shard."""
        return bool(self._tokens_by_shard)

    def may_order(self, shard: Shard) -> bool:
        """Whether this process may act as the shard's owner at this moment.

        Its lease is proved by time; or the store is silent for most hosts, so that nobody can
        have claimed the shard. Whoever takes over counts on both, and fences first.
        """
        if shard not in self._tokens_by_shard:
            return False
        return self._clock() < self._proved_until or self._outage_everywhere()

    @property
    def registered(self) -> bool:
        """Whether the process holds a lease and has seen the other hosts."""
        return bool(self._lease) and self._follower.initial_read_done.is_set()

    def leave(self) -> None:
        """Give all shards up and claim none any more; the process stays a member."""
        with self._lock:
            self._leaving = True
            tokens = dict(self._tokens_by_shard)
        for shard, token in tokens.items():
            self._stop(shard, token)
            self._release(shard, token)
        self._left = True

    def _stop(self, shard: Shard, token: Revision) -> None:
        """Stop acting as a shard's owner while its key is still this process's.

        A slowed host stores nothing before: what it knows of ends, endpoints list again, and the
        next owner reads it there sooner, as after a kill.
        """
        with self._lock:
            self._given_up_by_shard[shard] = token
            self._tokens_by_shard.pop(shard, None)
        self._task.lost(shard, flush=self._pace() >= USUAL)

    def _release(self, shard: Shard, token: Revision) -> None:
        """Let others claim a shard; nothing changes if another one has its key already."""
        key = OWNERS + shard
        result = self._kv.commit((Compare(key, token),), (DeleteRange(key),))
        log(Event.SHARD_RELEASED, shard=shard, token=token, result=_shown(result))

    def close(self) -> None:
        """End the lease and all tasks."""
        self._ended.set()
        self._wake.set()
        self._follower.close()
        if self._lease:
            self._kv.revoke(self._lease)

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Take over a full read of the records."""
        with self._lock:
            self._members_by_process = {}
            self._owners_by_shard = {}
        self.on_changed(items)
        self._check_tokens()

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Take over changes of the records."""
        with self._lock:
            for item in items:
                self._take(item)
        self._check_tokens()
        self._wake.set()

    def _take(self, item: Item) -> None:
        is_owner = item.key.startswith(OWNERS)
        name = item.key.removeprefix(OWNERS if is_owner else MEMBERS)
        if is_owner:
            self._owners_by_shard.pop(Shard(name), None)
            if item.value is not None:
                owner = msgspec.json.decode(item.value, type=OwnerRecord)
                self._owners_by_shard[Shard(name)] = (owner, item.revision)
            return
        self._members_by_process.pop(ProcessId(name), None)
        if item.value is not None:
            member = msgspec.json.decode(item.value, type=MemberRecord)
            self._members_by_process[ProcessId(name)] = member

    def _check_tokens(self) -> None:
        """Give up shards whose key was taken away or belongs to another one."""
        with self._lock:
            lost = [
                shard
                for shard, token in self._tokens_by_shard.items()
                if (held := self._owners_by_shard.get(shard)) is None or held[1] > token
            ]
        for shard in lost:
            self._lose(shard, "its key is gone or another's")

    def _lose(self, shard: Shard, reason: str) -> None:
        with self._lock:
            token = self._tokens_by_shard.pop(shard, None)
        if token is not None:
            self._given_up_by_shard[shard] = token
            log(Event.SHARD_LOST, shard=shard, token=token, reason=reason)
            self._task.lost(shard)

    def give_up(self, shard: Shard, reason: str) -> None:
        """Stop owning a shard that was refused because of a newer token."""
        self._lose(shard, reason)

    def _renew(self) -> None:
        while not self._ended.is_set():
            run_and_log_errors("lease", self._keep if self._lease else self._register)
            self._ended.wait(RENEW_S if self._lease else RENEW_S / 3)

    def _register(self) -> None:
        self._end_predecessor()
        asked = self._clock()
        granted = self._kv.lease(OWNER_TTL_S)
        if isinstance(granted, Failure):
            self._lease_calls.record_failure(granted.failure().reason)
            return
        lease = granted.unwrap()
        if not self._tell_strength(lease):
            return
        self._lease_calls.record_success()
        self._proved_until = asked + OWNER_TTL_S - SAFETY_S
        self._lease = lease
        log(Event.MEMBER_REGISTERED, lease=lease, process=self._process)

    def _tell_strength(self, lease: int) -> bool:
        """Write this process's record with its present strength; return whether it is stored."""
        strength = self._strength * self._pace()
        record = MemberRecord(
            self._process, self._incarnation, self._zone, self._inner, lease, strength
        )
        put = Put(MEMBERS + self._process, msgspec.json.encode(record), lease)
        if isinstance(written := self._kv.commit((), (put,)), Failure):
            self._lease_calls.record_failure(written.failure().reason)
            return False
        self._told_strength = strength
        return True

    def _end_predecessor(self) -> None:
        """End the lease of an earlier process of this host, so that its shards are free at once.

        It has surely ended: this process listens on its address, which only one can.
        """
        read = self._kv.read(MEMBERS + self._process)
        if isinstance(read, Failure):
            # Its shards come free with its lease, a second or two later.
            self._lease_calls.record_failure(read.failure().reason)
            return
        for item in read.unwrap().items:
            if item.key != MEMBERS + self._process or item.value is None:
                continue
            old = msgspec.json.decode(item.value, type=MemberRecord)
            if old.inner == self._inner and old.incarnation != self._incarnation:
                self._kv.revoke(old.lease)
                log(Event.PREDECESSOR_ENDED, lease=old.lease, process=old.process)

    def _keep(self) -> None:
        asked = self._clock()
        kept = self._kv.keep_alive(self._lease)
        if not isinstance(kept, Failure):
            self._lease_calls.record_success()
            self._kept_at = max(self._kept_at, asked)
            # The store may apply a shorter time than was asked for.
            ttl_s = min(OWNER_TTL_S, kept.unwrap())
            self._proved_until = max(self._proved_until, asked + ttl_s - SAFETY_S)
            if self._told_strength != self._strength * self._pace():
                self._tell_strength(self._lease)
            return
        self._lease_calls.record_failure(kept.failure().reason)
        if kept.failure().kind is FaultKind.CONFLICT:
            log(Event.LEASE_LAPSED, lease=self._lease, reason=kept.failure().reason)
            self._lease = 0
            self._proved_until = 0.0
            for shard in list(self._tokens_by_shard):
                self._lose(shard, "the lease has lapsed")

    def _claim(self) -> None:
        while not self._ended.is_set():
            self._wake.wait(CLAIM_EVERY_S)
            self._wake.clear()
            if not self.registered or self._clock() - self._began < SETTLE_S:
                continue
            if not self._has_claims():
                continue
            if self._clock() >= self._proved_until:
                continue
            if not self._leaving:
                for shard in sorted(self._shards()):
                    run_and_log_errors("claim", partial(self._claim_if_due, shard))
                run_and_log_errors("hand-over", self._hand_over_if_due)
            if not self._leaving or self._left:
                run_and_log_errors("release", self._release_unused)

    def _has_claims(self) -> bool:
        """Whether this process owns shards or has keys of some, or any has no owner."""
        if self.is_owner or self._leaving or self._absent_since:
            return True
        with self._lock:
            owners = self._owners()
        return self._process in owners.values() or not self._shards() <= owners.keys()

    def _claim_if_due(self, shard: Shard) -> None:
        now = self._clock()
        self._adopt_claim(shard)
        with self._lock:
            if shard in self._owners_by_shard or shard in self._tokens_by_shard:
                self._absent_since.pop(shard, None)
                return
            since = self._absent_since.setdefault(shard, now)
            owners = self._owners()
            members = list(self._members_by_process.values())
        # Guard against one host that owns everything after an outage in which all leases ran out:
        # it is the first one back, knows of no other, and so is the first in line for each shard.
        mine = sum(1 for owner in owners.values() if owner == self._process)
        before = max(mine, rank(shard, self._process, members, owners))
        if now - since < before * CLAIM_STAGGER_S:
            return
        key = OWNERS + shard
        record = OwnerRecord(self._process, self._incarnation, self._inner)
        put = Put(key, msgspec.json.encode(record), self._lease)
        result = self._kv.commit((Compare(key, Revision(0)),), (put,))
        if isinstance(result, Failure) or not result.unwrap().succeeded:
            # After a lost answer the watch tells whether the key is ours; see _adopt_claim.
            self._absent_since.pop(shard, None)
            log(Event.SHARD_NOT_CLAIMED, shard=shard, result=_shown(result))
            return
        token = result.unwrap().revision
        with self._lock:
            self._owners_by_shard[shard] = (record, token)
        self._gain(shard, token)

    def _adopt_claim(self, shard: Shard) -> None:
        """Act on an own claim whose answer was lost, once the watch shows the key."""
        with self._lock:
            owner = self._owners_by_shard.get(shard)
            if owner is None or shard in self._tokens_by_shard:
                return
            record, token = owner
            if not self._is_mine(record) or token == self._given_up_by_shard.get(shard):
                return
        self._gain(shard, token)

    def _is_mine(self, record: OwnerRecord) -> bool:
        return record.process == self._process and record.incarnation == self._incarnation

    def _owners(self) -> dict[Shard, ProcessId]:
        return {shard: record.process for shard, (record, _) in self._owners_by_shard.items()}

    def _hand_over_if_due(self) -> None:
        with self._lock:
            if not self._tokens_by_shard:
                return
            members = self._members_now()
            tokens = dict(self._tokens_by_shard)
            due = self._hand_over.due(self._clock(), tokens, members, self._owners())
        if due is None:
            return
        shard, target = due
        # Guard against a shard that nobody acts on while the store is away.
        asked = self._clock()
        self._keep()
        if self._kept_at >= asked:
            self._pass_on(shard, tokens[shard], target)

    def _members_now(self) -> list[MemberRecord]:
        """Return all members, this process with its present strength, not with the stored one."""
        strength = self._strength * self._pace()
        return [
            (
                msgspec.structs.replace(member, strength=strength)
                if member.process == self._process
                else member
            )
            for member in self._members_by_process.values()
        ]

    def _pass_on(self, shard: Shard, token: Revision, target: MemberRecord) -> None:
        """Make another process the owner of a shard, which its watch tells it.

        If that one is gone, the store refuses its lease; if it goes now, its lease lapses. After a
        lost answer the key is another's or still this process's, which then releases it.
        """
        began = self._clock()
        self._stop(shard, token)
        stopped = self._clock()
        key = OWNERS + shard
        record = OwnerRecord(target.process, target.incarnation, target.inner)
        put = Put(key, msgspec.json.encode(record), target.lease)
        result = self._kv.commit((Compare(key, token),), (put,))
        now = self._clock()
        with self._lock:
            self._hand_over.changed(now)
            if isinstance(result, Success) and result.unwrap().succeeded:
                self._owners_by_shard[shard] = (record, result.unwrap().revision)
        log(
            Event.SHARD_HANDED_OVER,
            shard=shard,
            token=token,
            to=target.process,
            pace=self._pace(),
            stopped_s=round(stopped - began, 3),
            written_s=round(now - stopped, 3),
            result=_shown(result),
        )

    def _release_unused(self) -> None:
        """Release keys of this process that it doesn't act on, and won't.

        The answer to a release or a hand-over was lost, or a shard was handed to this process when
        it was about to leave.
        """
        with self._lock:
            unused = [
                (shard, token)
                for shard, (record, token) in self._owners_by_shard.items()
                if self._is_mine(record)
                and shard not in self._tokens_by_shard
                and (self._leaving or token == self._given_up_by_shard.get(shard))
            ]
        for shard, token in unused:
            self._release(shard, token)

    def _gain(self, shard: Shard, token: Revision) -> None:
        with self._lock:
            if self._leaving:
                return
            self._tokens_by_shard[shard] = token
            self._hand_over.changed(self._clock())
        log(Event.SHARD_CLAIMED, shard=shard, token=token)
        self._task.gained(shard, token)


def _shown(result: object) -> str:
    return result.failure().reason if isinstance(result, Failure) else "done"
