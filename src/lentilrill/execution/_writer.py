"""Writes a pool's progress into the store, many jobs in one call."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.faults import FaultKind
from lentilrill.ids import EndpointId, JobId, Revision
from lentilrill.store import Compare, KeyValue, Put
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["ProgressWriter", "Snapshot", "progress_key"]

URGENT_S = 0.06
"""Least time between two commits while a job waits to be shown as completed: several that end
together cost one call, and none waits longer than a client's usual pause between two questions."""
LAZY_S = 0.8
"""How long ends that complete no job wait for a commit; they must be acknowledged within 4 s."""
JOBS_A_COMMIT = 15
"""The store takes 32 entries a call: the owner's key, and a condition and a write for each job."""
RETRY_S = 0.3


class Entry(msgspec.Struct):
    """A job's progress to be written.

    :param version: of the book when it was taken.
    """

    job: JobId
    value: bytes
    revision: Revision
    version: int
    is_final: bool


class Snapshot(msgspec.Struct):
    """What one commit is to store.

    :param cursors: ends seen by endpoint, all of whose effects are in the store once no job is
        left out.
    """

    entries: list[Entry]
    cursors: dict[EndpointId, tuple[int, int]]
    is_whole: bool


class _Source(Protocol):
    def snapshot(self, most: int) -> Snapshot:
        """Return what is to be written now, final jobs first."""

    def stored(self, snapshot: Snapshot, revision: Revision) -> None:
        """Take note that a snapshot is in the store."""

    def settle(self) -> None:
        """Find out why a commit's conditions did not hold, or what became of a lost one."""


def progress_key(pool: str, job: str) -> str:
    """Return the key of a job's progress record."""
    return f"p/{pool}/{job}"


class ProgressWriter(threading.Thread):
    """Commits what its source has to store.

    Guard against an owner that writes after it has lost its pool, and against an older write
    that the store carries out late, over a newer one: each commit compares the owner's key and
    each record's last known revision, so both fail.
    """

    def __init__(
        self,
        kv: KeyValue,
        pool: str,
        owner_key: str,
        token: Revision,
        source: _Source,
        may_order: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(name=f"writer-{pool}", daemon=True)
        self._kv = kv
        self._pool = pool
        self._owner_key = owner_key
        self._token = token
        self._source = source
        self._may_order = may_order
        self._clock = clock
        self._ended = threading.Event()
        self._changed = threading.Condition()
        self._dirty = False
        self._urgent = False
        self._last = 0.0
        self._flushed = True

    def note(self, *, urgent: bool) -> None:
        """Note that there is something to write."""
        with self._changed:
            self._dirty = True
            self._urgent = self._urgent or urgent
            self._changed.notify()

    def close(self) -> None:
        """End the task after what it is doing."""
        self._ended.set()
        with self._changed:
            self._changed.notify()

    def run(self) -> None:
        """Write until closed."""
        while not self._ended.is_set():
            self._wait()
            if self._ended.is_set():
                return
            if not self._may_order():
                self._ended.wait(RETRY_S)
                self.note(urgent=False)
                continue
            if not (run_and_log_errors(f"writer of {self._pool}", self.flush) and self._flushed):
                self._ended.wait(RETRY_S)
                self.note(urgent=True)

    def flush(self) -> bool:
        """Write all that is to be written; return whether it is in the store."""
        self._last = self._clock()
        self._flushed = False
        while True:
            snapshot = self._source.snapshot(JOBS_A_COMMIT)
            if not snapshot.entries:
                self._source.stored(snapshot, Revision(0))
                break
            if not self._commit(snapshot):
                return False
            if snapshot.is_whole:
                break
        self._flushed = True
        return True

    def _wait(self) -> None:
        with self._changed:
            while not self._ended.is_set():
                if self._dirty:
                    pause = URGENT_S if self._urgent else LAZY_S
                    left = self._last + pause - self._clock()
                    if left <= 0:
                        break
                    self._changed.wait(left)
                else:
                    self._changed.wait()
            self._dirty = self._urgent = False

    def _commit(self, snapshot: Snapshot) -> bool:
        keys = [progress_key(self._pool, entry.job) for entry in snapshot.entries]
        compares = [Compare(self._owner_key, self._token)]
        compares += [
            Compare(key, entry.revision) for key, entry in zip(keys, snapshot.entries, strict=True)
        ]
        writes = tuple(
            Put(key, entry.value) for key, entry in zip(keys, snapshot.entries, strict=True)
        )
        result = self._kv.commit(tuple(compares), writes)
        if isinstance(result, Failure):
            fault = result.failure()
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, jobs=len(writes), reason=fault.reason)
            if fault.kind is FaultKind.AMBIGUOUS:
                self._source.settle()
            return False
        if not result.unwrap().succeeded:
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, jobs=len(writes), reason="conditions")
            self._source.settle()
            return False
        self._source.stored(snapshot, result.unwrap().revision)
        return True
