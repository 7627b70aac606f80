"""Tasks that take several times as long as the others of their queue."""

import time

from lentilrill.execution._planner import Planner
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import Run
from lentilrill.ids import PoolId, QueueId
from lentilrill.workloads import Queue, Step
from tests.execution.cases import TOKEN, TrackedJobCase

QUEUE = Queue(QueueId("q"), "", "/", PoolId("p"), stretch=2.0)
STEP = Step(4, estimate_ms=1000)


class StragglerTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        tickets = TicketCache(None, lambda: None)
        self.planner = Planner(TOKEN, self.durations, tickets, self.speeds)

    def complete(self, *names: str) -> None:
        for name in names:
            step = self.add(STEP, name=name).steps_by_occurrence[0][0]
            for ms in (900.0, 1000.0, 1000.0, 1100.0):
                self.durations.record(step, ms)

    def running(self, *, for_s: float, percent: int) -> Run:
        run = self.run_of(self.add(STEP, name="late"))
        run.reported_at = time.monotonic()
        run.started_at, run.percent = run.reported_at - for_s, percent
        return run

    def can_meet_deadline(self, run: Run) -> bool:
        tracked_job = run.task.step.tracked_job
        now = time.monotonic()
        return self.planner.job_timing(tracked_job, QUEUE, now).can_meet_deadline

    def expected_ms(self, run: Run) -> float:
        step = run.task.step
        return self.durations.expected_ms(step.tracked_job.job, step.spec, step)

    def remaining_ms(self, run: Run) -> float:
        return self.durations.estimate_work(run.task.step.tracked_job).remaining_ms

    def test_progress_tells_how_much_a_job_has_left(self) -> None:
        """Guards against a pool that is sized as if a task that needs six seconds needed none."""
        self.complete("a", "b")
        run = self.running(for_s=1.0, percent=14)
        self.assertGreater(self.remaining_ms(run), 3 * self.expected_ms(run))

    def test_a_long_task_does_not_make_its_job_overdue(self) -> None:
        """Guards against a job with a long task whose next step waits behind all others.

        Callers count the objective from the work that a job turns out to have.
        """
        self.complete("a", "b")
        run = self.running(for_s=1.0, percent=14)
        self.assertTrue(self.can_meet_deadline(run))
        run.task.step.tracked_job.arrived_at -= 10.0
        self.assertFalse(self.can_meet_deadline(run))

    def test_a_long_task_that_is_done_still_counts(self) -> None:
        """Guards against a job that becomes overdue as its long task ends."""
        first, second = Step(2, estimate_ms=1000), Step(1, estimate_ms=1000, after=(0,))
        tracked_job = self.add(first, second, name="late")
        step = tracked_job.steps_by_occurrence[0][0]
        for task, ms in zip(step.tasks, (1000.0, 7000.0), strict=True):
            self.durations.record(step, ms)
            step.finish(task)
        tracked_job.arrived_at -= 8.0
        timing = self.planner.job_timing(tracked_job, QUEUE, time.monotonic())
        self.assertTrue(timing.can_meet_deadline)

    def test_tasks_of_one_job_are_no_evidence(self) -> None:
        self.complete("a")
        run = self.running(for_s=1.0, percent=14)
        self.assertEqual(self.expected_ms(run), self.remaining_ms(run))

    def test_usual_tasks_are_ordered_as_by_their_expected_durations(self) -> None:
        """Guards against an order that changes with every report of usual tasks."""
        self.complete("a", "b")
        for for_s, percent in ((0.1, 1), (0.5, 40), (1.0, 80), (1.3, 99), (0.9, 0)):
            run = self.running(for_s=for_s, percent=percent)
            self.assertEqual(self.expected_ms(run), self.remaining_ms(run))

    def test_a_resumed_run_shows_no_time_left(self) -> None:
        """Guards against a resumed task whose progress counts from an earlier run's start."""
        self.complete("a", "b")
        run = self.running(for_s=1.0, percent=14)
        run.started_at = None
        self.assertEqual(self.expected_ms(run), self.durations.run_left_ms(run))
