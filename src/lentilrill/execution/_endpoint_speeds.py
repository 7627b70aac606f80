"""Evidence of the speed of a pool's endpoints, from the reports of their tasks."""

from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations
from lentilrill.execution._tracking import FULL_PACE_PERCENT, Run, RunPhase
from lentilrill.ids import EndpointId, PoolId
from lentilrill.scheduling import EndpointKind, EndpointSpeeds, Speed, SpeedChange
from lentilrill.telemetry import Event, Metrics, NoMetrics, log
from lentilrill.workloads import EndpointSpeed, TaskId

__all__ = ["SpeedMonitor"]

REVIEW_INTERVAL_S = 0.5
MIN_POINTS = 5
"""Percent points of progress from which a rate is taken; reports are in whole percents."""
MIN_SPAN_S = 0.2
MAX_POLL_GAP_S = 0.3
"""Time without a poll in flight after which an end may have waited for its report."""
NO_METRICS = NoMetrics()


class _Mark(msgspec.Struct, frozen=True):
    """Progress of a run from which its rate is measured."""

    percent: int
    at: float


class SpeedMonitor:
    """Judges the speed of endpoints by the progress and the ends of their tasks.

    Only tasks whose own reasons for a different duration are known to be absent count: no resumed
    or adopted ones, no long-running ones, fillers or gangs, none that run at a reduced pace or away
    from the rack of their data. Times are those of the endpoint's clock, so a poll that is sent or
    processed late doesn't make its tasks slow. Missing progress is no evidence either.

    Called under the lock of the pool's owner.
    """

    def __init__(self, pool: PoolId, durations: Durations, metrics: Metrics = NO_METRICS) -> None:
        self._pool = pool
        self._durations = durations
        self._metrics = metrics
        self._speeds = EndpointSpeeds()
        self._marks_by_endpoint: dict[EndpointId, dict[tuple[TaskId, int], _Mark]] = {}
        self._reviewed_at = 0.0

    def on_report(self, link: EndpointLink, run: Run) -> None:
        """Record a run's progress from a report of its endpoint."""
        marks = self._marks_by_endpoint.setdefault(link.entry.id, {})
        mark = marks.get(run.key)
        if not run.percent or not _is_representative(link, run):
            marks.pop(run.key, None)
            return
        new_mark = _Mark(run.percent, link.reported_at)
        if mark is None or run.percent < mark.percent:
            marks[run.key] = new_mark
            return
        points, span_s = run.percent - mark.percent, link.reported_at - mark.at
        if points >= MIN_POINTS and span_s >= MIN_SPAN_S:
            self._observe(link, run, span_s * 100 / points)
            marks[run.key] = new_mark

    def on_end(self, link: EndpointLink, run: Run, sent: float) -> None:
        """Record the end of a task that is done.

        :param sent: when the poll was sent that lists it.
        """
        if run.started_at is None or not _is_representative(link, run):
            return
        if sent - max(run.reported_at, run.started_at) <= MAX_POLL_GAP_S:
            self._observe(link, run, max(0.0, link.reported_at - run.started_at))

    def on_restart(self, link: EndpointLink) -> None:
        """Forget an endpoint whose process has been replaced."""
        self._speeds.forget(link.entry.id)
        self._marks_by_endpoint.pop(link.entry.id, None)
        self._apply(link)

    def review(
        self, links: Iterable[EndpointLink], usable: Collection[EndpointId], now: float
    ) -> None:
        """Judge the endpoints periodically, and log each change.

        :param usable: endpoints that get new tasks if their speed permits.
        """
        if now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        links = list(links)
        kind_by_id = {
            link.entry.id: EndpointKind(link.entry.labels, link.entry.capacity) for link in links
        }
        for change in self._speeds.review(kind_by_id, usable, now):
            self._log(change)
        for link in links:
            self._apply(link)
        self._drop_old_marks(links)
        count_by_speed = Counter(link.speed for link in links)
        for speed in Speed:
            self._metrics.gauge(f"endpoint.{speed.value}.{self._pool}", count_by_speed[speed])

    def status(self, links: Iterable[EndpointLink]) -> list[EndpointSpeed]:
        """Return what is shown of the endpoints' speeds."""
        return [
            EndpointSpeed(
                self._pool,
                link.entry.id,
                link.speed.value,
                *self._speeds.evidence(link.entry.id),
                len(link.runs_by_key),
            )
            for link in links
        ]

    def close(self) -> None:
        """Show no endpoints any more, as another process owns the pool."""
        for speed in Speed:
            self._metrics.gauge(f"endpoint.{speed.value}.{self._pool}", 0)

    def _observe(self, link: EndpointLink, run: Run, seconds: float) -> None:
        step = run.task.step
        job = step.tracked_job.job
        # Not the mean of the step's own tasks: they may all have run on this endpoint.
        expected_ms = self._durations.expected_ms(job, step.spec, None)
        if expected_ms > 0:
            self._speeds.observe(
                link.entry.id,
                run.task.id,
                job.queue,
                seconds * 1000 / expected_ms,
                link.reported_at,
            )

    def _apply(self, link: EndpointLink) -> None:
        link.speed = self._speeds.speed(link.entry.id)
        link.capacity_share = self._speeds.capacity_share(link.entry.id)

    def _drop_old_marks(self, links: list[EndpointLink]) -> None:
        marks_by_endpoint = self._marks_by_endpoint
        self._marks_by_endpoint = {}
        for link in links:
            marks = marks_by_endpoint.get(link.entry.id, {})
            kept = {key: mark for key, mark in marks.items() if key in link.runs_by_key}
            if kept:
                self._marks_by_endpoint[link.entry.id] = kept

    def _log(self, change: SpeedChange) -> None:
        log(
            Event.ENDPOINT_SPEED,
            shard=self._pool,
            endpoint=change.endpoint,
            speed=change.after.value,
            before=change.before.value,
            slowdown=round(change.slowdown, 2),
            needed=round(change.needed, 2),
            tasks=change.tasks,
            jobs=change.jobs,
            newest_s=round(change.newest_s, 1),
            oldest_s=round(change.oldest_s, 1),
            pause_s=change.pause_s,
        )


def _is_representative(link: EndpointLink, run: Run) -> bool:
    """Whether nothing but its endpoint and its own length explains what a run takes."""
    spec = run.task.step.spec
    is_plain = not (spec.lasting or spec.filler or spec.gang)
    is_near = not spec.near or spec.near == link.entry.rack
    is_at_full_pace = run.pace == FULL_PACE_PERCENT and run.phase is RunPhase.IN_PROGRESS
    return run.started_at is not None and is_plain and is_near and is_at_full_pace
