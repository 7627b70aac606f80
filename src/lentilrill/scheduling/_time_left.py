"""Time that a running task still needs."""

import math

__all__ = ["TaskTimes"]

BUCKETS_PER_OCTAVE = 8
MIN_RATIO = 1 / 64
MAX_RATIO = 64.0
WINDOW_TASKS = 200.0
"""Tasks after which the weight of an older one has decayed to about a third."""
MAX_WEIGHT = 1e9
"""Weight of a new task at which all weights are scaled down."""
MIN_TAIL_TASKS = 0.5
"""Weight of the tasks that took longer, below which nothing is known of such long ones."""
DOUBTED_SHARE = 0.02
"""Progress at which it counts as much as the other tasks' durations: it is reported in whole
percents, and a task's first ones also hold its start-up."""

CERTAIN_SHARE = 0.2
"""Progress from which on the other tasks' durations add nothing."""


class TaskTimes:
    """Distribution of the durations of one queue's tasks, relative to the expected ones.

    A few tasks of a hundred take several times as long as the others, so a job with many tasks
    often has one. The mean says of such a task that it ends at once, however long it has run. The
    tasks that ran as long before say more, and the task's progress more still. Weights decay with
    each task, so that a change in the work takes effect within a surge.
    """

    def __init__(self) -> None:
        buckets = math.ceil(math.log2(MAX_RATIO / MIN_RATIO) * BUCKETS_PER_OCTAVE)
        self._weights = [0.0] * buckets
        self._next_weight = 1.0

    def observe(self, ratio: float) -> None:
        """Add a completed task.

        :param ratio: its duration divided by the expected one.
        """
        if ratio <= 0:
            return
        self._weights[self._bucket_of(ratio)] += self._next_weight
        self._next_weight *= 1 + 1 / WINDOW_TASKS
        if self._next_weight > MAX_WEIGHT:
            self._weights = [weight / self._next_weight for weight in self._weights]
            self._next_weight = 1.0

    def quantile(self, q: float) -> float:
        """Return the ratio that a share ``q`` of the tasks stays below; 1 without any task."""
        return _quantile_of(self._weights, 0.0, q)

    def remaining_ms(self, expected_ms: float, elapsed_ms: float, done_share: float) -> float:
        """Return the median of the time that a run still needs, in milliseconds.

        :param expected_ms: duration expected before its start.
        :param done_share: progress that it shows, from 0 to 1; 0 if none.
        """
        if done_share >= 1:
            return 0.0
        by_progress = elapsed_ms * (1 - done_share) / done_share if done_share > 0 else 0.0
        if by_progress and done_share >= CERTAIN_SHARE:
            return by_progress
        by_others = self._remaining_by_others(expected_ms, elapsed_ms)
        if not by_progress:
            return by_others
        trust = done_share / (done_share + DOUBTED_SHARE)
        return math.exp(
            trust * math.log(max(1.0, by_progress)) + (1 - trust) * math.log(max(1.0, by_others))
        )

    def _remaining_by_others(self, expected_ms: float, elapsed_ms: float) -> float:
        """Return the median time left of the tasks that took longer than ``elapsed_ms``."""
        if expected_ms <= 0:
            return 0.0
        elapsed = elapsed_ms / expected_ms
        weights = self._weights_above(elapsed)
        if sum(weights) < MIN_TAIL_TASKS * self._next_weight:
            # Tasks longer than all others may have any length: about as much again is as likely
            # as not.
            return max(elapsed_ms, expected_ms - elapsed_ms)
        return max(0.0, _quantile_of(weights, elapsed, 0.5) * expected_ms - elapsed_ms)

    def _weights_above(self, ratio: float) -> list[float]:
        """Return the weight of each bucket above ``ratio``, which may lie within a bucket."""
        if ratio <= MIN_RATIO:
            return self._weights
        bucket = self._bucket_of(ratio)
        share = min(1.0, math.log2(_lower_bound(bucket + 1) / ratio) * BUCKETS_PER_OCTAVE)
        inside = self._weights[bucket] * max(0.0, share)
        return [0.0] * bucket + [inside] + self._weights[bucket + 1 :]

    def _bucket_of(self, ratio: float) -> int:
        index = int(math.log2(max(ratio, MIN_RATIO) / MIN_RATIO) * BUCKETS_PER_OCTAVE)
        return min(len(self._weights) - 1, index)


def _quantile_of(weights: list[float], ratio: float, q: float) -> float:
    """Return a quantile of the ratios, all above ``ratio``, with these weights by bucket."""
    target = q * sum(weights)
    if not any(weights):
        return 1.0
    for index, weight in enumerate(weights):
        if weight and target <= weight:
            lower = max(ratio, _lower_bound(index))
            upper = _lower_bound(index + 1)
            return lower * (upper / lower) ** (target / weight)
        target -= weight
    return MAX_RATIO


def _lower_bound(bucket: int) -> float:
    return float(MIN_RATIO * 2.0 ** (bucket / BUCKETS_PER_OCTAVE))
