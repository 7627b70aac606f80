"""Target number of hosts for each pool, and the moves of hosts between pools."""

import math

import msgspec

from lentilrill.ids import EndpointId, HostId, PoolId, ZoneId

__all__ = [
    "MovableHost",
    "Move",
    "PoolNeed",
    "minimum_hosts",
    "plan_moves",
    "pool_targets",
    "target_hosts",
]

MIN_HOSTS = 2
"""Minimum hosts of a pool, in two availability zones if possible: one can fail at any time."""
MIN_HOSTS_SHARE = 0.6
"""Share that an idle pool keeps of an even split of all hosts. A surge doubles within two seconds,
and a moved host runs tasks only after two to three. A host costs about a fifteenth of the value of
its work, so too few hosts cost more than too many."""
HEADROOM_FACTOR = 1.15
"""Hosts for each host's worth of work: a surge grows by about a tenth during a move."""
HEADROOM_HOSTS = 0.3
"""Share of a host that each pool with work keeps free for new jobs."""
SURPLUS_DELAY_S = 2.5
"""Seconds for which a host must have been surplus before it leaves its pool. A move to standby and
back costs about as much as staying in the pool for this time, so waiting this long costs at most
twice the optimum."""


class PoolNeed(msgspec.Struct, frozen=True):
    """Demand and hosts of a pool, from its owner's report and the platform's list of hosts.

    :param need: hosts needed to finish current and forecast work by its deadlines.
    :param need_without_forecast: hosts needed for current work only.
    :param min_hosts: minimum hosts, independent of the work.
    :param hosts: hosts that are in the pool or moving there.
    :param recent_peak: highest target of the last :data:`SURPLUS_DELAY_S` seconds.
    :param below_min_s: seconds for which the pool has had fewer than its minimum hosts.
    :param free: its hosts without tasks.
    :param overdue: its hosts that run only overdue jobs.
    :param drainable: its hosts beyond its need whose tasks could continue on its other hosts.
    """

    pool: PoolId
    need: float
    hosts: int
    recent_peak: int = 0
    free: tuple["MovableHost", ...] = ()
    zones: tuple[ZoneId, ...] = ()
    overdue: tuple["MovableHost", ...] = ()
    need_without_forecast: float = math.inf
    min_hosts: int = MIN_HOSTS
    below_min_s: float = math.inf
    drainable: tuple["MovableHost", ...] = ()


class MovableHost(msgspec.Struct, frozen=True):
    """A host that can be moved."""

    id: HostId
    zone: ZoneId
    endpoint: EndpointId = EndpointId("")


class Move(msgspec.Struct, frozen=True):
    """A move of a host from pool ``source`` to pool ``target``."""

    host: MovableHost
    source: PoolId
    target: PoolId


def minimum_hosts(all_hosts: int, pools: int, *, surge_passed: bool = False) -> int:
    """Return the minimum hosts of an idle pool, of ``all_hosts`` shared by ``pools`` and standby.

    :param surge_passed: whether its surge has passed and other pools still expect theirs.
    """
    if surge_passed:
        return MIN_HOSTS
    return max(MIN_HOSTS, math.ceil(MIN_HOSTS_SHARE * all_hosts / (pools + 1)))


def target_hosts(need: float, min_hosts: int) -> int:
    """Return the target number of hosts for work that fills ``need`` hosts."""
    return max(min_hosts, math.ceil(need * HEADROOM_FACTOR + HEADROOM_HOSTS) if need else 0)


def plan_moves(
    needs: tuple[PoolNeed, ...], standby: PoolId, standby_hosts: tuple[MovableHost, ...]
) -> list[Move]:
    """Return the moves to start now.

    Queues surge in turn to several times the capacity of their pool for some seconds, while the
    other pools are almost idle. Hosts move to pools with waiting tasks: first from standby, then
    from pools with a surplus, including hosts that run only overdue work and hosts whose tasks fit
    on the pool's other hosts. A host that has been surplus for a while moves to standby, where it
    costs nothing.

    If several pools lack hosts, existing work goes before forecast work, and the pool with the
    smallest share of its target goes first. Otherwise the forecast from a single large job, which
    looks like the start of a surge, would take every host from a pool in a real surge.

    A pool that has work and no host at all also gets an idle pool's host below that pool's minimum,
    but never its last one: spare hosts of one pool must not leave the work of another undone.

    :param standby_hosts: hosts in standby.
    """
    targets = pool_targets(needs)
    plan = _MovePlan(needs, standby, standby_hosts)
    plan.fill_shortfalls(
        {n.pool: _immediate_target(n, min(n.need_without_forecast, n.need)) for n in needs}
    )
    plan.fill_shortfalls({n.pool: _immediate_target(n, n.need) for n in needs})
    plan.return_surplus(needs, targets)
    return plan.moves


def pool_targets(needs: tuple[PoolNeed, ...]) -> dict[PoolId, int]:
    """Return the target number of hosts of each pool."""
    return {need.pool: target_hosts(need.need, need.min_hosts) for need in needs}


def _immediate_target(need: PoolNeed, needed_hosts: float) -> int:
    """Return the number of hosts to provide now for work that fills ``needed_hosts`` hosts.

    The minimum applies only after the pool has been below it for a while. Hosts of a pool may start
    one after the other, or fail and return within seconds. If the pool were filled up from standby
    at once, it would soon have a surplus, and each added host would move twice for nothing.
    """
    return target_hosts(needed_hosts, need.min_hosts if need.below_min_s >= SURPLUS_DELAY_S else 0)


class _MovePlan:
    """Moves under construction, with the resulting state of each pool.

    :ivar moves: the moves chosen so far.
    """

    def __init__(
        self, needs: tuple[PoolNeed, ...], standby: PoolId, standby_hosts: tuple[MovableHost, ...]
    ) -> None:
        self.moves: list[Move] = []
        self._standby = standby
        self._standby_hosts = list(standby_hosts)
        self._free_by_pool = {need.pool: list(need.free) for need in needs}
        self._overdue_by_pool = {need.pool: list(need.overdue) for need in needs}
        self._drainable_by_pool = {need.pool: list(need.drainable) for need in needs}
        self._hosts_by_pool = {need.pool: need.hosts for need in needs}
        self._with_work = {need.pool for need in needs if need.need}
        self._min_hosts_by_pool = {need.pool: need.min_hosts for need in needs}
        self._zones_by_pool = {need.pool: list(need.zones) for need in needs}

    def fill_shortfalls(self, targets: dict[PoolId, int]) -> None:
        """Move hosts to pools below their target, one at a time."""
        unfilled: set[PoolId] = set()
        while short := [p for p in targets if p not in unfilled and self._is_short(p, targets)]:
            pool = min(short, key=lambda p: self._hosts_by_pool[p] / targets[p])
            move = self._take_from_standby(pool) or self._take_from_pools(pool, targets)
            if move is None and pool in self._with_work and not self._hosts_by_pool[pool]:
                move = self._take_spare(pool, targets)
            if move is None:
                unfilled.add(pool)
                continue
            self.moves.append(move)
            self._hosts_by_pool[pool] += 1
            self._zones_by_pool[pool].append(move.host.zone)

    def return_surplus(self, needs: tuple[PoolNeed, ...], targets: dict[PoolId, int]) -> None:
        """Move hosts to standby that have been surplus for a while.

        Only hosts above the recent peak of the target count: during a surge the need of a pool
        rises and falls from second to second, and it is likely to reach a recent level again.
        """
        for need in needs:
            retained = max(targets[need.pool], need.recent_peak)
            surplus = max(0, self._hosts_by_pool[need.pool] - retained)
            zones = self._zones_by_pool[need.pool]
            for host in _most_crowded_first(self._free_by_pool[need.pool], zones)[:surplus]:
                self.moves.append(Move(host, need.pool, self._standby))

    def _is_short(self, pool: PoolId, targets: dict[PoolId, int]) -> bool:
        return self._hosts_by_pool[pool] < targets[pool]

    def _take_from_standby(self, pool: PoolId) -> Move | None:
        if not self._standby_hosts:
            return None
        zones = self._zones_by_pool[pool]
        host = min(self._standby_hosts, key=lambda h: zones.count(h.zone))
        self._standby_hosts.remove(host)
        return Move(host, self._standby, pool)

    def _take_from_pools(self, pool: PoolId, targets: dict[PoolId, int]) -> Move | None:
        for candidates_by_pool, fluctuation in (
            (self._free_by_pool, 0.0),
            (self._overdue_by_pool, 0.0),
            (self._drainable_by_pool, 1.0),
        ):
            for source, candidates in candidates_by_pool.items():
                if (
                    source != pool
                    and candidates
                    and self._has_surplus(source, targets, fluctuation)
                ):
                    self._hosts_by_pool[source] -= 1
                    return Move(candidates.pop(0), source, pool)
        return None

    def _take_spare(self, pool: PoolId, targets: dict[PoolId, int]) -> Move | None:
        """Take a host without tasks from the pool with the most hosts beyond its work."""
        sources = [
            source
            for source, free in self._free_by_pool.items()
            if free and self._hosts_by_pool[source] > max(1, targets[source])
        ]
        if not sources:
            return None
        source = max(sources, key=lambda p: self._hosts_by_pool[p] - targets[p])
        self._hosts_by_pool[source] -= 1
        return Move(self._free_by_pool[source].pop(0), source, pool)

    def _has_surplus(self, pool: PoolId, targets: dict[PoolId, int], fluctuation: float) -> bool:
        """Return whether a pool has more hosts than its target and its minimum.

        As jobs arrive one by one, the need of a pool fluctuates by about the square root of its
        hosts. Hosts within that range are not a surplus for which tasks should be stopped.

        The minimum is checked separately because a target includes it only for a pool that has been
        below it for a while. Otherwise another pool's surge could take the minimum hosts, and the
        pool would enter its own surge with too few.

        :param fluctuation: factor on the square root of the hosts.
        """
        hosts = self._hosts_by_pool[pool]
        return hosts - fluctuation * math.sqrt(hosts) > max(
            targets[pool], self._min_hosts_by_pool[pool]
        )


def _most_crowded_first(free: list[MovableHost], zones: list[ZoneId]) -> list[MovableHost]:
    """Return free hosts sorted so that zones with the most hosts of the pool come first."""
    return sorted(free, key=lambda host: -zones.count(host.zone))
