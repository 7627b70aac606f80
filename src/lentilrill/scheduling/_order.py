"""In which order jobs get room."""

import msgspec

__all__ = ["Standing", "sort_key"]

DOUBT = 0.7
"""Share of a job's slack that is counted on: it shrinks with the job if its tasks turn out to be
shorter than expected, and durations are off by half."""


class Standing(msgspec.Struct, frozen=True):
    """What the order of a job depends on.

    :param priority: of its queue; 0 goes first.
    :param lasts: it serves until it is cancelled.
    :param age_s: seconds since it was accepted.
    :param left_s: seconds that its remaining chain of steps takes at least.
    :param allowed_s: seconds after its acceptance by which it should be done.
    :param left_work: processor seconds that it still needs.
    """

    priority: int
    lasts: bool
    age_s: float
    left_s: float
    allowed_s: float
    left_work: float

    @property
    def in_time(self) -> bool:
        """Whether it can still be done by then, or has no such time."""
        return self.lasts or self.age_s + self.left_s <= self.allowed_s

    @property
    def slack_s(self) -> float:
        """Seconds for which it may still wait; negative if it has missed its time."""
        return DOUBT * (self.allowed_s - self.left_s) - self.age_s


def sort_key(standing: Standing, *, feasible: bool = False) -> tuple[int, int, float]:
    """Return a key by which jobs sort in the order in which they get room.

    Load pattern: for some seconds a queue gets more work than its pool can do. In order of
    arrival every job waits about as long, and all miss their objective together. So jobs that can
    still meet it go first, the shortest first, which finishes the most of them; those that have
    missed it get what is left, oldest first, so that none starves once the surge is over.
    While a pool can do all of its work in time, the one with the least slack goes first: shortest
    first would leave the long ones until they are late.

    Tasks that last go before all: they are few, and users wait on them every moment.

    :param feasible: whether all that waits can be done when it is due.
    """
    if standing.lasts:
        return (0, 0, -standing.age_s)
    if standing.in_time:
        return (1 + 2 * standing.priority, 0, standing.slack_s if feasible else standing.left_work)
    return (1 + 2 * standing.priority, 1, -standing.age_s)
