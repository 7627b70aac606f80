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

    :param need: hosts' worth of tasks that are at work or whose turn has come.
    :param hosts: hosts that are in the pool or on their way there.
    :param spare_s: seconds for which the pool has had more hosts than its work needs.
    :param free: its hosts on which nothing runs.
    :param late: its hosts on which only jobs run that can't be in time any more.
    """

    pool: PoolId
    need: float
    hosts: int
    spare_s: float = 0.0
    free: tuple["FreeHost", ...] = ()
    zones: tuple[ZoneId, ...] = ()
    late: tuple["FreeHost", ...] = ()


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


def kept_hosts(all_hosts: int, pools: int) -> int:
    """Return how many hosts an idle pool keeps, of ``all_hosts`` for ``pools`` and standby."""
    return max(FEWEST, math.ceil(KEPT_SHARE * all_hosts / (pools + 1)))


def target_hosts(need: float, kept: int) -> int:
    """Return how many hosts a pool should have for work that fills ``need`` hosts."""
    return max(kept, math.ceil(need * HEADROOM + MARGIN))


def plan_moves(
    needs: tuple[PoolNeed, ...], standby: PoolId, resting: tuple[FreeHost, ...]
) -> list[Move]:
    """Return the moves to begin now.

    Load pattern: queues surge by turns to several times what their pool can do, for some seconds,
    while the other pools are almost idle. Hosts go where tasks wait: from standby, else from
    pools that have more than they need, where also hosts are taken that only do late work. A host
    that has been too many for a while goes to standby, where it costs nothing.

    :param resting: hosts in standby.
    """
    targets = pool_targets(needs, resting)
    moves: list[Move] = []
    left = list(resting)
    free_by_pool = {need.pool: list(need.free) for need in needs}
    late_by_pool = {need.pool: list(need.late) for need in needs}
    hosts_by_pool = {need.pool: need.hosts for need in needs}
    zones_by_pool = {need.pool: list(need.zones) for need in needs}
    short = sorted(needs, key=lambda n: n.hosts - targets[n.pool])
    for need in short:
        while hosts_by_pool[need.pool] < targets[need.pool]:
            move = _take_from_standby(need.pool, left, standby, zones_by_pool[need.pool])
            for left_by_pool in (free_by_pool, late_by_pool):
                move = move or _take_from_pools(need.pool, targets, left_by_pool, hosts_by_pool)
            if move is None:
                break
            moves.append(move)
            hosts_by_pool[need.pool] += 1
            zones_by_pool[need.pool].append(move.host.zone)
    for need in needs:
        spare = hosts_by_pool[need.pool] - targets[need.pool]
        if need.spare_s < SETTLED_S:
            continue
        for host in _most_crowded_first(free_by_pool[need.pool], zones_by_pool[need.pool])[:spare]:
            moves.append(Move(host, need.pool, standby))
    return moves


def pool_targets(needs: tuple[PoolNeed, ...], resting: tuple[FreeHost, ...]) -> dict[PoolId, int]:
    """Return how many hosts each pool should have."""
    all_hosts = sum(need.hosts for need in needs) + len(resting)
    kept = kept_hosts(all_hosts, len(needs))
    return {need.pool: target_hosts(need.need, kept) for need in needs}


def _take_from_standby(
    pool: PoolId, left: list[FreeHost], standby: PoolId, zones: list[ZoneId]
) -> Move | None:
    if not left:
        return None
    host = min(left, key=lambda h: zones.count(h.zone))
    left.remove(host)
    return Move(host, standby, pool)


def _take_from_pools(
    pool: PoolId,
    targets: dict[PoolId, int],
    left_by_pool: dict[PoolId, list[FreeHost]],
    hosts_by_pool: dict[PoolId, int],
) -> Move | None:
    for source, left in left_by_pool.items():
        if source != pool and left and hosts_by_pool[source] > targets[source]:
            hosts_by_pool[source] -= 1
            return Move(left.pop(), source, pool)
    return None


def _most_crowded_first(free: list[FreeHost], zones: list[ZoneId]) -> list[FreeHost]:
    """Return free hosts so that those leave first in whose zone the pool has the most hosts."""
    return sorted(free, key=lambda host: -zones.count(host.zone))
