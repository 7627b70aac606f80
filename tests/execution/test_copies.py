"""Copies of running tasks: when they start, which run counts, and what stops the other."""

import time
from collections.abc import Callable

import msgspec
from testtools import TestCase

from lentilrill.execution import (
    EndKind,
    PoolOwner,
)
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._copies import CopyBook
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._needless_runs import needless_runs
from lentilrill.execution._planner import Planner
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import Run, TrackedTask
from lentilrill.ids import EndpointId, PoolId, WorkspaceId
from lentilrill.scheduling import Allowances, Budget
from lentilrill.telemetry import NoMetrics
from lentilrill.workloads import Attempt, JobState, Resources, Step
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.cases import OTHER_ENDPOINTS, TOKEN, StragglerCase
from tests.execution.fakes import (
    FakeEndpoint,
    OwnedPool,
    ShownProgress,
    TimedEndpoint,
    eventually,
    state_of,
)


class CopyCase(StragglerCase):
    def setUp(self) -> None:
        super().setUp()
        self.tickets = TicketCache(None, lambda: None)
        self.planner = Planner(TOKEN, self.durations, self.tickets, self.speeds)
        self.attempts = 2
        self.book = CopyBook(
            PoolId("notices"),
            self.planner,
            ShownProgress(),
            lambda tracked_job: self.attempts,
            NoMetrics(),
            self.slowdown,
        )

    def straggler(self, *following: Step, **changes: object) -> Run:
        return super().straggler(*following, **({"speculative": True} | changes))

    def copies(self, budgets: RoundBudgets | None = None) -> list[tuple[EndpointId, Run]]:
        return self.book.place(*self.round_state(budgets))

    def copy_of(self, run: Run) -> Run:
        [(endpoint, copy)] = self.copies()
        self.assertIs(run.task, copy.task)
        self.links[endpoint].runs_by_key[copy.key] = copy
        copy.send_count, copy.confirmed_at = 1, time.monotonic()
        return copy

    def stopped(self) -> list[Run]:
        self.book.settle(time.monotonic())
        return needless_runs(self.links.values())


class StartTest(CopyCase):
    def test_a_straggler_gets_one_copy_on_another_rack(self) -> None:
        """A job of sixteen tasks waited for one of them, on a rack that worked slowly."""
        copy = self.copy_of(self.straggler())
        self.assertEqual("e3", copy.endpoint)
        self.assertEqual([], self.copies())

    def test_a_slow_endpoint_gets_no_copy(self) -> None:
        """The copy was as slow as the run that it was made of."""
        self.straggler()
        self.slow_down(*OTHER_ENDPOINTS)
        self.assertEqual([], self.copies())

    def test_steps_that_are_not_speculative_are_left_alone(self) -> None:
        """A task that may run once only ran twice, or was stopped though it was done elsewhere."""
        runs = [self.straggler(speculative=False), self.straggler(speculative=False)]
        runs[0].task.done = True
        self.assertEqual([], self.copies())
        self.assertEqual([], self.stopped())

    def test_a_straggler_does_not_lengthen_its_own_deadline(self) -> None:
        """A job's deadline grew with the time left of its slow run, so that it was never late."""
        for name in "cd":
            step = self.add(a_step(1), name=name).steps_by_occurrence[0][0]
            for _ in range(20):
                self.durations.record(step, 1000.0)
        self.jobs.clear()
        self.book._times = self.durations
        self.straggler()
        self.assertEqual(1, len(self.copies()))

    def test_the_steps_that_follow_count(self) -> None:
        """A task had time enough by its own length, and the steps after it made its job late."""
        self.straggler(a_step(1, after=(0,), estimate_ms=10_000)).percent = 29
        self.assertEqual(1, len(self.copies()))

    def test_long_running_tasks_and_gangs_are_not_copied(self) -> None:
        """A copy of one member of a gang waited alone until its endpoint ended it."""
        for changes in ({"gang": True}, {"lasting": True}, {"filler": True}):
            self.straggler(**changes)
        self.assertEqual([], self.copies())

    def test_a_waiting_task_keeps_its_room(self) -> None:
        """Copies took the room that waiting tasks were about to get."""
        self.straggler()
        waiting = self.add(a_step(1, needs=Resources(4000, 1000)), name="f")
        self.assertEqual([], self.copies())
        waiting.steps_by_occurrence[0][0].finish(waiting.tasks()[0])
        self.assertEqual(1, len(self.copies()))

    def test_a_task_that_fits_nowhere_holds_no_room(self) -> None:
        """One task that no endpoint can take kept a pool from all copies."""
        self.straggler()
        self.add(a_step(1, needs=Resources(64_000, 1000)), name="f")
        self.assertEqual(1, len(self.copies()))

    def test_copies_have_a_budget(self) -> None:
        """A slow rack made copies of all of its tasks at once."""
        for _ in range(4):
            self.straggler(needs=Resources(500, 100))
        self.assertEqual(2, len(self.copies()))

    def test_the_last_attempt_has_no_copy(self) -> None:
        """BUDGET: a run and its copy failed, one more than the task had attempts."""
        run = self.straggler()
        run.task.failed_runs.add(1)
        self.assertEqual([], self.copies())
        self.attempts = 3
        self.assertEqual(1, len(self.copies()))

    def test_a_suspect_has_no_copy(self) -> None:
        """The copy of a task that crashes its endpoints took down another one."""
        run = self.straggler()
        run.task.attempts = {run.endpoint: Attempt("m1", 1)}
        self.assertEqual([], self.copies())
        run.task.attempts = {}
        run.task.crashed_processes = {"e9@1"}
        self.assertEqual([], self.copies())

    def test_a_copy_counts_against_its_workspace(self) -> None:
        """A workspace at its cap got copies, or took another pool's part for them."""
        run = self.straggler()
        tracked_job = run.task.step.tracked_job
        tracked_job.job = msgspec.structs.replace(tracked_job.job, workspace=WorkspaceId("w"))
        one = Resources(1000, 1000)
        full = Budget(Allowances({}), PoolId("notices"), one, one)
        budgets = RoundBudgets(lambda workspace: full)
        self.assertEqual([], self.copies(budgets))
        self.assertEqual(Resources(), full.usage.lacking)
        self.assertEqual(set(), budgets.refused_jobs)

    def test_a_copy_needs_a_ticket(self) -> None:
        """The start of a copy on an advised queue was refused without its endpoint's ticket."""
        run = self.straggler()
        self.copies()
        self.assertEqual([], self.planner.copied_steps)
        run.task.runs[1:] = []
        queue = msgspec.structs.replace(a_configuration().queues[0], advice=object())

        def placed() -> list[tuple[EndpointId, Run]]:
            _, *state = self.round_state()
            return self.book.place([(run.task.step.tracked_job, queue)], *state)

        self.assertEqual([], placed())
        self.assertEqual([run.task.step], self.planner.copied_steps)
        self.tickets.ticket = lambda step, endpoint: "t" if endpoint == "e2" else None
        self.assertEqual(["e2"], [endpoint for endpoint, _ in placed()])

    def test_a_copy_of_a_job_whose_queue_is_gone_needs_a_ticket(self) -> None:
        """Guards against copies without tickets, which are refused again and again."""
        run = self.straggler()
        run.task.step.tracked_job.is_ticket_required = True
        self.assertEqual([], self.copies())
        self.assertEqual([run.task.step], self.planner.copied_steps)

    def test_an_old_report_proves_nothing(self) -> None:
        """Runs of an owner that polled late looked as if they made no progress."""
        run = self.straggler()
        state = self.round_state()
        run.reported_at -= 2
        self.assertEqual([], self.book.place(*state))

    def test_a_run_out_of_reach_is_copied_at_once(self) -> None:
        """A task that may run twice waited for the end of a lease, like those that may not."""
        self.straggler().percent = 90
        self.assertEqual([], self.copies())
        self.link.reachable = False
        self.link.leases.assume(time.monotonic() + 3)
        self.assertEqual(1, len(self.copies()))


class EndTest(CopyCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_ = self.straggler()
        self.job = self.run_.task.step.tracked_job
        self.copy = self.copy_of(self.run_)

    def test_the_first_end_stops_the_other_run(self) -> None:
        """The slower run went on for its whole length, and held its room."""
        self.assertEqual([], self.stopped())
        self.end(self.copy, EndKind.DONE)
        self.assertEqual([self.run_], self.stopped())

    def test_an_end_and_a_stop_that_cross_count_once(self) -> None:
        """The second end entered the queue's durations, as one that took long."""
        step = self.run_.task.step
        self.end(self.copy, EndKind.DONE)
        recorded = step.completed
        self.end(self.run_, EndKind.DONE)
        self.assertEqual((0, recorded), (step.remaining, step.completed))

    def test_the_failure_of_the_slower_run_does_not_count(self) -> None:
        """A job failed by a run that nobody needed any more."""
        self.run_.task.failed_runs.add(1)
        self.end(self.copy, EndKind.DONE)
        self.end(self.run_, EndKind.FAILED)
        self.assertIsNot(JobState.FAILED, self.job.state)

    def test_both_runs_may_fail(self) -> None:
        """BUDGET: after a run and its copy had failed, the task was started again."""
        self.end(self.run_, EndKind.FAILED)
        self.assertEqual([], self.starts())
        self.end(self.copy, EndKind.FAILED)
        self.assertIs(JobState.FAILED, self.job.state)

    def test_the_task_does_not_wait_while_one_run_is_left(self) -> None:
        """The loss of a copy, with its rack, started the task a third time."""
        self.reconciler.drop(self.links[self.copy.endpoint], self.copy, "its endpoint has ended")
        self.assertFalse(self.run_.task.waiting)
        self.assertEqual([], self.stopped())
        self.assertEqual(1, len(self.copies()))

    def test_a_task_has_a_bounded_number_of_copies(self) -> None:
        """A task whose copies were lost was copied without end."""
        self.reconciler.drop(self.links[self.copy.endpoint], self.copy, "lost")
        second = self.copy_of(self.run_)
        self.reconciler.drop(self.links[second.endpoint], second, "lost")
        self.assertEqual([], self.copies())

    def test_the_checkpoint_of_the_run_further_on_is_kept(self) -> None:
        """A copy that had just begun replaced the checkpoint of the run that it was made of."""
        self.copy.percent, self.run_.percent = 5, 40
        self.end(self.copy, EndKind.STOPPED, "early")
        self.assertEqual("", self.run_.task.checkpoint)
        self.end(self.run_, EndKind.STOPPED, "late")
        self.assertEqual("late", self.run_.task.checkpoint)


class OwnedCopiesTest(TestCase):
    """A pool of three racks; the task's first run makes next to no progress."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool()
        self.addCleanup(self.pool.close)
        for number in range(3):
            name = f"e{number}"
            self.pool.endpoints[name] = TimedEndpoint()
            self.pool.register(an_endpoint(name, labels=("a", f"r{number}")))
        self.owner = self.take_over()
        self.job = a_job("a", self.a_step(), self.a_step(after=(0,), speculative=False))
        self.pool.submit(self.owner, self.job)
        self.assertTrue(eventually(lambda: len(self.running()) == 1))
        [self.first] = self.running()

    def take_over(self) -> PoolOwner:
        owner = self.pool.new_owner()
        owner._copies._times = ShownProgress()
        owner.start()
        return owner

    def a_step(self, **changes: object) -> Step:
        return a_step(1, **({"speculative": True, "estimate_ms": 20} | changes))

    def running(self, number: int = 0) -> list[TimedEndpoint]:
        return [
            endpoint
            for endpoint in self.pool.endpoints.values()
            if any(task.step == number for task, _ in list(endpoint.running))
        ]

    def copy(self) -> TimedEndpoint:
        """Wait for the copy of the first run."""
        self.first.show(1)
        self.assertTrue(eventually(lambda: len(self.running()) == 2))
        return next(endpoint for endpoint in self.running() if endpoint is not self.first)

    def finish(self, endpoint: TimedEndpoint) -> None:
        for task, number in list(endpoint.running):
            endpoint.end(task, number)

    def next_step_runs_alone(self) -> bool:
        return not self.running() and len(self.running(1)) == 1

    def completes(self, owner: PoolOwner) -> bool:
        self.assertTrue(eventually(self.next_step_runs_alone))
        self.finish(self.running(1)[0])
        return eventually(lambda: state_of(owner, self.job.id) is JobState.COMPLETED)

    def tracked(self, owner: PoolOwner) -> TrackedTask:
        return owner._jobs.by_id[self.job.id].tasks()[0]

    def test_the_first_end_counts(self) -> None:
        """The job went on only when both runs had ended."""
        self.finish(self.copy())
        self.assertTrue(self.completes(self.owner))
        self.assertEqual(1, len(self.first.stops))

    def test_the_first_run_may_be_faster_after_all(self) -> None:
        """A copy outlived the run that it was made of."""
        copy = self.copy()
        self.finish(self.first)
        self.assertTrue(self.completes(self.owner))
        self.assertEqual(1, len(copy.stops))

    def test_a_cancel_stops_both_runs(self) -> None:
        """A cancelled job went on with the run that was not its last one."""
        self.copy()
        self.owner.cancel(self.job.id)
        self.assertTrue(eventually(lambda: not self.running()))

    def test_an_owner_lost_with_both_runs_open(self) -> None:
        """The next owner stopped one of two runs that may both go on, or started a third."""
        copy = self.copy()
        self.owner.close()
        owner = self.take_over()
        self.assertTrue(
            eventually(lambda: owner.find(self.job.id) and len(self.tracked(owner).runs) == 2)
        )
        self.finish(copy)
        self.assertTrue(self.completes(owner))
        self.assertEqual(3, len(self.pool.starts()))

    def test_an_owner_lost_before_the_copy_starts(self) -> None:
        """A task that one owner started and the next one copied was not followed any more."""
        self.owner.close()
        owner = self.take_over()
        self.finish(self.copy())
        self.assertTrue(self.completes(owner))

    def test_a_copy_that_starts_late_is_stopped(self) -> None:
        """TWICE: a copy's start arrived after its task was done, and ran to its end."""
        copy = self.delay_copy(lambda endpoint: setattr(endpoint, "loses_starts", True))
        self.finish(self.first)
        self.assertTrue(eventually(self.next_step_runs_alone))
        copy.loses_starts = False
        copy.start(copy.delayed[0])
        self.assertTrue(self.completes(self.owner))

    def test_a_late_copy_that_begins_before_its_stop_ends(self) -> None:
        """TWICE: a late start that got ahead of its stop was adopted, and went on."""
        copy = self.delay_copy(lambda endpoint: setattr(endpoint, "loses_starts", True))
        copy.silent = True
        self.finish(self.first)
        self.assertTrue(eventually(lambda: self.tracked(self.owner).done))
        copy.loses_starts = copy.silent = False
        FakeEndpoint.start(copy, copy.delayed[0])
        self.assertTrue(self.completes(self.owner))

    def test_a_start_that_waits_is_not_sent_once_its_task_is_done(self) -> None:
        """TWICE: a copy's start waited behind other orders until its task was done."""
        [run] = self.tracked(self.owner).runs
        link = self.owner._links.by_id[run.endpoint]
        with self.owner._lock:
            run.task.done = True
            self.assertIsNone(self.owner._responses.start_order(link, run))

    def test_a_copy_whose_answer_is_lost_counts(self) -> None:
        """A copy whose start got no answer was started a third time elsewhere."""
        copy = self.delay_copy(lambda endpoint: setattr(endpoint, "loses_answers", True))
        copy.loses_answers = False
        self.finish(copy)
        self.assertTrue(self.completes(self.owner))
        self.assertEqual(3, len(self.pool.starts()))

    def delay_copy(self, disturb: Callable[[TimedEndpoint], None]) -> TimedEndpoint:
        """Disturb the starts on all endpoints until a copy is ordered on one of them."""
        others = [e for e in self.pool.endpoints.values() if e is not self.first]
        for endpoint in others:
            disturb(endpoint)
        self.first.show(1)
        ordered = lambda: [e for e in others if e.delayed or e.running]  # noqa: E731
        self.assertTrue(eventually(lambda: bool(ordered())))
        [copy] = ordered()
        for endpoint in others:
            if endpoint is not copy:
                endpoint.loses_starts = endpoint.loses_answers = False
        return copy

    def test_a_rack_goes_dark_with_the_copy_on_it(self) -> None:
        """The task stood still until the lease of its lost copy had ended, and began anew."""
        copy = self.copy()
        copy.silent = True
        # A start that is sent there before is waited for, see test_run_leases.py.
        self.assertTrue(eventually(lambda: not self.link_to(copy).reachable))
        self.finish(self.first)
        self.assertTrue(eventually(lambda: len(self.running(1)) == 1))
        self.assertTrue(self.tracked(self.owner).done)

    def link_to(self, endpoint: TimedEndpoint) -> EndpointLink:
        [name] = [name for name, each in self.pool.endpoints.items() if each is endpoint]
        return self.owner._links.by_id[EndpointId(name)]
