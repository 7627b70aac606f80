"""Stored progress of jobs."""

from enum import Enum
from typing import NamedTuple

import msgspec

from lentilrill.ids import EndpointId, HostId, WorkspaceId, ZoneId
from lentilrill.workloads._job import JobState

__all__ = ["Attempt", "FailureCause", "JobProgress", "JobView", "StepProgress"]


class FailureCause(Enum):
    """Why a job has failed."""

    NONE = ""
    ATTEMPTS = "attempts"
    """A task has failed as often as its queue allows."""
    CRASHES = "crashes"
    """Endpoints have crashed under a task."""


class JobView(NamedTuple):
    """What callers are shown of a job.

    :param workspace: workspace that it belongs to.
    :param cause: why it failed.
    """

    state: JobState
    workspace: WorkspaceId
    cause: FailureCause = FailureCause.NONE


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """Process of an endpoint on which a task is started that may crash it.

    :param started_ms: when the process started, in milliseconds since the epoch.
    """

    host: HostId
    started_ms: int


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a step of one occurrence.

    :param done: hexadecimal bit mask; bit ``i`` is set if task ``i`` is done.
    :param failed_runs_by_index: run numbers of failed runs, by task. Run numbers instead of a
        count, because an end that was not acknowledged is reported again to the next owner, which
        must not count it twice.
    :param saved_by_index: newest checkpoint, by task.
    :param crashed_by_index: processes of endpoints that crashed under a task.
    :param attempts_by_index: starts of which it isn't known yet whether the endpoint crashed, by
        task and endpoint.
    """

    done: str = "0"
    failed_runs_by_index: dict[int, list[int]] = {}
    saved_by_index: dict[int, str] = {}
    crashed_by_index: dict[int, list[str]] = {}
    attempts_by_index: dict[int, dict[EndpointId, Attempt]] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a job.

    :param ended_ms: time at which its state became final, in milliseconds since the epoch.
    :param cause: why it failed.
    :param steps_by_key: progress by ``occurrence.step``; steps without progress are left out.
    :param zones: availability zones in which its tasks may have been started and may still run;
        ``None`` for any zone.
    """

    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    cause: FailureCause = FailureCause.NONE
    steps_by_key: dict[str, StepProgress] = {}
    zones: list[ZoneId] | None = None
