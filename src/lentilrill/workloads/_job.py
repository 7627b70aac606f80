"""Jobs as submitted by callers: steps of tasks and the resources that they need."""

import math
from enum import Enum
from typing import NamedTuple

import msgspec

from lentilrill.ids import JobId, PoolId, QueueId, RackId, WorkspaceId

__all__ = [
    "Job",
    "JobAnswer",
    "JobState",
    "QueueTerms",
    "Resources",
    "Step",
    "StepId",
    "TaskId",
]


class Resources(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Resources of an endpoint, or resources that a task needs.

    :param cpu: thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: "Resources") -> bool:
        """Return whether these resources fit into ``available``."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def scaled(self, share: float) -> "Resources":
        """Return these resources multiplied by ``share`` and rounded up."""
        return Resources(
            math.ceil(self.cpu * share),
            math.ceil(self.memory_mb * share),
            math.ceil(self.accelerators * share),
        )

    def times(self, count: int) -> "Resources":
        """Return these resources ``count`` times."""
        return Resources(self.cpu * count, self.memory_mb * count, self.accelerators * count)

    def at_least(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def at_most(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def divided(self, parts: int) -> "Resources":
        """Return one of ``parts`` equal parts, rounded down."""
        return Resources(self.cpu // parts, self.memory_mb // parts, self.accelerators // parts)

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Group of identical tasks of a job.

    :param needs: resources of each task.
    :param estimate_ms: the caller's estimate of a task's duration, which may be far off.
    :param after: indexes of earlier steps that must be done before a task of this step starts.
    :param gang: whether all tasks start together or not at all, under one run number.
    :param same_rack: whether the tasks are slower if they run on more than one rack.
    :param label: label that an endpoint must have; empty for any endpoint.
    :param near: rack of the data; tasks are slower on other racks; empty for no preference.
    :param most_per_endpoint: maximum tasks of the step on one endpoint; 0 for no limit.
    :param speculative: whether several copies of a task may run at once.
    :param lasting: whether the tasks are long-running, that is, run until the job is cancelled.
    :param image: image that the tasks run; tasks with the same image behave alike.
    :param target_ms: target for the tail latency of a long-running task; 0 for none.
    :param filler: whether the tasks use only processor time that others leave unused; their ``cpu``
        isn't counted against an endpoint's capacity.
    :param may_be_away: maximum tasks of a long-running step that the system may interrupt at once.
    """

    count: int
    needs: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near: RackId = RackId("")
    most_per_endpoint: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    filler: bool = False
    may_be_away: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that a task reserves on an endpoint."""
        if not self.filler:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """Properties of a queue at the acceptance of a job, used once the queue isn't configured.

    :param host: value of the ``Host`` header that selects the queue.
    :param prefix: path prefix that selects it.
    :param stretch: factor on the duration of the job's critical path that the job may take.
    :param objective_ms: latency objective, in addition to the stretched critical path.
    :param is_advised: whether starts need tickets of the policy service.
    """

    host: str
    prefix: str
    priority: int = 0
    stretch: float = 1.0
    objective_ms: int = 0
    is_advised: bool = False


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """One accepted job, as stored.

    :param spec: the caller's specification, passed to endpoints unchanged.
    :param queue: queue that it was submitted to.
    :param pool: pool whose endpoints run it; fixed at acceptance.
    :param attempts: maximum attempts for a task by the configuration at acceptance; used once its
        queue is no longer configured.
    :param workspace: workspace of the caller that submitted it; empty if the queue is public.
    :param accepted_ms: time of acceptance, in milliseconds since the epoch.
    :param first_due_ms: due time of its first occurrence, in milliseconds since the epoch.
    :param occurrences: number of times that the steps run; 0 runs them once, immediately.
    :param beyond_rate: whether its workspace was beyond its rate when it was submitted.
    :param has_claim: whether it was stored together with the claim on its id.
    :param terms: of its queue; ``None`` if an earlier version accepted it.
    """

    id: JobId
    queue: QueueId
    pool: PoolId
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int = 0
    first_due_ms: int = 0
    occurrences: int = 0
    interval_ms: int = 0
    attempts: int = 1
    workspace: WorkspaceId = WorkspaceId("")
    beyond_rate: bool = False
    has_claim: bool = False
    terms: QueueTerms | None = None

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence in milliseconds since the epoch; 0 if immediate."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class StepId(NamedTuple):
    """A step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """A task of a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int


class JobState(Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended and won't run again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class JobAnswer(Enum):
    """Result of submitting or cancelling a job."""

    ACCEPTED = "accepted"
    """The request is stored, now or by an earlier attempt."""
    OVERLOADED = "overloaded"
    """The job was rejected and will never run; the caller may retry later."""
    UNAVAILABLE = "unavailable"
    """The job was rejected and will never run; this entry host can't commit now."""
    UNKNOWN = "unknown"
    """The result of the commit is unknown: the job may run. The caller must ask again."""
    ABSENT = "absent"
    """There is no such job."""
    CONFLICT = "conflict"
    """The id belongs to a job of another workspace; this job will never run."""
