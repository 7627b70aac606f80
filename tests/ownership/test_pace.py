"""Detection of a slowed host."""

from testtools import TestCase

from lentilrill.ownership import PaceMonitor

IDLE_S = 200e-6
BUSY_S = 100e-6
SAMPLES_PER_S = 5
"""Samples per second."""


class PaceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_s = BUSY_S
        self.interrupted_s: list[float] = []
        self.pace = PaceMonitor(benchmark=self.benchmark)

    def benchmark(self) -> float:
        return self.interrupted_s.pop() if self.interrupted_s else self.run_s

    def seconds(self, seconds: int, run_s: float) -> set[float]:
        """Sample for some seconds with runs of ``run_s``; return the paces reported meanwhile."""
        self.run_s = run_s
        reported = set()
        for _ in range(seconds * SAMPLES_PER_S):
            self.pace.sample()
            reported.add(self.pace.value)
        return reported

    def test_a_slowed_host_is_detected_within_a_second(self) -> None:
        """An owner five times slower than usual was not detected as slowed."""
        self.seconds(60, BUSY_S)
        self.seconds(1, 5 * BUSY_S)
        self.assertAlmostEqual(0.2, self.pace.value)
        self.assertTrue(self.pace.is_slowed)

    def test_a_host_that_recovers_no_longer_counts_as_slowed(self) -> None:
        """A host that had been slowed for a while got no shard for the rest of the day."""
        self.seconds(60, BUSY_S)
        self.seconds(600, 20 * BUSY_S)
        self.seconds(1, BUSY_S)
        self.assertFalse(self.pace.is_slowed)

    def test_a_host_that_stays_slowed_does_not_take_it_for_its_usual_speed(self) -> None:
        """A host got shards again after a minute of being slowed, although it was still slow."""
        self.seconds(60, BUSY_S)
        self.seconds(1, 5 * BUSY_S)
        self.assertAlmostEqual(0.2, min(self.seconds(600, 5 * BUSY_S)))
        self.assertTrue(self.pace.is_slowed)

    def test_load_does_not_count_as_being_slowed(self) -> None:
        """A healthy owner handed shards over after a surge, as cold caches made it seem slow."""
        self.seconds(60, BUSY_S)
        self.assertEqual({1.0}, self.seconds(60, IDLE_S))
        self.assertEqual({1.0}, self.seconds(60, BUSY_S))

    def test_interrupted_runs_do_not_count(self) -> None:
        """An owner handed its shard over because its host had paused for a moment."""
        self.seconds(60, BUSY_S)
        self.interrupted_s = [50 * BUSY_S] * 3
        self.assertEqual({1.0}, self.seconds(1, BUSY_S))

    def test_noise_of_a_slowed_host_is_not_reported(self) -> None:
        """Each small change in the speed of a slowed host caused a write to the store."""
        self.seconds(60, BUSY_S)
        self.seconds(1, 5 * BUSY_S)
        reported = self.pace.value
        for factor in (4, 6, 5, 7, 4):
            self.assertEqual({reported}, self.seconds(1, factor * BUSY_S))

    def test_a_host_that_starts_slowed_learns_its_usual_speed_later(self) -> None:
        """A host that started while slowed was never detected as slowed afterwards."""
        self.seconds(5, 10 * BUSY_S)
        self.assertEqual({1.0}, self.seconds(60, BUSY_S))
        self.seconds(1, 5 * BUSY_S)
        self.assertTrue(self.pace.is_slowed)
