"""Whether a job is taken on, and when a refused caller should come back."""

import msgspec

__all__ = ["Pressure", "may_take", "outage_retry_s", "retry_after_s"]

LONGEST_WAIT_S = 6.0
"""Expected wait beyond which a job that would be late is refused: several times the objectives in
use, so that what is taken on is still worth its room when its turn comes."""
SOON_S = 1.5
"""Wait behind jobs that can be in time up to which a new one can be, too, whatever late work there
is: with objectives of 1.6 times the work and 0.6 s, a job of a second or two may wait so long."""
LONGEST_LATE_S = 30.0
"""Work of late jobs beyond which nothing is taken on: it must be done some day."""
SHORTEST_RETRY_S = 0.5
LONGEST_RETRY_S = 10.0
SHORTEST_OUTAGE_S = 1.0
LONGEST_OUTAGE_S = 3.0
"""Bounds of the return to a host that can't commit: by the first the balancer has sent callers to
hosts that can; the second is about an objective, after which the answer would come late anyway."""


class Pressure(msgspec.Struct, frozen=True):
    """How busy a pool is.

    :param wait_s: seconds of work that goes before a new job, at the rate of the whole pool.
    :param late_s: seconds of work of jobs that can't be in time any more, which goes after it.
    """

    wait_s: float
    late_s: float = 0.0


def may_take(pressure: Pressure) -> bool:
    """Return whether one more job may be taken on.

    Load pattern: callers hand in several times what a pool can do, for longer than its objectives.
    Without a bound the queue grows until each job is worthless before it starts, and the pool
    still works on them after the surge. But late jobs get what is left by those that can be in
    time, so that they are no reason to refuse a new one that can.
    """
    if pressure.wait_s <= SOON_S:
        return pressure.late_s <= LONGEST_LATE_S
    return pressure.wait_s + pressure.late_s <= LONGEST_WAIT_S


def retry_after_s(pressure: Pressure) -> float:
    """Return the seconds after which a refused caller finds room, by the rate of the pool."""
    excess_s = pressure.wait_s + pressure.late_s - LONGEST_WAIT_S / 2
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, excess_s))


def outage_retry_s(silent_s: float) -> float:
    """Return the seconds after which a caller should come back while the store is silent.

    Load pattern: an outage of unknown length, and callers who try five times. Returning each
    second they are through before an outage of five seconds ends. One that has lasted for a while
    is likely to last about as long again.
    """
    return min(LONGEST_OUTAGE_S, max(SHORTEST_OUTAGE_S, silent_s))
