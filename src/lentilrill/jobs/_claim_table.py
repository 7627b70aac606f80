"""An owner's table of the keys of a shard, as committed on the platform."""

from collections import deque
from collections.abc import Iterable

import msgspec

from lentilrill.ids import PlanId, RequestId
from lentilrill.jobs._records import BatchRecord, Entry, EntryState

__all__ = ["CLAIM_LIFETIME_S", "Batch", "ClaimTable"]

CLAIM_LIFETIME_S = 4 * 3600.0
"""Longer than any job can last: until then a claim without an outcome counts as in progress."""
MAX_CLOCK_SKEW_S = 5.0
"""Clock difference between two owners that must not shorten the retention."""

PlanKey = tuple[PlanId, str]


class Batch(msgspec.Struct, frozen=True):
    """One committed batch and its key on the platform."""

    record_key: str
    record: BatchRecord


class _CurrentEntry(msgspec.Struct, frozen=True):
    entry: Entry
    batch_key: str


class ClaimTable:
    """The keys of one shard, built from its batches in order: the last entry of a key is current.

    Batches are deleted only from the oldest on. So an entry is never kept longer than a later one
    that replaces it, and a released or expired key can't be claimed again by a stale entry when
    the next owner reads the batches. Current entries of the oldest batch are first carried over
    into a new one.

    :param retention_s: seconds for which an outcome is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._current_by_key: dict[PlanKey, _CurrentEntry] = {}
        self._batches: deque[Batch] = deque()
        self.body_bytes = 0
        """Total size of the bodies in all batches, which a take-over reads."""

    def __len__(self) -> int:
        return len(self._current_by_key)

    @property
    def batches(self) -> int:
        """Number of batches."""
        return len(self._batches)

    def has_batch(self, record_key: str) -> bool:
        """Return whether the table contains the batch ``record_key``."""
        return any(batch.record_key == record_key for batch in self._batches)

    def add(self, batch: Batch) -> None:
        """Add a committed batch, which must be the newest one."""
        self._batches.append(batch)
        self.body_bytes += _body_bytes(batch)
        for entry in batch.record.entries:
            plan_key = (entry.plan, entry.key)
            if entry.state is EntryState.RELEASED:
                self._current_by_key.pop(plan_key, None)
            else:
                self._current_by_key[plan_key] = _CurrentEntry(entry, batch.record_key)

    def find(self, plan: PlanId, key: str, now: float) -> Entry | None:
        """Return the current entry of a key; ``None`` if the key is free."""
        current = self._current_by_key.get((plan, key))
        if current is None or now >= self._expires_at(current.entry):
            return None
        return current.entry

    def find_claim(self, plan: PlanId, key: str, request: RequestId) -> Entry | None:
        """Return the entry if ``request`` holds the claim of the key, without an outcome yet."""
        current = self._current_by_key.get((plan, key))
        if current is None or current.entry.request != request:
            return None
        return current.entry if current.entry.state is EntryState.CLAIMED else None

    def has_expired_batch(self, now: float) -> bool:
        """Return whether the oldest batch is old enough to be deleted."""
        return bool(self._batches) and self._is_expired(self._batches[0], now)

    def select_expired(self, now: float, max_carried: int) -> tuple[list[Entry], str]:
        """Select the batches to delete.

        The oldest one is always selected; otherwise a batch with many claims in progress would
        block the deletion of the others.

        :return: entries to carry over, and the key of the first batch to keep; empty if all
            batches are deleted.
        """
        carried: list[Entry] = []
        for batch in self._batches:
            current_entries = list(self._current_entries(batch, now))
            exceeds_limit = carried and len(carried) + len(current_entries) > max_carried
            if not self._is_expired(batch, now) or exceeds_limit:
                return carried, batch.record_key
            carried += current_entries
        return carried, ""

    def remove_before(self, first_kept: str) -> None:
        """Remove the deleted batches before ``first_kept``; all of them if it is empty."""
        while self._batches and self._batches[0].record_key != first_kept:
            batch = self._batches.popleft()
            self.body_bytes -= _body_bytes(batch)
            for entry in batch.record.entries:
                plan_key = (entry.plan, entry.key)
                current = self._current_by_key.get(plan_key)
                if current is not None and current.batch_key == batch.record_key:
                    del self._current_by_key[plan_key]

    def _current_entries(self, batch: Batch, now: float) -> Iterable[Entry]:
        for entry in batch.record.entries:
            current = self._current_by_key.get((entry.plan, entry.key))
            if (
                current is not None
                and current.batch_key == batch.record_key
                and now < self._expires_at(current.entry)
            ):
                yield current.entry

    def _is_expired(self, batch: Batch, now: float) -> bool:
        return now >= batch.record.at + self._retention_s + MAX_CLOCK_SKEW_S

    def _expires_at(self, entry: Entry) -> float:
        lifetime_s = self._retention_s + MAX_CLOCK_SKEW_S
        if entry.state is EntryState.CLAIMED:
            lifetime_s += CLAIM_LIFETIME_S
        return entry.at + lifetime_s


def _body_bytes(batch: Batch) -> int:
    return sum(len(entry.body or b"") for entry in batch.record.entries)
