"""In-memory state of a pool's jobs, steps, tasks and runs, as tracked by the pool's owner."""

import time
from enum import Enum

import msgspec

from lentilrill.execution._waits import Cause, Waits
from lentilrill.ids import EndpointId, JobId, Revision
from lentilrill.workloads import (
    Job,
    JobProgress,
    JobState,
    Resources,
    Step,
    StepId,
    StepProgress,
    TaskId,
)

__all__ = ["JobBook", "Run", "RunPhase", "StepBook", "TaskBook"]


class RunPhase(Enum):
    """Phase of a run, as last reported to the owner."""

    ORDERED = "ordered"
    """Its start order is queued, in flight or unanswered; the run may be in progress."""
    UNDER_WAY = "under-way"
    STOPPING = "stopping"


class Run:
    """One start of a task on one endpoint, which reserves capacity there until its end is known.

    :ivar began_at: when the endpoint executed the start order; ``None`` for an adopted run and
        for one that resumes from a checkpoint, since their durations are not representative.
    :ivar changed_at: time of the last observed progress, derived from the endpoint's clock.
    :ivar expires_ms: expiry of the lease in its start order, on the endpoint's clock. Resent
        start orders carry the same expiry, so that none can be executed after it.
    :ivar made_at: when the run was placed.
    :ivar sent: number of times the start order was sent.
    :ivar in_doubt: a start order got no answer, so it may have been executed or may still be.
    :ivar confirmed_at: when the start order was confirmed as executed, or a stop order as
        preventing the run. A poll sent later that does not list the run proves that it has ended.
    """

    __slots__ = (
        "began_at",
        "changed_at",
        "confirmed_at",
        "endpoint",
        "expires_ms",
        "in_doubt",
        "load",
        "made_at",
        "number",
        "pace",
        "percent",
        "phase",
        "reserved",
        "sent",
        "task",
    )

    def __init__(
        self, task: "TaskBook", number: int, endpoint: EndpointId, reserved: Resources
    ) -> None:
        self.task = task
        self.number = number
        self.endpoint = endpoint
        self.reserved = reserved
        self.phase = RunPhase.ORDERED
        self.made_at = self.changed_at = time.monotonic()
        self.sent = 0
        self.confirmed_at: float | None = None
        self.began_at: float | None = None
        self.percent = 0
        self.load = 0.0
        self.pace = 100
        self.in_doubt = False
        self.expires_ms = 0

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and run number, which identify the run on its endpoint."""
        return self.task.id, self.number

    @property
    def is_unsent(self) -> bool:
        """Whether its start order has not been sent yet."""
        return self.phase is RunPhase.ORDERED and not self.sent

    @property
    def at_work(self) -> bool:
        """Whether the run has started up and is not being stopped.

        An endpoint reports a run that is being stopped as working until it has ended.
        """
        return self.phase is RunPhase.UNDER_WAY and self.percent >= 100


class TaskBook:
    """State of one task: its runs, failures and newest checkpoint."""

    __slots__ = (
        "checkpoint",
        "done",
        "failed_on",
        "failed_runs",
        "id",
        "not_before",
        "runs",
        "starts",
        "step",
    )

    def __init__(self, id: TaskId, step: "StepBook") -> None:
        self.id = id
        self.step = step
        self.done = False
        self.starts = 0
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        self.runs: list[Run] = []
        self.failed_on: set[EndpointId] = set()
        self.not_before = 0.0

    @property
    def failures(self) -> int:
        """Number of failed runs; the members of a gang fail together."""
        if not self.step.spec.gang:
            return len(self.failed_runs)
        return len(set().union(*(member.failed_runs for member in self.step.tasks)))

    @property
    def waiting(self) -> bool:
        """Whether the task is not done and has no runs."""
        return not self.done and not self.runs


class StepBook:
    """State of one step of one occurrence of a job."""

    __slots__ = ("book", "id", "ran", "ran_ms", "spec", "starts", "tasks", "undone")

    def __init__(self, book: "JobBook", id: StepId, spec: Step) -> None:
        self.book = book
        self.id = id
        self.spec = spec
        self.tasks = [TaskBook(TaskId(*id, index), self) for index in range(spec.count)]
        self.undone = spec.count
        self.starts = 0
        self.ran = 0
        self.ran_ms = 0.0

    @property
    def waits(self) -> bool:
        """Whether any task of the step is waiting to be started."""
        return any(task.waiting for task in self.tasks)

    def note_duration(self, ms: float) -> None:
        """Add the duration of a completed task to the step's mean."""
        self.ran += 1
        self.ran_ms += (ms - self.ran_ms) / self.ran

    def finish(self, task: TaskBook) -> None:
        """Mark a task as done."""
        if not task.done:
            task.done = True
            self.undone -= 1


class JobBook:
    """State of one job.

    :ivar revision: store revision at which the job was accepted.
    :ivar stored_revision: revision of its progress record in the store; 0 if there is none.
    :ivar final_stored: whether its final state is in the store and may be shown to clients.
    :ivar waits: time spent in each wait cause.
    """

    __slots__ = (
        "arrived_at",
        "cancelled",
        "dirty",
        "ended_ms",
        "final_stored",
        "job",
        "lasts",
        "next_occurrence",
        "revision",
        "state",
        "steps_by_occurrence",
        "stored_revision",
        "version",
        "waits",
    )

    def __init__(self, job: Job, revision: Revision, arrived_at: float) -> None:
        self.job = job
        self.revision = revision
        self.arrived_at = arrived_at
        self.state = JobState.QUEUED
        self.cancelled = False
        self.ended_ms = 0
        self.final_stored = False
        self.dirty = False
        self.version = 0
        self.stored_revision = Revision(0)
        self.steps_by_occurrence: dict[int, list[StepBook]] = {}
        self.next_occurrence = 0
        self.lasts = any(step.lasting for step in job.steps)
        self.waits = Waits(arrived_at)

    def open_occurrences(self, now_ms: int) -> None:
        """Create the steps of occurrences that have come due."""
        while self.next_occurrence < max(1, self.job.occurrences):
            if self.job.due_ms(self.next_occurrence) > now_ms:
                break
            number = self.next_occurrence
            self.steps_by_occurrence[number] = [
                StepBook(self, StepId(self.job.id, number, index), step)
                for index, step in enumerate(self.job.steps)
            ]
            self.next_occurrence += 1

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self.lasts or self.next_occurrence < max(1, self.job.occurrences):
            return False
        return all(not s.undone for steps in self.steps_by_occurrence.values() for s in steps)

    def open_steps(self) -> list[StepBook]:
        """Return unfinished steps whose preceding steps are done."""
        found = []
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                if step.undone and all(not steps[index].undone for index in step.spec.after):
                    found.append(step)
        return found

    def following_steps(self) -> list[StepBook]:
        """Return steps that become ready once the runs in progress are done."""
        found = []
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                before = [steps[index] for index in step.spec.after]
                if any(s.undone for s in before) and not any(s.waits for s in before):
                    found.append(step)
        return found

    def tasks(self) -> list[TaskBook]:
        """Return the tasks of the occurrences that have come due."""
        return [t for steps in self.steps_by_occurrence.values() for s in steps for t in s.tasks]

    def task(self, task: TaskId) -> TaskBook | None:
        """Return a task by its id, or ``None`` if there is none."""
        steps = self.steps_by_occurrence.get(task.occurrence)
        if steps is None or not 0 <= task.step < len(steps):
            return None
        tasks = steps[task.step].tasks
        return tasks[task.number] if 0 <= task.number < len(tasks) else None

    def touch(self) -> None:
        """Mark the progress as different from the stored record."""
        self.dirty = True
        self.version += 1

    def begin(self) -> None:
        """Mark the job as running once an endpoint has started one of its tasks."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
            self.touch()

    def end(self, state: JobState, now_ms: int) -> None:
        """Set the final state."""
        self.state = state
        self.ended_ms = now_ms
        self.waits.now_for(Cause.STORE, time.monotonic())
        self.touch()

    def progress(self) -> JobProgress:
        """Return the progress record to be stored."""
        if self.state.is_final:
            return JobProgress(self.state, self.ended_ms)
        steps_by_key = {}
        for occurrence, steps in self.steps_by_occurrence.items():
            for step in steps:
                kept = _step_progress(step)
                if kept != StepProgress():
                    steps_by_key[f"{occurrence}.{step.id.step}"] = kept
        return JobProgress(self.state, 0, steps_by_key)

    def restore(self, progress: JobProgress, now_ms: int) -> None:
        """Restore the state from the progress record of an earlier owner."""
        self.state = progress.state
        self.ended_ms = progress.ended_ms
        self.final_stored = progress.state.is_final
        if self.final_stored:
            return
        self.open_occurrences(now_ms)
        for key, kept in progress.steps_by_key.items():
            occurrence, _, index = key.partition(".")
            # An occurrence that has begun must survive a clock that was set back.
            while self.next_occurrence <= int(occurrence):
                self.open_occurrences(self.job.due_ms(self.next_occurrence))
            _restore_step(self.steps_by_occurrence[int(occurrence)][int(index)], kept)


def _step_progress(step: StepBook) -> StepProgress:
    done = 0
    for index, task in enumerate(step.tasks):
        if task.done:
            done |= 1 << index
    return StepProgress(
        f"{done:x}",
        {i: sorted(t.failed_runs) for i, t in enumerate(step.tasks) if t.failed_runs},
        {i: t.checkpoint for i, t in enumerate(step.tasks) if t.checkpoint and not t.done},
    )


def _restore_step(step: StepBook, kept: StepProgress) -> None:
    done = int(kept.done, 16)
    for index, task in enumerate(step.tasks):
        if done >> index & 1:
            step.finish(task)
        task.failed_runs = set(kept.failed_runs_by_index.get(index, ()))
        task.checkpoint = kept.saved_by_index.get(index, "")


def encode_progress(progress: JobProgress) -> bytes:
    """Return a progress record in its stored encoding."""
    return msgspec.json.encode(progress)


def job_id_of(key: str) -> JobId:
    """Return the job id in the last component of a key."""
    return JobId(key.rpartition("/")[2])
