"""In-memory state of a pool's jobs, steps and tasks, as tracked by the pool's owner."""

import time
from collections import Counter

import msgspec

from lentilrill.execution._runs import Run
from lentilrill.execution._start_zones import StartZones
from lentilrill.execution._step_records import restore_step, step_progress_of
from lentilrill.execution._wait_times import WaitCause, WaitTimes
from lentilrill.ids import EndpointId, JobId, Revision, ZoneId
from lentilrill.workloads import (
    Attempt,
    FailureCause,
    Job,
    JobProgress,
    JobState,
    Step,
    StepId,
    StepProgress,
    TaskId,
)

__all__ = ["TrackedJob", "TrackedStep", "TrackedTask", "encode_progress", "job_id_of"]

EXCLUSION_S = 2.0
"""Time for which a task is kept from an endpoint where it failed, and from unhealthy ones: long
enough to find another endpoint in a busy pool, shorter than a caller should notice."""


MAX_RECORD_WAIT_S = 1.0
"""Time for which capacity is reserved for a job whose record is not stored yet."""
MAX_MEMORY_S = 60.0
"""Time for which a task's failure on an endpoint is remembered."""


class TrackedTask:
    """State of one task: its runs, failures and newest checkpoint.

    :ivar crashed_processes: processes of endpoints that crashed under it since it last worked.
    :ivar attempts: starts since then of which it isn't known whether the endpoint crashed.
    :ivar open_crashes: endpoints of these that are out of reach and may have crashed under it.
    :ivar held_until: monotonic time before which it isn't started, since it may have crashed
        several endpoints.
    :ivar copy_count: copies that this owner has started while another run was in progress.
    :ivar stalled_on: endpoints on which it made no progress for long; empty once it is at work.
    :ivar failed_at: monotonic time of its last failure on each endpoint. A refused start counts as
        a failure whose exclusion has ended.
    """

    __slots__ = (
        "attempts",
        "checkpoint",
        "copy_count",
        "crashed_processes",
        "done",
        "failed_at",
        "failed_runs",
        "held_until",
        "id",
        "not_before",
        "open_crashes",
        "runs",
        "stalled_on",
        "start_count",
        "step",
    )

    def __init__(self, id: TaskId, step: "TrackedStep") -> None:
        self.id = id
        self.step = step
        self.done = False
        self.start_count = self.copy_count = 0
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        self.runs: list[Run] = []
        self.failed_at: dict[EndpointId, float] = {}
        self.not_before = self.held_until = 0.0
        self.crashed_processes: set[str] = set()
        self.attempts: dict[EndpointId, Attempt] = {}
        self.open_crashes: set[EndpointId] = set()
        self.stalled_on: set[EndpointId] = set()

    @property
    def is_suspect(self) -> bool:
        """Whether an endpoint has crashed, or may have, under it since it last worked."""
        return bool(self.crashed_processes or self.open_crashes)

    @property
    def is_stored_first(self) -> bool:
        """Whether a start has to be stored before it is sent, so that a later owner knows of it.

        That holds for suspects, and for the first start by a new owner: the previous owner may have
        been lost together with the endpoint that crashed.
        """
        is_first = self.start_count <= 1
        return self.is_suspect or (self.step.tracked_job.is_restored and is_first)

    def clear_suspicion(self) -> bool:
        """Note that it works without crashing its endpoint; return whether that is new."""
        if not self.crashed_processes and not self.attempts:
            return False
        self.crashed_processes.clear()
        self.attempts.clear()
        self.open_crashes.clear()
        self.step.tracked_job.mark_dirty()
        return True

    @property
    def failures(self) -> int:
        """Number of failed runs; the members of a gang fail together."""
        if not self.step.spec.gang:
            return len(self.failed_runs)
        return len(set().union(*(member.failed_runs for member in self.step.tasks)))

    def record_failure_on(self, endpoint: EndpointId) -> None:
        """Keep the task from an endpoint for :data:`EXCLUSION_S` seconds."""
        now = time.monotonic()
        self.failed_at = {id: at for id, at in self.failed_at.items() if now - at < MAX_MEMORY_S}
        self.failed_at[endpoint] = now

    def record_refusal_by(self, endpoint: EndpointId) -> None:
        """Prefer other endpoints from now on, without keeping the task from this one."""
        refused_at = time.monotonic() - EXCLUSION_S
        self.failed_at[endpoint] = max(refused_at, self.failed_at.get(endpoint, 0.0))

    def excluded(self, now: float) -> set[EndpointId]:
        """Return the endpoints that the task is kept from now."""
        return {id for id, at in self.failed_at.items() if now - at < EXCLUSION_S}

    def takes_checkpoint(self, run: Run | None) -> bool:
        """Whether a checkpoint of a run is the newest: of two runs, that of the one further on."""
        percent = run.percent if run is not None else 0
        others = (other for other in self.runs if other is not run)
        return not self.step.spec.speculative or all(o.percent <= percent for o in others)

    @property
    def waiting(self) -> bool:
        """Whether the task is not done and has no runs."""
        return not self.done and not self.runs


class TrackedStep:
    """State of one step of one occurrence of a job.

    :ivar given_up_number: number of the last run of a member of a gang whose start was given up; 0
        if there is none.
    :ivar longest_ms: longest duration of a completed task; 0 if none was completed.
    """

    __slots__ = (
        "completed",
        "given_up_number",
        "id",
        "longest_ms",
        "mean_ms",
        "remaining",
        "spec",
        "start_count",
        "tasks",
        "tracked_job",
    )

    def __init__(self, tracked_job: "TrackedJob", id: StepId, spec: Step) -> None:
        self.tracked_job = tracked_job
        self.id = id
        self.spec = spec
        self.tasks = [TrackedTask(TaskId(*id, index), self) for index in range(spec.count)]
        self.remaining = spec.count
        self.start_count = 0
        self.given_up_number = 0
        self.completed = 0
        self.mean_ms = self.longest_ms = 0.0

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether any task of the step is waiting to be started."""
        return any(task.waiting for task in self.tasks)

    def run_counts(self) -> Counter[EndpointId]:
        """Return the number of runs of the step on each endpoint."""
        return Counter(run.endpoint for task in self.tasks for run in task.runs)

    def record_duration(self, ms: float) -> None:
        """Add the duration of a completed task."""
        self.longest_ms = max(self.longest_ms, ms)
        self.completed += 1
        self.mean_ms += (ms - self.mean_ms) / self.completed

    def finish(self, task: TrackedTask) -> None:
        """Mark a task as done."""
        if not task.done:
            task.done = True
            self.remaining -= 1


class TrackedJob:
    """State of one job.

    :ivar revision: store revision at which the job was accepted.
    :ivar stored_revision: revision of its progress record in the store; 0 if there is none.
    :ivar stored_version: version of the state in its progress record.
    :ivar cause: why it failed.
    :ivar is_recorded: whether its progress record is stored; until then none of its tasks is
        started.
    :ivar is_restored: whether a previous owner stored its record, and may have started it.
    :ivar needs_record: whether its record is to be written, since its tasks start next.
    :ivar never_started: whether no previous owner can have started it, as it had no record when
        this owner took the pool over.
    :ivar start_zones: availability zones in which its tasks may have been started.
    :ivar final_stored: whether its final state is in the store and may be shown to callers.
    :ivar wait_times: time spent in each wait cause.
    :ivar weighted_share_at_start: share of the pool for its weight that its workspace used when
        the first task got room in an order by shares; ``None`` if that was in another order.
    """

    __slots__ = (
        "arrived_at",
        "cancelled",
        "cause",
        "dirty",
        "ended_ms",
        "final_stored",
        "is_recorded",
        "is_restored",
        "job",
        "long_running",
        "needs_record",
        "never_started",
        "next_occurrence",
        "record_requested_at",
        "revision",
        "start_zones",
        "state",
        "steps_by_occurrence",
        "stored_revision",
        "stored_version",
        "version",
        "wait_times",
        "weighted_share_at_start",
    )

    def __init__(self, job: Job, revision: Revision, arrived_at: float) -> None:
        self.job = job
        self.revision = revision
        self.arrived_at = arrived_at
        self.state = JobState.QUEUED
        self.cancelled = False
        self.cause = FailureCause.NONE
        self.ended_ms = 0
        self.final_stored = False
        self.dirty = False
        self.version = 0
        self.stored_version = 0
        self.stored_revision = Revision(0)
        self.is_recorded = False
        self.is_restored = False
        self.needs_record = False
        self.record_requested_at = 0.0
        self.never_started = False
        self.start_zones = StartZones()
        self.steps_by_occurrence: dict[int, list[TrackedStep]] = {}
        self.next_occurrence = 0
        self.long_running = any(step.lasting for step in job.steps)
        self.wait_times = WaitTimes(arrived_at)
        self.weighted_share_at_start: float | None = None

    def open_occurrences(self, now_ms: int) -> None:
        """Create the steps of occurrences that have come due."""
        while self.next_occurrence < max(1, self.job.occurrences):
            if self.job.due_ms(self.next_occurrence) > now_ms:
                break
            number = self.next_occurrence
            self.steps_by_occurrence[number] = [
                TrackedStep(self, StepId(self.job.id, number, index), step)
                for index, step in enumerate(self.job.steps)
            ]
            self.next_occurrence += 1

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self.long_running or self.next_occurrence < max(1, self.job.occurrences):
            return False
        return all(not s.remaining for steps in self.steps_by_occurrence.values() for s in steps)

    def ready_steps(self) -> list[TrackedStep]:
        """Return unfinished steps whose preceding steps are done."""
        found = []
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                if step.remaining and all(not steps[index].remaining for index in step.spec.after):
                    found.append(step)
        return found

    def following_steps(self) -> list[TrackedStep]:
        """Return steps that become ready once the runs in progress are done."""
        found = []
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                before = [steps[index] for index in step.spec.after]
                if any(s.remaining for s in before) and not any(
                    s.has_waiting_tasks for s in before
                ):
                    found.append(step)
        return found

    def tasks(self) -> list[TrackedTask]:
        """Return the tasks of the occurrences that have come due."""
        return [t for steps in self.steps_by_occurrence.values() for s in steps for t in s.tasks]

    def task(self, task: TaskId) -> TrackedTask | None:
        """Return a task by its id, or ``None`` if there is none."""
        steps = self.steps_by_occurrence.get(task.occurrence)
        if steps is None or not 0 <= task.step < len(steps):
            return None
        tasks = steps[task.step].tasks
        return tasks[task.number] if 0 <= task.number < len(tasks) else None

    def mark_dirty(self) -> None:
        """Mark the progress as different from the stored record."""
        self.dirty = True
        self.version += 1

    def is_held_by_take_over(self, revision: int, zones: frozenset[ZoneId]) -> bool:
        """Whether tasks that a previous owner started may run on endpoints not polled yet.

        :param revision: revision of the take-over.
        :param zones: availability zones of these endpoints.
        """
        if self.never_started or self.revision >= revision:
            return False
        return self.start_zones.may_run_in(zones)

    def request_record(self) -> bool:
        """Have the record written before the first start; return whether that is new."""
        if self.is_recorded or self.needs_record:
            return False
        self.needs_record = True
        self.record_requested_at = time.monotonic()
        self.mark_dirty()
        return True

    def lacks_record(self, now: float) -> bool:
        """Whether the record that it needs before its first start could not be stored in time."""
        return self.needs_record and now - self.record_requested_at > MAX_RECORD_WAIT_S

    def mark_running(self) -> None:
        """Mark the job as running once an endpoint has started one of its tasks."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
            self.mark_dirty()

    def end(self, state: JobState, now_ms: int, cause: FailureCause = FailureCause.NONE) -> None:
        """Set the final state.

        :param cause: why it failed.
        """
        self.state = state
        self.cause = cause
        self.ended_ms = now_ms
        self.wait_times.switch_to(WaitCause.STORE, time.monotonic())
        self.mark_dirty()

    def progress(self) -> JobProgress:
        """Return the progress record to be stored."""
        if self.state.is_final:
            return JobProgress(self.state, self.ended_ms, self.cause)
        steps_by_key = {}
        for occurrence, steps in self.steps_by_occurrence.items():
            for step in steps:
                step_progress = step_progress_of(step)
                if step_progress != StepProgress():
                    steps_by_key[f"{occurrence}.{step.id.step}"] = step_progress
        run_zones = (run.zone for task in self.tasks() for run in task.runs)
        is_started = self.state is not JobState.QUEUED
        zones = self.start_zones.to_store(run_zones, is_started=is_started)
        return JobProgress(self.state, 0, FailureCause.NONE, steps_by_key, zones)

    def restore(self, progress: JobProgress, now_ms: int) -> None:
        """Restore the state from the progress record of a previous owner."""
        self.is_recorded = self.is_restored = True
        self.state = progress.state
        self.ended_ms = progress.ended_ms
        self.cause = progress.cause
        self.final_stored = progress.state.is_final
        self.start_zones.restore(progress.zones)
        if self.final_stored:
            return
        self.open_occurrences(now_ms)
        for key, step_progress in progress.steps_by_key.items():
            occurrence, _, index = key.partition(".")
            # An occurrence that has begun must survive a clock that was set back.
            while self.next_occurrence <= int(occurrence):
                self.open_occurrences(self.job.due_ms(self.next_occurrence))
            restore_step(self.steps_by_occurrence[int(occurrence)][int(index)], step_progress)


def encode_progress(progress: JobProgress) -> bytes:
    """Return a progress record in its stored encoding."""
    return msgspec.json.encode(progress)


def job_id_of(key: str) -> JobId:
    """Return the job id in the last component of a key."""
    return JobId(key.rpartition("/")[2])
