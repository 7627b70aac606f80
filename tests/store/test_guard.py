"""Call budget, retries and circuit breaker, with a fake clock."""

import random

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import GreaterThan

from lentilrill.faults import Fault, FaultKind
from lentilrill.store import Priority
from lentilrill.store._guard import FAILURES_TO_OPEN, CallBudget, CallGuard, Effect
from lentilrill.telemetry import NoMetrics

FIRST, LATER = Priority.FIRST, Priority.LATER


class GuardTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.attempts = 0
        self.kind: FaultKind | None = None
        self.guard = self.a_guard(CallBudget(1000.0, self.clock))

    def clock(self) -> float:
        return self.now

    def wait(self, seconds: float) -> None:
        self.now += seconds

    def a_guard(self, budget: CallBudget, deadline_s: float = 10.0) -> CallGuard:
        rng = random.Random(4)
        return CallGuard("kv", deadline_s, budget, NoMetrics(), self.clock, rng, self.wait)

    def attempt(self, timeout_s: float):
        self.attempts += 1
        if self.kind is None:
            return Success("done")
        return Failure(Fault("platform.x", "kv", self.kind, "injected fault"))

    def call(self, effect: Effect = Effect.REPEATABLE, priority: Priority = FIRST):
        return self.guard.call("platform.x", effect, priority, self.attempt)

    def test_calls_of_later_priority_leave_half_of_the_budget(self) -> None:
        # If statistics and host lists used up the call budget, withdrawals and claims would wait
        # behind them. The last half of the budget is reserved for the latter.
        budget = CallBudget(10.0, self.clock)
        taken = sum(budget.take(LATER) == 0 for _ in range(20))
        self.assertEqual(5, taken)
        self.assertEqual(5, sum(budget.take(FIRST) == 0 for _ in range(20)))
        self.assertThat(budget.take(FIRST), GreaterThan(0.0))
        self.now += 0.1
        self.assertEqual(0.0, budget.take(FIRST))

    def test_a_call_over_budget_fails_at_once_with_a_retry_time(self) -> None:
        self.guard = self.a_guard(CallBudget(2.0, self.clock))
        results = [self.call() for _ in range(3)]
        fault = results[2].failure()
        self.assertEqual((FaultKind.EXHAUSTED, 0.5), (fault.kind, fault.retry_after_s))
        self.assertEqual((2, 0.0), (self.attempts, self.now))

    def test_only_repeatable_calls_are_repeated(self) -> None:
        # A write whose answer was lost may have taken effect; a repeat would execute it twice.
        self.kind = FaultKind.AMBIGUOUS
        self.assertIsInstance(self.call(Effect.ONCE), Failure)
        self.assertEqual(1, self.attempts)
        self.attempts = 0
        self.call(Effect.REPEATABLE)
        self.assertThat(self.attempts, GreaterThan(1))

    def test_permanent_failures_are_not_repeated(self) -> None:
        for kind in (FaultKind.INVALID, FaultKind.CONFLICT, FaultKind.REFUSED):
            self.kind, self.attempts = kind, 0
            self.call()
            self.assertEqual(1, self.attempts)

    def test_pauses_are_spread_and_grow(self) -> None:
        # Many processes lose the platform at the same moment; without jitter they would all retry
        # at the same moments.
        spread = {round(self.guard.backoff_s(3), 6) for _ in range(20)}
        self.assertThat(len(spread), GreaterThan(15))
        self.assertTrue(max(spread) <= 0.2)

    def test_no_try_begins_after_the_deadline(self) -> None:
        self.guard = self.a_guard(CallBudget(1000.0, self.clock), deadline_s=0.04)
        self.kind = FaultKind.UNAVAILABLE
        self.call()
        self.assertTrue(self.now <= 0.04)

    def test_an_outage_costs_one_probe_at_a_time(self) -> None:
        # In a long outage, without the breaker, every request that needs the platform would wait
        # for its deadline and block a thread; with it, requests are refused immediately.
        self.kind = FaultKind.UNAVAILABLE
        while not self.guard.breaker.is_open:
            self.call(Effect.REPEATABLE)
        self.assertEqual(FAILURES_TO_OPEN, self.attempts)
        rejected = self.call().failure()
        self.assertEqual(FAILURES_TO_OPEN, self.attempts)
        self.assertThat(rejected.retry_after_s, GreaterThan(0.0))
        self.now += rejected.retry_after_s
        probe = self.guard.admit("platform.x", FIRST)
        self.assertIsNone(probe)
        self.assertIsNotNone(self.guard.admit("platform.x", FIRST))

    def test_the_first_answer_closes_the_breaker(self) -> None:
        self.kind = FaultKind.UNAVAILABLE
        while not self.guard.breaker.is_open:
            self.call()
        self.kind = None
        self.now += 60.0
        self.assertEqual("done", self.call().unwrap())
        self.assertFalse(self.guard.breaker.is_open)

    def test_a_refusal_of_the_service_is_an_answer(self) -> None:
        self.kind = FaultKind.CONFLICT
        for _ in range(3 * FAILURES_TO_OPEN):
            self.call()
        self.assertFalse(self.guard.breaker.is_open)

    def test_lost_answers_among_others_are_no_outage(self) -> None:
        """Guards against an open breaker while the service still answers other calls."""
        self.call()
        self.kind = FaultKind.AMBIGUOUS
        for _ in range(2 * FAILURES_TO_OPEN):
            self.call(Effect.ONCE)
        self.assertFalse(self.guard.breaker.is_open)
        self.now += 0.5
        self.call(Effect.ONCE)
        self.assertTrue(self.guard.breaker.is_open)
