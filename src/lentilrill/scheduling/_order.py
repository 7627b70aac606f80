"""Order in which jobs are scheduled."""

import msgspec

__all__ = ["JobTiming", "sort_key"]

SLACK_FACTOR = 0.7
"""Share of a job's slack that the order relies on: expected durations are off by half, and a job
whose tasks are shorter than expected also has an earlier deadline."""


class JobTiming(msgspec.Struct, frozen=True):
    """Properties of a job that determine its place in the order.

    :param priority: priority of its queue; 0 is the highest.
    :param long_running: whether it runs until it is cancelled.
    :param age_s: seconds since it was accepted.
    :param remaining_s: minimum seconds for the remaining steps of its critical path.
    :param deadline_s: deadline, in seconds after acceptance.
    :param remaining_work: remaining work in processor seconds.
    """

    priority: int
    long_running: bool
    age_s: float
    remaining_s: float
    deadline_s: float
    remaining_work: float

    @property
    def can_meet_deadline(self) -> bool:
        """Whether the job can still meet its deadline, or has none."""
        return self.long_running or self.age_s + self.remaining_s <= self.deadline_s

    @property
    def slack_s(self) -> float:
        """Seconds for which the job can still wait; negative if it will miss its deadline."""
        return SLACK_FACTOR * (self.deadline_s - self.remaining_s) - self.age_s


def sort_key(timing: JobTiming, *, feasible: bool = False) -> tuple[int, int, float]:
    """Return a key that sorts jobs in the order in which they are scheduled.

    During a surge a queue gets more work than its pool can do. In order of arrival all jobs would
    wait about equally long and miss their objective together. So jobs that can still meet their
    deadline go first, shortest first, which completes the largest number of them. Overdue jobs use
    the remaining capacity, oldest first, so that none starves after the surge.
    While a pool can finish all of its work on time, the job with the least slack goes first:
    shortest first would delay long jobs until they miss their deadline.

    Long-running jobs go before all others: they are few, and users wait for their responses.

    :param feasible: whether all waiting jobs can meet their deadlines.
    """
    if timing.long_running:
        return (0, 0, -timing.age_s)
    if timing.can_meet_deadline:
        return (
            1 + 2 * timing.priority,
            0,
            timing.slack_s if feasible else timing.remaining_work,
        )
    return (1 + 2 * timing.priority, 1, -timing.age_s)
