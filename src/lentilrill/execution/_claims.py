"""Claims on the ids of jobs, as stored."""

import msgspec

from lentilrill.store import DECODE_ERRORS, Put
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Job, JobClaim, claim_key

__all__ = ["claim_of", "decode_claim"]


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
