"""Crashes of endpoints under tasks: which tasks are suspected, and when one is given up."""

import time
from collections.abc import Callable, Iterable, Mapping
from enum import Enum

import msgspec

from lentilrill.execution._host_reader import HostListing
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, TrackedTask
from lentilrill.ids import EndpointId, HostId
from lentilrill.telemetry import Event, log
from lentilrill.upkeep import HostState
from lentilrill.workloads import Attempt, EndpointEntry, FailureCause, JobState

__all__ = ["FRESH_S", "MAX_CRASHES", "MAX_HOLD_S", "CrashBook"]

MAX_CRASHES = 3
"""Endpoints that crash under a task before it is given up, or held if it is long-running. One crash
may have any cause, and a second one may be due to another task beside it."""
FRESH_S = 1.0
"""Time from a run's start within which it may be the cause of its endpoint's crash. A run that is
reported after it is beyond suspicion."""
MAX_UNRESOLVED = 4
"""Starts of a task without a known outcome that are kept."""
MAX_LOST_S = 60.0
"""Time for which a lost endpoint is watched for a sign that its process has ended."""
MAX_ASKED_S = 15.0
"""Time for which listings of the hosts are requested for a lost endpoint."""
MAX_HOLD_S = 6.0
"""Time for which a task isn't started while it is open whether it has crashed
:data:`MAX_CRASHES` endpoints. Covers several reads of the list of hosts; a task that lasts may be
without a run for about as long."""
RESTART_SHOWN_S = 2.0
"""Time within which a process that restarted shows as such, in its entry or by its answers."""


class _Proof(Enum):
    """What shows that the process of an endpoint has ended."""

    OTHER_PROCESS = "another process answers"
    SUCCESSOR = "a newer endpoint is registered on its host"
    HOST_DOWN = "its host is down"
    HOST_GONE = "its host and its entry are gone"


class _HostEvidence(Enum):
    """What a listing of hosts shows of a lost endpoint."""

    DOWN = "down"
    GONE = "gone"
    CUT_OFF = "cut-off"
    """The platform still sees the endpoint on its host."""
    PLANNED = "planned"
    """The host is being moved, or in upkeep."""
    NONE = "none"


PROOF_BY_EVIDENCE = {
    _HostEvidence.DOWN: _Proof.HOST_DOWN,
    _HostEvidence.GONE: _Proof.HOST_GONE,
    _HostEvidence.PLANNED: None,
}
"""What resolves a lost endpoint, and the proof of a crash, if it is one."""


class _LostEndpoint(msgspec.Struct):
    """Endpoint out of reach whose process may have crashed, and the tasks that it had begun.

    :param is_cut_off: whether a listing has shown that it runs on.
    :param absent_at: when the first listing began that lacked its host; 0.0 if the host is listed.
    """

    attempt: Attempt
    lost_at: float
    watched_until: float
    tasks: list[TrackedTask]
    is_cut_off: bool = False
    absent_at: float = 0.0


_Process = tuple[EndpointId, int]
"""Process of an endpoint: the endpoint's id, and when the process started by its own clock."""


class CrashBook:
    """Counts the endpoints that crash under each task of a pool.

    A crash is proven by another instance at the endpoint's address, by a restart under its id, by
    another endpoint on its host, or by the list of hosts. Silence proves nothing, but a task that
    may have crashed as many endpoints as give it up isn't started until that is known, for
    :data:`MAX_HOLD_S` at most. The proof may come long after the run was given up. All methods are
    called under the lock of the pool's owner.

    :param on_changed: called when a job's progress differs from the stored one.
    """

    def __init__(self, on_changed: Callable[[], None] = lambda: None) -> None:
        self._lost_by_process: dict[_Process, _LostEndpoint] = {}
        self._on_changed = on_changed

    def restore(self, tasks: Iterable[TrackedTask]) -> None:
        """Watch the endpoints on which previous owners have started tasks, as far as stored."""
        for task in tasks:
            for endpoint, attempt in task.attempts.items():
                self._watch(endpoint, attempt, task)
            _hold_if_open(task)

    def record_attempt(self, link: EndpointLink, task: TrackedTask) -> None:
        """Note the start of a task; it has to be stored before it is sent."""
        _note_attempt(task, link.entry.id, _attempt_on(link))

    def on_silent(self, link: EndpointLink) -> None:
        """Note the starts that may have ended an endpoint, as it gives its first call no answer.

        The owner may be lost before their runs are given up, and the next one has to know of them.
        """
        runs = [
            run
            for run in link.runs_by_key.values()
            if _may_have_crashed(link, run) and not _is_noted(run.task, _process_of(link))
        ]
        if not runs or _is_leaving(link):
            return
        for run in runs:
            run.is_noted_late = True
            _note_attempt(run.task, link.entry.id, _attempt_on(link))
        self._on_changed()

    def on_run_lost(self, link: EndpointLink, run: Run) -> None:
        """Watch an endpoint of which a run was given up out of sight."""
        if run.is_unsent or not _may_have_crashed(link, run):
            return
        task, endpoint = run.task, link.entry.id
        if _is_leaving(link):
            _forget_attempt(task, endpoint)
            return
        attempt = _attempt_on(link)
        _note_attempt(task, endpoint, attempt)
        self._watch(endpoint, attempt, task)
        _hold_if_open(task)
        self._on_changed()

    def on_process_ended(self, link: EndpointLink) -> None:
        """Count the end of an endpoint's process for the tasks that it had just begun.

        Called before its runs are dropped. An endpoint that was leaving has not crashed.
        """
        tasks = [run.task for run in link.runs_by_key.values() if _may_have_crashed(link, run)]
        proof = None if _is_leaving(link) else _Proof.OTHER_PROCESS
        for process in self._lost_processes_of(link.entry.id):
            self._resolve(process, proof)
        self._settle(link.entry.id, _attempt_on(link), tasks, proof)

    def on_answer(self, link: EndpointLink) -> None:
        """Note that an endpoint answers.

        The process that answers has not crashed, and an older one on its address has ended.

        What was noted because of its silence is forgotten, also in the record: a crash that comes
        later is judged by the answers until then, as it would be without the silence.
        """
        for process in self._lost_processes_of(link.entry.id):
            _, started_ms = process
            if started_ms == link.started_ms:
                self._resolve(process, None)
            elif 0 < started_ms < link.started_ms:
                self._resolve(process, _Proof.OTHER_PROCESS)
        for run in link.runs_by_key.values():
            if run.is_noted_late:
                run.is_noted_late = False
                self._forget(link, run)

    def on_run_over(self, link: EndpointLink, run: Run) -> None:
        """Forget the start of a run that has not crashed its endpoint, and can't any more."""
        self._forget(link, run)

    def on_working(self, task: TrackedTask) -> None:
        """Note that a task works without crashing its endpoint, which ends all suspicion."""
        if task.clear_suspicion():
            self._on_changed()

    def on_registered(self, entries: Mapping[EndpointId, EndpointEntry], now: float) -> None:
        """Compare lost endpoints with the registered ones."""
        if not self._lost_by_process:
            return
        newest_by_host: dict[HostId, int] = {}
        for entry in entries.values():
            newest_by_host[entry.host] = max(newest_by_host.get(entry.host, 0), entry.started_ms)
        for process, lost in list(self._lost_by_process.items()):
            host = lost.attempt.host
            if host and newest_by_host.get(host, 0) > lost.attempt.started_ms > 0:
                self._resolve(process, _Proof.SUCCESSOR)
            elif now > lost.watched_until:
                self._resolve(process, None)

    def needs_listing(self, now: float) -> bool:
        """Whether a newer listing of the hosts may show what has become of a lost endpoint."""
        return any(
            lost.attempt.host and not lost.is_cut_off and now - lost.lost_at < MAX_ASKED_S
            for lost in self._lost_by_process.values()
        )

    def on_hosts_listed(
        self, listing: HostListing, entries: Mapping[EndpointId, EndpointEntry]
    ) -> None:
        """Compare lost endpoints with a listing of the hosts that was read after their loss.

        :param entries: the registered endpoints of the pool.
        """
        for process, lost in list(self._lost_by_process.items()):
            endpoint, _ = process
            if listing.asked_at < lost.lost_at or not lost.attempt.host or lost.is_cut_off:
                continue
            evidence = _evidence_of(endpoint, lost, listing, endpoint in entries)
            if evidence in PROOF_BY_EVIDENCE:
                self._resolve(process, PROOF_BY_EVIDENCE[evidence])
            elif evidence is _HostEvidence.CUT_OFF:
                # The process may have restarted under its id just now, which shows soon.
                lost.is_cut_off = True
                lost.watched_until = min(lost.watched_until, time.monotonic() + RESTART_SHOWN_S)
                for task in lost.tasks:
                    _close(task, endpoint)

    def _watch(self, endpoint: EndpointId, attempt: Attempt, task: TrackedTask) -> None:
        now = time.monotonic()
        lost = self._lost_by_process.setdefault(
            (endpoint, attempt.started_ms), _LostEndpoint(attempt, now, now + MAX_LOST_S, [])
        )
        if task not in lost.tasks:
            lost.tasks.append(task)
        if not lost.is_cut_off:
            task.open_crashes.add(endpoint)

    def _lost_processes_of(self, endpoint: EndpointId) -> list[_Process]:
        return [process for process in self._lost_by_process if process[0] == endpoint]

    def _forget(self, link: EndpointLink, run: Run) -> None:
        if _is_noted(run.task, _process_of(link)):
            _forget_attempt(run.task, link.entry.id)
            self._on_changed()

    def _resolve(self, process: _Process, proof: _Proof | None) -> None:
        """End the watch of a lost endpoint.

        :param proof: what shows that its process has ended unexpectedly; ``None`` if it has not.
        """
        endpoint, _ = process
        lost = self._lost_by_process.pop(process)
        # A task that has worked since is beyond suspicion.
        tasks = [task for task in lost.tasks if _is_noted(task, process)]
        self._settle(endpoint, lost.attempt, tasks, proof)
        for task in lost.tasks:
            _close(task, endpoint)

    def _settle(
        self,
        endpoint: EndpointId,
        attempt: Attempt,
        tasks: list[TrackedTask],
        proof: _Proof | None,
    ) -> None:
        """Apply the outcome of starts on an endpoint's process to their tasks."""
        for task in tasks:
            _forget_attempt(task, endpoint)
            is_over = task.done or task.step.tracked_job.state.is_final
            if proof is not None and not is_over:
                _count_crash(task, endpoint, attempt, proof)
        if tasks:
            self._on_changed()


def _is_open(task: TrackedTask) -> bool:
    """Whether it isn't known if a task has crashed as many endpoints as give it up."""
    return len(task.crashed_processes) + len(task.open_crashes) >= MAX_CRASHES


def _hold_if_open(task: TrackedTask) -> None:
    if _is_open(task):
        _hold(task)


def _hold(task: TrackedTask) -> None:
    """Keep a task from being started for a while."""
    task.held_until = time.monotonic() + MAX_HOLD_S
    log(
        Event.TASK_HELD,
        job=task.id.job,
        task=task.id,
        crashes=len(task.crashed_processes),
        lost=", ".join(sorted(task.open_crashes)),
        most=MAX_CRASHES,
        within_s=MAX_HOLD_S,
    )


def _close(task: TrackedTask, endpoint: EndpointId) -> None:
    """Note that it is known what has become of an endpoint; the task may start again."""
    task.open_crashes.discard(endpoint)
    if task.held_until and not _is_open(task):
        task.held_until = 0.0


def _attempt_on(link: EndpointLink) -> Attempt:
    return Attempt(link.entry.host, link.started_ms)


def _note_attempt(task: TrackedTask, endpoint: EndpointId, attempt: Attempt) -> None:
    if task.attempts.get(endpoint) == attempt:
        return
    task.attempts[endpoint] = attempt
    while len(task.attempts) > MAX_UNRESOLVED:
        task.attempts.pop(next(iter(task.attempts)))
    task.step.tracked_job.mark_dirty()


def _forget_attempt(task: TrackedTask, endpoint: EndpointId) -> None:
    if task.attempts.pop(endpoint, None) is not None:
        task.step.tracked_job.mark_dirty()


def _is_leaving(link: EndpointLink) -> bool:
    """Whether an endpoint was leaving when it last answered.

    One that is released while it is silent may have crashed before. It is free, and its host may
    go, only once it has no runs.
    """
    was_released = link.released and link.release_started_at <= link.answered_at
    return link.entry.draining or was_released


def _process_of(link: EndpointLink) -> _Process:
    return link.entry.id, link.started_ms


def _is_noted(task: TrackedTask, process: _Process) -> bool:
    """Whether a start of a task on a process is noted."""
    endpoint, started_ms = process
    attempt = task.attempts.get(endpoint)
    return attempt is not None and attempt.started_ms == started_ms


def _may_have_crashed(link: EndpointLink, run: Run) -> bool:
    """Whether a run began so shortly before its endpoint's last answer that it may be the cause."""
    if run.is_unsent:
        return False
    if _is_noted(run.task, _process_of(link)):
        return True
    was_sent = run.send_count > 0
    return was_sent and link.answered_at - run.began_at < FRESH_S


def _evidence_of(
    endpoint: EndpointId, lost: _LostEndpoint, listing: HostListing, is_registered: bool
) -> _HostEvidence:
    row = listing.rows_by_id.get(lost.attempt.host)
    if row is None:
        # The pages of a listing are no snapshot, and the entry of an endpoint that is cut off
        # lapses too, so one listing without the host proves nothing.
        lost.absent_at = lost.absent_at or listing.asked_at
        is_confirmed = listing.asked_at > lost.absent_at
        return _HostEvidence.GONE if is_confirmed and not is_registered else _HostEvidence.NONE
    lost.absent_at = 0.0
    if row.state is HostState.DOWN:
        return _HostEvidence.DOWN
    if row.state is not HostState.UP:
        return _HostEvidence.PLANNED
    return _HostEvidence.CUT_OFF if row.endpoint == endpoint else _HostEvidence.NONE


def _count_crash(task: TrackedTask, endpoint: EndpointId, attempt: Attempt, proof: _Proof) -> None:
    tracked_job, lasts = task.step.tracked_job, task.step.spec.lasting
    if lasts and len(task.crashed_processes) >= MAX_CRASHES:
        task.crashed_processes.pop()
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
        proof=proof.value,
    )
    if crashes >= MAX_CRASHES and lasts:
        # It is to run until its job is cancelled, however its runs end.
        _hold(task)
    elif crashes >= MAX_CRASHES:
        tracked_job.end(JobState.FAILED, int(time.time() * 1000), FailureCause.CRASHES)
