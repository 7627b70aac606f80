"""Reconciliation with polls and answers, and the decisions based on the tracked state."""

import time

from lentilrill.execution import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._demand import PoolDemand, demand_of
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations, WorkForecast
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._planner import MAX_STUCK_AFTER_S, STUCK_AFTER_S
from lentilrill.execution._pressure import backlog_of, pressure_of
from lentilrill.execution._reconcile import UNKNOWN_RUN_GRACE_S
from lentilrill.execution._release import release
from lentilrill.execution._tracking import MAX_REPORT_AGE_S, Run, RunPhase, TrackedJob
from lentilrill.execution._wait_times import WaitCause
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.inner import PoolPressure, ReleaseState
from lentilrill.scheduling import JobTiming
from lentilrill.workloads import JobState, Resources, TaskId
from tests.builders import a_job, a_job_timing, a_step, an_endpoint
from tests.execution.cases import TOKEN, Owner, TrackedJobCase, a_planner
from tests.execution.fakes import FakeEndpoint


class PollTest(TrackedJobCase):
    def test_a_run_that_is_not_listed_is_gone_once_it_was_confirmed(self) -> None:
        """Guards against tasks that are never run again after a restart of their endpoint.

        The restarted endpoint lists neither the run nor its end. A poll that was sent after the
        start was confirmed proves that the run is gone.
        """
        tracked_job = self.add(a_step(1))
        self.run_of(tracked_job)
        self.poll()
        self.assertTrue(tracked_job.tasks()[0].waiting)

    def test_a_run_missing_from_an_incomplete_list_is_kept(self) -> None:
        """A task that was done ran again, as its end stood behind 500 others."""
        tracked_job = self.add(a_step(1))
        self.run_of(tracked_job)
        result = PollResult(Verdict.DONE, 1000, 1, is_complete=False)
        self.reconciler.apply_poll(self.link, result, time.monotonic())
        self.assertFalse(tracked_job.tasks()[0].waiting)

    def test_a_run_whose_start_is_in_flight_is_kept(self) -> None:
        """Guards against a task that is started twice within milliseconds.

        A poll that was sent before the start arrived does not list the run, which proves nothing.
        """
        tracked_job = self.add(a_step(1))
        self.run_of(tracked_job, confirmed=False)
        self.poll()
        self.assertFalse(tracked_job.tasks()[0].waiting)

    def test_an_unknown_run_blocks_its_task_and_is_stopped_after_a_while(self) -> None:
        """Guards against a job that runs twice because the pool's owner had not read it yet.

        Until the owner tracks the job, an unknown run counts as a run of its task. If the job never
        appears, the run is stopped.
        """
        unknown_run = ReportedRun(a_job("b").steps and self.task_id("b"), 3, "", 0, 0.0)
        self.assertEqual([], self.poll(running=(unknown_run,)))
        tracked_job = self.add(a_step(1), name="b")
        unknown_tasks = {key[0] for key in self.link.unknown_since_by_key}
        self.assertEqual([], self.starts(unknown_tasks))
        self.poll(running=(unknown_run,))
        self.assertEqual(1, len(tracked_job.tasks()[0].runs))
        del self.jobs[tracked_job.job.id]
        self.link.runs_by_key.clear()
        self.poll(running=(unknown_run,))
        key = (unknown_run.task, unknown_run.number)
        self.link.unknown_since_by_key[key] -= UNKNOWN_RUN_GRACE_S + 0.1
        [stop] = self.poll(running=(unknown_run,))
        self.assertEqual((OrderKind.STOP, unknown_run.task), (stop.kind, stop.task))

    def test_a_run_of_a_final_job_is_stopped_at_once(self) -> None:
        tracked_job = self.add(a_step(1))
        task = tracked_job.tasks()[0].id
        tracked_job.end(JobState.CANCELLED, 1)
        tracked_job.steps_by_occurrence = {}
        [stop] = self.poll(running=(ReportedRun(task, 3, "", 0, 0.0),))
        self.assertIs(OrderKind.STOP, stop.kind)

    def test_an_end_counts_once(self) -> None:
        """Guards against a job that fails although its task failed only once.

        Ends are listed by each poll until they are acknowledged.
        """
        tracked_job = self.add(a_step(1))
        run = self.run_of(tracked_job)
        end = RunEnd(1, run.task.id, run.number, EndKind.FAILED, "")
        self.poll(ended=(end,))
        self.poll(ended=(end,))
        self.assertEqual(1, tracked_job.tasks()[0].failures)
        self.assertIs(JobState.QUEUED, tracked_job.state)

    def test_attempts_run_out(self) -> None:
        tracked_job = self.add(a_step(1))
        for cursor in (1, 2):
            self.assertIs(JobState.QUEUED, tracked_job.state)
            run = self.run_of(tracked_job, attempt=cursor)
            self.poll(ended=(RunEnd(cursor, run.task.id, run.number, EndKind.FAILED, ""),))
        self.assertIs(JobState.FAILED, tracked_job.state)

    def test_a_lease_of_a_previous_owner_expires(self) -> None:
        """Guards against a task that waits forever after a take-over.

        The endpoint was lost after the new owner had found the run and before it had given a lease
        of its own, so that no lease expiry was known.
        """
        tracked_job = self.add(a_step(1))
        task = tracked_job.tasks()[0].id
        self.poll(running=(ReportedRun(task, 3, "", 0, 0.0),))
        self.assertGreater(self.link.lease_end, time.monotonic())

    def task_id(self, name: str) -> object:
        tracked_job = TrackedJob(a_job(name, a_step(1)), Revision(1), 0.0)
        tracked_job.open_occurrences(0)
        return tracked_job.tasks()[0].id


class AnswerTest(TrackedJobCase):
    def test_a_start_without_an_answer_is_sent_again(self) -> None:
        run = self.run_of(self.add(a_step(1)), confirmed=False)
        order = Order.for_run(OrderKind.START, run)
        self.assertIs(order, self.reconciler.apply_answer(self.link, order, Verdict.UNKNOWN))
        self.assertTrue(run.is_unconfirmed)

    def test_a_refusal_does_not_settle_an_unconfirmed_start(self) -> None:
        """Guards against a task that runs on two endpoints.

        A start got no answer. Sent again, it was refused for lack of capacity, and the task was
        placed on another endpoint. Then the first start was executed. A stop prevents that.
        """
        tracked_job = self.add(a_step(1))
        run = self.run_of(tracked_job, confirmed=False)
        run.is_unconfirmed = True
        order = Order.for_run(OrderKind.START, run)
        after = self.reconciler.apply_answer(self.link, order, Verdict.NO_CAPACITY)
        assert after is not None
        self.assertIs(OrderKind.STOP, after.kind)
        self.assertFalse(tracked_job.tasks()[0].waiting)
        self.assertIsNone(self.reconciler.apply_answer(self.link, after, Verdict.DONE))
        self.poll()
        self.assertTrue(tracked_job.tasks()[0].waiting)

    def test_a_refused_copy_of_a_start_does_not_stop_a_run_in_progress(self) -> None:
        """Guards against a working task that is stopped since an endpoint in trouble refused a
        second copy of its start, after a poll had listed the run."""
        tracked_job = self.add(a_step(1, lasting=True, may_be_away=1))
        run = self.run_of(tracked_job, confirmed=False)
        order = Order.for_run(OrderKind.START, run)
        self.reconciler.apply_answer(self.link, order, Verdict.UNKNOWN)
        self.poll(running=(ReportedRun(run.task.id, run.number, "", 100, 0.0),))
        self.assertIsNone(self.reconciler.apply_answer(self.link, order, Verdict.BUSY))
        self.assertIs(RunPhase.IN_PROGRESS, run.phase)
        self.assertFalse(tracked_job.tasks()[0].waiting)

    def test_a_refused_start_waits_again(self) -> None:
        tracked_job = self.add(a_step(1))
        order = Order.for_run(OrderKind.START, self.run_of(tracked_job, confirmed=False))
        self.assertIsNone(self.reconciler.apply_answer(self.link, order, Verdict.NO_CAPACITY))
        self.assertTrue(tracked_job.tasks()[0].waiting)


class ReleaseTest(TrackedJobCase):
    def test_a_long_running_task_stays_while_another_one_is_away(self) -> None:
        """Guards against two of five tasks being away at once where one may be.

        The first had been stopped by the previous owner of the pool. Every task that is not working
        counts, whatever the cause.
        """
        tracked_job = self.add(a_step(2, lasting=True, may_be_away=1))
        run = self.run_of(tracked_job)
        run.percent = 100
        state, _, orders = release(self.link, time.monotonic())
        self.assertEqual((ReleaseState.WAIT, []), (state, orders))

    def test_a_task_that_is_being_stopped_is_away(self) -> None:
        """Guards against exceeding the budget when two hosts of a wave are drained together.

        A run that is being stopped is reported as working until it has ended.
        """
        tracked_job = self.add(a_step(2, lasting=True, may_be_away=1))
        first, second = self.run_of(tracked_job), self.run_of(tracked_job, 1)
        for run in (first, second):
            run.percent = 100
        _, _, orders = release(self.link, time.monotonic())
        self.assertEqual(1, len(orders))
        self.poll(
            running=tuple(ReportedRun(r.task.id, r.number, "", 100, 0.0) for r in (first, second))
        )
        self.assertEqual([], release(self.link, time.monotonic())[2])

    def test_a_task_whose_report_is_old_is_away(self) -> None:
        """Guards against exceeding the budget when an owner that reads late stops a task, while
        others have ended since their last report."""
        tracked_job = self.add(a_step(2, lasting=True, may_be_away=1))
        drained, other = self.run_of(tracked_job), self.run_of(tracked_job, 1)
        for run in (drained, other):
            run.percent = 100
        del self.link.runs_by_key[other.key]  # on another endpoint
        now = time.monotonic()
        other.reported_at = now - 2 * MAX_REPORT_AGE_S
        self.assertEqual([], release(self.link, now)[2])
        other.reported_at = now
        self.assertEqual(1, len(release(self.link, now)[2]))

    def test_an_endpoint_with_an_unknown_run_is_not_free(self) -> None:
        """Guards against a task that ends with its host, which was given away since the pool's
        owner didn't track the run."""
        unknown = ReportedRun(TaskId(JobId("b" * 16), 0, 0, 0), TOKEN * 1000 + 1, "", 100, 0.0)
        self.poll(running=(unknown,))
        self.assertEqual(ReleaseState.WAIT, release(self.link, time.monotonic())[0])
        self.poll()
        self.assertEqual(ReleaseState.FREE, release(self.link, time.monotonic())[0])

    def test_an_empty_endpoint_is_free_and_gets_nothing_new(self) -> None:
        self.assertEqual(ReleaseState.FREE, release(self.link, time.monotonic())[0])
        self.add(a_step(1))
        self.assertEqual([], self.starts())


class CauseTest(TrackedJobCase):
    """Wait cause of a job after placement."""

    def test_a_job_without_capacity_waits_for_capacity(self) -> None:
        """Some tasks of the job run, and there is no capacity for the others."""
        tracked_job = self.add(a_step(6))
        self.link.registered = True
        self.assertEqual(4, len(self.starts()))
        self.assertIs(WaitCause.CAPACITY, self.cause_of(tracked_job))

    def test_a_job_that_runs_waits_for_its_work(self) -> None:
        tracked_job = self.add(a_step(2))
        self.starts()
        self.assertIs(WaitCause.WORK, self.cause_of(tracked_job))

    def test_an_unanswered_start_has_its_own_cause(self) -> None:
        tracked_job = self.add(a_step(1))
        self.run_of(tracked_job, confirmed=False).is_unconfirmed = True
        self.starts()
        self.assertIs(WaitCause.ORDER, self.cause_of(tracked_job))

    def test_a_job_that_a_take_over_blocks(self) -> None:
        tracked_job = self.add(a_step(1))
        capacity_by_endpoint = a_planner().capacity_by_endpoint([self.link], time.monotonic())
        a_planner().place_tasks(
            [(tracked_job, None)],
            capacity_by_endpoint,
            time.monotonic(),
            True,
            9,
            set(),
            RoundBudgets(None),
        )
        self.assertIs(WaitCause.TAKE_OVER, self.cause_of(tracked_job))

    def cause_of(self, tracked_job: TrackedJob) -> WaitCause:
        waits = tracked_job.wait_times.seconds_by_cause(time.monotonic() + 60.0)
        return max(waits, key=lambda cause: waits[cause])


class UnreachedTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_ = self.run_of(self.add(a_step(1)), confirmed=False)
        self.order = Order.for_run(OrderKind.START, self.run_)

    def test_an_undelivered_start_is_placed_elsewhere(self) -> None:
        """Guards against a task that waits for a terminated endpoint until a poll has failed."""
        self.assertIsNone(self.reconciler.apply_answer(self.link, self.order, Verdict.UNREACHABLE))
        self.assertTrue(self.run_.task.waiting)
        self.assertEqual({}, self.link.runs_by_key)

    def test_other_tasks_wait_before_they_go_to_an_unreachable_endpoint(self) -> None:
        """Guards against sending all waiting tasks in turn to an unreachable endpoint."""
        self.reconciler.apply_answer(self.link, self.order, Verdict.UNREACHABLE)
        self.add(a_step(1), name="b")
        self.assertEqual([], self.starts())
        self.link.probe_at = 0.0
        self.assertEqual(1, len(self.starts()))

    def test_an_earlier_unanswered_start_stays_unconfirmed(self) -> None:
        """Guards against a task that runs twice.

        Its first start order was executed without an answer, and the second one did not arrive.
        """
        self.reconciler.apply_answer(self.link, self.order, Verdict.UNKNOWN)
        stop = self.reconciler.apply_answer(self.link, self.order, Verdict.UNREACHABLE)
        self.assertEqual((OrderKind.STOP, self.run_.number), (stop.kind, stop.number))
        self.assertFalse(self.run_.task.waiting)

    def test_an_undelivered_stop_is_sent_again(self) -> None:
        stop = Order.for_run(OrderKind.STOP, self.run_)
        again = self.reconciler.apply_answer(self.link, stop, Verdict.UNREACHABLE)
        self.assertIs(stop, again)
        self.assertIsNone(self.run_.confirmed_at)


class NeedTest(TrackedJobCase):
    def test_overdue_work_needs_few_hosts(self) -> None:
        """Guards against an overdue backlog that competes for hosts with work still in time."""
        host_size = self.link.entry.capacity
        step = a_step(4, needs=Resources(host_size.cpu, 1), estimate_ms=800)
        tracked_job = self.add(step)
        in_time = self.demand([(tracked_job, a_job_timing(remaining_s=0.8, deadline_s=0.9))])
        overdue = self.demand(
            [(tracked_job, a_job_timing(remaining_s=0.8, deadline_s=0.9, age_s=5.0))]
        )
        self.assertGreater(in_time, 2.0)
        self.assertLess(overdue, 1.3)

    def test_runs_count_until_they_end(self) -> None:
        """Guards against moving a pool's hosts away while tasks that have just begun run on them.

        New tasks of the pool had to wait then.
        """
        host_size = self.link.entry.capacity
        tracked_job = self.add(a_step(1, needs=Resources(host_size.cpu // 2, 1), estimate_ms=2000))
        run = self.run_of(tracked_job)
        run.started_at = 100.0
        timings = [(tracked_job, a_job_timing(remaining_s=2.0, deadline_s=20.0))]
        self.assertAlmostEqual(0.5, self.demand(timings, now=100.0), delta=0.01)
        self.assertAlmostEqual(0.5, self.demand(timings, now=101.0), delta=0.01)

    def test_long_running_tasks_always_count(self) -> None:
        host_size = self.link.entry.capacity
        tracked_job = self.add(a_step(4, needs=Resources(host_size.cpu // 4, 1), lasting=True))
        self.assertAlmostEqual(
            1.0, self.demand([(tracked_job, a_job_timing(long_running=True))]), delta=0.01
        )

    def test_a_pool_without_hosts_needs_one(self) -> None:
        """The size of a host is unknown before the first one is present, and none is assumed."""
        tracked_job = self.add(a_step(1))
        result = demand_of([(tracked_job, a_job_timing())], [], Durations(), WorkForecast(), 0.0)
        self.assertEqual(PoolDemand(1.0, 1.0), result)
        self.assertEqual(PoolDemand(0.0, 0.0), demand_of([], [], Durations(), WorkForecast(), 0.0))

    def test_a_job_needs_no_more_than_its_capacity(self) -> None:
        """Guards against a request for twenty hosts by an urgent job that can use only two."""
        host_size = self.link.entry.capacity
        tracked_job = self.add(a_step(2, needs=Resources(host_size.cpu, 1), estimate_ms=4000))
        timing = a_job_timing(remaining_s=4.0, deadline_s=4.1)
        self.assertAlmostEqual(2.0, self.demand([(tracked_job, timing)]), delta=0.01)

    def test_whether_the_present_hosts_are_enough(self) -> None:
        """Guards against ordering by time left in overload, which made nearly all jobs late."""
        host_size = self.link.entry.capacity
        self.link.registered = True
        tracked_job = self.add(a_step(2, needs=Resources(host_size.cpu, 1), estimate_ms=1000))
        for allowed_s, feasible in ((1.1, False), (9.0, True)):
            jobs = [(tracked_job, a_job_timing(remaining_s=1.0, deadline_s=allowed_s))]
            result = demand_of(jobs, [self.link], Durations(), WorkForecast(), 0.0)
            self.assertEqual(feasible, result.feasible)

    def demand(self, timings: list[tuple[TrackedJob, JobTiming]], now: float = 0.0) -> float:
        return demand_of(timings, [self.link], Durations(), WorkForecast(), now).without_forecast

    def test_endpoints_with_only_overdue_jobs_are_listed(self) -> None:
        """Guards against overdue work on each host of a pool that keeps all hosts from others."""
        overdue, on_time = self.add(a_step(1), name="a"), self.add(a_step(1), name="b")
        self.run_of(overdue)
        self.link.registered = True
        timings = [(overdue, a_job_timing(age_s=60.0)), (on_time, a_job_timing(age_s=0.0))]
        result = self.pressure(timings)
        self.assertEqual((self.link.entry.id,), result.late)
        self.run_of(on_time)
        self.assertEqual((), self.pressure(timings).late)

    def test_the_end_of_a_surge_lists_cheaply_drained_endpoints(self) -> None:
        """Guards against jobs that wait for hosts with only a task or two of another pool."""
        self.link.registered = True
        tracked_job = self.add(a_step(1))
        self.run_of(tracked_job)
        timings = [(tracked_job, a_job_timing())]
        self.assertEqual((self.link.entry.id,), self.pressure(timings, need=0.0).light)
        self.assertEqual((), self.pressure(timings, need=0.2).light)

    def test_endpoints_with_checkpointed_tasks_come_first(self) -> None:
        """Guards against stopping a task that loses its work instead of a checkpointed one."""
        links = [self.link, EndpointLink(Owner(), an_endpoint("e2"), FakeEndpoint())]
        runs = [
            self.run_of(self.add(a_step(1, checkpoints=saves), name=name))
            for name, saves in (("a", False), ("b", True))
        ]
        links[1].runs_by_key[runs[1].key] = self.link.runs_by_key.pop(runs[1].key)
        for link in links:
            link.reachable = link.registered = True
        result = self.pressure([], need=0.5, links=links)
        self.assertEqual((links[1].entry.id,), result.light)

    def test_endpoints_with_long_running_tasks_are_not_listed(self) -> None:
        """Guards against moving serving tasks each time that a surge ends."""
        self.link.registered = True
        self.run_of(self.add(a_step(1, lasting=True)))
        self.assertEqual((), self.pressure([]).light)

    def pressure(
        self,
        timings: list[tuple[TrackedJob, JobTiming]],
        need: float = 0.0,
        links: list[EndpointLink] | None = None,
    ) -> PoolPressure:
        backlog = backlog_of(timings, lambda tracked_job: (tracked_job.job.queue,))
        demand = PoolDemand(need, need)
        return pressure_of(PoolId("notices"), TOKEN, backlog, demand, links or [self.link], 0.0)


class PlanningTest(TrackedJobCase):
    def test_an_endpoint_takes_no_more_than_its_capacity(self) -> None:
        self.add(a_step(9))
        self.assertEqual(4, len(self.starts()))

    def test_an_endpoint_with_an_unknown_run_takes_nothing(self) -> None:
        """Guards against an overcommitted endpoint: the usage of an unknown run is not tracked."""
        self.add(a_step(1))
        other = ReportedRun(self.add(a_step(1), name="b").tasks()[0].id, 3, "", 0, 0.0)
        del self.jobs[other.task.job]
        self.poll(running=(other,))
        self.assertEqual([], self.starts())

    def test_steps_wait_for_preceding_steps(self) -> None:
        tracked_job = self.add(a_step(1), a_step(1, after=(0,)))
        [(_, run)] = self.starts()
        self.assertEqual(0, run.task.id.step)
        tracked_job.steps_by_occurrence[0][0].finish(run.task)
        run.task.runs.clear()
        [(_, run)] = self.starts()
        self.assertEqual(1, run.task.id.step)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        self.add(a_step(5, gang=True))
        self.assertEqual([], self.starts())
        self.jobs.clear()
        self.add(a_step(4, gang=True))
        self.assertEqual(1, len({run.number for _, run in self.starts()}))

    def test_spread_of_a_step(self) -> None:
        self.add(a_step(3, most_per_endpoint=2))
        self.assertEqual(2, len(self.starts()))

    def test_an_unhealthy_endpoint_is_probed_beside_long_running_tasks(self) -> None:
        """Guards against failing jobs that never reach their final state.

        Their tasks had failed on every endpoint of the pool, so each endpoint got one task at a
        time. Each also ran a long-running task, which counted as that one.
        """
        long_running = self.run_of(self.add(a_step(1, lasting=True), name="b"))
        self.link.failures = 5
        self.add(a_step(2))
        self.assertEqual(1, len(self.starts()))
        self.assertIs(RunPhase.IN_PROGRESS, long_running.phase)

    def test_a_run_without_progress_is_stopped(self) -> None:
        """Guards against a job that never ends as its tasks hang on an answering endpoint."""
        run = self.run_of(self.add(a_step(1)))
        planner = a_planner()
        self.assertEqual([], planner.stop_stuck_runs(self.link, time.monotonic()))
        run.progressed_at = run.confirmed_at = self.link.answered_at - 2.0
        [stop] = planner.stop_stuck_runs(self.link, time.monotonic())
        self.assertIs(OrderKind.STOP, stop.kind)
        self.assertIn(self.link.entry.id, run.task.excluded(time.monotonic()))
        self.assertEqual([], planner.stop_stuck_runs(self.link, time.monotonic()))

    def stall(self, run: Run, seconds: float) -> bool:
        """Let a run make no progress for a time; return whether it is stopped."""
        run.progressed_at = run.confirmed_at = self.link.reported_at - seconds
        return bool(a_planner().stop_stuck_runs(self.link, time.monotonic()))

    def test_a_task_that_is_stuck_everywhere_gets_more_time(self) -> None:
        """A task too long to progress in two seconds was started again and again, without end."""
        run = self.run_of(self.add(a_step(1)))
        run.task.stalled_on |= {EndpointId("e7"), EndpointId("e8")}
        self.assertFalse(self.stall(run, 2 * STUCK_AFTER_S - 0.1))
        self.assertTrue(self.stall(run, 2 * STUCK_AFTER_S + 0.1))
        run.task.stalled_on |= {EndpointId(f"e{number}") for number in range(20)}
        run.phase = RunPhase.IN_PROGRESS
        self.assertFalse(self.stall(run, MAX_STUCK_AFTER_S - 0.1))
        self.assertTrue(self.stall(run, MAX_STUCK_AFTER_S + 0.1))

    def test_a_task_that_is_stuck_everywhere_discredits_no_endpoint(self) -> None:
        """One task that hung everywhere made one endpoint after the other count as failing."""
        for stalls, failures in ((0, 1), (1, 1), (2, 0), (5, 0)):
            self.link.failures = 0
            run = self.run_of(self.add(a_step(1), name=f"j{stalls}"))
            run.task.stalled_on |= {EndpointId(f"f{number}") for number in range(stalls)}
            self.assertTrue(self.stall(run, MAX_STUCK_AFTER_S + 0.1))
            self.assertEqual(failures, self.link.failures, stalls)
            self.link.runs_by_key.clear()

    def test_a_task_at_work_has_its_time_back(self) -> None:
        """A long-running task that hung later in its life stood still for many seconds."""
        run = self.run_of(self.add(a_step(1, lasting=True)))
        run.task.stalled_on |= {EndpointId("e7"), EndpointId("e8")}
        run.percent = 100
        self.assertFalse(self.stall(run, 0.0))
        self.assertEqual(set(), run.task.stalled_on)

    def test_an_endpoint_that_keeps_failing_is_probed_less_and_less_often(self) -> None:
        tracked_job = self.add(a_step(9))
        for index in range(3):
            run = self.run_of(tracked_job, index)
            self.poll(ended=(RunEnd(index + 1, run.task.id, run.number, EndKind.FAILED, ""),))
        self.assertEqual([], self.starts())
        self.link.probe_at = 0.0
        self.assertEqual(1, len(self.starts()))
