"""How many hosts each pool should have, and which hosts move."""

import math

import msgspec

from lentilrill.ids import EndpointId, HostId, PoolId, ZoneId

__all__ = [
    "FreeHost",
    "Move",
    "PoolNeed",
    "kept_hosts",
    "plan_moves",
    "pool_targets",
    "target_hosts",
]

FEWEST = 2
"""Hosts that a pool keeps at least, in two zones where it can: one may be lost at any moment."""
KEPT_SHARE = 0.6
"""Share of an even part of all hosts that an idle pool keeps: a surge doubles within two seconds,
and a host that is moved serves after two to three. A host costs its pool about a fifteenth of what
its work is worth, so too few cost more than too many."""
HEADROOM = 1.15
"""Hosts for each host's worth of work: a surge grows by about a tenth while a move is under way."""
MARGIN = 0.3
"""Share of a host that is kept free in any pool, for what comes next."""
SETTLED_S = 2.5
"""How long a host must have been too many before it leaves its pool. A move there and back costs
about as much as this time in a pool, so waiting as long never costs more than twice the best."""


class PoolNeed(msgspec.Struct, frozen=True):
    """What a pool's owner says, and what the list of hosts shows.

    :param need: hosts that its work needs to be done when it is due, also what is forecast.
    :param firm: the same without the forecast.
    :param kept: hosts that it keeps whatever its work needs.
    :param hosts: hosts that are in the pool or on their way there.
    :param lately: most hosts that it should have had at any moment of the last seconds.
    :param short_s: seconds for which it has had fewer hosts than it keeps.
    :param free: its hosts on which nothing runs.
    :param late: its hosts on which only jobs run that can't be in time any more.
    :param light: its hosts beyond its need whose tasks could go on elsewhere in the pool.
    """

    pool: PoolId
    need: float
    hosts: int
    lately: int = 0
    free: tuple["FreeHost", ...] = ()
    zones: tuple[ZoneId, ...] = ()
    late: tuple["FreeHost", ...] = ()
    firm: float = math.inf
    kept: int = FEWEST
    short_s: float = math.inf
    light: tuple["FreeHost", ...] = ()


class FreeHost(msgspec.Struct, frozen=True):
    """A host that may move at once."""

    host: HostId
    zone: ZoneId
    endpoint: EndpointId = EndpointId("")


class Move(msgspec.Struct, frozen=True):
    """A host that is to leave ``source`` for ``target``."""

    host: FreeHost
    source: PoolId
    target: PoolId


def kept_hosts(all_hosts: int, pools: int, *, had_turn: bool = False) -> int:
    """Return how many hosts an idle pool keeps, of ``all_hosts`` for ``pools`` and standby.

    :param had_turn: its surge is over, and other pools wait for theirs.
    """
    if had_turn:
        return FEWEST
    return max(FEWEST, math.ceil(KEPT_SHARE * all_hosts / (pools + 1)))


def target_hosts(need: float, kept: int) -> int:
    """Return how many hosts a pool should have for work that fills ``need`` hosts."""
    return max(kept, math.ceil(need * HEADROOM + MARGIN) if need else 0)


def plan_moves(
    needs: tuple[PoolNeed, ...], standby: PoolId, resting: tuple[FreeHost, ...]
) -> list[Move]:
    """Return the moves to begin now.

    Load pattern: queues surge by turns to several times what their pool can do, for some seconds,
    while the other pools are almost idle. Hosts go where tasks wait: from standby, else from
    pools that have more than they need, where also hosts are taken that only do late work, or whose
    tasks have room on the pool's other hosts. A host that has been too many for a while goes to
    standby, where it costs nothing.

    Where two pools lack hosts at once, work that is there goes before work that is forecast, and
    the pool that has the smallest part of what it should have goes first: one large job shows as
    a surge that it is not, and would take every host from a pool that is in its surge.

    :param resting: hosts in standby.
    """
    targets = pool_targets(needs)
    plan = _Plan(needs, standby, resting)
    plan.share_out({n.pool: _wanted(n, min(n.firm, n.need)) for n in needs})
    plan.share_out({n.pool: _wanted(n, n.need) for n in needs})
    plan.send_home(needs, targets)
    return plan.moves


def pool_targets(needs: tuple[PoolNeed, ...]) -> dict[PoolId, int]:
    """Return how many hosts each pool should have."""
    return {need.pool: target_hosts(need.need, need.kept) for need in needs}


def _wanted(need: PoolNeed, hosts_worth: float) -> int:
    """Return how many hosts a pool is given now.

    Load pattern: hosts come up one after the other, or fail and are back within seconds, in a
    pool that has no work for them. Filled up at once from standby, it has too many soon after, and
    each host has moved twice for nothing.
    """
    return target_hosts(hosts_worth, need.kept if need.short_s >= SETTLED_S else 0)


class _Plan:
    """Moves as they are decided on, and where that leaves each pool.

    :ivar moves: the moves so far.
    """

    def __init__(
        self, needs: tuple[PoolNeed, ...], standby: PoolId, resting: tuple[FreeHost, ...]
    ) -> None:
        self.moves: list[Move] = []
        self._standby = standby
        self._resting = list(resting)
        self._free_by_pool = {need.pool: list(need.free) for need in needs}
        self._late_by_pool = {need.pool: list(need.late) for need in needs}
        self._light_by_pool = {need.pool: list(need.light) for need in needs}
        self._hosts_by_pool = {need.pool: need.hosts for need in needs}
        self._kept_by_pool = {need.pool: need.kept for need in needs}
        self._zones_by_pool = {need.pool: list(need.zones) for need in needs}

    def share_out(self, targets: dict[PoolId, int]) -> None:
        """Give hosts to pools that lack some, one at a time."""
        stuck: set[PoolId] = set()
        while short := [p for p in targets if p not in stuck and self._lacks(p, targets)]:
            pool = min(short, key=lambda p: self._hosts_by_pool[p] / targets[p])
            move = self._from_standby(pool) or self._from_pools(pool, targets)
            if move is None:
                stuck.add(pool)
                continue
            self.moves.append(move)
            self._hosts_by_pool[pool] += 1
            self._zones_by_pool[pool].append(move.host.zone)

    def send_home(self, needs: tuple[PoolNeed, ...], targets: dict[PoolId, int]) -> None:
        """Send hosts to standby that have been too many for a while.

        Each host counts by itself: in a surge a pool's need rises and falls from second to second,
        and what it needed a moment ago it is likely to need again.
        """
        for need in needs:
            wanted = max(targets[need.pool], need.lately)
            spare = max(0, self._hosts_by_pool[need.pool] - wanted)
            zones = self._zones_by_pool[need.pool]
            for host in _most_crowded_first(self._free_by_pool[need.pool], zones)[:spare]:
                self.moves.append(Move(host, need.pool, self._standby))

    def _lacks(self, pool: PoolId, targets: dict[PoolId, int]) -> bool:
        return self._hosts_by_pool[pool] < targets[pool]

    def _from_standby(self, pool: PoolId) -> Move | None:
        if not self._resting:
            return None
        zones = self._zones_by_pool[pool]
        host = min(self._resting, key=lambda h: zones.count(h.zone))
        self._resting.remove(host)
        return Move(host, self._standby, pool)

    def _from_pools(self, pool: PoolId, targets: dict[PoolId, int]) -> Move | None:
        for left_by_pool, swing in (
            (self._free_by_pool, 0.0),
            (self._late_by_pool, 0.0),
            (self._light_by_pool, 1.0),
        ):
            for source, left in left_by_pool.items():
                if source != pool and left and self._has_spare(source, targets, swing):
                    self._hosts_by_pool[source] -= 1
                    return Move(left.pop(0), source, pool)
        return None

    def _has_spare(self, pool: PoolId, targets: dict[PoolId, int], swing: float) -> bool:
        """Return whether a pool has more hosts than it should have and than it keeps.

        The need of a pool swings by about the root of its hosts, as jobs come one by one. What is
        within that is no surplus for which tasks should be stopped.

        Guard against a pool that goes into its surge with few hosts: an earlier surge asks for
        all there are, and a pool that has its share gets no target for being idle.
        """
        hosts = self._hosts_by_pool[pool]
        return hosts - swing * math.sqrt(hosts) > max(targets[pool], self._kept_by_pool[pool])


def _most_crowded_first(free: list[FreeHost], zones: list[ZoneId]) -> list[FreeHost]:
    """Return free hosts so that those leave first in whose zone the pool has the most hosts."""
    return sorted(free, key=lambda host: -zones.count(host.zone))
