"""The planner: computes the actions of one planning round from a snapshot of the fleet."""

import msgspec

from lentilrill.fleet._actions import Action, Withdraw
from lentilrill.fleet._census import Census, Memory, Sight
from lentilrill.fleet._lending import assignments, loans
from lentilrill.fleet._upkeep import upkeep
from lentilrill.fleet._waves import Waiting, stops
from lentilrill.ids import HostId, PoolId

__all__ = ["Decision", "overspending", "plan"]


class Decision(msgspec.Struct, frozen=True):
    """Result of one planning round.

    :param actions: actions to take, those that free hosts first.
    :param waiting: hosts that planned stops can't withdraw yet, with reasons.
    :param census: state that the actions were computed from, updated by them.
    """

    actions: tuple[Action, ...]
    waiting: tuple[Waiting, ...]
    census: Census


def plan(sight: Sight, memory: Memory) -> Decision:
    """Compute the actions to take now.

    The call has no effect outside ``memory``, so any number of processes may plan at once.
    Actions use budgets cumulatively, in their order.
    """
    census = Census(sight, memory)
    waiting: list[Waiting] = []
    actions = [
        *upkeep(census),
        *assignments(census),
        *loans(census),
        *stops(census, waiting),
    ]
    return Decision(tuple(actions), tuple(waiting), census)


def overspending(sight: Sight, actions: tuple[Action, ...]) -> dict[HostId, PoolId]:
    """Return the withdrawals of serving hosts that would overspend a pool's budget.

    Counts from the snapshot again, independently of the counts of the planner.
    """
    over: dict[HostId, PoolId] = {}
    withdrawals = [action for action in actions if isinstance(action, Withdraw)]
    if not withdrawals:
        return over
    census = Census(sight, Memory())
    for action in withdrawals:
        tally = census.tallies_by_pool[action.pool]
        if not tally.available(action.host):
            continue
        if tally.slack(tally.entries_by_id[action.host].zone) <= 0:
            over[action.host] = action.pool
        else:
            tally.mark_withdrawn(action.host, lasts=False)
    return over
