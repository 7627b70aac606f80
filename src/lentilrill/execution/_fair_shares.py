"""Order of a planning round: by the workspaces' shares while the pool has too little room."""

from collections.abc import Callable, Iterable, Iterator

from lentilrill.execution._job_queues import JobOfQueue
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import JobId, WorkspaceId
from lentilrill.scheduling import DominantShares, FairOrder, JobTiming, class_of, sort_key
from lentilrill.workloads import Configuration, Resources, TaskId

__all__ = ["RoundOrder", "shares_of"]

NOTHING = Resources()


def shares_of(
    configuration: Configuration | None,
    links: Iterable[EndpointLink],
    jobs_by_id: dict[JobId, TrackedJob],
) -> DominantShares | None:
    """Return what workspaces use of a pool; ``None`` if the deployment has no workspaces.

    Runs that are being stopped count, and so do runs that this owner did not place. Endpoints that
    are released or silent count with their runs until they are closed.
    """
    if configuration is None or configuration.workspaces is None:
        return None
    total = NOTHING
    used: dict[WorkspaceId, Resources] = {}
    for link in links:
        total = total.plus(link.entry.capacity)
        for run in link.runs_by_key.values():
            workspace = run.task.step.tracked_job.job.workspace
            used[workspace] = used.get(workspace, NOTHING).plus(run.reserved)
        for task, _ in link.unknown_since_by_key:
            tracked_job = jobs_by_id.get(task.job)
            if tracked_job is not None:
                workspace = tracked_job.job.workspace
                used[workspace] = used.get(workspace, NOTHING).plus(_reserved(tracked_job, task))
    weights = {id: entry.weight for id, entry in configuration.workspaces.by_id.items()}
    return DominantShares(used, weights, total)


def _reserved(tracked_job: TrackedJob, task: TaskId) -> Resources:
    steps = tracked_job.job.steps
    return steps[task.step].reserved if 0 <= task.step < len(steps) else NOTHING


class RoundOrder:
    """The jobs of a planning round in the order in which their tasks are placed.

    Iterating follows the use of the workspaces as tasks are placed.

    :param feasible: whether all waiting work can be done in time, so that shares don't matter.
    :param shares: what the workspaces use; ``None`` if the deployment has none.
    """

    def __init__(
        self,
        jobs: list[JobOfQueue],
        timing_of: Callable[[JobOfQueue], JobTiming],
        shares: DominantShares | None,
        *,
        feasible: bool,
    ) -> None:
        self._fair: FairOrder[JobOfQueue] | None = None
        self._sorted: list[JobOfQueue] = []
        if shares is None or feasible or not _have_several_workspaces(jobs):
            self._sorted = sorted(
                jobs, key=lambda pair: sort_key(timing_of(pair), feasible=feasible)
            )
            return
        self._shares = shares
        self._fair = FairOrder(
            jobs,
            lambda pair: pair[0].job.workspace,
            lambda pair: class_of(timing_of(pair), beyond_rate=pair[0].job.beyond_rate),
        )

    def __iter__(self) -> Iterator[JobOfQueue]:
        return iter(self._sorted) if self._fair is None else self._fair.by(self._shares)

    def expected(self) -> Iterator[JobOfQueue]:
        """Yield the jobs in the order in which they would start if there were room for each."""
        if self._fair is None:
            yield from self._sorted
            return
        shares = self._shares.copy()
        for pair in self._fair.by(shares):
            yield pair
            shares.add(pair[0].job.workspace, _startable(pair[0]))


def _have_several_workspaces(jobs: list[JobOfQueue]) -> bool:
    return len({tracked_job.job.workspace for tracked_job, _ in jobs}) > 1


def _startable(tracked_job: TrackedJob) -> Resources:
    """Return what the waiting tasks of a job's ready steps would use."""
    total = NOTHING
    for step in tracked_job.ready_steps():
        waiting = sum(task.waiting for task in step.tasks)
        total = total.plus(step.spec.reserved.times(waiting))
    return total
