"""Moves of running tasks with checkpoints away from slow endpoints."""

import msgspec

__all__ = [
    "MIN_SLOWDOWN",
    "RelocatableRun",
    "RelocationCost",
    "is_worth_relocating",
    "may_relocate_again",
]

MIN_SLOWDOWN = 1.5
"""Slowdown of an endpoint from which its tasks are moved, and below which tasks are moved to it."""
FIRST_COST_S = 2.0
"""Assumed time from a task's stop until it works elsewhere, before any was observed."""
COST_WEIGHT = 0.2
"""Weight of the newest observed time in the average."""
QUIET_S = 10.0
"""Time for which a moved task isn't moved again."""
MAX_MOVES = 2
"""Moves of a task: each costs work, and a task that is slow everywhere is itself long."""


class RelocatableRun(msgspec.Struct, frozen=True):
    """A run on a slow endpoint whose task could go on elsewhere.

    :param left_s: expected seconds until it ends where it is.
    :param slowdown: factor by which tasks take longer on its endpoint than elsewhere.
    :param since_checkpoint_s: seconds of work that are lost if the stop makes no checkpoint.
    :param cost_s: seconds from its stop until it works elsewhere.
    """

    left_s: float
    slowdown: float
    since_checkpoint_s: float
    cost_s: float

    @property
    def elsewhere_s(self) -> float:
        """Expected seconds until it ends if it is moved now."""
        work_s = (self.left_s + self.since_checkpoint_s) / self.slowdown
        return work_s + self.cost_s

    @property
    def gain_s(self) -> float:
        """Seconds by which it ends earlier if it is moved."""
        return self.left_s - self.elsewhere_s


def is_worth_relocating(run: RelocatableRun) -> bool:
    """Return whether a run gains more by a move than the move costs.

    Answers long tasks that may run only once and began on an endpoint before it became slow: their
    job waits for them while healthy endpoints are free. What is gained must exceed the cost once
    more, so that an endpoint that is slow by turns doesn't send its tasks to and fro.
    """
    return run.slowdown >= MIN_SLOWDOWN and run.gain_s > run.cost_s


def may_relocate_again(moves: int, since_move_s: float) -> bool:
    """Return whether a task that was moved may be moved again.

    :param moves: times that it was moved.
    :param since_move_s: seconds since the last time.
    """
    return not moves or (moves < MAX_MOVES and since_move_s >= QUIET_S)


class RelocationCost:
    """Time from a task's stop until it works elsewhere: its average, and how far it varies.

    It holds the stop, the placement, the start and the restore of a checkpoint, which differ by
    platform and by what the tasks keep.
    """

    def __init__(self) -> None:
        self._mean_s = FIRST_COST_S
        self._deviation_s = 0.0

    @property
    def seconds(self) -> float:
        """A cautious expectation."""
        return self._mean_s + self._deviation_s

    def observe(self, seconds: float) -> None:
        """Add an observed move."""
        error_s = seconds - self._mean_s
        self._mean_s += COST_WEIGHT * error_s
        self._deviation_s += COST_WEIGHT * (abs(error_s) - self._deviation_s)
