"""Tests for the minimum hosts of idle pools while surges pass from pool to pool."""

from testtools import TestCase

from lentilrill.ids import PoolId
from lentilrill.scheduling import Turns, kept_hosts

POOLS = [PoolId(name) for name in ("notices", "ballots", "schools")]


class TurnsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.turns = Turns()
        self.now = 0.0

    def play(self, seconds: float, *high: PoolId) -> set[PoolId]:
        for _ in range(int(seconds / 0.5)):
            for pool in POOLS:
                self.turns.note(pool, is_high=pool in high, now=self.now)
            self.now += 0.5
        return self.turns.past(POOLS)

    def test_a_pool_keeps_less_between_its_turns(self) -> None:
        """Ten paid hosts were idle in pools whose surge had just ended."""
        notices, ballots, schools = POOLS
        self.assertEqual(set(), self.play(6, notices))
        self.assertEqual({notices}, self.play(4))
        self.assertEqual({notices}, self.play(6, ballots))
        self.assertEqual({notices, ballots}, self.play(6, schools))
        self.assertEqual(set(), self.play(4))

    def test_a_pool_out_of_turn_begins_everything_anew(self) -> None:
        notices, _, _ = POOLS
        self.play(6, notices)
        self.play(4)
        self.assertEqual(set(), self.play(6, notices))

    def test_gaps_within_a_turn_do_not_end_it(self) -> None:
        notices, _, _ = POOLS
        for _ in range(3):
            self.play(2, notices)
            self.assertEqual(set(), self.play(1.5))

    def test_what_is_kept_before_and_after_a_turn(self) -> None:
        self.assertEqual(4, kept_hosts(18, 2))
        self.assertEqual(2, kept_hosts(18, 2, had_turn=True))
