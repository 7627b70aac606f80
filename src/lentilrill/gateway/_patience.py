"""How long an endpoint may stay silent before a repeatable job is tried elsewhere."""

from lentilrill.ids import PoolId

__all__ = ["RunTimes"]

DECAY = 0.98
FACTOR = 4.0
LEAST_S = 2.0


class RunTimes:
    """The longest run time of late of each pool's jobs, which fades with every shorter one.

    Guard against an endpoint that accepts and says nothing: the caller's own time would be spent
    on it alone. Silence for several times the longest run is taken for such an endpoint. A job
    that truly runs that long is cut off once only, since its second try has all the time left.
    """

    def __init__(self) -> None:
        self._longest_by_pool: dict[PoolId, float] = {}

    def note(self, pool: PoolId, run_s: float) -> None:
        """Take note of a whole answer."""
        longest = self._longest_by_pool.get(pool, 0.0)
        self._longest_by_pool[pool] = max(run_s, longest * DECAY)

    def patience_s(self, pool: PoolId) -> float | None:
        """Return the silence that is borne on a first try; ``None`` if nothing is known."""
        longest = self._longest_by_pool.get(pool)
        return None if longest is None else max(LEAST_S, FACTOR * longest)
