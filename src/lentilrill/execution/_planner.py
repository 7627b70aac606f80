"""Decisions of a planning round: placement of tasks, stops of stuck runs, pace of fillers."""

from collections.abc import Collection
from itertools import islice

from lentilrill.execution._apart import SuspectsApart, fresh_jobs
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._endpoint_speeds import SpeedMonitor
from lentilrill.execution._fair_shares import RoundOrder
from lentilrill.execution._gangs import choose_for_gang
from lentilrill.execution._job_queues import JobOfQueue, deadline_ms, needs_tickets
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._reconcile import count_failure, is_unhealthy
from lentilrill.execution._tickets import TicketCache, TicketRequest
from lentilrill.execution._tracking import (
    FULL_PACE_PERCENT,
    MAX_REPORT_AGE_S,
    Run,
    RunPhase,
    TrackedJob,
    TrackedStep,
    TrackedTask,
)
from lentilrill.execution._wait_times import WaitCause
from lentilrill.ids import EndpointId, JobId, ZoneId
from lentilrill.scheduling import EndpointCapacity, JobTiming, Speed, next_pace
from lentilrill.telemetry import Event, log
from lentilrill.workloads import JobState, Queue, Resources, TaskId

__all__ = ["Planner", "blocking_reason"]

MAX_ANSWER_AGE_S = 3.5
"""Time since its last answer for which an endpoint still gets new tasks; a poll waits up to 2 s."""
STUCK_AFTER_S = 1.6
"""Time without progress after which a run counts as stuck: twice the wait of a poll, in which even
a task of ten times the usual length progresses by one percent."""
STALLS_OF_A_TASK = 2
"""Endpoints on which a task has been stuck after which the task is the likely cause. From then on
it gets twice the time on each further one, and no endpoint counts as failing for it."""
MAX_STUCK_AFTER_S = 12.8
"""Limit of that time, in which a task of 80 times the usual length progresses by one percent."""
PROBE_S = 1.0
"""Time after which a run that hasn't failed shows that an unhealthy endpoint may get one more."""
MIN_RECORDS_AHEAD = 2
RECORDS_AHEAD_SHARE = 0.25
"""Jobs whose records are written before there is room for them, for each running job: about those
that start within a quarter of a job's duration."""
PACE_INTERVAL_S = 0.5
"""Tail latencies cover the last half second, so a change of pace shows no sooner."""


class Planner:
    """Decisions for one pool. All methods are called under the lock of the pool's owner.

    :param token: the owner's fencing token, from which run numbers are derived, so that those of
        a later owner are higher.
    :param tickets: tickets of the policy service, for queues that require them.
    :ivar to_record: jobs whose records are needed before they can be started, from the last round.
    :ivar copied_steps: steps with tasks that need a copy, which needs a ticket too.
    :ivar feasible: whether all waiting work can be done in time; set by the owner.
    """

    def __init__(
        self, token: int, durations: Durations, tickets: TicketCache, speeds: SpeedMonitor
    ) -> None:
        self._durations = durations
        self._tickets = tickets
        self._speeds = speeds
        self._apart = SuspectsApart()
        self._first_number = token * 1000
        self.feasible = True
        self.copied_steps: list[TrackedStep] = []
        self.to_record: list[TrackedJob] = []

    def capacity_by_endpoint(
        self, links: Collection[EndpointLink], now: float
    ) -> dict[EndpointId, EndpointCapacity]:
        """Return the endpoints that may get new tasks, with their free capacity."""
        usable = {link.entry.id: link for link in links if blocking_reason(link, now) is None}
        self._speeds.review(links, usable, now)
        return {
            id: _capacity_of(link, now)
            for id, link in usable.items()
            if link.speed is not Speed.EJECTED
        }

    def place_tasks(
        self,
        jobs: list[JobOfQueue],
        capacity_by_endpoint: dict[EndpointId, EndpointCapacity],
        now: float,
        blocked_zones: frozenset[ZoneId],
        take_over_revision: int,
        unknown_tasks: set[TaskId],
        budgets: RoundBudgets,
    ) -> list[tuple[EndpointId, Run]]:
        """Place waiting tasks on endpoints with free capacity.

        :param blocked_zones: zones with endpoints that have not been polled yet. Tasks of jobs
            accepted before ``take_over_revision`` that may still run there are not started now.
        :param unknown_tasks: tasks of unknown runs.
        :param budgets: what may start for each workspace.
        """
        placed: list[tuple[EndpointId, Run]] = []
        self.to_record = []
        self._apart.begin_round(capacity_by_endpoint, now)
        order = RoundOrder(
            jobs,
            lambda pair: self.job_timing(pair[0], pair[1], now),
            budgets.shares,
            feasible=self.feasible,
        )
        self._request_tickets(jobs, order, capacity_by_endpoint)
        # In a full pool most jobs need no search for an endpoint.
        most_free = _most_free(capacity_by_endpoint.values())
        for tracked_job, queue in order:
            if tracked_job.is_held_by_take_over(take_over_revision, blocked_zones):
                tracked_job.wait_times.switch_to(WaitCause.TAKE_OVER, now)
                continue
            steps = tracked_job.ready_steps()
            for step in steps if most_free.memory_mb > 0 else ():
                if not step.spec.reserved.fits(most_free):
                    continue
                permitted = capacity_by_endpoint
                if needs_tickets(tracked_job, queue):
                    permitted = self.with_ticket(step, capacity_by_endpoint)
                recorded = len(self.to_record)
                started = self._place_step(step, permitted, now, unknown_tasks, budgets)
                if started or len(self.to_record) > recorded:
                    most_free = _most_free(capacity_by_endpoint.values())
                placed += started
            is_refused = tracked_job.job.id in budgets.refused_jobs
            cause = WaitCause.WORKSPACE_CAP if is_refused else _wait_cause(steps)
            tracked_job.wait_times.switch_to(cause, now)
        self._record_ahead(jobs, order)
        return placed

    def _record_ahead(self, jobs: list[JobOfQueue], order: RoundOrder) -> None:
        """Choose the next jobs in the order whose records are written before there is room.

        While the store doesn't answer, jobs without a record can't be started. Jobs with one have
        to wait after a take-over, as they may have been started.
        """
        begun = sum(tracked_job.state is JobState.RUNNING for tracked_job, _ in jobs)
        most = MIN_RECORDS_AHEAD + int(begun * RECORDS_AHEAD_SHARE)
        ahead = sum(
            tracked_job.is_recorded and tracked_job.state is JobState.QUEUED
            for tracked_job, _ in jobs
        )
        waiting = (job for job, _ in order.expected() if not job.is_recorded)
        self.to_record += islice(waiting, max(0, most - ahead))

    def _request_tickets(
        self,
        jobs: list[JobOfQueue],
        order: RoundOrder,
        capacity_by_endpoint: dict[EndpointId, EndpointCapacity],
    ) -> None:
        """Request tickets for steps with waiting tasks, then for the steps that follow.

        The tickets of following steps are thus available when these steps become ready.
        """
        if not any(needs_tickets(*pair) for pair in jobs):
            return
        advised = [pair[0] for pair in order.expected() if needs_tickets(*pair)]
        emptiest = sorted(capacity_by_endpoint.values(), key=lambda capacity: -capacity.free.cpu)
        endpoints = tuple(capacity.id for capacity in emptiest)
        first = [
            step
            for tracked_job in advised
            for step in tracked_job.ready_steps()
            if step.has_waiting_tasks
        ]
        following = [step for tracked_job in advised for step in tracked_job.following_steps()]
        steps = [*first, *self.copied_steps, *following]
        self._tickets.request([TicketRequest(step.id, endpoints) for step in steps])

    def with_ticket(
        self, step: TrackedStep, capacity_by_endpoint: dict[EndpointId, EndpointCapacity]
    ) -> dict[EndpointId, EndpointCapacity]:
        """Return the endpoints for which there is a ticket of a step."""
        return {
            endpoint: capacity
            for endpoint, capacity in capacity_by_endpoint.items()
            if self._tickets.ticket(step.id, endpoint) is not None
        }

    def _place_step(
        self,
        step: TrackedStep,
        capacity_by_endpoint: dict[EndpointId, EndpointCapacity],
        now: float,
        unknown_tasks: set[TaskId],
        budgets: RoundBudgets,
    ) -> list[tuple[EndpointId, Run]]:
        waiting = [
            task
            for task in step.tasks
            if task.waiting
            and max(task.not_before, task.held_until) <= now
            and task.id not in unknown_tasks
        ]
        # While the store doesn't answer, jobs without a record must not keep others waiting.
        if not waiting or step.tracked_job.lacks_record(now):
            return []
        if step.spec.gang:
            permitted = self._apart.open_to_gang(waiting, capacity_by_endpoint, now)
            return self._place_gang(step, waiting, permitted, budgets)
        counts = step.run_counts() if step.spec.most_per_endpoint else {}
        placed = []
        job = step.tracked_job.job
        for index, task in enumerate(waiting):
            excluded = task.excluded(now)
            capacity = self._apart.place(task, capacity_by_endpoint.values(), counts, excluded, now)
            if capacity is None and (excluded or task.is_suspect):
                # The others of its step may still fit where this one is kept away from.
                continue
            if capacity is None:
                break
            if not budgets.take(job, step.spec.needs, count=len(waiting) - index):
                break
            capacity.reserve(step.spec.reserved, serves=step.spec.lasting or step.spec.filler)
            budgets.on_reserved(step.tracked_job, step.spec.reserved)
            self._apart.on_placed(task, capacity)
            counts[capacity.id] = counts.get(capacity.id, 0) + 1
            if not step.tracked_job.is_recorded:
                self.to_record.append(step.tracked_job)
                continue
            placed.append((capacity.id, self.new_run(task, capacity.id, self.next_number(task))))
        return placed

    def _place_gang(
        self,
        step: TrackedStep,
        waiting: list[TrackedTask],
        capacity_by_endpoint: dict[EndpointId, EndpointCapacity],
        budgets: RoundBudgets,
    ) -> list[tuple[EndpointId, Run]]:
        """Place all members or none: a partly placed gang would block capacity without progress."""
        if len(waiting) < len(step.tasks):
            return []
        chosen = choose_for_gang(step, list(capacity_by_endpoint.values()))
        if chosen is None:
            return []
        needs = step.spec.needs.times(len(waiting))
        if not budgets.take(step.tracked_job.job, needs, is_gang=True):
            return []
        budgets.on_reserved(step.tracked_job, step.spec.reserved.times(len(waiting)))
        if not step.tracked_job.is_recorded:
            self.to_record.append(step.tracked_job)
            return []
        number = self.next_number(step)
        placed = []
        for task, capacity in zip(waiting, chosen, strict=True):
            capacity.reserve(step.spec.reserved, serves=False)
            self._apart.on_placed(task, capacity)
            placed.append((capacity.id, self.new_run(task, capacity.id, number)))
        return placed

    def next_number(self, started: TrackedTask | TrackedStep) -> int:
        """Return the number of the next run of a task or gang."""
        started.start_count += 1
        return self._first_number + started.start_count

    def new_run(self, task: TrackedTask, endpoint: EndpointId, number: int) -> Run:
        """Add a run to a task."""
        run = Run(task, number, endpoint, task.step.spec.reserved)
        task.runs.append(run)
        return run

    def job_timing(self, tracked_job: TrackedJob, queue: Queue | None, now: float) -> JobTiming:
        """Return the values by which a job is ordered among others."""
        estimate = self._durations.estimate_work(tracked_job)
        return JobTiming(
            queue.priority if queue is not None else 0,
            tracked_job.long_running,
            now - tracked_job.arrived_at,
            estimate.remaining_ms / 1000,
            deadline_ms(queue, estimate.total_ms) / 1000,
            estimate.cpu_s,
        )

    def stop_stuck_runs(self, link: EndpointLink, now: float) -> list[Order]:
        """Return stops of runs without progress, so that their tasks run elsewhere.

        An endpoint may answer normally while its tasks hang. Without a stop they would hold their
        capacity and delay their jobs indefinitely. An old report proves nothing: the tasks may have
        progressed since.

        A task that is stuck everywhere may be a very long one, so it gets more time on each further
        endpoint. It can't be given up, as only a failed run counts as an attempt.
        """
        if now - link.reported_at > MAX_REPORT_AGE_S:
            return []
        orders = []
        for run in link.runs_by_key.values():
            if run.percent >= FULL_PACE_PERCENT:
                run.task.stalled_on.clear()
                continue
            if run.phase is not RunPhase.IN_PROGRESS or not run.pace:
                continue
            stalled_s = link.reported_at - run.progressed_at
            if stalled_s < _stuck_after_s(run.task):
                continue
            run.task.record_failure_on(link.entry.id)
            if len(run.task.stalled_on) < STALLS_OF_A_TASK:
                count_failure(link)
            run.task.stalled_on.add(link.entry.id)
            log(
                Event.RUN_STUCK,
                job=run.task.id.job,
                task=run.task.id,
                run=run.number,
                endpoint=link.entry.id,
                percent=run.percent,
                for_s=round(stalled_s, 1),
                stalls=len(run.task.stalled_on),
            )
            orders.append(Order.stop(run))
        return orders

    def pace_orders(self, link: EndpointLink, now: float) -> list[Order]:
        """Return orders that adjust the pace of fillers to the latency of serving tasks."""
        fillers = [run for run in link.runs_by_key.values() if run.task.step.spec.filler]
        if not fillers or now - link.paced_at < PACE_INTERVAL_S:
            return []
        shares = [
            run.load / run.task.step.spec.target_ms
            for run in link.runs_by_key.values()
            if run.task.step.spec.target_ms and run.phase is RunPhase.IN_PROGRESS
        ]
        link.paced_at = now
        link.pace = next_pace(link.pace, max(shares, default=0.0))
        orders = []
        for run in fillers:
            if run.phase is RunPhase.IN_PROGRESS and run.pace != link.pace:
                run.pace = link.pace
                orders.append(Order.for_run(OrderKind.PACE, run, link.pace))
        return orders


def _stuck_after_s(task: TrackedTask) -> float:
    """Return the time without progress after which a run of a task counts as stuck."""
    doublings = max(0, len(task.stalled_on) - STALLS_OF_A_TASK + 1)
    return min(MAX_STUCK_AFTER_S, STUCK_AFTER_S * 2.0**doublings)


def blocking_reason(link: EndpointLink, now: float) -> str | None:
    """Return the reason why an endpoint gets no new tasks, or ``None`` if it may get some."""
    if link.closed:
        return "closed"
    if not link.was_polled or not link.clock_known:
        return "not polled yet"
    if not link.reachable or now - link.answered_at >= MAX_ANSWER_AGE_S:
        return "silent"
    if not link.registered:
        return "not registered"
    if link.released:
        return "released"
    # The capacity that an unknown run uses is not known.
    if link.unknown_since_by_key:
        return "with unknown runs"
    if link.entry.draining:
        return "draining"
    if link.has_newer_process:
        return "started again"
    return "unhealthy" if now < link.probe_at else None


def _wait_cause(steps: list[TrackedStep]) -> WaitCause:
    """Return the wait cause of a job with these ready steps after placement."""
    if any(step.has_waiting_tasks for step in steps):
        return WaitCause.CAPACITY
    runs = (run for step in steps for task in step.tasks for run in task.runs)
    if any(run.is_unconfirmed and run.phase is RunPhase.ORDERED for run in runs):
        return WaitCause.ORDER
    return WaitCause.WORK


def _capacity_of(link: EndpointLink, now: float) -> EndpointCapacity:
    free = link.entry.capacity
    serving = new_runs = 0
    suspect_job: JobId | None = None
    for run in link.runs_by_key.values():
        free = free.minus(run.reserved)
        serves = run.task.step.spec.lasting or run.task.step.spec.filler
        serving += serves
        new_runs += not serves and now - run.placed_at < PROBE_S
        if run.task.is_suspect:
            suspect_job = run.task.id.job
    return EndpointCapacity(
        link.entry.id,
        link.entry.rack,
        link.entry.labels,
        free,
        new_runs,
        serving,
        is_unhealthy(link) or link.speed is Speed.PROBATION,
        len(link.runs_by_key),
        suspect_job,
        1 - link.capacity_share,
        fresh_jobs(link),
    )


def _most_free(capacities: Collection[EndpointCapacity]) -> Resources:
    """Return the most of each resource that is free on any endpoint."""
    most = Resources()
    for capacity in capacities:
        most = most.at_least(capacity.free)
    return most
