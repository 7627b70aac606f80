"""Handling of job requests on an entry host, whether or not it owns their pool."""

import itertools
import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.execution import PoolOwner, progress_key
from lentilrill.ids import JobId, PoolId, QueueId, Revision, WorkspaceId
from lentilrill.inner import (
    Batch,
    JobAccepted,
    JobAsk,
    JobCancelled,
    JobDoubted,
    JobTold,
    Message,
    PoolPressure,
)
from lentilrill.intake._group import MAX_WAIT_S, CommitResult, GroupCommit
from lentilrill.intake._unconfirmed import UnconfirmedJobs
from lentilrill.intake._workspace_admission import JobAdmission, WorkspaceAdmission
from lentilrill.ownership import OwnerRecord
from lentilrill.scheduling import Pressure, can_accept, outage_retry_s, retry_after_s
from lentilrill.store import DECODE_ERRORS, KeyValue, Priority
from lentilrill.telemetry import Event, log
from lentilrill.workloads import FailureCause, Job, JobAnswer, JobProgress, JobState

__all__ = ["Intake"]

MAX_STORE_SILENT_S = 1.0
"""Time without an answer from the store after which jobs are refused at once and this host reports
that it is not ready: two lease renewals in a row had no answer."""
OWNER_QUERY_TIMEOUT_S = 0.35
"""Timeout for an owner's answer before the store is read instead; a round trip takes a few ms."""
REFUSAL_QUERY_TIMEOUT_S = 0.1
"""Timeout of the query before a refusal, which must not keep the caller waiting."""
COMMIT_WAIT_SHARE = 0.8
"""Share of the caller's timeout to spend on the commit. The rest leaves time to query the owner
before a refusal, and for the answer to reach the caller."""


NO_WORKSPACE = WorkspaceId("")


class _Peers(Protocol):
    def send(self, address: str, message: Message) -> None:
        """Send a message, which may get lost."""


class Intake:
    """Accepts, cancels and shows jobs.

    :param local_owner_of: returns the :class:`PoolOwner` of a pool; ``None`` if this process does
        not own the pool.
    :param owner_of: returns the owner record of a pool, if known.
    :param pressure_of: returns the pressure reported by a pool's owner; ``None`` if there is no
        recent report.
    :param pools: returns all known pools.
    :param peer_addresses: returns the inner addresses of the other entry hosts.
    :param store_silent_s: returns the seconds since the store last answered this host.
    :param workspaces: decides about jobs of workspaces, if given.
    """

    def __init__(
        self,
        kv: KeyValue,
        peers: _Peers,
        local_owner_of: Callable[[PoolId], PoolOwner | None],
        owner_of: Callable[[PoolId], OwnerRecord | None],
        pressure_of: Callable[[PoolId], PoolPressure | None],
        pools: Callable[[], list[PoolId]],
        peer_addresses: Callable[[], list[str]] = list,
        store_silent_s: Callable[[], float] = lambda: 0.0,
        workspaces: WorkspaceAdmission | None = None,
    ) -> None:
        self._kv = kv
        self._peers = peers
        self._local_owner_of = local_owner_of
        self._owner_of = owner_of
        self._pressure_of = pressure_of
        self._pools = pools
        self._peer_addresses = peer_addresses
        self._store_silent_s = store_silent_s
        self._workspaces = workspaces
        self._unconfirmed = UnconfirmedJobs()
        self._group_commit = GroupCommit(kv)
        self._ask_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._query_by_ask: dict[int, _OwnerQuery] = {}

    def start(self) -> None:
        """Start committing."""
        self._group_commit.start()

    def close(self) -> None:
        """Stop once all queued commits are done."""
        self._group_commit.close()

    def submit(self, job: Job, wait_s: float | None = None) -> tuple[JobAnswer, float]:
        """Accept a job, or refuse it at once.

        :param wait_s: the caller's timeout in seconds, if known.
        :return: the answer, and the seconds after which a refused caller should retry.
        """
        decision = self._workspaces.decide(job) if self._workspaces is not None else None
        if self._workspaces is None or decision is None:
            return self._submit(job, wait_s, None)
        try:
            return self._submit(decision.job, wait_s, decision)
        finally:
            self._workspaces.on_answered(job.id)

    def _submit(
        self, job: Job, wait_s: float | None, decision: JobAdmission | None
    ) -> tuple[JobAnswer, float]:
        started_at = time.monotonic()
        overload = self._overload_of(job, decision)
        # A job that may be stored is committed again even in an overloaded pool, to get its result.
        if overload is not None and job.id not in self._unconfirmed:
            return self._refuse(job, JobAnswer.OVERLOADED, overload.retry_s, **overload.fields)
        fields = decision.fields if decision is not None else {}
        store_silent_s = self._store_silent_s()
        if store_silent_s >= MAX_STORE_SILENT_S:
            # Refuse before anything is sent, so that the job certainly never runs. A commit without
            # an answer would leave the outcome unknown.
            retry_s = outage_retry_s(store_silent_s)
            return self._refuse(
                job, JobAnswer.UNAVAILABLE, retry_s, reason="the store does not answer", **fields
            )
        value = msgspec.msgpack.encode(job)
        result = self._group_commit.create(
            f"in/{job.pool}/j/{job.id}", value, _commit_wait_s(wait_s)
        )
        answer = _answer_of(result)
        if answer is JobAnswer.ACCEPTED:
            answer = self._compare_workspace(job, result)
        took_s = round(time.monotonic() - started_at, 3)
        if answer is JobAnswer.UNAVAILABLE:
            retry_s = outage_retry_s(store_silent_s)
            return self._refuse(
                job, answer, retry_s, reason="not committed", took_s=took_s, **fields
            )
        self._log_submit(job, answer, revision=result.revision, took_s=took_s, **fields)
        if answer is JobAnswer.ACCEPTED and result.revision:
            if self._workspaces is not None:
                self._workspaces.on_committed(job.id)
            self._notify_owner(job, result.stored or value, result.revision)
        elif answer is JobAnswer.UNKNOWN:
            self._report_unconfirmed(job.id)
        return answer, 0.0

    def _overload_of(self, job: Job, decision: JobAdmission | None) -> "_Overload | None":
        """Return why a job's pool, or its workspace's share of it, has no room for the job."""
        reported = self._pressure_of(job.pool)
        if reported is None:
            return None
        pressure = Pressure(reported.wait_s, reported.late_wait_s)
        fields: dict[str, object] = {
            "wait_s": pressure.wait_s,
            "late_s": pressure.overdue_s,
            "token": reported.token,
        }
        if decision is None or decision.verdict is None:
            is_accepted, retry_s = can_accept(pressure), retry_after_s(pressure)
        else:
            is_accepted, retry_s = decision.verdict.is_accepted, decision.verdict.retry_s
        if decision is not None:
            fields |= decision.fields
        return None if is_accepted else _Overload(retry_s, fields)

    def _compare_workspace(self, job: Job, result: CommitResult) -> JobAnswer:
        """Return whether the stored job with this id is one of the same workspace."""
        if result.stored is not None:
            workspace = _workspace_of(result.stored)
        else:
            found = self._read_job(job.pool, job.id)
            if found.state is None:
                return JobAnswer.UNKNOWN
            workspace = found.workspace
        return _answer_by_workspace(workspace, job)

    def _refuse(
        self, job: Job, answer: JobAnswer, retry_s: float, **fields: object
    ) -> tuple[JobAnswer, float]:
        """Refuse a job, unless an earlier attempt of its caller stored it or may have."""
        if job.id in self._unconfirmed:
            answer = JobAnswer.UNKNOWN
        elif found := self._query_owner(job.pool, job.id, REFUSAL_QUERY_TIMEOUT_S):
            answer = _answer_by_workspace(found.workspace, job)
        if answer is JobAnswer.OVERLOADED and self._workspaces is not None:
            self._workspaces.on_refused(job)
        self._log_submit(job, answer, **fields)
        return answer, retry_s

    def _report_unconfirmed(self, job: JobId) -> None:
        """Record on this and all other hosts that a job may be stored."""
        self._unconfirmed.add(job)
        for address in self._peer_addresses():
            self._peers.send(address, JobDoubted(job))

    def on_job_doubted(self, batch: Batch, message: JobDoubted) -> None:
        """Record another host's report that a job may be stored."""
        del batch
        self._unconfirmed.add(message.job)

    def cancel(
        self, pool: PoolId, workspace: WorkspaceId, job: JobId, wait_s: float | None = None
    ) -> JobAnswer:
        """Cancel a job of a workspace.

        :param wait_s: the caller's timeout in seconds, if known.
        """
        deadline = time.monotonic() + _commit_wait_s(wait_s)
        found = self._find_job(pool, workspace, job)
        if not found.is_conclusive:
            return JobAnswer.UNAVAILABLE
        job_pool = found.pool
        if job_pool is None or found.state is None:
            return JobAnswer.ABSENT
        if found.state.is_final:
            return JobAnswer.ACCEPTED
        remaining_s = max(0.0, deadline - time.monotonic())
        result = self._group_commit.create(f"in/{job_pool}/x/{job}", b"{}", remaining_s)
        answer = _answer_of(result)
        log(Event.CANCEL_ANSWERED, job=job, pool=job_pool, answer=answer.value)
        if answer is JobAnswer.ACCEPTED:
            owner = self._local_owner_of(job_pool)
            record = self._owner_of(job_pool)
            if owner is not None:
                owner.cancel(job)
            elif record is not None:
                self._peers.send(record.inner, JobCancelled(job_pool, job))
        return answer

    def get_state(
        self, pool: PoolId, workspace: WorkspaceId, job: JobId
    ) -> tuple[JobAnswer, JobState | None, FailureCause]:
        """Return the state of a job and why it failed; ``ABSENT`` if the workspace has none."""
        found = self._find_job(pool, workspace, job)
        if not found.is_conclusive:
            return JobAnswer.UNAVAILABLE, None, FailureCause.NONE
        if found.state is None:
            return JobAnswer.ABSENT, None, FailureCause.NONE
        return JobAnswer.ACCEPTED, found.state, found.cause

    def count_waiting(self, pool: PoolId, queue: QueueId) -> int | None:
        """Return how many accepted jobs of a queue have not started; ``None`` if unknown."""
        reported = self._pressure_of(pool)
        if reported is None or reported.waiting_by_queue is None:
            return None
        return reported.waiting_by_queue.get(queue, 0)

    def on_job_told(self, batch: Batch, message: JobTold) -> None:
        """Handle an owner's answer to a query."""
        del batch
        with self._lock:
            query = self._query_by_ask.pop(message.ask, None)
        if query is not None:
            query.answer = message
            query.done.set()

    def _find_job(self, pool: PoolId, workspace: WorkspaceId, job: JobId) -> "_JobLookup":
        """Find a job of a workspace; one of another workspace is reported as absent."""
        found = self._find_any_job(pool, job)
        is_foreign = found.state is not None and not _may_see(workspace, found.workspace)
        return _JobLookup(True) if is_foreign else found

    def _find_any_job(self, pool: PoolId, job: JobId) -> "_JobLookup":
        """Find a job at its pool's owner, else in the store.

        The store is searched in all pools, since the queue may have had another pool when the job
        was accepted.
        """
        found = self._query_owner(pool, job)
        if found is not None:
            return found
        other_pools = [other for other in self._pools() if other != pool]
        for job_pool in [pool, *other_pools]:
            found = self._read_job(job_pool, job)
            if not found.is_conclusive or found.state is not None:
                return found
        return _JobLookup(True)

    def _query_owner(
        self, pool: PoolId, job: JobId, wait_s: float = OWNER_QUERY_TIMEOUT_S
    ) -> "_JobLookup | None":
        """Return a job as its pool's owner knows it, or ``None`` if the owner doesn't."""
        owner = self._local_owner_of(pool)
        if owner is not None:
            known = owner.find(job) if owner.may_order() else None
            return _JobLookup(True, pool, *known) if known is not None else None
        record = self._owner_of(pool)
        if record is None:
            return None
        query = _OwnerQuery()
        ask = next(self._ask_ids)
        with self._lock:
            self._query_by_ask[ask] = query
        self._peers.send(record.inner, JobAsk(ask, pool, job))
        query.done.wait(wait_s)
        with self._lock:
            self._query_by_ask.pop(ask, None)
        reply = query.answer
        if reply is None or not reply.is_owner or not reply.state:
            return None
        return _JobLookup(
            True,
            pool,
            JobState(reply.state),
            WorkspaceId(reply.workspace),
            FailureCause(reply.cause),
        )

    def _read_job(self, pool: PoolId, job: JobId) -> "_JobLookup":
        """Read the records of a job in one pool."""
        items = []
        for key in (f"in/{pool}/j/{job}", progress_key(pool, job), f"in/{pool}/x/{job}"):
            # Low priority: while no owner answers, callers' queries would use up this host's calls
            # to the store, and its own pools could not be loaded, so a take-over would never end.
            read = self._kv.get(key, Priority.LATER)
            if isinstance(read, Failure):
                log(Event.JOB_NOT_READ, job=job, pool=pool, reason=read.failure().reason)
                return _JobLookup(False)
            items.append(read.unwrap())
            if items[0] is None:
                return _JobLookup(True)
        accepted, progress, cancelled = items
        state, cause = JobState.QUEUED, FailureCause.NONE
        if progress is not None and progress.value is not None:
            stored = msgspec.json.decode(progress.value, type=JobProgress)
            state, cause = stored.state, stored.cause
        if cancelled is not None and not state.is_final:
            state = JobState.CANCELLED
        value = accepted.value if accepted is not None else None
        workspace = _workspace_of(value) if value is not None else NO_WORKSPACE
        return _JobLookup(True, pool, state, workspace, cause)

    def _notify_owner(self, job: Job, value: bytes, revision: Revision) -> None:
        owner = self._local_owner_of(job.pool)
        record = self._owner_of(job.pool)
        if owner is not None:
            owner.add_job(value, revision)
        elif record is not None:
            self._peers.send(record.inner, JobAccepted(job.pool, job.id, value, revision))

    def _log_submit(self, job: Job, answer: JobAnswer, **fields: object) -> None:
        log(
            Event.JOB_ANSWERED,
            job=job.id,
            queue=job.queue,
            pool=job.pool,
            answer=answer.value,
            **fields,
        )


class _JobLookup(msgspec.Struct, frozen=True):
    """The result of looking up a job.

    :param is_conclusive: whether the store could be read; if not, the job may exist.
    """

    is_conclusive: bool
    pool: PoolId | None = None
    state: JobState | None = None
    workspace: WorkspaceId = NO_WORKSPACE
    cause: FailureCause = FailureCause.NONE


class _Overload(msgspec.Struct, frozen=True):
    """Why a job is refused, and the seconds after which its caller should retry."""

    retry_s: float
    fields: dict[str, object]


class _OwnerQuery:
    __slots__ = ("answer", "done")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.answer: JobTold | None = None


class _JobWorkspace(msgspec.Struct):
    workspace: WorkspaceId = NO_WORKSPACE


def _workspace_of(value: bytes) -> WorkspaceId:
    """Return the workspace in a stored job, without decoding its steps."""
    try:
        return msgspec.msgpack.decode(value, type=_JobWorkspace).workspace
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key="accepted job", reason=str(error))
        return NO_WORKSPACE


def _answer_by_workspace(stored: WorkspaceId, job: Job) -> JobAnswer:
    """Return the answer to a job whose id is in use by a job of the workspace ``stored``.

    A job without a workspace may be this one: its owner runs an earlier version and doesn't tell
    the workspace, or it was submitted while its queue was public.
    """
    if stored == job.workspace:
        return JobAnswer.ACCEPTED
    return JobAnswer.CONFLICT if stored != NO_WORKSPACE else JobAnswer.UNKNOWN


def _may_see(caller: WorkspaceId, job: WorkspaceId) -> bool:
    """Whether a caller of one workspace may see and cancel a job of another.

    Jobs without a workspace were submitted to a public queue, or before the deployment had
    workspaces.
    """
    return job in (NO_WORKSPACE, caller)


def _commit_wait_s(wait_s: float | None) -> float:
    """Return the maximum time to wait for a commit, given the caller's timeout."""
    if wait_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, wait_s * COMMIT_WAIT_SHARE)


def _answer_of(result: CommitResult) -> JobAnswer:
    if result.exists:
        return JobAnswer.ACCEPTED
    # Once the commit was sent to the store, the job may run, so it can't count as refused.
    return JobAnswer.UNKNOWN if result.sent else JobAnswer.UNAVAILABLE
