"""The stand-in's judgement of tasks that were done twice, or ran twice at once."""

from testtools import TestCase

from standins._platform_records import Amounts, Listing, RunRecord
from standins._run_judges import find_doubled


def a_run(began: float, ended: float = 0.0, how: str = "", *, noted: bool = False) -> RunRecord:
    return RunRecord("e", "j.0.0.0", 1, began, ended, how, noted)


class DoubledTest(TestCase):
    def test_a_task_that_ran_twice_at_once_is_found(self) -> None:
        self.assertEqual(1, len(find_doubled([a_run(1.0), a_run(2.0)], [])))
        self.assertEqual(1, len(find_doubled([a_run(1.0, 2.5, "stopped"), a_run(2.0)], [])))
        self.assertEqual([], find_doubled([a_run(1.0, 2.0, "stopped"), a_run(2.0)], []))

    def test_a_task_that_was_done_twice_is_found(self) -> None:
        done = [a_run(1.0, 2.0, "done"), a_run(3.0, 4.0, "done")]
        self.assertEqual(1, len(find_doubled(done, [])))

    def test_an_end_that_its_endpoint_forgot_may_be_repeated(self) -> None:
        """Guards against blame for a task whose end a crash wiped out before anybody saw it."""
        done, again = a_run(1.0, 2.0, "done"), a_run(3.0, 4.0, "done")
        down = Listing(2.5, "e", "notices", None)
        self.assertEqual([], find_doubled([done, again], [down]))
        for other in (
            Listing(1.5, "e", "notices", None),
            Listing(2.5, "f", "notices", None),
            Listing(2.5, "e", "notices", Amounts(1)),
        ):
            self.assertEqual(1, len(find_doubled([done, again], [other])))

    def test_an_end_that_lapsed_behind_a_partition_may_be_repeated(self) -> None:
        """Guards against blame for a task whose first end was acknowledged only as outdated."""
        outdated, again = a_run(1.0, 2.0, "done"), a_run(3.0, 4.0, "done")
        outdated.outdated = True
        self.assertEqual([], find_doubled([outdated, again], []))

    def test_a_start_after_a_noted_end_is_found(self) -> None:
        """Guards against a task that starts again although its end was acknowledged."""
        noted = a_run(1.0, 2.0, "done", noted=True)
        down = Listing(2.5, "e", "notices", None)
        self.assertEqual(1, len(find_doubled([noted, a_run(3.0)], [down])))
        self.assertEqual([], find_doubled([noted], [down]))

    def test_copies_of_a_task_may_run_at_once(self) -> None:
        """Guards against blame for copies that the platform allows, and against late ones."""
        done, slower = a_run(1.0, 4.0, "done", noted=True), a_run(2.0, 5.0, "done")
        done.noted_at = 4.5
        self.assertEqual([], find_doubled([done, slower], [], {done.task}))
        self.assertEqual(2, len(find_doubled([done, slower], [])))
        self.assertEqual(1, len(find_doubled([done, slower, a_run(6.0)], [], {done.task})))
