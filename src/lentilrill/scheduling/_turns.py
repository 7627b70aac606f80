"""Which queues have had their turn of high demand, and may do with fewer hosts until the next."""

from collections.abc import Collection

from lentilrill.ids import PoolId

__all__ = ["Turns"]

ENDED_S = 2.0
"""How long a pool's work must have been low before its turn counts as over: gaps between the jobs
of one turn are shorter."""


class Turns:
    """Follows demand that rises and falls by turns.

    Load pattern: each queue in its time asks several times its mean for some seconds, and almost
    nothing until all others have had theirs. Hosts that an idle pool keeps for the beginning of
    its turn wait in vain in pools that just had it. When all have had their turn, and when a pool
    has another one, everything begins anew; a pool that had no turn yet counts as due.
    """

    def __init__(self) -> None:
        self._low_since: dict[PoolId, float] = {}
        self._in_turn: set[PoolId] = set()
        self._had_turn: set[PoolId] = set()

    def note(self, pool: PoolId, *, is_high: bool, now: float) -> None:
        """Note whether a pool's work fills more than an idle pool keeps."""
        if is_high:
            self._low_since.pop(pool, None)
            self._in_turn.add(pool)
            if pool in self._had_turn:
                self._had_turn.clear()
            return
        since = self._low_since.setdefault(pool, now)
        if pool in self._in_turn and now - since >= ENDED_S:
            self._in_turn.discard(pool)
            self._had_turn.add(pool)

    def past(self, pools: Collection[PoolId]) -> set[PoolId]:
        """Return the pools that had their turn while others still wait for theirs."""
        return set() if self._had_turn >= set(pools) else set(self._had_turn)
