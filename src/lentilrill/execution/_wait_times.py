"""Time that a job spends in each wait cause, to explain a long response time afterwards."""

from enum import Enum

__all__ = ["WaitCause", "WaitTimes"]


class WaitCause(Enum):
    """What a job is waiting for."""

    OWNER = "owner"
    """The job is accepted, but the pool has no owner or its owner has not read the job yet."""
    TAKE_OVER = "take_over"
    """Its tasks may run on endpoints that the pool's new owner has not polled yet."""
    CAPACITY = "room"
    """Some of its tasks are ready, and no endpoint has capacity for them."""
    WORKSPACE_CAP = "cap"
    """An endpoint has capacity for some of its tasks, and its workspace may not use more."""
    ORDER = "order"
    """A start order got no answer; all other ready tasks run."""
    WORK = "work"
    """All ready tasks run."""
    STORE = "store"
    """The job has ended, and its final state is not stored and shown yet."""


class WaitTimes:
    """Time since a job was accepted, by wait cause.

    :param since: monotonic time at which the job was accepted.
    """

    __slots__ = ("_cause", "_seconds_by_cause", "_since")

    def __init__(self, since: float) -> None:
        self._cause = WaitCause.OWNER
        self._since = since
        self._seconds_by_cause: dict[WaitCause, float] = {}

    def switch_to(self, cause: WaitCause, now: float) -> None:
        """Set the current cause."""
        if cause is self._cause:
            return
        spent = self._seconds_by_cause.get(self._cause, 0.0)
        self._seconds_by_cause[self._cause] = spent + now - self._since
        self._cause, self._since = cause, now

    def seconds_by_cause(self, now: float) -> dict[WaitCause, float]:
        """Return the seconds spent in each cause; causes that never applied are left out."""
        spent = dict(self._seconds_by_cause)
        spent[self._cause] = spent.get(self._cause, 0.0) + now - self._since
        return spent
