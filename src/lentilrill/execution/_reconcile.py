"""Reconciliation of tracked jobs and runs with the answers of endpoints."""

import time
from collections.abc import Callable

from lentilrill.execution._contract import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.execution._crashes import FRESH_S, CrashBook
from lentilrill.execution._endpoint_speeds import SpeedMonitor
from lentilrill.execution._late_starts import LateStarts
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._tracking import FULL_PACE_PERCENT, Run, RunPhase, TrackedJob, TrackedTask
from lentilrill.ids import JobId
from lentilrill.telemetry import Event, log
from lentilrill.workloads import FailureCause, JobState

__all__ = ["Reconciler"]

RETRY_ELSEWHERE_S = 0.3
"""Pause before a task whose start was refused is placed again: by then a poll has shown why."""
UNKNOWN_RUN_GRACE_S = 3.0
"""Time after which an unknown run is stopped: several intervals of the watch on accepted jobs,
which are also sent to the owner directly."""
STOP_RETRY_S = 2.0
"""Time after which a run that its endpoint still lists is ordered to stop again."""
UNHEALTHY_AFTER_FAILURES = 2
"""Consecutive failed runs after which an endpoint gets only one task at a time, after a pause. At a
failure rate of one in thirty a healthy endpoint reaches this once in 900 runs, and recovers within
a second."""
STOP_TAKEN = (Verdict.DONE, Verdict.OUTDATED)
"""Answers to a stop after which the endpoint refuses the run."""
MIN_PROBE_PAUSE_S = 0.5
MAX_PROBE_PAUSE_S = 2.0
"""Bounds of the pause before an unhealthy endpoint gets another task. It doubles with each failure,
since each probe may cost a task one of its attempts; shorter than a task may stand still."""


class Reconciler:
    """Applies the reports of endpoints to the tracked jobs and runs.

    All methods are called under the lock of the pool's owner.

    :param attempts: returns the number of failed runs after which a job's task is given up.
    :param crashes: counts the endpoints that crash under a task.
    :param speeds: judges the endpoints by the progress and the ends of their tasks.
    """

    def __init__(
        self,
        jobs_by_id: dict[JobId, TrackedJob],
        attempts: Callable[[TrackedJob], int],
        durations: Durations,
        crashes: CrashBook,
        speeds: SpeedMonitor,
    ) -> None:
        self._jobs_by_id = jobs_by_id
        self._attempts = attempts
        self._durations = durations
        self._crashes = crashes
        self._speeds = speeds
        self._late_starts = LateStarts()

    def apply_poll(self, link: EndpointLink, result: PollResult, sent: float) -> list[Order]:
        """Apply the result of a poll; return stop orders for runs that should not exist.

        :param sent: monotonic time at which the poll was sent.
        """
        has_restarted = bool(result.started_ms) and result.started_ms != link.started_ms
        if has_restarted:
            if link.started_ms:
                log(Event.ENDPOINT_REBORN, endpoint=link.entry.id, born_ms=result.started_ms)
                self._crashes.on_process_ended(link)
                self._drop_stored_starts(link)
            link.reset(result.started_ms)
            self._speeds.on_restart(link)
        link.alive_at = sent
        link.update_clock(result.clock_ms, time.monotonic())
        self._note_pages(link, result)
        ended = {(end.task, end.number) for end in result.ended}
        for end in sorted(result.ended, key=lambda e: e.cursor):
            if end.cursor > link.seen_cursor:
                link.seen_cursor = end.cursor
                self._record_end(link, end, sent)
        stops: list[Order] = []
        seen = set()
        first_seen = link.unknown_since_by_key
        for running in result.running:
            seen.add((running.task, running.number))
            stops += self._update_run(link, running)
        if has_restarted:
            stops += self._late_starts.on_restart(link, seen)
        stops += self._late_starts.stops(link)
        link.unknown_since_by_key = {key: since for key, since in first_seen.items() if key in seen}
        for key, run in list(link.runs_by_key.items()):
            if key in seen or key in ended or not result.is_complete:
                continue
            if run.confirmed_at is not None and run.confirmed_at < sent:
                self.drop(link, run, "no longer listed by its endpoint")
            elif run.confirmed_at is None and 0 < run.expires_ms < result.clock_ms:
                # The endpoint refuses a start whose lease has expired, so it can't begin any more.
                run.task.record_failure_on(link.entry.id)
                count_failure(link)
                self._crashes.on_run_over(link, run)
                self.drop(link, run, "its start expired without an answer", is_given_up=True)
        return stops

    def _note_pages(self, link: EndpointLink, result: PollResult) -> None:
        """Note whether more ends than listed wait for their acknowledgement."""
        if link.has_unread_ends != (not result.is_complete):
            log(
                Event.ENDS_LISTED,
                endpoint=link.entry.id,
                ends=len(result.ended),
                is_complete=result.is_complete,
            )
        link.has_unread_ends = not result.is_complete

    def apply_answer(
        self, link: EndpointLink, order: Order, verdict: Verdict, clock_ms: int = 0
    ) -> Order | None:
        """Apply the answer to an order; return the order to send next, if any.

        :param clock_ms: the endpoint's clock at its answer; 0 if unknown.
        """
        run = order.run
        if order.kind is OrderKind.STOP and order.sent_to_ms not in (None, link.started_ms):
            # The former process may have answered, which says nothing of the present one.
            verdict = Verdict.UNKNOWN
        if run is None and order.kind is OrderKind.STOP and verdict in STOP_TAKEN:
            self._late_starts.on_stopped(link, order)
        if run is None or run.key not in link.runs_by_key or order.kind is OrderKind.PACE:
            return None
        if order.kind is OrderKind.STOP:
            return self._apply_stop_answer(run, order, verdict)
        if verdict is not Verdict.UNKNOWN:
            run.answer_count += 1
        if verdict is Verdict.DONE:
            run.confirmed_at = now = time.monotonic()
            started_at = link.local_time_of(clock_ms, now) if clock_ms else now
            run.progressed_at = max(run.progressed_at, started_at)
            run.started_at = None if run.task.checkpoint else started_at
            run.task.step.tracked_job.mark_running()
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.IN_PROGRESS
            return None
        if run.phase is RunPhase.IN_PROGRESS:
            # A poll has listed the run, so this order or an earlier copy of it was executed.
            return None
        if verdict is Verdict.UNKNOWN or (verdict is Verdict.UNREACHABLE and run.is_unconfirmed):
            run.is_unconfirmed = True
            if link.reachable and verdict is Verdict.UNKNOWN:
                # A start is idempotent, and the answer to a resent one also covers the first one.
                return order
            # On an endpoint that returns, possibly restarted, the task should not begin so late.
            return Order.stop(run)
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
        if verdict is Verdict.NO_TICKET:
            # What its job's queue requires isn't always known, and may have changed.
            run.task.step.tracked_job.is_ticket_required = True
        now = time.monotonic()
        run.task.not_before = now + RETRY_ELSEWHERE_S
        run.task.record_refusal_by(link.entry.id)
        if verdict is Verdict.UNREACHABLE:
            link.probe_at = max(link.probe_at, now + RETRY_ELSEWHERE_S)
        if run.is_unconfirmed:
            # An earlier copy of this start order may still be executed, which would run the task
            # twice. A stop makes the endpoint refuse it from then on.
            return Order.stop(run)
        self.drop(link, run, verdict.value)
        return None

    def _apply_stop_answer(self, run: Run, order: Order, verdict: Verdict) -> Order | None:
        if verdict in (Verdict.UNKNOWN, Verdict.UNREACHABLE, Verdict.BUSY):
            is_superseded = order.created_at < run.stop_ordered_at
            return None if is_superseded else order
        # Stopped, or refused as outdated: a later poll lists the run's end or not the run at all.
        run.confirmed_at = time.monotonic()
        return None

    def drop(self, link: EndpointLink, run: Run, reason: str, *, is_given_up: bool = False) -> None:
        """Remove a run that is certain to have ended; its task waits again.

        :param is_given_up: whether no report shows its end.
        """
        if run.is_unsent or not is_given_up:
            self._crashes.on_run_over(link, run)
        link.runs_by_key.pop(run.key, None)
        self._late_starts.on_over(link, run)
        link.last_busy_at = time.monotonic()
        run.give_up_start()
        task = run.task
        if run in task.runs:
            task.runs.remove(run)
        log(
            Event.RUN_GONE,
            job=task.id.job,
            task=task.id,
            run=run.number,
            endpoint=link.entry.id,
            reason=reason,
        )

    def _drop_stored_starts(self, link: EndpointLink) -> None:
        """Drop the starts that were stored for a process that has ended, and were not sent."""
        for run in list(link.runs_by_key.values()):
            if run.is_unsent and link.entry.id in run.task.attempts:
                self.drop(link, run, "its endpoint has restarted")

    def _record_end(self, link: EndpointLink, end: RunEnd, sent: float) -> None:
        run = link.runs_by_key.get((end.task, end.number))
        tracked_job = self._jobs_by_id.get(end.task.job)
        task = tracked_job.task(end.task) if tracked_job is not None else None
        if task is not None:
            task.attempts.pop(link.entry.id, None)
        if run is not None:
            self.drop(link, run, end.kind.value)
        if tracked_job is None or task is None or tracked_job.state.is_final:
            return
        tracked_job.mark_dirty()
        if end.checkpoint and task.takes_checkpoint(run):
            task.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE:
            link.failures = 0
            link.probe_at = 0.0
            if run is not None:
                run.finished_task = not task.done
                self._record_duration(link, run, sent)
            self._record_done(tracked_job, task, gang=task.step.spec.gang)
        elif end.kind is EndKind.FAILED:
            count_failure(link)
            # The failure of a copy that wasn't needed any more must not fail its job.
            if not task.done:
                self._record_failure(tracked_job, task, link, end)
        elif run is None and end.kind is not EndKind.STOPPED:
            log(
                Event.RUN_ENDED,
                job=end.task.job,
                task=end.task,
                run=end.number,
                endpoint=link.entry.id,
                how=end.kind.value,
            )

    def _record_duration(self, link: EndpointLink, run: Run, sent: float) -> None:
        """Record the duration of a run that is done; of several of a task, that of the first."""
        if run.started_at is None or run.pace != FULL_PACE_PERCENT:
            return
        self._speeds.on_end(link, run, sent)
        if run.finished_task:
            ms = max(0.0, link.reported_at - run.started_at) * 1000
            self._durations.record(run.task.step, ms)

    def _record_done(self, tracked_job: TrackedJob, task: TrackedTask, *, gang: bool) -> None:
        if task.step.spec.lasting:
            return
        for member in task.step.tasks if gang else (task,):
            member.step.finish(member)
            member.clear_suspicion()

    def _record_failure(
        self, tracked_job: TrackedJob, task: TrackedTask, link: EndpointLink, end: RunEnd
    ) -> None:
        task.failed_runs.add(end.number)
        task.record_failure_on(link.entry.id)
        attempts = self._attempts(tracked_job)
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
            tracked_job.end(JobState.FAILED, int(time.time() * 1000), FailureCause.ATTEMPTS)

    def _update_run(self, link: EndpointLink, running: ReportedRun) -> list[Order]:
        key = (running.task, running.number)
        run = link.runs_by_key.get(key)
        if run is None:
            run = self._adopt(link, running)
            if run is None:
                return self._handle_unknown_run(link, running)
        run.is_listed = True
        link.unknown_since_by_key.pop(key, None)
        if running.percent != run.percent:
            run.progressed_at = link.reported_at
        run.percent, run.load = running.percent, running.load
        run.reported_at = link.reported_at
        self._speeds.on_report(link, run)
        if link.reported_at - run.began_at > FRESH_S:
            self._crashes.on_working(run.task)
        if running.checkpoint and run.task.takes_checkpoint(run):
            run.task.checkpoint = running.checkpoint
        if run.phase is RunPhase.STOPPING and link.reported_at > run.stop_ordered_at + STOP_RETRY_S:
            log(
                Event.RUN_NOT_STOPPED,
                job=run.task.id.job,
                task=run.task.id,
                run=run.number,
                endpoint=link.entry.id,
            )
            return [Order.stop(run)]
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.IN_PROGRESS
            run.confirmed_at = run.confirmed_at or time.monotonic()
            run.progressed_at = link.reported_at
            run.task.step.tracked_job.mark_running()
        return []

    def _handle_unknown_run(self, link: EndpointLink, running: ReportedRun) -> list[Order]:
        """Stop a run whose job is not tracked or has ended.

        The job may have been accepted but not read yet, so the run is stopped only after a while.
        Until then it counts as a run of its task, so that the task is not started a second time.
        """
        key = (running.task, running.number)
        now = time.monotonic()
        since = link.unknown_since_by_key.setdefault(key, now)
        is_tracked = running.task.job in self._jobs_by_id
        log(
            Event.RUN_UNKNOWN,
            task=running.task,
            run=running.number,
            endpoint=link.entry.id,
            job_known=is_tracked,
            for_s=round(now - since, 1),
        )
        if is_tracked or now - since > UNKNOWN_RUN_GRACE_S:
            return [Order(OrderKind.STOP, running.task, running.number)]
        return []

    def _adopt(self, link: EndpointLink, running: ReportedRun) -> Run | None:
        """Track a run that this owner has not placed, if its job is tracked.

        It was started by a previous owner, or by an order that was executed after this owner had
        given it up.
        """
        tracked_job = self._jobs_by_id.get(running.task.job)
        task = tracked_job.task(running.task) if tracked_job is not None else None
        if tracked_job is None or task is None:
            return None
        run = Run(task, running.number, link.entry.id, task.step.spec.reserved)
        run.phase = RunPhase.IN_PROGRESS
        run.confirmed_at = time.monotonic()
        run.progressed_at = link.reported_at
        run.zone = link.entry.zone
        link.runs_by_key[run.key] = run
        link.assume_previous_lease(run.confirmed_at)
        task.runs.append(run)
        tracked_job.mark_running()
        if not tracked_job.start_zones.permits(run.zone):
            tracked_job.mark_dirty()
        log(
            Event.RUN_ADOPTED,
            job=task.id.job,
            job_state=tracked_job.state.value,
            task=task.id,
            run=run.number,
            endpoint=link.entry.id,
        )
        return run


def count_failure(link: EndpointLink) -> None:
    """Count a failed run of an endpoint and set the pause before its next task."""
    link.failures += 1
    if link.failures >= UNHEALTHY_AFTER_FAILURES:
        pause_s = MIN_PROBE_PAUSE_S * 2.0 ** min(10, link.failures - UNHEALTHY_AFTER_FAILURES)
        link.probe_at = time.monotonic() + min(MAX_PROBE_PAUSE_S, pause_s)


def is_unhealthy(link: EndpointLink) -> bool:
    """Whether an endpoint gets one task at a time because of consecutive failed runs."""
    return link.failures >= UNHEALTHY_AFTER_FAILURES
