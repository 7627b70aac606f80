"""Endpoints whose hosts are needed elsewhere, and that get no tasks meanwhile."""

import time

from testtools import TestCase

from lentilrill.execution import PollResult, Verdict
from lentilrill.inner import ReleaseState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.cases import TrackedJobCase
from tests.execution.fakes import OwnedPool, eventually

ENOUGH_POLLS = 6
"""Polls of an idle endpoint that take longer than two planning rounds."""


class RestartedEndpointTest(TrackedJobCase):
    def test_a_restart_does_not_end_a_release(self) -> None:
        """Guards against tasks that end with their host: its endpoint, which was free, started
        again and got tasks before the order to its host was sent."""
        self.add(a_step(1))
        self.poll()
        self.link.released = True
        result = PollResult(Verdict.DONE, 1000, 2, (), ())
        self.reconciler.apply_poll(self.link, result, time.monotonic())
        self.assertEqual(2, self.link.started_ms)
        self.assertEqual([], self.starts())


class UnopenedEndpointTest(TestCase):
    def test_an_endpoint_that_was_free_for_want_of_a_link_gets_no_tasks(self) -> None:
        """Guards against tasks that end with their host: its endpoint was not known yet and so was
        free, and had got tasks when the order to its host was sent."""
        pool = OwnedPool("e1", "e2")
        self.addCleanup(pool.close)
        pool.register(an_endpoint("e1"))
        owner = pool.take_over()
        self.assertTrue(eventually(lambda: bool(pool.endpoints["e1"].polls)))
        entry = an_endpoint("e2", labels=("only", "r1"))
        self.assertEqual(ReleaseState.FREE, owner.release(entry.id, cancel=False)[0])
        pool.submit(owner, a_job("a", a_step(1, label="only")))
        pool.register(entry)
        self.assertTrue(eventually(lambda: pool.endpoints["e2"].polls > ENOUGH_POLLS))
        self.assertEqual([], pool.endpoints["e2"].starts)
        self.assertEqual(ReleaseState.FREE, owner.release(entry.id, cancel=False)[0])
