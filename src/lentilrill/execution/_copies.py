"""Copies of running tasks: where they start, which run is stopped, and what they were good for."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

import msgspec

from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._job_queues import JobOfQueue, deadline_ms, needs_tickets
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._planner import Planner
from lentilrill.execution._spare_room import Capacities, Slowdown, slowdown_of, without_waiting
from lentilrill.execution._tracking import (
    MAX_REPORT_AGE_S,
    Run,
    RunPhase,
    TrackedJob,
    TrackedStep,
    TrackedTask,
)
from lentilrill.ids import EndpointId, JobId, PoolId
from lentilrill.scheduling import (
    MIN_SLOWDOWN,
    CopyBudget,
    CopyResults,
    EndpointCapacity,
    StragglingRun,
    copy_key,
    is_worth_a_copy,
    place,
)
from lentilrill.telemetry import Event, Metrics, log
from lentilrill.workloads import Job, Queue, Step, StepId, TaskId

__all__ = ["CopyBook", "TimesLeft", "is_copied"]

MIN_COPY_RATIO = 2.0
"""Time left, relative to a fresh run, below which no copy pays: it costs a fresh run."""
MAX_COPIES_OF_A_TASK = 2
"""Copies of a task that an owner starts, one after the other: a copy may be lost as well."""


class TimesLeft(Protocol):
    """Prediction of the time that runs take."""

    def expected_ms(self, job: Job, spec: Step, step: TrackedStep | None) -> float:
        """Return the expected duration of a fresh run of a step's task."""

    def remaining_ms(
        self, job: Job, spec: Step, step: TrackedStep | None, elapsed_ms: float, done_share: float
    ) -> float:
        """Return the median time left of a run.

        :param done_share: share of its work that its last report shows as done.
        """


class _Copy(msgspec.Struct, frozen=True):
    run: Run
    original: Run
    placed_at: float


class _Straggler(msgspec.Struct, frozen=True):
    """A run that may get a copy.

    :param report_age_s: age of the report that its progress was taken from.
    """

    run: Run
    times: StragglingRun
    report_age_s: float
    win_share: float


class CopyBook:
    """Copies of the tasks of one pool's speculative steps.

    All methods are called under the lock of the pool's owner. Copies that a previous owner started
    count against the budget, and are stopped like any other once their task is done.

    :param attempts: returns the number of failed runs after which a job's task is given up.
    :param slowdown: how much slower than usual an endpoint is.
    """

    def __init__(
        self,
        pool: PoolId,
        planner: Planner,
        times: TimesLeft,
        attempts: Callable[[TrackedJob], int],
        metrics: Metrics,
        slowdown: Slowdown = slowdown_of,
    ) -> None:
        self._pool = pool
        self._planner = planner
        self._times = times
        self._slowdown = slowdown
        self._attempts = attempts
        self._metrics = metrics
        self._copies: list[_Copy] = []
        self._results = CopyResults()

    def settle(self, now: float) -> None:
        """Note the results of copies."""
        copies, self._copies = self._copies, []
        for copy in copies:
            if self._is_open(copy):
                self._copies.append(copy)
            else:
                self._record_result(copy, now)

    def _is_open(self, copy: _Copy) -> bool:
        task = copy.run.task
        is_over = task.done or task.step.tracked_job.state.is_final
        return not is_over and copy.run in task.runs and copy.original in task.runs

    def _record_result(self, copy: _Copy, now: float) -> None:
        run, task = copy.run, copy.run.task
        job = task.step.tracked_job.job
        has_won = run.finished_task
        if task.done:
            self._results.record(job.queue, has_won=has_won)
        # If the original run has failed, its copy goes on as the task's only run.
        lost = copy.original if has_won or (run in task.runs and not task.done) else run
        core_s = task.step.spec.needs.cpu / 1000 * (now - lost.began_at)
        self._metrics.incr(f"copies.won.{self._pool}", int(has_won))
        self._metrics.incr(f"copies.wasted_core_ms.{self._pool}", round(core_s * 1000))
        log(
            Event.COPY_ENDED,
            job=job.id,
            task=task.id,
            run=run.number,
            endpoint=run.endpoint,
            won=has_won,
            done=task.done,
            took_s=round(now - copy.placed_at, 2),
            wasted_core_s=round(core_s, 2),
        )

    def place(
        self,
        jobs: list[JobOfQueue],
        links: Mapping[EndpointId, EndpointLink],
        capacity_by_endpoint: Capacities,
        unknown_tasks: set[TaskId],
        budgets: RoundBudgets,
        now: float,
    ) -> list[tuple[EndpointId, Run]]:
        """Place copies on the capacity that is left after the placement of waiting tasks.

        :param jobs: jobs that are not final.
        :param unknown_tasks: tasks of unknown runs.
        :param budgets: what may still start for each workspace.
        """
        queue_by_job = {tracked_job.job.id: queue for tracked_job, queue in jobs}
        fresh_s_by_step: dict[StepId, float] = {}
        stragglers = [
            straggler
            for run in _speculative_runs(links.values())
            if run.task.id.job in queue_by_job and self._may_copy(run, unknown_tasks, now)
            for straggler in self._straggler(
                run, links, queue_by_job[run.task.id.job], fresh_s_by_step, now
            )
        ]
        self._planner.copied_steps = [
            straggler.run.task.step
            for straggler in stragglers
            if _needs_tickets(straggler, queue_by_job)
        ]
        if not stragglers:
            return []
        unwanted = without_waiting(jobs, links, capacity_by_endpoint, budgets, now)
        unwanted = {id: c for id, c in unwanted.items() if self._slowdown(links[id]) < MIN_SLOWDOWN}
        budget = _budget(links.values())
        placed = []
        for straggler in sorted(stragglers, key=lambda s: copy_key(s.times)):
            spec, job = straggler.run.task.step.spec, straggler.run.task.step.tracked_job.job
            if not budget.has_room(spec.needs.cpu) or not budgets.allows(job, spec.needs):
                continue
            permitted = unwanted
            if _needs_tickets(straggler, queue_by_job):
                permitted = self._planner.with_ticket(straggler.run.task.step, unwanted)
            capacity = _place_copy(straggler.run.task, links, permitted, now)
            if capacity is None:
                continue
            budget.take(spec.needs.cpu)
            budgets.take(job, spec.needs)
            capacity.reserve(spec.reserved, serves=False)
            placed.append((capacity.id, self._start(straggler, capacity.id, now)))
        return placed

    def _may_copy(self, run: Run, unknown_tasks: set[TaskId], now: float) -> bool:
        task = run.task
        if task.done or len(task.runs) > 1 or task.copy_count >= MAX_COPIES_OF_A_TASK:
            return False
        # A copy of a task that crashes its endpoints would take down another one.
        if task.is_suspect or task.attempts or max(task.held_until, task.not_before) > now:
            return False
        # The run and its copy may both fail, and nothing starts after the last attempt.
        attempts_left = self._attempts(task.step.tracked_job) - task.failures
        is_running = run.phase is RunPhase.IN_PROGRESS
        return is_running and attempts_left > 1 and task.id not in unknown_tasks

    def _straggler(
        self,
        run: Run,
        links: Mapping[EndpointId, EndpointLink],
        queue: Queue | None,
        fresh_s_by_step: dict[StepId, float],
        now: float,
    ) -> Iterator[_Straggler]:
        """Yield the run with its times if it is worth a copy."""
        step = run.task.step
        tracked_job = step.tracked_job
        if step.id not in fresh_s_by_step:
            expected_ms = self._times.expected_ms(tracked_job.job, step.spec, step)
            fresh_s_by_step[step.id] = expected_ms / 1000
        fresh_s = fresh_s_by_step[step.id]
        left_s = self._left_s(run, links[run.endpoint], fresh_s, now)
        if left_s is None or left_s < MIN_COPY_RATIO * fresh_s:
            return
        times = StragglingRun(
            left_s, fresh_s, self._later_s(step), self._deadline_s(step, queue, now)
        )
        win_share = self._results.win_share(tracked_job.job.queue)
        if is_worth_a_copy(times, win_share):
            yield _Straggler(run, times, now - run.reported_at, win_share)

    def _left_s(self, run: Run, link: EndpointLink, fresh_s: float, now: float) -> float | None:
        """Return the expected time until a run ends.

        :return: ``None`` if it isn't known, or the run doesn't straggle.
        """
        if not link.reachable:
            # It may be lost; without a copy the task starts again once its lease has ended.
            return max(0.0, link.lease_end - now) + fresh_s if link.lease_end else None
        age_s = now - run.reported_at
        if age_s > MAX_REPORT_AGE_S:
            return None
        elapsed_s = max(0.0, run.reported_at - run.began_at)
        if elapsed_s < fresh_s and not _lags(run.percent, elapsed_s, fresh_s):
            # The distribution, which takes longer to evaluate, says no other of such a run.
            return None
        step = run.task.step
        left_ms = self._times.remaining_ms(
            step.tracked_job.job, step.spec, step, elapsed_s * 1000, run.percent / 100
        )
        return max(0.0, left_ms / 1000 - age_s)

    def _later_s(self, step: TrackedStep) -> float:
        """Return the expected time that the job needs after a step."""
        steps = step.tracked_job.steps_by_occurrence[step.id.occurrence]
        path_ms: dict[int, float] = {}
        for index in reversed(range(step.id.step, len(steps))):
            later_ms = [path_ms[i] for i in path_ms if index in steps[i].spec.after]
            own_ms = self._times.expected_ms(step.tracked_job.job, steps[index].spec, steps[index])
            path_ms[index] = max(later_ms, default=0.0) + (own_ms if index > step.id.step else 0.0)
        return path_ms[step.id.step] / 1000

    def _deadline_s(self, step: TrackedStep, queue: Queue | None, now: float) -> float:
        """Return the time until the job's deadline, if none of its running tasks is itself long.

        A deadline counts from the work that a job turns out to have. Of a task that is itself long
        a copy is no use, so what its run needs beyond a fresh one doesn't lengthen the deadline.
        """
        tracked_job = step.tracked_job
        path_ms: list[float] = []
        for other in tracked_job.steps_by_occurrence[step.id.occurrence]:
            expected_ms = self._times.expected_ms(tracked_job.job, other.spec, other)
            before_ms = max((path_ms[i] for i in other.spec.after), default=0.0)
            path_ms.append(before_ms + max(expected_ms, other.longest_ms))
        allowed_s = deadline_ms(queue, max(path_ms)) / 1000
        return allowed_s - (now - tracked_job.arrived_at)

    def _start(self, straggler: _Straggler, endpoint: EndpointId, now: float) -> Run:
        original, task = straggler.run, straggler.run.task
        run = self._planner.new_run(task, endpoint, self._planner.next_number(task))
        task.copy_count += 1
        self._copies.append(_Copy(run, original, now))
        self._metrics.incr(f"copies.started.{self._pool}")
        log(
            Event.COPY_STARTED,
            job=task.id.job,
            task=task.id,
            run=run.number,
            endpoint=endpoint,
            original=original.number,
            original_endpoint=original.endpoint,
            percent=original.percent,
            left_s=round(straggler.times.left_s, 2),
            fresh_s=round(straggler.times.fresh_s, 2),
            later_s=round(straggler.times.later_s, 2),
            deadline_s=round(straggler.times.deadline_s, 2),
            win_share=round(straggler.win_share, 2),
            report_age_s=round(straggler.report_age_s, 2),
        )
        return run


def _speculative_runs(links: Iterable[EndpointLink]) -> Iterator[Run]:
    for link in links:
        for run in link.runs_by_key.values():
            if is_copied(run.task.step.spec):
                yield run


def _needs_tickets(straggler: _Straggler, queue_by_job: Mapping[JobId, Queue | None]) -> bool:
    tracked_job = straggler.run.task.step.tracked_job
    return needs_tickets(tracked_job, queue_by_job[tracked_job.job.id])


def is_copied(spec: Step) -> bool:
    """Whether tasks of a step may have copies."""
    return spec.speculative and not (spec.gang or spec.lasting or spec.filler)


def _lags(percent: int, elapsed_s: float, fresh_s: float) -> bool:
    """Whether a run needs much longer than a fresh one, if it goes on as it began.

    A run that shows no progress doesn't lag.
    """
    return percent > 0 and elapsed_s * (100 - percent) > MIN_COPY_RATIO * fresh_s * percent


def _budget(links: Iterable[EndpointLink]) -> CopyBudget:
    running_cpu = []
    cpu_by_copied_task = {}
    for link in links:
        for run in link.runs_by_key.values():
            running_cpu.append(run.reserved.cpu)
            if len(run.task.runs) > 1:
                cpu_by_copied_task[run.task.id] = run.reserved.cpu
    return CopyBudget(running_cpu, list(cpu_by_copied_task.values()))


def _place_copy(
    task: TrackedTask, links: Mapping[EndpointId, EndpointLink], capacities: Capacities, now: float
) -> EndpointCapacity | None:
    """Return the endpoint for a copy, on another rack if possible: a rack fails as a whole."""
    spec = task.step.spec
    used = {run.endpoint for run in task.runs}
    racks = {links[endpoint].entry.rack for endpoint in used if endpoint in links}
    excluded = used | task.excluded(now)
    others = [c for c in capacities.values() if c.id not in excluded and not c.probing]
    counts = task.step.run_counts() if spec.most_per_endpoint else {}
    # A task that is slower away from its data would lose there.
    elsewhere = [] if spec.near else [c for c in others if c.rack not in racks]
    for choice in (elsewhere, others):
        capacity = place(spec, choice, lambda e: counts.get(e, 0), failed_at=task.failed_at)
        if capacity is not None:
            return capacity
    return None
