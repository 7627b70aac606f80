"""What is kept of claims on the platform: one record for each committed batch."""

from enum import Enum

import msgspec

from lentilrill.ids import Incarnation, PlanId, ProcessId, RequestId, Revision
from lentilrill.jobs._contract import Recorded

__all__ = [
    "BatchRecord",
    "Entry",
    "EntryState",
    "OwnerRecord",
    "batch_name",
    "batches_prefix",
    "owner_key",
    "shard_prefix",
]


class EntryState(Enum):
    """What an entry says of its key, until a later entry says otherwise."""

    CLAIMED = "claimed"
    RECORDED = "recorded"
    RELEASED = "released"


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step in the life of a key.

    :param at: when the key was claimed, or its outcome recorded, in seconds since the epoch.
    """

    plan: PlanId
    key: str
    request: RequestId
    fingerprint: str
    at: float
    state: EntryState = EntryState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: bytes | None = None

    @property
    def recorded(self) -> Recorded:
        """The kept answer."""
        return Recorded(self.status, self.content_type, self.body)


class BatchRecord(msgspec.Struct, frozen=True):
    """Entries that were committed together; ``at`` is when, in seconds since the epoch."""

    at: float
    entries: tuple[Entry, ...]


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who took a shard over; ``nonce`` tells apart several tries of one process."""

    process: ProcessId
    incarnation: Incarnation
    nonce: str


def shard_prefix(shard: int) -> str:
    """Return the first part of all keys of a shard, below the system's prefix."""
    return f"claims/{shard}/"


def owner_key(shard: int) -> str:
    """Return the key whose modification revision is the shard's fence."""
    return shard_prefix(shard) + "owner"


def batches_prefix(shard: int) -> str:
    """Return the first part of the keys of a shard's batches."""
    return shard_prefix(shard) + "batch/"


def batch_name(shard: int, fence: Revision, sequence: int) -> str:
    """Return the key of one batch; the keys sort in the order of the commits."""
    return f"{batches_prefix(shard)}{fence:020d}-{sequence:010d}"
