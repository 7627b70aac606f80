"""Where a job's time goes, so that a late answer can be explained afterwards."""

from enum import Enum

__all__ = ["Cause", "Waits"]


class Cause(Enum):
    """What a job waits for at a moment."""

    OWNER = "owner"
    """It is accepted, and the pool's owner has not taken it yet, or there is none."""
    TAKE_OVER = "take_over"
    """Its tasks may run where the pool's new owner has not looked yet."""
    ROOM = "room"
    """Some of its tasks could run, and no endpoint has room for them."""
    ORDER = "order"
    """A start got no answer, and all of its other tasks whose turn has come run."""
    WORK = "work"
    """All of its tasks whose turn has come run."""
    STORE = "store"
    """Its end is yet to be stored, after which it is shown."""


class Waits:
    """A job's time since it was accepted, split by cause.

    :param since: when it was accepted, by the monotonic clock.
    """

    __slots__ = ("_cause", "_seconds_by_cause", "_since")

    def __init__(self, since: float) -> None:
        self._cause = Cause.OWNER
        self._since = since
        self._seconds_by_cause: dict[Cause, float] = {}

    def now_for(self, cause: Cause, now: float) -> None:
        """Note what it waits for from now on."""
        if cause is self._cause:
            return
        spent = self._seconds_by_cause.get(self._cause, 0.0)
        self._seconds_by_cause[self._cause] = spent + now - self._since
        self._cause, self._since = cause, now

    def seconds_by_cause(self, now: float) -> dict[Cause, float]:
        """Return the seconds spent on each cause so far; causes without any are left out."""
        spent = dict(self._seconds_by_cause)
        spent[self._cause] = spent.get(self._cause, 0.0) + now - self._since
        return spent
