"""Draining of an endpoint whose host is needed for upkeep or for another pool."""

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._orders import Order
from lentilrill.execution._tracking import Run, RunPhase, TrackedTask
from lentilrill.inner import ReleaseState
from lentilrill.telemetry import Event, log

__all__ = ["REQUEST_TIMEOUT_S", "away_tasks", "expire_releases", "release"]

FINISH_GRACE_S = 2.5
"""How long tasks may finish before they are stopped. Most take a second or two, and stopping a task
without a checkpoint loses its work."""
REQUEST_TIMEOUT_S = 3.0
"""Time without a request after which a release ends; requests are repeated every 0.25 s."""


def release(link: EndpointLink, now: float) -> tuple[str, str, list[Order]]:
    """Drain an endpoint and return its progress.

    :param now: the monotonic clock.
    :return: a value of :class:`ReleaseState`, what it waits for, and stop orders to be sent.
    """
    if not link.released:
        link.released = True
        link.release_started_at = now
    link.release_requested_at = now
    if link.unknown_since_by_key:
        return ReleaseState.WAIT, "the endpoint runs tasks that are not tracked", []
    if link.has_unread_ends:
        return ReleaseState.WAIT, "not all ends of its tasks were listed yet", []
    if not link.runs_by_key:
        # The endpoint ends with its host, and nobody else lists its ends.
        if link.seen_cursor > link.stored_cursor:
            return ReleaseState.WAIT, "the ends of its tasks are not stored yet", []
        link.freed_at = now
        return ReleaseState.FREE, "", []
    if not link.reachable:
        return ReleaseState.WAIT, "the endpoint does not answer", []
    orders: list[Order] = []
    reason = "tasks are finishing"
    for run in list(link.runs_by_key.values()):
        if run.phase is not RunPhase.IN_PROGRESS:
            continue
        spec = run.task.step.spec
        if spec.lasting:
            away = away_tasks(run.task, now)
            if spec.may_be_away and away >= spec.may_be_away:
                reason = f"{away} tasks beside {run.task.id} are not working"
                continue
            _log_drained(link, run, away, now)
            orders.append(Order.stop(run))
        elif now - link.release_started_at > FINISH_GRACE_S or spec.checkpoints:
            orders.append(Order.stop(run))
    return ReleaseState.WAIT, reason, orders


def expire_releases(links: list[EndpointLink], now: float) -> None:
    """End releases that are no longer requested."""
    for link in links:
        if link.released and now - link.release_requested_at > REQUEST_TIMEOUT_S:
            link.released = False


def away_tasks(task: TrackedTask, now: float) -> int:
    """Return how many other tasks of a long-running step are not known to work, for any cause.

    Counting only tasks stopped by a release would let two owners exceed the budget: one stops a
    task and hands the pool over, and the next one can't tell why the task does not run.
    """
    return sum(
        1
        for other in task.step.tasks
        if other is not task and not any(run.is_at_work(now) for run in other.runs)
    )


def _log_drained(link: EndpointLink, run: Run, away: int, now: float) -> None:
    log(
        Event.RUN_DRAINED,
        job=run.task.id.job,
        task=run.task.id,
        run=run.number,
        endpoint=link.entry.id,
        away=away,
        may_be_away=run.task.step.spec.may_be_away,
        report_age_s=round(now - link.reported_at, 2),
    )
