"""Lookup of a job: at the owner of its pool, else in the store."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.execution import PoolOwner, decode_claim
from lentilrill.ids import NO_WORKSPACE, JobId, PoolId, WorkspaceId
from lentilrill.inner import Batch, JobAsk, JobTold, Message
from lentilrill.ownership import OwnerRecord
from lentilrill.store import DECODE_ERRORS, KeyValue, Priority
from lentilrill.telemetry import Event, log
from lentilrill.workloads import (
    FailureCause,
    JobClaim,
    JobProgress,
    JobState,
    cancellation_key,
    claim_key,
    job_key,
    progress_key,
)

__all__ = ["JobFinder", "JobLookup", "Peers", "workspace_of"]

OWNER_QUERY_TIMEOUT_S = 0.35
"""Timeout for an owner's answer before the store is read instead; a round trip takes a few ms."""


class Peers(Protocol):
    """The other entry hosts."""

    def send(self, address: str, message: Message) -> None:
        """Send a message, which may get lost."""


class JobLookup(msgspec.Struct, frozen=True):
    """The result of looking up a job.

    :param is_conclusive: whether the store could be read; if not, the job may exist.
    """

    is_conclusive: bool
    pool: PoolId | None = None
    state: JobState | None = None
    workspace: WorkspaceId = NO_WORKSPACE
    cause: FailureCause = FailureCause.NONE


class JobFinder:
    """Finds jobs, whichever pool they were accepted in.

    :param local_owner_of: returns the :class:`PoolOwner` of a pool; ``None`` if this process does
        not own the pool.
    :param owner_of: returns the owner record of a pool, if known.
    """

    def __init__(
        self,
        kv: KeyValue,
        peers: Peers,
        local_owner_of: Callable[[PoolId], PoolOwner | None],
        owner_of: Callable[[PoolId], OwnerRecord | None],
    ) -> None:
        self._kv = kv
        self._peers = peers
        self._local_owner_of = local_owner_of
        self._owner_of = owner_of
        self._ask_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._query_by_ask: dict[int, _OwnerQuery] = {}

    def find(self, pool: PoolId, job: JobId) -> JobLookup:
        """Find a job at the owner of a pool, else in the store.

        :param pool: pool of the job's queue, which may have had another one when the job was
            accepted.
        """
        found = self.query_owners((pool,), job) or self._read_job(pool, job)
        if not found.is_conclusive or found.state is not None:
            return found
        claim = self.read_claim(job)
        if isinstance(claim, JobLookup):
            return claim
        return self.query_owners((claim.pool,), job) or self._read_job(claim.pool, job)

    def query_owners(
        self, pools: Iterable[PoolId], job: JobId, wait_s: float = OWNER_QUERY_TIMEOUT_S
    ) -> JobLookup | None:
        """Return a job as one of the pools' owners knows it; ``None`` if none of them does.

        :param wait_s: maximum time to wait for all of them, in seconds.
        """
        queries = []
        try:
            for pool in pools:
                owner = self._local_owner_of(pool)
                if owner is not None:
                    known = owner.find(job) if owner.may_order() else None
                    if known is not None:
                        return JobLookup(True, pool, *known)
                elif (record := self._owner_of(pool)) is not None:
                    queries.append(self._send_query(record, pool, job))
            deadline = time.monotonic() + wait_s
            for query in queries:
                query.done.wait(max(0.0, deadline - time.monotonic()))
            return next((found for query in queries if (found := query.result())), None)
        finally:
            with self._lock:
                for query in queries:
                    self._query_by_ask.pop(query.ask, None)

    def on_job_told(self, batch: Batch, message: JobTold) -> None:
        """Handle an owner's answer to a query."""
        del batch
        with self._lock:
            query = self._query_by_ask.pop(message.ask, None)
        if query is not None:
            query.answer = message
            query.done.set()

    def read_claim(self, job: JobId) -> JobClaim | JobLookup:
        """Return the claim on a job's id; what is known of the job if there is none."""
        read = self._kv.get(claim_key(job), Priority.LATER)
        if isinstance(read, Failure):
            log(Event.JOB_NOT_READ, job=job, reason=read.failure().reason)
            return JobLookup(False)
        item = read.unwrap()
        if item is None or item.value is None:
            return JobLookup(True)
        claim = decode_claim(item.value)
        return claim if claim is not None else JobLookup(False)

    def _send_query(self, record: OwnerRecord, pool: PoolId, job: JobId) -> "_OwnerQuery":
        query = _OwnerQuery(next(self._ask_ids), pool)
        with self._lock:
            self._query_by_ask[query.ask] = query
        self._peers.send(record.inner, JobAsk(query.ask, pool, job))
        return query

    def _read_job(self, pool: PoolId, job: JobId) -> JobLookup:
        """Read the records of a job in one pool."""
        items = []
        for key in (job_key(pool, job), progress_key(pool, job), cancellation_key(pool, job)):
            # Low priority: while no owner answers, callers' queries would use up this host's calls
            # to the store, and its own pools could not be loaded, so a take-over would never end.
            read = self._kv.get(key, Priority.LATER)
            if isinstance(read, Failure):
                log(Event.JOB_NOT_READ, job=job, pool=pool, reason=read.failure().reason)
                return JobLookup(False)
            items.append(read.unwrap())
            if items[0] is None:
                return JobLookup(True)
        accepted, progress, cancelled = items
        state, cause = JobState.QUEUED, FailureCause.NONE
        if progress is not None and progress.value is not None:
            stored = msgspec.json.decode(progress.value, type=JobProgress)
            state, cause = stored.state, stored.cause
        if cancelled is not None and not state.is_final:
            state = JobState.CANCELLED
        value = accepted.value if accepted is not None else None
        workspace = workspace_of(value) if value is not None else NO_WORKSPACE
        return JobLookup(True, pool, state, workspace, cause)


class _OwnerQuery:
    __slots__ = ("answer", "ask", "done", "pool")

    def __init__(self, ask: int, pool: PoolId) -> None:
        self.ask = ask
        self.pool = pool
        self.done = threading.Event()
        self.answer: JobTold | None = None

    def result(self) -> JobLookup | None:
        """Return the job as its owner knows it; ``None`` if it doesn't, or hasn't answered."""
        reply = self.answer
        if reply is None or not reply.is_owner or not reply.state:
            return None
        state, workspace = JobState(reply.state), WorkspaceId(reply.workspace)
        return JobLookup(True, self.pool, state, workspace, FailureCause(reply.cause))


class _JobWorkspace(msgspec.Struct):
    workspace: WorkspaceId = NO_WORKSPACE


def workspace_of(value: bytes) -> WorkspaceId:
    """Return the workspace in a stored job, without decoding its steps."""
    try:
        return msgspec.msgpack.decode(value, type=_JobWorkspace).workspace
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key="accepted job", reason=str(error))
        return NO_WORKSPACE
