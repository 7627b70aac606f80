"""Admission control: whether to accept a job, and when a rejected caller should retry."""

import msgspec

__all__ = ["Pressure", "can_accept", "outage_retry_s", "retry_after_s"]

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
