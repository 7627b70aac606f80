"""Claims on the ids of jobs, as the owner of their pool stores and removes them."""

import time
from itertools import islice

import msgspec
from returns.result import Failure

from lentilrill.execution._pacing import pause_after_call
from lentilrill.ids import JobId, PoolId, Revision
from lentilrill.store import DECODE_ERRORS, Compare, Item, KeyValue, Priority, Put
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Job, JobClaim, claim_key

__all__ = ["ClaimBook", "claim_of", "decode_claim"]

MAX_CLAIMS_PER_COMMIT = 15
"""The store takes 32 entries per call: the owner's key, and a condition and a write per claim."""
RETRY_S = 5.0


def claim_of(job: Job) -> Put:
    """Return the write of the claim on a job's id."""
    return Put(claim_key(job.id), msgspec.msgpack.encode(JobClaim(job.pool, job.workspace)))


def decode_claim(value: bytes) -> JobClaim | None:
    """Return a stored claim, or ``None`` if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(value, type=JobClaim)
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key="claim on a job", reason=str(error))
        return None


class ClaimBook:
    """Claims of a pool's jobs: who has one, and who still needs one.

    An entry host of an earlier version accepts jobs without a claim. Until the owner has stored it,
    such a job would be accepted once more if its queue changed its pool.

    All methods are called under the owner's lock, or by its planning thread alone (:meth:`store`).
    """

    def __init__(self, kv: KeyValue, pool: PoolId, owner: Compare) -> None:
        self._kv = kv
        self._pool = pool
        self._owner = owner
        self._missing_by_job: dict[JobId, Put] = {}
        self._foreign: set[JobId] = set()
        self._not_before = 0.0

    def on_job(self, job: Job) -> None:
        """Note a job of the pool."""
        if not job.has_claim:
            self._missing_by_job[job.id] = claim_of(job)

    def is_settled(self, job: JobId) -> bool:
        """Whether it is known whose the claim on a job's id is."""
        return job not in self._missing_by_job

    def removable_key(self, job: JobId) -> str | None:
        """Return the key of a job's claim, unless the claim belongs to another job."""
        return None if job in self._foreign else claim_key(job)

    def forget(self, job: JobId) -> None:
        """Forget a job that was removed."""
        self._missing_by_job.pop(job, None)
        self._foreign.discard(job)

    def next_batch(self) -> tuple[Put, ...]:
        """Return claims to be stored now."""
        if not self._missing_by_job or time.monotonic() < self._not_before:
            return ()
        return tuple(islice(self._missing_by_job.values(), MAX_CLAIMS_PER_COMMIT))

    def store(self, claims: tuple[Put, ...]) -> tuple[Item, ...] | None:
        """Store claims together; return those that exist already, ``None`` if it failed."""
        began = time.monotonic()
        absent = tuple(Compare(put.key, Revision(0)) for put in claims)
        result = self._kv.commit((self._owner, *absent), claims, Priority.LATER)
        ended = time.monotonic()
        self._not_before = ended + pause_after_call(ended - began)
        if isinstance(result, Failure):
            reason = result.failure().reason
        elif result.unwrap().succeeded:
            return ()
        else:
            found = result.unwrap().found
            existing = tuple(item for item in found if item.key != self._owner.key)
            if existing:
                return existing
            reason = "conditions"
        log(Event.CLAIMS_NOT_STORED, pool=self._pool, jobs=len(claims), reason=reason)
        return None

    def on_result(self, claims: tuple[Put, ...], existing: tuple[Item, ...] | None) -> list[JobId]:
        """Process the result of :meth:`store`.

        :return: jobs that callers have cancelled at hosts which didn't find them.
        """
        if existing is None:
            self._not_before = time.monotonic() + RETRY_S
            return []
        settled = {item.key for item in existing} if existing else {put.key for put in claims}
        for job in [job for job, put in self._missing_by_job.items() if put.key in settled]:
            del self._missing_by_job[job]
        own_by_key = {put.key: decode_claim(put.value) for put in claims}
        return [_job_of(item) for item in existing if self._check(item, own_by_key[item.key])]

    def _check(self, item: Item, own: JobClaim | None) -> bool:
        """Note whose an existing claim is; return whether it says that the job is cancelled.

        :param own: the claim that was to be stored.
        """
        claim = decode_claim(item.value) if item.value is not None else None
        if claim is not None and claim.pool == self._pool:
            return False
        job = _job_of(item)
        self._foreign.add(job)
        if claim is not None and claim.is_cancelled:
            return own is not None and claim.workspace == own.workspace
        pool = claim.pool if claim is not None else None
        log(Event.JOB_ACCEPTED_TWICE, job=job, pool=self._pool, other_pool=pool)
        return False


def _job_of(claim: Item) -> JobId:
    return JobId(claim.key.rpartition("/")[2])
