"""Ways in which a task may run on after its job has ended, and their replay on fake endpoints."""

import threading
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure, Result

from lentilrill.execution import EndKind, OrderAnswer, PollResult, ReportedRun, Verdict
from lentilrill.faults import Fault, FaultKind
from lentilrill.store import Compare, DeleteRange, Put
from lentilrill.workloads import EndpointEntry, Job, JobProgress, Resources, TaskId
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, TimedEndpoint, eventually
from tests.fakes import FakeKeyValue

__all__ = [
    "STOPPED_WITHIN_S",
    "Answers",
    "End",
    "Finder",
    "Kind",
    "Path",
    "Replay",
    "Stored",
    "TroubledEndpoint",
]

CANCEL_MS = 3000
"""Time after which no task of a cancelled job is started any more."""
STOP_TIMEOUT_MS = 200
"""Time that a run may take to stop."""
STOPPED_WITHIN_S = (CANCEL_MS + STOP_TIMEOUT_MS) / 1000
ROOM_FOR_ONE = Resources(1000, 1000)
FULL_PERCENT = 100
SETTLING_POLLS = 3
"""Polls of each endpoint after which a run that it still lists would have been seen."""
UNANSWERED = OrderAnswer(Verdict.UNKNOWN)
EARLIER_FIELDS_OF_PROGRESS = ("state", "ended_ms", "steps_by_key")
EARLIER_FIELDS_OF_JOBS = ("id", "queue", "pool", "spec", "steps", "accepted_ms")
TIMING_FIELDS_OF_JOBS = ("first_due_ms", "occurrences", "interval_ms")


class End(Enum):
    """How a job ends while a task of it is at work on an endpoint in trouble."""

    CANCELLED = "cancelled"
    COMPLETED = "completed with a copy at work"
    FAILED = "failed with another task at work"


class Kind(Enum):
    """Kind of the job's tasks."""

    SHORT = "short"
    GANG = "gang"
    COPIES = "copies"
    LASTING = "lasting"
    TIMED = "timed"
    FILLERS = "fillers"


class Finder(Enum):
    """Which owner finds the run."""

    SAME = "the same owner"
    NEXT = "the next one"
    NEXT_BUT_ONE = "the next but one"
    HAND_OVER = "after a hand-over"
    LEFT_OUT = "in a pool that the configuration leaves out"
    EARLIER_RECORDS = "the next one, after an owner of an earlier version"


class Answers(Enum):
    """How an endpoint answers from the end of the job to the finding of the run."""

    SILENT = "no call is answered or carried out"
    LATE_STOP = "stops are carried out later, and polls are answered"
    LATE_START = "the start is carried out later"
    RESTARTED = "the start is carried out later, by the next process"
    DRAINED = "silent, and draining"
    UNREGISTERED = "silent, and its store entry is gone"


class Stored(Enum):
    """When the end is stored."""

    BEFORE_STOP = "before the stop is sent"
    BEFORE_ANSWER = "before the stop is answered"
    NOT_YET = "not yet"
    ANSWER_LOST = "the commit's answer is lost"


class Path(msgspec.Struct, frozen=True):
    """One way to the run of an ended job that an owner finds."""

    end: End = End.CANCELLED
    kind: Kind = Kind.SHORT
    finder: Finder = Finder.NEXT
    answers: Answers = Answers.SILENT
    stored: Stored = Stored.BEFORE_ANSWER

    def __str__(self) -> str:
        parts = (self.end, self.kind, self.finder, self.answers, self.stored)
        return "; ".join(part.value for part in parts)


class _Store(FakeKeyValue):
    """Store whose next commits of a job's end may fail.

    :ivar fault: how these commits fail, if they do.
    :ivar failed: commits of an end that failed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault: Stored | None = None
        self.failed = 0

    def _commit(
        self, compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
    ) -> Result:
        if self.fault is None or not any(_stores_end(write) for write in writes):
            return super()._commit(compares, writes)
        self.failed += 1
        if self.fault is Stored.NOT_YET:
            return Failure(Fault("store", "refused", FaultKind.UNAVAILABLE, "refused"))
        super()._commit(compares, writes)
        return Failure(Fault("store", "lost", FaultKind.AMBIGUOUS, "the answer was lost"))


class TroubledEndpoint(TimedEndpoint):
    """Endpoint in trouble.

    :ivar holds_stops: stops stay in the process of their sender until this ends, and are lost then.
    :ivar delays_stops: stops get no answer and may be carried out later.
    :ivar lives: number of its processes so far, which is also the start time of the last.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lives = 1
        self.delays_stops = False
        self.late_stops: list[tuple[TaskId, int, int]] = []
        self.asked_stops = 0
        self._released = threading.Event()
        self._released.set()

    def hold_stops(self) -> None:
        """Keep the stops from being sent."""
        self._released.clear()

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        self.asked_stops += 1
        if not self._released.is_set():
            self._released.wait()
            return UNANSWERED
        if self.delays_stops:
            self.late_stops.append((task, number, token))
            return UNANSWERED
        return super().stop(task, number, token)

    def poll(self, *args: object) -> PollResult:
        """Answer; all runs make progress, so that none counts as stuck."""
        self.show(self.polls % FULL_PERCENT)
        return msgspec.structs.replace(super().poll(*args), started_ms=self.lives)

    def run(self, task: TaskId, number: int) -> None:
        """Run a task that a previous owner has started."""
        with self._changed:
            self.running[task, number] = ReportedRun(task, number, "", 0, 0.0)

    def restart(self) -> None:
        """Begin the next process, with nothing of what the former one was told."""
        with self._changed:
            self.running.clear()
            self.ended.clear()
            self._refused.clear()
            self._cursor = self.acknowledged = self.token = 0
            self.lives += 1

    def carry_out_late_starts(self) -> None:
        """Carry out the delayed starts that it doesn't refuse, also while it is silent."""
        with self._order_lock:
            for order in self.delayed:
                if order.token >= self.token and (order.task, order.number) not in self._refused:
                    self.run(order.task, order.number)

    def answer_again(self) -> None:
        """Carry out the delayed stops, and answer everything from now on."""
        self.silent = self.delays_stops = self.loses_starts = False
        self._released.set()
        for stop in self.late_stops:
            super().stop(*stop)


class Replay:
    """Replay of one path, on two endpoints with room for one task each."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._store = _Store()
        self._pool = OwnedPool("e1", "e2", kv=self._store)
        self._healthy, self._troubled = TroubledEndpoint(), TroubledEndpoint()
        self._pool.endpoints = {"e1": self._healthy, "e2": self._troubled}
        self._pool.configuration = a_configuration(max_attempts=1)
        for name in self._pool.endpoints:
            self._pool.register(_entry(name))
        self._job = _job_of(path)
        self._owner = self._pool.take_over()

    def ends_in_time(self) -> bool:
        """Play; return whether nothing of the job runs once everything has answered for a while."""
        try:
            self._begin()
            self._end()
            self._replace_owner()
            self._recover()
            return eventually(lambda: not self._runs(), STOPPED_WITHIN_S) and self._stays_ended()
        finally:
            for endpoint in self._endpoints():
                endpoint.answer_again()
            self._pool.close()

    # Steps

    def _begin(self) -> None:
        """Start the job's tasks, one on each endpoint."""
        is_late = self._path.answers in (Answers.LATE_START, Answers.RESTARTED)
        for endpoint in self._endpoints():
            endpoint.loses_starts = is_late
        self._pool.submit(self._owner, self._job)
        if is_late:
            self._wait(lambda: any(endpoint.delayed for endpoint in self._endpoints()))
            return
        count = 1 if _has_one_task(self._path) else 2
        self._wait(lambda: len(self._pool.starts()) == count)
        if count == 1:
            self._add_run()
        self._wait(lambda: all(len(link.runs_by_key) == 1 for link in self._links()))

    def _add_run(self) -> None:
        """Run the only task on the other endpoint too, and have both runs tracked."""
        [(task, number)] = self._pool.starts()
        if self._healthy.starts:
            self._troubled.run(task, number + 1)
        else:
            self._healthy.run(task, number + 1)

    def _end(self) -> None:
        """Bring about the trouble and the end of the job."""
        self._store.fault = self._fault()
        self._disturb(self._troubled, "e2")
        if self._path.end is End.CANCELLED:
            self._disturb(self._healthy, "e1")
            self._store.put(f"in/notices/x/{self._job.id}", b"{}")
            self._owner.cancel(self._job.id)
        else:
            kind = EndKind.DONE if self._path.end is End.COMPLETED else EndKind.FAILED
            for task, number in list(self._healthy.running):
                self._healthy.end(task, number, kind)
        if self._store.fault is None:
            self._wait(lambda: _is_end_stored(self._store, self._job))
        else:
            self._wait(lambda: self._store.failed > 0)
        if self._path.stored is not Stored.BEFORE_STOP and not self._is_late():
            self._wait(lambda: self._troubled.asked_stops > 0)

    def _fault(self) -> Stored | None:
        is_faulty = self._path.stored in (Stored.NOT_YET, Stored.ANSWER_LOST)
        return self._path.stored if is_faulty else None

    def _is_late(self) -> bool:
        return self._path.answers in (Answers.LATE_START, Answers.RESTARTED)

    def _disturb(self, endpoint: TroubledEndpoint, name: str) -> None:
        answers = self._path.answers
        if self._path.stored is Stored.BEFORE_STOP:
            endpoint.hold_stops()
        endpoint.delays_stops = answers is Answers.LATE_STOP
        endpoint.silent = not endpoint.delays_stops
        if answers is Answers.DRAINED:
            self._pool.register(_entry(name, draining=True))
        if answers is Answers.UNREGISTERED:
            del self._pool.entries[_entry(name).id]

    def _replace_owner(self) -> None:
        """Have the owner lost, by the path, and the trouble go on."""
        finder = self._path.finder
        if finder is Finder.SAME:
            return
        self._owner.close(flush=finder is Finder.HAND_OVER)
        self._store.fault = None
        if finder is Finder.LEFT_OUT:
            configuration = self._pool.configuration
            left_out = msgspec.structs.replace(configuration, version=2, queues=(), pools=())
            self._pool.configuration = left_out
        if finder is Finder.EARLIER_RECORDS:
            self._write_records_as_earlier()
        self._take_over()
        if finder is Finder.NEXT_BUT_ONE:
            self._owner.close()
            self._take_over()

    def _take_over(self) -> None:
        self._owner = self._pool.take_over()
        self._wait(lambda: self._owner._jobs.loaded)

    def _write_records_as_earlier(self) -> None:
        """Leave out of the records what earlier versions didn't write."""
        for key, item in list(self._store.items_by_key.items()):
            if key.startswith("p/"):
                fields = msgspec.json.decode(item.value or b"")
                kept = {name: fields[name] for name in EARLIER_FIELDS_OF_PROGRESS if name in fields}
                self._store.put(key, msgspec.json.encode(kept))
            if "/j/" in key:
                fields = msgspec.msgpack.decode(item.value or b"")
                names = (*EARLIER_FIELDS_OF_JOBS, *TIMING_FIELDS_OF_JOBS)
                kept = {name: fields[name] for name in names if name in fields}
                self._store.put(key, msgspec.msgpack.encode(kept))

    def _recover(self) -> None:
        """End the trouble; what is late is carried out first."""
        for endpoint in self._endpoints():
            if self._path.answers is Answers.RESTARTED:
                endpoint.restart()
            endpoint.carry_out_late_starts()
        if self._is_late():
            assert self._runs() > 0
        self._store.fault = None
        for endpoint in self._endpoints():
            endpoint.answer_again()

    def _stays_ended(self) -> bool:
        """Return whether nothing runs either after a few more polls of each endpoint."""
        polls = [endpoint.polls for endpoint in self._endpoints()]
        for endpoint, count in zip(self._endpoints(), polls, strict=True):
            self._wait(lambda e=endpoint, n=count: e.polls >= n + SETTLING_POLLS)
        return not self._runs()

    # What can be seen

    def _endpoints(self) -> tuple[TroubledEndpoint, TroubledEndpoint]:
        return self._healthy, self._troubled

    def _links(self) -> list:
        return list(self._owner._links.by_id.values())

    def _runs(self) -> int:
        return sum(len(endpoint.running) for endpoint in self._endpoints())

    def _wait(self, condition: Callable[[], bool]) -> None:
        assert eventually(condition), str(self._path)


def _is_end_stored(store: FakeKeyValue, job: Job) -> bool:
    """Whether the store has the end of a job."""
    item = store.items_by_key.get(f"p/notices/{job.id}")
    if item is None or item.value is None:
        return False
    return msgspec.json.decode(item.value, type=JobProgress).state.is_final


def _stores_end(write: Put | DeleteRange) -> bool:
    if not isinstance(write, Put) or not write.key.startswith("p/"):
        return False
    return msgspec.json.decode(write.value, type=JobProgress).state.is_final


def _entry(name: str, *, draining: bool = False) -> EndpointEntry:
    return an_endpoint(name, capacity=ROOM_FOR_ONE, draining=draining)


def _has_one_task(path: Path) -> bool:
    """Whether the job has one task, of which there are two runs."""
    return path.kind is Kind.COPIES or (path.end is End.COMPLETED and path.kind is not Kind.GANG)


def _job_of(path: Path) -> Job:
    """Return the job of a path, of whose tasks there are two runs."""
    now_ms = int(time.time() * 1000)
    count = 1 if _has_one_task(path) else 2
    if path.kind is Kind.TIMED:
        timing = {"first_due_ms": now_ms - 1000, "occurrences": count, "interval_ms": 500}
        return a_job("a", a_step(1), accepted_ms=now_ms, **timing)
    changes = {
        Kind.SHORT: {},
        Kind.GANG: {"gang": True},
        Kind.COPIES: {"speculative": True},
        Kind.LASTING: {"lasting": True},
        Kind.FILLERS: {"filler": True},
    }
    return a_job("a", a_step(count, **changes[path.kind]), accepted_ms=now_ms)
