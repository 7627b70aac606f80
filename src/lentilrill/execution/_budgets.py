"""What a pool uses of each workspace's cap, and what it may start in one planning round."""

from collections.abc import Callable, Iterable

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import JobId, WorkspaceId
from lentilrill.scheduling import Budget, DominantShares, Usage
from lentilrill.workloads import Job, JobState, Resources, TaskId

__all__ = ["RoundBudgets", "limited_to_free", "usage_by_workspace"]

NOTHING = Resources()


class RoundBudgets:
    """Budgets of the workspaces during one planning round.

    :param budget_of: returns a workspace's budget, or ``None`` if nothing may start now; ``None``
        if there are no limits.
    :param shares: what the workspaces use of the pool; ``None`` if the deployment has none.
    :ivar refused_jobs: jobs with tasks that could start if the pool held more.
    """

    def __init__(
        self,
        budget_of: Callable[[WorkspaceId], Budget | None] | None,
        shares: DominantShares | None = None,
    ) -> None:
        self._budget_of = budget_of
        self.shares = shares
        self.by_workspace: dict[WorkspaceId, Budget | None] = {}
        self.refused_jobs: set[JobId] = set()

    def take(self, job: Job, needs: Resources, *, count: int = 1, is_gang: bool = False) -> bool:
        """Take what a task needs, if its workspace may start it; see :meth:`Budget.take`."""
        if not job.workspace or self._budget_of is None:
            return True
        budget = self._budget(job.workspace, self._budget_of)
        if budget is not None and budget.take(needs, count=count, is_gang=is_gang):
            return True
        self.refused_jobs.add(job.id)
        return False

    def allows(self, job: Job, needs: Resources) -> bool:
        """Whether a workspace may start a task; what it lacks isn't recorded."""
        if not job.workspace or self._budget_of is None:
            return True
        budget = self._budget(job.workspace, self._budget_of)
        return budget is not None and budget.usage.lacking == NOTHING and budget.allows(needs)

    def _budget(
        self, workspace: WorkspaceId, budget_of: Callable[[WorkspaceId], Budget | None]
    ) -> Budget | None:
        if workspace not in self.by_workspace:
            self.by_workspace[workspace] = budget_of(workspace)
        return self.by_workspace[workspace]

    def on_reserved(self, tracked_job: TrackedJob, reserved: Resources) -> None:
        """Add what was reserved for tasks of a job to the use of its workspace."""
        if self.shares is None:
            return
        workspace = tracked_job.job.workspace
        if tracked_job.weighted_share_at_start is None and tracked_job.state is JobState.QUEUED:
            tracked_job.weighted_share_at_start = self.shares.rank(workspace).share
        self.shares.add(workspace, reserved)


def usage_by_workspace(
    links: Iterable[EndpointLink], jobs_by_id: dict[JobId, TrackedJob]
) -> dict[WorkspaceId, Resources]:
    """Return what the runs of each workspace use that are or may be in progress.

    Runs that are being stopped count, and so do runs that this owner did not place.
    """
    used: dict[WorkspaceId, Resources] = {}
    for link in links:
        for run in link.runs_by_key.values():
            workspace = run.task.step.tracked_job.job.workspace
            if workspace:
                used[workspace] = used.get(workspace, NOTHING).plus(run.task.step.spec.needs)
        for task, _ in link.unknown_since_by_key:
            tracked_job = jobs_by_id.get(task.job)
            if tracked_job is not None and tracked_job.job.workspace:
                workspace = tracked_job.job.workspace
                needs = _needs_of(tracked_job, task)
                used[workspace] = used.get(workspace, NOTHING).plus(needs)
    return used


def _needs_of(tracked_job: TrackedJob, task: TaskId) -> Resources:
    steps = tracked_job.job.steps
    return steps[task.step].needs if 0 <= task.step < len(steps) else NOTHING


def limited_to_free(usage: Usage, free: Resources) -> Usage:
    """Return a usage that lacks no more than the first tasks, or what the pool has free."""
    lacking = usage.lacking.at_most(free.at_least(usage.first))
    return msgspec.structs.replace(usage, lacking=lacking)
