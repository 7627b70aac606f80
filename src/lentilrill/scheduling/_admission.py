"""Whether a job is taken on, and when a refused caller should come back."""

import msgspec

__all__ = ["Pressure", "may_take", "retry_after_s"]

LONGEST_WAIT_S = 6.0
"""Expected wait beyond which a job is refused: several times the objectives in use, so that what
is taken on is still worth its room when its turn comes."""
SHORTEST_RETRY_S = 0.5
LONGEST_RETRY_S = 10.0


class Pressure(msgspec.Struct, frozen=True):
    """How busy a pool is.

    :param wait_s: seconds of work that wait for room, at the rate of the whole pool.
    """

    wait_s: float


def may_take(pressure: Pressure) -> bool:
    """Return whether one more job may be taken on.

    Load pattern: callers hand in several times what a pool can do, for longer than its objectives.
    Without a bound the queue grows until each job is worthless before it starts, and the pool
    still works on them after the surge.
    """
    return pressure.wait_s <= LONGEST_WAIT_S


def retry_after_s(pressure: Pressure) -> float:
    """Return the seconds after which a refused caller finds room, by the rate of the pool."""
    excess_s = pressure.wait_s - LONGEST_WAIT_S / 2
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, excess_s))
