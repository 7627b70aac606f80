"""Conversion of a step's state to and from its stored progress."""

from typing import TYPE_CHECKING

from lentilrill.workloads import StepProgress

if TYPE_CHECKING:
    from lentilrill.execution._tracking import TrackedStep

__all__ = ["restore_step", "step_progress_of"]


def step_progress_of(step: "TrackedStep") -> StepProgress:
    """Return the progress of a step to be stored."""
    done = 0
    for index, task in enumerate(step.tasks):
        if task.done:
            done |= 1 << index
    return StepProgress(
        f"{done:x}",
        {i: sorted(t.failed_runs) for i, t in enumerate(step.tasks) if t.failed_runs},
        {i: t.checkpoint for i, t in enumerate(step.tasks) if t.checkpoint and not t.done},
        {i: sorted(t.crashed_processes) for i, t in enumerate(step.tasks) if t.crashed_processes},
        {i: dict(t.attempts) for i, t in enumerate(step.tasks) if t.attempts},
    )


def restore_step(step: "TrackedStep", step_progress: StepProgress) -> None:
    """Restore a step from its stored progress."""
    done = int(step_progress.done, 16)
    for index, task in enumerate(step.tasks):
        if done >> index & 1:
            step.finish(task)
        task.failed_runs = set(step_progress.failed_runs_by_index.get(index, ()))
        task.checkpoint = step_progress.saved_by_index.get(index, "")
        task.crashed_processes = set(step_progress.crashed_by_index.get(index, ()))
        task.attempts = dict(step_progress.attempts_by_index.get(index, {}))
