"""Handling of job requests on an entry host, whether or not it owns their pool."""

import time
from collections.abc import Callable

import msgspec

from lentilrill.execution import PoolOwner, claim_of, decode_claim
from lentilrill.ids import NO_WORKSPACE, JobId, PoolId, QueueId, Revision, WorkspaceId
from lentilrill.inner import (
    Batch,
    JobAccepted,
    JobCancelled,
    JobDoubted,
    JobTold,
    PoolPressure,
)
from lentilrill.intake._cancel_marks import CancelMarks, MarkResult
from lentilrill.intake._group import MAX_WAIT_S, CommitResult, GroupCommit
from lentilrill.intake._lookup import JobFinder, JobLookup, Peers, workspace_of
from lentilrill.intake._unconfirmed import UnconfirmedJobs
from lentilrill.intake._workspace_admission import JobAdmission, WorkspaceAdmission
from lentilrill.ownership import OwnerRecord
from lentilrill.scheduling import Pressure, can_accept, outage_retry_s, retry_after_s
from lentilrill.store import KeyValue, Put
from lentilrill.telemetry import Event, log
from lentilrill.workloads import (
    FailureCause,
    Job,
    JobAnswer,
    JobClaim,
    JobState,
    Queue,
    cancellation_key,
    claim_key,
    job_key,
)

__all__ = ["Intake"]

MAX_STORE_SILENT_S = 1.0
"""Time without an answer from the store after which jobs are refused at once and this host reports
that it is not ready: two lease renewals in a row had no answer."""
REFUSAL_QUERY_TIMEOUT_S = 0.1
"""Timeout of the query before a refusal, which must not keep the caller waiting."""
COMMIT_WAIT_SHARE = 0.8
"""Share of the caller's timeout to spend on the commit. The rest leaves time to query the owner
before a refusal, and for the answer to reach the caller."""

CANCEL_ANSWER_BY_MARK = {
    MarkResult.MARKED: JobAnswer.ABSENT,
    MarkResult.UNAVAILABLE: JobAnswer.UNAVAILABLE,
    MarkResult.UNKNOWN: JobAnswer.UNKNOWN,
}
"""Answers to a cancel of an id without a job, once it was tried to mark it."""


class Intake:
    """Accepts, cancels and shows jobs.

    :param local_owner_of: returns the :class:`PoolOwner` of a pool; ``None`` if this process does
        not own the pool.
    :param owner_of: returns the owner record of a pool, if known.
    :param pressure_of: returns the pressure reported by a pool's owner; ``None`` if there is no
        recent report.
    :param former_pools: returns the pools that a queue had before, as far as known.
    :param peer_addresses: returns the inner addresses of the other entry hosts.
    :param store_silent_s: returns the seconds since the store last answered this host.
    :param workspaces: decides about jobs of workspaces, if given.
    """

    def __init__(
        self,
        kv: KeyValue,
        peers: Peers,
        local_owner_of: Callable[[PoolId], PoolOwner | None],
        owner_of: Callable[[PoolId], OwnerRecord | None],
        pressure_of: Callable[[PoolId], PoolPressure | None],
        former_pools: Callable[[QueueId], tuple[PoolId, ...]] = lambda queue: (),
        peer_addresses: Callable[[], list[str]] = list,
        store_silent_s: Callable[[], float] = lambda: 0.0,
        workspaces: WorkspaceAdmission | None = None,
    ) -> None:
        self._peers = peers
        self._local_owner_of = local_owner_of
        self._owner_of = owner_of
        self._pressure_of = pressure_of
        self._peer_addresses = peer_addresses
        self._store_silent_s = store_silent_s
        self._workspaces = workspaces
        self._unconfirmed = UnconfirmedJobs()
        self._group_commit = GroupCommit(kv)
        self._marks = CancelMarks(kv)
        self._former_pools = former_pools
        self._finder = JobFinder(kv, peers, local_owner_of, owner_of)

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
        committed = self._commit(msgspec.structs.replace(job, has_claim=True), wait_s)
        answer = committed.answer
        fields["took_s"] = round(time.monotonic() - started_at, 3)
        if answer is JobAnswer.UNAVAILABLE:
            retry_s = outage_retry_s(store_silent_s)
            return self._refuse(job, answer, retry_s, reason="not committed", **fields)
        if committed.pool != job.pool:
            fields["accepted_in"] = committed.pool
        self._log_submit(job, answer, revision=committed.revision, **fields)
        if answer is JobAnswer.ACCEPTED and committed.revision:
            if self._workspaces is not None:
                self._workspaces.on_committed(job.id)
            self._notify_owner(job.id, committed)
        elif answer is JobAnswer.UNKNOWN:
            self._report_unconfirmed(job.id)
        return answer, 0.0

    def _commit(self, job: Job, wait_s: float | None) -> "_Commit":
        """Store a job together with the claim on its id."""
        record = Put(job_key(job.pool, job.id), msgspec.msgpack.encode(job))
        result = self._group_commit.create(claim_of(job), record, wait_s=_commit_wait_s(wait_s))
        answer = _answer_of(result)
        if answer is not JobAnswer.ACCEPTED:
            return _Commit(answer, job.pool)
        claim = self._claim_in_force(job, result)
        if claim is not None and claim.is_cancelled:
            return self._commit_cancelled(job, claim, record)
        pool = claim.pool if claim is not None else job.pool
        value = result.value_by_key.get(job_key(pool, job.id), b"")
        return _Commit(_answer_by_claim(claim, job), pool, result.revision, value)

    def _commit_cancelled(self, job: Job, mark: JobClaim, record: Put) -> "_Commit":
        """Store that a job was submitted whose id is marked as cancelled.

        It counts as accepted and cancelled, unless another workspace's caller has cancelled the id.
        If nothing was stored, an earlier copy of its write may still be, once the mark has ended.
        """
        if mark.workspace == job.workspace:
            is_noted = self._marks.note_submitted(job.id, job.workspace)
            return _Commit(JobAnswer.ACCEPTED if is_noted else JobAnswer.UNKNOWN, job.pool)
        revision = self._marks.replace(job, record)
        if revision is None:
            return _Commit(JobAnswer.UNKNOWN, job.pool)
        return _Commit(JobAnswer.ACCEPTED, job.pool, revision, record.value)

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

    def _claim_in_force(self, job: Job, result: CommitResult) -> JobClaim | None:
        """Return the claim on a job's id after its commit; ``None`` if it isn't known."""
        value = result.value_by_key.get(claim_key(job.id))
        if value is not None:
            return decode_claim(value)
        record = result.value_by_key.get(job_key(job.pool, job.id))
        if record is not None:
            # Accepted by an entry host of an earlier version.
            return JobClaim(job.pool, workspace_of(record))
        found = self._finder.find(job.pool, job.id)
        return JobClaim(found.pool, found.workspace) if found.pool is not None else None

    def _refuse(
        self, job: Job, answer: JobAnswer, retry_s: float, **fields: object
    ) -> tuple[JobAnswer, float]:
        """Refuse a job, unless an earlier attempt of its caller stored it or may have."""
        if job.id in self._unconfirmed:
            answer = JobAnswer.UNKNOWN
        elif found := self._finder.query_owners(
            (job.pool, *self._former_pools(job.queue)), job.id, REFUSAL_QUERY_TIMEOUT_S
        ):
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
        self, queue: Queue, workspace: WorkspaceId, job: JobId, wait_s: float | None = None
    ) -> JobAnswer:
        """Cancel a job of a workspace.

        :param queue: queue that the caller addressed.
        :param wait_s: the caller's timeout in seconds, if known.
        """
        deadline = time.monotonic() + _commit_wait_s(wait_s)
        found = self._find_job(queue, workspace, job)
        if not found.is_conclusive:
            return JobAnswer.UNAVAILABLE
        if found.pool is None or found.state is None:
            marked = self._marks.put(job, workspace)
            log(Event.CANCEL_ANSWERED, job=job, marked=marked.value)
            if marked is not MarkResult.HAS_JOB:
                return CANCEL_ANSWER_BY_MARK[marked]
            found = self._find_job(queue, workspace, job)
        return self._cancel_found(job, found, deadline)

    def _cancel_found(self, job: JobId, found: JobLookup, deadline: float) -> JobAnswer:
        """Cancel a job that the store has."""
        if not found.is_conclusive:
            return JobAnswer.UNAVAILABLE
        job_pool = found.pool
        if job_pool is None or found.state is None:
            # Its id belongs to a job of another workspace, which keeps any other one out.
            return JobAnswer.ABSENT
        if found.state.is_final:
            return JobAnswer.ACCEPTED
        remaining_s = max(0.0, deadline - time.monotonic())
        cancellation = Put(cancellation_key(job_pool, job), b"{}")
        result = self._group_commit.create(cancellation, wait_s=remaining_s)
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
        self, queue: Queue, workspace: WorkspaceId, job: JobId
    ) -> tuple[JobAnswer, JobState | None, FailureCause]:
        """Return the state of a job and why it failed; ``ABSENT`` if the workspace has none."""
        found = self._find_job(queue, workspace, job)
        if not found.is_conclusive:
            return JobAnswer.UNAVAILABLE, None, FailureCause.NONE
        if found.state is None:
            return JobAnswer.ABSENT, None, FailureCause.NONE
        return JobAnswer.ACCEPTED, found.state, found.cause

    def on_job_told(self, batch: Batch, message: JobTold) -> None:
        """Handle an owner's answer to a query."""
        self._finder.on_job_told(batch, message)

    def _find_job(self, queue: Queue, workspace: WorkspaceId, job: JobId) -> JobLookup:
        """Find a job of a workspace; one of another workspace is reported as absent."""
        found = self._finder.find(queue.pool, job, self._former_pools(queue.id))
        is_foreign = found.state is not None and not _may_see(workspace, found.workspace)
        return JobLookup(True) if is_foreign else found

    def _notify_owner(self, job: JobId, stored: "_Commit") -> None:
        owner = self._local_owner_of(stored.pool)
        record = self._owner_of(stored.pool)
        if owner is not None:
            owner.add_job(stored.value, stored.revision)
        elif record is not None:
            accepted = JobAccepted(stored.pool, job, stored.value, stored.revision)
            self._peers.send(record.inner, accepted)

    def _log_submit(self, job: Job, answer: JobAnswer, **fields: object) -> None:
        log(
            Event.JOB_ANSWERED,
            job=job.id,
            queue=job.queue,
            pool=job.pool,
            answer=answer.value,
            **fields,
        )


class _Commit(msgspec.Struct, frozen=True):
    """Result of committing a job.

    :param pool: pool that the job is accepted in.
    :param revision: revision of its record; 0 if it wasn't stored now.
    :param value: its record, if it was stored now.
    """

    answer: JobAnswer
    pool: PoolId
    revision: Revision = Revision(0)
    value: bytes = b""


class _Overload(msgspec.Struct, frozen=True):
    """Why a job is refused, and the seconds after which its caller should retry."""

    retry_s: float
    fields: dict[str, object]


def _answer_by_claim(claim: JobClaim | None, job: Job) -> JobAnswer:
    """Return the answer to a job that is stored, given the claim on its id."""
    return JobAnswer.UNKNOWN if claim is None else _answer_by_workspace(claim.workspace, job)


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
