"""Tests for sending orders to many hosts at once."""

import threading

from testtools import TestCase

from lentilrill.upkeep import HostOrderResult, HostOrders

TIMEOUT_S = 10.0
RATE_PER_S = 50.0


class HostOrdersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.sent: list[int] = []

    def order(self, host: int) -> HostOrderResult:
        self.sent.append(host)
        return HostOrderResult.DONE

    def test_orders_are_sent_concurrently(self) -> None:
        """Hosts arrived seconds late for a surge, because orders were sent one after the other."""
        together = threading.Barrier(4)

        def order(host: int) -> HostOrderResult:
            together.wait(TIMEOUT_S)
            return self.order(host)

        answers = HostOrders(1000.0).send(range(4), order)
        self.assertEqual([(host, HostOrderResult.DONE) for host in range(4)], answers)

    def test_no_second_exceeds_the_rate_limit(self) -> None:
        """The platform rejected orders beyond its rate limit, and each rejected call has a cost."""
        orders = HostOrders(RATE_PER_S, clock=lambda: self.now)
        for _ in range(10):
            orders.send(range(200), self.order)
            self.now += 0.1
        self.assertLessEqual(len(self.sent), RATE_PER_S)
        self.assertGreater(len(self.sent), RATE_PER_S / 2)

    def test_only_targets_with_an_order_are_returned(self) -> None:
        """A host counted as down in its wave although its order was never sent."""
        orders = HostOrders(RATE_PER_S, clock=lambda: self.now)
        answers = orders.send(range(200), self.order)
        self.assertEqual(sorted(self.sent), [host for host, _ in answers])
        self.assertLess(len(answers), 200)

    def test_an_order_that_was_not_sent_has_no_answer(self) -> None:
        self.assertEqual([], HostOrders(RATE_PER_S).send(range(3), lambda host: None))
