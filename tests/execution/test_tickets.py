"""Tickets of the policy service, requested ahead of starts."""

from testtools import TestCase

from lentilrill.execution._tickets import MAX_ENDPOINTS_PER_CALL, TicketCache, TicketRequest
from lentilrill.ids import EndpointId, JobId
from lentilrill.workloads import StepId
from tests.execution.fakes import FakePolicy, eventually

STEP, OTHER = StepId(JobId("a" * 16), 0, 0), StepId(JobId("b" * 16), 0, 0)


def endpoints(count: int) -> tuple[EndpointId, ...]:
    return tuple(EndpointId(f"e{n}") for n in range(count))


class TicketTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.policy = FakePolicy()
        self.policy.denied = {"e1"}
        self.cache = TicketCache(self.policy, lambda: None)
        self.addCleanup(self.cache.close)

    def has(self, step: StepId, name: str) -> bool:
        return self.cache.ticket(step, EndpointId(name)) is not None

    def test_tickets_are_requested_in_order_and_once(self) -> None:
        self.cache.request([TicketRequest(STEP, endpoints(3)), TicketRequest(OTHER, endpoints(3))])
        self.assertTrue(eventually(lambda: self.has(OTHER, "e0")))
        self.assertEqual([STEP, OTHER], [request.step for request in self.policy.requests_received])
        self.assertEqual("t-e0", self.cache.ticket(STEP, EndpointId("e0")))
        self.assertFalse(self.has(STEP, "e1"))
        self.cache.request([TicketRequest(STEP, endpoints(4))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e3")))
        self.assertEqual(("e3",), self.policy.requests_received[-1].endpoints)

    def test_one_call_covers_a_limited_number_of_endpoints(self) -> None:
        """Guards against urgent tasks that wait for a call about a hundred endpoints."""
        self.cache.request([TicketRequest(STEP, endpoints(MAX_ENDPOINTS_PER_CALL + 5))])
        self.assertTrue(eventually(lambda: self.has(STEP, f"e{MAX_ENDPOINTS_PER_CALL + 4}")))
        self.assertEqual(
            [MAX_ENDPOINTS_PER_CALL, 5],
            [len(request.endpoints) for request in self.policy.requests_received],
        )

    def test_a_failed_call_is_repeated(self) -> None:
        self.policy.failures = 2
        self.cache.request([TicketRequest(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.assertEqual(3, len(self.policy.requests_received))

    def test_an_endpoint_that_was_denied_is_asked_for_again_after_a_restart(self) -> None:
        """Guards against a step that waits for good: its endpoint came back as another kind."""
        self.cache.request([TicketRequest(STEP, endpoints(2))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.policy.denied.clear()
        self.cache.request([TicketRequest(STEP, endpoints(2))])
        self.assertFalse(self.has(STEP, "e1"))
        self.cache.forget_endpoint(EndpointId("e1"))
        self.cache.request([TicketRequest(STEP, endpoints(2))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e1")))
        self.assertEqual(("e1",), self.policy.requests_received[-1].endpoints)

    def test_an_answer_about_the_previous_process_is_dropped(self) -> None:
        """Guards against a denial that was on its way as the endpoint restarted."""
        self.policy.on_request = lambda: self.cache.forget_endpoint(EndpointId("e1"))
        self.cache.request([TicketRequest(STEP, endpoints(2))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.policy.on_request = lambda: None
        self.policy.denied.clear()
        self.cache.request([TicketRequest(STEP, endpoints(2))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e1")))

    def test_a_refused_ticket_is_requested_again(self) -> None:
        """Guards against a task that waits forever: its ticket was invalid after a restart."""
        self.cache.request([TicketRequest(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.cache.forget(STEP, EndpointId("e0"))
        self.assertFalse(self.has(STEP, "e0"))
        self.cache.request([TicketRequest(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))

    def test_an_expired_ticket_is_not_returned(self) -> None:
        self.policy.valid_s = 0.1
        self.cache.request([TicketRequest(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: bool(self.policy.requests_received)))
        self.assertTrue(eventually(lambda: not self.has(STEP, "e0")))
        self.cache.request([TicketRequest(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: len(self.policy.requests_received) > 1))
