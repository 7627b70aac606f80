"""A job as its caller handed it in: steps of tasks and what they need."""

import math
from enum import Enum
from typing import NamedTuple

import msgspec

from lentilrill.ids import JobId, PoolId, QueueId, RackId

__all__ = ["Job", "JobAnswer", "JobState", "Resources", "Step", "StepId", "TaskId"]


class Resources(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Room on an endpoint, or what a task takes of it.

    :param cpu: thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Return whether ``room`` holds all of this."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def scaled(self, share: float) -> "Resources":
        """Return a share of this, rounded up."""
        return Resources(
            math.ceil(self.cpu * share),
            math.ceil(self.memory_mb * share),
            math.ceil(self.accelerators * share),
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal tasks of a job.

    :param needs: what each task takes.
    :param estimate_ms: the caller's guess at a task's duration; may be far off.
    :param after: earlier steps whose tasks must all be done before a task of this one starts.
    :param gang: all tasks work together or not at all, under one run number.
    :param same_rack: the tasks are slower if they run on more than one rack.
    :param label: label that an endpoint must have; empty: any.
    :param near: rack where the data is; slower elsewhere; empty: anywhere.
    :param most_per_endpoint: tasks of the step that may run on one endpoint; 0: no limit.
    :param speculative: several copies of a task may run at once.
    :param lasting: tasks serve until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param target_ms: bound of the tail of a lasting task's response times; 0: none.
    :param filler: the tasks take processor time that others leave unused; their ``cpu`` is not
        counted against an endpoint's room.
    :param may_be_away: tasks of a lasting step that may be away at once by our doing.
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
        """What a task counts for against an endpoint's room."""
        if not self.filler:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """One accepted job, as kept in the store.

    :param spec: the caller's text, passed to endpoints unchanged.
    :param queue: queue through which it came.
    :param pool: pool whose endpoints run it; fixed at acceptance.
    :param attempts: failed runs after which a task was given up by the configuration at
        acceptance; counts once its queue is configured no more.
    :param accepted_ms: when it was accepted, in milliseconds since the epoch.
    :param first_due_ms: when its first occurrence is due, in milliseconds since the epoch.
    :param occurrences: how many times the steps run; 0: once, at once.
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

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since the epoch; 0: at once."""
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
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether nothing of the job runs any more, for good."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class JobAnswer(Enum):
    """What became of handing a job in, or of cancelling it."""

    ACCEPTED = "accepted"
    """It is stored, or was so before."""
    OVERLOADED = "overloaded"
    """It was not taken and never runs; the caller may come back later."""
    UNAVAILABLE = "unavailable"
    """It was not taken and never runs; this host can't commit now."""
    UNKNOWN = "unknown"
    """The commit's answer was lost: the job may run. The caller must ask again."""
    ABSENT = "absent"
    """There is no such job."""
