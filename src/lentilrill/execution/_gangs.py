"""Placement of gangs, whose members start together or not at all."""

import copy
from collections.abc import Iterable

from lentilrill.execution._tracking import Run, RunPhase, TrackedJob, TrackedStep
from lentilrill.ids import EndpointId, RackId
from lentilrill.scheduling import EndpointCapacity, place

__all__ = ["choose_for_gang", "incomplete_gang_runs"]


def choose_for_gang(
    step: TrackedStep, capacities: list[EndpointCapacity]
) -> list[EndpointCapacity] | None:
    """Return an endpoint for each member of a gang, or ``None`` if not all of them fit."""
    failed_at = _gang_failures(step)
    if not step.spec.same_rack:
        return _gang_capacities(step, capacities, failed_at)
    for rack in _racks_to_try(capacities, failed_at):
        on_rack = [capacity for capacity in capacities if capacity.rack == rack]
        chosen = _gang_capacities(step, on_rack, failed_at)
        if chosen is not None:
            return chosen
    return _gang_capacities(step, capacities, failed_at)


def incomplete_gang_runs(tracked_job: TrackedJob) -> list[Run]:
    """Return the runs of gangs that won't be complete, as the start of a member was given up.

    They would keep their capacity until each endpoint ends them because they are alone.
    """
    return [
        run
        for step in tracked_job.ready_steps()
        if step.spec.gang
        for task in step.tasks
        for run in task.runs
        if run.phase is not RunPhase.STOPPING and _is_incomplete(step, run)
    ]


def _is_incomplete(step: TrackedStep, run: Run) -> bool:
    """Whether the gang of a run won't be complete.

    A start that was lost, or given up, with a previous owner shows only as a member without a run.
    """
    if run.number == step.given_up_number:
        return True
    knows_all_runs = step.tracked_job.start_zones.knows_all_runs
    return knows_all_runs and run.was_found and step.has_waiting_tasks


def _gang_failures(step: TrackedStep) -> dict[EndpointId, float]:
    """Return when any member of a gang last failed on each endpoint."""
    failed_at: dict[EndpointId, float] = {}
    for task in step.tasks:
        for endpoint, at in task.failed_at.items():
            failed_at[endpoint] = max(at, failed_at.get(endpoint, 0.0))
    return failed_at


def _racks_to_try(
    capacities: Iterable[EndpointCapacity], failed_at: dict[EndpointId, float]
) -> list[RackId]:
    """Return the racks, those without failures first, then those with the oldest ones."""
    failed_at_by_rack: dict[RackId, float] = {}
    for capacity in capacities:
        latest = max(failed_at.get(capacity.id, 0.0), failed_at_by_rack.get(capacity.rack, 0.0))
        failed_at_by_rack[capacity.rack] = latest
    return sorted(failed_at_by_rack, key=lambda rack: (failed_at_by_rack[rack], rack))


def _gang_capacities(
    step: TrackedStep,
    capacities: list[EndpointCapacity],
    failed_at: dict[EndpointId, float],
) -> list[EndpointCapacity] | None:
    trial = {capacity.id: copy.copy(capacity) for capacity in capacities}
    counts: dict[EndpointId, int] = {}
    chosen = []
    for _ in step.tasks:
        capacity = place(step.spec, trial.values(), lambda e: counts.get(e, 0), failed_at=failed_at)
        if capacity is None:
            return None
        capacity.reserve(step.spec.reserved, serves=False)
        counts[capacity.id] = counts.get(capacity.id, 0) + 1
        chosen.append(next(c for c in capacities if c.id == capacity.id))
    return chosen
