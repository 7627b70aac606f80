"""Actions that depend on one host alone: closing withdrawals, return, leaving, dropping."""

from collections.abc import Iterator

from lentilrill.fleet._actions import Action, Close, Drop, Return, Withdraw
from lentilrill.fleet._fleet_state import FleetState, is_leaving
from lentilrill.fleet._pool_state import HostCondition, PoolState
from lentilrill.fleet._records import HostEntry, HostPhase
from lentilrill.ids import PoolId
from lentilrill.store import HostState

__all__ = ["condition_once_recalled", "host_actions"]


def host_actions(fleet: FleetState) -> Iterator[Action]:
    """Yield the actions of each host that depend on no other host, except for budgets.

    Withdrawals are cancelled before any is closed, since a released host can't be recalled.
    """
    for pool_state in fleet.states_by_pool.values():
        if pool_state.hosts_by_condition[HostCondition.AVAILABLE] == len(pool_state.entries_by_id):
            continue
        for host, condition in list(pool_state.condition_by_id.items()):
            plan_action = _ACTION_PLANNERS.get(condition)
            action = (
                plan_action(fleet, pool_state, pool_state.entries_by_id[host])
                if plan_action
                else None
            )
            if action is not None:
                yield action
        yield from _recall_hosts(fleet, pool_state)
        yield from _close_withdrawals(fleet, pool_state)


def _plan_withdrawing(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> Action | None:
    reason = _cancel_reason(fleet, pool_state, entry)
    if not reason:
        return None
    _count_recall(fleet, pool_state, entry)
    return Return(entry.id, pool_state.pool, reason)


def _close_withdrawals(fleet: FleetState, pool_state: PoolState) -> Iterator[Action]:
    for host in sorted(fleet.snapshot.closable & pool_state.entries_by_id.keys()):
        if pool_state.condition_by_id[host] is not HostCondition.WITHDRAWING:
            continue
        info = fleet.infos_by_id.get(host)
        since = info.since if info is not None else fleet.snapshot.now
        target = pool_state.entries_by_id[host].target
        yield Close(
            host, pool_state.pool, "all gateways acknowledged the withdrawal", target, since
        )


def _cancel_reason(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> str:
    """Return why a withdrawal is no longer needed; empty if it still is."""
    if entry.target is not None:
        destination = fleet.states_by_pool.get(entry.target)
        if destination is None or destination.settings is None:
            return f"pool {entry.target} is no longer declared"
        if pool_state.settings is None or destination.spare:
            return ""
        return f"pool {entry.target} no longer needs it" if destination.missing < 0 else ""
    if entry.stop is not None:
        return "" if fleet.declared_stop(entry) else f"stop {entry.stop} was cancelled"
    return "host is live again" if _can_serve(fleet, entry) else ""


def _plan_stopped(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> Action | None:
    stop = fleet.declared_stop(entry)
    if stop is not None and stop.retire:
        return Drop(entry.id, pool_state.pool, f"retired by stop {stop.id}")
    info = fleet.infos_by_id.get(entry.id)
    if info is None:
        # A host that a declared stop names is kept: if it were dropped and assigned again, the
        # record of its completed stop would be lost and it would be stopped a second time.
        if entry.id not in fleet.stops_by_host and fleet.is_gone(entry.id, entry.zone):
            return Drop(entry.id, pool_state.pool, "gone from the host list")
        return None
    if info.zone != entry.zone:
        return Drop(entry.id, pool_state.pool, f"now listed in zone {info.zone}")
    if info.state is not HostState.LIVE or entry.id in fleet.snapshot.leaving:
        return None
    if stop is None:
        return Return(entry.id, pool_state.pool, "listed as live and not held by a stop", info)
    if info.since > entry.since:
        return Return(entry.id, pool_state.pool, f"returned from stop {stop.id}", info, done=True)
    return None


def _plan_leaving(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> Action | None:
    pool_state.count_withdrawal(entry.id, returns=False)
    return Withdraw(entry.id, pool_state.pool, "host is leaving or has a new address")


def _plan_failed(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> Action | None:
    if not fleet.is_gone(entry.id, entry.zone):
        return None
    pool_state.count_withdrawal(entry.id, returns=False)
    return Withdraw(entry.id, pool_state.pool, "missing from the host list")


def _recall_hosts(fleet: FleetState, pool_state: PoolState) -> Iterator[Action]:
    """Yield cancellations of withdrawals, newest first, while failures overspend the budget.

    A host that has not been released yet can serve again at once; a stopped one can't.
    """
    withdrawing = [
        entry
        for entry in pool_state.entries_by_id.values()
        if pool_state.condition_by_id[entry.id] is HostCondition.WITHDRAWING
        and (entry.stop or entry.target)
        and entry.phase is HostPhase.WITHDRAWING
        and _can_serve(fleet, entry)
        and pool_state.settings is not None
    ]
    for entry in sorted(withdrawing, key=lambda e: (-e.proposed, e.id)):
        if pool_state.slack(entry.zone) >= 0:
            continue
        _count_recall(fleet, pool_state, entry)
        yield Return(entry.id, pool_state.pool, "failures overspent the availability budget")


def _can_serve(fleet: FleetState, entry: HostEntry) -> bool:
    info = fleet.infos_by_id.get(entry.id)
    return (
        info is not None and not is_leaving(entry, info) and entry.id not in fleet.snapshot.leaving
    )


def _count_recall(fleet: FleetState, pool_state: PoolState, entry: HostEntry) -> None:
    if entry.target in fleet.states_by_pool:
        fleet.states_by_pool[PoolId(entry.target or "")].incoming -= 1
        pool_state.retained += 1
    pool_state.recalled.add(entry.id)
    pool_state.set_condition(entry.id, condition_once_recalled(fleet, entry))


def condition_once_recalled(fleet: FleetState, entry: HostEntry) -> HostCondition:
    """Return the condition of a withdrawing host once its withdrawal is cancelled."""
    healthy = _can_serve(fleet, entry) and entry.id not in fleet.snapshot.ejected
    return HostCondition.AVAILABLE if healthy else HostCondition.UNHEALTHY


_ACTION_PLANNERS = {
    HostCondition.WITHDRAWING: _plan_withdrawing,
    HostCondition.STOPPED: _plan_stopped,
    HostCondition.LEAVING: _plan_leaving,
    HostCondition.FAILED: _plan_failed,
}
