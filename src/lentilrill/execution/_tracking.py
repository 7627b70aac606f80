"""In-memory state of a pool's jobs, steps, tasks and runs, as tracked by the pool's owner."""

import time
from collections import Counter
from collections.abc import Callable
from enum import Enum

from lentilrill.execution._start_zones import UNKNOWN_ZONE, StartZones
from lentilrill.execution._wait_times import WaitCause, WaitTimes
from lentilrill.ids import EndpointId, Revision, ZoneId
from lentilrill.workloads import (
    Attempt,
    FailureCause,
    Job,
    JobState,
    Resources,
    Step,
    StepId,
    TaskId,
)

__all__ = [
    "FULL_PACE_PERCENT",
    "MAX_REPORT_AGE_S",
    "Run",
    "RunPhase",
    "TrackedJob",
    "TrackedStep",
    "TrackedTask",
]

EXCLUSION_S = 2.0
"""Time for which a task is kept from an endpoint where it failed, and from unhealthy ones: long
enough to find another endpoint in a busy pool, shorter than a caller should notice."""
MAX_RECORD_WAIT_S = 1.0
"""Time for which capacity is reserved for a job whose record is not stored yet."""
MAX_MEMORY_S = 60.0
"""Time for which a task's failure on an endpoint is remembered."""
FULL_PACE_PERCENT = 100
MAX_REPORT_AGE_S = 1.6
"""Age of an endpoint's report of a run up to which the run counts as at work: twice the wait of a
poll."""


class RunPhase(Enum):
    """Phase of a run, as last reported to the owner."""

    ORDERED = "ordered"
    """Its start order is queued, in flight or unanswered; the run may be in progress."""
    IN_PROGRESS = "under-way"
    STOPPING = "stopping"


class Run:
    """One start of a task on one endpoint, which reserves capacity there until its end is known.

    :ivar started_at: when the endpoint executed the start order; ``None`` for an adopted run and
        for one that resumes from a checkpoint, since their durations are not representative.
    :ivar progressed_at: time of the last observed progress, derived from the endpoint's clock.
    :ivar reported_at: when its endpoint last reported it, derived from the endpoint's clock.
    :ivar expires_ms: expiry of the lease in its start order, on the endpoint's clock. Resent
        start orders carry the same expiry, so that none can be executed after it.
    :ivar expires_at_started_ms: start time of the endpoint's process whose clock that is.
    :ivar placed_at: when the run was placed.
    :ivar sent_at: when its start was last sent; 0 if never.
    :ivar stop_ordered_at: when it was last ordered to stop; 0 if never.
    :ivar send_count: number of times the start order was sent.
    :ivar answer_count: number of these that were answered.
    :ivar zone: availability zone of the endpoint.
    :ivar is_unconfirmed: a start order got no answer, so it may have been executed or may still be.
    :ivar is_listed: whether the endpoint's known process has listed it.
    :ivar is_noted_late: its start was noted only once its endpoint fell silent.
    :ivar finished_task: whether this run finished its task; false for a later one.
    :ivar confirmed_at: when the start order was confirmed as executed, or a stop order as
        preventing the run. A poll sent later that does not list the run proves that it has ended.
    """

    __slots__ = (
        "answer_count",
        "confirmed_at",
        "endpoint",
        "expires_at_started_ms",
        "expires_ms",
        "finished_task",
        "is_listed",
        "is_noted_late",
        "is_unconfirmed",
        "load",
        "number",
        "pace",
        "percent",
        "phase",
        "placed_at",
        "progressed_at",
        "reported_at",
        "reserved",
        "send_count",
        "sent_at",
        "started_at",
        "stop_ordered_at",
        "task",
        "zone",
    )

    def __init__(
        self, task: "TrackedTask", number: int, endpoint: EndpointId, reserved: Resources
    ) -> None:
        self.task = task
        self.number = number
        self.endpoint = endpoint
        self.zone = UNKNOWN_ZONE
        self.reserved = reserved
        self.phase = RunPhase.ORDERED
        self.placed_at = self.progressed_at = self.reported_at = time.monotonic()
        self.send_count = self.answer_count = 0
        self.confirmed_at: float | None = None
        self.started_at: float | None = None
        self.percent = 0
        self.load = 0.0
        self.pace = FULL_PACE_PERCENT
        self.is_unconfirmed = self.is_noted_late = self.finished_task = False
        self.is_listed = False
        self.expires_ms = self.expires_at_started_ms = 0
        self.sent_at = 0.0
        self.stop_ordered_at = 0.0

    def give_up_start(self) -> None:
        """Note that its start, if not confirmed, has failed, so that its gang can't be complete."""
        if self.confirmed_at is None:
            self.task.step.given_up_number = self.number

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and run number, which identify the run on its endpoint."""
        return self.task.id, self.number

    @property
    def is_unsent(self) -> bool:
        """Whether its start order has not been sent; never sent once the run was stopped."""
        return not self.send_count and self.confirmed_at is None

    @property
    def was_found(self) -> bool:
        """Whether this owner knows of it by a report alone: a previous owner has started it."""
        return not self.send_count and self.confirmed_at is not None

    @property
    def may_start_late(self) -> bool:
        """Whether a copy of its start got no answer, and so may be carried out later."""
        return self.send_count > self.answer_count

    def expiry_ms(self, started_ms: int, new_expiry_ms: Callable[[], int]) -> int:
        """Return the expiry in its start, which all copies have in common.

        :param started_ms: start time of the endpoint's known process.
        :param new_expiry_ms: returns the expiry of a lease given now, on that process's clock.
        """
        if not self.expires_ms:
            self.expires_ms, self.expires_at_started_ms = new_expiry_ms(), started_ms
        return self.expires_ms

    @property
    def began_at(self) -> float:
        """When it began, or when its start was sent, found or placed, whichever is known."""
        return self.started_at or self.sent_at or self.confirmed_at or self.placed_at

    def is_at_work(self, now: float) -> bool:
        """Whether the run has started up and is not being stopped, by a recent report.

        An endpoint reports a run that is being stopped as working until it has ended. An older
        report proves nothing: the owner or the endpoint is late, and the run may have ended since.

        :param now: the monotonic clock.
        """
        is_recent = now - self.reported_at <= MAX_REPORT_AGE_S
        return is_recent and self.phase is RunPhase.IN_PROGRESS and self.percent >= 100


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
    :ivar is_ticket_required: whether an endpoint has refused a start of it without a ticket.
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
        "is_ticket_required",
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
        self.is_ticket_required = False
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
