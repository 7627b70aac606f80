"""Endpoints whose capacity changes while they run."""

import threading
import time

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, StartOrder
from lentilrill.execution._links import MAX_ENTRY_AGE_S
from lentilrill.execution._tracking import RunPhase
from lentilrill.workloads import Resources
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, TimedEndpoint, eventually

TASKS = 4
TASK = Resources(1000, 100)


class SlowEndpoint(FakeEndpoint):
    """Fake endpoint that executes starts only once it may."""

    def __init__(self) -> None:
        super().__init__()
        self.may_start = threading.Event()

    def start(self, order: StartOrder) -> OrderAnswer:
        self.may_start.wait(20.0)
        return super().start(order)


class CapacityChangeTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.endpoint = SlowEndpoint()
        self.addCleanup(self.endpoint.may_start.set)
        self.pool = OwnedPool()
        self.addCleanup(self.pool.close)
        self.pool.endpoints["e1"] = self.endpoint
        self.register(TASKS)
        self.owner = self.pool.take_over()
        job = a_job("a", a_step(TASKS, needs=TASK))
        value = msgspec.msgpack.encode(job)
        self.owner.add_job(value, self.pool.kv.put(f"in/notices/j/{job.id}", value))

    def register(self, tasks: int) -> None:
        self.pool.register(an_endpoint("e1", capacity=TASK.times(tasks)))

    def test_a_start_that_waits_is_not_sent_once_the_capacity_has_shrunk(self) -> None:
        """Starts that waited for others brought an endpoint above its capacity."""
        link = self.owner._links.by_id
        self.assertTrue(eventually(lambda: "e1" in link and len(link["e1"].runs_by_key) == TASKS))
        self.register(TASKS - 1)
        time.sleep(2 * MAX_ENTRY_AGE_S)
        self.endpoint.may_start.set()
        self.assertTrue(eventually(lambda: len(self.endpoint.starts) == TASKS - 1))
        time.sleep(2 * MAX_ENTRY_AGE_S)
        self.assertEqual(TASKS - 1, len(self.endpoint.starts))
        self.register(TASKS)
        self.assertTrue(eventually(lambda: len(self.endpoint.starts) == TASKS))


class UnansweredStartTest(TestCase):
    def test_an_unanswered_start_is_not_sent_again_once_the_capacity_has_shrunk(self) -> None:
        """Guards against copies of starts that fill an endpoint which has less capacity by then."""
        endpoint = TimedEndpoint()
        endpoint.loses_starts = True
        pool = OwnedPool()
        self.addCleanup(pool.close)
        pool.endpoints["e1"] = endpoint
        pool.register(an_endpoint("e1", capacity=TASK.times(TASKS)))
        pool.submit(pool.take_over(), a_job("a", a_step(TASKS, needs=TASK)))
        self.assertTrue(eventually(lambda: len({d.task for d in endpoint.delayed}) == TASKS))
        pool.register(an_endpoint("e1", capacity=TASK))
        time.sleep(2 * MAX_ENTRY_AGE_S)
        endpoint.loses_starts = False
        self.assertTrue(eventually(lambda: bool(endpoint.running)))
        time.sleep(2 * MAX_ENTRY_AGE_S)
        self.assertEqual(1, len(endpoint.running))

    def test_a_copy_of_a_start_stops_no_run_in_progress(self) -> None:
        """Guards against a working task that is stopped, since a copy of its start waited."""
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        pool.register(an_endpoint("e1", capacity=TASK.times(TASKS)))
        owner = pool.take_over()
        pool.submit(owner, a_job("a", a_step(1, needs=TASK)))
        self.assertTrue(eventually(lambda: bool(pool.endpoints["e1"].running)))
        link = owner._links.by_id["e1"]
        [run] = link.runs_by_key.values()
        self.assertTrue(eventually(lambda: run.phase is RunPhase.IN_PROGRESS))
        pool.register(an_endpoint("e1", capacity=Resources(1, 1)))
        time.sleep(2 * MAX_ENTRY_AGE_S)
        owner._responses.start_order(link, run)
        self.assertIs(RunPhase.IN_PROGRESS, run.phase)
