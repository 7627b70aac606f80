"""How busy a pool is, as its owner tells all entry hosts a few times a second."""

import math
from collections.abc import Iterable

import msgspec

from lentilrill.execution._book import JobBook
from lentilrill.execution._demand import PoolDemand
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import idle_endpoints
from lentilrill.ids import EndpointId, JobId, PoolId, QueueId
from lentilrill.inner import PoolPressure
from lentilrill.scheduling import JobTiming
from lentilrill.workloads import JobState

__all__ = ["Backlog", "backlog_of", "pressure_of"]


class Backlog(msgspec.Struct):
    """Work of a pool that is not done, apart by whether it can still be in time.

    :ivar work: processor seconds of jobs that can still meet their objective.
    :ivar late_work: processor seconds of those that can't any more.
    """

    waiting_by_queue: dict[QueueId, int]
    late: set[JobId]
    work: float = 0.0
    late_work: float = 0.0


def backlog_of(jobs: Iterable[tuple[JobBook, JobTiming]]) -> Backlog:
    """Return what is left of jobs that are not final."""
    backlog = Backlog({}, set())
    for book, standing in jobs:
        queue = book.job.queue
        if book.state is JobState.QUEUED and not book.job.occurrences:
            backlog.waiting_by_queue[queue] = backlog.waiting_by_queue.get(queue, 0) + 1
        work = 0.0 if book.lasts else standing.remaining_work
        if standing.can_meet_deadline:
            backlog.work += work
        else:
            backlog.late.add(book.job.id)
            backlog.late_work += work
    return backlog


def pressure_of(
    pool: PoolId,
    token: int,
    backlog: Backlog,
    demand: PoolDemand,
    links: list[EndpointLink],
    now: float,
) -> PoolPressure:
    """Return a pool's pressure.

    :param now: the monotonic clock.
    """
    cores = sum(link.entry.capacity.cpu for link in links if link.registered) / 1000
    # Without a host there is no rate to tell a wait by; the fleet's owner sends some.
    rate = 1 / cores if cores else 0.0
    return PoolPressure(
        pool,
        round(backlog.work * rate, 2),
        backlog.waiting_by_queue,
        token,
        round(demand.expected, 2),
        sum(1 for link in links if link.reachable and link.registered),
        tuple(idle_endpoints(links, now)),
        round(backlog.late_work * rate, 2),
        tuple(_late_endpoints(links, backlog.late)),
        round(demand.firm, 2),
        tuple(_light_endpoints(links, demand.expected)),
    )


def _light_endpoints(links: list[EndpointLink], need: float) -> list[EndpointId]:
    """Return endpoints that can be emptied, as many as the pool has beyond its need.

    Load pattern: a surge ends, and its pool's hosts have a task or two each, none of them free,
    while the next pool's jobs wait for hosts. A task that is stopped without a checkpoint has
    worked for nothing, so those with the least of such work go first.
    """
    serving = [link for link in links if link.reachable and link.registered]
    surplus = len(serving) - math.ceil(need)
    if surplus <= 0:
        return []
    movable = [link for link in serving if _can_be_emptied(link)]
    movable.sort(key=lambda link: (_unsaved_cpu(link), len(link.runs_by_key)))
    return [link.entry.id for link in movable[:surplus]]


def _can_be_emptied(link: EndpointLink) -> bool:
    specs = [run.task.step.spec for run in link.runs_by_key.values()]
    passing = not any(spec.lasting or spec.filler or spec.gang for spec in specs)
    return bool(specs) and passing and not link.strays_by_key and not link.released


def _unsaved_cpu(link: EndpointLink) -> int:
    return sum(
        run.reserved.cpu for run in link.runs_by_key.values() if not run.task.step.spec.checkpoints
    )


def _late_endpoints(links: list[EndpointLink], late: set[JobId]) -> list[EndpointId]:
    """Return endpoints on which only late jobs run."""
    return [
        link.entry.id
        for link in links
        if link.reachable
        and link.registered
        and link.runs_by_key
        and not link.strays_by_key
        and all(task.job in late for task, _ in link.runs_by_key)
    ]
