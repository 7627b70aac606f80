"""An endpoint that crashes and starts again under the same id."""

from unittest import mock

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, PollResult, StartOrder, Verdict
from lentilrill.ids import EndpointId, JobId
from lentilrill.workloads import JobState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of


class _CrashingEndpoint(FakeEndpoint):
    """Endpoint that can crash and come back with nothing of what it was told before.

    :ivar refuses_starts: starts are not executed; from the first one on, polls neither.
    :ivar refuses_polls: polls are not executed.
    :ivar refused: the last start that was not executed.
    :ivar lives: number of the current life, which is also its start time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refuses_starts = self.refuses_polls = False
        self.refused: StartOrder | None = None
        self.lives = 1

    def crash(self) -> None:
        """Begin the next life; calls are as before."""
        with self._changed:
            self.running.clear()
            self.ended.clear()
            self._cursor = self.acknowledged = self.token = 0
            self.lives += 1

    def start(self, order: StartOrder) -> OrderAnswer:
        if self.refuses_starts:
            self.refused = order
            self.refuses_polls = True
            return OrderAnswer(Verdict.UNKNOWN)
        if any((end.task, end.number) == (order.task, order.number) for end in self.ended):
            return OrderAnswer(Verdict.OUTDATED)
        return super().start(order)

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        result = PollResult(Verdict.UNKNOWN)
        if not self.refuses_polls:
            result = super().poll(token, acknowledged, expires_ms, wait_ms)
        # A poll that was waiting is not answered either.
        if self.refuses_polls:
            return PollResult(Verdict.UNKNOWN)
        return msgspec.structs.replace(result, started_ms=self.lives)


class RebornEndpointTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.endpoint = _CrashingEndpoint()
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint("e1"))
        self.owner = self.pool.take_over()

    def submit(self, name: str, tasks: int) -> JobId:
        job = a_job(name, a_step(tasks))
        self.pool.submit(self.owner, job)
        return job.id

    def ends(self, job: JobId) -> bool:
        return eventually(lambda: state_of(self.owner, job) is JobState.COMPLETED)

    def test_a_new_life_drops_what_the_policy_service_said(self) -> None:
        """Guards against a step that is denied an endpoint for good, as its former life was."""
        link = self.owner._links.by_id
        self.assertTrue(eventually(lambda: "e1" in link and link[EndpointId("e1")].was_polled))
        forget = self.owner._tickets.forget_endpoint = mock.Mock()  # type: ignore[method-assign]
        self.endpoint.crash()
        self.assertTrue(eventually(lambda: forget.called))
        forget.assert_called_once_with("e1")

    def test_the_ends_of_a_new_life_are_not_acknowledged_unseen(self) -> None:
        """Guards against a task done twice, as the cursor of the former life hid its end."""
        first = self.submit("a", 3)
        self.assertTrue(eventually(lambda: len(self.endpoint.starts) == 3))
        self.pool.finish_all()
        self.assertTrue(self.ends(first))
        self.assertTrue(eventually(lambda: self.endpoint.acknowledged == 3))
        self.endpoint.refuses_starts = True
        second = self.submit("b", 1)
        self.assertTrue(eventually(lambda: self.endpoint.refuses_polls))
        self.endpoint.crash()
        self.endpoint.refuses_starts = False
        link = self.owner._links.by_id["e1"]
        self.assertTrue(eventually(lambda: not link.reachable))
        # A copy of the start that was on its way is executed late, by the new process.
        assert self.endpoint.refused is not None
        self.endpoint.start(self.endpoint.refused)
        self.pool.finish_all()
        self.endpoint.refuses_polls = False
        self.assertTrue(self.ends(second))
        self.assertEqual(4, len(self.endpoint.starts))
