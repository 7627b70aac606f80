"""How long tasks take, learned from those that ran."""

import math

__all__ = ["DurationModel"]

PRIOR_RUNS = 8.0
"""Weight of what is assumed before anything ran: some runs must speak against it."""
PRIOR_SLOPE = 0.5
"""Share of an estimate's deviation from the mean that is believed at first. Estimates are off by
factors of two, as are durations themselves."""
PRIOR_SPREAD = 0.5
"""Variance of the logarithm of estimates, assumed at first."""
MEMORY_RUNS = 400.0
"""Runs after which older ones have faded to a third, so that a change shows within a surge."""


class DurationModel:
    """Durations of one queue's tasks, as a line through logarithms of estimates and durations.

    Load pattern: callers' estimates are off by factors of two and more, so the order of jobs, what
    can still be in time, and the work that waits are all wrong by as much. What has run tells how
    far estimates of a queue can be believed.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._var_x = 0.0
        self._cov = 0.0

    def observe(self, estimate_ms: float, actual_ms: float) -> None:
        """Learn from a task that is done."""
        if estimate_ms <= 0 or actual_ms <= 0:
            return
        x, y = math.log(estimate_ms), math.log(actual_ms)
        self._runs = min(MEMORY_RUNS, self._runs + 1)
        share = 1.0 / self._runs
        dx, dy = x - self._mean_x, y - self._mean_y
        self._mean_x += dx * share
        self._mean_y += dy * share
        self._var_x += (dx * dx * (1 - share) - self._var_x) * share
        self._cov += (dx * dy * (1 - share) - self._cov) * share

    def expected_ms(self, estimate_ms: float) -> float:
        """Return how long a task with this estimate is expected to take."""
        if not self._runs or estimate_ms <= 0:
            return estimate_ms
        prior = PRIOR_RUNS * PRIOR_SPREAD
        slope = (self._cov * self._runs + PRIOR_SLOPE * prior) / (self._var_x * self._runs + prior)
        slope = min(1.0, max(0.0, slope))
        y = self._mean_y + slope * (math.log(estimate_ms) - self._mean_x)
        trust = self._runs / (self._runs + PRIOR_RUNS / 2)
        return math.exp(trust * y + (1 - trust) * math.log(estimate_ms))
