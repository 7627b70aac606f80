"""An owner's state of one shard, and updates of it by received messages."""

import random
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import PlanId
from lentilrill.inner import ClaimAnswer, ClaimAsk, ClaimState, Message, OutcomeAck, OutcomeNote
from lentilrill.jobs._claim_table import Batch, ClaimTable
from lentilrill.jobs._records import BatchRecord, Entry, EntryState
from lentilrill.jobs._store import ShardStore
from lentilrill.membership import Member
from lentilrill.store import Compare, DeleteRange, KeyValue, Put
from lentilrill.telemetry import Event, log

__all__ = ["ReceivedMessage", "Shard", "ShardUpdate"]

MAX_CARRIED_ENTRIES = 200
MAX_KEYS_PER_SHARD = 20_000
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Total size of a shard's kept bodies above which responses are recorded without their bodies."""
BACKOFF_S = 0.5
IN_PROGRESS_RETRY_S = 2.0
UNAVAILABLE_RETRY_S = 2.0


class ReceivedMessage(msgspec.Struct, frozen=True):
    """A message for a shard, the address to reply to, and its arrival in monotonic seconds."""

    message: ClaimAsk | OutcomeNote
    reply_to: str
    received_at: float


class Shard:
    """A shard that this process owns or may take over.

    :param wall_clock: clock in seconds since the epoch.
    """

    def __init__(
        self,
        platform: KeyValue,
        number: int,
        member: Member,
        retention_s: float,
        wall_clock: Callable[[], float],
    ) -> None:
        self.store = ShardStore(platform, number, member)
        self._number = number
        self._retention_s = retention_s
        self._wall_clock = wall_clock
        self._table: ClaimTable | None = None
        self._retry_at = 0.0

    @property
    def has_expired_batch(self) -> bool:
        """Whether the oldest batch has expired and can be deleted."""
        return self._table is not None and self._table.has_expired_batch(self._wall_clock())

    def discard_state(self) -> None:
        """Discard the state in memory; the next use takes the shard over again."""
        self._table = None

    def prepare_update(self, received_messages: list[ReceivedMessage]) -> "ShardUpdate":
        """Return the update for the messages; only after :meth:`take_over` succeeded."""
        assert self._table is not None
        update = ShardUpdate(
            self, self._table, self._wall_clock(), len(self._table) >= MAX_KEYS_PER_SHARD
        )
        for received in received_messages:
            update.add_message(received)
        return update

    def take_over(self) -> bool:
        """Take the shard over unless this process has it already; return whether it has it."""
        if self._table is not None:
            return True
        if time.monotonic() < self._retry_at:
            return False
        result = self.store.take_over()
        if isinstance(result, Failure):
            self._back_off(result.failure())
            return False
        table = ClaimTable(self._retention_s)
        for batch in result.unwrap():
            table.add(batch)
        self._table = table
        log(Event.SHARD_TAKEN, shard=self._number, keys=len(table), batches=table.batches)
        return True

    def resolve_failed_write(self, batch: Batch | None, fault: Fault) -> bool:
        """Handle a write that failed or whose result is unknown; return whether it took effect.

        A write whose result is unknown may still take effect later. A new fencing token prevents
        that: a batch that is read after the token changed was committed, and any other one can
        no longer be committed.
        """
        self.discard_state()
        if fault.kind is not FaultKind.AMBIGUOUS:
            self._back_off(fault)
            return False
        if not self.take_over() or self._table is None or batch is None:
            return False
        return self._table.has_batch(batch.record_key)

    def _back_off(self, fault: Fault) -> None:
        # Two processes that both compute themselves as the owner would take the shard from each
        # other endlessly: the one that lost it waits a random time before it retries.
        spread = 1.0 + random.random()
        self._retry_at = time.monotonic() + BACKOFF_S * spread
        log(Event.CLAIMS_UNAVAILABLE, shard=self._number, fault=fault)


class ShardUpdate:
    """An update of a shard: entries to commit and the replies that depend on the commit."""

    def __init__(self, shard: Shard, table: ClaimTable, now: float, full: bool) -> None:
        self.shard = shard
        self.writes: tuple[Put | DeleteRange, ...] = ()
        self._table = table
        self._now = now
        self._batch: Batch | None = None
        self._first_kept: str | None = None
        self.entries: list[Entry] = []
        self.replies: list[tuple[str, Message]] = []
        self._full = full
        self._uncommitted_by_key: dict[tuple[PlanId, str], Entry] = {}
        self._on_commit: list[tuple[str, Message]] = []
        self._on_failure: list[tuple[str, Message]] = []

    def add_message(self, received: ReceivedMessage) -> None:
        """Process one message."""
        if isinstance(received.message, ClaimAsk):
            self._process_claim(received.message, received.reply_to)
        else:
            self._process_outcome(received.message, received.reply_to)

    @property
    def fencing_condition(self) -> Compare:
        """Condition of the update's writes."""
        return self.shard.store.fencing_condition()

    def prepare_writes(self) -> bool:
        """Prepare the writes of the update; return whether there are any."""
        carried: list[Entry] = []
        if self._table.has_expired_batch(self._now):
            carried, self._first_kept = self._table.select_expired(self._now, MAX_CARRIED_ENTRIES)
        entries = (*carried, *self.entries)
        if entries:
            record_key = self.shard.store.next_batch_key()
            self._batch = Batch(record_key, BatchRecord(self._now, entries))
        self.writes = self.shard.store.writes(self._batch, self._first_kept)
        return bool(self.writes)

    def complete(self, result: Result[None, Fault]) -> None:
        """Choose the replies that depend on the commit, by its result."""
        if isinstance(result, Success):
            self._apply_to_table()
            self.replies += self._on_commit
        elif self.shard.resolve_failed_write(self._batch, result.failure()):
            self.replies += self._on_commit
        else:
            self.replies += self._on_failure

    def _apply_to_table(self) -> None:
        if self._batch is not None:
            self._table.add(self._batch)
        if self._first_kept is not None:
            newest = self._batch.record_key if self._batch else ""
            self._table.remove_before(self._first_kept or newest)

    def _process_claim(self, ask: ClaimAsk, reply_to: str) -> None:
        plan_key = (ask.plan, ask.key)
        uncommitted = self._uncommitted_by_key.get(plan_key)
        entry = uncommitted or self._table.find(ask.plan, ask.key, self._now)
        if entry is not None and entry.state is not EntryState.RELEASED:
            self._reply(reply_to, _answer_for_entry(ask, entry), uncommitted is not None)
            return
        if self._full:
            answer = ClaimAnswer(ask.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self._reply(reply_to, answer, False)
            return
        self._add(Entry(ask.plan, ask.key, ask.request, ask.fingerprint, self._now))
        self._reply(reply_to, ClaimAnswer(ask.request, ClaimState.CLAIMED), True)

    def _process_outcome(self, outcome_note: OutcomeNote, reply_to: str) -> None:
        plan_key = (outcome_note.plan, outcome_note.key)
        ack = OutcomeAck(outcome_note.request)
        uncommitted = self._uncommitted_by_key.get(plan_key)
        if uncommitted is not None:
            is_holder = (
                uncommitted.request == outcome_note.request
                and uncommitted.state is EntryState.CLAIMED
            )
            claimed = uncommitted if is_holder else None
        else:
            claimed = self._table.find_claim(
                outcome_note.plan, outcome_note.key, outcome_note.request
            )
        if claimed is None:
            self._reply(reply_to, ack, uncommitted is not None)
            return
        if outcome_note.ran:
            entry = msgspec.structs.replace(
                claimed,
                at=self._now,
                state=EntryState.RECORDED,
                status=outcome_note.status,
                content_type=outcome_note.content_type,
                # A take-over reads the whole shard in one call, so its size must be bounded.
                body=outcome_note.body if self._table.body_bytes < MAX_BODY_BYTES else None,
            )
        else:
            entry = msgspec.structs.replace(claimed, state=EntryState.RELEASED)
        self._add(entry)
        self._reply(reply_to, ack, True)

    def _add(self, entry: Entry) -> None:
        self.entries.append(entry)
        self._uncommitted_by_key[(entry.plan, entry.key)] = entry

    def _reply(self, address: str, message: Message, needs_commit: bool) -> None:
        if not needs_commit:
            self.replies.append((address, message))
            return
        self._on_commit.append((address, message))
        if isinstance(message, ClaimAnswer):
            failed = ClaimAnswer(message.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self._on_failure.append((address, failed))


def _answer_for_entry(ask: ClaimAsk, entry: Entry) -> ClaimAnswer:
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
