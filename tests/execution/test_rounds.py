"""Pause between planning rounds, depending on their duration."""

from testtools import TestCase

from lentilrill.execution._pool import MAX_ROUND_INTERVAL_S, MAX_ROUND_SHARE, pause_after


class PauseTest(TestCase):
    def test_rounds_leave_time_for_endpoints(self) -> None:
        """Guards against ends that are acknowledged after twelve seconds in a large pool's surge.

        Each end triggered a round over all jobs, which took longer than the time until the next
        end; polls, orders and commits of the same process got the remaining processor time.
        """
        calls_s, spent_s, now_s = 0.002, 0.0, 0.0
        while now_s < 10.0:
            round_s = 0.008
            spent_s += round_s
            now_s += round_s + max(pause_after(round_s), calls_s)
        self.assertLessEqual(spent_s / now_s, MAX_ROUND_SHARE + 0.01)

    def test_short_rounds_begin_at_once(self) -> None:
        self.assertLess(pause_after(0.0003), 0.001)

    def test_the_pause_between_rounds_is_bounded(self) -> None:
        self.assertEqual(MAX_ROUND_INTERVAL_S, pause_after(5.0))
