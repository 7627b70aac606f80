"""A short soak of entry hosts with fixed seeds."""

from testtools import TestCase

from tests.platform.endpoint_faults import Play
from tests.platform.soak import Soak

SEEDS = (1, 2)
SECONDS = 4.0
ENDPOINT_FAULTS = (Play.CRASHES, Play.FAILING, Play.CAPACITY, Play.LASTING)


class SoakTest(TestCase):
    def test_no_promise_is_broken(self) -> None:
        """Guards against lost, doubled or refused jobs that ran, while faults overlap."""
        for seed in SEEDS:
            soak = Soak(seed, SECONDS)
            soak.run()
            self.assertEqual([], soak.failures, seed)

    def test_no_promise_is_broken_while_endpoints_crash(self) -> None:
        """Guards against tasks held or done twice as endpoints crash, fail, shrink and grow."""
        soak = Soak(SEEDS[0], SECONDS, plays=ENDPOINT_FAULTS)
        soak.run()
        self.assertEqual([], soak.failures)
