"""Remaining work of a pool's jobs, and a forecast of the work that arrives next."""

from collections import deque

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, RunPhase, TrackedJob, TrackedStep
from lentilrill.ids import EndpointId, JobId, QueueId
from lentilrill.scheduling import LEAD_S, DurationModel, TaskTimes
from lentilrill.workloads import Job, Step

__all__ = ["Durations", "OfferedLoad", "WorkEstimate", "WorkForecast", "idle_endpoints"]

WINDOW_S = 1.0
"""Window in which arriving work is counted; a queue in a surge gets several jobs in it."""
SURGE_GROWTH = 2.0
"""Factor by which a rising arrival rate grows until hosts that are moved now can serve."""
IDLE_AFTER_S = 0.8
"""Time without a run after which an endpoint counts as idle; the next step of a job starts within
this time."""

MIN_KNOWN_TASKS = 8
"""Completed tasks of a queue, of two jobs at least, before their distribution is used."""

STRAGGLING_FACTOR = 1.5
"""Time left, relative to the whole expected duration, from which on a run counts as a straggler:
more than the usual spread of durations."""
MIN_STRAGGLING_ELAPSED = 0.25
"""Time since a run's start, relative to the expected duration, below which its progress says too
little."""


class WorkEstimate(msgspec.Struct, frozen=True):
    """Estimated work of a job.

    :param remaining_ms: critical path through the unfinished steps, in milliseconds.
    :param total_ms: critical path through all steps.
    :param resource_seconds: resources of the unfinished tasks (thousandths of a core, megabytes and
        accelerators), each multiplied by the seconds of use.
    """

    remaining_ms: float
    total_ms: float
    resource_seconds: tuple[float, float, float]

    @property
    def cpu_s(self) -> float:
        """Processor seconds of the unfinished tasks."""
        return self.resource_seconds[0] / 1000


class WorkForecast(msgspec.Struct, frozen=True):
    """Forecast of the work that arrives before a host that is moved now can serve.

    :param resource_seconds: total, as in :class:`WorkEstimate`.
    :param arrival_span_s: span over which it arrives evenly.
    :param slack_s: how long a job may wait after its arrival.
    :param duration_s: duration of a job from its start to its end; 0 if no work is expected.
    """

    resource_seconds: tuple[float, float, float] = (0.0, 0.0, 0.0)
    arrival_span_s: float = LEAD_S
    slack_s: float = 0.0
    duration_s: float = 0.0


class _Arrival(msgspec.Struct, frozen=True):
    at: float
    estimate: WorkEstimate
    slack_s: float


class OfferedLoad:
    """Work that arrived over the last second, and a forecast of the next arrivals.

    A queue surges from almost nothing to several times the capacity of its pool within about four
    seconds, and a moved host serves after two to three. Waiting tasks reveal a surge only once the
    pool is full, so hosts would arrive when it is over. The arrival rate reveals it at once; while
    it grows, it is assumed to double until moved hosts can serve.
    """

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque()

    def record_arrival(self, now: float, estimate: WorkEstimate, slack_s: float) -> None:
        """Record the arrival of a job, and how long it may wait."""
        self._arrivals.append(_Arrival(now, estimate, slack_s))

    def forecast(self, now: float) -> WorkForecast:
        """Return the forecast of arriving work."""
        while self._arrivals and now - self._arrivals[0].at > 2 * WINDOW_S:
            self._arrivals.popleft()
        last = [a for a in self._arrivals if now - a.at <= WINDOW_S]
        work = sum(a.estimate.cpu_s for a in last)
        if not work:
            return WorkForecast()
        before = sum(a.estimate.cpu_s for a in self._arrivals) - work
        factor = LEAD_S / WINDOW_S * (SURGE_GROWTH if work > before else 1.0)
        resource_seconds = [
            sum(a.estimate.resource_seconds[i] for a in last) * factor for i in range(3)
        ]
        slack_s = sum(a.estimate.cpu_s * a.slack_s for a in last) / work
        duration_s = sum(a.estimate.cpu_s * a.estimate.remaining_ms for a in last) / work / 1000
        return WorkForecast(
            (resource_seconds[0], resource_seconds[1], resource_seconds[2]),
            LEAD_S,
            slack_s,
            duration_s,
        )


class _QueueTimes:
    """Distribution of a queue's task durations, and whether it rests on enough tasks to be used."""

    def __init__(self) -> None:
        self.times = TaskTimes()
        self._tasks = 0
        self._first_job: JobId | None = None
        self._has_other_jobs = False

    @property
    def is_known(self) -> bool:
        return self._tasks >= MIN_KNOWN_TASKS and self._has_other_jobs

    def observe(self, job: JobId, ratio: float) -> None:
        self.times.observe(ratio)
        self._tasks += 1
        self._first_job = self._first_job or job
        self._has_other_jobs = self._has_other_jobs or job != self._first_job


class Durations:
    """Estimates of task durations, by queue."""

    def __init__(self) -> None:
        self._model_by_queue: dict[QueueId, DurationModel] = {}
        self._times_by_queue: dict[QueueId, _QueueTimes] = {}

    def record(self, step: TrackedStep, ms: float) -> None:
        """Add the duration of a completed task."""
        job = step.tracked_job.job
        queue = job.queue
        expected_ms = self.expected_ms(job, step.spec, step)
        if expected_ms > 0:
            times = self._times_by_queue.setdefault(queue, _QueueTimes())
            times.observe(job.id, ms / expected_ms)
        step.record_duration(ms)
        self._model_by_queue.setdefault(queue, DurationModel()).observe(step.spec.estimate_ms, ms)

    def expected_ms(self, job: Job, spec: Step, step: TrackedStep | None) -> float:
        """Return the expected duration of a step's task.

        Uses the mean of the step's completed tasks if there are any, else the model of the queue.
        """
        if step is not None and step.completed:
            return step.mean_ms
        model = self._model_by_queue.get(job.queue)
        return model.expected_ms(spec.estimate_ms) if model is not None else spec.estimate_ms

    def remaining_ms(
        self,
        job: Job,
        spec: Step,
        step: TrackedStep | None,
        elapsed_ms: float,
        done_share: float,
    ) -> float:
        """Return the time that a run of a step's task still needs.

        :param done_share: progress that the run shows, from 0 to 1; 0 if none.
        """
        expected_ms = self.expected_ms(job, spec, step)
        queue_times = self._times_by_queue.get(job.queue)
        if queue_times is None or not queue_times.is_known:
            return max(0.0, expected_ms - elapsed_ms)
        return queue_times.times.remaining_ms(expected_ms, elapsed_ms, done_share)

    def run_left_ms(self, run: Run) -> float:
        """Return the time that a run still needed at its newest report.

        A resumed or adopted run counts with the whole expected duration.
        """
        step = run.task.step
        job = step.tracked_job.job
        if run.started_at is None:
            return self.expected_ms(job, step.spec, step)
        elapsed_ms = max(0.0, run.reported_at - run.started_at) * 1000
        return self.remaining_ms(job, step.spec, step, elapsed_ms, run.percent / 100)

    def _straggling_ms(self, step: TrackedStep, expected_ms: float) -> tuple[float, float]:
        """Return by how much the time left of a step's running tasks exceeds the expected duration.

        :return: the largest excess of a task, and the total.
        """
        queue_times = self._times_by_queue.get(step.tracked_job.job.queue)
        if queue_times is None or not queue_times.is_known or step.spec.lasting:
            return 0.0, 0.0
        largest = total = 0.0
        for task in step.tasks:
            if task.runs and not task.done and _is_past(task.runs, expected_ms):
                left_ms = min(self.run_left_ms(run) for run in task.runs)
                if left_ms > STRAGGLING_FACTOR * expected_ms:
                    largest = max(largest, left_ms - expected_ms)
                    total += left_ms - expected_ms
        return largest, total

    def estimate_work(self, tracked_job: TrackedJob) -> WorkEstimate:
        """Return the work of a job, by the expected durations and the stragglers among its runs.

        A long task lengthens the whole critical path, also once it is done: a deadline is counted
        from the work that a job turns out to have.
        """
        remaining_ms: dict[int, float] = {}
        total_ms: dict[int, float] = {}
        resource_seconds = [0.0, 0.0, 0.0]
        current = max(tracked_job.steps_by_occurrence, default=0)
        steps = tracked_job.steps_by_occurrence.get(current, [])
        for index, spec in enumerate(tracked_job.job.steps):
            step = steps[index] if steps else None
            remaining = step.remaining if step is not None else spec.count
            ms = self.expected_ms(tracked_job.job, spec, step)
            late_ms, late_total_ms = (0.0, 0.0) if step is None else self._straggling_ms(step, ms)
            longest_ms = max(ms + late_ms, 0.0 if step is None else step.longest_ms)
            total_ms[index] = longest_ms + max((total_ms[i] for i in spec.after), default=0.0)
            remaining_ms[index] = (ms + late_ms if remaining else 0) + max(
                (remaining_ms[i] for i in spec.after), default=0.0
            )
            seconds = (remaining * ms + late_total_ms) / 1000
            resource_seconds[0] += seconds * spec.needs.cpu
            resource_seconds[1] += seconds * spec.needs.memory_mb
            resource_seconds[2] += seconds * spec.needs.accelerators
        return WorkEstimate(
            max(remaining_ms.values(), default=0.0),
            max(total_ms.values(), default=0.0),
            (resource_seconds[0], resource_seconds[1], resource_seconds[2]),
        )

    def longest_ready_ms(self, tracked_job: TrackedJob) -> float:
        """Return the expected task duration of the longest ready step."""
        return max(
            (
                self.expected_ms(tracked_job.job, step.spec, step)
                for step in tracked_job.ready_steps()
            ),
            default=0.0,
        )


def _is_past(runs: list[Run], expected_ms: float) -> bool:
    """Whether all runs of a task have begun long enough ago to be told from the usual ones."""
    least_s = MIN_STRAGGLING_ELAPSED * expected_ms / 1000
    return all(
        run.phase is RunPhase.IN_PROGRESS
        and run.started_at is not None
        and run.reported_at - run.started_at > least_s
        for run in runs
    )


def idle_endpoints(links: list[EndpointLink], now: float) -> list[EndpointId]:
    """Return reachable endpoints without runs for longer than ``IDLE_AFTER_S`` seconds."""
    return [
        link.entry.id
        for link in links
        if link.reachable
        and link.registered
        and not link.runs_by_key
        and not link.unknown_since_by_key
        and now - link.last_busy_at > IDLE_AFTER_S
    ]
