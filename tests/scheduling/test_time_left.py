"""Time that a running task still needs."""

from testtools import TestCase

from lentilrill.scheduling import TaskTimes


def usual_and_long_tasks(*, usual: float = 1.0, long: float = 7.0) -> TaskTimes:
    times = TaskTimes()
    for number in range(200):
        times.observe(long if number % 33 == 0 else usual * (0.8 + number % 5 / 10))
    return times


class TimeLeftTest(TestCase):
    def test_a_task_past_the_usual_length_is_one_of_the_long_ones(self) -> None:
        """Guards against a straggler that counts as about to end for as long as it runs."""
        times = usual_and_long_tasks()
        self.assertLess(times.remaining_ms(1000, 500, 0), 700)
        self.assertGreater(times.remaining_ms(1000, 2000, 0), 4000)

    def test_progress_shows_a_long_task_early(self) -> None:
        times = usual_and_long_tasks()
        self.assertGreater(times.remaining_ms(1000, 700, 0.1), 3000)
        self.assertLess(times.remaining_ms(1000, 700, 0.7), 400)

    def test_progress_that_stays_away_is_no_evidence(self) -> None:
        """Guards against tasks that pass for endless where endpoints report no progress."""
        times = usual_and_long_tasks()
        self.assertLess(times.remaining_ms(1000, 500, 0), 700)

    def test_a_shift_in_the_work_takes_effect_within_a_surge(self) -> None:
        times = usual_and_long_tasks()
        for _ in range(200):
            times.observe(3.0)
        self.assertGreater(times.quantile(0.5), 2.0)

    def test_a_task_longer_than_all_others_is_expected_to_take_as_long_again(self) -> None:
        self.assertEqual(20_000, usual_and_long_tasks().remaining_ms(1000, 20_000, 0))

    def test_without_any_task_the_expected_duration_holds(self) -> None:
        self.assertEqual(1.0, TaskTimes().quantile(0.5))
        self.assertEqual(800, TaskTimes().remaining_ms(1000, 200, 0))
