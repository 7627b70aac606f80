"""Endpoints whose hosts are needed elsewhere, and that get no tasks meanwhile."""

import time

from lentilrill.execution import PollResult, Verdict
from tests.builders import a_step
from tests.execution.cases import TrackedJobCase


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
