"""What an entry host does for callers of jobs, whether or not it owns their pool."""

import itertools
import threading
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
    JobTold,
    Message,
    PoolPressure,
)
from lentilrill.intake._group import Committed, GroupCommit
from lentilrill.ownership import OwnerRecord
from lentilrill.scheduling import Pressure, may_take, retry_after_s
from lentilrill.store import KeyValue, Priority
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Job, JobAnswer, JobProgress, JobState

__all__ = ["Intake"]

SHORTEST_RETRY_S = 1.0
"""When a caller should come back whose job could not be committed here: by then the balancer sends
callers to hosts that can."""
ASK_S = 0.35
"""Wait for an owner's answer before the store is read instead: a round trip takes a few ms."""


class _Peers(Protocol):
    def send(self, address: str, message: Message) -> None:
        """Send a message, which may be lost."""


class Intake:
    """Accepts, cancels and shows jobs.

    :param owned: the owner task of a pool, if this process owns it.
    :param owner_of: who owns a pool, as far as is known.
    :param pressure_of: how busy a pool's owner says it is; ``None`` if nobody says so.
    :param pools: all pools that are known.
    :param can_commit: whether the store has answered this host lately.
    """

    def __init__(
        self,
        kv: KeyValue,
        peers: _Peers,
        owned: Callable[[PoolId], PoolOwner | None],
        owner_of: Callable[[PoolId], OwnerRecord | None],
        pressure_of: Callable[[PoolId], PoolPressure | None],
        pools: Callable[[], list[PoolId]],
        can_commit: Callable[[], bool] = lambda: True,
    ) -> None:
        self._kv = kv
        self._peers = peers
        self._owned = owned
        self._owner_of = owner_of
        self._pressure_of = pressure_of
        self._pools = pools
        self._can_commit = can_commit
        self._group = GroupCommit(kv)
        self._asks = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting_by_ask: dict[int, _Question] = {}

    def start(self) -> None:
        """Begin to commit."""
        self._group.start()

    def close(self) -> None:
        """End after what is queued."""
        self._group.close()

    def submit(self, job: Job) -> tuple[JobAnswer, float]:
        """Accept a job, or refuse it at once.

        :return: what became of it, and the seconds after which a refused caller should come back.
        """
        known = self._pressure_of(job.pool)
        pressure = Pressure(known.wait_s, known.late_wait_s) if known is not None else None
        if known is not None and pressure is not None and not may_take(pressure):
            self._log_submit(
                job,
                JobAnswer.OVERLOADED,
                wait_s=known.wait_s,
                late_s=known.late_wait_s,
                token=known.token,
            )
            return JobAnswer.OVERLOADED, retry_after_s(pressure)
        if not self._can_commit():
            # Refused before anything is sent, so that it surely never runs; a commit that gets no
            # answer could not be told to the caller as refused.
            self._log_submit(job, JobAnswer.UNAVAILABLE, reason="the store is silent")
            return JobAnswer.UNAVAILABLE, SHORTEST_RETRY_S
        value = msgspec.msgpack.encode(job)
        done = self._group.create(f"in/{job.pool}/j/{job.id}", value)
        answer = _answer_of(done)
        self._log_submit(job, answer, revision=done.revision)
        if answer is JobAnswer.ACCEPTED and done.revision:
            self._tell_owner(job, value, done.revision)
        return answer, SHORTEST_RETRY_S

    def cancel(self, pool: PoolId, job: JobId) -> JobAnswer:
        """Cancel a job."""
        found = self._find(pool, job)
        if not found.is_sure:
            return JobAnswer.UNAVAILABLE
        home = found.pool
        if home is None or found.state is None:
            return JobAnswer.ABSENT
        if found.state.is_final:
            return JobAnswer.ACCEPTED
        done = self._group.create(f"in/{home}/x/{job}", b"{}")
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
        """Return a job's state; ``ABSENT`` if there is no such job."""
        found = self._find(pool, job)
        if not found.is_sure:
            return JobAnswer.UNAVAILABLE, None
        if found.state is None:
            return JobAnswer.ABSENT, None
        return JobAnswer.ACCEPTED, found.state

    def waiting(self, pool: PoolId, queue: QueueId) -> int | None:
        """Return how many accepted jobs of a queue have not begun; ``None`` if nobody says so."""
        known = self._pressure_of(pool)
        return known.waiting_by_queue.get(queue, 0) if known is not None else None

    def told(self, batch: Batch, message: JobTold) -> None:
        """Take an owner's answer."""
        del batch
        with self._lock:
            question = self._waiting_by_ask.pop(message.ask, None)
        if question is not None:
            question.answer = message
            question.done.set()

    def _find(self, pool: PoolId, job: JobId) -> "_Found":
        """Find a job: at its pool's owner, else in the store, there also in other pools, since
        its queue may have had another pool when it was accepted."""
        state = self._ask_owner(pool, job)
        if state is not None:
            return _Found(True, pool, state)
        others = [other for other in self._pools() if other != pool]
        for home in [pool, *others]:
            found = self._read(home, job)
            if not found.is_sure or found.state is not None:
                return found
        return _Found(True)

    def _ask_owner(self, pool: PoolId, job: JobId) -> JobState | None:
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
        question.done.wait(ASK_S)
        with self._lock:
            self._waiting_by_ask.pop(ask, None)
        told = question.answer
        return JobState(told.state) if told is not None and told.is_owner and told.state else None

    def _read(self, pool: PoolId, job: JobId) -> "_Found":
        """Read a job's records of one pool."""
        items = []
        for key in (f"in/{pool}/j/{job}", progress_key(pool, job), f"in/{pool}/x/{job}"):
            # Guard against a take-over that never ends: callers who ask while no owner answers
            # would use up this host's calls, and its own pools could not be loaded any more.
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
    """Where a job is.

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


def _answer_of(done: Committed) -> JobAnswer:
    if done.known:
        return JobAnswer.ACCEPTED
    # Once the commit was handed to the store, the job may run: that is not a refusal.
    return JobAnswer.UNKNOWN if done.sent else JobAnswer.UNAVAILABLE
