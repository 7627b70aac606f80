"""Pressure of a pool, which its owner sends to all entry hosts a few times a second."""

import math
from collections.abc import Callable, Collection, Iterable

import msgspec

from lentilrill.execution._demand import PoolDemand
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import idle_endpoints
from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import EndpointId, JobId, PoolId, QueueId
from lentilrill.inner import PoolPressure, WorkspaceLoads
from lentilrill.scheduling import JobTiming
from lentilrill.workloads import JobState

__all__ = ["Backlog", "backlog_of", "pressure_of"]


class Backlog(msgspec.Struct):
    """Unfinished work of a pool, split by whether it can still be done in time.

    :ivar overdue_jobs: jobs that can no longer meet their deadline.
    :ivar work: processor seconds of jobs that can still meet their deadline.
    :ivar overdue_work: processor seconds of overdue jobs.
    """

    waiting_by_queue: dict[QueueId, int]
    overdue_jobs: set[JobId]
    work: float = 0.0
    overdue_work: float = 0.0


def backlog_of(
    jobs: Iterable[tuple[TrackedJob, JobTiming]],
    queue_ids_of: Callable[[TrackedJob], Collection[QueueId]],
) -> Backlog:
    """Return the unfinished work of jobs that are not final.

    :param queue_ids_of: returns the ids of the queues under which a job counts as waiting.
    """
    backlog = Backlog({}, set())
    for tracked_job, timing in jobs:
        if tracked_job.state is JobState.QUEUED and not tracked_job.job.occurrences:
            for queue in queue_ids_of(tracked_job):
                backlog.waiting_by_queue[queue] = backlog.waiting_by_queue.get(queue, 0) + 1
        work = 0.0 if tracked_job.long_running else timing.remaining_work
        if timing.can_meet_deadline:
            backlog.work += work
        else:
            backlog.overdue_jobs.add(tracked_job.job.id)
            backlog.overdue_work += work
    return backlog


def pressure_of(
    pool: PoolId,
    token: int,
    backlog: Backlog,
    demand: PoolDemand,
    links: list[EndpointLink],
    now: float,
    *,
    counts_are_known: bool = True,
    workspaces: WorkspaceLoads | None = None,
) -> PoolPressure:
    """Return a pool's pressure.

    :param counts_are_known: whether all accepted jobs are known, so that the number of waiting ones
        may be shown.
    :param now: the monotonic clock.
    :param workspaces: load by workspace, if there are workspaces.
    """
    cores = (
        sum(link.entry.capacity.cpu * link.capacity_share for link in links if link.registered)
        / 1000
    )
    # Without hosts there is no rate to estimate the wait from; the fleet's owner assigns some.
    rate = 1 / cores if cores else 0.0
    return PoolPressure(
        pool,
        round(backlog.work * rate, 2),
        backlog.waiting_by_queue if counts_are_known else None,
        token,
        round(demand.with_forecast, 2),
        sum(1 for link in links if link.reachable and link.registered),
        tuple(idle_endpoints(links, now)),
        round(backlog.overdue_work * rate, 2),
        tuple(_overdue_endpoints(links, backlog.overdue_jobs)),
        round(demand.without_forecast, 2),
        tuple(_drainable_endpoints(links, demand.with_forecast)),
        workspaces,
    )


def _drainable_endpoints(links: list[EndpointLink], need: float) -> list[EndpointId]:
    """Return endpoints that can be drained cheaply, as many as the pool has beyond its need.

    At the end of a surge each host of its pool still has a task or two and none is free, while the
    next pool's jobs wait for hosts. Stopping a task without a checkpoint loses its work, so
    endpoints with the least of such work come first.
    """
    serving = [link for link in links if link.reachable and link.registered]
    surplus = len(serving) - math.ceil(need)
    if surplus <= 0:
        return []
    movable = [link for link in serving if _can_be_drained(link)]
    movable.sort(key=lambda link: (_unsaved_cpu(link), len(link.runs_by_key)))
    return [link.entry.id for link in movable[:surplus]]


def _can_be_drained(link: EndpointLink) -> bool:
    specs = [run.task.step.spec for run in link.runs_by_key.values()]
    short_running = not any(spec.lasting or spec.filler or spec.gang for spec in specs)
    return bool(specs) and short_running and not link.unknown_since_by_key and not link.released


def _unsaved_cpu(link: EndpointLink) -> int:
    return sum(
        run.reserved.cpu for run in link.runs_by_key.values() if not run.task.step.spec.checkpoints
    )


def _overdue_endpoints(links: list[EndpointLink], overdue_jobs: set[JobId]) -> list[EndpointId]:
    """Return endpoints on which only overdue jobs run."""
    return [
        link.entry.id
        for link in links
        if link.reachable
        and link.registered
        and link.runs_by_key
        and not link.unknown_since_by_key
        and all(task.job in overdue_jobs for task, _ in link.runs_by_key)
    ]
