"""How far a job is, as kept in the store."""

import msgspec

from lentilrill.workloads._job import JobState

__all__ = ["JobProgress", "StepProgress"]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """How far a step of one occurrence is.

    :param done: hexadecimal number whose bit ``i`` says that task ``i`` is done.
    :param failures_by_index: failed runs, by task.
    :param saved_by_index: newest checkpoint, by task.
    """

    done: str = "0"
    failures_by_index: dict[int, int] = {}
    saved_by_index: dict[int, str] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """How far a job is.

    :param ended_ms: when it became final, in milliseconds since the epoch.
    :param steps_by_key: by ``occurrence.step``; steps without news are left out.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    steps_by_key: dict[str, StepProgress] = {}
