"""Handling of job requests on an entry host, whether or not it owns their pool."""

import itertools
import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.execution import PoolOwner, progress_key
from lentilrill.ids import JobId, PoolId, QueueId, Revision
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
from lentilrill.intake._doubts import Doubts
from lentilrill.intake._group import LONGEST_S, Committed, GroupCommit
from lentilrill.ownership import OwnerRecord
from lentilrill.scheduling import Pressure, may_take, outage_retry_s, retry_after_s
from lentilrill.store import KeyValue, Priority
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Job, JobAnswer, JobProgress, JobState

__all__ = ["Intake"]

SILENT_STORE_S = 1.0
"""Time without an answer from the store after which jobs are refused at once and this host reports
that it is not ready: two lease renewals in a row had no answer."""
ASK_S = 0.35
"""Timeout for an owner's answer before the store is read instead; a round trip takes a few ms."""
QUICK_ASK_S = 0.1
"""Timeout of the query before a refusal, which must not keep the caller waiting."""
HELD_SHARE = 0.8
"""Share of the caller's timeout to spend on the commit. The rest leaves time to query the owner
before a refusal, and for the answer to reach the caller."""


class _Peers(Protocol):
    def send(self, address: str, message: Message) -> None:
        """Send a message, which may get lost."""


class Intake:
    """Accepts, cancels and shows jobs.

    :param owned: returns the pool's owner task, if this process owns the pool.
    :param owner_of: returns the owner record of a pool, if known.
    :param pressure_of: returns the pressure reported by a pool's owner; ``None`` if there is no
        recent report.
    :param pools: returns all known pools.
    :param others: returns the inner addresses of the other entry hosts.
    :param silent_s: returns the seconds since the store last answered this host.
    """

    def __init__(
        self,
        kv: KeyValue,
        peers: _Peers,
        owned: Callable[[PoolId], PoolOwner | None],
        owner_of: Callable[[PoolId], OwnerRecord | None],
        pressure_of: Callable[[PoolId], PoolPressure | None],
        pools: Callable[[], list[PoolId]],
        others: Callable[[], list[str]] = list,
        silent_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._kv = kv
        self._peers = peers
        self._owned = owned
        self._owner_of = owner_of
        self._pressure_of = pressure_of
        self._pools = pools
        self._others = others
        self._silent_s = silent_s
        self._doubts = Doubts()
        self._group = GroupCommit(kv)
        self._asks = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting_by_ask: dict[int, _Question] = {}

    def start(self) -> None:
        """Start committing."""
        self._group.start()

    def close(self) -> None:
        """Stop once all queued commits are done."""
        self._group.close()

    def submit(self, job: Job, wait_s: float | None = None) -> tuple[JobAnswer, float]:
        """Accept a job, or refuse it at once.

        :param wait_s: the caller's timeout in seconds, if known.
        :return: the answer, and the seconds after which a refused caller should retry.
        """
        began = time.monotonic()
        known = self._pressure_of(job.pool)
        pressure = Pressure(known.wait_s, known.late_wait_s) if known is not None else None
        # A job that may be stored is committed again even in an overloaded pool, to get its result.
        if pressure is not None and not may_take(pressure) and job.id not in self._doubts:
            return self._refuse(
                job,
                JobAnswer.OVERLOADED,
                retry_after_s(pressure),
                wait_s=pressure.wait_s,
                late_s=pressure.late_s,
                token=known.token if known is not None else 0,
            )
        silent_s = self._silent_s()
        if silent_s >= SILENT_STORE_S:
            # Refuse before anything is sent, so that the job certainly never runs. A commit without
            # an answer would leave the outcome unknown.
            retry_s = outage_retry_s(silent_s)
            return self._refuse(
                job, JobAnswer.UNAVAILABLE, retry_s, reason="the store does not answer"
            )
        value = msgspec.msgpack.encode(job)
        done = self._group.create(f"in/{job.pool}/j/{job.id}", value, _bounded(wait_s))
        answer = _answer_of(done)
        took_s = round(time.monotonic() - began, 3)
        if answer is JobAnswer.UNAVAILABLE:
            retry_s = outage_retry_s(silent_s)
            return self._refuse(job, answer, retry_s, reason="not committed", took_s=took_s)
        self._log_submit(job, answer, revision=done.revision, took_s=took_s)
        if answer is JobAnswer.ACCEPTED and done.revision:
            self._tell_owner(job, done.stored or value, done.revision)
        elif answer is JobAnswer.UNKNOWN:
            self._doubt(job.id)
        return answer, 0.0

    def _refuse(
        self, job: Job, answer: JobAnswer, retry_s: float, **why: object
    ) -> tuple[JobAnswer, float]:
        """Refuse a job, unless an earlier attempt of its caller stored it or may have."""
        if job.id in self._doubts:
            answer = JobAnswer.UNKNOWN
        elif self._ask_owner(job.pool, job.id, QUICK_ASK_S) is not None:
            answer = JobAnswer.ACCEPTED
        self._log_submit(job, answer, **why)
        return answer, retry_s

    def _doubt(self, job: JobId) -> None:
        """Record on this and all other hosts that a job may be stored."""
        self._doubts.note(job)
        for address in self._others():
            self._peers.send(address, JobDoubted(job))

    def doubted(self, batch: Batch, message: JobDoubted) -> None:
        """Record another host's report that a job may be stored."""
        del batch
        self._doubts.note(message.job)

    def cancel(self, pool: PoolId, job: JobId, wait_s: float | None = None) -> JobAnswer:
        """Cancel a job.

        :param wait_s: the caller's timeout in seconds, if known.
        """
        until = time.monotonic() + _bounded(wait_s)
        found = self._find(pool, job)
        if not found.is_sure:
            return JobAnswer.UNAVAILABLE
        home = found.pool
        if home is None or found.state is None:
            return JobAnswer.ABSENT
        if found.state.is_final:
            return JobAnswer.ACCEPTED
        left_s = max(0.0, until - time.monotonic())
        done = self._group.create(f"in/{home}/x/{job}", b"{}", left_s)
        answer = _answer_of(done)
        log(Event.CANCEL_ANSWERED, job=job, pool=home, answer=answer.value)
        if answer is JobAnswer.ACCEPTED:
            owner = self._owned(home)
            record = self._owner_of(home)
            if owner is not None:
                owner.cancel(job)
            elif record is not None:
                self._peers.send(record.inner, JobCancelled(home, job))
        return answer

    def show(self, pool: PoolId, job: JobId) -> tuple[JobAnswer, JobState | None]:
        """Return the state of a job; ``ABSENT`` if there is no such job."""
        found = self._find(pool, job)
        if not found.is_sure:
            return JobAnswer.UNAVAILABLE, None
        if found.state is None:
            return JobAnswer.ABSENT, None
        return JobAnswer.ACCEPTED, found.state

    def waiting(self, pool: PoolId, queue: QueueId) -> int | None:
        """Return how many accepted jobs of a queue have not started; ``None`` if unknown."""
        known = self._pressure_of(pool)
        return known.waiting_by_queue.get(queue, 0) if known is not None else None

    def told(self, batch: Batch, message: JobTold) -> None:
        """Handle an owner's answer to a query."""
        del batch
        with self._lock:
            question = self._waiting_by_ask.pop(message.ask, None)
        if question is not None:
            question.answer = message
            question.done.set()

    def _find(self, pool: PoolId, job: JobId) -> "_Found":
        """Find a job at its pool's owner, else in the store.

        The store is searched in all pools, since the queue may have had another pool when the job
        was accepted.
        """
        state = self._ask_owner(pool, job)
        if state is not None:
            return _Found(True, pool, state)
        others = [other for other in self._pools() if other != pool]
        for home in [pool, *others]:
            found = self._read(home, job)
            if not found.is_sure or found.state is not None:
                return found
        return _Found(True)

    def _ask_owner(self, pool: PoolId, job: JobId, wait_s: float = ASK_S) -> JobState | None:
        owner = self._owned(pool)
        if owner is not None:
            return owner.state_of(job) if owner.may_order() else None
        record = self._owner_of(pool)
        if record is None:
            return None
        question = _Question()
        ask = next(self._asks)
        with self._lock:
            self._waiting_by_ask[ask] = question
        self._peers.send(record.inner, JobAsk(ask, pool, job))
        question.done.wait(wait_s)
        with self._lock:
            self._waiting_by_ask.pop(ask, None)
        told = question.answer
        return JobState(told.state) if told is not None and told.is_owner and told.state else None

    def _read(self, pool: PoolId, job: JobId) -> "_Found":
        """Read the records of a job in one pool."""
        items = []
        for key in (f"in/{pool}/j/{job}", progress_key(pool, job), f"in/{pool}/x/{job}"):
            # Low priority: while no owner answers, callers' queries would use up this host's calls
            # to the store, and its own pools could not be loaded, so a take-over would never end.
            read = self._kv.get(key, Priority.LATER)
            if isinstance(read, Failure):
                log(Event.JOB_NOT_READ, job=job, pool=pool, reason=read.failure().reason)
                return _Found(False)
            items.append(read.unwrap())
            if items[0] is None:
                return _Found(True)
        _, progress, cancelled = items
        state = JobState.QUEUED
        if progress is not None and progress.value is not None:
            state = msgspec.json.decode(progress.value, type=JobProgress).state
        if cancelled is not None and not state.is_final:
            state = JobState.CANCELLED
        return _Found(True, pool, state)

    def _tell_owner(self, job: Job, value: bytes, revision: Revision) -> None:
        owner = self._owned(job.pool)
        record = self._owner_of(job.pool)
        if owner is not None:
            owner.take_job(value, revision)
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


class _Found(msgspec.Struct, frozen=True):
    """The result of looking up a job.

    :param is_sure: whether the store could be read; if not, the job may exist.
    """

    is_sure: bool
    pool: PoolId | None = None
    state: JobState | None = None


class _Question:
    __slots__ = ("answer", "done")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.answer: JobTold | None = None


def _bounded(wait_s: float | None) -> float:
    """Return the maximum time to wait for a commit, given the caller's timeout."""
    if wait_s is None:
        return LONGEST_S
    return min(LONGEST_S, wait_s * HELD_SHARE)


def _answer_of(done: Committed) -> JobAnswer:
    if done.known:
        return JobAnswer.ACCEPTED
    # Once the commit was sent to the store, the job may run, so it can't count as refused.
    return JobAnswer.UNKNOWN if done.sent else JobAnswer.UNAVAILABLE
