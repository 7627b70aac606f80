"""Assignment of hosts to pools: first assignments, loans, and the return of surplus hosts."""

from collections import Counter
from collections.abc import Iterator

from lentilrill.fleet._actions import Action, Assign, Withdraw
from lentilrill.fleet._fleet_state import FleetState, fits
from lentilrill.fleet._pool_state import PoolState
from lentilrill.fleet._records import HostEntry
from lentilrill.ids import HostId, RackId, ZoneId
from lentilrill.settings import Objective
from lentilrill.store import HostInfo, HostState

__all__ = ["assignments", "loans", "shortage_delay_s"]

MOVES_PER_LOAN = 2.0
"""A loaned host moves to the borrower and back."""
COVERED_DELAY_FACTOR = 10.0
"""Factor on the delay for a shortage within the budget, since restarts take some minutes."""
MAX_DELAY_FACTOR = 100.0
"""Upper limit of the delay for a shortage, in multiples of :attr:`Objective.settle_s`."""

PlacementCounts = Counter[tuple[ZoneId, RackId | None]]


def assignments(fleet: FleetState) -> Iterator[Action]:
    """Yield the first assignment of each listed host that is in no pool record.

    Pools with the largest required host size choose first and get the smallest hosts that fit,
    so that no large host is used where a small one is enough.
    """
    unassigned = _sort_for_placement(_unassigned_hosts(fleet))
    if not unassigned:
        return
    pools = [s for s in fleet.states_by_pool.values() if s.settings is not None]
    placements = {pool_state.pool: _placement_counts(pool_state) for pool_state in pools}
    for size in sorted({_required_size(pool_state) for pool_state in pools}, reverse=True):
        group = [pool_state for pool_state in pools if _required_size(pool_state) == size]
        unplaced = []
        for info in unassigned:
            pool_state = _best_short_pool(group, info, placements)
            if pool_state is None:
                unplaced.append(info)
                continue
            pool_state.retained += 1
            _count_placement(placements[pool_state.pool], info.zone, info.rack)
            yield Assign(info.id, pool_state.pool, info, "new host for a pool below its owed hosts")
        unassigned = unplaced
    for info in unassigned:
        fitting = [s for s in pools if s.settings is not None and fits(s.settings, info)]
        spares = [s for s in fitting if s.spare] or fitting
        pool_state = min(spares, key=lambda s: (s.retained - s.target_size, s.pool), default=None)
        if pool_state is not None:
            pool_state.retained += 1
            yield Assign(info.id, pool_state.pool, info, "new host beyond the owed hosts")


def loans(fleet: FleetState) -> Iterator[Action]:
    """Yield the withdrawals that end shortages, then those that return surplus hosts."""
    objective = fleet.snapshot.document.objective
    history, now = fleet.history, fleet.snapshot.now
    pool_states = [s for s in fleet.states_by_pool.values() if s.settings is not None]
    for pool_state in sorted(
        pool_states, key=lambda s: (not s.is_overspent, [-d for d in _required_size(s)], s.pool)
    ):
        lasted_s = history.held_for_s(
            history.short_since, pool_state.pool, pool_state.missing > 0, now
        )
        if pool_state.missing > 0 and lasted_s >= shortage_delay_s(objective, pool_state):
            yield from _borrow(fleet, pool_state)
    spares = [s for s in pool_states if s.spare]
    for pool_state in fleet.states_by_pool.values():
        excess = pool_state.missing < 0 and not pool_state.spare
        lasted_s = history.held_for_s(history.excess_since, pool_state.pool, excess, now)
        is_worthwhile = (
            objective.buffer_weight > objective.move_weight or pool_state.settings is None
        )
        if excess and is_worthwhile and lasted_s >= objective.settle_s and spares:
            yield from _return_surplus(pool_state, spares)


def shortage_delay_s(objective: Objective, pool_state: PoolState) -> float:
    """Return the seconds for which a shortage must last before a host is moved.

    A surge or a flapping host list lasts seconds, so no host moves within ``settle_s``. A
    shortage that the availability budget covers may end without a move, so the delay grows with
    the weight of a move there and back. Planned stops that need an extra host get only the
    minimum delay, since they are blocked until the host arrives.
    """
    for_stops = pool_state.retained + pool_state.incoming >= pool_state.commitment.owed
    if pool_state.is_overspent or for_stops or not objective.buffer_weight:
        return objective.settle_s
    factor = COVERED_DELAY_FACTOR * MOVES_PER_LOAN * objective.move_weight / objective.buffer_weight
    return objective.settle_s * min(max(1.0, factor), MAX_DELAY_FACTOR)


def _required_size(pool_state: PoolState) -> tuple[int, int, int]:
    settings = pool_state.settings
    if settings is None:
        return (0, 0, 0)
    return (settings.accelerators, settings.memory_gb, settings.cores)


def _unassigned_hosts(fleet: FleetState) -> list[HostInfo]:
    return [
        info
        for info in fleet.infos_by_id.values()
        if info.id not in fleet.state_by_host
        and info.state is HostState.LIVE
        and not any(stop.retire for stop in fleet.stops_by_host.get(info.id, ()))
    ]


def _sort_for_placement(infos: list[HostInfo]) -> list[HostInfo]:
    """Return hosts sorted by size, with consecutive hosts spread over zones and racks."""
    hosts_of_rack: Counter[tuple[ZoneId, RackId]] = Counter()
    racks_of_zone: Counter[ZoneId] = Counter()
    rack_numbers: dict[tuple[ZoneId, RackId], int] = {}
    position_by_host: dict[HostId, tuple[int, int]] = {}
    for info in sorted(infos, key=lambda i: i.id):
        rack = (info.zone, info.rack)
        if rack not in rack_numbers:
            rack_numbers[rack] = racks_of_zone[info.zone]
            racks_of_zone[info.zone] += 1
        position_by_host[info.id] = (hosts_of_rack[rack], rack_numbers[rack])
        hosts_of_rack[rack] += 1
    return sorted(
        infos,
        key=lambda i: (i.accelerators, i.memory_gb, i.cores, *position_by_host[i.id], i.zone, i.id),
    )


def _best_short_pool(group: list[PoolState], info: HostInfo, placements: dict) -> PoolState | None:
    """Return the pool with a shortage that has the fewest hosts near this one, if any."""
    short = [s for s in group if s.missing > 0 and s.settings and fits(s.settings, info)]
    return min(
        short,
        key=lambda s: (
            *_hosts_nearby(placements[s.pool], info.zone, info.rack),
            -s.missing,
            s.pool,
        ),
        default=None,
    )


def _borrow(fleet: FleetState, borrower: PoolState) -> Iterator[Action]:
    placement = _placement_counts(borrower)
    while borrower.missing > 0:
        loan = _best_loan(fleet, borrower, placement)
        if loan is None:
            return
        lender, entry = loan
        lender.count_withdrawal(entry.id, returns=False)
        borrower.incoming += 1
        _count_placement(placement, entry.zone, entry.rack)
        yield Withdraw(
            entry.id, lender.pool, f"pool {borrower.pool} lacks hosts", target=borrower.pool
        )


def _best_loan(
    fleet: FleetState, borrower: PoolState, placement: PlacementCounts
) -> tuple[PoolState, HostEntry] | None:
    """Return the host with the lowest cost of a loan, and its pool."""
    candidates = []
    for lender in fleet.states_by_pool.values():
        rank = _lender_rank(fleet.snapshot.document.objective, lender, borrower)
        if rank is None or lender is borrower or borrower.settings is None:
            continue
        for host, entry in lender.entries_by_id.items():
            if not lender.is_available(host) or host in lender.recalled:
                continue
            if not fits(borrower.settings, entry):
                continue
            if lender.slack(entry.zone) <= 0 or fleet.pending_stop(entry) is not None:
                continue
            size = (entry.accelerators, entry.memory_gb, entry.cores)
            nearby = _hosts_nearby(placement, entry.zone, entry.rack)
            candidates.append(((rank, lender.missing, *nearby, size, host), lender, entry))
    if not candidates:
        return None
    _, lender, entry = min(candidates, key=lambda candidate: candidate[0])
    return lender, entry


def _lender_rank(objective: Objective, lender: PoolState, borrower: PoolState) -> int | None:
    """Return the rank of a pool among the lenders, lowest first; ``None`` if it can't lend.

    Pools that the document no longer declares lend first. If the buffer weighs more, surplus
    hosts of other pools are lent before those of the spare pool. If moves weigh more, they are
    kept while the spare pool has a surplus, since a surplus host covers the next failure in its
    pool without a move. The spare pool lends its surplus to any borrower, and further hosts, as
    far as its budget allows, to a borrower whose own budget is overspent.
    """
    if lender.settings is None:
        return 0
    if lender.missing < 0:
        return 1 if lender.spare == (objective.move_weight >= objective.buffer_weight) else 2
    return 3 if lender.spare and borrower.is_overspent else None


def _return_surplus(pool_state: PoolState, spares: list[PoolState]) -> Iterator[Action]:
    surplus = -pool_state.missing
    placement = _placement_counts(pool_state)
    hosts = [
        e
        for h, e in pool_state.entries_by_id.items()
        if pool_state.is_available(h) and h not in pool_state.recalled
    ]
    for entry in sorted(
        hosts, key=lambda e: (-placement[(e.zone, e.rack)], -placement[(e.zone, None)])
    ):
        if surplus <= 0:
            return
        if pool_state.slack(entry.zone) <= 0 and pool_state.settings is not None:
            continue
        target = next((s for s in spares if s.settings and fits(s.settings, entry)), None)
        if target is None:
            continue
        surplus -= 1
        pool_state.count_withdrawal(entry.id, returns=False)
        target.incoming += 1
        yield Withdraw(
            entry.id, pool_state.pool, "surplus above the hosts owed", target=target.pool
        )


def _placement_counts(pool_state: PoolState) -> PlacementCounts:
    placement: PlacementCounts = Counter()
    for entry in pool_state.entries_by_id.values():
        _count_placement(placement, entry.zone, entry.rack)
    return placement


def _count_placement(placement: PlacementCounts, zone: ZoneId, rack: RackId) -> None:
    placement[(zone, None)] += 1
    placement[(zone, rack)] += 1


def _hosts_nearby(placement: PlacementCounts, zone: ZoneId, rack: RackId) -> tuple[int, int]:
    """Return the numbers of hosts of the pool in this zone and in this rack."""
    return placement[(zone, None)], placement[(zone, rack)]
