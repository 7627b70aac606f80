"""Owners of a pool that are lost at any call to the store: take-over, hand-over and cancel."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result
from testtools import TestCase

from lentilrill.execution import EndKind, OrderAnswer, PollResult, PoolOwner, Verdict
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import JobId, Revision
from lentilrill.workloads import Job, JobState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually
from tests.fakes import FakeKeyValue

MAX_CALLS = 12
"""More calls than an owner makes between its take-over and the end of all jobs of a case."""
ROUNDS_BEFORE_HAND_OVER = 4
SILENT_ROUNDS = 40
SLOW_CALL_S = 0.06
"""Longer than a poll of :class:`FakeEndpoint` waits."""


class Loss(msgspec.Struct, frozen=True):
    """When an owner is lost.

    :param calls: calls to the store that it makes before the one in which it is lost.
    :param takes_effect: whether that call is carried out.
    """

    calls: int
    takes_effect: bool


class Life:
    """Whether one owner's process still runs; nothing leaves a process that was lost."""

    def __init__(self, loss: Loss | None) -> None:
        self._loss = loss
        self._calls = 0
        self._lock = threading.Lock()
        self.is_lost = False

    def call(self, call: Callable[[], Result]) -> Result:
        """Make a call to the store, or lose the owner in it."""
        with self._lock:
            if self.is_lost:
                return _unavailable()
            self._calls += 1
            if self._loss is None or self._calls <= self._loss.calls:
                return call()
            if self._loss.takes_effect:
                call()
            # What the owner wrongly does before the answer still leaves its process.
            time.sleep(SLOW_CALL_S)
            self.is_lost = True
            return _unavailable()


class OwnersStore:
    """The store as one owner reaches it."""

    def __init__(self, kv: FakeKeyValue, life: Life) -> None:
        self._kv = kv
        self._life = life

    def __getattr__(self, name: str) -> Any:
        return getattr(self._kv, name)

    def read(self, *args: Any) -> Result:
        return self._life.call(lambda: self._kv.read(*args))

    def get(self, *args: Any) -> Result:
        return self._life.call(lambda: self._kv.get(*args))

    def commit(self, *args: Any) -> Result:
        return self._life.call(lambda: self._kv.commit(*args))


class OwnersEndpoint:
    """An endpoint as one owner reaches it."""

    def __init__(self, endpoint: FakeEndpoint, life: Life) -> None:
        self._endpoint = endpoint
        self._life = life

    def start(self, *args: Any) -> OrderAnswer:
        return OrderAnswer(Verdict.UNKNOWN) if self._life.is_lost else self._endpoint.start(*args)

    def stop(self, *args: Any) -> OrderAnswer:
        return OrderAnswer(Verdict.UNKNOWN) if self._life.is_lost else self._endpoint.stop(*args)

    def pace(self, *args: Any) -> OrderAnswer:
        return OrderAnswer(Verdict.UNKNOWN) if self._life.is_lost else self._endpoint.pace(*args)

    def poll(self, *args: Any) -> PollResult:
        return PollResult(Verdict.UNKNOWN) if self._life.is_lost else self._endpoint.poll(*args)

    def close(self) -> None:
        pass


class Case:
    """Jobs of one pool whose owners are lost one after the other; one endpoint answers late.

    :ivar lost: owners that were lost.
    :ivar problems: what was shown or done wrongly.
    """

    def __init__(self, losses: list[Loss], *, hands_over: bool, cancels_at: int) -> None:
        self._losses = losses
        self._hands_over = hands_over
        self._cancels_at = cancels_at
        self.pool = OwnedPool("e1", "e2")
        for name in self.pool.endpoints:
            self.pool.register(an_endpoint(name))
        chain = a_job("a", a_step(2), a_step(1, after=(0,)))
        self.jobs = [chain, a_job("b"), a_job("c", a_step(3))]
        self.cancelled = self.jobs[1].id
        self.lost = 0
        self.problems: list[str] = []
        self._rounds = 0
        self._silent_until = 0
        self._shown: dict[JobId, JobState] = {}
        for job in self.jobs:
            self.pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
        self._take_over()

    def _take_over(self) -> None:
        loss = self._losses.pop(0) if self._losses else None
        self._life = life = Life(loss)
        pool, kv = self.pool, self.pool.kv
        owner_key = "m/o/notices"
        token = Revision(kv.put(owner_key, b"owner"))
        self._owner = PoolOwner(
            OwnersStore(kv, life),
            pool.pool,
            token,
            owner_key,
            lambda: pool.configuration,
            lambda _: dict(pool.entries),
            lambda entry: OwnersEndpoint(pool.endpoints[entry.id], life),
            lambda: not life.is_lost,
            lambda: not life.is_lost,
            pool.refusals.append,
            lambda: pool.configuration_key,
            lambda: None,
        )
        self._owner.start()

    def play(self) -> bool:
        """Play until all jobs have ended and nothing runs; return whether they did."""
        done = eventually(self._step)
        self._owner.close()
        return done

    def _step(self) -> bool:
        self._rounds += 1
        self.pool.endpoints["e1"].silent = self._rounds < self._silent_until
        if self._rounds == self._cancels_at:
            self.pool.kv.put(f"in/notices/x/{self.cancelled}", b"{}")
        if self._rounds == ROUNDS_BEFORE_HAND_OVER and self._hands_over:
            self._owner.close(flush=True)
            self._replace_owner()
        if self._life.is_lost:
            self._owner.close()
            self._replace_owner()
        self._check_runs()
        if self._rounds % 3 == 0:
            self.pool.finish_all()
        self._check_shown()
        running = any(endpoint.running for endpoint in self.pool.endpoints.values())
        return len(self._shown) == len(self.jobs) and not running

    def _replace_owner(self) -> None:
        self.lost += self._life.is_lost
        self._silent_until = self._rounds + SILENT_ROUNDS
        self._take_over()

    def _check_runs(self) -> None:
        running = Counter(
            task for endpoint in self.pool.endpoints.values() for task, _ in list(endpoint.running)
        )
        self.problems += [f"{task} runs {n} times" for task, n in running.items() if n > 1]

    def _check_shown(self) -> None:
        for job in self.jobs:
            found = self._owner.find(job.id)
            if found is None:
                continue
            before = self._shown.get(job.id)
            if before not in (None, found[0]):
                self.problems.append(f"{job.id} is shown as {found[0]} after {before}")
            if found[0].is_final:
                self._shown[job.id] = found[0]

    def check_end(self) -> list[str]:
        """Return what was wrong, also in what is shown at the end."""
        done = Counter(
            task
            for endpoint in self.pool.endpoints.values()
            for task, kind in endpoint.ends
            if kind is EndKind.DONE
        )
        problems = [f"{task} done {n} times" for task, n in done.items() if n > 1]
        for job in self.jobs:
            state = self._shown.get(job.id)
            allowed = {JobState.COMPLETED}
            if job.id == self.cancelled:
                allowed.add(JobState.CANCELLED)
            if state not in allowed:
                problems.append(f"{job.id} ended as {state}")
            if state is JobState.COMPLETED and self._done_tasks(job, done) != self._tasks(job):
                problems.append(f"{job.id} completed with {self._done_tasks(job, done)} tasks")
        return [*self.problems, *problems]

    def _tasks(self, job: Job) -> int:
        return sum(step.count for step in job.steps)

    def _done_tasks(self, job: Job, done: Counter[Any]) -> int:
        return sum(1 for task in done if task.job == job.id)


class LostOwnersTest(TestCase):
    def check(self, losses: list[Loss], *, hands_over: bool, cancels_at: int) -> int:
        """Play one case; return the number of owners that were lost."""
        text = f"{losses}, hands over: {hands_over}, cancels at {cancels_at}"
        case = Case(list(losses), hands_over=hands_over, cancels_at=cancels_at)
        self.assertTrue(case.play(), f"not all jobs ended: {text}")
        self.assertEqual([], case.check_end(), text)
        return case.lost

    def test_an_owner_lost_at_each_call_to_the_store(self) -> None:
        """Guards against a job that stands still, runs twice, or is shown with an end that it
        didn't have, after its owner ended between two writes."""
        points = 0
        for hands_over in (False, True):
            for calls in range(MAX_CALLS):
                for takes_effect in (False, True):
                    draw = random.Random(calls * 4 + hands_over * 2 + takes_effect)
                    second = Loss(draw.randrange(MAX_CALLS), draw.random() < 0.5)
                    points += self.check(
                        [Loss(calls, takes_effect), second],
                        hands_over=hands_over,
                        cancels_at=draw.randrange(1, 10),
                    )
        print(f"{points} owners lost")
        self.assertGreater(points, MAX_CALLS)


def _unavailable() -> Result:
    return Failure(Fault("store", "lost", FaultKind.UNAVAILABLE, "the process was lost"))
