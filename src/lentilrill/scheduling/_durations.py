"""Prediction of task durations from completed tasks."""

import math

__all__ = ["DurationModel"]

PRIOR_RUNS = 8.0
"""Weight of the prior, in runs: several runs must contradict it before it loses its effect."""
PRIOR_SLOPE = 0.5
"""Slope of the prior: the share of an estimate's deviation from the mean that is trusted before any
run. Estimates vary by factors of two, and so do durations."""
PRIOR_VARIANCE = 0.5
"""Variance of the logarithm of estimates in the prior."""
WINDOW_RUNS = 400.0
"""Runs after which the weight of an older run has decayed to about a third, so that a change in
durations takes effect within a surge."""


class DurationModel:
    """Linear regression of log duration on log estimate for the tasks of one queue.

    Callers' estimates are off by factors of two and more, which would distort the order of jobs,
    the choice of jobs that can meet their deadline, and the size of the backlog by as much.
    Completed tasks show how reliable the estimates of a queue are.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._var_x = 0.0
        self._cov = 0.0

    def observe(self, estimate_ms: float, actual_ms: float) -> None:
        """Update the model with a completed task."""
        if estimate_ms <= 0 or actual_ms <= 0:
            return
        x, y = math.log(estimate_ms), math.log(actual_ms)
        self._runs = min(WINDOW_RUNS, self._runs + 1)
        weight = 1.0 / self._runs
        dx, dy = x - self._mean_x, y - self._mean_y
        self._mean_x += dx * weight
        self._mean_y += dy * weight
        self._var_x += (dx * dx * (1 - weight) - self._var_x) * weight
        self._cov += (dx * dy * (1 - weight) - self._cov) * weight

    def expected_ms(self, estimate_ms: float) -> float:
        """Return the expected duration of a task with this estimate."""
        if not self._runs or estimate_ms <= 0:
            return estimate_ms
        prior = PRIOR_RUNS * PRIOR_VARIANCE
        slope = (self._cov * self._runs + PRIOR_SLOPE * prior) / (self._var_x * self._runs + prior)
        slope = min(1.0, max(0.0, slope))
        y = self._mean_y + slope * (math.log(estimate_ms) - self._mean_x)
        weight = self._runs / (self._runs + PRIOR_RUNS / 2)
        return math.exp(weight * y + (1 - weight) * math.log(estimate_ms))
