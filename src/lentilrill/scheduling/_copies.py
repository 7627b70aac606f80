"""Copies of running tasks whose run takes much longer than a fresh one would."""

import msgspec

from lentilrill.ids import QueueId

__all__ = ["CopyBudget", "CopyResults", "StragglingRun", "copy_key", "is_worth_a_copy"]

START_S = 0.25
"""Time from the decision until a copy works: a round, the start order and the startup of a task."""
COPY_SHARE = 0.1
"""Maximum share of a pool's processors in use that copies may use, and of its runs."""
MIN_COPIES = 2
"""Copies that a pool of any size may have in progress."""
RESULTS_WINDOW = 20.0
"""Copies after which the weight of an older result has decayed to about a third."""
PRIOR_WINS = 2.0
"""Won copies that are assumed before any result: a first copy shows whether copies help."""


class StragglingRun(msgspec.Struct, frozen=True):
    """The only run of a task, compared with a fresh run of the same task.

    :param left_s: expected seconds until it ends.
    :param fresh_s: expected seconds from the start of a fresh run to its end.
    :param later_s: seconds that the job needs after this task.
    :param deadline_s: seconds until the job's deadline; negative once it has passed.
    """

    left_s: float
    fresh_s: float
    later_s: float
    deadline_s: float

    @property
    def gain_s(self) -> float:
        """Seconds by which a copy that wins ends the task earlier."""
        return self.left_s - self.fresh_s - START_S

    @property
    def is_late(self) -> bool:
        """Whether the job misses its deadline if it waits for this run."""
        return self.left_s + self.later_s > self.deadline_s

    @property
    def is_saved_by_copy(self) -> bool:
        """Whether the job meets its deadline with a copy that wins."""
        return START_S + self.fresh_s + self.later_s <= self.deadline_s


def is_worth_a_copy(run: StragglingRun, win_share: float) -> bool:
    """Return whether a copy of a run costs less than it is expected to gain.

    Answers jobs of many tasks, of which one is on a slow endpoint: the job waits for it alone while
    the rest of the pool has room. A copy costs the time of a fresh run. Copies of tasks that are
    themselves long don't win, and make further copies in their queue rarer.

    :param win_share: share of the queue's copies that ended first.
    """
    return run.is_late and win_share * run.gain_s > run.fresh_s


def copy_key(run: StragglingRun) -> tuple[bool, float]:
    """Return a key that sorts runs by urgency: jobs that a copy saves, then the largest gain."""
    return not run.is_saved_by_copy, -run.gain_s


class CopyBudget:
    """What the copies of a pool may use at once.

    In a surge, or when a whole rack is slow, many runs are late at the same time. Copies of all of
    them would double the load when there is least room for it.

    :param running_cpu: thousandths of a core that the pool's runs use, for each run.
    :param copying_cpu: those that copies in progress use, for each copy.
    """

    def __init__(self, running_cpu: list[int], copying_cpu: list[int]) -> None:
        self._most_cpu = COPY_SHARE * sum(running_cpu)
        self._most = max(MIN_COPIES, int(COPY_SHARE * len(running_cpu)))
        self._used_cpu = sum(copying_cpu)
        self._copies = len(copying_cpu)

    def has_room(self, cpu: int) -> bool:
        """Whether one more copy may start."""
        fits = self._copies < MIN_COPIES or self._used_cpu + cpu <= self._most_cpu
        return fits and self._copies < self._most

    def take(self, cpu: int) -> None:
        """Count a copy that starts."""
        self._copies += 1
        self._used_cpu += cpu


class CopyResults:
    """Share of copies that ended before the run they were made of, by queue.

    Whether a long run is due to its endpoint or to its task differs by queue and changes during a
    day. Results of the past copies tell it without a model of either.
    """

    def __init__(self) -> None:
        self._results_by_queue: dict[QueueId, tuple[float, float]] = {}

    def record(self, queue: QueueId, *, has_won: bool) -> None:
        """Add the result of a copy."""
        wins, count = self._results_by_queue.get(queue, (0.0, 0.0))
        kept = 1 - 1 / RESULTS_WINDOW
        self._results_by_queue[queue] = (wins * kept + has_won, count * kept + 1)

    def win_share(self, queue: QueueId) -> float:
        """Return the share of copies that are expected to win."""
        wins, count = self._results_by_queue.get(queue, (0.0, 0.0))
        return (wins + PRIOR_WINS) / (count + PRIOR_WINS)
