"""Tests for the minimum hosts of idle pools while surges pass from pool to pool."""

from testtools import TestCase

from lentilrill.ids import PoolId
from lentilrill.scheduling import SurgeTracker, minimum_hosts

POOLS = [PoolId(name) for name in ("notices", "ballots", "schools")]


class SurgeTrackerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = SurgeTracker()
        self.now = 0.0

    def play(self, seconds: float, *surging: PoolId) -> set[PoolId]:
        for _ in range(int(seconds / 0.5)):
            for pool in POOLS:
                self.tracker.observe(pool, is_surging=pool in surging, now=self.now)
            self.now += 0.5
        return self.tracker.passed(POOLS)

    def test_a_pool_keeps_fewer_hosts_after_its_surge(self) -> None:
        """Ten paid hosts were idle in pools whose surge had just ended."""
        notices, ballots, schools = POOLS
        self.assertEqual(set(), self.play(6, notices))
        self.assertEqual({notices}, self.play(4))
        self.assertEqual({notices}, self.play(6, ballots))
        self.assertEqual({notices, ballots}, self.play(6, schools))
        self.assertEqual(set(), self.play(4))

    def test_a_second_surge_of_a_pool_starts_a_new_cycle(self) -> None:
        notices, _, _ = POOLS
        self.play(6, notices)
        self.play(4)
        self.assertEqual(set(), self.play(6, notices))

    def test_gaps_within_a_surge_do_not_end_it(self) -> None:
        notices, _, _ = POOLS
        for _ in range(3):
            self.play(2, notices)
            self.assertEqual(set(), self.play(1.5))

    def test_minimum_hosts_before_and_after_a_surge(self) -> None:
        self.assertEqual(4, minimum_hosts(18, 2))
        self.assertEqual(2, minimum_hosts(18, 2, surge_passed=True))
