"""Records of claims on the platform: one for each committed batch."""

from enum import Enum

import msgspec

from lentilrill.ids import Incarnation, PlanId, ProcessId, RequestId, Revision
from lentilrill.jobs._contract import RecordedResponse

__all__ = [
    "BatchRecord",
    "Entry",
    "EntryState",
    "OwnerRecord",
    "batch_key",
    "batches_prefix",
    "owner_key",
    "shard_prefix",
]


class EntryState(Enum):
    """State of a key after an entry, until a later entry of the key."""

    CLAIMED = "claimed"
    RECORDED = "recorded"
    RELEASED = "released"


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One state change of a key.

    :param at: time of the claim or of the recorded outcome, in seconds since the epoch.
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
    def recorded(self) -> RecordedResponse:
        """The recorded response."""
        return RecordedResponse(self.status, self.content_type, self.body)


class BatchRecord(msgspec.Struct, frozen=True):
    """Entries that were committed together; ``at`` is the time in seconds since the epoch."""

    at: float
    entries: tuple[Entry, ...]


class OwnerRecord(msgspec.Struct, frozen=True):
    """The process that took a shard over; ``nonce`` is unique for each attempt of a process."""

    process: ProcessId
    incarnation: Incarnation
    nonce: str


def shard_prefix(shard: int) -> str:
    """Return the prefix of all keys of a shard, relative to the system's prefix."""
    return f"claims/{shard}/"


def owner_key(shard: int) -> str:
    """Return the key whose modification revision is the shard's fencing token."""
    return shard_prefix(shard) + "owner"


def batches_prefix(shard: int) -> str:
    """Return the prefix of the keys of a shard's batches."""
    return shard_prefix(shard) + "batch/"


def batch_key(shard: int, fencing_token: Revision, sequence: int) -> str:
    """Return the key of one batch; the keys sort in commit order."""
    return f"{batches_prefix(shard)}{fencing_token:020d}-{sequence:010d}"
