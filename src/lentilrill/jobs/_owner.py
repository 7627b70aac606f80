"""The owner's side of claims: one writing task for each shard that this process owns."""

import queue
import random
import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.inner import (
    Batch as InnerBatch,
)
from lentilrill.inner import (
    ClaimAnswer,
    ClaimAsk,
    ClaimState,
    Message,
    Node,
    OutcomeAck,
    OutcomeNote,
)
from lentilrill.jobs._ledger import Batch, Ledger
from lentilrill.jobs._records import BatchRecord, Entry, EntryState
from lentilrill.jobs._shards import owner_of
from lentilrill.jobs._store import ShardStore
from lentilrill.membership import Roster
from lentilrill.platform import KeyValue
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["ClaimOwner"]

INBOX_ITEMS = 10_000
BATCH_ITEMS = 500
BATCH_BYTES = 450_000
"""Estimated size at which a batch is closed. Carried entries of the oldest batch, which have no
bodies, may add as much; the platform holds values below 1,000,000 bytes."""
ENTRY_BYTES = 700
"""Upper estimate of an entry without its key and body."""
CARRIED_ENTRIES = 200
KEYS_PER_SHARD = 50_000
WRITES_PER_S = 160.0
"""Claim writes a second that all shards together may put on the platform."""
IDLE_S = 2.0
STALE_S = 5.0
BACKOFF_S = 0.5
IN_PROGRESS_RETRY_S = 2.0
UNAVAILABLE_RETRY_S = 2.0


class _Arrival(msgspec.Struct, frozen=True):
    """A message for a shard, whom to answer, and when it came."""

    message: ClaimAsk | OutcomeNote
    reply_to: str
    at: float


class ClaimOwner:
    """Answers claims of the shards that this process believes to own.

    :param shards: how many shards the keys are spread over; the same in every process.
    :param retention_s: seconds that an outcome is kept.
    :param wall: seconds since the epoch; times in records are by this clock.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        platform: KeyValue,
        metrics: Metrics,
        shards: int,
        retention_s: float,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._roster = roster
        self._stopping = threading.Event()
        self._tasks = [
            _ShardTask(shard, self, platform, metrics, retention_s, wall) for shard in range(shards)
        ]
        self.commit_every_s = shards / WRITES_PER_S

    @property
    def roster(self) -> Roster:
        """The members as this process believes them to be."""
        return self._roster

    @property
    def stopping(self) -> threading.Event:
        """Set once the owner is closed."""
        return self._stopping

    def start(self) -> None:
        """Begin to answer."""
        self._node.on(ClaimAsk, self._on_ask)
        self._node.on(OutcomeNote, self._on_note)

    def close(self) -> None:
        """End all tasks."""
        self._stopping.set()
        for task in self._tasks:
            task.end()

    def owns(self, shard: int) -> bool:
        """Return whether this process believes to own ``shard``."""
        owner = owner_of(shard, self._roster)
        return owner is not None and owner == self._roster.me

    def reply(self, address: str, message: Message) -> None:
        """Send an answer."""
        self._node.send(address, message)

    def _on_ask(self, batch: InnerBatch, ask: ClaimAsk) -> None:
        if not 0 <= ask.shard < len(self._tasks) or not self.owns(ask.shard):
            self.reply(ask.reply_to, ClaimAnswer(ask.request, ClaimState.NOT_OWNER))
            return
        arrival = _Arrival(ask, ask.reply_to, time.monotonic())
        if not self._tasks[ask.shard].put(arrival):
            answer = ClaimAnswer(ask.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self.reply(ask.reply_to, answer)

    def _on_note(self, batch: InnerBatch, note: OutcomeNote) -> None:
        # What is dropped here is sent again until it is acknowledged.
        if 0 <= note.shard < len(self._tasks) and self.owns(note.shard):
            self._tasks[note.shard].put(_Arrival(note, batch.reply_to, time.monotonic()))


class _ShardTask:
    """Gathers what queued up while the former commit ran, and commits it as one batch.

    A claim is answered only after its batch is known to be on the platform.
    """

    def __init__(
        self,
        shard: int,
        owner: ClaimOwner,
        platform: KeyValue,
        metrics: Metrics,
        retention_s: float,
        wall: Callable[[], float],
    ) -> None:
        self._shard = shard
        self._owner = owner
        self._metrics = metrics
        self._retention_s = retention_s
        self._wall = wall
        self._store = ShardStore(platform, shard, owner.roster.me)
        self._ledger: Ledger | None = None
        self._inbox: queue.Queue[_Arrival | None] = queue.Queue(INBOX_ITEMS)
        self._left_over: _Arrival | None = None
        self._not_before = 0.0
        self._next_commit = 0.0
        self._task: threading.Thread | None = None
        self._lock = threading.Lock()

    def put(self, arrival: _Arrival) -> bool:
        """Queue a message; return ``False`` if too many are queued."""
        try:
            self._inbox.put_nowait(arrival)
        except queue.Full:
            return False
        with self._lock:
            if self._task is None and not self._owner.stopping.is_set():
                self._task = threading.Thread(
                    target=self._run, name=f"claims-{self._shard}", daemon=True
                )
                self._task.start()
        return True

    def end(self) -> None:
        """Wait for the task's end."""
        with self._lock:
            task = self._task
        if task is not None:
            with_room = not self._inbox.full()
            if with_room:
                self._inbox.put_nowait(None)
            task.join()

    def _run(self) -> None:
        while not self._owner.stopping.is_set():
            try:
                self._turn(self._gather())
            except Exception as error:  # the task must go on for later claims
                log(Event.TASK_FAILED, task=f"claims-{self._shard}", error=repr(error))
                self._ledger = None

    def _gather(self) -> list[_Arrival]:
        arrivals: list[_Arrival] = []
        size = 0
        timeout_s: float | None = IDLE_S
        self._owner.stopping.wait(max(0.0, self._next_commit - time.monotonic()))
        while len(arrivals) < BATCH_ITEMS:
            arrival = self._take(timeout_s)
            if arrival is None:
                break
            size += _size(arrival)
            if arrivals and size > BATCH_BYTES:
                self._left_over = arrival
                break
            arrivals.append(arrival)
            timeout_s = None
        return arrivals

    def _take(self, timeout_s: float | None) -> _Arrival | None:
        if self._left_over is not None:
            arrival, self._left_over = self._left_over, None
            return arrival
        try:
            return self._inbox.get(timeout_s is not None, timeout_s)
        except queue.Empty:
            return None

    def _turn(self, arrivals: list[_Arrival]) -> None:
        if not self._owner.owns(self._shard):
            self._ledger = None
            self._answer_all(arrivals, ClaimState.NOT_OWNER)
            return
        if self._ledger is None and (not arrivals or not self._take_over()):
            self._answer_all(arrivals, ClaimState.UNAVAILABLE)
            return
        assert self._ledger is not None
        turn = _Turn(self._ledger, self._wall(), len(self._ledger) >= KEYS_PER_SHARD)
        for arrival in arrivals:
            if time.monotonic() - arrival.at <= STALE_S:
                turn.take(arrival)
        if turn.entries or self._ledger.cleanable(turn.now):
            self._commit(turn)
        for address, message in turn.replies:
            self._owner.reply(address, message)

    def _take_over(self) -> bool:
        if time.monotonic() < self._not_before:
            return False
        result = self._store.take_over()
        if isinstance(result, Failure):
            self._back_off(result.failure())
            return False
        ledger = Ledger(self._retention_s)
        for batch in result.unwrap():
            ledger.add(batch)
        self._ledger = ledger
        log(Event.SHARD_TAKEN, shard=self._shard, keys=len(ledger), batches=ledger.batches)
        return True

    def _commit(self, turn: "_Turn") -> None:
        ledger = turn.ledger
        carried, kept = ledger.oldest(turn.now, CARRIED_ENTRIES)
        cleans = ledger.cleanable(turn.now)
        entries = (*carried, *turn.entries)
        batch = None
        if entries:
            batch = Batch(self._store.next_name(), BatchRecord(turn.now, entries))
        self._next_commit = time.monotonic() + self._owner.commit_every_s
        result = self._store.write(batch, kept if cleans else None)
        self._metrics.incr("claims.commits")
        self._metrics.incr("claims.entries", len(entries))
        if isinstance(result, Failure):
            self._lost(turn, batch, result.failure())
            return
        if batch is not None:
            ledger.add(batch)
        if cleans:
            ledger.give_up(kept or (batch.name if batch else ""), turn.now)
        turn.commit()

    def _lost(self, turn: "_Turn", batch: Batch | None, fault: Fault) -> None:
        """Settle a write that failed, or whose answer was lost.

        Guard against a write that takes effect after all, perhaps later: only a new fence ends
        that. What is read after it was committed; what is not read never will be.
        """
        self._ledger = None
        if fault.kind is FaultKind.AMBIGUOUS and self._take_over():
            ledger = self._ledger
            if batch is not None and ledger is not None and ledger.has(batch.name):
                turn.commit()
                return
        elif fault.kind is not FaultKind.AMBIGUOUS:
            self._back_off(fault)
        turn.fail()

    def _back_off(self, fault: Fault) -> None:
        # Two processes that both believe to own the shard would take it from each other
        # without end: the one that lost it waits before it tries again.
        spread = 1.0 + random.random()
        self._not_before = time.monotonic() + BACKOFF_S * spread
        log(Event.CLAIMS_UNAVAILABLE, shard=self._shard, fault=fault)

    def _answer_all(self, arrivals: list[_Arrival], state: ClaimState) -> None:
        for arrival in arrivals:
            if isinstance(arrival.message, ClaimAsk):
                answer = ClaimAnswer(arrival.message.request, state, UNAVAILABLE_RETRY_S)
                self._owner.reply(arrival.reply_to, answer)


class _Turn:
    """One turn of a shard's task: answers that are known, and entries to commit."""

    def __init__(self, ledger: Ledger, now: float, full: bool) -> None:
        self.ledger = ledger
        self.now = now
        self.entries: list[Entry] = []
        self.replies: list[tuple[str, Message]] = []
        self._full = full
        self._new_by_key: dict[tuple[str, str], Entry] = {}
        self._on_commit: list[tuple[str, Message]] = []
        self._on_failure: list[tuple[str, Message]] = []

    def take(self, arrival: _Arrival) -> None:
        """Decide on one message."""
        if isinstance(arrival.message, ClaimAsk):
            self._ask(arrival.message, arrival.reply_to)
        else:
            self._note(arrival.message, arrival.reply_to)

    def commit(self) -> None:
        """Send the answers that rest on the commit."""
        self.replies += self._on_commit

    def fail(self) -> None:
        """Answer that nothing was claimed."""
        self.replies += self._on_failure

    def _ask(self, ask: ClaimAsk, reply_to: str) -> None:
        name = (ask.plan, ask.key)
        pending = self._new_by_key.get(name)
        entry = pending or self.ledger.find(ask.plan, ask.key, self.now)
        if entry is not None and entry.state is not EntryState.RELEASED:
            self._reply(reply_to, _known(ask, entry), pending is not None)
            return
        if self._full:
            answer = ClaimAnswer(ask.request, ClaimState.UNAVAILABLE, UNAVAILABLE_RETRY_S)
            self._reply(reply_to, answer, False)
            return
        self._add(Entry(ask.plan, ask.key, ask.request, ask.fingerprint, self.now))
        self._reply(reply_to, ClaimAnswer(ask.request, ClaimState.CLAIMED), True)

    def _note(self, note: OutcomeNote, reply_to: str) -> None:
        name = (note.plan, note.key)
        ack = OutcomeAck(note.request)
        pending = self._new_by_key.get(name)
        if pending is not None:
            mine = pending.request == note.request and pending.state is EntryState.CLAIMED
            claimed = pending if mine else None
        else:
            claimed = self.ledger.holds(note.plan, note.key, note.request)
        if claimed is None:
            self._reply(reply_to, ack, pending is not None)
            return
        if note.ran:
            entry = msgspec.structs.replace(
                claimed,
                at=self.now,
                state=EntryState.RECORDED,
                status=note.status,
                content_type=note.content_type,
                body=note.body,
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


def _size(arrival: _Arrival) -> int:
    message = arrival.message
    size = ENTRY_BYTES + 2 * len(message.key) + len(message.plan)
    if isinstance(message, OutcomeNote):
        size += len(message.content_type) + len(message.body or b"") * 4 // 3
    return size
