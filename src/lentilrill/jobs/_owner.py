"""The owner's side of claims: one writing task for all shards that this process owns."""

import queue
import threading
import time
from collections.abc import Callable, Iterable

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.inner import Batch as InnerBatch
from lentilrill.inner import ClaimAnswer, ClaimAsk, ClaimState, Message, Node, OutcomeNote
from lentilrill.jobs._shard import Arrival, Shard, Turn
from lentilrill.jobs._shards import owner_of
from lentilrill.membership import MembershipList, Role
from lentilrill.store import KeyValue
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["ClaimOwner"]

INBOX_ITEMS = 20_000
BATCH_ITEMS = 500
BATCH_BYTES = 450_000
"""Estimated size at which a commit is closed. Carried entries of the oldest batch, which have no
bodies, may add as much; the platform holds values below 1,000,000 bytes."""
ENTRY_BYTES = 700
"""Upper estimate of an entry without its key and body."""
SYSTEM_WRITES_PER_S = 160.0
"""Claim writes a second that all owners together put on the platform."""
NOTE_LINGER_S = 0.25
"""Time for which outcomes wait for a claim to share its commit; nobody waits for them."""
IDLE_S = 2.0
STALE_S = 5.0
UNAVAILABLE_RETRY_S = 2.0


class ClaimOwner:
    """Answers claims of the shards that this process believes to own.

    One task gathers what queued up while the former commit ran, of all its shards, and commits
    it in one transaction. A claim is answered only after it is known to be on the platform. So
    the platform's writes follow the number of owners, and not that of jobs or shards.

    :param shards: how many shards the keys are spread over; the same in every process.
    :param retention_s: seconds that an outcome is kept.
    :param wall: seconds since the epoch; times in records are by this clock.
    :param writes_per_s: bound of this process's commits, a part of its platform call budget.
    """

    def __init__(
        self,
        node: Node,
        roster: MembershipList,
        platform: KeyValue,
        metrics: Metrics,
        shards: int,
        retention_s: float,
        wall: Callable[[], float] = time.time,
        writes_per_s: float = 25.0,
    ) -> None:
        self._node = node
        self._roster = roster
        self._platform = platform
        self._metrics = metrics
        self._writes_per_s = writes_per_s
        self._shards = [
            Shard(platform, number, roster.me, retention_s, wall) for number in range(shards)
        ]
        self._inbox: queue.Queue[Arrival | None] = queue.Queue(INBOX_ITEMS)
        self._left_over: Arrival | None = None
        self._next_commit = 0.0
        self._stopping = threading.Event()
        self._task = threading.Thread(target=self._run, name="claims", daemon=True)

    def start(self) -> None:
        """Begin to answer."""
        self._node.on(ClaimAsk, self._on_ask)
        self._node.on(OutcomeNote, self._on_note)
        self._task.start()

    def close(self) -> None:
        """End the task."""
        self._stopping.set()
        if self._task.is_alive():
            if not self._inbox.full():
                self._inbox.put_nowait(None)
            self._task.join()

    def owns(self, shard: int) -> bool:
        """Return whether this process believes to own ``shard``."""
        return owner_of(shard, self._roster) == self._roster.me

    def _on_ask(self, batch: InnerBatch, ask: ClaimAsk) -> None:
        if not 0 <= ask.shard < len(self._shards) or not self.owns(ask.shard):
            self._answer(ask, ask.reply_to, ClaimState.NOT_OWNER)
        elif not self._put(Arrival(ask, ask.reply_to, time.monotonic())):
            self._answer(ask, ask.reply_to, ClaimState.UNAVAILABLE)

    def _on_note(self, batch: InnerBatch, note: OutcomeNote) -> None:
        # What is dropped here is sent again until it is acknowledged.
        if 0 <= note.shard < len(self._shards) and self.owns(note.shard):
            self._put(Arrival(note, batch.reply_to, time.monotonic()))

    def _put(self, arrival: Arrival) -> bool:
        try:
            self._inbox.put_nowait(arrival)
        except queue.Full:
            return False
        return True

    def _answer(self, message: Message, reply_to: str, state: ClaimState) -> None:
        if isinstance(message, ClaimAsk):
            self._node.send(reply_to, ClaimAnswer(message.request, state, UNAVAILABLE_RETRY_S))

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._serve(self._gather())
            except Exception as error:  # the task must go on for later claims
                log(Event.TASK_FAILED, task="claims", error=repr(error))
                for shard in self._shards:
                    shard.forget()

    def _gather(self) -> list[Arrival]:
        """Return what queued up, when the next commit may be made."""
        self._stopping.wait(max(0.0, self._next_commit - time.monotonic()))
        arrivals: list[Arrival] = []
        size, asked, began = 0, False, time.monotonic()
        while len(arrivals) < BATCH_ITEMS:
            linger_s = IDLE_S if not arrivals else began + NOTE_LINGER_S - time.monotonic()
            arrival = self._take(0.0 if asked else linger_s)
            if arrival is None:
                break
            size += _size(arrival)
            if arrivals and size > BATCH_BYTES:
                self._left_over = arrival
                break
            if not arrivals:
                began = time.monotonic()
            arrivals.append(arrival)
            asked = asked or isinstance(arrival.message, ClaimAsk)
        return arrivals

    def _take(self, timeout_s: float) -> Arrival | None:
        if self._left_over is not None:
            arrival, self._left_over = self._left_over, None
            return arrival
        try:
            return self._inbox.get(timeout_s > 0, max(0.0, timeout_s))
        except queue.Empty:
            return None

    def _serve(self, arrivals: list[Arrival]) -> None:
        turns: list[Turn] = []
        for number, group in _by_shard(arrivals).items():
            state = self._state(number)
            if state is None:
                turns.append(self._shards[number].turn(group))
                continue
            for arrival in group:
                self._answer(arrival.message, arrival.reply_to, state)
        served = {turn.shard for turn in turns}
        for number, shard in enumerate(self._shards):
            if shard not in served and shard.cleanable and self.owns(number):
                turns.append(shard.turn([]))
        writing = [turn for turn in turns if turn.prepare()]
        if writing:
            self._commit(writing)
        for turn in turns:
            for address, message in turn.replies:
                self._node.send(address, message)

    def _state(self, number: int) -> ClaimState | None:
        """Return why a shard can't be served here now; ``None`` if it can."""
        if not self.owns(number):
            self._shards[number].forget()
            return ClaimState.NOT_OWNER
        return None if self._shards[number].take_over() else ClaimState.UNAVAILABLE

    def _commit(self, turns: list[Turn]) -> None:
        """Commit the turns of several shards as one transaction, and settle each of them."""
        self._next_commit = time.monotonic() + self._pace_s()
        result = self._platform.commit(
            tuple(turn.fence for turn in turns),
            tuple(write for turn in turns for write in turn.writes),
        )
        self._metrics.incr("claims.commits")
        self._metrics.incr("claims.entries", sum(len(turn.entries) for turn in turns))
        outcome: Result[None, Fault] = Success(None)
        if isinstance(result, Failure):
            outcome = result
        elif not result.unwrap().succeeded:
            if len(turns) > 1:
                # One shard has another owner now, and nothing was written: each for itself.
                for turn in turns:
                    self._commit([turn])
                return
            reason = "the shard has another owner"
            outcome = Failure(Fault("jobs.claim", "platform", FaultKind.CONFLICT, reason))
        for turn in turns:
            turn.settle(outcome)

    def _pace_s(self) -> float:
        """Return the least time between two commits.

        The platform's rates grow more slowly than the fleet, and the owners share them.
        """
        owners = min(len(self._roster.alive(Role.GATEWAY)), len(self._shards))
        return max(1.0 / self._writes_per_s, owners / SYSTEM_WRITES_PER_S)


def _by_shard(arrivals: Iterable[Arrival]) -> dict[int, list[Arrival]]:
    groups: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        if time.monotonic() - arrival.at <= STALE_S:
            groups.setdefault(arrival.message.shard, []).append(arrival)
    return groups


def _size(arrival: Arrival) -> int:
    message = arrival.message
    size = ENTRY_BYTES + 2 * len(message.key) + len(message.plan)
    if isinstance(message, OutcomeNote):
        size += len(message.content_type) + len(message.body or b"") * 4 // 3
    return size
