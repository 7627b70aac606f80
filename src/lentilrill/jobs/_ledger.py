"""An owner's table of the keys of a shard, as committed on the platform."""

from collections import deque
from collections.abc import Iterable

import msgspec

from lentilrill.ids import PlanId, RequestId
from lentilrill.jobs._records import BatchRecord, Entry, EntryState

__all__ = ["CLAIM_LIFE_S", "Batch", "Ledger"]

CLAIM_LIFE_S = 4 * 3600.0
"""Longer than any job can last: until then a claim without an outcome counts as in progress."""
CLOCK_SLACK_S = 5.0
"""Clock difference between two owners that must not shorten the retention."""

KeyName = tuple[PlanId, str]


class Batch(msgspec.Struct, frozen=True):
    """One committed batch and its key on the platform."""

    name: str
    record: BatchRecord


class _Held(msgspec.Struct, frozen=True):
    entry: Entry
    batch: str


class Ledger:
    """The keys of one shard, built from its batches in order: the last entry of a key is current.

    Batches are deleted only from the oldest on. So an entry is never kept longer than a later one
    that replaces it, and a released or expired key can't be claimed again by a stale entry when
    the next owner reads the batches. Current entries of the oldest batch are first carried over
    into a new one.

    :param retention_s: seconds for which an outcome is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._held_by_key: dict[KeyName, _Held] = {}
        self._batches: deque[Batch] = deque()
        self.body_bytes = 0
        """Total size of the bodies in all batches, which a take-over reads."""

    def __len__(self) -> int:
        return len(self._held_by_key)

    @property
    def batches(self) -> int:
        """Number of batches."""
        return len(self._batches)

    def has(self, name: str) -> bool:
        """Return whether the table contains the batch ``name``."""
        return any(batch.name == name for batch in self._batches)

    def add(self, batch: Batch) -> None:
        """Add a committed batch, which must be the newest one."""
        self._batches.append(batch)
        self.body_bytes += _body_bytes(batch)
        for entry in batch.record.entries:
            name = (entry.plan, entry.key)
            if entry.state is EntryState.RELEASED:
                self._held_by_key.pop(name, None)
            else:
                self._held_by_key[name] = _Held(entry, batch.name)

    def find(self, plan: PlanId, key: str, now: float) -> Entry | None:
        """Return the current entry of a key; ``None`` if the key is free."""
        held = self._held_by_key.get((plan, key))
        if held is None or now >= self._expires(held.entry):
            return None
        return held.entry

    def holds(self, plan: PlanId, key: str, request: RequestId) -> Entry | None:
        """Return the entry if ``request`` holds the claim of the key, without an outcome yet."""
        held = self._held_by_key.get((plan, key))
        if held is None or held.entry.request != request:
            return None
        return held.entry if held.entry.state is EntryState.CLAIMED else None

    def cleanable(self, now: float) -> bool:
        """Return whether the oldest batch is old enough to be deleted."""
        return bool(self._batches) and self._is_old(self._batches[0], now)

    def oldest(self, now: float, carried_limit: int) -> tuple[list[Entry], str]:
        """Select the batches to delete.

        The oldest one is always selected; otherwise a batch with many claims in progress would
        block the deletion of the others.

        :return: entries to carry over, and the key of the first batch to keep; empty if all
            batches are deleted.
        """
        carried: list[Entry] = []
        for batch in self._batches:
            live = list(self._live(batch, now))
            crowded = carried and len(carried) + len(live) > carried_limit
            if not self._is_old(batch, now) or crowded:
                return carried, batch.name
            carried += live
        return carried, ""

    def give_up(self, kept: str) -> None:
        """Remove the batches before ``kept``, which were deleted; all of them if it is empty."""
        while self._batches and self._batches[0].name != kept:
            batch = self._batches.popleft()
            self.body_bytes -= _body_bytes(batch)
            for entry in batch.record.entries:
                name = (entry.plan, entry.key)
                held = self._held_by_key.get(name)
                if held is not None and held.batch == batch.name:
                    del self._held_by_key[name]

    def _live(self, batch: Batch, now: float) -> Iterable[Entry]:
        for entry in batch.record.entries:
            held = self._held_by_key.get((entry.plan, entry.key))
            if held is not None and held.batch == batch.name and now < self._expires(held.entry):
                yield held.entry

    def _is_old(self, batch: Batch, now: float) -> bool:
        return now >= batch.record.at + self._retention_s + CLOCK_SLACK_S

    def _expires(self, entry: Entry) -> float:
        life_s = self._retention_s + CLOCK_SLACK_S
        if entry.state is EntryState.CLAIMED:
            life_s += CLAIM_LIFE_S
        return entry.at + life_s


def _body_bytes(batch: Batch) -> int:
    return sum(len(entry.body or b"") for entry in batch.record.entries)
