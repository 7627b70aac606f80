"""How fast tasks that fill up an endpoint may work beside tasks that serve."""

__all__ = ["next_pace"]

HIGH = 0.8
"""Share of a tail's target above which fillers slow down: before users notice."""
LOW = 0.55
"""Share below which they speed up again; the gap keeps the pace from swinging."""
OVER_STEP = 0
NEAR_FACTOR = 0.5
FASTER_STEP = 15
LEAST_PACE = 10
FULL_PACE = 100


def next_pace(pace: int, worst_share: float) -> int:
    """Return the next pace, in percent, of the fillers on one endpoint.

    Load pattern: a filler disturbs the tails of what serves beside it by an amount that differs by
    image and changes within seconds, so it is found by trying: down at once, up slowly.

    :param worst_share: highest tail on the endpoint, as a share of its target.
    """
    if worst_share >= 1.0:
        return OVER_STEP
    if worst_share >= HIGH:
        return max(LEAST_PACE, int(pace * NEAR_FACTOR)) if pace else 0
    if worst_share <= LOW:
        return min(FULL_PACE, pace + FASTER_STEP)
    return pace
