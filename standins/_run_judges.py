"""Judgement of tasks that were done twice, or ran twice at once."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from itertools import pairwise

from standins._platform_records import Listing, RunRecord

__all__ = ["find_doubled"]

COPY_GRACE_S = 1.0
"""Time after the acknowledged end of a task in which its copies may still begin."""


def find_doubled(
    runs: Iterable[RunRecord], listings: Iterable[Listing], copied: Collection[str] = ()
) -> list[str]:
    """Return a line for each task that was done twice, or ran twice at the same time.

    :param copied: tasks that may have several runs at once; they are only not to begin again long
        after an end that was acknowledged.

    An end that nobody has noted is forgotten when its endpoint crashes or leaves its pool, and when
    its endpoint's lease lapses behind a partition.
    """
    downs = [listing for listing in listings if listing.capacity is None]
    runs_by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        runs_by_task[run.task].append(run)
    found = []
    for task, task_runs in runs_by_task.items():
        if task in copied:
            if _is_copied_late(task_runs):
                found.append(f"{task} copied after its end")
            continue
        if _is_done_twice(task_runs, downs):
            found.append(f"{task} done twice")
        if _overlap(task_runs):
            found.append(f"{task} ran twice at once")
    return found


def _is_done_twice(runs: list[RunRecord], downs: list[Listing]) -> bool:
    """Return whether a task was done more than once, or started after a noted end."""
    ends = [
        run
        for run in runs
        if run.end_kind == "done" and (run.noted or not (run.outdated or _is_forgotten(run, downs)))
    ]
    noted = [end for end in ends if end.noted]
    return len(ends) > 1 or any(run.began > end.ended for end in noted for run in runs)


def _is_copied_late(runs: list[RunRecord]) -> bool:
    ends = [run for run in runs if run.end_kind == "done" and run.noted]
    return any(run.began > end.noted_at + COPY_GRACE_S for end in ends for run in runs)


def _is_forgotten(run: RunRecord, downs: Iterable[Listing]) -> bool:
    """Return whether the endpoint of a run went down after its end."""
    return any(down.endpoint == run.endpoint and down.at >= run.ended for down in downs)


def _overlap(runs: list[RunRecord]) -> bool:
    in_order = sorted(runs, key=lambda run: run.began)
    return any(
        not former.ended or former.ended > later.began for former, later in pairwise(in_order)
    )
