"""Adaptive timeout after which a repeatable job is retried on another host."""

from lentilrill.ids import PoolId

__all__ = ["ResponseTimes"]

DECAY = 0.98
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT_S = 2.0


class ResponseTimes:
    """The recent maximum run time of each pool's jobs, which decays with each shorter run.

    An endpoint that accepts a job and never answers would use up the caller's whole wait. An
    endpoint is assumed to be hung after several times the recent maximum. A job that really
    runs that long is interrupted only once, since its second attempt has no such timeout.
    """

    def __init__(self) -> None:
        self._recent_max_by_pool: dict[PoolId, float] = {}

    def record(self, pool: PoolId, run_s: float) -> None:
        """Record the run time of a job that was answered completely."""
        recent_max = self._recent_max_by_pool.get(pool, 0.0)
        self._recent_max_by_pool[pool] = max(run_s, recent_max * DECAY)

    def timeout_s(self, pool: PoolId) -> float | None:
        """Return the timeout of a first attempt; ``None`` if no run was recorded yet."""
        recent_max = self._recent_max_by_pool.get(pool)
        return None if recent_max is None else max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * recent_max)
