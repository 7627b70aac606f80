"""Measured run times of a pool's jobs, with bounded influence of outliers."""

from lentilrill.ids import PlanId

__all__ = ["RunTimes"]

DEFAULT_RUN_S = 0.2
MIN_RUN_S = 0.001
MAX_RUN_S = 600.0
OUTLIER_FACTOR = 8.0
SMOOTHING = 0.1


class RunTimes:
    """Exponential moving averages of run times, for each plan and for the whole pool.

    Only measured run times are used, since declared ones may be far off. Until a plan's first job
    has ended, the pool's average is used for it. A measurement is capped at eight times the
    average, so that one lost or hanging job does not make the pool refuse every job.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._mean_s_by_plan: dict[PlanId, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean run time over all plans."""
        return self._mean_s or DEFAULT_RUN_S

    def expected_s(self, plan: PlanId) -> float:
        """Return the expected run time of the plan's next job."""
        return self._mean_s_by_plan.get(plan) or self.mean_s

    def is_measured(self, plan: PlanId) -> bool:
        """Return whether a run time of ``plan`` has been measured."""
        return plan in self._mean_s_by_plan

    def add(self, plan: PlanId, run_s: float) -> None:
        """Add the run time of one job of ``plan`` to the averages."""
        run_s = min(max(run_s, MIN_RUN_S), MAX_RUN_S)
        self._mean_s = _updated_mean(self._mean_s, run_s)
        self._mean_s_by_plan[plan] = _updated_mean(self._mean_s_by_plan.get(plan, 0.0), run_s)

    def retain_plans(self, plans: set[PlanId]) -> None:
        """Remove all plans except ``plans``."""
        for plan in self._mean_s_by_plan.keys() - plans:
            del self._mean_s_by_plan[plan]


def _updated_mean(mean_s: float, run_s: float) -> float:
    if mean_s <= 0.0:
        return run_s
    return mean_s + SMOOTHING * (min(run_s, mean_s * OUTLIER_FACTOR) - mean_s)
