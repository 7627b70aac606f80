"""What the system needs of the platform: a key-value service and a host list."""

from collections.abc import Iterator
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import HostId, RackId, Revision, ZoneId

__all__ = [
    "Compare",
    "DeleteRange",
    "HostInfo",
    "HostKind",
    "HostList",
    "HostListing",
    "HostState",
    "Item",
    "KeyValue",
    "Priority",
    "Put",
    "RangeAnswer",
    "TxnAnswer",
    "WatchBatch",
    "WatchStream",
]


class Priority(Enum):
    """Who goes first when a process nears its call budget."""

    FIRST = "first"
    """Configuration, withdrawals and claims."""
    LATER = "later"
    """Everything that can wait."""


class Item(msgspec.Struct, frozen=True):
    """One key's value; ``value`` is ``None`` for a deleted key.

    :param revision: modification revision of the key.
    """

    key: str
    value: bytes | None
    revision: Revision


class RangeAnswer(msgspec.Struct, frozen=True):
    """Items of a range read, and the store's revision at which it was read."""

    items: tuple[Item, ...]
    revision: Revision


class Compare(msgspec.Struct, frozen=True):
    """Condition of a transaction: the key's modification revision; 0 means absent."""

    key: str
    revision: Revision


class Put(msgspec.Struct, frozen=True):
    """Write of a transaction; ``lease`` 0 means none."""

    key: str
    value: bytes
    lease: int = 0


class DeleteRange(msgspec.Struct, frozen=True):
    """Deletion of a transaction, from ``key`` up to but without ``end``; empty: just ``key``."""

    key: str
    end: str = ""


class TxnAnswer(msgspec.Struct, frozen=True):
    """Whether every comparison held, and the store's revision after the transaction.

    :param found: if one did not hold, the compared items that exist, as far as the store says.
    """

    succeeded: bool
    revision: Revision
    found: tuple[Item, ...] = ()


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in order; no change up to ``revision`` is missing after it.

    A batch without items is a progress notice.
    """

    items: tuple[Item, ...]
    revision: Revision


class WatchStream(Protocol):
    """Changes in order, until a fault, which comes last."""

    def __iter__(self) -> Iterator[Result[WatchBatch, Fault]]:
        """Iterate over the changes, from one task."""

    def close(self) -> None:
        """End the watch; any task may, also while another one waits for a change."""


class KeyValue(Protocol):
    """The key-value service. Every call ends by its deadline with a result."""

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items whose keys start with ``prefix``."""

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        """Read one item; ``None`` if it is absent."""

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest modification revision of a present key below ``prefix``, or 0.

        Cheap: keys only, one item, sorted by the service.
        """

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold.

        A fault of kind ``AMBIGUOUS`` means that the writes may have taken effect.
        """

    def watch(self, prefix: str, after: Revision) -> WatchStream:
        """Yield changes below ``prefix`` later than ``after``, until a fault, which is yielded
        last. Closing the iterator ends the watch. A silent watch yields a fault within its
        progress interval. History that is no longer kept is a fault of kind ``CONFLICT``: read
        again and watch from there.
        """

    def lease(self, ttl_s: float) -> Result[int, Fault]:
        """Grant a lease and return its id."""

    def keep_alive(self, lease: int) -> Result[float, Fault]:
        """Renew a lease and return its remaining seconds; a lapsed one is a ``CONFLICT``."""

    def revoke(self, lease: int) -> Result[None, Fault]:
        """End a lease and delete its keys."""


class HostKind(Enum):
    """What runs on a host."""

    WORKER = "worker"
    ENTRY = "entry"


class HostState(Enum):
    """What the platform's host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostInfo(msgspec.Struct, frozen=True):
    """One host as listed by the platform.

    :param address: ``ip:port`` of the endpoint on a worker.
    :param memory_gb: memory in gigabytes.
    :param since: when the platform last started the host, in seconds since the epoch.
    """

    id: HostId
    address: str
    zone: ZoneId
    rack: RackId
    kind: HostKind = HostKind.WORKER
    state: HostState = HostState.LIVE
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    since: float = 0.0


class HostListing(msgspec.Struct, frozen=True):
    """The host list and how old it may be.

    :param as_of: when the platform made the list, in seconds since the epoch.
    """

    hosts: tuple[HostInfo, ...]
    as_of: float


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    def hosts(self) -> Result[HostListing, Fault]:
        """Read the list."""
