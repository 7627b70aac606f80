"""Lookup of a job: at the owner of its pool, else in the store."""

import itertools
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.execution import PoolOwner, decode_claim
from lentilrill.ids import NO_WORKSPACE, JobId, PoolId, WorkspaceId
from lentilrill.inner import Batch, JobAsk, JobTold, Message, new_asker
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
    :param pool: pool of the job; ``None`` if there is none, or if it was cancelled before it was
        submitted.
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
        self._id = new_asker()
        self._lock = threading.Lock()
        self._query_by_ask: dict[int, _OwnerQuery] = {}

    def find(self, pool: PoolId, job: JobId, former_pools: tuple[PoolId, ...] = ()) -> JobLookup:
        """Find a job at the owner of its pool, else in the store.

        :param pool: pool of the job's queue, which may have had another one when the job was
            accepted.
        :param former_pools: pools that the queue had before, as far as known.
        """
        found = self.query_owners((pool, *former_pools), job) or self._read_job(pool, job)
        if not found.is_conclusive or found.state is not None:
            return found
        claim = self.read_claim(job)
        if isinstance(claim, JobLookup):
            return claim
        if claim.is_cancelled:
            # Without a job that was submitted there is none to be shown.
            state = JobState.CANCELLED if claim.is_submitted else None
            return JobLookup(True, None, state, claim.workspace)
        return self.query_owners((claim.pool,), job) or self._read_job(claim.pool, job)

    def query_owners(
        self, pools: Iterable[PoolId], job: JobId, wait_s: float = OWNER_QUERY_TIMEOUT_S
    ) -> JobLookup | None:
        """Return a job as one of the pools' owners knows it; ``None`` if none of them does.

        :param wait_s: maximum time to wait for all of them, in seconds.
        """
        query = _OwnerQuery()
        for pool in pools:
            owner = self._local_owner_of(pool)
            if owner is not None:
                known = owner.find(job) if owner.may_order() else None
                if known is not None:
                    return JobLookup(True, pool, *known)
            elif (record := self._owner_of(pool)) is not None:
                query.address_by_pool[pool] = record.inner
        if not query.address_by_pool:
            return None
        try:
            self._send(query, job)
            query.done.wait(wait_s)
            return query.found
        finally:
            with self._lock:
                for ask in query.pool_by_ask:
                    self._query_by_ask.pop(ask, None)

    def _send(self, query: "_OwnerQuery", job: JobId) -> None:
        query.pool_by_ask = {next(self._ask_ids): pool for pool in query.address_by_pool}
        query.unanswered = len(query.pool_by_ask)
        with self._lock:
            self._query_by_ask |= dict.fromkeys(query.pool_by_ask, query)
        for ask, pool in query.pool_by_ask.items():
            self._peers.send(query.address_by_pool[pool], JobAsk(ask, pool, job, self._id))

    def on_job_told(self, batch: Batch, message: JobTold) -> None:
        """Handle an owner's answer to a query.

        An answer to a former process at this address, which may have had a query of the same
        number about another job, isn't believed.
        """
        if message.asker != self._id:
            log(Event.ANSWER_IGNORED, sender=batch.sender, ask=message.ask, kind="JobTold")
            return
        with self._lock:
            query = self._query_by_ask.pop(message.ask, None)
            if query is not None:
                query.on_answer(message)

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
    """A query to the owners of some pools, of which one at most has the job."""

    __slots__ = ("address_by_pool", "done", "found", "pool_by_ask", "unanswered")

    def __init__(self) -> None:
        self.address_by_pool: dict[PoolId, str] = {}
        self.pool_by_ask: dict[int, PoolId] = {}
        self.unanswered = 0
        self.found: JobLookup | None = None
        self.done = threading.Event()

    def on_answer(self, answer: JobTold) -> None:
        """Process the answer of one owner."""
        self.unanswered -= 1
        if answer.is_owner and answer.state:
            self.found = JobLookup(
                True,
                self.pool_by_ask[answer.ask],
                JobState(answer.state),
                WorkspaceId(answer.workspace),
                FailureCause(answer.cause),
            )
        if self.found is not None or not self.unanswered:
            self.done.set()


class _JobWorkspace(msgspec.Struct):
    workspace: WorkspaceId = NO_WORKSPACE


def workspace_of(value: bytes) -> WorkspaceId:
    """Return the workspace in a stored job, without decoding its steps."""
    try:
        return msgspec.msgpack.decode(value, type=_JobWorkspace).workspace
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key="accepted job", reason=str(error))
        return NO_WORKSPACE
