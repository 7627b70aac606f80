"""How far a job is, as kept in the store."""

import msgspec

from lentilrill.workloads._job import JobState

__all__ = ["JobProgress", "StepProgress"]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """How far a step of one occurrence is.

    :param done: hexadecimal number whose bit ``i`` says that task ``i`` is done.
    :param failed_runs_by_index: numbers of failed runs, by task. Numbers and not a count: the next
        owner is told of the same end again if it was not acknowledged, and must not count it twice.
    :param saved_by_index: newest checkpoint, by task.
    """

    done: str = "0"
    failed_runs_by_index: dict[int, list[int]] = {}
    saved_by_index: dict[int, str] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """How far a job is.

    :param ended_ms: when it became final, in milliseconds since the epoch.
    :param steps_by_key: by ``occurrence.step``; steps without news are left out.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    steps_by_key: dict[str, StepProgress] = {}
