"""Moves of hosts between pools and standby as the demand changes."""

import time
from collections import Counter, deque
from collections.abc import Callable, Collection

from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, Revision
from lentilrill.inner import PoolPressure
from lentilrill.scheduling import (
    SURPLUS_DELAY_S,
    MovableHost,
    Move,
    PoolNeed,
    SurgeTracker,
    minimum_hosts,
    plan_moves,
    pool_targets,
    target_hosts,
)
from lentilrill.telemetry import Event, log
from lentilrill.upkeep._contract import HostCalls, HostOrderResult, HostRow, HostState
from lentilrill.upkeep._draining import ANSWER_VALID_S, EndpointDrainer
from lentilrill.upkeep._orders import HostOrders
from lentilrill.workloads import PoolEntry

__all__ = ["Mover"]

DRAIN_TIMEOUT_S = 3.0
"""Seconds after which a move is given up if its endpoint isn't free yet. Tasks of overdue jobs may
run on for 2.5 s of this time."""


class Mover:
    """Carries out the moves that :func:`~lentilrill.scheduling.plan_moves` returns.

    :param pools: returns the configured pools.
    :param pressure_of: returns the last report of a pool's owner; ``None`` if none is recent.
    :param on_fenced: called with a reason when a host reports a newer owner of the fleet.
    :param may_order: returns whether the ownership lease is still valid.
    :param orders: sends the orders of a round; shared with the waves.
    """

    def __init__(
        self,
        hosts: HostCalls,
        drainer: EndpointDrainer,
        process: ProcessId,
        token: Revision,
        pools: Callable[[], tuple[PoolEntry, ...]],
        pressure_of: Callable[[PoolId], PoolPressure | None],
        on_fenced: Callable[[str], None],
        may_order: Callable[[], bool],
        orders: HostOrders,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._hosts = hosts
        self._orders = orders
        self._clock = clock
        self._drainer = drainer
        self._process = process
        self._token = token
        self._pools = pools
        self._pressure_of = pressure_of
        self._on_fenced = on_fenced
        self._may_order = may_order
        self._recent_targets_by_pool: dict[PoolId, deque[tuple[float, int]]] = {}
        self._below_min_since: dict[PoolId, float] = {}
        self._min_hosts_by_short_pool: dict[PoolId, int] = {}
        self._started_by_host: dict[HostId, tuple[Move, float]] = {}
        self._unanswered: set[HostId] = set()
        """Hosts whose last order got no answer; it may still be carried out."""
        self._logged_target_by_pool: dict[PoolId, int] = {}
        self._surges = SurgeTracker()
        self._drain_requested_at = 0.0

    def run_round(
        self,
        rows: dict[HostId, HostRow],
        busy: set[HostId],
        short_pools: Collection[PoolId] = (),
    ) -> None:
        """Start new moves, and continue those that wait for their endpoint to be free.

        :param busy: hosts in use by a wave of upkeep.
        :param short_pools: pools that can't spare a host for a wave without another one.
        """
        self._note_short_pools(rows, short_pools)
        standby = [pool.id for pool in self._pools() if pool.standby]
        if not standby:
            return
        now = self._clock()
        unavailable = busy | set(self._started_by_host)
        active_pools = [pool.id for pool in self._pools() if not pool.standby]
        min_hosts_by_pool = self._min_hosts_by_pool(active_pools, rows, now)
        needs = tuple(
            need
            for pool in active_pools
            if (need := self._pool_need(pool, rows, unavailable, now, min_hosts_by_pool[pool]))
            is not None
        )
        standby_hosts = tuple(
            MovableHost(row.id, row.zone, row.endpoint)
            for row in rows.values()
            if row.pool in standby and row.state is HostState.UP and row.id not in unavailable
        )
        self._log_targets(needs, standby_hosts)
        for move in plan_moves(needs, standby[0], standby_hosts):
            self._started_by_host[move.host.id] = (move, now)
        self._drain_requested_at = self._clock()
        ready = [
            move
            for host, (move, started_at) in list(self._started_by_host.items())
            if self._is_ready(host, move, started_at, now, rows.get(host))
        ]
        for move, answer in self._orders.send(ready, self._send_order):
            self._on_order_answer(move, answer)

    def _log_targets(
        self, needs: tuple[PoolNeed, ...], standby_hosts: tuple[MovableHost, ...]
    ) -> None:
        targets = pool_targets(needs)
        for need in needs:
            target = targets[need.pool]
            if self._logged_target_by_pool.get(need.pool) != target:
                self._logged_target_by_pool[need.pool] = target
                log(
                    Event.POOL_SIZED,
                    pool=need.pool,
                    target=target,
                    hosts=need.hosts,
                    need=need.need,
                    firm=need.need_without_forecast,
                    kept=need.min_hosts,
                    free=len(need.free),
                    resting=len(standby_hosts),
                )

    def _min_hosts_by_pool(
        self, pools: list[PoolId], rows: dict[HostId, HostRow], now: float
    ) -> dict[PoolId, int]:
        """Return the minimum hosts of each pool.

        Hosts that are moving count too. Otherwise each host that leaves a pool would lower the
        minimum of the others, which would release hosts and get them back after its arrival.
        """
        all_hosts = sum(1 for row in rows.values() if row.state is not HostState.DOWN)
        self._record_surges(pools, minimum_hosts(all_hosts, len(pools)), now)
        passed = self._surges.passed(pools)
        return {
            pool: max(
                minimum_hosts(all_hosts, len(pools), surge_passed=pool in passed),
                self._min_hosts_by_short_pool.get(pool, 0),
            )
            for pool in pools
        }

    def _note_short_pools(
        self, rows: dict[HostId, HostRow], short_pools: Collection[PoolId]
    ) -> None:
        """Let each short pool have one more host than when it became short."""
        hosts_by_pool = Counter(
            row.pool for row in rows.values() if row.state is not HostState.DOWN
        )
        self._min_hosts_by_short_pool = {
            pool: self._min_hosts_by_short_pool.get(pool, hosts_by_pool[pool] + 1)
            for pool in short_pools
        }

    def _record_surges(self, pools: list[PoolId], min_hosts: int, now: float) -> None:
        for pool in pools:
            pressure = self._pressure_of(pool)
            if pressure is not None:
                self._surges.observe(pool, is_surging=pressure.firm > min_hosts, now=now)

    def _pool_need(
        self,
        pool: PoolId,
        rows: dict[HostId, HostRow],
        unavailable: set[HostId],
        now: float,
        min_hosts: int,
    ) -> PoolNeed | None:
        pressure = self._pressure_of(pool)
        if pressure is None:
            self._recent_targets_by_pool.pop(pool, None)
            self._below_min_since.pop(pool, None)
            return None
        moves = [move for move, _ in self._started_by_host.values()]
        # A host that is down, for seconds or permanently, runs no tasks. If it comes back, it is
        # surplus and can move to a pool that needs it.
        members = [
            row for row in rows.values() if row.pool == pool and row.state is not HostState.DOWN
        ]
        arriving = sum(1 for move in moves if move.target == pool)
        leaving = sum(1 for move in moves if move.source == pool)
        hosts = len(members) + arriving - leaving
        recent_peak = self._recent_peak(pool, target_hosts(pressure.need, 0), hosts, now)
        if hosts >= min_hosts:
            self._below_min_since.pop(pool, None)
        below_min_since = self._below_min_since.setdefault(pool, now)
        available = [
            row for row in members if row.state is HostState.UP and row.id not in unavailable
        ]
        free = _hosts_of(available, pressure.idle)
        overdue = _hosts_of(available, pressure.late)
        zones = tuple(row.zone for row in members)
        return PoolNeed(
            pool,
            pressure.need,
            hosts,
            recent_peak,
            free,
            zones,
            overdue,
            pressure.firm,
            min_hosts,
            now - below_min_since,
            _hosts_of(available, pressure.light),
        )

    def _recent_peak(self, pool: PoolId, target: int, hosts: int, now: float) -> int:
        """Return the highest target of a pool in the last :data:`SURPLUS_DELAY_S` seconds.

        A pool that has been tracked for a shorter time may have needed all of its hosts.
        """
        targets = self._recent_targets_by_pool.setdefault(pool, deque([(now, hosts)]))
        targets.append((now, target))
        while now - targets[0][0] > SURPLUS_DELAY_S:
            targets.popleft()
        return max(value for _, value in targets)

    def _is_ready(
        self,
        host: HostId,
        move: Move,
        started_at: float,
        now: float,
        row: HostRow | None,
    ) -> bool:
        """Return whether the order for a move can be sent now; drop a move that can't complete."""
        if row is None or row.pool != move.source or row.state is not HostState.UP:
            self._drop(host)
            return False
        if self._is_in_standby(move):
            return True
        answer = self._drainer.request_drain(move.source, move.host.endpoint)
        is_overdue = now - started_at > DRAIN_TIMEOUT_S
        if not answer.is_free and is_overdue and host not in self._unanswered:
            log(Event.HOST_WAITS, host=host, reason=answer.reason, given_up=True)
            self._drop(host)
        return answer.is_free

    def _drop(self, host: HostId) -> None:
        del self._started_by_host[host]
        self._unanswered.discard(host)

    def _is_in_standby(self, move: Move) -> bool:
        return any(pool.standby and pool.id == move.source for pool in self._pools())

    def _send_order(self, move: Move) -> HostOrderResult | None:
        # On a slow entry host a round takes long: the lease may have ended since it began.
        if not self._may_order():
            return None
        answer_age_s = self._clock() - self._drain_requested_at
        if answer_age_s > ANSWER_VALID_S and not self._is_in_standby(move):
            return None
        return self._hosts.move(move.host.id, move.target, self._process, int(self._token))

    def _on_order_answer(self, move: Move, answer: HostOrderResult) -> None:
        host = move.host.id
        log(
            Event.HOST_ORDERED,
            host=host,
            source=move.source,
            target=move.target,
            answer=answer.value,
            drain_age_s=round(self._clock() - self._drain_requested_at, 2),
        )
        if answer is HostOrderResult.FENCED:
            self._on_fenced(f"host {host} has accepted a newer owner of the fleet")
        if answer is HostOrderResult.UNKNOWN:
            self._unanswered.add(host)
        elif answer is not HostOrderResult.LATER:
            self._drop(host)


def _hosts_of(rows: list[HostRow], endpoints: tuple[EndpointId, ...]) -> tuple[MovableHost, ...]:
    """Return the hosts of ``endpoints``, in the same order."""
    row_by_endpoint = {row.endpoint: row for row in rows}
    found = [row_by_endpoint[endpoint] for endpoint in endpoints if endpoint in row_by_endpoint]
    return tuple(MovableHost(row.id, row.zone, row.endpoint) for row in found)
