"""The stand-in's judgement of tasks that crash endpoints, and of jobs that were given up."""

from testtools import TestCase

from standins._crash_judges import (
    find_bystanders_given_up,
    find_repeats,
    find_unfounded_failures,
)
from standins._platform_records import Crash, RunRecord
from tests.builders import a_seen_job

CULPRIT, BESIDE = "c.0.0.0", "b.0.0.0"


def a_run(task: str, began: float, ended: float = 0.0, how: str = "") -> RunRecord:
    return RunRecord("e", task, 1, began, ended, how)


def crashed_runs(task: str, count: int) -> list[RunRecord]:
    """Return runs of a task that end with crashes at 1.0, 2.0 and so on."""
    return [a_run(task, at - 0.1, at, "gone") for at in map(float, range(1, count + 1))]


def some_crashes(count: int, culprit: str = CULPRIT) -> list[Crash]:
    return [Crash("e", float(at), culprit) for at in range(1, count + 1)]


class RepeatsTest(TestCase):
    def test_a_task_started_three_times_more_is_found(self) -> None:
        """Guards against a judgement that passes a task which goes on crashing endpoints."""
        crashes = some_crashes(6)
        self.assertEqual(1, len(find_repeats(crashed_runs(CULPRIT, 6), crashes)))
        self.assertEqual([], find_repeats(crashed_runs(CULPRIT, 5), crashes))

    def test_starts_that_do_not_count(self) -> None:
        runs = crashed_runs(CULPRIT, 6)
        found = find_repeats(runs, some_crashes(6), lambda run: run.began < 5.0)
        self.assertEqual([], found)

    def test_a_task_that_ran_beside_the_culprit_may_start_again(self) -> None:
        self.assertEqual([], find_repeats(crashed_runs(BESIDE, 9), some_crashes(9)))

    def test_a_run_that_left_with_its_host_is_no_crash(self) -> None:
        self.assertEqual([], find_repeats(crashed_runs(CULPRIT, 9), some_crashes(2)))


class FailuresTest(TestCase):
    def test_a_job_that_failed_without_a_cause_is_found(self) -> None:
        """Guards against a judgement that passes a job which was given up too soon."""
        job = a_seen_job("c", state="failed")
        for crashes, expected in ((1, 1), (2, 0)):
            runs = crashed_runs(CULPRIT, crashes)
            found = find_unfounded_failures([job], runs, some_crashes(crashes))
            self.assertEqual(expected, len(found))
        failures = [a_run(CULPRIT, 1.0, 2.0, "failed") for _ in range(3)]
        self.assertEqual(1, len(find_unfounded_failures([job], failures[:2], [])))
        self.assertEqual([], find_unfounded_failures([job], failures, []))

    def test_a_lasting_task_has_no_limit_of_failures(self) -> None:
        job = a_seen_job("c", state="failed", long_running=True)
        failures = [a_run(CULPRIT, 1.0, 2.0, "failed") for _ in range(9)]
        self.assertEqual(1, len(find_unfounded_failures([job], failures, [])))

    def test_crashes_of_two_tasks_do_not_add_up(self) -> None:
        job = a_seen_job("c", state="failed")
        runs = [a_run("c.0.0.0", 0.5, 1.0, "gone"), a_run("c.0.0.1", 1.5, 2.0, "gone")]
        self.assertEqual(1, len(find_unfounded_failures([job], runs, some_crashes(2))))

    def test_a_job_beside_the_culprit_that_was_given_up_is_found(self) -> None:
        """Guards against a judgement that lets a crashing task take other jobs with it."""
        runs = crashed_runs(CULPRIT, 2) + crashed_runs(BESIDE, 2)
        job = a_seen_job("b", state="failed")
        self.assertEqual([], find_unfounded_failures([job], runs, some_crashes(2)))
        self.assertEqual(1, len(find_bystanders_given_up([job], runs, some_crashes(2))))
        self.assertEqual([], find_bystanders_given_up([job], runs, some_crashes(2, "")))
        culprit = a_seen_job("c", state="failed")
        self.assertEqual([], find_bystanders_given_up([culprit], runs, some_crashes(2)))
