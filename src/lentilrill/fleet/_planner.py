"""The planner: computes the actions of one planning round from a snapshot of the fleet."""

import msgspec

from lentilrill.fleet._actions import Action, Return, Withdraw
from lentilrill.fleet._fleet_state import FleetSnapshot, FleetState, PlanningHistory
from lentilrill.fleet._host_actions import condition_once_recalled, host_actions
from lentilrill.fleet._lending import assignments, loans
from lentilrill.fleet._pool_state import HostCondition
from lentilrill.fleet._waves import StopDelay, stop_withdrawals
from lentilrill.ids import HostId, PoolId

__all__ = ["Decision", "overspending_withdrawals", "plan"]


class Decision(msgspec.Struct, frozen=True):
    """Result of one planning round.

    :param actions: actions to take, those that free hosts first.
    :param waiting: hosts that planned stops can't withdraw yet, with reasons.
    :param fleet: state that the actions were computed from, updated by them.
    """

    actions: tuple[Action, ...]
    waiting: tuple[StopDelay, ...]
    fleet: FleetState


def plan(snapshot: FleetSnapshot, history: PlanningHistory) -> Decision:
    """Compute the actions to take now.

    The call has no effect outside ``history``, so any number of processes may plan at once.
    Actions use budgets cumulatively, in their order.
    """
    fleet = FleetState(snapshot, history)
    waiting: list[StopDelay] = []
    actions = [
        *host_actions(fleet),
        *assignments(fleet),
        *loans(fleet),
        *stop_withdrawals(fleet, waiting),
    ]
    return Decision(tuple(actions), tuple(waiting), fleet)


def overspending_withdrawals(
    snapshot: FleetSnapshot, actions: tuple[Action, ...]
) -> dict[HostId, PoolId]:
    """Return the withdrawals of serving hosts that would overspend a pool's budget.

    Counts from the snapshot again, independently of the counts of the planner. A withdrawal that
    ``actions`` cancel before makes up for one: all actions of a pool are written together.
    """
    overspending: dict[HostId, PoolId] = {}
    if not any(isinstance(action, Withdraw) for action in actions):
        return overspending
    fleet = FleetState(snapshot, PlanningHistory())
    for action in actions:
        if isinstance(action, Return):
            _count_return(fleet, action)
        if not isinstance(action, Withdraw):
            continue
        pool_state = fleet.states_by_pool[action.pool]
        if not pool_state.is_available(action.host):
            continue
        if pool_state.slack(pool_state.entries_by_id[action.host].zone) <= 0:
            overspending[action.host] = action.pool
        else:
            pool_state.count_withdrawal(action.host, returns=False)
    return overspending


def _count_return(fleet: FleetState, action: Return) -> None:
    """Count a host whose withdrawal is cancelled; one that has stopped can't serve at once."""
    pool_state = fleet.states_by_pool[action.pool]
    if pool_state.condition_by_id[action.host] is HostCondition.WITHDRAWING:
        entry = pool_state.entries_by_id[action.host]
        pool_state.set_condition(action.host, condition_once_recalled(fleet, entry))
