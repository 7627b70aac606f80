"""Group commit: the writes of many callers in one call to the store."""

import threading
import time
from collections import deque
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.store import Compare, Item, KeyValue, Put
from lentilrill.telemetry import Event, guarded, log

__all__ = ["LONGEST_S", "Committed", "GroupCommit"]

WRITES_A_COMMIT = 16
"""The store takes 32 entries per call: one condition and one write for each job."""
COMMITS_AT_ONCE = 4
"""Maximum number of commits in flight: all hosts together stay within the store's write rate."""
SLOW_S = 0.1
"""Age from which a commit in flight no longer delays the next one; most take a few ms."""
REPEAT_S = 0.45
"""Time without an answer after which a create is sent again while its commit is still in flight. It
is longer than a slow store takes, and than the store's client needs to notice a lost answer."""
MOST_TRIES = 3
"""Maximum number of times that one create is sent."""
LONGEST_S = 2.2
"""Maximum wait for a commit if the caller gives none; most callers wait 3 s for an answer."""


class Committed(msgspec.Struct, frozen=True):
    """The result of one create.

    :param known: whether the key is in the store, written now or before; ``None`` if unknown: it
        may be there, or may still be written.
    :param sent: whether the write was sent to the store; an unsent write never takes effect.
    :param revision: revision of the write; 0 if the key existed before the first attempt.
    :param stored: the stored value, if this create's own earlier attempt wrote it.
    """

    known: bool | None
    sent: bool = True
    revision: Revision = Revision(0)
    stored: bytes | None = None


UNSENT = Committed(False, sent=False)
UNCLEAR = Committed(None)


class _Create:
    """A key to be created, shared by all callers that wait for it.

    :ivar queued: when it was queued for sending; ``None`` if it is not queued.
    :ivar out: number of commits in flight that contain it.
    :ivar doubts: number of commits containing it that may have taken effect, or still may.
    """

    __slots__ = ("done", "doubts", "out", "outcome", "put", "queued", "sent", "tries", "waiting")

    def __init__(self, put: Put, now: float) -> None:
        self.put = put
        self.queued: float | None = now
        self.sent = now
        self.tries = 0
        self.out = 0
        self.doubts = 0
        self.waiting = 0
        self.done = threading.Event()
        self.outcome: Committed | None = None


class GroupCommit:
    """Creates keys in batches: creates that arrive during a commit go into the next one.

    Callers come in bursts, and the store limits calls, not jobs. A burst of sixteen costs one call,
    and a single caller doesn't wait for others. A slow commit delays only its own callers: other
    commits start while it is in flight, and its creates are sent again, which is safe because a
    create takes effect at most once.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._changed = threading.Condition()
        self._creates_by_key: dict[str, _Create] = {}
        self._queue: deque[_Create] = deque()
        self._begun_by_thread: dict[int, float] = {}
        self._closed = False
        self._threads = [
            threading.Thread(target=self._run, name=f"intake-commit-{n}", daemon=True)
            for n in range(COMMITS_AT_ONCE)
        ]

    def start(self) -> None:
        """Start committing."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop once the queue is empty."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def create(self, key: str, value: bytes, wait_s: float = LONGEST_S) -> Committed:
        """Write ``key`` unless it exists, and wait for the result.

        :param wait_s: maximum time to wait, in seconds.
        """
        until = time.monotonic() + wait_s
        create = self._join(Put(key, value), wait_s)
        if create is None:
            return UNSENT
        while not create.done.wait(max(0.0, min(SLOW_S, until - time.monotonic()))):
            if time.monotonic() >= until:
                break
            self._hurry(create)
        return self._leave(create)

    def _join(self, put: Put, wait_s: float) -> _Create | None:
        """Queue a create, or join a pending one; ``None`` if it can't be sent in time."""
        now = time.monotonic()
        with self._changed:
            create = self._creates_by_key.get(put.key)
            if create is None:
                if self._is_stuck(now, wait_s):
                    return None
                create = _Create(put, now)
                self._creates_by_key[put.key] = create
                self._queue.append(create)
                self._changed.notify()
            create.waiting += 1
            return create

    def _is_stuck(self, now: float, wait_s: float) -> bool:
        if len(self._begun_by_thread) < COMMITS_AT_ONCE or not self._queue:
            return False
        oldest = self._queue[0].queued
        return oldest is not None and now - oldest > wait_s / 2

    def _hurry(self, create: _Create) -> None:
        """Send a create (again) if it is queued behind a slow commit, or is part of one."""
        now = time.monotonic()
        with self._changed:
            if create.queued is None and now - create.sent >= REPEAT_S:
                self._queue_again(create, now)
            if create.queued is not None:
                self._changed.notify()

    def _queue_again(self, create: _Create, now: float) -> None:
        if create.outcome is None and create.waiting and create.tries < MOST_TRIES:
            create.queued = now
            self._queue.append(create)

    def _leave(self, create: _Create) -> Committed:
        """Return the result for one caller; drop the create if no caller waits for it any more."""
        with self._changed:
            create.waiting -= 1
            if create.outcome is not None:
                return create.outcome
            if create.waiting:
                return UNCLEAR
            del self._creates_by_key[create.put.key]
            if create.queued is not None:
                self._queue.remove(create)
            return UNCLEAR if create.doubts else UNSENT

    def _run(self) -> None:
        while batch := self._next():
            guarded("intake commit", partial(self._commit, batch))
            self._over(batch)

    def _next(self) -> list[_Create]:
        """Wait for the next batch of creates to send; empty once this is closed."""
        with self._changed:
            while not self._may_begin(time.monotonic()):
                if self._closed:
                    return []
                self._changed.wait()
            now = time.monotonic()
            batch = [self._queue.popleft() for _ in range(min(len(self._queue), WRITES_A_COMMIT))]
            for create in batch:
                create.queued = None
                create.sent = now
                create.tries += 1
                create.out += 1
                create.doubts += 1
            self._begun_by_thread[threading.get_ident()] = now
            return batch

    def _may_begin(self, now: float) -> bool:
        if not self._queue:
            return False
        if self._closed or len(self._queue) >= WRITES_A_COMMIT:
            return True
        return all(now - begun >= SLOW_S for begun in self._begun_by_thread.values())

    def _commit(self, creates: list[_Create]) -> None:
        """Commit creates in one call, leaving out those whose keys already exist."""
        while creates:
            compares = tuple(Compare(create.put.key, Revision(0)) for create in creates)
            result = self._kv.commit(compares, tuple(create.put for create in creates))
            if isinstance(result, Failure):
                self._failed(creates, result.failure())
                return
            answer = result.unwrap()
            if answer.succeeded:
                self._settle(creates, Committed(True, revision=answer.revision))
                return
            found_by_key = {item.key: item for item in answer.found}
            found = [create for create in creates if create.put.key in found_by_key]
            if not found:
                self._commit_each(creates)
                return
            for create in found:
                self._settle([create], _stored(create, found_by_key[create.put.key]))
            creates = [create for create in creates if create.put.key not in found_by_key]

    def _commit_each(self, creates: list[_Create]) -> None:
        """Commit each create by itself, since the store didn't say which condition failed."""
        if len(creates) == 1:
            self._settle(creates, Committed(True))
            return
        for create in creates:
            self._commit([create])

    def _failed(self, creates: list[_Create], fault: Fault) -> None:
        sent = fault.kind is FaultKind.AMBIGUOUS
        log(Event.COMMIT_FAILED, jobs=len(creates), sent=sent, reason=fault.reason)
        if sent:
            return
        with self._changed:
            for create in creates:
                create.doubts -= 1

    def _settle(self, creates: list[_Create], outcome: Committed) -> None:
        with self._changed:
            for create in creates:
                self._tell(create, outcome)

    def _over(self, batch: list[_Create]) -> None:
        """Queue creates without an answer again, or give them up."""
        with self._changed:
            del self._begun_by_thread[threading.get_ident()]
            now = time.monotonic()
            for create in batch:
                create.out -= 1
                if create.outcome is not None or create.queued is not None or create.out:
                    continue
                if create.doubts:
                    self._queue_again(create, now)
                if create.queued is None:
                    self._tell(create, UNCLEAR if create.doubts else UNSENT)

    def _tell(self, create: _Create, outcome: Committed) -> None:
        if create.outcome is not None:
            return
        create.outcome = outcome
        create.done.set()
        if create.queued is not None:
            self._queue.remove(create)
            create.queued = None
        if self._creates_by_key.get(create.put.key) is create:
            del self._creates_by_key[create.put.key]


def _stored(create: _Create, item: Item) -> Committed:
    """Return the result for a key that exists, from an earlier attempt or another writer.

    Only the former has a revision, with which the owner is notified: an owner that has forgotten
    a job that ended long ago would run it a second time.
    """
    if item.value != create.put.value:
        return Committed(True)
    return Committed(True, revision=item.revision, stored=item.value)
