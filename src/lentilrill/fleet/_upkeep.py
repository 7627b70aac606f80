"""Actions that depend on one host alone: closing withdrawals, return, leaving, dropping."""

from collections.abc import Iterator

from lentilrill.fleet._actions import Action, Close, Drop, Return, Withdraw
from lentilrill.fleet._census import Census, leaves
from lentilrill.fleet._records import HostEntry, HostPhase
from lentilrill.fleet._tally import Standing, Tally
from lentilrill.ids import PoolId
from lentilrill.store import HostState

__all__ = ["upkeep"]


def upkeep(census: Census) -> Iterator[Action]:
    """Yield the actions of each host that depend on no other host, except for budgets.

    Withdrawals are cancelled before any is closed, since a released host can't be recalled.
    """
    for tally in census.tallies_by_pool.values():
        if tally.hosts_by_standing[Standing.AVAILABLE] == len(tally.entries_by_id):
            continue
        for host, standing in list(tally.standing_by_id.items()):
            step = _STEPS.get(standing)
            action = step(census, tally, tally.entries_by_id[host]) if step else None
            if action is not None:
                yield action
        yield from _give_back(census, tally)
        yield from _close(census, tally)


def _withdrawing(census: Census, tally: Tally, entry: HostEntry) -> Action | None:
    reason = _cancelled(census, tally, entry)
    if not reason:
        return None
    _count_return(census, tally, entry)
    return Return(entry.id, tally.pool, reason)


def _close(census: Census, tally: Tally) -> Iterator[Action]:
    for host in sorted(census.sight.closable & tally.entries_by_id.keys()):
        if tally.standing_by_id[host] is not Standing.WITHDRAWING:
            continue
        info = census.infos_by_id.get(host)
        since = info.since if info is not None else census.sight.now
        target = tally.entries_by_id[host].target
        yield Close(host, tally.pool, "all gateways acknowledged the withdrawal", target, since)


def _cancelled(census: Census, tally: Tally, entry: HostEntry) -> str:
    """Return why a withdrawal is no longer needed; empty if it still is."""
    if entry.target is not None:
        wanted = census.tallies_by_pool.get(entry.target)
        if wanted is None or wanted.settings is None:
            return f"pool {entry.target} is no longer declared"
        if tally.settings is None or wanted.spare:
            return ""
        return f"pool {entry.target} no longer needs it" if wanted.missing < 0 else ""
    if entry.stop is not None:
        return "" if census.declared(entry) else f"stop {entry.stop} was cancelled"
    return "host is live again" if _well(census, entry) else ""


def _stopped(census: Census, tally: Tally, entry: HostEntry) -> Action | None:
    stop = census.declared(entry)
    if stop is not None and stop.retire:
        return Drop(entry.id, tally.pool, f"retired by stop {stop.id}")
    info = census.infos_by_id.get(entry.id)
    if info is None:
        # A host that a declared stop names is kept: if it were dropped and assigned again, the
        # record of its completed stop would be lost and it would be stopped a second time.
        if entry.id not in census.stops_by_host and census.gone(entry.id, entry.zone):
            return Drop(entry.id, tally.pool, "gone from the host list")
        return None
    if info.zone != entry.zone:
        return Drop(entry.id, tally.pool, f"now listed in zone {info.zone}")
    if info.state is not HostState.LIVE or entry.id in census.sight.leaving:
        return None
    if stop is None:
        return Return(entry.id, tally.pool, "listed as live and not held by a stop", info)
    if info.since > entry.since:
        return Return(entry.id, tally.pool, f"returned from stop {stop.id}", info, done=True)
    return None


def _leaving(census: Census, tally: Tally, entry: HostEntry) -> Action | None:
    tally.mark_withdrawn(entry.id, lasts=False)
    return Withdraw(entry.id, tally.pool, "host is leaving or has a new address")


def _failed(census: Census, tally: Tally, entry: HostEntry) -> Action | None:
    if not census.gone(entry.id, entry.zone):
        return None
    tally.mark_withdrawn(entry.id, lasts=False)
    return Withdraw(entry.id, tally.pool, "missing from the host list")


def _give_back(census: Census, tally: Tally) -> Iterator[Action]:
    """Yield cancellations of withdrawals, newest first, while failures overspend the budget.

    A host that has not been released yet can serve again at once; a stopped one can't.
    """
    withdrawing = [
        entry
        for entry in tally.entries_by_id.values()
        if tally.standing_by_id[entry.id] is Standing.WITHDRAWING
        and (entry.stop or entry.target)
        and entry.phase is HostPhase.WITHDRAWING
        and _well(census, entry)
        and tally.settings is not None
    ]
    for entry in sorted(withdrawing, key=lambda e: (-e.proposed, e.id)):
        if tally.slack(entry.zone) >= 0:
            continue
        _count_return(census, tally, entry)
        yield Return(entry.id, tally.pool, "failures overspent the availability budget")


def _well(census: Census, entry: HostEntry) -> bool:
    info = census.infos_by_id.get(entry.id)
    return info is not None and not leaves(entry, info) and entry.id not in census.sight.leaving


def _count_return(census: Census, tally: Tally, entry: HostEntry) -> None:
    if entry.target in census.tallies_by_pool:
        census.tallies_by_pool[PoolId(entry.target or "")].incoming -= 1
        tally.lasting += 1
    tally.returning.add(entry.id)
    healthy = _well(census, entry) and entry.id not in census.sight.ejected
    tally.stand(entry.id, Standing.AVAILABLE if healthy else Standing.TROUBLED)


_STEPS = {
    Standing.WITHDRAWING: _withdrawing,
    Standing.STOPPED: _stopped,
    Standing.LEAVING: _leaving,
    Standing.FAILED: _failed,
}
