"""Number of hosts that a pool's jobs need to be done in time."""

from collections.abc import Iterable

import msgspec

from lentilrill.execution._book import JobBook, StepBook
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import LEAD_S, Durations, Offer
from lentilrill.scheduling import Demand, HostShares, Standing, hosts_due
from lentilrill.workloads import Resources

__all__ = ["PoolDemand", "demand_of"]

SHORTEST_S = 0.2
"""Minimum remaining time assumed for a run, however long it has been in progress."""
LATE_SLACK_S = 3.0
"""How long the remaining work of an overdue job may wait. To callers a late answer is worth less
than a tenth of a timely one, so it justifies keeping some hosts, not requesting more."""
NOTHING: HostShares = (0.0, 0.0, 0.0)


class PoolDemand(msgspec.Struct, frozen=True):
    """Number of hosts that a pool needs.

    :param firm: need of the accepted jobs, without forecast.
    :param expected: need including the jobs expected before a host that is moved now can serve.
    :param feasible: whether the hosts that serve now can do all accepted work in time.
    """

    firm: float
    expected: float
    feasible: bool = True


def demand_of(
    jobs: Iterable[tuple[JobBook, Standing]],
    links: list[EndpointLink],
    durations: Durations,
    offer: Offer,
    now: float,
) -> PoolDemand:
    """Return the hosts that the jobs of a pool need.

    :param jobs: jobs that are not final.
    :param offer: forecast of arriving work.
    :param now: the monotonic clock.
    """
    rooms = [link.entry.room for link in links if link.entry.room.cpu]
    if not rooms:
        # The size of a host is unknown until the first one is present.
        waits = any(step.waits for book, _ in jobs for step in book.open_steps())
        return PoolDemand(float(waits), float(waits))
    one = max(rooms, key=lambda room: room.cpu)
    lasting = NOTHING
    # Capacity for everything that can run in parallel: any host beyond that would be idle.
    most = NOTHING
    demands: list[Demand] = []
    for book, standing in jobs:
        if book.lasts:
            lasting = _sum(lasting, _open_share(book, one))
            continue
        demands += _running(book, one, durations, now)
        demands += _waiting(book, standing, one, durations)
        most = _sum(most, _open_share(book, one))
    served = max(lasting)
    present = sum(1 for link in links if link.reachable and link.registered) - served
    due = hosts_due(demands)
    firm = min(max(most), hosts_due(demands, present, LEAD_S))
    if offer.span_s > 0:
        coming = _shares(offer.needs_s, one)
        demands += _expected(coming, offer)
        most = _sum(most, _times(coming, offer.span_s / offer.within_s))
    expected = min(max(most), hosts_due(demands, present, LEAD_S))
    return PoolDemand(served + firm, served + expected, due <= present)


def _expected(host_s: HostShares, offer: Offer) -> Iterable[Demand]:
    """Return the forecast work as two halves that arrive in the middle of their half spans."""
    half = _times(host_s, 0.5)
    for share in (0.25, 0.75):
        yield Demand(half, share * offer.within_s + max(0.0, offer.slack_s), offer.span_s)


def _open_share(book: JobBook, one: Resources) -> HostShares:
    """Return the capacity that a job's ready steps use if all their tasks run at once."""
    total = NOTHING
    for step in book.open_steps():
        total = _sum(total, _share(step.spec.reserved, one, step.undone))
    return total


def _running(book: JobBook, one: Resources, durations: Durations, now: float) -> Iterable[Demand]:
    """Return the demand of runs in progress, which can't be deferred."""
    for steps in book.steps_by_occurrence.values():
        for step in steps:
            runs = [run for task in step.tasks for run in task.runs]
            if not runs:
                continue
            whole_s = durations.expected_ms(book.job, step.spec, step) / 1000
            left_s = [
                max(SHORTEST_S, whole_s - (now - run.began_at) if run.began_at else whole_s)
                for run in runs
            ]
            yield Demand(
                _share(step.spec.reserved, one, sum(left_s)), 0.0, sum(left_s) / len(left_s)
            )


def _waiting(
    book: JobBook, standing: Standing, one: Resources, durations: Durations
) -> Iterable[Demand]:
    """Return the demand of a job's waiting tasks."""
    host_s = NOTHING
    starts_now = False
    for steps in book.steps_by_occurrence.values():
        for step in steps:
            waiting = sum(1 for task in step.tasks if task.waiting)
            if not waiting:
                continue
            seconds = waiting * durations.expected_ms(book.job, step.spec, step) / 1000
            host_s = _sum(host_s, _share(step.spec.reserved, one, seconds))
            starts_now = starts_now or _is_open(step, steps)
    if host_s == NOTHING:
        return
    slack_s = max(0.0, standing.slack_s) if standing.in_time else LATE_SLACK_S
    # On average a run in progress takes half of its duration until the next step can start.
    before_s = 0.0 if starts_now else durations.current_ms(book) / 2000
    span_s = max(SHORTEST_S, standing.left_s - 2 * before_s)
    yield Demand(host_s, slack_s + before_s, span_s)


def _is_open(step: StepBook, steps: list[StepBook]) -> bool:
    return all(not steps[index].undone for index in step.spec.after)


def _share(needs: Resources, one: Resources, times: float) -> HostShares:
    return _shares((needs.cpu * times, needs.memory_mb * times, needs.accelerators * times), one)


def _shares(needs: tuple[float, float, float], one: Resources) -> HostShares:
    """Return amounts of cpu, memory and accelerators as shares of a host of size ``one``."""
    cpu, memory_mb, accelerators = needs
    return (
        cpu / max(1, one.cpu),
        memory_mb / max(1, one.memory_mb),
        accelerators / max(1, one.accelerators),
    )


def _sum(one: HostShares, other: HostShares) -> HostShares:
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def _times(one: HostShares, times: float) -> HostShares:
    return one[0] * times, one[1] * times, one[2] * times
