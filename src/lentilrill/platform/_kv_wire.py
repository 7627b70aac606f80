"""Wire format of the platform's store: bodies, answers and statuses."""

import msgspec

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import LeaseId, Revision
from lentilrill.store import DECODE_ERRORS, Compare, DeleteRange, Item, Put

__all__ = [
    "MAX_PAGE_BYTES",
    "NOT_FOUND",
    "NO_CONTENT",
    "NO_EFFECT_STATUSES",
    "OK",
    "PRECONDITION_FAILED",
    "Committed",
    "Events",
    "LeaseGrant",
    "RangePage",
    "StoredItem",
    "decode_found",
    "decode_lease_id",
    "encode_lease",
    "encode_txn",
    "fault_of",
]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
NO_EFFECT_STATUSES = frozenset({400, 403, NOT_FOUND, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})
"""Statuses that mean that a commit had no effect."""

_NO_LEASE = 0
"""Stands for no lease where a key's lease is given."""

MAX_PAGE_BYTES = 8 * 1024 * 1024
"""Maximum length of an answer: several times a page, which may have about 1 MB and end with one
more value of that length, encoded as text."""


class StoredItem(msgspec.Struct):
    """A key and its value.

    :param removed: whether the key was deleted, which is sent without a value.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    removed: bool = False
    lease: int = _NO_LEASE

    def to_item(self) -> Item:
        """Return the item in the terms of the store's contract."""
        value = None if self.removed else self.value
        return Item(self.key, value, Revision(self.revision), decode_lease_id(self.lease))


class RangePage(msgspec.Struct):
    """One page of a read."""

    items: list[StoredItem]
    at_rev: int
    truncated: bool = False


class Events(msgspec.Struct):
    """Changes that a watch returns."""

    events: list[StoredItem]
    at_rev: int


class Committed(msgspec.Struct):
    """Answer to a commit that took effect."""

    revision: int


class Found(msgspec.Struct):
    """Answer to a commit whose precondition failed: the items of the compared keys."""

    items: list[StoredItem | None]


class LeaseGrant(msgspec.Struct):
    """Answer to a call that grants or renews a lease."""

    ttl_ms: int
    lease: int = _NO_LEASE


class Precondition(msgspec.Struct):
    """A condition of a commit.

    :param revision: modification revision; 0 means that the key must be absent.
    """

    key: str
    revision: int


class Write(msgspec.Struct, omit_defaults=True):
    """A value to store."""

    key: str
    value: bytes
    lease: int = _NO_LEASE


class Txn(msgspec.Struct):
    """Body of a commit."""

    precondition: list[Precondition]
    writes: list[Write]
    remove: list[str]


def encode_txn(compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]) -> bytes:
    """Return the body of a commit."""
    txn = Txn(
        [Precondition(compare.key, compare.revision) for compare in compares],
        [
            Write(write.key, write.value, _NO_LEASE if write.lease is None else write.lease)
            for write in writes
            if isinstance(write, Put)
        ],
        [write.key for write in writes if isinstance(write, DeleteRange)],
    )
    return msgspec.json.encode(txn)


def decode_lease_id(lease: int) -> LeaseId | None:
    """Return the lease in an answer, or ``None`` if it names none."""
    return LeaseId(lease) if lease != _NO_LEASE else None


def encode_lease(ttl_s: float) -> bytes:
    """Return the body of a request for a lease."""
    return msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})


def decode_found(data: bytes) -> tuple[Item, ...]:
    """Return the items in the answer to a failed precondition; none if it is malformed."""
    try:
        answer = msgspec.json.decode(data, type=Found)
        present = [item for item in answer.items if item and item.revision and not item.removed]
        return tuple(item.to_item() for item in present)
    except (*DECODE_ERRORS, ValueError):
        return ()


def fault_of(step: str, status: int, peer: str) -> Fault:
    """Return the fault that an error status stands for."""
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return Fault(
            step, peer, FaultKind.UNAVAILABLE, f"status {status}: the request had no effect"
        )
    if status == GONE:
        return Fault(step, peer, FaultKind.CONFLICT, "the history is compacted")
    if status == NOT_FOUND:
        return Fault(step, peer, FaultKind.INVALID, "the item does not exist")
    return Fault(step, peer, FaultKind.INVALID, f"status {status}")
