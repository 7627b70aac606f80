"""Token buckets and the retry budget."""

from testtools import TestCase

from lentilrill.routing import RetryBudget, TokenBucket


class TokenBucketTest(TestCase):
    def test_permits_its_rate(self) -> None:
        bucket = TokenBucket(2.0, 2.0, 0.0)
        self.assertEqual([True, True, False], [bucket.take(0.0) for _ in range(3)])
        self.assertAlmostEqual(0.5, bucket.wait_s(0.0))
        self.assertTrue(bucket.take(0.5))
        self.assertEqual([True, True, False], [bucket.take(60.0) for _ in range(3)])

    def test_a_clock_that_steps_back_earns_nothing(self) -> None:
        bucket = TokenBucket(1.0, 1.0, 100.0)
        self.assertTrue(bucket.take(100.0))
        self.assertFalse(bucket.take(50.0))


class RetryBudgetTest(TestCase):
    def test_failures_alone_are_not_retried_for_long(self) -> None:
        # Every attempt fails. With three attempts for each job, the pool would get three times the
        # load while it is already overloaded.
        budget = RetryBudget(ratio=0.1, burst=5.0)
        self.assertEqual(5, sum(budget.take() for _ in range(1000)))

    def test_successes_earn_retries(self) -> None:
        budget = RetryBudget(ratio=0.1, burst=5.0)
        while budget.take():
            pass
        for _ in range(21):
            budget.succeeded()
        self.assertEqual(2, sum(budget.take() for _ in range(10)))
