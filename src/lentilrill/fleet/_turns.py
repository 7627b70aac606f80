"""Whose turn it is to act on a pool. It saves work; nothing rests on it."""

from lentilrill.fleet._actions import Action, Close
from lentilrill.ids import HostId, PoolId
from lentilrill.membership import Member, Role, Roster, rendezvous

__all__ = ["Turns"]

TAKE_OVER_S = 5.0
"""Seconds that an action stands undone before the next candidate in order takes it up."""

Step = tuple[str, PoolId, HostId]


class Turns:
    """One controller of each zone is a candidate, and each pool has its order of candidates.

    So the calls to the platform follow zones and not entry hosts. The first candidate may be
    unable to act, as only its own way to the platform is cut: whoever comes next in order sees
    the action stand undone, and takes it up.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._undone_since: dict[Step, float] = {}

    def takes_part(self) -> bool:
        """Return whether this process is its zone's candidate."""
        return self._roster.me in self._candidates()

    def mine(self, actions: list[Action], now: float) -> list[Action]:
        """Return the actions that this process should take now.

        :param actions: everything that is to be done as this process sees it.
        """
        steps = {_step(action): action for action in actions}
        for step in self._undone_since.keys() - steps.keys():
            del self._undone_since[step]
        candidates = self._candidates()
        ranks: dict[PoolId, int] = {}
        chosen = []
        for step, action in steps.items():
            if action.pool not in ranks:
                ranks[action.pool] = self._rank(action.pool, candidates)
            # Acknowledgements reach the host's own zone only. Its candidate alone sees that a
            # withdrawal can be closed, so nobody else's turn comes before its own.
            rank = 0 if isinstance(action, Close) else ranks[action.pool]
            undone_s = now - self._undone_since.setdefault(step, now)
            if undone_s >= rank * TAKE_OVER_S:
                chosen.append(action)
        return chosen

    def _candidates(self) -> list[Member]:
        by_zone: dict[str, list[Member]] = {}
        for member in self._roster.alive(Role.CONTROLLER):
            by_zone.setdefault(member.zone, []).append(member)
        chosen = (rendezvous("fleet", members) for members in by_zone.values())
        return [member for member in chosen if member is not None]

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
