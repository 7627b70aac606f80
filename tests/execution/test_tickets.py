"""Tickets of the policy service, requested ahead of starts."""

from returns.result import Failure, Result, Success
from testtools import TestCase

from lentilrill.execution import PolicyAnswer
from lentilrill.execution._tickets import MOST_AT_ONCE, TicketOffice, Want
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId, JobId
from lentilrill.workloads import StepId
from tests.execution.fakes import eventually

STEP, OTHER = StepId(JobId("a" * 16), 0, 0), StepId(JobId("b" * 16), 0, 0)


def endpoints(count: int) -> tuple[EndpointId, ...]:
    return tuple(EndpointId(f"e{n}") for n in range(count))


class Policy:
    """Allows all endpoints but ``e1``; the next ``failures`` calls fail."""

    def __init__(self) -> None:
        self.asked: list[Want] = []
        self.failures = 0
        self.valid_s = 60.0

    def ask(self, step: StepId, endpoints: tuple[EndpointId, ...]) -> Result[PolicyAnswer, Fault]:
        self.asked.append(Want(step, endpoints))
        if self.failures:
            self.failures -= 1
            return Failure(Fault("policy.ask", "", FaultKind.UNAVAILABLE, "status 429"))
        return Success(PolicyAnswer({e: f"t-{e}" for e in endpoints if e != "e1"}, self.valid_s))


class TicketTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.policy = Policy()
        self.office = TicketOffice(self.policy, lambda: None)
        self.addCleanup(self.office.close)

    def has(self, step: StepId, name: str) -> bool:
        return self.office.ticket(step, EndpointId(name)) is not None

    def test_what_is_wanted_is_asked_for_in_order_and_once(self) -> None:
        self.office.want([Want(STEP, endpoints(3)), Want(OTHER, endpoints(3))])
        self.assertTrue(eventually(lambda: self.has(OTHER, "e0")))
        self.assertEqual([STEP, OTHER], [want.step for want in self.policy.asked])
        self.assertEqual("t-e0", self.office.ticket(STEP, EndpointId("e0")))
        self.assertFalse(self.has(STEP, "e1"))
        self.office.want([Want(STEP, endpoints(4))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e3")))
        self.assertEqual(("e3",), self.policy.asked[-1].endpoints)

    def test_one_call_asks_about_some_endpoints_only(self) -> None:
        """Guards against urgent tasks that wait for a call about a hundred endpoints."""
        self.office.want([Want(STEP, endpoints(MOST_AT_ONCE + 5))])
        self.assertTrue(eventually(lambda: self.has(STEP, f"e{MOST_AT_ONCE + 4}")))
        self.assertEqual([MOST_AT_ONCE, 5], [len(want.endpoints) for want in self.policy.asked])

    def test_a_service_that_refuses_is_asked_again(self) -> None:
        self.policy.failures = 2
        self.office.want([Want(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.assertEqual(3, len(self.policy.asked))

    def test_a_refused_ticket_is_asked_for_anew(self) -> None:
        """Guards against a task that waits forever: its ticket was void after a restart."""
        self.office.want([Want(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))
        self.office.forget(STEP, EndpointId("e0"))
        self.assertFalse(self.has(STEP, "e0"))
        self.office.want([Want(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: self.has(STEP, "e0")))

    def test_a_ticket_that_has_run_out_is_none(self) -> None:
        self.policy.valid_s = 0.1
        self.office.want([Want(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: bool(self.policy.asked)))
        self.assertTrue(eventually(lambda: not self.has(STEP, "e0")))
        self.office.want([Want(STEP, endpoints(1))])
        self.assertTrue(eventually(lambda: len(self.policy.asked) > 1))
