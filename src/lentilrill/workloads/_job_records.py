"""Keys of a job's records in the store, and the claim on its id."""

import msgspec

from lentilrill.ids import NO_WORKSPACE, JobId, PoolId, WorkspaceId

__all__ = ["NO_POOL", "JobClaim", "cancellation_key", "claim_key", "job_key", "progress_key"]

NO_POOL = PoolId("")
"""The pool in the claim on an id under which no job was accepted."""


class JobClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """The pool that a job was accepted in, stored under the job's id alone.

    A queue's pool can change while a request is repeated. The claim is written in the same
    transaction as the job, only if there is none, so that an id never has jobs in two pools.

    A claim may also keep jobs out: a caller has cancelled the id while it had no job.

    :param workspace: workspace of the caller that submitted or cancelled the job; empty if the
        queue is public.
    :param is_cancelled: whether no job of the workspace is to be accepted under the id.
    :param is_submitted: whether a job was submitted under the id after that.
    """

    pool: PoolId
    workspace: WorkspaceId = NO_WORKSPACE
    is_cancelled: bool = False
    is_submitted: bool = False


def claim_key(job: JobId) -> str:
    """Return the key of the claim on a job's id."""
    return f"c/{job}"


def job_key(pool: PoolId, job: JobId) -> str:
    """Return the key of an accepted job."""
    return f"in/{pool}/j/{job}"


def cancellation_key(pool: PoolId, job: JobId) -> str:
    """Return the key that marks a job as cancelled."""
    return f"in/{pool}/x/{job}"


def progress_key(pool: str, job: str) -> str:
    """Return the key of a job's progress record."""
    return f"p/{pool}/{job}"
