"""Reasons why tasks that could run have no run in progress."""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._planner import blocking_reason
from lentilrill.execution._spare_room import Capacities
from lentilrill.execution._start_zones import UNKNOWN_ZONE
from lentilrill.execution._tracking import Run, RunPhase, TrackedJob, TrackedStep, TrackedTask
from lentilrill.ids import EndpointId, JobId, PoolId, ZoneId
from lentilrill.scheduling import EndpointCapacity, Speed
from lentilrill.telemetry import Event, log
from lentilrill.workloads import TaskId

__all__ = ["IdleTasks", "RoundView"]

IDLE_AFTER_S = 3.0
"""Time without a run in progress after which a task is reported: a start takes milliseconds, and a
move to another endpoint a poll and a planning round."""
SWEEP_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 3.0
MAX_EXPLAINED = 20
"""Idle tasks whose reasons are compared by one report."""
NO_CAPACITY = "no room"


class RoundView(msgspec.Struct):
    """State of a planning round after placement.

    :param capacity_by_endpoint: endpoints that may get new tasks, with their remaining capacity.
    :param blocked_before: tasks of jobs accepted before this revision are not started, since they
        may run on endpoints that have not been polled yet; 0 if there are none.
    :param unknown_tasks: tasks of unknown runs.
    :param refused_jobs: jobs whose workspace may not use more.
    :param ticketed: returns those endpoints of which a step has a ticket, or all if it needs none.
    :param blocked_zones: zones of the endpoints that have not been polled yet.
    """

    now: float
    links: Mapping[EndpointId, EndpointLink]
    capacity_by_endpoint: Mapping[EndpointId, EndpointCapacity]
    blocked_before: int
    unknown_tasks: set[TaskId]
    refused_jobs: set[JobId]
    ticketed: Callable[[TrackedStep, Capacities], Capacities] = lambda step, capacities: capacities
    blocked_zones: frozenset[ZoneId] = frozenset({UNKNOWN_ZONE})


class IdleTasks:
    """Detector of tasks whose turn has come and that have no run in progress.

    Called under the lock of the pool's owner.
    """

    def __init__(self, pool: PoolId) -> None:
        self._pool = pool
        self._since_by_task: dict[TaskId, float] = {}
        self._swept_at = 0.0
        self._reported_at = 0.0

    def sweep(self, tracked_jobs: Iterable[TrackedJob], view: RoundView) -> None:
        """Check the tasks periodically, and log why the longest idle one is idle.

        Tasks that wait although capacity is left go before those that wait for capacity.
        """
        if view.now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = view.now
        idle = [task for tracked_job in tracked_jobs for task in _idle_tasks(tracked_job)]
        before = self._since_by_task
        self._since_by_task = {task.id: before.get(task.id, view.now) for task in idle}
        idle_long = [t for t in idle if view.now - self._since_by_task[t.id] >= IDLE_AFTER_S]
        if not idle_long or view.now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = view.now
        idle_long.sort(key=lambda t: self._since_by_task[t.id])
        reasons = [(task, _idle_reason(task, view)) for task in idle_long[:MAX_EXPLAINED]]
        task, reason = min(reasons, key=lambda pair: pair[1]["reason"] == NO_CAPACITY)
        log(
            Event.TASK_IDLE,
            job=task.id.job,
            task=task.id,
            shard=self._pool,
            idle_s=round(view.now - self._since_by_task[task.id], 1),
            tasks=len(idle_long),
            **reason,
        )


def _idle_tasks(tracked_job: TrackedJob) -> list[TrackedTask]:
    return [
        task
        for step in tracked_job.ready_steps()
        for task in step.tasks
        if not task.done and not any(run.phase is RunPhase.IN_PROGRESS for run in task.runs)
    ]


def _idle_reason(task: TrackedTask, view: RoundView) -> dict[str, object]:
    """Return the log fields that explain why a task was not started by a round."""
    if task.runs:
        return _run_reason(task.runs[-1], view)
    if task.id in view.unknown_tasks:
        return {"reason": "seen under way, not followed"}
    tracked_job = task.step.tracked_job
    if tracked_job.is_held_by_take_over(view.blocked_before, view.blocked_zones):
        return {"reason": "the pool is being taken over"}
    if view.now < task.not_before:
        return {"reason": "its start was refused just now"}
    if view.now < task.held_until:
        return {"reason": "it may have crashed its endpoints", "held_s": _left_s(task, view)}
    if not tracked_job.is_recorded:
        return {"reason": "its job's record is not stored yet"}
    if tracked_job.job.id in view.refused_jobs:
        return {"reason": "its workspace may not use more"}
    return _capacity_reason(task, view)


def _left_s(task: TrackedTask, view: RoundView) -> float:
    return round(task.held_until - view.now, 1)


def _run_reason(run: Run, view: RoundView) -> dict[str, object]:
    link = view.links.get(run.endpoint)
    if run.phase is RunPhase.STOPPING:
        reason = "the end of a stopped run is not known"
    elif not run.send_count:
        reason = "its start is not sent yet"
    else:
        reason = "its start got no answer"
    return {
        "reason": reason,
        "run": run.number,
        "endpoint": run.endpoint,
        "phase": run.phase.value,
        "run_s": round(time.monotonic() - run.placed_at, 1),
        "sent": run.send_count,
        "silent_s": round(view.now - link.answered_at, 1) if link is not None else None,
    }


def _capacity_reason(task: TrackedTask, view: RoundView) -> dict[str, object]:
    spec = task.step.spec
    fitting = [
        capacity
        for capacity in view.capacity_by_endpoint.values()
        if spec.reserved.fits(capacity.free) and (not spec.label or spec.label in capacity.labels)
    ]
    run_counts = task.step.run_counts()
    limit = spec.most_per_endpoint
    excluded = task.excluded(view.now)
    below_limit = [capacity for capacity in fitting if not limit or run_counts[capacity.id] < limit]
    usable = [
        capacity for capacity in below_limit if capacity.id not in excluded and not capacity.probing
    ]
    own_job = task.id.job if task.is_suspect else None
    is_kept_apart = all(capacity.suspect_job not in (None, own_job) for capacity in usable)
    if not fitting:
        reason = NO_CAPACITY
    elif not below_limit:
        reason = "as many of its step as may be run where it fits"
    elif not usable:
        reason = "failed where it fits"
    elif is_kept_apart:
        reason = "kept apart from suspects"
    elif own_job and all(capacity.fresh_jobs - {own_job} for capacity in usable):
        reason = "kept apart from tasks that have just begun"
    elif not view.ticketed(task.step, {capacity.id: capacity for capacity in usable}):
        reason = "no ticket where it fits"
    else:
        reason = "passed over"
    link_counts = Counter(_state_of(link, view.now) for link in view.links.values())
    return {
        "reason": reason,
        "fitting": len(fitting),
        "failed_on": len(excluded),
        "endpoints": ", ".join(f"{count} {state}" for state, count in sorted(link_counts.items())),
    }


def _state_of(link: EndpointLink, now: float) -> str:
    if reason := blocking_reason(link, now):
        return reason
    return "open" if link.speed is not Speed.EJECTED else "ejected as slow"
