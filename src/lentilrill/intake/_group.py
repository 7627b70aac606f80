"""Commits of many callers in one call of the store."""

import threading
import time
from collections import deque
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.store import Compare, Item, KeyValue, Put
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["LONGEST_S", "Committed", "GroupCommit"]

WRITES_A_COMMIT = 16
"""The store takes 32 entries a call: a condition and a write for each job."""
COMMITS_AT_ONCE = 4
"""Bound of the commits in flight: hosts that all use it stay within the store's writes."""
SLOW_S = 0.1
"""Age of a commit in flight from which others are sent beside it; most take a few ms."""
REPEAT_S = 0.45
"""Time without an answer after which a create is sent beside the commit that has it: more than a
slow store takes, and than a lost answer costs the store's client."""
MOST_TRIES = 3
"""How often one create is sent."""
LONGEST_S = 2.2
"""How long a caller who names no bound is held for its commit; most wait 3 s for an answer."""


class Committed(msgspec.Struct, frozen=True):
    """What became of one write.

    :param known: whether it is in the store, written now or before; ``None``: it may be, or may
        be written yet.
    :param sent: whether the write was handed to the store; one that was not never happens.
    :param revision: of the write; 0 if it was there before its first try.
    :param stored: what is in the store, if that is not what was to be written.
    """

    known: bool | None
    sent: bool = True
    revision: Revision = Revision(0)
    stored: bytes | None = None


UNSENT = Committed(False, sent=False)
UNCLEAR = Committed(None)


class _Create:
    """One key to be created, for all callers who wait for it.

    :ivar queued: since when it has waited to be sent; ``None``: it does not.
    :ivar out: how many commits with it are in flight.
    :ivar doubts: how many commits with it may have taken effect, or may yet.
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
    """Creates keys; what arrives while a commit is under way goes into the next one.

    Load pattern: callers come in bursts, and the store counts calls, not jobs. A burst of sixteen
    costs one call, and a lone caller waits for nobody. A commit that is late holds only its own
    callers: others go beside it, and its creates are sent again, which does no harm, since a
    create takes effect once.
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
        """Begin to commit."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """End after what is queued."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def create(self, key: str, value: bytes, wait_s: float = LONGEST_S) -> Committed:
        """Write ``key`` unless it exists, and wait for the outcome.

        :param wait_s: seconds after which the caller is answered anyway.
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
        """Queue a create, or wait beside those who have; ``None`` if it can't be sent in time."""
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
        """Have a create sent that waits behind a slow commit, or is in one."""
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
        """Return what a caller is told; what nobody waits for any more is not sent."""
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
            run_and_log_errors("intake commit", partial(self._commit, batch))
            self._over(batch)

    def _next(self) -> list[_Create]:
        """Wait for creates that are to be sent now; none once this is closed."""
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
        """Commit creates together, without those that the store has already."""
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
        """Have each create told by its own commit, as the store does not say which one failed."""
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
        """Send again what has no answer, or give it up."""
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
    """Return what a create found: its own earlier try, or what somebody else stored.

    Guard against a job that runs a second time: an owner is told of what was written now only, as
    it may have forgotten a job that ended long ago.
    """
    if item.value != create.put.value:
        return Committed(True)
    return Committed(True, revision=item.revision, stored=item.value)
