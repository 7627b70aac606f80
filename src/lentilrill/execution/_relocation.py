"""Moves of tasks with checkpoints that may run only once away from slow endpoints."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._copies import TimesLeft
from lentilrill.execution._job_queues import JobOfQueue
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._spare_room import Capacities, Slowdown, slowdown_of, without_waiting
from lentilrill.execution._tracking import MAX_REPORT_AGE_S, Run, RunPhase, TrackedTask
from lentilrill.ids import EndpointId, PoolId
from lentilrill.scheduling import (
    MIN_SLOWDOWN,
    RelocatableRun,
    RelocationCost,
    is_worth_relocating,
    may_relocate_again,
    place,
)
from lentilrill.telemetry import Event, Metrics, log
from lentilrill.workloads import Step, TaskId

__all__ = ["Relocations"]

MAX_MOVES_AT_ONCE = 2
"""Tasks of a pool that are being moved at once: moved tasks are out of work meanwhile."""
MAX_MOVE_S = 30.0
"""Time after which a moved task isn't waited for any more."""


class _Relocation(msgspec.Struct, frozen=True):
    """A move whose task doesn't work elsewhere yet.

    :param percent: progress at the stop.
    """

    task: TrackedTask
    run: Run
    percent: int
    stopped_at: float


class Relocations:
    """Moves of the tasks of one pool. All methods are called under the lock of the pool's owner.

    A move is an ordinary stop, after which the task waits and is placed like any other, but not on
    the endpoint that it has left. An owner that is lost in between leaves a task that waits.

    :param slowdown: how much slower than usual an endpoint is.
    """

    def __init__(
        self,
        pool: PoolId,
        times: TimesLeft,
        metrics: Metrics,
        slowdown: Slowdown = slowdown_of,
    ) -> None:
        self._pool = pool
        self._times = times
        self._slowdown = slowdown
        self._metrics = metrics
        self._cost = RelocationCost()
        self._open: list[_Relocation] = []
        self._moves_by_task: dict[TaskId, tuple[int, float]] = {}
        self._checkpoint_by_run: dict[tuple[TaskId, int], tuple[str, float]] = {}

    def plan(
        self,
        jobs: list[JobOfQueue],
        links: Mapping[EndpointId, EndpointLink],
        capacity_by_endpoint: Capacities,
        unknown_tasks: set[TaskId],
        budgets: RoundBudgets,
        now: float,
    ) -> list[Run]:
        """Return the runs to be stopped so that their tasks go on elsewhere.

        :param jobs: jobs that are not final.
        :param capacity_by_endpoint: capacity that is left after placement.
        :param unknown_tasks: tasks of unknown runs.
        """
        self._open = [move for move in self._open if self._is_open(move, now)]
        runs = list(self._runs_on_slow_endpoints(links.values()))
        self._note_checkpoints(runs, now)
        live = {tracked_job.job.id for tracked_job, _ in jobs}
        found = [
            (relocatable, run)
            for run in runs
            if run.task.id.job in live
            and run.task.id not in unknown_tasks
            and (relocatable := self._relocatable(run, links[run.endpoint], now)) is not None
        ]
        if not found:
            return []
        free = without_waiting(jobs, links, capacity_by_endpoint, budgets, now)
        free = {id: c for id, c in free.items() if self._slowdown(links[id]) < MIN_SLOWDOWN}
        stopped = []
        for relocatable, run in sorted(found, key=lambda pair: -pair[0].gain_s):
            if len(self._open) < MAX_MOVES_AT_ONCE and _reserve(run, free, now):
                self._start(run, relocatable, now)
                stopped.append(run)
        self._moves_by_task = {id: m for id, m in self._moves_by_task.items() if id.job in live}
        return stopped

    def _is_open(self, move: _Relocation, now: float) -> bool:
        """Whether a task doesn't work elsewhere yet; its move is recorded once it does."""
        task = move.task
        if task.done or task.step.tracked_job.state.is_final:
            return False
        others = [run for run in task.runs if run is not move.run]
        works = any(run.percent > move.percent for run in others)
        took_s = now - move.stopped_at
        if not works and took_s < MAX_MOVE_S:
            return True
        self._cost.observe(took_s)
        self._metrics.timing(f"relocation.{self._pool}", took_s * 1000)
        log(
            Event.TASK_RELOCATED,
            job=task.id.job,
            task=task.id,
            run=move.run.number,
            endpoint=move.run.endpoint,
            works=works,
            took_s=round(took_s, 2),
            expected_s=round(self._cost.seconds, 2),
        )
        return False

    def _runs_on_slow_endpoints(self, links: Iterable[EndpointLink]) -> Iterator[Run]:
        for link in links:
            if link.reachable and self._slowdown(link) >= MIN_SLOWDOWN:
                for run in link.runs_by_key.values():
                    if _is_movable(run.task.step.spec):
                        yield run

    def _note_checkpoints(self, runs: list[Run], now: float) -> None:
        """Note since when each run has its checkpoint; from its start if that wasn't seen."""
        seen = self._checkpoint_by_run
        self._checkpoint_by_run = {}
        for run in runs:
            checkpoint, since = seen.get(run.key, (run.task.checkpoint, run.began_at))
            since = since if checkpoint == run.task.checkpoint else now
            self._checkpoint_by_run[run.key] = (run.task.checkpoint, since)

    def _relocatable(self, run: Run, link: EndpointLink, now: float) -> RelocatableRun | None:
        """Return the times of a run if it is worth a move now."""
        task, age_s = run.task, now - run.reported_at
        moves, moved_at = self._moves_by_task.get(task.id, (0, 0.0))
        if run.phase is not RunPhase.IN_PROGRESS or task.done or len(task.runs) > 1:
            return None
        if age_s > MAX_REPORT_AGE_S or task.is_suspect or task.attempts:
            return None
        if not may_relocate_again(moves, now - moved_at):
            return None
        step = task.step
        elapsed_ms = max(0.0, run.reported_at - run.began_at) * 1000
        left_ms = self._times.remaining_ms(
            step.tracked_job.job, step.spec, step, elapsed_ms, run.percent / 100
        )
        _, since = self._checkpoint_by_run[run.key]
        relocatable = RelocatableRun(
            max(0.0, left_ms / 1000 - age_s),
            self._slowdown(link),
            now - since,
            self._cost.seconds,
        )
        return relocatable if is_worth_relocating(relocatable) else None

    def _start(self, run: Run, relocatable: RelocatableRun, now: float) -> None:
        task = run.task
        moves, _ = self._moves_by_task.get(task.id, (0, 0.0))
        self._moves_by_task[task.id] = (moves + 1, now)
        self._open.append(_Relocation(task, run, run.percent, now))
        task.record_failure_on(run.endpoint)
        self._metrics.incr(f"relocations.started.{self._pool}")
        log(
            Event.RELOCATION_STARTED,
            job=task.id.job,
            task=task.id,
            run=run.number,
            endpoint=run.endpoint,
            percent=run.percent,
            left_s=round(relocatable.left_s, 2),
            slowdown=round(relocatable.slowdown, 2),
            since_checkpoint_s=round(relocatable.since_checkpoint_s, 2),
            cost_s=round(relocatable.cost_s, 2),
            gain_s=round(relocatable.gain_s, 2),
            report_age_s=round(now - run.reported_at, 2),
            moves=moves + 1,
        )


def _is_movable(spec: Step) -> bool:
    """Whether tasks of a step keep checkpoints and may not have copies."""
    return spec.checkpoints and not (spec.speculative or spec.gang or spec.lasting or spec.filler)


def _reserve(run: Run, free: Capacities, now: float) -> bool:
    """Reserve capacity for a run on another endpoint; return whether there is some."""
    spec = run.task.step.spec
    excluded = run.task.excluded(now) | {run.endpoint}
    # Beside others of its step it would have to be counted against their limit there.
    others = [c for c in free.values() if c.id not in excluded and not c.probing]
    if spec.most_per_endpoint:
        counted = {r.endpoint for task in run.task.step.tasks for r in task.runs}
        others = [c for c in others if c.id not in counted]
    capacity = place(spec, others, lambda endpoint: 0, failed_at=run.task.failed_at)
    if capacity is None:
        return False
    capacity.reserve(spec.reserved, serves=False)
    return True
