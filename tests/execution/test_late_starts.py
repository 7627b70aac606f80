"""Copies of starts that got no answer, carried out by a later process of their endpoint."""

import time

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, PollResult, StartOrder, Verdict, _late_starts
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._run_leases import MAX_ORDER_DELAY_S
from lentilrill.execution._tracking import Run
from lentilrill.ids import JobId
from lentilrill.workloads import JobState, TaskId
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.cases import Owner, TrackedJobCase
from tests.execution.fakes import FakeEndpoint, OwnedPool, TimedEndpoint, eventually, state_of

UNANSWERED = OrderAnswer(Verdict.UNKNOWN)


class _CrashingEndpoint(TimedEndpoint):
    """Endpoint that can crash, and that answers only the second copy of a start.

    :ivar answers_all_starts: it answers the first copy as well.
    :ivar lives: number of the current life, which is also its start time.
    :ivar answers_stops: stops are carried out and answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lives = 1
        self.answers_stops = True
        self.answers_all_starts = False

    def start(self, order: StartOrder) -> OrderAnswer:
        is_second = (order.task, order.number) in {(d.task, d.number) for d in self.delayed}
        if not (is_second or self.answers_all_starts):
            self.delayed.append(order)
            return OrderAnswer(Verdict.UNKNOWN)
        return super().start(order)

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        return super().stop(task, number, token) if self.answers_stops else UNANSWERED

    def crash(self) -> None:
        """Begin the next life, with nothing of what the former one was told."""
        with self._changed:
            self.running.clear()
            self.ended.clear()
            self.stops.clear()
            self._refused.clear()
            self._cursor = self.acknowledged = self.token = 0
            self.lives += 1

    def poll(self, *args: object) -> PollResult:
        return msgspec.structs.replace(super().poll(*args), started_ms=self.lives)


class LateStartTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e2")
        self.addCleanup(self.pool.close)
        self.endpoint = _CrashingEndpoint()
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint("e1"))
        self.owner = self.pool.take_over()

    def start_one(self) -> JobId:
        """Start a task by the second copy of its start."""
        job = a_job("a", a_step(1))
        self.pool.submit(self.owner, job)
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 1))
        self.assertTrue(eventually(lambda: state_of(self.owner, job.id) is JobState.RUNNING))
        return job.id

    def deliver_late_copy(self) -> OrderAnswer:
        return TimedEndpoint.start(self.endpoint, self.endpoint.delayed[0])

    def wait_for_stop(self) -> None:
        late = self.endpoint.delayed[0]
        self.assertTrue(eventually(lambda: (late.task, late.number) in self.endpoint.stops))

    def test_a_late_copy_of_a_confirmed_start_is_refused_after_a_restart(self) -> None:
        """Guards against two runs at once: the late one, and the task's next one elsewhere."""
        self.start_one()
        self.pool.register(an_endpoint("e2"))
        self.endpoint.crash()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.assertIs(Verdict.OUTDATED, self.deliver_late_copy().verdict)
        running = [run for each in self.pool.endpoints.values() for run in each.running]
        self.assertEqual(1, len(running))

    def test_a_late_copy_of_a_start_whose_run_has_ended(self) -> None:
        """Guards against a task that begins again in a new process after it was done."""
        job = self.start_one()
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(self.owner, job) is JobState.COMPLETED))
        self.endpoint.crash()
        self.wait_for_stop()
        self.assertIs(Verdict.OUTDATED, self.deliver_late_copy().verdict)

    def test_a_late_copy_of_a_start_whose_run_was_stopped(self) -> None:
        """Guards against a cancelled task that begins again in a new process."""
        job = self.start_one()
        self.owner.cancel(job)
        self.assertTrue(eventually(lambda: not self.endpoint.running))
        self.endpoint.crash()
        self.wait_for_stop()
        self.assertIs(Verdict.OUTDATED, self.deliver_late_copy().verdict)

    def test_a_stop_without_an_answer_is_sent_again(self) -> None:
        """Guards against a late start where the stop that forbids it got lost."""
        job = self.start_one()
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(self.owner, job) is JobState.COMPLETED))
        self.endpoint.answers_stops = False
        self.endpoint.crash()
        link = self.owner._links.by_id["e1"]
        self.assertTrue(eventually(lambda: link.started_ms == self.endpoint.lives))
        self.endpoint.answers_stops = True
        self.wait_for_stop()

    def test_a_late_copy_that_came_before_the_first_poll_is_the_run(self) -> None:
        """Guards against a stop of a task's only run, which would cost its work."""
        job = self.start_one()
        self.endpoint.silent = True
        self.assertTrue(eventually(lambda: not self.owner._links.by_id["e1"].reachable))
        self.endpoint.crash()
        self.endpoint.silent = False
        self.assertIs(Verdict.DONE, self.deliver_late_copy().verdict)
        link = self.owner._links.by_id["e1"]
        self.assertTrue(eventually(lambda: link.started_ms == self.endpoint.lives))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(self.owner, job) is JobState.COMPLETED))
        self.assertEqual([], self.endpoint.stops)

    def test_a_start_that_was_answered_costs_no_stop(self) -> None:
        """Guards against a stop for each run of an endpoint that has crashed."""
        self.endpoint.answers_all_starts = True
        self.start_one()
        self.endpoint.crash()
        self.assertTrue(eventually(lambda: len(self.endpoint.starts) == 2))
        self.assertEqual([], self.endpoint.stops)


class LateStartsOfALostLinkTest(TrackedJobCase):
    """A run whose start has one copy without an answer, on an endpoint that returns."""

    def setUp(self) -> None:
        super().setUp()
        self.started = self.run_of(self.add(a_step(1)))
        self.started.send_count, self.started.answer_count = 2, 1
        self.started.sent_at = time.monotonic()
        self.link.started_ms = 1
        self.reconciler.drop(self.link, self.started, "done")
        self.link = EndpointLink(Owner(), an_endpoint(), FakeEndpoint())

    def stops(self) -> list[int]:
        return [order.number for order in self.poll_of_life(2) if order.kind is OrderKind.STOP]

    def poll_of_life(self, started_ms: int) -> list[Order]:
        result = PollResult(Verdict.DONE, 1000, started_ms)
        return self.reconciler.apply_poll(self.link, result, time.monotonic())

    def test_a_new_link_stops_what_the_former_one_sent(self) -> None:
        """Guards against a late start on an endpoint that was away until its link was closed."""
        self.assertEqual([self.started.number], self.stops())

    def test_it_is_stopped_once_in_each_process(self) -> None:
        """Guards against stops without end, and against none in a third process."""
        [stop] = self.poll_of_life(2)
        self.reconciler.apply_answer(self.link, stop, Verdict.DONE)
        self.patch(_late_starts, "STOP_INTERVAL_S", 0.0)
        self.assertEqual([], self.poll_of_life(2))
        self.assertEqual(1, len(self.poll_of_life(3)))

    def test_it_is_forgotten_in_time(self) -> None:
        """Guards against memory that grows with the starts that ever got no answer."""
        other = self.run_of(self.add(a_step(1), name="b"))
        other.send_count, other.sent_at = 1, time.monotonic() + 2 * MAX_ORDER_DELAY_S
        late_starts = self.reconciler._late_starts
        late_starts._remove_expired(time.monotonic() + MAX_ORDER_DELAY_S + 1.0)
        self.assertEqual({}, late_starts._by_task_by_endpoint)
        self.reconciler.drop(self.link, other, "done")
        self.assertEqual(1, len(late_starts._by_task_by_endpoint))

    def test_a_process_that_has_not_confirmed_the_stop_gets_it_again(self) -> None:
        """Guards against a late start in a process whose run was given up before it answered."""
        held = self.run_of(self.add(a_step(1), name="b"))
        held.send_count, held.sent_at = 1, time.monotonic()
        self.link.started_ms = 1
        [stop, *_] = self.poll_of_life(2)
        self.assertIs(held, stop.run)
        self.reconciler.drop(self.link, held, "its lease has lapsed out of sight", is_given_up=True)
        self.assertIn(held.task.id, [order.task for order in self.poll_of_life(2)])

    def test_an_earlier_run_does_not_hide_a_later_one(self) -> None:
        """Guards against a late start of the later of two runs of a task on one endpoint."""
        task = self.started.task
        earlier = Run(task, self.started.number - 1, self.link.entry.id, self.started.reserved)
        earlier.send_count, earlier.sent_at = 1, time.monotonic()
        self.reconciler.drop(self.link, earlier, "done")
        self.assertEqual([self.started.number], self.stops())


class LateAnswersTest(TrackedJobCase):
    """Stops that the former process answered, of which the answer is processed after a restart."""

    def setUp(self) -> None:
        super().setUp()
        self.poll()
        self.run = self.run_of(self.add(a_step(1)), confirmed=False)
        self.run.send_count, self.run.sent_at = 1, time.monotonic()

    def restart(self) -> list[Order]:
        """Poll the next process, which lists no run."""
        result = PollResult(Verdict.DONE, 1000, 2)
        return self.reconciler.apply_poll(self.link, result, time.monotonic())

    def answer(self, stop: Order, sent_to_ms: int) -> Order | None:
        stop.sent_to_ms = sent_to_ms
        return self.reconciler.apply_answer(self.link, stop, Verdict.DONE)

    def test_a_stop_that_the_former_process_answered(self) -> None:
        """Guards against two runs of one task: the answer counted as one of the next process, which
        then carried out the start."""
        first = Order.stop(self.run)
        [again] = self.restart()
        self.assertIsNone(self.answer(first, 1))
        self.restart()
        self.assertIn(self.run.key, self.link.runs_by_key)
        self.assertIsNone(self.answer(again, 2))
        self.restart()
        self.assertNotIn(self.run.key, self.link.runs_by_key)

    def test_a_stop_of_a_run_that_is_over_that_the_former_process_answered(self) -> None:
        """Guards against a task that begins again in the next process, as above."""
        self.reconciler.drop(self.link, self.run, "done")
        [first] = self.restart()
        self.link.reset(3)
        self.patch(_late_starts, "STOP_INTERVAL_S", 0.0)
        self.answer(first, 2)
        stops = self.reconciler.apply_poll(
            self.link, PollResult(Verdict.DONE, 1000, 3), time.monotonic()
        )
        self.assertEqual([self.run.number], [stop.number for stop in stops])
