"""Judgement of the room of endpoints: starts that exceed it, and tasks that wait beside it.

Tasks that wait are judged in jobs without occurrences and gangs, on endpoints that all have the
labels that the tasks require.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from standins._platform_records import (
    Amounts,
    Crash,
    Listing,
    RunRecord,
    SeenJob,
    SeenStep,
    runs_at,
)

__all__ = ["Observation", "find_idle", "find_overfull"]

APPLY_S = 3.4
"""Time after a change for which a larger capacity still counts: the bound, and one heartbeat."""
WAIT_S = 3.0
"""Time for which a task may have nothing running although there is room for it."""
LASTING_WAIT_S = 6.0
"""The same for a task that lasts, from its last run, before the other time begins."""
STEP_S = 0.1
PLACES = 2
"""Times that a task must fit, beside all that runs."""


class Observation(msgspec.Struct, frozen=True):
    """What a platform saw.

    :param runs: all runs; those of jobs that are not known are not judged.
    :param listings: changes of the entries of endpoints, in order.
    :param crashes: crashes of endpoints; a job whose task crashed one is not missed.
    """

    runs: list[RunRecord]
    jobs_by_id: Mapping[str, SeenJob]
    listings: list[Listing]
    crashes: list[Crash]

    def need_of(self, run: RunRecord) -> Amounts:
        """Return what a run takes up on its endpoint."""
        job = self.jobs_by_id.get(_job(run.task))
        return job.step_of(run.task).need if job is not None else Amounts()


def find_overfull(seen: Observation) -> list[str]:
    """Return a line for each start that brought an endpoint over its capacity.

    A former, larger capacity counts for some time after a change. What is being stopped counts.
    """
    found = []
    runs_by_endpoint: dict[str, list[RunRecord]] = defaultdict(list)
    listings_by_endpoint: dict[str, list[Listing]] = defaultdict(list)
    for run in seen.runs:
        runs_by_endpoint[run.endpoint].append(run)
    for listing in seen.listings:
        listings_by_endpoint[listing.endpoint].append(listing)
    for endpoint, runs in runs_by_endpoint.items():
        for started in runs:
            used = _used_at_start(seen, started, runs)
            capacities = _capacities_in_force(listings_by_endpoint[endpoint], started.began)
            if capacities and not any(used.fits_in(capacity) for capacity in capacities):
                found.append(
                    f"{started.task} at {started.began:.3f} fills {endpoint} with "
                    f"{msgspec.structs.astuple(used)} of {msgspec.structs.astuple(capacities[-1])}"
                )
    return found


def find_idle(
    seen: Observation, since: float, until: float, *, in_traffic: bool = False
) -> list[str]:
    """Return a line for each task that could run and did not, although there was room for it.

    For a task that ends, its whole job must have had nothing running; a task that lasts is judged
    by itself.

    :param since: time from which on the platform was calm.
    :param in_traffic: whether callers still submitted jobs; then only tasks that last are judged,
        however full their pool is.
    """
    waiting: dict[str, float] = {}
    found: dict[str, str] = {}
    runs_by_job: dict[str, list[RunRecord]] = defaultdict(list)
    for run in seen.runs:
        runs_by_job[_job(run.task)].append(run)
    culprits = {_job(crash.culprit) for crash in seen.crashes}
    missed = [job for job in seen.jobs_by_id.values() if job.id not in culprits and _is_judged(job)]
    at = since
    while at <= until:
        pools = _pools_at(seen, at)
        idle = set()
        for job in missed:
            pool = pools.get(job.pool, _PoolRoom())
            for task, step in _idle_tasks(job, runs_by_job[job.id], at):
                is_judged = step.lasts if in_traffic else pool.is_half_free()
                if is_judged and pool.has_places(step.need):
                    idle.add(task)
        waiting = {task: waiting.get(task, at) for task in idle}
        for task, began in waiting.items():
            if at - began >= WAIT_S:
                found.setdefault(task, f"{task} could run from {began:.3f} on and does not")
        at += STEP_S
    return list(found.values())


def _is_judged(job: SeenJob) -> bool:
    return not job.timed and not any(step.gang for step in job.steps)


class _PoolRoom:
    """Free capacity of each endpoint of a pool, and that of all together."""

    def __init__(self) -> None:
        self.free: list[Amounts] = []
        self.used = Amounts()
        self.capacity = Amounts()

    def add(self, capacity: Amounts, used: Amounts) -> None:
        self.free.append(capacity - used)
        self.used += used
        self.capacity += capacity

    def has_places(self, need: Amounts) -> bool:
        """Return whether a task fits often enough."""
        return sum(need.count_in(free) for free in self.free) >= PLACES

    def is_half_free(self) -> bool:
        """Return whether under half of the pool is in use."""
        return (self.used + self.used).fits_in(self.capacity)


def _pools_at(seen: Observation, at: float) -> dict[str, _PoolRoom]:
    last: dict[str, Listing] = {}
    for listing in seen.listings:
        if listing.at <= at:
            last[listing.endpoint] = listing
    used: dict[str, Amounts] = defaultdict(Amounts)
    for run in seen.runs:
        if runs_at(run, at):
            used[run.endpoint] += seen.need_of(run)
    pools: dict[str, _PoolRoom] = defaultdict(_PoolRoom)
    for endpoint, listing in last.items():
        if listing.capacity is not None:
            pools[listing.pool].add(listing.capacity, used[endpoint])
    return pools


def _idle_tasks(
    job: SeenJob, runs: Iterable[RunRecord], at: float
) -> Iterator[tuple[str, SeenStep]]:
    """Yield the tasks of a job whose turn has come and that do not run, and their steps."""
    if not job.accepted_at or job.accepted_at > at or job.state == "failed":
        return
    if job.cancelled_at and job.cancelled_at <= at:
        return
    begun = [run for run in runs if run.began <= at]
    working = {run.task for run in begun if runs_at(run, at)}
    done = {run.task for run in begun if run.end_kind == "done" and run.ended <= at}
    tasks_by_step = [
        [f"{job.id}.0.{number}.{index}" for index in range(step.count)]
        for number, step in enumerate(job.steps)
    ]
    for step, tasks in zip(job.steps, tasks_by_step, strict=True):
        if any(task not in done for before in step.after for task in tasks_by_step[before]):
            continue
        for task in tasks:
            if task in done or task in working:
                continue
            if step.lasts and at < _last_end(job, begun, task) + LASTING_WAIT_S:
                continue
            if step.lasts or not working:
                yield task, step


def _last_end(job: SeenJob, runs: Iterable[RunRecord], task: str) -> float:
    """Return the end of a task's last run, or the time at which its job was accepted."""
    return max([job.accepted_at, *(run.ended for run in runs if run.task == task)])


def _used_at_start(seen: Observation, started: RunRecord, runs: Iterable[RunRecord]) -> Amounts:
    """Return what is in use once a run has started, as far as the run itself needs of it."""
    need = seen.need_of(started)
    used = sum((seen.need_of(run) for run in runs if runs_at(run, started.began)), Amounts())
    return Amounts(
        used.cpu if need.cpu else 0,
        used.mem_mb if need.mem_mb else 0,
        used.gpu if need.gpu else 0,
    )


def _capacities_in_force(listings: Iterable[Listing], at: float) -> list[Amounts]:
    """Return the capacities of an endpoint that a start at a time may go by, the last one last."""
    known = [listing for listing in listings if listing.at <= at]
    in_force = [
        listing
        for listing, following in zip(known, [*known[1:], None], strict=True)
        if following is None or following.at + APPLY_S >= at
    ]
    return [listing.capacity for listing in in_force if listing.capacity is not None]


def _job(task: str) -> str:
    return task.split(".")[0]
