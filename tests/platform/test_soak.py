"""A short soak of entry hosts with fixed seeds."""

from testtools import TestCase

from tests.platform.endpoint_faults import Play
from tests.platform.soak import Soak

SEEDS = (1, 2)
SECONDS = 4.0
CANCELS_S = 13.0
RESTARTS_S = 10.0
CHAINS_S = 12.0
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

    def test_no_promise_is_broken_while_endpoints_are_cut_off(self) -> None:
        """Guards against jobs given up, or done twice, as partitions hit their endpoints."""
        soak = Soak(SEEDS[0], SECONDS, plays=(Play.CUTS, Play.LASTING))
        soak.run()
        self.assertEqual([], soak.failures)

    def test_no_promise_is_broken_while_endpoints_start_again(self) -> None:
        """Guards against two runs of one task on endpoints that start again and are cut off."""
        soak = Soak(SEEDS[0], RESTARTS_S, plays=(Play.RESTARTS,))
        soak.run()
        self.assertEqual([], soak.failures)

    def test_no_promise_is_broken_while_owners_are_lost_in_series(self) -> None:
        """Guards against two runs of one task, the first on an endpoint that started again and
        was cut off before the next owner could learn of it."""
        soak = Soak(SEEDS[0], CHAINS_S, plays=(Play.CHAINS,))
        soak.run()
        self.assertEqual([], soak.failures)

    def test_no_promise_is_broken_while_queues_change_their_pool(self) -> None:
        """Guards against jobs that run in two pools as their requests are repeated."""
        soak = Soak(SEEDS[0], SECONDS, changes_services=True)
        soak.run()
        self.assertEqual([], soak.failures)

    def test_no_promise_is_broken_while_jobs_are_cancelled(self) -> None:
        """Guards against tasks of cancelled jobs that run on as owners are killed."""
        soak = Soak(SEEDS[1], CANCELS_S, plays=(Play.CANCELS, Play.LASTING))
        soak.run()
        self.assertEqual([], soak.failures)
