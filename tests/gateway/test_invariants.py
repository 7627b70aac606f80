"""Violated invariants are detected, stopped and logged."""

from unittest import mock

import msgspec

from lentilrill.gateway import _caller, _keyed, _retry_state
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind
from lentilrill.gateway._retry_state import RetryState
from lentilrill.telemetry import Event
from tests.gateway.fakes import GatewayTestCase


class InvariantTest(GatewayTestCase):
    def test_a_keyed_job_without_its_claim_is_not_sent(self) -> None:
        # Simulates a fault in the code that skips the claim. The job must not be sent: another
        # request may hold the key, and the job would run twice.
        self.patch(_keyed.KeyedDispatcher, "run", lambda jobs, job, c: jobs._dispatcher.run(job, c))
        endpoint = self.an_endpoint()
        self.a_gateway()
        answer = self.call("POST", body=b"order", Idempotency_Key="k")
        self.assertEqual((500, "unknown"), (answer.status, answer.outcome))
        self.assertEqual([], endpoint.requests)
        self.assertEqual(1, len(self.slots.released))

    def test_a_second_answer_resets_the_connection(self) -> None:
        # The caller would read a second response as the response to its next request.
        events: list[Event] = []
        self.patch(_caller, "log", lambda event, **fields: events.append(event))
        req = mock.MagicMock(method=b"GET", outheaders=[], close_connection=False)
        req.conn.reset_on_close = False
        caller = _caller.Caller(req)
        caller.send_response(200, [], b"first")
        self.assertEqual((False, False), (req.close_connection, req.conn.reset_on_close))
        self.assertRaises(RuntimeError, caller.send_response, 200, [], b"second")
        self.assertEqual([Event.INVARIANT_BROKEN], events)
        self.assertEqual((True, True), (req.close_connection, req.conn.reset_on_close))

    def test_not_run_is_never_said_after_a_send(self) -> None:
        events: list[Event] = []
        self.patch(_retry_state, "log", lambda event, **fields: events.append(event))
        state = RetryState(mock.MagicMock(forwarded=False))
        problem = Problem(ProblemKind.BUSY, "too late")
        self.assertEqual(Outcome.NOT_RUN, state.final_problem(problem).outcome)
        state.sent = True
        unknown = msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)
        self.assertEqual(unknown, state.final_problem(problem))
        self.assertEqual([Event.INVARIANT_BROKEN], events)
