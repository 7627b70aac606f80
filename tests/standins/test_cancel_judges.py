"""The stand-in's judgement of runs of cancelled jobs."""

from typing import Any

import msgspec
from testtools import TestCase

from standins._cancel_judges import count_at_work, find_uncancelled
from standins._platform_records import RunRecord, Span
from tests.builders import a_seen_job

ACKNOWLEDGED_AT = 10.0
END = 30.0


def a_run(began: float, ended: float = 0.0, **changes: Any) -> RunRecord:
    run = RunRecord("e", "j.0.0.0", 1, began, ended, "stopped" if ended else "")
    return msgspec.structs.replace(run, **changes)


def found(run: RunRecord, *disruptions: Span, until: float = END) -> int:
    job = a_seen_job("j", cancel_acknowledged_at=ACKNOWLEDGED_AT)
    return len(find_uncancelled([job], [run], disruptions, until))


class UncancelledTest(TestCase):
    def test_a_run_that_goes_on_after_a_calm_stretch_is_found(self) -> None:
        """Guards against a run of a cancelled job that nobody stops."""
        self.assertEqual(1, found(a_run(9.0)))
        self.assertEqual(1, found(a_run(9.0, 13.3)))
        self.assertEqual(0, found(a_run(9.0, 13.1)))

    def test_disruptions_begin_the_time_anew(self) -> None:
        """Guards against blame for a run that nobody could stop, and against the loss of a find."""
        self.assertEqual(0, found(a_run(9.0, 17.1), Span(12.0, 14.0)))
        self.assertEqual(1, found(a_run(9.0, 17.3), Span(12.0, 14.0)))
        self.assertEqual(1, found(a_run(9.0, 15.0), Span(13.5, 14.0)))
        self.assertEqual(1, found(a_run(9.0, 17.3), Span(9.0, 14.0), Span(10.0, 12.0)))
        self.assertEqual(0, found(a_run(9.0), Span(9.0, 28.0)))

    def test_a_stretch_ends_with_the_judgement(self) -> None:
        self.assertEqual(0, found(a_run(9.0), until=13.1))
        self.assertEqual(1, found(a_run(9.0), until=13.3))

    def test_a_start_after_the_bound_is_found(self) -> None:
        """Guards against a task that begins long after its job was cancelled."""
        self.assertEqual(1, found(a_run(13.1, 13.2)))
        self.assertEqual(0, found(a_run(12.9, 13.1)))
        self.assertEqual(0, found(a_run(13.1, 13.2), Span(11.0, 12.0)))

    def test_a_start_that_was_carried_out_late_has_its_own_time(self) -> None:
        """Guards against blame for an old order, and against a late run that stays."""
        self.assertEqual(0, found(a_run(15.0, 22.1, late=True)))
        self.assertEqual(1, found(a_run(15.0, 22.3, late=True)))

    def test_jobs_that_nobody_cancelled_are_not_judged(self) -> None:
        self.assertEqual([], find_uncancelled([a_seen_job("j")], [a_run(9.0)], [], END))

    def test_jobs_that_were_at_work_are_counted(self) -> None:
        """Guards against a soak that cancels only what has ended."""
        jobs = [a_seen_job("j", cancel_acknowledged_at=ACKNOWLEDGED_AT)]
        self.assertEqual(1, count_at_work(jobs, [a_run(9.0, 11.0), a_run(9.5)]))
        self.assertEqual(0, count_at_work(jobs, [a_run(8.0, 9.0), a_run(11.0)]))
