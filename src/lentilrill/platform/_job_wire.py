"""Decoding of the jobs that callers send, and encoding of the answers."""

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import JobId, RackId, WorkspaceId
from lentilrill.store import DECODE_ERRORS
from lentilrill.workloads import FailureCause, Job, JobState, Queue, Resources, Step

__all__ = ["decode_job", "encode_pending", "encode_state"]

MAX_TASKS = 20_000
MAX_STEPS = 500
"""Limits of one job: a small request must not be able to exhaust the memory of an entry host."""
MAX_AMOUNT = 10**13
"""Larger than any time in milliseconds and any resource; sums over a job's tasks fit 64 bits."""
_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _State(msgspec.Struct, omit_defaults=True):
    state: str
    cause: str = ""


class _Step(msgspec.Struct):
    count: _Amount = 0
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: _Amount = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that an endpoint must have.
    requires: str = ""
    # Rack of the step's data.
    affinity: str = ""
    # Maximum number of tasks of the step on one endpoint.
    anti_affinity: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Amount = 0
    fills: bool = False
    # Maximum number of tasks that the system itself may interrupt at once.
    may_miss: _Amount = 0


class _Job(msgspec.Struct):
    spec: str
    steps: list[_Step]
    repeat_count: _Amount = 0
    first_run_ms: _Amount = 0
    interval_ms: _Amount = 0


def decode_job(
    job: JobId, queue: Queue, workspace: WorkspaceId, body: bytes, now_ms: int
) -> Result[Job, Fault]:
    """Return the job in the body of a request, or an ``INVALID`` fault.

    :param workspace: workspace of the caller.
    """
    try:
        raw = msgspec.json.decode(body, type=_Job)
    except DECODE_ERRORS as error:
        return _invalid(str(error))
    if not raw.steps or len(raw.steps) > MAX_STEPS:
        return _invalid(f"{len(raw.steps)} steps")
    for index, step in enumerate(raw.steps):
        if step.count < 1 or any(not 0 <= before < index for before in step.after):
            return _invalid(f"step {index}: count {step.count}, after {step.after}")
    if sum(step.count for step in raw.steps) * max(1, raw.repeat_count) > MAX_TASKS:
        return _invalid("the job has too many tasks")
    steps = tuple(_decode_step(step) for step in raw.steps)
    return Success(
        Job(
            job,
            queue.id,
            queue.pool,
            raw.spec,
            steps,
            now_ms,
            raw.first_run_ms,
            raw.repeat_count,
            raw.interval_ms,
            queue.max_attempts,
            workspace,
            terms=queue.terms,
        )
    )


def _decode_step(raw: _Step) -> Step:
    return Step(
        raw.count,
        Resources(raw.cpu, raw.mem_mb, raw.gpu),
        raw.estimate_ms,
        tuple(raw.after),
        raw.checkpointing,
        raw.gang,
        raw.same_rack,
        raw.requires,
        RackId(raw.affinity),
        raw.anti_affinity,
        raw.speculative,
        raw.long_running,
        raw.image,
        raw.target_ms,
        raw.fills,
        raw.may_miss,
    )


def encode_state(state: JobState, cause: FailureCause = FailureCause.NONE) -> bytes:
    """Return the answer to a request for the state of a job, with the cause if it failed."""
    return msgspec.json.encode(_State(state.value, cause.value))


def encode_pending(waiting: int) -> bytes:
    """Return the answer to a request for the number of pending jobs of a queue."""
    return msgspec.json.encode({"pending": waiting})


def _invalid(reason: str) -> Result[Job, Fault]:
    return Failure(Fault("ingress.job", "", FaultKind.INVALID, reason))
