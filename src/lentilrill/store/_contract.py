"""Interfaces to the platform: a key-value service and a host list."""

from collections.abc import Iterator
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import HostId, LeaseId, RackId, Revision, ZoneId

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
    """Priority of a call when the call budget of the process runs low."""

    FIRST = "first"
    """Configuration, withdrawals and claims."""
    LATER = "later"
    """All other calls."""


class Item(msgspec.Struct, frozen=True):
    """One key's value; ``value`` is ``None`` for a deleted key.

    :param revision: modification revision of the key.
    :param lease: lease that the key is bound to; ``None`` if it has none.
    """

    key: str
    value: bytes | None
    revision: Revision
    lease: LeaseId | None = None


class RangeAnswer(msgspec.Struct, frozen=True):
    """Items of a range read, and the store's revision at the time of the read."""

    items: tuple[Item, ...]
    revision: Revision


class Compare(msgspec.Struct, frozen=True):
    """Condition of a transaction: the key's modification revision; 0 means that it is absent."""

    key: str
    revision: Revision


class Put(msgspec.Struct, frozen=True):
    """Write of a transaction; ``lease`` is ``None`` if the key has no lease."""

    key: str
    value: bytes
    lease: LeaseId | None = None


class DeleteRange(msgspec.Struct, frozen=True):
    """Deletion of the keys from ``key`` up to but not ``end``; just ``key`` if it is empty."""

    key: str
    end: str = ""


class TxnAnswer(msgspec.Struct, frozen=True):
    """Whether all comparisons held, and the store's revision after the transaction.

    :param found: if a comparison failed, the compared items that exist, if the store returns them.
    """

    succeeded: bool
    revision: Revision
    found: tuple[Item, ...] = ()


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in order; together with earlier batches they are complete up to ``revision``.

    A batch without items is a progress notice.
    """

    items: tuple[Item, ...]
    revision: Revision


class WatchStream(Protocol):
    """Changes in order; a fault ends the stream and is its last element."""

    def __iter__(self) -> Iterator[Result[WatchBatch, Fault]]:
        """Iterate over the changes; only one thread may do so."""

    def close(self) -> None:
        """End the watch; any thread may call this, even while another one waits for a change."""


class KeyValue(Protocol):
    """The key-value service. Every call returns a result by its deadline."""

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items whose keys start with ``prefix``."""

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        """Read one item; ``None`` if it is absent."""

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest modification revision of a present key below ``prefix``, or 0.

        This is cheap: the service sorts and returns one item without its value.
        """

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold.

        A fault of kind ``AMBIGUOUS`` means that the writes may or may not have taken effect.
        """

    def watch(self, prefix: str, after: Revision) -> WatchStream:
        """Yield changes below ``prefix`` after the revision ``after``, until a fault, which is
        yielded last. Closing the iterator ends the watch. A silent watch yields a fault within
        its progress interval. If the history is already compacted, the fault is of kind
        ``CONFLICT``: the caller reads the prefix again and watches from that revision.
        """

    def lease(self, ttl_s: float) -> Result[LeaseId, Fault]:
        """Grant a lease and return its id."""

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        """Renew a lease and return its remaining seconds; an expired one is a ``CONFLICT``."""

    def revoke(self, lease: LeaseId) -> Result[None, Fault]:
        """Revoke a lease and delete its keys."""


class HostKind(Enum):
    """Kind of a host: endpoint host or entry host."""

    WORKER = "worker"
    ENTRY = "entry"


class HostState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostInfo(msgspec.Struct, frozen=True):
    """One host as listed by the platform.

    :param address: ``ip:port`` of the endpoint on a worker.
    :param memory_gb: memory in gigabytes.
    :param since: time when the platform last started the host, in seconds since the epoch.
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
    """The host list and its time stamp.

    :param as_of: time when the platform created the list, in seconds since the epoch.
    """

    hosts: tuple[HostInfo, ...]
    as_of: float


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which may be out of date."""

    def hosts(self) -> Result[HostListing, Fault]:
        """Read the list."""
