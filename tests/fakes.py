"""Fakes of the platform, in memory, with faults that a test can call for."""

import threading
from collections import deque
from collections.abc import Callable, Iterator

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.platform import (
    Compare,
    DeleteRange,
    HostListing,
    Item,
    Priority,
    Put,
    RangeAnswer,
    TxnAnswer,
    WatchBatch,
)

__all__ = ["FakeHostList", "MemoryKeyValue", "lose_answer", "lose_request", "refuse"]

Step = Callable[[Callable[[], Result]], Result]
"""One call's fate: gets the call itself, and returns what the caller sees."""


def lose_answer(call: Callable[[], Result]) -> Result:
    """The call takes effect, its answer is lost."""
    call()
    return Failure(Fault("platform.txn", "fake", FaultKind.AMBIGUOUS, "the answer was lost"))


def lose_request(_call: Callable[[], Result]) -> Result:
    """The call never arrives, and the caller can't tell that from a lost answer."""
    return Failure(Fault("platform.txn", "fake", FaultKind.AMBIGUOUS, "the answer was lost"))


def refuse(_call: Callable[[], Result]) -> Result:
    """The call is given up before it is sent."""
    return Failure(Fault("platform.txn", "fake", FaultKind.UNAVAILABLE, "the platform is away"))


class MemoryKeyValue:
    """A key-value service with compare-and-swap; leases and watches are not offered.

    :ivar commits: fates of the next commits, in order; a commit without one just happens.
    :ivar reads: the same for reads.
    :ivar down: every call fails, unsent, as long as it is set.
    """

    def __init__(self) -> None:
        self.commits: deque[Step] = deque()
        self.reads: deque[Step] = deque()
        self.down = False
        self.revision = Revision(0)
        self._items_by_key: dict[str, Item] = {}
        self._lock = threading.RLock()

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items below ``prefix``."""
        return self._with_fate(self.reads, lambda: Success(self._read(prefix)))

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest revision below ``prefix``."""
        return self.read(prefix, priority).map(
            lambda answer: max((item.revision for item in answer.items), default=Revision(0))
        )

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold."""
        return self._with_fate(self.commits, lambda: Success(self._commit(compares, writes)))

    def watch(self, prefix: str, after: Revision) -> Iterator[Result[WatchBatch, Fault]]:
        """Not offered."""
        raise NotImplementedError

    def lease(self, ttl_s: float) -> Result[int, Fault]:
        """Not offered."""
        raise NotImplementedError

    def keep_alive(self, lease: int) -> Result[float, Fault]:
        """Not offered."""
        raise NotImplementedError

    def revoke(self, lease: int) -> Result[None, Fault]:
        """Not offered."""
        raise NotImplementedError

    def _with_fate(self, fates: deque[Step], call: Callable[[], Result]) -> Result:
        if self.down:
            return refuse(call)
        return fates.popleft()(call) if fates else call()

    def _read(self, prefix: str) -> RangeAnswer:
        with self._lock:
            keys = sorted(key for key in self._items_by_key if key.startswith(prefix))
            return RangeAnswer(tuple(self._items_by_key[key] for key in keys), self.revision)

    def _commit(
        self, compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
    ) -> TxnAnswer:
        with self._lock:
            if any(self._revision_of(each.key) != each.revision for each in compares):
                return TxnAnswer(False, self.revision)
            self.revision = Revision(self.revision + 1)
            for write in writes:
                self._write(write)
            return TxnAnswer(True, self.revision)

    def _revision_of(self, key: str) -> Revision:
        item = self._items_by_key.get(key)
        return item.revision if item is not None else Revision(0)

    def _write(self, write: Put | DeleteRange) -> None:
        if isinstance(write, Put):
            self._items_by_key[write.key] = Item(write.key, write.value, self.revision)
            return
        end = write.end or write.key + "\0"
        for key in [key for key in self._items_by_key if write.key <= key < end]:
            del self._items_by_key[key]


class FakeHostList:
    """A host list that says what it was told."""

    def __init__(self, listing: HostListing) -> None:
        self.listing: HostListing | None = listing

    def hosts(self) -> Result[HostListing, Fault]:
        """Return the listing, or a fault if it is ``None``."""
        if self.listing is None:
            return Failure(Fault("platform.hosts", "fake", FaultKind.UNAVAILABLE, "away"))
        return Success(self.listing)
