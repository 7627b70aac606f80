"""Order of jobs among workspaces while a pool has too little room for all of them.

Load pattern: one workspace sends several times its usual work, or two queues surge at once, and the
pool is full for seconds. In an order over all jobs the workspace that sends most gets most, and the
jobs of a workspace that sends as usual wait behind a surge that isn't theirs.

The workspace with the lowest dominant share of the pool for its weight goes next. A dominant share
is the largest of the shares of cores, memory and accelerators that a workspace's tasks use. It is
derived from what runs now, so a new owner of the pool orders as the former one did.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache
from heapq import heapify, heappop, heapreplace
from typing import Generic, NamedTuple, TypeVar

from lentilrill.ids import WorkspaceId
from lentilrill.scheduling._order import JobTiming, sort_key
from lentilrill.workloads import Resources

__all__ = ["DominantShares", "FairOrder", "Rank", "ShareClass", "class_of"]

T = TypeVar("T")
_Entry = tuple[float, int, T]
PUBLIC = WorkspaceId("")
NOTHING = Resources()
CACHED_CLASSES = 64
"""Classes that are kept rather than built for each job: four for each priority in use."""


class Rank(NamedTuple):
    """Place of a workspace among others; the lowest goes next.

    :param weightless: whether its weight is 0, so that it comes after all others.
    :param share: dominant share divided by the weight, or undivided without a weight.
    """

    weightless: bool
    share: float


class ShareClass(NamedTuple):
    """Jobs that are ordered before those of a higher class, whichever workspaces they belong to.

    What a workspace sends beyond its rate waits behind what the others are owed, also behind what
    is overdue: otherwise a flood beyond the rate would delay overdue jobs for as long as it lasts.
    Overdue jobs come last within the rate, since an answer after its deadline is worth little.

    :param group: 0 for long-running jobs, else by the priority of the queue.
    """

    group: int
    beyond_rate: bool = False
    overdue: bool = False


class DominantShares:
    """Use of a pool by workspaces during one planning round.

    A workspace that the configuration doesn't have, because it was removed or renamed while its
    jobs waited, counts with the smallest weight: it is owed no share, and must not starve either.
    Jobs without a workspace, of public queues, count as one workspace of the mean weight.

    :param used: what each workspace uses, including runs that are being stopped.
    :param weights: weights by the configuration in force; 0, negative ones and NaN come last.
    :param total: capacity of the pool.
    :ivar changes: number of additions so far.
    """

    def __init__(
        self,
        used: Mapping[WorkspaceId, Resources],
        weights: Mapping[WorkspaceId, float],
        total: Resources,
    ) -> None:
        usable = [weight for weight in weights.values() if _is_usable(weight)]
        self._weights = weights
        self._smallest = min(usable, default=1.0)
        self._mean = sum(weight / len(usable) for weight in usable) if usable else 1.0
        self._total = total
        self._used = dict(used)
        self.changes = 0

    def add(self, workspace: WorkspaceId, amount: Resources) -> None:
        """Add what a started task uses."""
        self._used[workspace] = self._used.get(workspace, NOTHING).plus(amount)
        self.changes += 1

    def copy(self) -> "DominantShares":
        """Return shares that can be changed apart from these."""
        return DominantShares(self._used, self._weights, self._total)

    def rank(self, workspace: WorkspaceId) -> Rank:
        """Return the place of a workspace by what it uses now."""
        weight = self.weight(workspace)
        share = self.dominant_share(workspace)
        return Rank(False, share / weight) if _is_usable(weight) else Rank(True, share)

    def weight(self, workspace: WorkspaceId) -> float:
        """Return the weight that a workspace counts with."""
        if workspace == PUBLIC:
            return self._mean
        return self._weights.get(workspace, self._smallest)

    def dominant_share(self, workspace: WorkspaceId) -> float:
        """Return the largest share of the pool that a workspace uses of any resource."""
        used = self._used.get(workspace)
        if used is None:
            return 0.0
        total = self._total
        return max(
            used.cpu / max(1, total.cpu),
            used.memory_mb / max(1, total.memory_mb),
            used.accelerators / max(1, total.accelerators),
        )


def class_of(timing: JobTiming, *, beyond_rate: bool) -> tuple[ShareClass, float]:
    """Return the class of a job, and its key among those of its workspace."""
    group, overdue, key = sort_key(timing)
    # Long-running jobs are all of one class: they go first.
    return _share_class(group, beyond_rate and not timing.long_running, bool(overdue)), key


@lru_cache(maxsize=CACHED_CLASSES)
def _share_class(group: int, beyond_rate: bool, overdue: bool) -> ShareClass:
    return ShareClass(group, beyond_rate, overdue)


class FairOrder(Generic[T]):
    """Order of jobs among workspaces in one planning round.

    :param class_and_key: returns the class of a job and its key among those of its workspace.
    """

    def __init__(
        self,
        jobs: Iterable[T],
        workspace_of: Callable[[T], WorkspaceId],
        class_and_key: Callable[[T], tuple[ShareClass, float]],
    ) -> None:
        queues_by_class: dict[ShareClass, dict[WorkspaceId, list[_Entry[T]]]] = {}
        for number, job in enumerate(jobs):
            job_class, key = class_and_key(job)
            queues = queues_by_class.get(job_class)
            if queues is None:
                queues = queues_by_class[job_class] = defaultdict(list)
            queues[workspace_of(job)].append((key, number, job))
        self._classes = [queues_by_class[job_class] for job_class in sorted(queues_by_class)]
        self._long_running = min(queues_by_class, default=ShareClass(1)).group == 0
        for queues in self._classes:
            for queue in queues.values():
                queue.sort()

    def by(self, shares: DominantShares) -> Iterator[T]:
        """Yield the jobs, class by class, each of the workspace with the lowest rank just then.

        Whoever iterates adds to ``shares`` what a job uses before taking the next one. A job that
        can't start adds nothing, so its workspace's next one follows, and no other workspace is
        held up by it. Of workspaces with the same rank the one whose next job comes first by its
        key goes first. Long-running jobs are ordered together.
        """
        for index, queues in enumerate(self._classes):
            if self._long_running and index == 0:
                together = sorted(entry for queue in queues.values() for entry in queue)
                yield from (job for _, _, job in together)
            else:
                yield from _by_rank(queues, shares)


def _by_rank(queues: dict[WorkspaceId, "list[_Entry[T]]"], shares: DominantShares) -> Iterator[T]:
    heap = [(shares.rank(id), queue[0][:2], id, 0) for id, queue in queues.items()]
    heapify(heap)
    while heap:
        _, _, workspace, index = heap[0]
        queue = queues[workspace]
        changes = shares.changes
        while index < len(queue) and shares.changes == changes:
            yield queue[index][2]
            index += 1
        if index < len(queue):
            rank = shares.rank(workspace)
            heapreplace(heap, (rank, queue[index][:2], workspace, index))
        else:
            heappop(heap)


def _is_usable(weight: float) -> bool:
    return 0.0 < weight < math.inf
