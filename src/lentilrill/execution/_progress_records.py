"""Conversion of a job's state to and from its stored progress."""

import msgspec

from lentilrill.execution._tracking import TrackedJob, TrackedStep
from lentilrill.ids import JobId
from lentilrill.workloads import FailureCause, JobProgress, JobState, StepProgress

__all__ = ["encode_progress", "job_id_of", "progress_of", "restore_progress"]


def progress_of(tracked_job: TrackedJob) -> JobProgress:
    """Return the progress record of a job to be stored."""
    if tracked_job.state.is_final:
        return JobProgress(tracked_job.state, tracked_job.ended_ms, tracked_job.cause)
    steps_by_key = {}
    for occurrence, steps in tracked_job.steps_by_occurrence.items():
        for step in steps:
            step_progress = _progress_of_step(step)
            if step_progress != StepProgress():
                steps_by_key[f"{occurrence}.{step.id.step}"] = step_progress
    run_zones = (run.zone for task in tracked_job.tasks() for run in task.runs)
    is_started = tracked_job.state is not JobState.QUEUED
    zones = tracked_job.start_zones.to_store(run_zones, is_started=is_started)
    return JobProgress(tracked_job.state, 0, FailureCause.NONE, steps_by_key, zones)


def restore_progress(tracked_job: TrackedJob, progress: JobProgress, now_ms: int) -> None:
    """Restore a job's state from the progress record of a previous owner."""
    tracked_job.is_recorded = tracked_job.is_restored = True
    tracked_job.state = progress.state
    tracked_job.ended_ms = progress.ended_ms
    tracked_job.cause = progress.cause
    tracked_job.final_stored = progress.state.is_final
    tracked_job.start_zones.restore(progress.zones)
    if tracked_job.final_stored:
        return
    tracked_job.open_occurrences(now_ms)
    for key, step_progress in progress.steps_by_key.items():
        occurrence, _, index = key.partition(".")
        # An occurrence that has begun must survive a clock that was set back.
        while tracked_job.next_occurrence <= int(occurrence):
            due_ms = tracked_job.job.due_ms(tracked_job.next_occurrence)
            tracked_job.open_occurrences(due_ms)
        step = tracked_job.steps_by_occurrence[int(occurrence)][int(index)]
        _restore_step(step, step_progress)


def encode_progress(progress: JobProgress) -> bytes:
    """Return a progress record in its stored encoding."""
    return msgspec.json.encode(progress)


def job_id_of(key: str) -> JobId:
    """Return the job id in the last component of a key."""
    return JobId(key.rpartition("/")[2])


def _progress_of_step(step: TrackedStep) -> StepProgress:
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


def _restore_step(step: TrackedStep, step_progress: StepProgress) -> None:
    """Restore a step from its stored progress."""
    done = int(step_progress.done, 16)
    for index, task in enumerate(step.tasks):
        if done >> index & 1:
            step.finish(task)
        task.failed_runs = set(step_progress.failed_runs_by_index.get(index, ()))
        task.checkpoint = step_progress.saved_by_index.get(index, "")
        task.crashed_processes = set(step_progress.crashed_by_index.get(index, ()))
        task.attempts = dict(step_progress.attempts_by_index.get(index, {}))
