"""Load of a pool by workspace, which its owner reports to all entry hosts."""

from collections.abc import Iterable

import msgspec

from lentilrill.execution._demand import PoolDemand
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import WorkspaceId
from lentilrill.inner import WorkspaceLoad, WorkspaceLoads
from lentilrill.scheduling import DecayingCounts, ExpectedHosts, JobTiming

__all__ = ["MAX_BY_JOBS", "MAX_BY_WORK", "WorkspaceReporter"]

MAX_BY_WORK = 20
MAX_BY_JOBS = 20
"""Workspaces that are listed because they have the most work, and the most jobs within their rate.
The report goes to all entry hosts several times a second, so it must not grow with the workspaces;
one that isn't listed is treated as one without a backlog."""
TENTHS, HUNDREDTHS = 10, 100


class _Work(msgspec.Struct):
    """Work of one workspace, in core seconds."""

    owed: float = 0.0
    beyond: float = 0.0
    overdue: float = 0.0

    @property
    def total(self) -> float:
        return self.owed + self.beyond + self.overdue


class WorkspaceReporter:
    """Keeps what the report needs beyond the unfinished jobs: recent jobs, and expected hosts.

    All methods are called under the lock of the pool's owner.
    """

    def __init__(self) -> None:
        self._within_rate: DecayingCounts[WorkspaceId] = DecayingCounts()
        self._expected_hosts = ExpectedHosts()

    def restore(self, jobs: Iterable[TrackedJob], now: float) -> None:
        """Count the jobs that the previous owners accepted, by their time of acceptance."""
        self._within_rate = DecayingCounts()
        for tracked_job in jobs:
            self.record(tracked_job, now)

    def record(self, tracked_job: TrackedJob, now: float) -> None:
        """Count an accepted job."""
        job = tracked_job.job
        if job.workspace and not job.beyond_rate:
            self._within_rate.add(job.workspace, tracked_job.arrived_at, now)

    def report(
        self,
        jobs: Iterable[tuple[TrackedJob, JobTiming]],
        links: Iterable[EndpointLink],
        demand: PoolDemand,
        now: float,
    ) -> WorkspaceLoads:
        """Return the load by workspace.

        :param jobs: jobs that are not final.
        """
        jobs = list(jobs)
        links = list(links)
        present = [link for link in links if link.registered]
        coming = self._expected_hosts.observe(demand.with_forecast, len(present), now)
        host_cpu = max((link.entry.capacity.cpu for link in links), default=0)
        work_by_workspace = _work_by_workspace(jobs)
        counts = self._within_rate.counts(now, least=1 / HUNDREDTHS)
        listed = _chosen(work_by_workspace, counts)
        rest = (work.owed for id, work in work_by_workspace.items() if id not in listed)
        return WorkspaceLoads(
            not demand.feasible and _any_waits(jobs),
            sum(_serving_cpu(link) for link in present),
            coming * host_cpu,
            tuple(
                _load(id, work_by_workspace.get(id, _Work()), counts.get(id, 0)) for id in listed
            ),
            round(sum(rest) * TENTHS),
        )


def _work_by_workspace(
    jobs: Iterable[tuple[TrackedJob, JobTiming]],
) -> dict[WorkspaceId, _Work]:
    """Return the work by workspace that waits for room.

    Tasks that run leave it soon, and the steps after them wait for these first: counted with the
    rest, they would make a pool look full for as long as its jobs take.
    """
    work_by_workspace: dict[WorkspaceId, _Work] = {}
    for tracked_job, timing in jobs:
        if tracked_job.long_running:
            continue
        work = work_by_workspace.setdefault(tracked_job.job.workspace, _Work())
        amount = timing.remaining_work * _waiting_share(tracked_job)
        if not timing.can_meet_deadline:
            work.overdue += amount
        elif tracked_job.job.beyond_rate:
            work.beyond += amount
        else:
            work.owed += amount
    return work_by_workspace


def _waiting_share(tracked_job: TrackedJob) -> float:
    """Return the share of a job's remaining work that waits for room now."""
    waiting = remaining = 0.0
    ready = {step.id for step in tracked_job.ready_steps()}
    for steps in tracked_job.steps_by_occurrence.values():
        for step in steps:
            task_work = step.spec.needs.cpu * step.spec.estimate_ms
            remaining += step.remaining * task_work
            if step.id in ready:
                waiting += sum(task.waiting for task in step.tasks) * task_work
    return waiting / remaining if remaining else 0.0


def _chosen(
    work_by_workspace: dict[WorkspaceId, _Work], counts: dict[WorkspaceId, float]
) -> list[WorkspaceId]:
    """Return the workspaces to list."""
    by_work = sorted(work_by_workspace, key=lambda id: (-work_by_workspace[id].total, id))
    by_jobs = sorted(counts, key=lambda id: (-counts[id], id))
    return list(dict.fromkeys([*by_work[:MAX_BY_WORK], *by_jobs[:MAX_BY_JOBS]]))


def _load(id: WorkspaceId, work: _Work, count: float) -> WorkspaceLoad:
    return WorkspaceLoad(
        id,
        round(work.owed * TENTHS),
        round(work.beyond * TENTHS),
        round(work.overdue * TENTHS),
        round(count * HUNDREDTHS),
    )


def _any_waits(jobs: Iterable[tuple[TrackedJob, JobTiming]]) -> bool:
    return any(
        step.has_waiting_tasks for tracked_job, _ in jobs for step in tracked_job.ready_steps()
    )


def _serving_cpu(link: EndpointLink) -> int:
    """Return the capacity that long-running tasks leave on an endpoint, at its current speed."""
    lasting = sum(
        run.reserved.cpu for run in link.runs_by_key.values() if run.task.step.spec.lasting
    )
    return round(max(0, link.entry.capacity.cpu - lasting) * link.capacity_share)
