"""Conditional writes of the keys that name the owners of shards."""

import msgspec
from returns.result import Failure, Result

from lentilrill.faults import Fault
from lentilrill.ids import LeaseId, Revision
from lentilrill.ownership._members import OWNER_PREFIX, OwnerRecord, Shard
from lentilrill.store import Compare, DeleteRange, KeyValue, Put, TxnAnswer

__all__ = ["NO_OWNER", "OwnerKeys", "result_text"]

NO_OWNER = Revision(0)
"""Stands for the token of a shard without an owner."""


class OwnerKeys:
    """Writes the keys of shards; a key that another process has written since stays as it is."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv

    def write(
        self,
        shard: Shard,
        conditions: tuple[Compare, ...],
        record: OwnerRecord,
        lease: LeaseId,
    ) -> Result[TxnAnswer, Fault]:
        """Make a process the owner of ``shard``.

        :param conditions: under which it may be; the key of the shard is among them.
        :param lease: lease of the new owner, to which the key is bound. If it has ended by the time
            the store gets the write, nothing is written.
        """
        key = OWNER_PREFIX + shard
        put = Put(key, msgspec.json.encode(record), lease)
        return self._kv.commit(conditions, (put,))

    def delete(self, shard: Shard, token: Revision) -> Result[TxnAnswer, Fault]:
        """Delete the key of ``shard``, so that other processes can claim it."""
        key = OWNER_PREFIX + shard
        return self._kv.commit((Compare(key, token),), (DeleteRange(key),))


def result_text(result: Result[TxnAnswer, Fault]) -> str:
    """Return the result of a write as text for a log line."""
    return result.failure().reason if isinstance(result, Failure) else "done"
