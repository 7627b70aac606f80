"""Stored progress of jobs."""

import msgspec

from lentilrill.workloads._job import JobState

__all__ = ["JobProgress", "StepProgress"]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a step of one occurrence.

    :param done: hexadecimal bit mask; bit ``i`` is set if task ``i`` is done.
    :param failed_runs_by_index: run numbers of failed runs, by task. Run numbers instead of a
        count, because an end that was not acknowledged is reported again to the next owner, which
        must not count it twice.
    :param saved_by_index: newest checkpoint, by task.
    """

    done: str = "0"
    failed_runs_by_index: dict[int, list[int]] = {}
    saved_by_index: dict[int, str] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a job.

    :param ended_ms: time at which its state became final, in milliseconds since the epoch.
    :param steps_by_key: progress by ``occurrence.step``; steps without progress are left out.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    steps_by_key: dict[str, StepProgress] = {}
