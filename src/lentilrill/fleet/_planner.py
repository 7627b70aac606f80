"""The decision: from one look at the fleet to the actions that it calls for."""

import msgspec

from lentilrill.fleet._actions import Action, Withdraw
from lentilrill.fleet._census import Census, Memory, Sight
from lentilrill.fleet._lending import assignments, loans
from lentilrill.fleet._upkeep import upkeep
from lentilrill.fleet._waves import Waiting, stops
from lentilrill.ids import HostId, PoolId

__all__ = ["Decision", "overspending", "plan"]


class Decision(msgspec.Struct, frozen=True):
    """What one look at the fleet led to.

    :param actions: steps to take, those that free hosts first.
    :param waiting: what planned stops wait for.
    :param census: the counts behind it, after the actions.
    """

    actions: tuple[Action, ...]
    waiting: tuple[Waiting, ...]
    census: Census


def plan(sight: Sight, memory: Memory) -> Decision:
    """Decide what to do now. Any number of processes may decide at once: it changes nothing.

    Budgets are counted over all actions together, in their order.
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

    A second count, from the start and without regard to how the planner came to its actions.
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
