"""Placement of tasks on endpoints."""

from collections.abc import Callable, Collection, Iterable, Mapping

from lentilrill.ids import EndpointId, JobId, RackId
from lentilrill.workloads import Resources, Step

__all__ = ["EndpointCapacity", "can_keep", "place", "total_free"]

NEVER_FAILED: Mapping[EndpointId, float] = {}

PREFERRED_COLOCATION = 3
"""Long-running tasks to place on one endpoint before the next endpoint is preferred."""


class EndpointCapacity:
    """Free capacity of one endpoint during a planning round.

    :ivar new_runs: number of tasks on it that end by themselves and began a short time ago.
    :ivar probing: whether its recent failures limit it to one such task at a time.
    :ivar runs: number of all tasks on it.
    :ivar suspect_job: job on it whose tasks are suspected to crash their endpoint, or for which it
        is kept.
    :ivar fresh_jobs: jobs on it with tasks that have just begun, and may crash it.
    :ivar serving: number of long-running tasks on it, which other tasks slow down.
    :ivar slowness: share of its capacity that is lost as it works slowly.
    """

    __slots__ = (
        "free",
        "fresh_jobs",
        "id",
        "labels",
        "new_runs",
        "probing",
        "rack",
        "runs",
        "serving",
        "slowness",
        "suspect_job",
    )

    def __init__(
        self,
        id: EndpointId,
        rack: RackId,
        labels: tuple[str, ...],
        free: Resources,
        new_runs: int = 0,
        serving: int = 0,
        probing: bool = False,
        runs: int = 0,
        suspect_job: JobId | None = None,
        slowness: float = 0.0,
        fresh_jobs: frozenset[JobId] = frozenset(),
    ) -> None:
        self.id = id
        self.rack = rack
        self.labels = labels
        self.free = free
        self.new_runs = new_runs
        self.serving = serving
        self.probing = probing
        self.runs = runs
        self.suspect_job = suspect_job
        self.slowness = slowness
        self.fresh_jobs = fresh_jobs

    def reserve(self, needs: Resources, *, serves: bool) -> None:
        """Reserve capacity for a task placed on this endpoint."""
        self.free = self.free.minus(needs)
        self.new_runs += not serves
        self.serving += serves
        self.runs += 1


def place(
    step: Step,
    endpoints: Iterable[EndpointCapacity],
    on_endpoint: Callable[[EndpointId], int],
    excluded: Collection[EndpointId] = (),
    failed_at: Mapping[EndpointId, float] = NEVER_FAILED,
    suspect_job: JobId | None = None,
    *,
    avoids_fresh: bool = False,
) -> EndpointCapacity | None:
    """Return the endpoint for one more task of ``step``, or ``None`` if no endpoint fits.

    A task is placed on the rack of its data if possible, and otherwise by best fit, which leaves
    whole endpoints free for large tasks.

    An endpoint that fails every task is always free while the others are full. A task that failed
    there would be placed there again and use up its attempts within a second. So a failed task
    waits a while for another endpoint, and is not used to probe an unhealthy one meanwhile.

    A slow endpoint gets a task only if no other one fits: tasks away from the rack of their data
    lose less.

    Long-running tasks are packed on few endpoints, because each endpoint that runs one can't leave
    an idle pool. Only a few are packed on one endpoint, because they slow each other down and all
    of them are lost with the endpoint.

    :param on_endpoint: returns the number of tasks of the step that have a run on an endpoint.
    :param excluded: endpoints where the task failed a short time ago.
    :param failed_at: when the task last failed on each endpoint; others are preferred, then those
        where it failed longest ago.
    :param suspect_job: the task's job if the task is suspected to crash its endpoint. Until that
        is known, it gets an endpoint with few tasks, and tasks of other jobs are kept from there.
    :param avoids_fresh: whether it is kept from endpoints where tasks of other jobs have just
        begun. If one of them crashes its endpoint, the suspect would be blamed once more.
    """
    needs = step.reserved
    endpoints = list(endpoints)
    best: EndpointCapacity | None = None
    best_cost: tuple[float, ...] = ()
    has_others = any(
        endpoint.id not in excluded and _has_label(step, endpoint) for endpoint in endpoints
    )
    is_long_running = step.lasting or step.filler
    for endpoint in endpoints:
        if not needs.fits(endpoint.free) or (
            endpoint.probing and endpoint.new_runs and not is_long_running
        ):
            continue
        if not _has_label(step, endpoint):
            continue
        if endpoint.suspect_job not in (None, suspect_job):
            continue
        if avoids_fresh and endpoint.fresh_jobs - {suspect_job}:
            continue
        if has_others and excluded and (endpoint.id in excluded or endpoint.probing):
            continue
        if step.most_per_endpoint and on_endpoint(endpoint.id) >= step.most_per_endpoint:
            continue
        is_remote = bool(step.near) and endpoint.rack != step.near
        left_cpu = endpoint.free.cpu - needs.cpu
        cost = (
            failed_at.get(endpoint.id, 0.0),
            float(suspect_job is not None and endpoint.suspect_job is None and 1 + endpoint.runs),
            endpoint.slowness,
            float(is_remote),
            float(endpoint.probing),
            _colocation_cost(endpoint.serving) if is_long_running else 0.0,
            float(left_cpu),
        )
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def can_keep(kept: EndpointCapacity, job: JobId, endpoints: Iterable[EndpointCapacity]) -> bool:
    """Return whether an endpoint may be kept for a job's suspect until the tasks on it are older.

    In a pool of many short tasks, new ones begin everywhere all the time, so that a suspect would
    find no endpoint without them. Keeping the last endpoint that is open to others would stop all
    other work for the sake of one task, so that one is not kept.
    """
    if kept.suspect_job not in (None, job):
        return False
    return any(other.suspect_job is None and other.id != kept.id for other in endpoints)


def total_free(endpoints: Iterable[EndpointCapacity]) -> Resources:
    """Return the total free capacity of endpoints."""
    total = Resources()
    for endpoint in endpoints:
        total = total.plus(endpoint.free)
    return total


def _has_label(step: Step, endpoint: EndpointCapacity) -> bool:
    return not step.label or step.label in endpoint.labels


def _colocation_cost(serving: int) -> float:
    """Return the cost of adding a long-running task to an endpoint that runs ``serving`` others.

    The cost falls with each task up to the preferred number and is higher beyond it.
    """
    return float(-serving if serving < PREFERRED_COLOCATION else serving)
