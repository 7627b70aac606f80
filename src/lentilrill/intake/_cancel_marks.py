"""Marks on the ids of cancelled jobs that the store doesn't have, or doesn't have yet."""

import threading
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure, Result

from lentilrill.execution import claim_of, decode_claim
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import JobId, LeaseId, Revision, WorkspaceId
from lentilrill.ownership import boottime
from lentilrill.routing import TokenBucket
from lentilrill.store import Compare, Item, KeyValue, Priority, Put, TxnAnswer
from lentilrill.telemetry import Event, log
from lentilrill.workloads import NO_POOL, Job, JobClaim, claim_key

__all__ = ["CancelMarks", "MarkResult"]

LEASE_TTL_S = 300.0
MIN_LIFE_S = 130.0
"""Minimum time for which a mark lasts: a write may be carried out seconds late, and the state of a
cancelled job may be queried for 120 s."""
MARKS_PER_S = 10.0
MARK_BURST = 40.0
"""Callers may cancel any number of ids that no job has, and each mark costs a write."""
LEASE_RETRY_S = 1.0
"""Pause after a failed request for a lease, in which cancels that need one are refused at once:
each would wait for the requests of those before it, in a thread that serves callers."""
MAX_ATTEMPTS = 3
"""Attempts at a mark while others write under the same id."""


class MarkResult(Enum):
    """Result of an attempt to mark an id."""

    MARKED = "marked"
    """No write that was sent before can store a job under the id."""
    HAS_JOB = "job"
    """The id has a job now."""
    UNAVAILABLE = "unavailable"
    """Nothing was written."""
    UNKNOWN = "unknown"
    """The mark may have been written, or may still be."""


class CancelMarks:
    """Marks on ids, which take the place of a job's claim.

    The write of a job may be carried out seconds after its caller was told that nothing is known of
    it. Its condition is that its id has no claim. So a cancel that comes meanwhile is acknowledged
    only once the id is marked, and the write fails.

    A mark is bound to a lease, as no owner removes it. Many marks share a lease.
    """

    def __init__(self, kv: KeyValue, clock: Callable[[], float] = boottime) -> None:
        self._kv = kv
        self._clock = clock
        self._lock = threading.Lock()
        self._bucket = TokenBucket(MARKS_PER_S, MARK_BURST, time.monotonic())
        self._lease: LeaseId | None = None
        self._lease_until = 0.0
        self._grant_not_before = 0.0

    def put(self, job: JobId, workspace: WorkspaceId) -> MarkResult:
        """Mark an id as cancelled by a caller of a workspace, for :data:`MIN_LIFE_S` at least."""
        if not self._may_write():
            log(Event.CANCEL_NOT_MARKED, job=job, reason="too many cancels of unknown jobs")
            return MarkResult.UNAVAILABLE
        mark = JobClaim(NO_POOL, workspace, is_cancelled=True)
        existing: Item | None = None
        for _ in range(MAX_ATTEMPTS):
            lease = self._current_lease()
            if lease is None:
                log(Event.CANCEL_NOT_MARKED, job=job, reason="no lease")
                return MarkResult.UNAVAILABLE
            result = self._write(job, mark, existing, lease)
            if isinstance(result, Failure):
                fault = result.failure()
                log(Event.CANCEL_NOT_MARKED, job=job, reason=fault.reason)
                if fault.kind is not FaultKind.INVALID:
                    return _result_of(fault)
                continue
            if result.unwrap().succeeded:
                return MarkResult.MARKED
            existing = next(iter(result.unwrap().found), None)
            found = _result_by_claim(existing, workspace, lease)
            if found is not None:
                return found
            mark = _with_submission(mark, existing)
        return MarkResult.UNKNOWN

    def note_submitted(self, job: JobId, workspace: WorkspaceId) -> bool:
        """Note that a job was submitted under a marked id, so that it is shown as cancelled.

        :return: whether that is stored now. If not, it may be, or the mark may have ended.
        """
        item, mark = self._read_mark(job)
        if mark is None or mark.workspace != workspace:
            return False
        if mark.is_submitted:
            return True
        lease = self._current_lease()
        if lease is None:
            log(Event.COMMIT_FAILED, job=job, reason="no lease for the note that it is cancelled")
            return False
        mark = msgspec.structs.replace(mark, is_submitted=True)
        return _is_written(job, self._write(job, mark, item, lease))

    def replace(self, job: Job, record: Put) -> Revision | None:
        """Store a job under an id that a caller of another workspace has marked.

        :param record: the write of the job.
        :return: revision of the job; ``None`` if it wasn't stored, or may still be.
        """
        item, mark = self._read_mark(job.id)
        if item is None or mark is None:
            return None
        compares = (Compare(claim_key(job.id), item.revision), Compare(record.key, Revision(0)))
        result = self._kv.commit(compares, (claim_of(job), record))
        return result.unwrap().revision if _is_written(job.id, result) else None

    def _read_mark(self, job: JobId) -> tuple[Item | None, JobClaim | None]:
        """Return the mark on an id, as stored and decoded; ``None`` if it isn't marked."""
        read = self._kv.get(claim_key(job), Priority.LATER)
        if isinstance(read, Failure):
            log(Event.JOB_NOT_READ, job=job, reason=read.failure().reason)
            return None, None
        item = read.unwrap()
        claim = _claim_in(item)
        return (item, claim) if claim is not None and claim.is_cancelled else (None, None)

    def _may_write(self) -> bool:
        with self._lock:
            return self._bucket.take(time.monotonic())

    def _write(
        self, job: JobId, mark: JobClaim, item: Item | None, lease: LeaseId
    ) -> Result[TxnAnswer, Fault]:
        """Write a mark if its id still has the claim ``item``, or none."""
        key = claim_key(job)
        compare = Compare(key, item.revision if item is not None else Revision(0))
        put = Put(key, msgspec.msgpack.encode(mark), lease)
        result = self._kv.commit((compare,), (put,), Priority.LATER)
        if isinstance(result, Failure) and result.failure().kind is FaultKind.INVALID:
            # The store has ended the lease early.
            self._drop(lease)
        return result

    def _current_lease(self) -> LeaseId | None:
        """Return a lease that lasts for :data:`MIN_LIFE_S`; ``None`` if none is granted."""
        with self._lock:
            now = self._clock()
            if self._lease is not None and self._lease_until - now >= MIN_LIFE_S:
                return self._lease
            if now < self._grant_not_before:
                return None
            granted = self._kv.lease(LEASE_TTL_S)
            if isinstance(granted, Failure):
                self._grant_not_before = self._clock() + LEASE_RETRY_S
                log(Event.CANCEL_NOT_MARKED, reason=granted.failure().reason)
                return None
            self._lease = granted.unwrap()
            self._lease_until = now + LEASE_TTL_S
            return self._lease

    def _drop(self, lease: LeaseId) -> None:
        with self._lock:
            if self._lease == lease:
                self._lease = None


def _claim_in(item: Item | None) -> JobClaim | None:
    return decode_claim(item.value) if item is not None and item.value is not None else None


def _result_by_claim(
    existing: Item | None, workspace: WorkspaceId, lease: LeaseId
) -> MarkResult | None:
    """Return what an existing claim makes of an attempt at a mark; ``None`` to mark over it."""
    if existing is None:
        return None
    claim = _claim_in(existing)
    if claim is None:
        # A later version may have written it, for a job.
        return MarkResult.UNKNOWN
    if not claim.is_cancelled:
        return MarkResult.HAS_JOB
    lasts = claim.workspace == workspace and existing.lease == lease
    return MarkResult.MARKED if lasts else None


def _with_submission(mark: JobClaim, existing: Item | None) -> JobClaim:
    """Return a mark that keeps what is noted by the workspace's mark before it."""
    claim = _claim_in(existing)
    return claim if claim is not None and claim.workspace == mark.workspace else mark


def _result_of(fault: Fault) -> MarkResult:
    is_unknown = fault.kind is FaultKind.AMBIGUOUS
    return MarkResult.UNKNOWN if is_unknown else MarkResult.UNAVAILABLE


def _is_written(job: JobId, result: Result[TxnAnswer, Fault]) -> bool:
    """Whether a write took effect; log why if it is not known to have."""
    if isinstance(result, Failure):
        log(Event.COMMIT_FAILED, job=job, reason=result.failure().reason)
        return False
    if not result.unwrap().succeeded:
        log(Event.COMMIT_FAILED, job=job, reason="the claim on its id has changed")
    return result.unwrap().succeeded
