"""Choice of the controller that acts on a pool.

It only avoids duplicate work: correctness does not depend on it.
"""

from collections.abc import Mapping
from enum import Enum

from lentilrill.fleet._actions import Action, Close
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.membership import Member, Role, Roster, rendezvous

__all__ = ["Place", "Turns"]

TAKE_OVER_S = 5.0
"""Seconds that an action stays undone before the next candidate in order takes it over."""

Step = tuple[str, PoolId, HostId]


class Place(Enum):
    """Rank of a controller among those of its zone."""

    FIRST = "first"
    """Plans in every round, as does one controller of each other zone."""
    SECOND = "second"
    """Plans less often, and takes over what the first controller of its zone leaves undone."""
    NONE = "none"


class Turns:
    """Assignment of actions to controllers by rendezvous hashing.

    One controller of each zone is a candidate, and each pool has its own order of candidates, so
    the number of calls to the platform grows with zones and not with entry hosts. The first
    candidate may be unable to act, for instance if only its own connection to the platform is
    cut; the next one in order then sees that the action stays undone and takes it over. A
    withdrawal is closed first by the host's own zone, since gateways send acknowledgements only
    to the controllers of their zone. Therefore each zone has a second controller, which takes
    over what the first one leaves undone.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._undone_since: dict[Step, float] = {}

    def place(self) -> Place:
        """Return the rank of this process in its zone."""
        me = self._roster.me
        near = list(self._roster.alive(Role.CONTROLLER, me.zone))
        first = rendezvous("fleet", near)
        if first == me:
            return Place.FIRST
        second = rendezvous("fleet", [member for member in near if member != first])
        return Place.SECOND if second == me else Place.NONE

    def candidates(self) -> list[Member]:
        """Return the first controller of each zone."""
        by_zone: dict[ZoneId, list[Member]] = {}
        for member in self._roster.alive(Role.CONTROLLER):
            by_zone.setdefault(member.zone, []).append(member)
        chosen = (rendezvous("fleet", members) for members in by_zone.values())
        return [member for member in chosen if member is not None]

    def mine(
        self, actions: list[Action], zones_by_host: Mapping[HostId, ZoneId], now: float
    ) -> list[Action]:
        """Return the actions that this process should take now.

        :param actions: all actions that this process has planned.
        """
        steps = {_step(action): action for action in actions}
        for step in self._undone_since.keys() - steps.keys():
            del self._undone_since[step]
        candidates = self.candidates()
        behind = 0 if self._roster.me in candidates else 1
        ranks: dict[PoolId, int] = {}
        chosen = []
        for step, action in steps.items():
            if action.pool not in ranks:
                ranks[action.pool] = self._rank(action.pool, candidates)
            near = zones_by_host.get(action.host) == self._roster.me.zone
            rank = behind if isinstance(action, Close) and near else ranks[action.pool]
            undone_s = now - self._undone_since.setdefault(step, now)
            if undone_s >= rank * TAKE_OVER_S:
                chosen.append(action)
        return chosen

    def _rank(self, pool: PoolId, candidates: list[Member]) -> int:
        left = list(candidates)
        for rank in range(len(candidates)):
            first = rendezvous(pool, left)
            if first is None or first == self._roster.me:
                return rank
            left.remove(first)
        return len(candidates)


def _step(action: Action) -> Step:
    return type(action).__name__, action.pool, action.host
