"""Choice of the controller that acts on a pool.

It only avoids duplicate work: correctness does not depend on it.
"""

from collections.abc import Mapping
from enum import Enum

from lentilrill.fleet._actions import Action, Close
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.membership import Member, MembershipList, Role, rendezvous

__all__ = ["ActionCoordinator", "ControllerRank"]

TAKE_OVER_DELAY_S = 5.0
"""Seconds that an action stays undone before the next candidate in order takes it over."""

ActionKey = tuple[str, PoolId, HostId]


class ControllerRank(Enum):
    """Rank of a controller among those of its zone."""

    PRIMARY = "first"
    """Plans in every round, like the primary controller of each other zone."""
    BACKUP = "second"
    """Plans less often, and takes over what the primary controller of its zone leaves undone."""
    NONE = "none"


class ActionCoordinator:
    """Assignment of actions to controllers by rendezvous hashing.

    One controller of each zone is a candidate, and each pool has its own order of candidates, so
    the number of calls to the platform grows with zones and not with entry hosts. The first
    candidate may be unable to act, for instance if only its own connection to the platform is
    cut; the next one in order then sees that the action stays undone and takes it over. A
    withdrawal is closed first by the host's own zone, since gateways send acknowledgements only
    to the controllers of their zone. Therefore each zone has a backup controller, which takes
    over what the primary one leaves undone.
    """

    def __init__(self, membership: MembershipList) -> None:
        self._membership = membership
        self._undone_since: dict[ActionKey, float] = {}

    def rank(self) -> ControllerRank:
        """Return the rank of this process in its zone."""
        me = self._membership.me
        local = list(self._membership.alive(Role.CONTROLLER, me.zone))
        first = rendezvous("fleet", local)
        if first == me:
            return ControllerRank.PRIMARY
        second = rendezvous("fleet", [member for member in local if member != first])
        return ControllerRank.BACKUP if second == me else ControllerRank.NONE

    def candidates(self) -> list[Member]:
        """Return the primary controller of each zone."""
        by_zone: dict[ZoneId, list[Member]] = {}
        for member in self._membership.alive(Role.CONTROLLER):
            by_zone.setdefault(member.zone, []).append(member)
        chosen = (rendezvous("fleet", members) for members in by_zone.values())
        return [member for member in chosen if member is not None]

    def own_actions(
        self, actions: list[Action], zones_by_host: Mapping[HostId, ZoneId], now: float
    ) -> list[Action]:
        """Return the actions that this process should take now.

        :param actions: all actions that this process has planned.
        """
        actions_by_key = {_action_key(action): action for action in actions}
        for key in self._undone_since.keys() - actions_by_key.keys():
            del self._undone_since[key]
        candidates = self.candidates()
        zone_rank = 0 if self._membership.me in candidates else 1
        ranks: dict[PoolId, int] = {}
        chosen = []
        for key, action in actions_by_key.items():
            if action.pool not in ranks:
                ranks[action.pool] = self._rank_for_pool(action.pool, candidates)
            local = zones_by_host.get(action.host) == self._membership.me.zone
            rank = zone_rank if isinstance(action, Close) and local else ranks[action.pool]
            undone_s = now - self._undone_since.setdefault(key, now)
            if undone_s >= rank * TAKE_OVER_DELAY_S:
                chosen.append(action)
        return chosen

    def _rank_for_pool(self, pool: PoolId, candidates: list[Member]) -> int:
        remaining = list(candidates)
        for rank in range(len(candidates)):
            first = rendezvous(pool, remaining)
            if first is None or first == self._membership.me:
                return rank
            remaining.remove(first)
        return len(candidates)


def _action_key(action: Action) -> ActionKey:
    return type(action).__name__, action.pool, action.host
