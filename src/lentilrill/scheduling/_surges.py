"""Tracking of surges that pass from pool to pool; a pool keeps fewer hosts after its surge."""

from collections.abc import Collection

from lentilrill.ids import PoolId

__all__ = ["SurgeTracker"]

SURGE_END_S = 2.0
"""Seconds of low demand after which a surge counts as over; gaps between the jobs of one surge are
shorter."""


class SurgeTracker:
    """Tracks which pools have had their surge in the current cycle.

    Each queue in turn has several times its mean demand for some seconds, and almost none until all
    others have had their surge. Hosts that an idle pool keeps for the start of its next surge are
    wasted in a pool whose surge has just passed. A new cycle begins when all pools have had their
    surge or when one pool has a second one. A pool without a surge in this cycle is expected to
    have one.
    """

    def __init__(self) -> None:
        self._low_since: dict[PoolId, float] = {}
        self._surging: set[PoolId] = set()
        self._passed: set[PoolId] = set()

    def observe(self, pool: PoolId, *, is_surging: bool, now: float) -> None:
        """Record whether the demand of a pool exceeds the hosts that it keeps while idle."""
        if is_surging:
            self._low_since.pop(pool, None)
            self._surging.add(pool)
            if pool in self._passed:
                self._passed.clear()
            return
        since = self._low_since.setdefault(pool, now)
        if pool in self._surging and now - since >= SURGE_END_S:
            self._surging.discard(pool)
            self._passed.add(pool)

    def passed(self, pools: Collection[PoolId]) -> set[PoolId]:
        """Return the pools whose surge has passed; empty once all ``pools`` have had one."""
        return set() if self._passed >= set(pools) else set(self._passed)
