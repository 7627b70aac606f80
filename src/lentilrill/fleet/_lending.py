"""Assignment of hosts to pools: first assignments, loans, and the return of surplus hosts."""

from collections import Counter
from collections.abc import Iterator

from lentilrill.fleet._actions import Action, Assign, Withdraw
from lentilrill.fleet._census import Census, fits
from lentilrill.fleet._records import HostEntry
from lentilrill.fleet._tally import Tally
from lentilrill.ids import HostId, RackId, ZoneId
from lentilrill.settings import Objective
from lentilrill.store import HostInfo, HostState

__all__ = ["assignments", "loans", "patience_s"]

ROUND_TRIP = 2.0
"""A loaned host moves to the borrower and back."""
COVERED_PATIENCE = 10.0
"""Factor on the delay for a shortage within the budget, since restarts take some minutes."""
PATIENCE_LIMIT = 100.0
"""Upper limit of the delay for a shortage, in multiples of :attr:`Objective.settle_s`."""

Crowd = Counter[tuple[ZoneId, RackId | None]]


def assignments(census: Census) -> Iterator[Action]:
    """Yield the first assignment of each listed host that is in no pool record.

    Pools with the largest required host size choose first and get the smallest hosts that fit,
    so that no large host is used where a small one is enough.
    """
    left = _spread_out(_fresh(census))
    if not left:
        return
    pools = [t for t in census.tallies_by_pool.values() if t.settings is not None]
    crowds = {tally.pool: _crowd(tally) for tally in pools}
    for demand in sorted({_demand(tally) for tally in pools}, reverse=True):
        group = [tally for tally in pools if _demand(tally) == demand]
        rest = []
        for info in left:
            tally = _shortest(group, info, crowds)
            if tally is None:
                rest.append(info)
                continue
            tally.lasting += 1
            _settle_in(crowds[tally.pool], info.zone, info.rack)
            yield Assign(info.id, tally.pool, info, "new host for a pool below its owed hosts")
        left = rest
    for info in left:
        fitting = [t for t in pools if t.settings is not None and fits(t.settings, info)]
        spares = [t for t in fitting if t.spare] or fitting
        tally = min(spares, key=lambda t: (t.lasting - t.want, t.pool), default=None)
        if tally is not None:
            tally.lasting += 1
            yield Assign(info.id, tally.pool, info, "new host beyond the owed hosts")


def loans(census: Census) -> Iterator[Action]:
    """Yield the withdrawals that end shortages, then those that return surplus hosts."""
    objective = census.sight.document.objective
    memory, now = census.memory, census.sight.now
    tallies = [t for t in census.tallies_by_pool.values() if t.settings is not None]
    for tally in sorted(tallies, key=lambda t: (not t.broken, [-d for d in _demand(t)], t.pool)):
        lasted = memory.keep(memory.short_since, tally.pool, tally.missing > 0, now)
        if tally.missing > 0 and lasted >= patience_s(objective, tally):
            yield from _borrow(census, tally)
    spares = [t for t in tallies if t.spare]
    for tally in census.tallies_by_pool.values():
        excess = tally.missing < 0 and not tally.spare
        lasted = memory.keep(memory.excess_since, tally.pool, excess, now)
        pays = objective.buffer_weight > objective.move_weight or tally.settings is None
        if excess and pays and lasted >= objective.settle_s and spares:
            yield from _hand_over(tally, spares)


def patience_s(objective: Objective, tally: Tally) -> float:
    """Return the seconds for which a shortage must last before a host is moved.

    A surge or a flapping host list lasts seconds, so no host moves within ``settle_s``. A
    shortage that the availability budget covers may end without a move, so the delay grows with
    the weight of a move there and back. Planned stops that need an extra host get only the
    minimum delay, since they are blocked until the host arrives.
    """
    for_stops = tally.lasting + tally.incoming >= tally.promise.owed
    if tally.broken or for_stops or not objective.buffer_weight:
        return objective.settle_s
    weight = COVERED_PATIENCE * ROUND_TRIP * objective.move_weight / objective.buffer_weight
    return objective.settle_s * min(max(1.0, weight), PATIENCE_LIMIT)


def _demand(tally: Tally) -> tuple[int, int, int]:
    settings = tally.settings
    if settings is None:
        return (0, 0, 0)
    return (settings.accelerators, settings.memory_gb, settings.cores)


def _fresh(census: Census) -> list[HostInfo]:
    return [
        info
        for info in census.infos_by_id.values()
        if info.id not in census.tally_by_host
        and info.state is HostState.LIVE
        and not any(stop.retire for stop in census.stops_by_host.get(info.id, ()))
    ]


def _spread_out(infos: list[HostInfo]) -> list[HostInfo]:
    """Return hosts sorted by size, with consecutive hosts spread over zones and racks."""
    hosts_of_rack: Counter[tuple[ZoneId, RackId]] = Counter()
    racks_of_zone: Counter[ZoneId] = Counter()
    rack_numbers: dict[tuple[ZoneId, RackId], int] = {}
    turns: dict[HostId, tuple[int, int]] = {}
    for info in sorted(infos, key=lambda i: i.id):
        rack = (info.zone, info.rack)
        if rack not in rack_numbers:
            rack_numbers[rack] = racks_of_zone[info.zone]
            racks_of_zone[info.zone] += 1
        turns[info.id] = (hosts_of_rack[rack], rack_numbers[rack])
        hosts_of_rack[rack] += 1
    return sorted(
        infos, key=lambda i: (i.accelerators, i.memory_gb, i.cores, *turns[i.id], i.zone, i.id)
    )


def _shortest(group: list[Tally], info: HostInfo, crowds: dict) -> Tally | None:
    """Return the pool with a shortage that has the fewest hosts near this one, if any."""
    short = [t for t in group if t.missing > 0 and t.settings and fits(t.settings, info)]
    return min(
        short,
        key=lambda t: (*_crowding(crowds[t.pool], info.zone, info.rack), -t.missing, t.pool),
        default=None,
    )


def _borrow(census: Census, borrower: Tally) -> Iterator[Action]:
    crowd = _crowd(borrower)
    while borrower.missing > 0:
        found = _best_loan(census, borrower, crowd)
        if found is None:
            return
        lender, entry = found
        lender.mark_withdrawn(entry.id, lasts=False)
        borrower.incoming += 1
        _settle_in(crowd, entry.zone, entry.rack)
        yield Withdraw(
            entry.id, lender.pool, f"pool {borrower.pool} lacks hosts", target=borrower.pool
        )


def _best_loan(census: Census, borrower: Tally, crowd: Crowd) -> tuple[Tally, HostEntry] | None:
    """Return the host with the lowest cost of a loan, and its pool."""
    offers = []
    for lender in census.tallies_by_pool.values():
        rank = _lender_rank(census.sight.document.objective, lender, borrower)
        if rank is None or lender is borrower or borrower.settings is None:
            continue
        for host, entry in lender.entries_by_id.items():
            if not lender.available(host) or host in lender.returning:
                continue
            if not fits(borrower.settings, entry):
                continue
            if lender.slack(entry.zone) <= 0 or census.pending_stop(entry) is not None:
                continue
            size = (entry.accelerators, entry.memory_gb, entry.cores)
            crowding = _crowding(crowd, entry.zone, entry.rack)
            offers.append(((rank, lender.missing, *crowding, size, host), lender, entry))
    if not offers:
        return None
    _, lender, entry = min(offers, key=lambda offer: offer[0])
    return lender, entry


def _lender_rank(objective: Objective, lender: Tally, borrower: Tally) -> int | None:
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
    return 3 if lender.spare and borrower.broken else None


def _hand_over(tally: Tally, spares: list[Tally]) -> Iterator[Action]:
    surplus = -tally.missing
    spots = _crowd(tally)
    hosts = [
        e for h, e in tally.entries_by_id.items() if tally.available(h) and h not in tally.returning
    ]
    for entry in sorted(hosts, key=lambda e: (-spots[(e.zone, e.rack)], -spots[(e.zone, None)])):
        if surplus <= 0:
            return
        if tally.slack(entry.zone) <= 0 and tally.settings is not None:
            continue
        target = next((s for s in spares if s.settings and fits(s.settings, entry)), None)
        if target is None:
            continue
        surplus -= 1
        tally.mark_withdrawn(entry.id, lasts=False)
        target.incoming += 1
        yield Withdraw(entry.id, tally.pool, "surplus above the hosts owed", target=target.pool)


def _crowd(tally: Tally) -> Crowd:
    crowd: Crowd = Counter()
    for entry in tally.entries_by_id.values():
        _settle_in(crowd, entry.zone, entry.rack)
    return crowd


def _settle_in(crowd: Crowd, zone: ZoneId, rack: RackId) -> None:
    crowd[(zone, None)] += 1
    crowd[(zone, rack)] += 1


def _crowding(crowd: Crowd, zone: ZoneId, rack: RackId) -> tuple[int, int]:
    """Return the numbers of hosts of the pool in this zone and in this rack."""
    return crowd[(zone, None)], crowd[(zone, rack)]
