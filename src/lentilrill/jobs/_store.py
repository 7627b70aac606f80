"""A shard's keys on the platform: fence and batches."""

import uuid

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.jobs._ledger import Batch
from lentilrill.jobs._records import (
    BatchRecord,
    OwnerRecord,
    batch_name,
    batches_prefix,
    owner_key,
    shard_prefix,
)
from lentilrill.membership import Member
from lentilrill.store import Compare, DeleteRange, KeyValue, Put

__all__ = ["ShardStore"]

AFTER_BATCHES = "batch0"
"""Sorts directly after each key that begins with ``batch/``."""


class ShardStore:
    """One owner's way to a shard on the platform.

    The owner key's modification revision is the fence: each batch is written in a transaction
    that compares it. Guard against two owners at once, such as one that was paused while
    another took over: the later one changed the fence, so each write of the former fails.
    """

    def __init__(self, platform: KeyValue, shard: int, member: Member) -> None:
        self._platform = platform
        self._shard = shard
        self._member = member
        self._fence = Revision(0)
        self._sequence = 0

    def take_over(self) -> Result[list[Batch], Fault]:
        """Take the fence, then read every batch.

        Guard against a claim that the former owner commits during the take-over, which would
        be missed, and its job run twice: the reading comes after the fence, so each batch of a
        former owner either was committed before it, and is read, or never will be. A stale
        read shows an older fence. Nothing could be written under that one; it is refused here.
        """
        seen = self._platform.read(owner_key(self._shard))
        if isinstance(seen, Failure):
            return seen
        held = {item.key: item.revision for item in seen.unwrap().items}
        revision = held.get(owner_key(self._shard), Revision(0))
        mine = self._mine()
        taken = self._platform.commit(
            (Compare(owner_key(self._shard), revision),), (Put(owner_key(self._shard), mine),)
        )
        if isinstance(taken, Failure) and taken.failure().kind is not FaultKind.AMBIGUOUS:
            return taken
        if isinstance(taken, Success) and not taken.unwrap().succeeded:
            return self._conflict("another process took the shard over")
        return self._read(mine)

    def next_name(self) -> str:
        """Return the key of the next batch. It is used once, whatever becomes of the write."""
        self._sequence += 1
        return batch_name(self._shard, self._fence, self._sequence)

    def fence(self) -> Compare:
        """Return the condition of every write: that the shard has no other owner."""
        return Compare(owner_key(self._shard), self._fence)

    def writes(self, batch: Batch | None, kept: str | None) -> tuple[Put | DeleteRange, ...]:
        """Return what adds a batch, and deletes those before the key ``kept``; empty: all older."""
        writes: list[Put | DeleteRange] = []
        prefix = batches_prefix(self._shard)
        if kept is not None:
            end = kept or (batch.name if batch else shard_prefix(self._shard) + AFTER_BATCHES)
            writes.append(DeleteRange(prefix, end))
        if batch is not None:
            writes.append(Put(batch.name, msgspec.json.encode(batch.record)))
        return tuple(writes)

    def _read(self, mine: bytes) -> Result[list[Batch], Fault]:
        read = self._platform.read(shard_prefix(self._shard))
        if isinstance(read, Failure):
            return read
        items_by_key = {item.key: item for item in read.unwrap().items}
        owner = items_by_key.pop(owner_key(self._shard), None)
        if owner is None or owner.value != mine:
            return self._conflict("the fence is not seen as taken")
        batches: list[Batch] = []
        for key in sorted(items_by_key):
            value = items_by_key[key].value
            if value is None or not key.startswith(batches_prefix(self._shard)):
                continue
            try:
                batches.append(Batch(key, msgspec.json.decode(value, type=BatchRecord)))
            except msgspec.MsgspecError as error:
                # A batch that can't be read may hold any key: nothing can be claimed safely.
                reason = f"{key} can't be decoded: {error}"
                return Failure(Fault("jobs.take_over", key, FaultKind.INVALID, reason))
        self._fence = owner.revision
        self._sequence = 0
        return Success(batches)

    def _mine(self) -> bytes:
        # The nonce makes each try's value unique, so that reading it back tells whether this
        # very write took effect, also after a restart under the same name.
        member = self._member
        return msgspec.json.encode(
            OwnerRecord(member.process, member.incarnation, uuid.uuid4().hex)
        )

    def _conflict(self, reason: str) -> Failure[Fault]:
        return Failure(Fault("jobs.claim", "platform", FaultKind.CONFLICT, reason))
