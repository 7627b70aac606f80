"""Pace control of filler tasks that share an endpoint with long-running tasks."""

__all__ = ["next_pace"]

SLOW_DOWN_SHARE = 0.8
"""Share of the tail latency target at which fillers slow down, before the target is missed."""
SPEED_UP_SHARE = 0.55
"""Share at which fillers speed up again; the gap to the upper threshold prevents oscillation."""
STOPPED_PERCENT = 0
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP_PERCENT = 15
MIN_PACE_PERCENT = 10
MAX_PACE_PERCENT = 100


def next_pace(pace: int, worst_share: float) -> int:
    """Return the next pace, in percent, of the fillers on one endpoint.

    How much a filler raises the tail latency of the tasks beside it differs by image and changes
    within seconds, so the pace is adjusted by feedback: reduced at once, raised slowly.

    :param worst_share: highest tail latency on the endpoint, as a share of its target.
    """
    if worst_share >= 1.0:
        return STOPPED_PERCENT
    if worst_share >= SLOW_DOWN_SHARE:
        return max(MIN_PACE_PERCENT, int(pace * SLOW_DOWN_FACTOR)) if pace else 0
    if worst_share <= SPEED_UP_SHARE:
        return min(MAX_PACE_PERCENT, pace + SPEED_UP_STEP_PERCENT)
    return pace
