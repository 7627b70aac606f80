"""Access to a shard's records on the platform: fencing token and batches."""

import uuid

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.jobs._claim_table import Batch
from lentilrill.jobs._records import (
    BatchRecord,
    OwnerRecord,
    batch_key,
    batches_prefix,
    owner_key,
    shard_prefix,
)
from lentilrill.membership import Member
from lentilrill.store import Compare, DeleteRange, KeyValue, Put

__all__ = ["ShardStore"]

BATCHES_END = "batch0"
"""End of the key range of the prefix ``batch/``; ``0`` follows ``/`` in ASCII."""


class ShardStore:
    """One owner's access to a shard on the platform.

    The owner key's modification revision is the fencing token: each batch is written in a
    transaction that compares it. If two processes act as owners at once, for example because one
    was paused while the other took over, the later one has changed the token, and each write of
    the former one fails.
    """

    def __init__(self, platform: KeyValue, shard: int, member: Member) -> None:
        self._platform = platform
        self._shard = shard
        self._member = member
        self._fencing_token = Revision(0)
        self._sequence = 0

    def take_over(self) -> Result[list[Batch], Fault]:
        """Change the fencing token, then read all batches.

        The order matters: each batch of a former owner is either committed before the token
        changes, and is read here, or its commit fails. If the batches were read first, a claim
        that the former owner commits meanwhile would be missed, and its job would run twice. A
        stale read shows an older token and is refused; no write with that token would succeed.
        """
        owner_read = self._platform.read(owner_key(self._shard))
        if isinstance(owner_read, Failure):
            return owner_read
        revisions_by_key = {item.key: item.revision for item in owner_read.unwrap().items}
        revision = revisions_by_key.get(owner_key(self._shard), Revision(0))
        owner_value = self._new_owner_value()
        committed = self._platform.commit(
            (Compare(owner_key(self._shard), revision),),
            (Put(owner_key(self._shard), owner_value),),
        )
        if isinstance(committed, Failure) and committed.failure().kind is not FaultKind.AMBIGUOUS:
            return committed
        if isinstance(committed, Success) and not committed.unwrap().succeeded:
            return self._conflict("another process took the shard over")
        return self._read_batches(owner_value)

    def next_batch_key(self) -> str:
        """Return the key of the next batch; it is not used again, even if the write fails."""
        self._sequence += 1
        return batch_key(self._shard, self._fencing_token, self._sequence)

    def fencing_condition(self) -> Compare:
        """Return the condition of each write: the shard's fencing token has not changed."""
        return Compare(owner_key(self._shard), self._fencing_token)

    def writes(self, batch: Batch | None, first_kept: str | None) -> tuple[Put | DeleteRange, ...]:
        """Return the writes that add a batch and delete those before the key ``first_kept``.

        :param first_kept: ``None`` deletes none; an empty string deletes all except the new batch.
        """
        writes: list[Put | DeleteRange] = []
        prefix = batches_prefix(self._shard)
        if first_kept is not None:
            end = first_kept or (
                batch.record_key if batch else shard_prefix(self._shard) + BATCHES_END
            )
            writes.append(DeleteRange(prefix, end))
        if batch is not None:
            writes.append(Put(batch.record_key, msgspec.json.encode(batch.record)))
        return tuple(writes)

    def _read_batches(self, owner_value: bytes) -> Result[list[Batch], Fault]:
        read = self._platform.read(shard_prefix(self._shard))
        if isinstance(read, Failure):
            return read
        items_by_key = {item.key: item for item in read.unwrap().items}
        owner = items_by_key.pop(owner_key(self._shard), None)
        if owner is None or owner.value != owner_value:
            return self._conflict("the read does not show this take-over")
        batches: list[Batch] = []
        for key in sorted(items_by_key):
            value = items_by_key[key].value
            if value is None or not key.startswith(batches_prefix(self._shard)):
                continue
            try:
                batches.append(Batch(key, msgspec.json.decode(value, type=BatchRecord)))
            except msgspec.MsgspecError as error:
                # A batch that can't be decoded may contain any key, so no claim would be safe.
                reason = f"{key} can't be decoded: {error}"
                return Failure(Fault("jobs.take_over", key, FaultKind.INVALID, reason))
        self._fencing_token = owner.revision
        self._sequence = 0
        return Success(batches)

    def _new_owner_value(self) -> bytes:
        # The nonce makes the value of each attempt unique, so that reading it back shows whether
        # this write took effect, also after a restart with the same process name.
        member = self._member
        return msgspec.json.encode(
            OwnerRecord(member.process, member.incarnation, uuid.uuid4().hex)
        )

    def _conflict(self, reason: str) -> Failure[Fault]:
        return Failure(Fault("jobs.claim", "platform", FaultKind.CONFLICT, reason))
