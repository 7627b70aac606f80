"""Group commit: the writes of many callers in one call to the store."""

import threading
import time
from collections import deque
from collections.abc import Mapping
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.store import Compare, Item, KeyValue, Put
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["MAX_WAIT_S", "CommitResult", "GroupCommit"]

MAX_KEYS_PER_COMMIT = 16
"""The store takes 32 entries per call: one condition and one write for each key."""
MAX_COMMITS_IN_FLIGHT = 4
"""Maximum number of commits in flight: all hosts together stay within the store's write rate."""
SLOW_COMMIT_S = 0.1
"""Age from which a commit in flight no longer delays the next one; most take a few ms."""
RESEND_AFTER_S = 0.45
"""Time without an answer after which a create is sent again while its commit is still in flight. It
is longer than a slow store takes, and than the store's client needs to notice a lost answer."""
MAX_ATTEMPTS = 3
"""Maximum number of times that one create is sent."""
MAX_WAIT_S = 2.2
"""Maximum wait for a commit if the caller gives none; most callers wait 3 s for an answer."""


class CommitResult(msgspec.Struct, frozen=True):
    """The result of one create.

    :param exists: whether any of the keys is in the store, written now or before; ``None`` if
        unknown: they may be there, or may still be written.
    :param sent: whether the write was sent to the store; an unsent write never takes effect.
    :param revision: revision of the write; 0 if a key existed before the first attempt.
    :param value_by_key: the values in the store, as far as known; another writer's if ``revision``
        is 0.
    """

    exists: bool | None
    sent: bool = True
    revision: Revision = Revision(0)
    value_by_key: Mapping[str, bytes] = {}


UNSENT = CommitResult(False, sent=False)
UNKNOWN = CommitResult(None)


class _PendingCreate:
    """Keys to be created together, shared by all callers that wait for the first of them.

    :ivar queued_at: when it was queued for sending; ``None`` if it is not queued.
    :ivar in_flight: number of commits in flight that contain it.
    :ivar unresolved: number of commits containing it that may have taken effect, or still may.
    """

    __slots__ = (
        "attempts",
        "done",
        "in_flight",
        "outcome",
        "puts",
        "queued_at",
        "sent_at",
        "unresolved",
        "waiters",
    )

    def __init__(self, puts: tuple[Put, ...], now: float) -> None:
        self.puts = puts
        self.queued_at: float | None = now
        self.sent_at = now
        self.attempts = 0
        self.in_flight = 0
        self.unresolved = 0
        self.waiters = 0
        self.done = threading.Event()
        self.outcome: CommitResult | None = None

    @property
    def key(self) -> str:
        """The key that identifies this create."""
        return self.puts[0].key


class GroupCommit:
    """Creates keys in batches: creates that arrive during a commit go into the next one.

    Callers come in bursts, and the store limits calls, not jobs. A burst of sixteen costs one call,
    and a single caller doesn't wait for others. A slow commit delays only its own callers: other
    commits start while it is in flight, and its creates are sent again, which is safe because a
    create takes effect at most once.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._condition = threading.Condition()
        self._creates_by_key: dict[str, _PendingCreate] = {}
        self._queue: deque[_PendingCreate] = deque()
        self._started_at_by_thread: dict[int, float] = {}
        self._closed = False
        self._threads = [
            threading.Thread(target=self._run, name=f"intake-commit-{n}", daemon=True)
            for n in range(MAX_COMMITS_IN_FLIGHT)
        ]

    def start(self) -> None:
        """Start committing."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop once the queue is empty."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def create(self, *puts: Put, wait_s: float = MAX_WAIT_S) -> CommitResult:
        """Write all keys together unless any of them exists, and wait for the result.

        A caller whose first key is being created already gets the result of that create.

        :param wait_s: maximum time to wait, in seconds.
        """
        deadline = time.monotonic() + wait_s
        create = self._enqueue(puts, wait_s)
        if create is None:
            return UNSENT
        while not create.done.wait(max(0.0, min(SLOW_COMMIT_S, deadline - time.monotonic()))):
            if time.monotonic() >= deadline:
                break
            self._resend_if_slow(create)
        return self._stop_waiting(create)

    def _enqueue(self, puts: tuple[Put, ...], wait_s: float) -> _PendingCreate | None:
        """Queue a create, or join a pending one; ``None`` if it can't be sent in time."""
        now = time.monotonic()
        with self._condition:
            create = self._creates_by_key.get(puts[0].key)
            if create is None:
                if self._is_stuck(now, wait_s):
                    return None
                create = _PendingCreate(puts, now)
                self._creates_by_key[create.key] = create
                self._queue.append(create)
                self._condition.notify()
            create.waiters += 1
            return create

    def _is_stuck(self, now: float, wait_s: float) -> bool:
        if len(self._started_at_by_thread) < MAX_COMMITS_IN_FLIGHT or not self._queue:
            return False
        oldest_queued_at = self._queue[0].queued_at
        return oldest_queued_at is not None and now - oldest_queued_at > wait_s / 2

    def _resend_if_slow(self, create: _PendingCreate) -> None:
        """Send a create (again) if it is queued behind a slow commit, or is part of one."""
        now = time.monotonic()
        with self._condition:
            if create.queued_at is None and now - create.sent_at >= RESEND_AFTER_S:
                self._requeue(create, now)
            if create.queued_at is not None:
                self._condition.notify()

    def _requeue(self, create: _PendingCreate, now: float) -> None:
        if create.outcome is None and create.waiters and create.attempts < MAX_ATTEMPTS:
            create.queued_at = now
            self._queue.append(create)

    def _stop_waiting(self, create: _PendingCreate) -> CommitResult:
        """Return the result for one caller; drop the create if no caller waits for it any more."""
        with self._condition:
            create.waiters -= 1
            if create.outcome is not None:
                return create.outcome
            if create.waiters:
                return UNKNOWN
            del self._creates_by_key[create.key]
            if create.queued_at is not None:
                self._queue.remove(create)
            return UNKNOWN if create.unresolved else UNSENT

    def _run(self) -> None:
        while batch := self._next_batch():
            run_and_log_errors("intake commit", partial(self._commit, batch))
            self._finish_batch(batch)

    def _next_batch(self) -> list[_PendingCreate]:
        """Wait for the next batch of creates to send; empty once this is closed."""
        with self._condition:
            while not self._can_start(time.monotonic()):
                if self._closed:
                    return []
                self._condition.wait()
            now = time.monotonic()
            batch = [self._queue.popleft() for _ in range(self._batch_size())]
            for create in batch:
                create.queued_at = None
                create.sent_at = now
                create.attempts += 1
                create.in_flight += 1
                create.unresolved += 1
            self._started_at_by_thread[threading.get_ident()] = now
            return batch

    def _batch_size(self) -> int:
        """Return how many of the first creates in the queue fit into one call."""
        keys = size = 0
        for create in self._queue:
            keys += len(create.puts)
            if keys > MAX_KEYS_PER_COMMIT:
                break
            size += 1
        return size

    def _can_start(self, now: float) -> bool:
        if not self._queue:
            return False
        queued_keys = sum(len(create.puts) for create in self._queue)
        if self._closed or queued_keys >= MAX_KEYS_PER_COMMIT:
            return True
        return all(
            now - started_at >= SLOW_COMMIT_S for started_at in self._started_at_by_thread.values()
        )

    def _commit(self, creates: list[_PendingCreate]) -> None:
        """Commit creates in one call, leaving out those of which a key already exists."""
        while creates:
            puts = tuple(put for create in creates for put in create.puts)
            compares = tuple(Compare(put.key, Revision(0)) for put in puts)
            result = self._kv.commit(compares, puts)
            if isinstance(result, Failure):
                self._handle_failure(creates, result.failure())
                return
            answer = result.unwrap()
            if answer.succeeded:
                for create in creates:
                    self._resolve_all([create], _written_result(create, answer.revision))
                return
            item_by_key = {item.key: item for item in answer.found}
            found = [create for create in creates if _is_any_in(create, item_by_key)]
            if not found:
                self._commit_each(creates)
                return
            for create in found:
                self._resolve_all([create], _existing_result(create, item_by_key))
            creates = [create for create in creates if create not in found]

    def _commit_each(self, creates: list[_PendingCreate]) -> None:
        """Commit each create by itself, since the store didn't say which condition failed."""
        if len(creates) == 1:
            self._resolve_all(creates, CommitResult(True))
            return
        for create in creates:
            self._commit([create])

    def _handle_failure(self, creates: list[_PendingCreate], fault: Fault) -> None:
        is_ambiguous = fault.kind is FaultKind.AMBIGUOUS
        log(Event.COMMIT_FAILED, jobs=len(creates), sent=is_ambiguous, reason=fault.reason)
        if is_ambiguous:
            return
        with self._condition:
            for create in creates:
                create.unresolved -= 1

    def _resolve_all(self, creates: list[_PendingCreate], outcome: CommitResult) -> None:
        with self._condition:
            for create in creates:
                self._resolve(create, outcome)

    def _finish_batch(self, batch: list[_PendingCreate]) -> None:
        """Queue creates without an answer again, or give them up."""
        with self._condition:
            del self._started_at_by_thread[threading.get_ident()]
            now = time.monotonic()
            for create in batch:
                create.in_flight -= 1
                if create.outcome is not None or create.queued_at is not None or create.in_flight:
                    continue
                if create.unresolved:
                    self._requeue(create, now)
                if create.queued_at is None:
                    self._resolve(create, UNKNOWN if create.unresolved else UNSENT)

    def _resolve(self, create: _PendingCreate, outcome: CommitResult) -> None:
        if create.outcome is not None:
            return
        create.outcome = outcome
        create.done.set()
        if create.queued_at is not None:
            self._queue.remove(create)
            create.queued_at = None
        if self._creates_by_key.get(create.key) is create:
            del self._creates_by_key[create.key]


def _is_any_in(create: _PendingCreate, item_by_key: Mapping[str, Item]) -> bool:
    return any(put.key in item_by_key for put in create.puts)


def _written_result(create: _PendingCreate, revision: Revision) -> CommitResult:
    value_by_key = {put.key: put.value for put in create.puts}
    return CommitResult(True, revision=revision, value_by_key=value_by_key)


def _existing_result(create: _PendingCreate, item_by_key: Mapping[str, Item]) -> CommitResult:
    """Return the result for keys that exist, from an earlier attempt or another writer.

    Only the former has a revision, with which the owner is notified: an owner that has removed
    a job that ended long ago would run it a second time.
    """
    items = [item_by_key[put.key] for put in create.puts if put.key in item_by_key]
    value_by_key = {item.key: item.value for item in items if item.value is not None}
    is_own = all(value_by_key.get(put.key) == put.value for put in create.puts)
    revision = items[0].revision if is_own else Revision(0)
    return CommitResult(True, revision=revision, value_by_key=value_by_key)
