"""In-memory endpoint, and a pool whose owners use such endpoints."""

import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.execution import (
    NO_HOST_SOURCE,
    EndKind,
    HostSource,
    OrderAnswer,
    PolicyAnswer,
    PolicyCalls,
    PollResult,
    PoolOwner,
    ReportedRun,
    RunEnd,
    StartOrder,
    Verdict,
)
from lentilrill.execution._tickets import TicketRequest
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.store import Compare
from lentilrill.workloads import Configuration, EndpointEntry, Job, JobState, Step, StepId, TaskId
from tests.builders import a_configuration
from tests.fakes import FakeKeyValue

__all__ = [
    "FakeEndpoint",
    "FakePolicy",
    "OwnedPool",
    "ShownProgress",
    "TimedEndpoint",
    "eventually",
    "state_of",
]

TIMEOUT_S = 20.0
MAX_POLL_WAIT_S = 0.05


def eventually(condition: Callable[[], bool], within_s: float = TIMEOUT_S) -> bool:
    """Wait until ``condition`` holds; return whether it ever did."""
    end = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.005)
    return True


def state_of(owner: PoolOwner, job: JobId) -> JobState | None:
    """Return the state of a job that an owner would show, or ``None`` if it shows none."""
    found = owner.find(job)
    return found[0] if found is not None else None


class FakeEndpoint:
    """Fake endpoint that keeps runs, ends and the highest token; leases never expire.

    :ivar silent: no call is answered or executed.
    :ivar loses_acknowledgements: acknowledgements are lost.
    :ivar starts: all executed starts, in order.
    :ivar ends: all ends of runs, in order.
    :ivar renewals: tokens of the polls that renewed the run lease, in order.
    :ivar answered_polls: whether each answered poll renewed the lease, and its wait in
        milliseconds.
    """

    def __init__(self) -> None:
        self.silent = False
        self.loses_acknowledgements = False
        self.token = 0
        self.running: dict[tuple[TaskId, int], ReportedRun] = {}
        self.ended: list[RunEnd] = []
        self.starts: list[tuple[TaskId, int]] = []
        self.stops: list[tuple[TaskId, int]] = []
        self.ends: list[tuple[TaskId, EndKind]] = []
        self.acknowledged = 0
        self.polls = 0
        self.renewals: list[int] = []
        self.answered_polls: list[tuple[bool, int]] = []
        self._cursor = 0
        self._changed = threading.Condition()

    def start(self, order: StartOrder) -> OrderAnswer:
        with self._changed:
            if self.silent:
                return OrderAnswer(Verdict.UNKNOWN)
            if order.token < self.token:
                return OrderAnswer(Verdict.FENCED)
            self.token = order.token
            key = (order.task, order.number)
            if key not in self.running:
                self.running[key] = ReportedRun(order.task, order.number, "", 0, 0.0)
                self.starts.append(key)
            return OrderAnswer(Verdict.DONE)

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        with self._changed:
            if self.silent:
                return OrderAnswer(Verdict.UNKNOWN)
            if token < self.token:
                return OrderAnswer(Verdict.FENCED)
            self.stops.append((task, number))
        self.end(task, number, EndKind.STOPPED)
        return OrderAnswer(Verdict.DONE)

    def pace(self, task: TaskId, number: int, percent: int, token: int) -> OrderAnswer:
        del task, number, percent, token
        return OrderAnswer(Verdict.DONE)

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        with self._changed:
            if not self.silent and token >= self.token:
                self.token = token
                if not self.loses_acknowledgements:
                    self.acknowledged = max(self.acknowledged, acknowledged)
                self.ended = [end for end in self.ended if end.cursor > self.acknowledged]
                if not self.ended:
                    self._changed.wait(min(wait_ms / 1000, MAX_POLL_WAIT_S))
            if self.silent:
                return PollResult(Verdict.UNKNOWN)
            if token < self.token:
                return PollResult(Verdict.FENCED)
            self.polls += 1
            self.answered_polls.append((expires_ms is not None, wait_ms))
            if expires_ms is not None:
                self.renewals.append(token)
            return PollResult(
                Verdict.DONE, 1_000_000, 1, tuple(self.running.values()), tuple(self.ended)
            )

    def end(
        self, task: TaskId, number: int, kind: EndKind = EndKind.DONE, checkpoint: str = ""
    ) -> None:
        """End a run."""
        with self._changed:
            if self.running.pop((task, number), None) is not None:
                self.ends.append((task, kind))
                self._cursor += 1
                self.ended.append(RunEnd(self._cursor, task, number, kind, checkpoint))
                self._changed.notify_all()

    def close(self) -> None:
        pass


class TimedEndpoint(FakeEndpoint):
    """Fake endpoint with a clock that goes.

    :ivar delayed: start orders that were lost on the way, and may arrive later.
    :ivar loses_starts: start orders get no answer and are delayed.
    :ivar loses_answers: start orders are carried out, and their answers are lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delayed: list[StartOrder] = []
        self.loses_starts = self.loses_answers = False
        self._refused: set[tuple[TaskId, int]] = set()
        self._order_lock = threading.Lock()

    def start(self, order: StartOrder) -> OrderAnswer:
        with self._order_lock:
            if self.loses_starts:
                self.delayed.append(order)
                return OrderAnswer(Verdict.UNKNOWN)
            if (order.task, order.number) in self._refused:
                return OrderAnswer(Verdict.OUTDATED)
            answer = super().start(order)
        return OrderAnswer(Verdict.UNKNOWN) if self.loses_answers else answer

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        with self._order_lock:
            if not self.silent:
                self._refused.add((task, number))
        return super().stop(task, number, token)

    def end(
        self, task: TaskId, number: int, kind: EndKind = EndKind.DONE, checkpoint: str = ""
    ) -> None:
        """End a run; a copy of its start that arrives later is refused."""
        with self._order_lock:
            self._refused.add((task, number))
        super().end(task, number, kind, checkpoint)

    def poll(self, *args: object) -> PollResult:
        result = super().poll(*args)
        return msgspec.structs.replace(result, clock_ms=int(time.monotonic() * 1000))

    def show(self, percent: int) -> None:
        with self._changed:
            for key, run in list(self.running.items()):
                self.running[key] = msgspec.structs.replace(run, percent=percent)


class FakePolicy:
    """Policy service that allows all endpoints but those denied; the next ``failures`` calls fail.

    :ivar on_request: called during each call.
    """

    def __init__(self) -> None:
        self.requests_received: list[TicketRequest] = []
        self.failures = 0
        self.denied: set[str] = set()
        self.on_request: Callable[[], None] = lambda: None
        self.valid_s = 60.0

    def request_tickets(
        self, step: StepId, endpoints: tuple[EndpointId, ...]
    ) -> Result[PolicyAnswer, Fault]:
        self.requests_received.append(TicketRequest(step, endpoints))
        self.on_request()
        if self.failures:
            self.failures -= 1
            return Failure(Fault("policy.ask", "", FaultKind.UNAVAILABLE, "status 429"))
        return Success(
            PolicyAnswer({e: f"t-{e}" for e in endpoints if e not in self.denied}, self.valid_s)
        )


class OwnedPool:
    """A pool on fake endpoints, and its successive owners.

    :param kv: store that the pool shares with others; a new one by default.
    """

    def __init__(self, *names: str, pool: str = "notices", kv: FakeKeyValue | None = None) -> None:
        self.pool = PoolId(pool)
        self.kv = kv or FakeKeyValue()
        self.endpoints = {name: FakeEndpoint() for name in names}
        self.entries: dict[EndpointId, EndpointEntry] = {}
        self.configuration: Configuration = a_configuration()
        self.configuration_key: Compare | None = Compare("configuration", Revision(0))
        self.records_since: Revision | None = None
        self.refusals: list[str] = []
        self.hosts: HostSource = NO_HOST_SOURCE
        self.policy: PolicyCalls | None = None
        self.owners: list[PoolOwner] = []

    def register(self, entry: EndpointEntry) -> None:
        """Register an endpoint in the store."""
        self.entries[entry.id] = entry

    def take_over(self) -> PoolOwner:
        """Start a new owner under a new token."""
        owner = self.new_owner()
        owner.start()
        return owner

    def new_owner(self) -> PoolOwner:
        """Return a new owner under a new token without starting it."""
        owner_key = f"m/o/{self.pool}"
        token = self.kv.put(owner_key, b"owner")
        owner = PoolOwner(
            self.kv,
            self.pool,
            Revision(token),
            owner_key,
            lambda: self.configuration,
            lambda pool: dict(self.entries),
            lambda entry: self.endpoints[entry.id],
            lambda: True,
            lambda: True,
            self.refusals.append,
            lambda: self.configuration_key,
            lambda: self.records_since,
            self.policy,
            hosts=self.hosts,
        )
        self.owners.append(owner)
        return owner

    def submit(self, owner: PoolOwner, job: Job) -> None:
        """Store a job and tell an owner of it, as an entry host does that has accepted it."""
        value = msgspec.msgpack.encode(job)
        owner.add_job(value, self.kv.put(f"in/{self.pool}/j/{job.id}", value))

    def close(self) -> None:
        """Close all owners."""
        for owner in self.owners:
            owner.close()

    def starts(self) -> list[tuple[TaskId, int]]:
        """Return the starts on all endpoints."""
        return [start for endpoint in self.endpoints.values() for start in endpoint.starts]

    def finish_all(self) -> None:
        """End all runs as done."""
        for endpoint in self.endpoints.values():
            for task, number in list(endpoint.running):
                endpoint.end(task, number)


class ShownProgress:
    """Times left that follow the progress shown alone; a fresh run takes its estimate."""

    def expected_ms(self, job: Job, spec: Step, step: object) -> float:
        del job, step
        return spec.estimate_ms

    def remaining_ms(
        self, job: Job, spec: Step, step: object, elapsed_ms: float, done_share: float
    ) -> float:
        del job, step
        if not done_share:
            return max(0.0, spec.estimate_ms - elapsed_ms)
        return elapsed_ms * (1 - done_share) / done_share
