"""What the owner of a shard knows of its keys, as committed on the platform."""

from collections import deque
from collections.abc import Iterable

import msgspec

from lentilrill.ids import PlanId, RequestId
from lentilrill.jobs._records import BatchRecord, Entry, EntryState

__all__ = ["CLAIM_LIFE_S", "Batch", "Ledger"]

CLAIM_LIFE_S = 4 * 3600.0
"""Longer than any job can be held: until then a claim without outcome is in progress."""
CLOCK_SLACK_S = 5.0
"""Difference of two owners' clocks that can't shorten the retention."""

KeyName = tuple[PlanId, str]


class Batch(msgspec.Struct, frozen=True):
    """One committed batch and its key on the platform."""

    name: str
    record: BatchRecord


class _Held(msgspec.Struct, frozen=True):
    entry: Entry
    batch: str


class Ledger:
    """The keys of one shard, built from its batches in order: the last entry of a key counts.

    Batches are given up from the oldest on only. So an entry never outlives a later one that
    overrules it, and a released or expired key can't come back as claimed with the next owner.
    What still counts in the oldest batch is carried over into a new one first.

    :param retention_s: seconds that an outcome is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._held_by_key: dict[KeyName, _Held] = {}
        self._batches: deque[Batch] = deque()
        self.body_bytes = 0
        """Size of all kept bodies, as a take-over must read them."""

    def __len__(self) -> int:
        return len(self._held_by_key)

    @property
    def batches(self) -> int:
        """How many batches are kept."""
        return len(self._batches)

    def has(self, name: str) -> bool:
        """Return whether the batch ``name`` is among the kept ones."""
        return any(batch.name == name for batch in self._batches)

    def add(self, batch: Batch) -> None:
        """Take over a committed batch, the newest so far."""
        self._batches.append(batch)
        self.body_bytes += _body_bytes(batch)
        for entry in batch.record.entries:
            name = (entry.plan, entry.key)
            if entry.state is EntryState.RELEASED:
                self._held_by_key.pop(name, None)
            else:
                self._held_by_key[name] = _Held(entry, batch.name)

    def find(self, plan: PlanId, key: str, now: float) -> Entry | None:
        """Return what is known of a key; ``None`` if it is free."""
        held = self._held_by_key.get((plan, key))
        if held is None or now >= self._expires(held.entry):
            return None
        return held.entry

    def holds(self, plan: PlanId, key: str, request: RequestId) -> Entry | None:
        """Return the entry if the key is claimed by ``request`` without an outcome yet."""
        held = self._held_by_key.get((plan, key))
        if held is None or held.entry.request != request:
            return None
        return held.entry if held.entry.state is EntryState.CLAIMED else None

    def cleanable(self, now: float) -> bool:
        """Whether the oldest batch is old enough to be given up."""
        return bool(self._batches) and self._is_old(self._batches[0], now)

    def oldest(self, now: float, carried_limit: int) -> tuple[list[Entry], str]:
        """Plan which batches to give up.

        The oldest one always goes, or a batch of many unended claims would hold up the others.

        :return: entries to carry over, and the key of the first batch to keep; empty if all are
            given up.
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
        """Forget the batches before ``kept``, which were deleted; empty: all of them."""
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
