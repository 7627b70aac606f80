"""Adaptive timeout after which a repeatable job is retried on another host."""

from lentilrill.ids import PoolId

__all__ = ["RunTimes"]

DECAY = 0.98
FACTOR = 4.0
LEAST_S = 2.0


class RunTimes:
    """The recent maximum run time of each pool's jobs, which decays with each shorter run.

    An endpoint that accepts a job and never answers would use up the caller's whole wait. An
    endpoint is assumed to be hung after several times the recent maximum. A job that really
    runs that long is interrupted only once, since its second attempt has no such timeout.
    """

    def __init__(self) -> None:
        self._longest_by_pool: dict[PoolId, float] = {}

    def note(self, pool: PoolId, run_s: float) -> None:
        """Record the run time of a job that was answered completely."""
        longest = self._longest_by_pool.get(pool, 0.0)
        self._longest_by_pool[pool] = max(run_s, longest * DECAY)

    def patience_s(self, pool: PoolId) -> float | None:
        """Return the timeout of a first attempt; ``None`` if no run was recorded yet."""
        longest = self._longest_by_pool.get(pool)
        return None if longest is None else max(LEAST_S, FACTOR * longest)
