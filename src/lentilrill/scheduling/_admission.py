"""Admission control: whether to accept a job, and when a rejected caller should retry."""

import math
import zlib
from collections.abc import Callable, Mapping

import msgspec

from lentilrill.ids import JobId, WorkspaceId
from lentilrill.scheduling._shares import CapacityOutlook, fair_shares, work_before

__all__ = [
    "AdmissionDecision",
    "PoolBacklog",
    "Pressure",
    "WorkspaceBacklog",
    "admit_by_fair_share",
    "can_accept",
    "outage_retry_s",
    "retry_after_s",
    "usable_wait_s",
]

MAX_WAIT_S = 6.0
"""Expected wait above which a job that would miss its deadline is rejected. It is several times the
latency objectives in use, so that an accepted job is still worth running when it starts."""
MAX_ON_TIME_WAIT_S = 1.5
"""Wait behind on-time jobs up to which a new job can still meet its deadline, regardless of overdue
work: with an objective of 1.6 times the work plus 0.6 s, a job of one or two seconds can wait this
long."""
MAX_OVERDUE_S = 30.0
"""Overdue work above which no job is accepted, because the backlog must be finished eventually."""
MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0
MIN_OUTAGE_RETRY_S = 1.0
MAX_OUTAGE_RETRY_S = 3.0
"""Bounds of the retry delay for an entry host that can't commit. After the minimum, the load
balancer has moved callers to hosts that can commit. The maximum is about one latency objective; an
answer after that would be late anyway."""

MIN_RETURN_S = 1.0
"""Earliest return of a refused caller. A job that has to wait no longer than this beyond its slack
is better off accepted."""
MIN_SPREAD_S = 2
"""Minimum number of seconds over which callers return that were refused together."""


class Pressure(msgspec.Struct, frozen=True):
    """Backlog of a pool.

    :param wait_s: seconds that the whole pool needs for the work that runs before a new job.
    :param overdue_s: seconds that it needs for jobs that can no longer meet their deadline, which
        run after the new job.
    """

    wait_s: float
    overdue_s: float = 0.0


def can_accept(pressure: Pressure) -> bool:
    """Return whether a pool can accept one more job.

    Callers may submit several times the work that a pool can do, for longer than its latency
    objectives. Without a limit the queue grows until every job misses its deadline before it
    starts, and the pool still works on these jobs after the surge. Overdue jobs run only on
    capacity that on-time jobs leave free, so they are no reason to reject a job that can be on
    time.
    """
    if pressure.wait_s <= MAX_ON_TIME_WAIT_S:
        return pressure.overdue_s <= MAX_OVERDUE_S
    return pressure.wait_s + pressure.overdue_s <= MAX_WAIT_S


def retry_after_s(pressure: Pressure) -> float:
    """Return the seconds after which the pool will have capacity for a rejected caller."""
    excess_s = pressure.wait_s + pressure.overdue_s - MAX_WAIT_S / 2
    return min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))


def outage_retry_s(silent_s: float) -> float:
    """Return the seconds after which a caller should retry during an outage of the store.

    Callers try five times, so with a retry each second they run out of attempts before an outage
    of five seconds ends. An outage is expected to last about as long again as it has lasted so
    far, so the delay grows with it.

    :param silent_s: seconds since the store last answered.
    """
    return min(MAX_OUTAGE_RETRY_S, max(MIN_OUTAGE_RETRY_S, silent_s))


class WorkspaceBacklog(msgspec.Struct, frozen=True):
    """Unfinished work of one workspace in a pool, in core seconds.

    :param owed: work of jobs within its rate that can still meet their deadline.
    :param beyond: the same of jobs beyond its rate.
    :param overdue: work of jobs that can no longer meet their deadline.
    """

    owed: float = 0.0
    beyond: float = 0.0
    overdue: float = 0.0


NO_BACKLOG = WorkspaceBacklog()


class PoolBacklog(msgspec.Struct, frozen=True):
    """Unfinished work of a pool by workspace, and the hosts that it has for it.

    :param is_short: whether jobs wait for room and not all of them can meet their deadline.
    :param weight_by_workspace: weights of all configured workspaces.
    :param age_s: seconds since this was reported.
    :param rest_owed: work owed to workspaces that are not listed, in core seconds.
    """

    is_short: bool
    outlook: CapacityOutlook
    by_workspace: Mapping[WorkspaceId, WorkspaceBacklog]
    weight_by_workspace: Mapping[WorkspaceId, float]
    age_s: float = 0.0
    rest_owed: float = 0.0


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Whether a job is accepted, and what decided it.

    :param retry_s: seconds after which a refused caller should retry; a whole number.
    :param wait_s: seconds that the job is expected to wait.
    :param max_wait_s: seconds that it can wait and still be of use.
    :param share_cores: the workspace's fair share of the pool's present cores.
    :param backlog_s: seconds that the pool needs for the workspace's own work at this share.
    """

    is_accepted: bool
    retry_s: float
    wait_s: float
    max_wait_s: float
    share_cores: float
    backlog_s: float


def usable_wait_s(critical_path_s: float, stretch: float, objective_s: float) -> float:
    """Return how long a job of a queue can wait for room and still be of use to its caller.

    :param critical_path_s: expected seconds of the job's longest chain of steps.
    :param stretch: the queue's factor on that time.
    :param objective_s: the queue's latency objective; without any, :data:`MAX_WAIT_S` applies.
    """
    slack_s = (stretch - 1.0) * critical_path_s + objective_s
    return slack_s + MIN_RETURN_S if slack_s > 0 else MAX_WAIT_S


def admit_by_fair_share(
    job: JobId, workspace: WorkspaceId, backlog: PoolBacklog, max_wait_s: float, *, is_beyond: bool
) -> AdmissionDecision:
    """Return whether a job of a workspace is accepted, by the workspace's share of its pool.

    In a surge one workspace sends several times its share, while others send as usual. A job is
    refused at once if its own workspace's work fills its share, of the hosts that are there and on
    their way, for longer than the job can wait. Work of others counts only as far as it goes first:
    by their weights, and for a job beyond its workspace's rate all that is owed to others. While
    room isn't short nothing is refused.

    :param max_wait_s: seconds that the job can wait and still be of use.
    :param is_beyond: whether the job is beyond its workspace's rate; such a job is refused as soon
        as it wouldn't end in time.
    """
    own = backlog.by_workspace.get(workspace, NO_BACKLOG)
    share = _share_of(workspace, backlog)
    own_work = own.owed + (own.beyond if is_beyond else 0.0)
    backlog_s = own_work / share if share else (math.inf if own_work else 0.0)
    wait_s = _wait_s(workspace, backlog, is_beyond=is_beyond)
    overdue_s = _overdue_s(workspace, backlog)
    max_wait_s = max_wait_s - MIN_RETURN_S if is_beyond else max_wait_s
    is_accepted = not backlog.is_short or (wait_s <= max_wait_s and overdue_s <= MAX_OVERDUE_S)
    if is_accepted:
        return AdmissionDecision(True, 0.0, wait_s, max_wait_s, share, backlog_s)
    excess_s = max(wait_s - max_wait_s, overdue_s - MAX_OVERDUE_S)
    retry_s = _spread_retry_s(job, excess_s)
    return AdmissionDecision(False, retry_s, wait_s, max_wait_s, share, backlog_s)


def _wait_s(workspace: WorkspaceId, backlog: PoolBacklog, *, is_beyond: bool) -> float:
    """Return how long a new job of a workspace waits for work that goes first.

    What the pool has done since the report is deducted, so an old report favours accepting.
    """
    own = backlog.by_workspace.get(workspace, NO_BACKLOG)
    if not is_beyond:
        others = _others(workspace, backlog, lambda each: each.owed)
        work = work_before(own.owed, backlog.weight_by_workspace.get(workspace, 0.0), others)
    else:
        owed = backlog.rest_owed + sum(each.owed for each in backlog.by_workspace.values())
        others = _others(workspace, backlog, lambda each: each.beyond)
        weight = backlog.weight_by_workspace.get(workspace, 0.0)
        work = owed + work_before(own.beyond, weight, others)
    return max(0.0, backlog.outlook.seconds_for(work) - backlog.age_s)


def _overdue_s(workspace: WorkspaceId, backlog: PoolBacklog) -> float:
    own = backlog.by_workspace.get(workspace, NO_BACKLOG)
    weight = backlog.weight_by_workspace.get(workspace, 0.0)
    others = _others(workspace, backlog, lambda each: each.overdue)
    work = work_before(own.overdue, weight, others)
    return max(0.0, backlog.outlook.seconds_for(work) - backlog.age_s)


def _others(
    workspace: WorkspaceId, backlog: PoolBacklog, work_of: Callable[[WorkspaceBacklog], float]
) -> list[tuple[float, float]]:
    """Return the work and the weight of each other workspace."""
    return [
        (work_of(each), backlog.weight_by_workspace.get(other, 0.0))
        for other, each in backlog.by_workspace.items()
        if other != workspace
    ]


def _share_of(workspace: WorkspaceId, backlog: PoolBacklog) -> float:
    """Return a workspace's fair share of the present cores if it wants all of them."""
    cores = backlog.outlook.present
    demands = {
        other: each.owed + each.beyond + each.overdue
        for other, each in backlog.by_workspace.items()
    }
    return fair_shares(cores, demands | {workspace: cores}, backlog.weight_by_workspace)[workspace]


def _spread_retry_s(job: JobId, excess_s: float) -> float:
    """Return a whole number of seconds after which the workspace's share has room again.

    The delay is never shorter than that, as the caller would be refused again, and up to twice as
    long: what was refused in a burst fits into the share only over time. A longer time than
    :data:`MAX_RETRY_S` is a guess and is cut: a pool that has lost its hosts gets others by then.
    """
    least_s = max(1, math.ceil(min(excess_s, MAX_RETRY_S)))
    spread_s = max(MIN_SPREAD_S, least_s)
    return float(least_s + zlib.crc32(job.encode()) % (spread_s + 1))
