"""Pace control of filler tasks that share an endpoint with long-running tasks."""

__all__ = ["next_pace"]

HIGH = 0.8
"""Share of the tail latency target at which fillers slow down, before the target is missed."""
LOW = 0.55
"""Share at which fillers speed up again; the gap to the upper threshold prevents oscillation."""
OVER_STEP = 0
NEAR_FACTOR = 0.5
FASTER_STEP = 15
LEAST_PACE = 10
FULL_PACE = 100


def next_pace(pace: int, worst_share: float) -> int:
    """Return the next pace, in percent, of the fillers on one endpoint.

    How much a filler raises the tail latency of the tasks beside it differs by image and changes
    within seconds, so the pace is adjusted by feedback: reduced at once, raised slowly.

    :param worst_share: highest tail latency on the endpoint, as a share of its target.
    """
    if worst_share >= 1.0:
        return OVER_STEP
    if worst_share >= HIGH:
        return max(LEAST_PACE, int(pace * NEAR_FACTOR)) if pace else 0
    if worst_share <= LOW:
        return min(FULL_PACE, pace + FASTER_STEP)
    return pace
