"""The owner's side of claims: one writer thread for all shards that this process owns."""

import queue
import threading
import time
from collections.abc import Callable, Iterable

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.inner import Batch as InnerBatch
from lentilrill.inner import ClaimAnswer, ClaimAsk, ClaimState, Message, Node, OutcomeNote
from lentilrill.jobs._shard import ReceivedMessage, Shard, ShardUpdate
from lentilrill.jobs._shards import owner_of
from lentilrill.membership import MembershipList, Role
from lentilrill.store import KeyValue
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["ClaimOwner"]

MAX_INBOX_MESSAGES = 20_000
MAX_BATCH_MESSAGES = 500
MAX_BATCH_BYTES = 450_000
"""Maximum estimated size of the messages of one commit. Entries carried over from the oldest
batch, which have no bodies, may add as much; the platform accepts values below 1,000,000 bytes."""
ENTRY_OVERHEAD_BYTES = 700
"""Upper estimate of the encoded size of an entry without its key and body."""
MAX_SYSTEM_WRITES_PER_S = 160.0
"""Maximum claim writes a second of all owners together."""
OUTCOME_LINGER_S = 0.25
"""Maximum delay of outcomes, so that they share a commit with a claim; no caller waits for them."""
IDLE_WAIT_S = 2.0
MAX_MESSAGE_AGE_S = 5.0
UNAVAILABLE_RETRY_S = 2.0


class ClaimOwner:
    """Answers claims of the shards that this process owns by its membership list.

    One thread collects the messages of all shards that arrived during the last commit, and
    commits their entries in one transaction. A claim is answered only after its commit is
    confirmed. So the write rate on the platform depends on the number of owners, and not on that
    of jobs or shards.

    :param shards: number of shards of the keys; the same in every process.
    :param retention_s: seconds for which an outcome is kept.
    :param wall_clock: clock in seconds since the epoch, used for times in records.
    :param writes_per_s: limit of this process's commits, a part of its platform call budget.
    """

    def __init__(
        self,
        node: Node,
        membership: MembershipList,
        platform: KeyValue,
        metrics: Metrics,
        shards: int,
        retention_s: float,
        wall_clock: Callable[[], float] = time.time,
        writes_per_s: float = 25.0,
    ) -> None:
        self._node = node
        self._membership = membership
        self._platform = platform
        self._metrics = metrics
        self._writes_per_s = writes_per_s
        self._shards = [
            Shard(platform, number, membership.me, retention_s, wall_clock)
            for number in range(shards)
        ]
        self._inbox: queue.Queue[ReceivedMessage | None] = queue.Queue(MAX_INBOX_MESSAGES)
        self._deferred: ReceivedMessage | None = None
        self._next_commit = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._commit_loop, name="claims", daemon=True)

    def start(self) -> None:
        """Register the message handlers and start the thread."""
        self._node.on(ClaimAsk, self._on_claim)
        self._node.on(OutcomeNote, self._on_outcome)
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            if not self._inbox.full():
                self._inbox.put_nowait(None)
            self._thread.join()

    def owns(self, shard: int) -> bool:
        """Return whether this process owns ``shard`` by its membership list."""
        return owner_of(shard, self._membership) == self._membership.me

    def _on_claim(self, batch: InnerBatch, ask: ClaimAsk) -> None:
        if not 0 <= ask.shard < len(self._shards) or not self.owns(ask.shard):
            self._answer(ask, ask.reply_to, ClaimState.NOT_OWNER)
        elif not self._enqueue(ReceivedMessage(ask, ask.reply_to, time.monotonic())):
            self._answer(ask, ask.reply_to, ClaimState.UNAVAILABLE)

    def _on_outcome(self, batch: InnerBatch, outcome_note: OutcomeNote) -> None:
        # A dropped outcome is no loss: it is sent again until it is acknowledged.
        if 0 <= outcome_note.shard < len(self._shards) and self.owns(outcome_note.shard):
            self._enqueue(ReceivedMessage(outcome_note, batch.reply_to, time.monotonic()))

    def _enqueue(self, received: ReceivedMessage) -> bool:
        try:
            self._inbox.put_nowait(received)
        except queue.Full:
            return False
        return True

    def _answer(self, message: Message, reply_to: str, state: ClaimState) -> None:
        if isinstance(message, ClaimAsk):
            self._node.send(reply_to, ClaimAnswer(message.request, state, UNAVAILABLE_RETRY_S))

    def _commit_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self._process(self._collect())
            except Exception as error:  # the thread must survive for later claims
                log(Event.TASK_FAILED, task="claims", error=repr(error))
                for shard in self._shards:
                    shard.discard_state()

    def _collect(self) -> list[ReceivedMessage]:
        """Wait until the next commit is allowed, and return the messages for it."""
        self._stopping.wait(max(0.0, self._next_commit - time.monotonic()))
        received_messages: list[ReceivedMessage] = []
        size, has_claim, began = 0, False, time.monotonic()
        while len(received_messages) < MAX_BATCH_MESSAGES:
            linger_s = (
                IDLE_WAIT_S
                if not received_messages
                else began + OUTCOME_LINGER_S - time.monotonic()
            )
            received = self._next_message(0.0 if has_claim else linger_s)
            if received is None:
                break
            size += _estimated_size(received)
            if received_messages and size > MAX_BATCH_BYTES:
                self._deferred = received
                break
            if not received_messages:
                began = time.monotonic()
            received_messages.append(received)
            has_claim = has_claim or isinstance(received.message, ClaimAsk)
        return received_messages

    def _next_message(self, timeout_s: float) -> ReceivedMessage | None:
        if self._deferred is not None:
            received, self._deferred = self._deferred, None
            return received
        try:
            return self._inbox.get(timeout_s > 0, max(0.0, timeout_s))
        except queue.Empty:
            return None

    def _process(self, received_messages: list[ReceivedMessage]) -> None:
        updates: list[ShardUpdate] = []
        for number, group in _group_by_shard(received_messages).items():
            state = self._refusal_state(number)
            if state is None:
                updates.append(self._shards[number].prepare_update(group))
                continue
            for received in group:
                self._answer(received.message, received.reply_to, state)
        updated = {update.shard for update in updates}
        for number, shard in enumerate(self._shards):
            if shard not in updated and shard.has_expired_batch and self.owns(number):
                updates.append(shard.prepare_update([]))
        updates_with_writes = [update for update in updates if update.prepare_writes()]
        if updates_with_writes:
            self._commit(updates_with_writes)
        for update in updates:
            for address, message in update.replies:
                self._node.send(address, message)

    def _refusal_state(self, number: int) -> ClaimState | None:
        """Return the answer to claims of a shard that can't be served now; ``None`` if it can."""
        if not self.owns(number):
            self._shards[number].discard_state()
            return ClaimState.NOT_OWNER
        return None if self._shards[number].take_over() else ClaimState.UNAVAILABLE

    def _commit(self, updates: list[ShardUpdate]) -> None:
        """Commit the updates of several shards in one transaction, and complete each of them."""
        self._next_commit = time.monotonic() + self._min_commit_interval_s()
        result = self._platform.commit(
            tuple(update.fencing_condition for update in updates),
            tuple(write for update in updates for write in update.writes),
        )
        self._metrics.incr("claims.commits")
        self._metrics.incr("claims.entries", sum(len(update.entries) for update in updates))
        outcome: Result[None, Fault] = Success(None)
        if isinstance(result, Failure):
            outcome = result
        elif not result.unwrap().succeeded:
            if len(updates) > 1:
                # A shard has another owner now, and nothing was written: commit one by one.
                for update in updates:
                    self._commit([update])
                return
            reason = "the shard has another owner"
            outcome = Failure(Fault("jobs.claim", "platform", FaultKind.CONFLICT, reason))
        for update in updates:
            update.complete(outcome)

    def _min_commit_interval_s(self) -> float:
        """Return the minimum time between two commits.

        All owners share the platform's write rate, which grows more slowly than the fleet.
        """
        owners = min(len(self._membership.alive(Role.GATEWAY)), len(self._shards))
        return max(1.0 / self._writes_per_s, owners / MAX_SYSTEM_WRITES_PER_S)


def _group_by_shard(
    received_messages: Iterable[ReceivedMessage],
) -> dict[int, list[ReceivedMessage]]:
    groups: dict[int, list[ReceivedMessage]] = {}
    for received in received_messages:
        if time.monotonic() - received.received_at <= MAX_MESSAGE_AGE_S:
            groups.setdefault(received.message.shard, []).append(received)
    return groups


def _estimated_size(received: ReceivedMessage) -> int:
    message = received.message
    size = ENTRY_OVERHEAD_BYTES + 2 * len(message.key) + len(message.plan)
    if isinstance(message, OutcomeNote):
        size += len(message.content_type) + len(message.body or b"") * 4 // 3
    return size
