"""Number of hosts that a pool's jobs need to be done in time."""

from collections.abc import Iterable

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations, WorkForecast
from lentilrill.execution._tracking import Run, TrackedJob, TrackedStep
from lentilrill.scheduling import LEAD_S, Demand, HostShares, JobTiming, hosts_for, required_hosts
from lentilrill.workloads import Resources

__all__ = ["PoolDemand", "demand_of"]

MIN_REMAINING_S = 0.2
"""Minimum remaining time assumed for a run, however long it has been in progress."""
OVERDUE_SLACK_S = 3.0
"""How long the remaining work of an overdue job may wait. To callers a late answer is worth less
than a tenth of a timely one, so it justifies keeping some hosts, not requesting more."""
NO_SHARES: HostShares = (0.0, 0.0, 0.0)


class PoolDemand(msgspec.Struct, frozen=True):
    """Number of hosts that a pool needs.

    :param without_forecast: need of the accepted jobs, without forecast.
    :param with_forecast: need including the jobs expected before a host moved now can serve.
    :param feasible: whether the hosts that serve now can do all accepted work in time.
    """

    without_forecast: float
    with_forecast: float
    feasible: bool = True


def demand_of(
    jobs: Iterable[tuple[TrackedJob, JobTiming]],
    links: list[EndpointLink],
    durations: Durations,
    forecast: WorkForecast,
    now: float,
) -> PoolDemand:
    """Return the hosts that the jobs of a pool need.

    :param jobs: jobs that are not final.
    :param forecast: forecast of arriving work.
    :param now: the monotonic clock.
    """
    host_sizes = [link.entry.capacity for link in links if link.entry.capacity.cpu]
    if not host_sizes:
        # The size of a host is unknown until the first one is present.
        waits = any(
            step.has_waiting_tasks for tracked_job, _ in jobs for step in tracked_job.ready_steps()
        )
        return PoolDemand(float(waits), float(waits))
    host_size = max(host_sizes, key=lambda size: size.cpu)
    long_running_shares = NO_SHARES
    # Capacity for everything that can run in parallel: any host beyond that would be idle.
    max_parallel = NO_SHARES
    demands: list[Demand] = []
    for tracked_job, timing in jobs:
        if tracked_job.long_running:
            long_running_shares = _sum(long_running_shares, _ready_share(tracked_job, host_size))
            continue
        demands += _running_demand(tracked_job, host_size, durations, now)
        demands += _waiting_demand(tracked_job, timing, host_size, durations)
        max_parallel = _sum(max_parallel, _ready_share(tracked_job, host_size))
    long_running_hosts = max(long_running_shares)
    shares = [link.capacity_share for link in links if link.reachable and link.registered]
    present = sum(shares) - long_running_hosts
    due = required_hosts(demands)
    without_forecast = min(max(max_parallel), required_hosts(demands, present, LEAD_S))
    if forecast.duration_s > 0:
        forecast_shares = _shares(forecast.resource_seconds, host_size)
        demands += _forecast_demand(forecast_shares, forecast)
        max_parallel = _sum(
            max_parallel, _scale(forecast_shares, forecast.duration_s / forecast.arrival_span_s)
        )
    with_forecast = min(max(max_parallel), required_hosts(demands, present, LEAD_S))
    return PoolDemand(
        hosts_for(long_running_hosts + without_forecast, shares),
        hosts_for(long_running_hosts + with_forecast, shares),
        due <= present,
    )


def _forecast_demand(host_s: HostShares, forecast: WorkForecast) -> Iterable[Demand]:
    """Return the forecast work as two halves that arrive in the middle of their half spans."""
    half = _scale(host_s, 0.5)
    for share in (0.25, 0.75):
        yield Demand(
            half, share * forecast.arrival_span_s + max(0.0, forecast.slack_s), forecast.duration_s
        )


def _ready_share(tracked_job: TrackedJob, host_size: Resources) -> HostShares:
    """Return the capacity that a job's ready steps use if all their tasks run at once."""
    total = NO_SHARES
    for step in tracked_job.ready_steps():
        total = _sum(total, _share(step.spec.reserved, host_size, step.remaining))
    return total


def _running_demand(
    tracked_job: TrackedJob, host_size: Resources, durations: Durations, now: float
) -> Iterable[Demand]:
    """Return the demand of runs in progress, which can't be deferred."""
    for steps in tracked_job.steps_by_occurrence.values():
        for step in steps:
            runs = [run for task in step.tasks for run in task.runs]
            if not runs:
                continue
            remaining_s = [_remaining_s(run, durations, now) for run in runs]
            yield Demand(
                _share(step.spec.reserved, host_size, sum(remaining_s)),
                0.0,
                sum(remaining_s) / len(remaining_s),
            )


def _remaining_s(run: Run, durations: Durations, now: float) -> float:
    left_s = durations.run_left_ms(run) / 1000
    since_s = now - max(run.reported_at, run.started_at) if run.started_at is not None else 0.0
    return max(MIN_REMAINING_S, left_s - since_s)


def _waiting_demand(
    tracked_job: TrackedJob, timing: JobTiming, host_size: Resources, durations: Durations
) -> Iterable[Demand]:
    """Return the demand of a job's waiting tasks."""
    host_s = NO_SHARES
    starts_now = False
    for steps in tracked_job.steps_by_occurrence.values():
        for step in steps:
            waiting = sum(1 for task in step.tasks if task.waiting)
            if not waiting:
                continue
            seconds = waiting * durations.expected_ms(tracked_job.job, step.spec, step) / 1000
            host_s = _sum(host_s, _share(step.spec.reserved, host_size, seconds))
            starts_now = starts_now or _is_ready(step, steps)
    if host_s == NO_SHARES:
        return
    slack_s = max(0.0, timing.slack_s) if timing.can_meet_deadline else OVERDUE_SLACK_S
    # On average a run in progress takes half of its duration until the next step can start.
    before_s = 0.0 if starts_now else durations.longest_ready_ms(tracked_job) / 2000
    duration_s = max(MIN_REMAINING_S, timing.remaining_s - 2 * before_s)
    yield Demand(host_s, slack_s + before_s, duration_s)


def _is_ready(step: TrackedStep, steps: list[TrackedStep]) -> bool:
    return all(not steps[index].remaining for index in step.spec.after)


def _share(needs: Resources, host_size: Resources, factor: float) -> HostShares:
    return _shares(
        (needs.cpu * factor, needs.memory_mb * factor, needs.accelerators * factor), host_size
    )


def _shares(needs: tuple[float, float, float], host_size: Resources) -> HostShares:
    """Return amounts of cpu, memory and accelerators as shares of a host of size ``host_size``."""
    cpu, memory_mb, accelerators = needs
    return (
        cpu / max(1, host_size.cpu),
        memory_mb / max(1, host_size.memory_mb),
        accelerators / max(1, host_size.accelerators),
    )


def _sum(first: HostShares, second: HostShares) -> HostShares:
    return first[0] + second[0], first[1] + second[1], first[2] + second[2]


def _scale(shares: HostShares, factor: float) -> HostShares:
    return shares[0] * factor, shares[1] * factor, shares[2] * factor
