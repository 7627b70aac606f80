"""Tasks that work only together, and end together."""

import threading
from collections import defaultdict

from standins._platform_records import RunRecord, runs_at

__all__ = ["Gangs"]

GANG_TIMEOUT_S = 4.0
"""Time for which a member waits for the others."""


class Gangs:
    """The runs of each step that have the same number; those of a gang are its members."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs_by_gang: dict[tuple[str, int], list[RunRecord]] = defaultdict(list)

    def add(self, run: RunRecord) -> None:
        """Take note of a run that has begun."""
        with self._lock:
            self._runs_by_gang[_gang_of(run)].append(run)

    def end_of(self, run: RunRecord, count: int, work_s: float, now: float) -> str:
        """Return how a member ends by itself now; an empty string if it continues.

        :param count: number of members.
        :param work_s: seconds from the moment at which all are present until they are done.
        """
        with self._lock:
            members = list(self._runs_by_gang[_gang_of(run)])
        ends = {member.end_kind for member in members if member.end_kind}
        if ends:
            return "done" if ends == {"done"} else "broken"
        if sum(runs_at(member, now) for member in members) >= count:
            return "done" if now - max(member.began for member in members) >= work_s else ""
        return "alone" if now - run.began >= GANG_TIMEOUT_S else ""


def _gang_of(run: RunRecord) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number
