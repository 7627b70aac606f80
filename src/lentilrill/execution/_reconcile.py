"""Reconciliation of tracked jobs and runs with the answers of endpoints."""

import time
from collections.abc import Callable

from lentilrill.execution._book import JobBook, Run, RunPhase, TaskBook
from lentilrill.execution._contract import EndKind, Look, RunEnd, RunSeen, Verdict
from lentilrill.execution._link import EndpointLink, Order, OrderKind
from lentilrill.execution._need import Durations
from lentilrill.ids import JobId
from lentilrill.telemetry import Event, log
from lentilrill.workloads import JobState

__all__ = ["Reconciler"]

RETRY_ELSEWHERE_S = 0.3
"""Pause before a task whose start was refused is placed again: by then a poll has shown why."""
STRAY_S = 3.0
"""Time after which an unknown run is stopped: several intervals of the watch on accepted jobs,
which are also sent to the owner directly."""
FULL_PACE = 100
UNWELL_FAILURES = 2
"""Consecutive failed runs after which an endpoint gets only one task at a time, after a pause. At a
failure rate of one in thirty a healthy endpoint reaches this once in 900 runs, and recovers within
a second."""
FIRST_PROBE_S = 0.5
LONGEST_PROBE_S = 4.0
"""Bounds of the pause before an unhealthy endpoint gets another task. It doubles with each failure,
since each probe may cost a task one of its attempts."""


class Reconciler:
    """Applies the reports of endpoints to the tracked jobs and runs.

    All methods are called under the lock of the pool's owner.

    :param attempts: returns the number of failed runs after which a job's task is given up.
    """

    def __init__(
        self,
        jobs_by_id: dict[JobId, JobBook],
        attempts: Callable[[JobBook], int],
        durations: Durations,
    ) -> None:
        self._jobs_by_id = jobs_by_id
        self._attempts = attempts
        self._durations = durations

    def take_look(self, link: EndpointLink, look: Look, sent: float) -> list[Order]:
        """Apply the result of a poll; return stop orders for runs that should not exist.

        :param sent: monotonic time at which the poll was sent.
        """
        if look.born_ms and look.born_ms != link.born_ms:
            if link.born_ms:
                log(Event.ENDPOINT_REBORN, endpoint=link.entry.id, born_ms=look.born_ms)
            link.reborn(look.born_ms)
        link.note_clock(look.clock_ms, time.monotonic())
        ended = {(end.task, end.number) for end in look.ended}
        for end in sorted(look.ended, key=lambda e: e.cursor):
            if end.cursor > link.seen_cursor:
                link.seen_cursor = end.cursor
                self._end(link, end)
        stops = []
        seen = set()
        strays = link.strays_by_key
        for running in look.running:
            seen.add((running.task, running.number))
            stops += self._see(link, running)
        link.strays_by_key = {key: since for key, since in strays.items() if key in seen}
        for key, run in list(link.runs_by_key.items()):
            if key in seen or key in ended:
                continue
            if run.confirmed_at is not None and run.confirmed_at < sent:
                self.drop(link, run, "no longer listed by its endpoint")
        return stops

    def take_answer(
        self, link: EndpointLink, order: Order, verdict: Verdict, clock_ms: int = 0
    ) -> Order | None:
        """Apply the answer to an order; return the order to send next, if any.

        :param clock_ms: the endpoint's clock at its answer; 0 if unknown.
        """
        run = order.run
        if run is None or run.key not in link.runs_by_key or order.kind is OrderKind.PACE:
            return None
        if order.kind is OrderKind.STOP:
            return self._take_stop_answer(run, order, verdict)
        if verdict is Verdict.DONE:
            run.confirmed_at = now = time.monotonic()
            began_at = link.moment_of(clock_ms, now) if clock_ms else now
            run.changed_at = max(run.changed_at, began_at)
            run.began_at = None if run.task.checkpoint else began_at
            run.task.step.book.begin()
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNDER_WAY
            return None
        if verdict is Verdict.UNKNOWN or (verdict is Verdict.UNREACHED and run.in_doubt):
            # A start is idempotent, and the answer to a resent one also covers the first one.
            run.in_doubt = True
            return order
        log(
            Event.START_REFUSED,
            job=run.task.id.job,
            task=run.task.id,
            run=run.number,
            endpoint=link.entry.id,
            verdict=verdict.value,
        )
        if verdict is Verdict.OUTDATED:
            # The run has ended or was stopped; a poll lists its end.
            run.confirmed_at = time.monotonic()
            return None
        now = time.monotonic()
        run.task.not_before = now + RETRY_ELSEWHERE_S
        if verdict is Verdict.UNREACHED:
            link.probe_at = max(link.probe_at, now + RETRY_ELSEWHERE_S)
        if run.in_doubt:
            # An earlier copy of this start order may still be executed, which would run the task
            # twice. A stop makes the endpoint refuse it from then on.
            run.phase = RunPhase.STOPPING
            return Order.of(OrderKind.STOP, run)
        self.drop(link, run, verdict.value)
        return None

    def _take_stop_answer(self, run: Run, order: Order, verdict: Verdict) -> Order | None:
        if verdict in (Verdict.UNKNOWN, Verdict.UNREACHED, Verdict.BUSY):
            return order
        # Stopped, or refused as outdated: a later poll lists the run's end or not the run at all.
        run.confirmed_at = time.monotonic()
        return None

    def drop(self, link: EndpointLink, run: Run, reason: str) -> None:
        """Remove a run that is certain to have ended; its task waits again."""
        link.runs_by_key.pop(run.key, None)
        link.busy_at = time.monotonic()
        task = run.task
        if run in task.runs:
            task.runs.remove(run)
        if run.phase is not RunPhase.STOPPING:
            log(
                Event.RUN_GONE,
                job=task.id.job,
                task=task.id,
                run=run.number,
                endpoint=link.entry.id,
                reason=reason,
            )

    def _end(self, link: EndpointLink, end: RunEnd) -> None:
        run = link.runs_by_key.get((end.task, end.number))
        book = self._jobs_by_id.get(end.task.job)
        task = book.task(end.task) if book is not None else None
        if run is not None:
            self.drop(link, run, end.kind.value)
        if book is None or task is None or book.state.is_final:
            return
        book.touch()
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE:
            link.failures = 0
            link.probe_at = 0.0
            if run is not None and run.began_at is not None and run.pace == FULL_PACE:
                self._durations.note(task.step, max(0.0, link.told_at - run.began_at) * 1000)
            self._done(book, task, gang=task.step.spec.gang)
        elif end.kind is EndKind.FAILED:
            count_failure(link)
            self._failed(book, task, link, end)
        elif run is None and end.kind is not EndKind.STOPPED:
            log(
                Event.RUN_ENDED,
                job=end.task.job,
                task=end.task,
                run=end.number,
                endpoint=link.entry.id,
                how=end.kind.value,
            )

    def _done(self, book: JobBook, task: TaskBook, *, gang: bool) -> None:
        if task.step.spec.lasting:
            return
        for member in task.step.tasks if gang else (task,):
            member.step.finish(member)

    def _failed(self, book: JobBook, task: TaskBook, link: EndpointLink, end: RunEnd) -> None:
        task.failed_runs.add(end.number)
        task.failed_on.add(link.entry.id)
        attempts = self._attempts(book)
        log(
            Event.RUN_FAILED,
            job=end.task.job,
            task=end.task,
            run=end.number,
            endpoint=link.entry.id,
            failures=task.failures,
            attempts=attempts,
        )
        if not task.step.spec.lasting and task.failures >= attempts:
            book.end(JobState.FAILED, int(time.time() * 1000))

    def _see(self, link: EndpointLink, running: RunSeen) -> list[Order]:
        key = (running.task, running.number)
        run = link.runs_by_key.get(key)
        if run is None:
            run = self._adopt(link, running)
            if run is None:
                return self._stray(link, running)
        link.strays_by_key.pop(key, None)
        if running.percent != run.percent:
            run.changed_at = link.told_at
        run.percent, run.load = running.percent, running.load
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.UNDER_WAY
            run.confirmed_at = run.confirmed_at or time.monotonic()
            run.changed_at = link.told_at
            run.task.step.book.begin()
        return []

    def _stray(self, link: EndpointLink, running: RunSeen) -> list[Order]:
        """Stop a run whose job is not tracked or has ended.

        The job may have been accepted but not read yet, so the run is stopped only after a while.
        Until then it counts as a run of its task, so that the task is not started a second time.
        """
        key = (running.task, running.number)
        now = time.monotonic()
        since = link.strays_by_key.setdefault(key, now)
        is_known = running.task.job in self._jobs_by_id
        log(
            Event.RUN_UNKNOWN,
            task=running.task,
            run=running.number,
            endpoint=link.entry.id,
            job_known=is_known,
            for_s=round(now - since, 1),
        )
        if is_known or now - since > STRAY_S:
            return [Order(OrderKind.STOP, running.task, running.number)]
        return []

    def _adopt(self, link: EndpointLink, running: RunSeen) -> Run | None:
        """Track a run that this owner has not placed, if its job is tracked.

        It was started by an earlier owner, or by an order that was executed after this owner had
        given it up.
        """
        book = self._jobs_by_id.get(running.task.job)
        task = book.task(running.task) if book is not None else None
        if book is None or task is None:
            return None
        run = Run(task, running.number, link.entry.id, task.step.spec.reserved)
        run.phase = RunPhase.UNDER_WAY
        run.confirmed_at = time.monotonic()
        run.changed_at = link.told_at
        link.runs_by_key[run.key] = run
        link.inherit_lease(run.confirmed_at)
        task.runs.append(run)
        book.begin()
        log(
            Event.RUN_ADOPTED, job=task.id.job, task=task.id, run=run.number, endpoint=link.entry.id
        )
        return run


def count_failure(link: EndpointLink) -> None:
    """Count a failed run of an endpoint and set the pause before its next task."""
    link.failures += 1
    if link.failures >= UNWELL_FAILURES:
        pause_s = FIRST_PROBE_S * 2.0 ** min(10, link.failures - UNWELL_FAILURES)
        link.probe_at = time.monotonic() + min(LONGEST_PROBE_S, pause_s)


def is_unwell(link: EndpointLink) -> bool:
    """Whether an endpoint gets one task at a time because of consecutive failed runs."""
    return link.failures >= UNWELL_FAILURES
