"""Writer of a pool's progress records, which commits several jobs in one call to the store."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.faults import FaultKind
from lentilrill.ids import EndpointId, JobId, Revision, ZoneId
from lentilrill.store import Compare, KeyValue, Put
from lentilrill.telemetry import Event, log, run_and_log_errors
from lentilrill.workloads import progress_key

__all__ = ["ProgressWriter", "Snapshot"]

URGENT_INTERVAL_S = 0.06
"""Minimum interval between two commits while a job waits to be shown as completed. Jobs that end
together share one call, and none waits longer than a caller usually pauses between two queries."""
START_INTERVAL_S = 0.02
"""Minimum interval between two commits while a job waits for its record before its first start."""
LAZY_INTERVAL_S = 0.8
"""Minimum interval between two commits of ends that complete no job; ends must be acknowledged
within 4 s."""
MAX_JOBS_PER_COMMIT = 15
"""The store accepts 32 entries per call: the owner's key, and a compare and a write per job."""
RETRY_S = 0.3


class ProgressEntry(msgspec.Struct):
    """Progress of one job to be written.

    :param version: version of the job's state at the time of the snapshot.
    :param zones: zones of the job's runs in the record.
    """

    job: JobId
    value: bytes
    revision: Revision
    version: int
    is_final: bool
    zones: list[ZoneId] | None = None


class Snapshot(msgspec.Struct):
    """Progress to be stored by one commit.

    :param cursors: cursor of the last end and start time of the process, by endpoint.
    :param is_whole: whether no job was left out, so that the effects of all ends up to
        ``cursors`` are stored with this snapshot.
    """

    entries: list[ProgressEntry]
    cursors: dict[EndpointId, tuple[int, int]]
    is_whole: bool


class _Source(Protocol):
    def snapshot(self, limit: int) -> Snapshot:
        """Return the progress to be written, most urgent jobs first."""

    def on_stored(self, snapshot: Snapshot, revision: Revision) -> None:
        """Process a stored snapshot."""

    def reload_revisions(self) -> None:
        """Re-read the store after a commit that conflicted or whose result is unknown."""


class ProgressWriter(threading.Thread):
    """Thread that commits the progress of its source.

    Each commit compares the owner's key and the last known revision of each record. Therefore a
    write by an owner that has lost its pool fails, and so does an older write that the store
    executes after a newer one.
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
        self._starts = False
        self._last_commit_at = 0.0
        self._flushed = True

    def schedule(self, *, urgent: bool, starts: bool = False) -> None:
        """Schedule a commit.

        :param urgent: whether a job waits to be shown as completed.
        :param starts: whether a job waits to be started.
        """
        with self._changed:
            self._dirty = True
            self._urgent = self._urgent or urgent
            self._starts = self._starts or starts
            self._changed.notify()

    def close(self) -> None:
        """End the thread after its current commit."""
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
                self.schedule(urgent=False)
                continue
            if not (run_and_log_errors(f"writer of {self._pool}", self.flush) and self._flushed):
                self._ended.wait(RETRY_S)
                self.schedule(urgent=True)

    def flush(self) -> bool:
        """Write all unsaved progress; return whether it is stored."""
        self._last_commit_at = self._clock()
        self._flushed = False
        while True:
            snapshot = self._source.snapshot(MAX_JOBS_PER_COMMIT)
            if not snapshot.entries:
                self._source.on_stored(snapshot, Revision(0))
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
                    left = self._last_commit_at + self._interval_s() - self._clock()
                    if left <= 0:
                        break
                    self._changed.wait(left)
                else:
                    self._changed.wait()
            self._dirty = self._urgent = self._starts = False

    def _interval_s(self) -> float:
        if self._starts:
            return START_INTERVAL_S
        return URGENT_INTERVAL_S if self._urgent else LAZY_INTERVAL_S

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
                self._source.reload_revisions()
            return False
        if not result.unwrap().succeeded:
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, jobs=len(writes), reason="conditions")
            self._source.reload_revisions()
            return False
        self._source.on_stored(snapshot, result.unwrap().revision)
        return True
