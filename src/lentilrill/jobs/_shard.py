"""An owner's state of one shard, and updates of it by received messages."""

import random
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import PlanId
from lentilrill.inner import ClaimAnswer, ClaimAsk, ClaimState, Message, OutcomeAck, OutcomeNote
from lentilrill.jobs._ledger import Batch, Ledger
from lentilrill.jobs._records import BatchRecord, Entry, EntryState
from lentilrill.jobs._store import ShardStore
from lentilrill.membership import Member
from lentilrill.store import Compare, DeleteRange, KeyValue, Put
from lentilrill.telemetry import Event, log

__all__ = ["Arrival", "Shard", "Turn"]

CARRIED_ENTRIES = 200
KEYS_PER_SHARD = 20_000
BODY_BYTES = 4 * 1024 * 1024
"""Total size of a shard's kept bodies above which responses are recorded without their bodies."""
BACKOFF_S = 0.5
IN_PROGRESS_RETRY_S = 2.0
UNAVAILABLE_RETRY_S = 2.0


class Arrival(msgspec.Struct, frozen=True):
    """A message for a shard, the address to reply to, and its arrival in monotonic seconds."""

    message: ClaimAsk | OutcomeNote
    reply_to: str
    at: float


class Shard:
    """A shard that this process owns or may take over.

    :param wall: clock in seconds since the epoch.
    """

    def __init__(
        self,
        platform: KeyValue,
        number: int,
        member: Member,
        retention_s: float,
        wall: Callable[[], float],
    ) -> None:
        self.store = ShardStore(platform, number, member)
        self._number = number
        self._retention_s = retention_s
        self._wall = wall
        self._ledger: Ledger | None = None
        self._not_before = 0.0

    @property
    def cleanable(self) -> bool:
        """Whether the oldest batch has expired and can be deleted."""
        return self._ledger is not None and self._ledger.cleanable(self._wall())

    def forget(self) -> None:
        """Discard the state in memory; the next use takes the shard over again."""
        self._ledger = None

    def turn(self, arrivals: list[Arrival]) -> "Turn":
        """Return the update for ``arrivals``; call it only after :meth:`take_over` succeeded."""
        assert self._ledger is not None
        turn = Turn(self, self._ledger, self._wall(), len(self._ledger) >= KEYS_PER_SHARD)
        for arrival in arrivals:
            turn.take(arrival)
        return turn

    def take_over(self) -> bool:
        """Take the shard over unless this process has it already; return whether it has it."""
        if self._ledger is not None:
            return True
        if time.monotonic() < self._not_before:
            return False
        result = self.store.take_over()
        if isinstance(result, Failure):
            self._back_off(result.failure())
            return False
        ledger = Ledger(self._retention_s)
        for batch in result.unwrap():
            ledger.add(batch)
        self._ledger = ledger
        log(Event.SHARD_TAKEN, shard=self._number, keys=len(ledger), batches=ledger.batches)
        return True

    def wrote_after_all(self, batch: Batch | None, fault: Fault) -> bool:
        """Handle a write that failed or whose result is unknown; return whether it took effect.

        A write whose result is unknown may still take effect later. A new fencing token prevents
        that: a batch that is read after the token changed was committed, and any other one can
        no longer be committed.
        """
        self.forget()
        if fault.kind is not FaultKind.AMBIGUOUS:
            self._back_off(fault)
            return False
        if not self.take_over() or self._ledger is None or batch is None:
            return False
        return self._ledger.has(batch.name)

    def _back_off(self, fault: Fault) -> None:
        # Two processes that both compute themselves as the owner would take the shard from each
        # other endlessly: the one that lost it waits a random time before it retries.
        spread = 1.0 + random.random()
        self._not_before = time.monotonic() + BACKOFF_S * spread
        log(Event.CLAIMS_UNAVAILABLE, shard=self._number, fault=fault)


class Turn:
    """An update of a shard: entries to commit and the replies that depend on the commit."""

    def __init__(self, shard: Shard, ledger: Ledger, now: float, full: bool) -> None:
        self.shard = shard
        self.writes: tuple[Put | DeleteRange, ...] = ()
        self._ledger = ledger
        self._now = now
        self._batch: Batch | None = None
        self._kept: str | None = None
        self.entries: list[Entry] = []
        self.replies: list[tuple[str, Message]] = []
        self._full = full
        self._new_by_key: dict[tuple[PlanId, str], Entry] = {}
        self._on_commit: list[tuple[str, Message]] = []
        self._on_failure: list[tuple[str, Message]] = []

    def take(self, arrival: Arrival) -> None:
        """Process one message."""
        if isinstance(arrival.message, ClaimAsk):
            self._ask(arrival.message, arrival.reply_to)
        else:
            self._note(arrival.message, arrival.reply_to)

    @property
    def fence(self) -> Compare:
        """Condition of the update's writes."""
        return self.shard.store.fence()

    def prepare(self) -> bool:
        """Prepare the writes of the update; return whether there are any."""
        carried: list[Entry] = []
        if self._ledger.cleanable(self._now):
            carried, self._kept = self._ledger.oldest(self._now, CARRIED_ENTRIES)
        entries = (*carried, *self.entries)
        if entries:
            name = self.shard.store.next_name()
            self._batch = Batch(name, BatchRecord(self._now, entries))
        self.writes = self.shard.store.writes(self._batch, self._kept)
        return bool(self.writes)

    def settle(self, result: Result[None, Fault]) -> None:
        """Choose the replies that depend on the commit, by its result."""
        if isinstance(result, Success):
            self._apply()
            self.replies += self._on_commit
        elif self.shard.wrote_after_all(self._batch, result.failure()):
            self.replies += self._on_commit
        else:
            self.replies += self._on_failure

    def _apply(self) -> None:
        if self._batch is not None:
            self._ledger.add(self._batch)
        if self._kept is not None:
            newest = self._batch.name if self._batch else ""
            self._ledger.give_up(self._kept or newest)

    def _ask(self, ask: ClaimAsk, reply_to: str) -> None:
        name = (ask.plan, ask.key)
        pending = self._new_by_key.get(name)
        entry = pending or self._ledger.find(ask.plan, ask.key, self._now)
        if entry is not None and entry.state is not EntryState.RELEASED:
            self._reply(reply_to, _known(ask, entry), pending is not None)
            return
        if self._full:
            answer = ClaimAnswer(ask.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self._reply(reply_to, answer, False)
            return
        self._add(Entry(ask.plan, ask.key, ask.request, ask.fingerprint, self._now))
        self._reply(reply_to, ClaimAnswer(ask.request, ClaimState.CLAIMED), True)

    def _note(self, note: OutcomeNote, reply_to: str) -> None:
        name = (note.plan, note.key)
        ack = OutcomeAck(note.request)
        pending = self._new_by_key.get(name)
        if pending is not None:
            mine = pending.request == note.request and pending.state is EntryState.CLAIMED
            claimed = pending if mine else None
        else:
            claimed = self._ledger.holds(note.plan, note.key, note.request)
        if claimed is None:
            self._reply(reply_to, ack, pending is not None)
            return
        if note.ran:
            entry = msgspec.structs.replace(
                claimed,
                at=self._now,
                state=EntryState.RECORDED,
                status=note.status,
                content_type=note.content_type,
                # A take-over reads the whole shard in one call, so its size must be bounded.
                body=note.body if self._ledger.body_bytes < BODY_BYTES else None,
            )
        else:
            entry = msgspec.structs.replace(claimed, state=EntryState.RELEASED)
        self._add(entry)
        self._reply(reply_to, ack, True)

    def _add(self, entry: Entry) -> None:
        self.entries.append(entry)
        self._new_by_key[(entry.plan, entry.key)] = entry

    def _reply(self, address: str, message: Message, needs_commit: bool) -> None:
        if not needs_commit:
            self.replies.append((address, message))
            return
        self._on_commit.append((address, message))
        if isinstance(message, ClaimAnswer):
            failed = ClaimAnswer(message.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self._on_failure.append((address, failed))


def _known(ask: ClaimAsk, entry: Entry) -> ClaimAnswer:
    if entry.fingerprint != ask.fingerprint:
        return ClaimAnswer(ask.request, ClaimState.MISMATCH)
    if entry.state is EntryState.RECORDED:
        return ClaimAnswer(
            ask.request,
            ClaimState.RECORDED,
            status=entry.status,
            content_type=entry.content_type,
            body=entry.body,
        )
    if entry.request == ask.request:
        return ClaimAnswer(ask.request, ClaimState.CLAIMED)
    return ClaimAnswer(ask.request, ClaimState.IN_PROGRESS, IN_PROGRESS_RETRY_S)
