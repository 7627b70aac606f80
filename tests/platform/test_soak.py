"""A short soak of entry hosts with fixed seeds."""

from testtools import TestCase

from tests.platform.soak import Soak

SEEDS = (1, 2)
SECONDS = 4.0


class SoakTest(TestCase):
    def test_no_promise_is_broken(self) -> None:
        """Guards against lost, doubled or refused jobs that ran, while faults overlap."""
        for seed in SEEDS:
            soak = Soak(seed, SECONDS)
            soak.run()
            self.assertEqual([], soak.failures, seed)
