"""Judgement of caps: what the runs of each workspace used, by what the endpoints saw."""

from collections.abc import Iterable
from typing import Protocol

import msgspec

__all__ = ["CapChange", "JobUse", "find_excess"]

OVERAGE = 0.1
"""Share above its cap that a workspace may use, besides one task more."""
APPLY_S = 3.0
"""Time after a change for which the former cap may still be in force."""


class JobUse(msgspec.Struct, frozen=True):
    """Workspace of a job, and thousandths of a core that each of its tasks uses."""

    workspace: str
    cpu: int


class CapChange(msgspec.Struct, frozen=True):
    """Caps of all workspaces from one moment on, in thousandths of a core; 0 for no limit."""

    at: float
    by_workspace: dict[str, int]


class _Run(Protocol):
    task: str
    began: float
    ended: float


def find_excess(
    runs: Iterable[_Run], use_by_job: dict[str, JobUse], changes: list[CapChange]
) -> list[str]:
    """Return a line for each start that brought a workspace above its cap."""
    found = []
    known = [(run, use_by_job[run.task.split(".")[0]]) for run in runs if _job(run) in use_by_job]
    for started, use in known:
        cap = _highest_cap(changes, use.workspace, started.began)
        if cap is None:
            continue
        used = sum(
            other_use.cpu
            for other, other_use in known
            if other_use.workspace == use.workspace and _runs_at(other, started.began)
        )
        if used > cap * (1 + OVERAGE) + use.cpu:
            found.append(f"{use.workspace} uses {used} of {cap} at the start of {started.task}")
    return found


def _job(run: _Run) -> str:
    return run.task.split(".")[0]


def _runs_at(run: _Run, at: float) -> bool:
    return run.began <= at and (not run.ended or run.ended > at)


def _highest_cap(changes: list[CapChange], workspace: str, at: float) -> int | None:
    """Return the highest cap that may be in force at a time; ``None`` for no limit."""
    caps = []
    for change, following in zip(changes, [*changes[1:], None], strict=True):
        is_over = following is not None and following.at + APPLY_S < at
        if change.at <= at and not is_over:
            caps.append(change.by_workspace.get(workspace, 0))
    return max(caps) if caps and all(caps) else None
