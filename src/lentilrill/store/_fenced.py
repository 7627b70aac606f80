"""A record that only the owner of a shard can write."""

from enum import Enum

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault
from lentilrill.ids import Revision
from lentilrill.store._contract import Compare, Item, KeyValue, Put
from lentilrill.telemetry import Dependency

__all__ = ["FencedRecord", "WriteResult"]


class WriteResult(Enum):
    """Result of a write."""

    DONE = "done"
    FAILED = "failed"
    """The write may have taken effect or may still do so; it cannot overwrite a later write."""
    NOT_OWNER = "not-owner"
    """The store has a newer owner."""


class FencedRecord:
    """One key, written on the condition that the owner's key is unchanged.

    The store may execute a write late, after a newer one of the same owner, and the next owner
    would then load the older value. Each write therefore compares the revision that it replaces,
    so that a late write fails. After a write without an answer, that revision is read again.

    :param owner: the owner's key and the revision that serves as its fencing token.
    """

    def __init__(self, kv: KeyValue, key: str, owner: Compare) -> None:
        self._kv = kv
        self._key = key
        self._owner = owner
        self._revision: Revision | None = None
        # One log line per outage, however often the owner retries meanwhile.
        self._store_dependency = Dependency(f"record {key} in the store")

    def read(self) -> Result[Item | None, Fault]:
        """Return the record; ``None`` if it does not exist."""
        read = self._kv.get(self._key)
        if not isinstance(read, Failure):
            item = read.unwrap()
            self._revision = item.revision if item is not None else Revision(0)
        return read

    def write(self, value: bytes) -> WriteResult:
        """Write the record."""
        revision = self._known_revision()
        if isinstance(revision, Failure):
            return self._record_failure(revision.failure().reason)
        compares = (self._owner, Compare(self._key, revision.unwrap()))
        result = self._kv.commit(compares, (Put(self._key, value),))
        self._revision = None
        if isinstance(result, Failure):
            return self._record_failure(result.failure().reason)
        if result.unwrap().succeeded:
            self._revision = result.unwrap().revision
            self._store_dependency.record_success()
            return WriteResult.DONE
        return (
            self._record_failure("the conditions of the transaction failed")
            if self._is_owned()
            else WriteResult.NOT_OWNER
        )

    def _known_revision(self) -> Result[Revision, Fault]:
        if self._revision is None and isinstance(read := self.read(), Failure):
            return read
        return Success(self._revision or Revision(0))

    def _is_owned(self) -> bool:
        """Return whether the shard still has this owner; assume so if the store can't be read."""
        current = self._kv.get(self._owner.key)
        if isinstance(current, Failure):
            self._store_dependency.record_failure(current.failure().reason)
            return True
        item = current.unwrap()
        return item is not None and item.revision == self._owner.revision

    def _record_failure(self, reason: str) -> WriteResult:
        self._store_dependency.record_failure(reason)
        return WriteResult.FAILED
