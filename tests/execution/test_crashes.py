"""Tasks that crash the endpoints that start them."""

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, PollResult, PoolOwner, StartOrder, Verdict
from lentilrill.ids import JobId
from lentilrill.workloads import Job, JobState, Step
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of

MAX_STARTS = 5
"""A task that crashes its endpoints may be started twice more after the third crash."""
ENDPOINTS = 8


class CrashableEndpoint(FakeEndpoint):
    """Fake endpoint that crashes when it starts a task of certain jobs.

    Its address is served by another instance from then on.
    """

    def __init__(self, crashing_jobs: set[JobId]) -> None:
        super().__init__()
        self._crashing_jobs = crashing_jobs
        self.has_crashed = False

    def start(self, order: StartOrder) -> OrderAnswer:
        if self.has_crashed:
            return OrderAnswer(Verdict.WRONG_INSTANCE)
        answer = super().start(order)
        if order.task.job in self._crashing_jobs:
            self.has_crashed = True
            self.running.clear()
        return answer

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        result = super().poll(token, acknowledged, expires_ms, wait_ms)
        return PollResult(Verdict.WRONG_INSTANCE) if self.has_crashed else result


class CrashTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.crashing_jobs: set[JobId] = set()
        self.pool = OwnedPool()
        self.addCleanup(self.pool.close)
        for number in range(ENDPOINTS):
            self.add_endpoint(f"e{number}")

    def add_endpoint(self, name: str) -> None:
        self.pool.endpoints[name] = CrashableEndpoint(self.crashing_jobs)
        self.pool.register(an_endpoint(name))

    def submit(self, owner: PoolOwner, name: str, *steps: Step, crashes: bool = False) -> Job:
        job = a_job(name, *steps)
        if crashes:
            self.crashing_jobs.add(job.id)
        value = msgspec.msgpack.encode(job)
        owner.add_job(value, self.pool.kv.put(f"in/notices/j/{job.id}", value))
        return job

    def start_count(self, job: Job, number: int = 0) -> int:
        return sum(task.job == job.id and task.number == number for task, _ in self.pool.starts())

    def test_a_task_that_crashes_its_endpoints_is_given_up(self) -> None:
        """A task that crashed each endpoint was started without end, and took the pool down."""
        owner = self.pool.take_over()
        job = self.submit(owner, "a", a_step(1), crashes=True)
        self.assertTrue(
            eventually(
                lambda: state_of(owner, job.id) is JobState.FAILED
                or self.start_count(job) > MAX_STARTS
            )
        )
        self.assertEqual(JobState.FAILED, state_of(owner, job.id))
        self.assertLessEqual(self.start_count(job), MAX_STARTS)
