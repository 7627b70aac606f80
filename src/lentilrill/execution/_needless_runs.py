"""Runs that no job needs any more."""

from collections.abc import Iterable

from lentilrill.execution._copies import is_copied
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run

__all__ = ["needless_runs"]


def needless_runs(links: Iterable[EndpointLink]) -> list[Run]:
    """Return the runs whose job has ended, and the copies of tasks that are done.

    They are found by what runs on the endpoints. A job may have ended under an earlier owner, which
    left its runs to this one, and endpoints may list a run long after its job was put away.
    """
    return [run for link in links for run in link.runs_by_key.values() if _is_needless(run)]


def _is_needless(run: Run) -> bool:
    step = run.task.step
    is_needless_copy = run.task.done and is_copied(step.spec)
    return is_needless_copy or step.tracked_job.state.is_final
