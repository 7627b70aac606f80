"""Crashes of endpoints under tasks: which tasks are suspected, and when one is given up."""

import time
from collections.abc import Iterable

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, TrackedTask
from lentilrill.ids import EndpointId, HostId
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Attempt, EndpointEntry, FailureCause, JobState

__all__ = ["FRESH_S", "MAX_CRASHES", "CrashBook"]

MAX_CRASHES = 3
"""Endpoints that crash under a task before it is given up. One crash may have any cause, and a
second one may be due to another task beside it."""
FRESH_S = 1.0
"""Time from a run's start within which it may be the cause of its endpoint's crash. A run that is
reported after it is beyond suspicion."""
MAX_UNRESOLVED = 4
"""Starts of a task without a known outcome that are kept."""
MAX_LOST_S = 60.0
"""Time for which a lost endpoint is watched for a sign that its process has ended."""


class _LostEndpoint(msgspec.Struct):
    """Endpoint out of reach whose process may have crashed, and the tasks that it had begun."""

    attempt: Attempt
    lost_at: float
    tasks: list[TrackedTask]


class CrashBook:
    """Counts the endpoints that crash under each task of a pool.

    A crash is proven by another instance at the endpoint's address, by a restart under its id, or
    by another endpoint on its host; silence proves nothing. The proof may come long after the run
    was given up. All methods are called under the lock of the pool's owner.
    """

    def __init__(self) -> None:
        self._lost_by_id: dict[EndpointId, _LostEndpoint] = {}

    def restore(self, tasks: Iterable[TrackedTask]) -> None:
        """Watch the endpoints on which previous owners have started tasks, as far as stored."""
        for task in tasks:
            for endpoint, attempt in task.attempts.items():
                self._watch(endpoint, attempt, task)

    def record_attempt(self, link: EndpointLink, task: TrackedTask) -> None:
        """Note the start of a task; it has to be stored before it is sent."""
        task.attempts[link.entry.id] = _attempt_on(link)
        while len(task.attempts) > MAX_UNRESOLVED:
            task.attempts.pop(next(iter(task.attempts)))
        task.step.tracked_job.mark_dirty()

    def on_run_lost(self, link: EndpointLink, run: Run) -> None:
        """Watch an endpoint of which a run was given up out of sight."""
        if _may_have_crashed(link, run):
            self._watch(link.entry.id, _attempt_on(link), run.task)

    def on_process_ended(self, link: EndpointLink) -> None:
        """Count the end of an endpoint's process for the tasks that it had just begun.

        Called before its runs are dropped. An endpoint that was leaving has not crashed.
        """
        tasks = [run.task for run in link.runs_by_key.values() if _may_have_crashed(link, run)]
        lost = self._lost_by_id.pop(link.entry.id, None)
        is_expected = link.entry.draining or link.released
        if lost is not None:
            _settle(link.entry.id, lost.attempt, lost.tasks, crashed=not is_expected)
        _settle(link.entry.id, _attempt_on(link), tasks, crashed=not is_expected)

    def on_answer(self, link: EndpointLink) -> None:
        """Note that an endpoint answers: if it is the same process, it has not crashed."""
        lost = self._lost_by_id.get(link.entry.id)
        if lost is not None and lost.attempt.started_ms == link.started_ms:
            del self._lost_by_id[link.entry.id]
            _settle(link.entry.id, lost.attempt, lost.tasks, crashed=False)

    def on_registered(self, entries: dict[EndpointId, EndpointEntry], now: float) -> None:
        """Compare lost endpoints with the registered ones."""
        if not self._lost_by_id:
            return
        newest_by_host: dict[HostId, int] = {}
        for entry in entries.values():
            newest_by_host[entry.host] = max(newest_by_host.get(entry.host, 0), entry.started_ms)
        for endpoint, lost in list(self._lost_by_id.items()):
            host = lost.attempt.host
            has_ended = bool(host) and newest_by_host.get(host, 0) > lost.attempt.started_ms > 0
            if has_ended or now - lost.lost_at > MAX_LOST_S:
                del self._lost_by_id[endpoint]
                _settle(endpoint, lost.attempt, lost.tasks, crashed=has_ended)

    def _watch(self, endpoint: EndpointId, attempt: Attempt, task: TrackedTask) -> None:
        lost = self._lost_by_id.setdefault(endpoint, _LostEndpoint(attempt, time.monotonic(), []))
        lost.tasks.append(task)


def _attempt_on(link: EndpointLink) -> Attempt:
    return Attempt(link.entry.host, link.started_ms)


def _may_have_crashed(link: EndpointLink, run: Run) -> bool:
    """Whether a run began so shortly before its endpoint's last answer that it may be the cause."""
    if link.entry.id in run.task.attempts:
        return True
    was_sent = run.send_count > 0
    return was_sent and link.answered_at - run.began_at < FRESH_S


def _settle(
    endpoint: EndpointId, attempt: Attempt, tasks: list[TrackedTask], *, crashed: bool
) -> None:
    """Apply the outcome of starts on an endpoint's process to their tasks."""
    for task in tasks:
        tracked_job = task.step.tracked_job
        if task.attempts.pop(endpoint, None) is not None:
            tracked_job.mark_dirty()
        if not crashed or task.done or tracked_job.state.is_final:
            continue
        task.crashed_processes.add(f"{endpoint}@{attempt.started_ms}")
        tracked_job.mark_dirty()
        crashes = len(task.crashed_processes)
        log(
            Event.ENDPOINT_CRASHED,
            job=task.id.job,
            task=task.id,
            endpoint=endpoint,
            crashes=crashes,
            most=MAX_CRASHES,
        )
        if crashes >= MAX_CRASHES:
            tracked_job.end(JobState.FAILED, int(time.time() * 1000), FailureCause.CRASHES)
