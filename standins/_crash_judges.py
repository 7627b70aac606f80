"""Judgement of tasks that crash endpoints, and of jobs that were given up."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from standins._platform_records import Crash, RunRecord, SeenJob

__all__ = ["find_bystanders_given_up", "find_repeats", "find_unfounded_failures"]

CRASHES_KNOWN = 3
"""Crashes under a task after which it counts as known to crash its endpoints."""
MAX_STARTS_AFTER = 2
CRASHES_TO_GIVE_UP = 2


def find_repeats(
    runs: Iterable[RunRecord],
    crashes: Iterable[Crash],
    counts: Callable[[RunRecord], bool] = lambda run: True,
) -> list[str]:
    """Return a line for each task that was started too often after it had crashed endpoints.

    :param counts: returns whether a start counts; all do by default.
    """
    runs, crashes = list(runs), list(crashes)
    culprits = {crash.culprit for crash in crashes if crash.culprit}
    crashed_at = _crash_times_by_task(runs, crashes)
    found = []
    for task in sorted(culprits):
        if len(crashed_at[task]) < CRASHES_KNOWN:
            continue
        third = sorted(crashed_at[task])[CRASHES_KNOWN - 1]
        later = [run for run in runs if run.task == task and run.began > third and counts(run)]
        if len(later) > MAX_STARTS_AFTER:
            found.append(f"{task} started {len(later)} times more, the third crash at {third:.3f}")
    return found


def find_unfounded_failures(
    jobs: Iterable[SeenJob], runs: Iterable[RunRecord], crashes: Iterable[Crash]
) -> list[str]:
    """Return a line for each job that is shown as failed without a cause.

    A task has failed as often as its job allows, or two endpoints crashed under it.
    """
    runs = list(runs)
    failures = _failures_by_task(runs)
    crashed_at = _crash_times_by_task(runs, crashes)
    found = []
    for job in jobs:
        if job.state != "failed" or _has_failed(job, failures):
            continue
        most = _most_crashes(job, crashed_at)
        if most < CRASHES_TO_GIVE_UP:
            found.append(f"{job.id} failed without cause, {most} crashes under one of its tasks")
    return found


def find_bystanders_given_up(
    jobs: Iterable[SeenJob], runs: Iterable[RunRecord], crashes: Iterable[Crash]
) -> list[str]:
    """Return a line for each failed job whose tasks only ran beside the tasks that crashed.

    Crashes that a task of another job caused are no cause to give up a job. Stricter than
    :func:`find_unfounded_failures`: an endpoint tells nobody which of its tasks was the culprit.
    """
    runs, crashes = list(runs), list(crashes)
    failures = _failures_by_task(runs)
    found = []
    for job in jobs:
        if job.state != "failed" or _has_failed(job, failures):
            continue
        own = [crash for crash in crashes if not crash.culprit or _job(crash.culprit) == job.id]
        if _most_crashes(job, _crash_times_by_task(runs, own)) < CRASHES_TO_GIVE_UP:
            found.append(f"{job.id} failed, and others crashed the endpoints of its tasks")
    return found


def _crash_times_by_task(
    runs: Iterable[RunRecord], crashes: Iterable[Crash]
) -> Mapping[str, list[float]]:
    """Return the times at which endpoints crashed under a run, by its task."""
    crashed = {(crash.endpoint, crash.at) for crash in crashes}
    by_task: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run.end_kind == "gone" and (run.endpoint, run.ended) in crashed:
            by_task[run.task].append(run.ended)
    return by_task


def _failures_by_task(runs: Iterable[RunRecord]) -> Mapping[str, int]:
    by_task: dict[str, int] = defaultdict(int)
    for run in runs:
        by_task[run.task] += run.end_kind == "failed"
    return by_task


def _has_failed(job: SeenJob, failures: Mapping[str, int]) -> bool:
    """Return whether a task of a job has failed as often as the job allows."""
    tasks = (task for task in failures if _job(task) == job.id)
    # Tasks that last may fail as often as they like.
    return any(failures[task] >= job.max_attempts and not job.step_of(task).lasts for task in tasks)


def _most_crashes(job: SeenJob, crashed_at: Mapping[str, list[float]]) -> int:
    counts = [len(times) for task, times in crashed_at.items() if _job(task) == job.id]
    return max(counts, default=0)


def _job(task: str) -> str:
    return task.split(".")[0]
