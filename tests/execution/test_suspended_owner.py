"""Owner whose right to give orders is suspended by a late lease renewal and then restored."""

import threading
import time

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, PoolOwner, StartOrder, Verdict
from lentilrill.workloads import Job
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually

PAUSE_S = 0.5
"""Longer than the pause before a refused start is placed anew."""


class LossyEndpoint(FakeEndpoint):
    """Executes starts once it is open; while it is lossy, their answers are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.lossy = False
        self.open = threading.Event()

    def start(self, order: StartOrder) -> OrderAnswer:
        self.open.wait()
        answer = super().start(order)
        return OrderAnswer(Verdict.UNKNOWN) if self.lossy else answer


class SuspendedOwnerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.endpoint = LossyEndpoint()
        self.addCleanup(self.endpoint.open.set)
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint("e1"))
        self.may_order = True
        self.owner = self.pool.new_owner()
        self.patch(self.owner, "_may_order", lambda: self.may_order)
        self.owner.start()

    def submit(self, job: Job) -> PoolOwner:
        """Store a job and add it to the owner."""
        value = msgspec.msgpack.encode(job)
        revision = self.pool.kv.put(f"in/notices/j/{job.id}", value)
        self.owner.add_job(value, revision)
        return self.owner

    def suspend_orders(self) -> float:
        """Suspend the right as a late renewal does; return when it was restored."""
        self.may_order = False
        time.sleep(PAUSE_S)
        back_at = time.monotonic()
        self.may_order = True
        return back_at

    def test_a_run_with_an_unanswered_start_survives_a_suspension(self) -> None:
        """Guards against a stop of a healthy long-running task after a late lease renewal."""
        self.endpoint.lossy = True
        self.endpoint.open.set()
        owner = self.submit(a_job("a", a_step(1, lasting=True)))
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        run = next(iter(owner._links.by_id[an_endpoint("e1").id].runs_by_key.values()))
        self.assertTrue(eventually(lambda: run.is_unconfirmed))
        self.endpoint.lossy = False
        back_at = self.suspend_orders()
        self.assertTrue(eventually(lambda: (run.confirmed_at or 0.0) > back_at))
        self.assertEqual([], self.endpoint.stops)
        self.assertEqual([run.key], list(self.endpoint.running))

    def test_starts_wait_during_a_suspension(self) -> None:
        """Guards against an owner that drops its queued starts at each late lease renewal."""
        owner = self.submit(a_job("a", a_step(4)))
        links = owner._links.by_id
        self.assertTrue(eventually(lambda: bool(links) and bool(links["e1"].runs_by_key)))
        placed = sorted(links["e1"].runs_by_key)
        self.may_order = False
        self.endpoint.open.set()
        self.suspend_orders()
        self.assertTrue(eventually(lambda: len({task for task, _ in self.pool.starts()}) == 4))
        self.assertEqual(placed, sorted(self.pool.starts()))
