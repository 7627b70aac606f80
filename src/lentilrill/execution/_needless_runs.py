"""Runs that no job needs any more."""

from collections.abc import Iterable

from lentilrill.execution._copies import is_copied
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, TrackedJob

__all__ = ["needless_runs"]


def needless_runs(links: Iterable[EndpointLink]) -> list[Run]:
    """Return the runs whose job has ended, and the copies of tasks that are done.

    They are found by what runs on the endpoints. A job may have ended under an earlier owner, which
    left its runs to this one, and endpoints may list a run long after its job was put away.
    """
    has_ended: dict[TrackedJob, bool] = {}
    found = []
    for link in links:
        for run in link.runs_by_key.values():
            step = run.task.step
            tracked_job = step.tracked_job
            # A pool has tens of thousands of runs, and few jobs.
            if tracked_job not in has_ended:
                has_ended[tracked_job] = tracked_job.state.is_final
            if has_ended[tracked_job] or (run.task.done and is_copied(step.spec)):
                found.append(run)
    return found
