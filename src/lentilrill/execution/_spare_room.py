"""Capacity that no waiting task is about to use."""

from collections.abc import Callable, Mapping

from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._job_queues import JobOfQueue
from lentilrill.execution._link import EndpointLink
from lentilrill.ids import EndpointId
from lentilrill.scheduling import EndpointCapacity, Speed
from lentilrill.workloads import Resources

__all__ = ["Capacities", "Slowdown", "slowdown_of", "without_waiting"]

Capacities = dict[EndpointId, EndpointCapacity]
Slowdown = Callable[[EndpointLink], float]
"""Returns the factor by which tasks take longer on an endpoint that is known to be slow, else 1."""
MIN_EJECTED_SLOWDOWN = 2.0
"""Slowdown that endpoints taken out of use for their speed have at least."""


def slowdown_of(link: EndpointLink) -> float:
    """Return the factor by which tasks take longer on an endpoint, by the verdict on its speed."""
    if link.speed is Speed.NORMAL:
        return 1.0
    return 1 / link.capacity_share if link.capacity_share else MIN_EJECTED_SLOWDOWN


def without_waiting(
    jobs: list[JobOfQueue],
    links: Mapping[EndpointId, EndpointLink],
    capacity_by_endpoint: Capacities,
    budgets: RoundBudgets,
    now: float,
) -> Capacities:
    """Return the endpoints on which no waiting task could start, now or once others have ended."""
    waiting: set[tuple[Resources, str]] = {
        (step.spec.reserved, step.spec.label)
        for tracked_job, _ in jobs
        if tracked_job.job.id not in budgets.refused_jobs and not tracked_job.lacks_record(now)
        for step in tracked_job.ready_steps()
        if step.has_waiting_tasks
    }
    return {
        endpoint: capacity
        for endpoint, capacity in capacity_by_endpoint.items()
        if not any(
            needs.fits(links[endpoint].entry.capacity) and (not label or label in capacity.labels)
            for needs, label in waiting
        )
    }
