"""Stops of what still runs of an ended job, whoever finds it."""

from collections.abc import Iterable
from itertools import product
from unittest import mock

from msgspec.structs import replace
from testtools import TestCase

from lentilrill.execution import Verdict, _writer
from lentilrill.execution._link import IDLE_POLL_WAIT_MS, EndpointLink
from lentilrill.execution._planner import Planner
from lentilrill.workloads import Job, JobState, cancellation_key, job_key, progress_key
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.ended_job_paths import (
    STOPPED_WITHIN_S,
    Answers,
    End,
    Finder,
    Kind,
    Path,
    Replay,
    Stored,
    TroubledEndpoint,
)
from tests.execution.fakes import OwnedPool, eventually, state_of

UNKNOWN_STEP = b'{"state": "running", "steps_by_key": {"0.7": {"done": "1"}}}'
STOP_SENT_WITHIN_S = 1.0
"""Well below the time after which a poll that still lists the run has its stop sent again."""


class PathsToEndedJobsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        # Otherwise each path waits for the writer's interval.
        self.patch(_writer, "LAZY_INTERVAL_S", 0.02)

    def check(self, paths: Iterable[Path]) -> None:
        """Replay paths; all that fail are shown."""
        self.assertEqual([], [str(path) for path in paths if not Replay(path).ends_in_time()])

    def test_each_kind_of_task_after_each_end(self) -> None:
        """Guards against a kind of task whose runs the next owner doesn't stop."""
        self.check(
            Path(end, kind)
            for end, kind in product(End, Kind)
            if kind is not Kind.LASTING or end is End.CANCELLED
        )

    def test_each_finder_whenever_the_end_is_stored(self) -> None:
        """Guards against an owner that takes a stored end for an order to stop."""
        self.check(Path(finder=finder, stored=stored) for finder, stored in product(Finder, Stored))

    def test_each_finder_after_each_end(self) -> None:
        """Guards against a copy, or a task of a failed job, that an owner doesn't look at."""
        self.check(
            Path(end, Kind.COPIES, finder, Answers.LATE_STOP)
            for end, finder in product(End, Finder)
        )

    def test_each_finder_however_the_endpoint_answers(self) -> None:
        """Guards against a run on an endpoint that an owner polls late, or gives no stop."""
        self.check(
            Path(finder=finder, answers=answers) for finder, answers in product(Finder, Answers)
        )

    def test_each_answer_whenever_the_end_is_stored(self) -> None:
        """Guards against a stop that isn't sent again by the owner that follows."""
        self.check(
            Path(kind=Kind.GANG, answers=answers, stored=stored)
            for answers, stored in product(Answers, Stored)
        )


class StopsOfEndedJobsTest(TestCase):
    """A job whose two tasks are at work on one endpoint when it is cancelled."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.endpoint = TroubledEndpoint()
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint("e1"))
        self.owner = self.pool.take_over()
        self.job = a_job()

    def start(self) -> None:
        self.pool.submit(self.owner, self.job)
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 2))

    def cancel(self) -> None:
        """Store a cancellation and tell the owner of it, as an entry host does."""
        self.pool.kv.put(f"in/notices/x/{self.job.id}", b"{}")
        self.owner.cancel(self.job.id)

    def link(self) -> EndpointLink:
        return self.owner._links.by_id[an_endpoint("e1").id]

    def check_all_stopped(self) -> None:
        self.assertTrue(eventually(lambda: not self.endpoint.running, STOPPED_WITHIN_S))

    def test_a_run_is_stopped_that_was_given_up_out_of_sight(self) -> None:
        """Guards against runs that are listed again once their job has been put away."""
        self.start()
        self.endpoint.silent = True
        self.cancel()
        self.assertTrue(eventually(lambda: not self.link().runs_by_key))
        self.assertTrue(eventually(lambda: self.job.id not in self.owner._jobs.live_by_id))
        self.endpoint.silent = False
        self.check_all_stopped()

    def test_a_run_of_a_job_that_was_put_away_is_stopped_again_without_an_answer(self) -> None:
        """Guards against a single stop, without an answer, of a run that isn't tracked."""
        self.start()
        runs = list(self.endpoint.running)
        self.cancel()
        self.assertTrue(eventually(lambda: self.job.id not in self.owner._jobs.live_by_id))
        self.endpoint.delays_stops = True
        for task, number in runs:
            self.endpoint.run(task, number)
        self.assertTrue(eventually(lambda: len(self.endpoint.late_stops) > 2))
        self.endpoint.late_stops.clear()
        self.endpoint.answer_again()
        self.check_all_stopped()

    def test_a_late_start_of_a_previous_owner_is_refused(self) -> None:
        """Guards against a task that begins by the order of an owner that was lost."""
        self.endpoint.loses_starts = True
        self.pool.submit(self.owner, self.job)
        self.assertTrue(eventually(lambda: len(self.endpoint.delayed) >= 2))
        self.cancel()
        self.owner.close()
        self.owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.endpoint.token == self.owner.token))
        self.endpoint.loses_starts = False
        late = self.endpoint.delayed[0]
        self.assertIn(self.endpoint.start(late).verdict, (Verdict.FENCED, Verdict.OUTDATED))
        self.assertEqual({}, self.endpoint.running)

    def test_a_late_start_in_a_later_process_is_stopped(self) -> None:
        """Guards against a task that begins in a process which knows of no owner, after the new
        owner has put its job away."""
        self.endpoint.loses_starts = True
        self.pool.submit(self.owner, self.job)
        self.assertTrue(eventually(lambda: len(self.endpoint.delayed) >= 2))
        self.cancel()
        self.owner.close()
        self.owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.endpoint.token == self.owner.token))
        self.endpoint.restart()
        self.endpoint.carry_out_late_starts()
        self.endpoint.answer_again()
        self.check_all_stopped()

    def test_another_pool_stops_a_run_and_gives_it_no_lease(self) -> None:
        """Guards against a run that goes on for good since its endpoint has moved, whose pool
        doesn't know the job."""
        self.start()
        self.endpoint.silent = True
        self.cancel()
        self.pool.entries.clear()
        self.owner.close()
        other = OwnedPool("e1", pool="letters", kv=self.pool.kv)
        self.addCleanup(other.close)
        other.endpoints["e1"] = self.endpoint
        other.register(replace(an_endpoint("e1"), pool=other.pool))
        owner = other.take_over()
        self.endpoint.silent = False
        self.assertTrue(eventually(lambda: not self.endpoint.running))
        self.assertNotIn(owner.token, self.endpoint.renewals)

    def test_the_first_poll_after_a_silence_does_not_wait(self) -> None:
        """Guards against a late start that is seen only after the wait of an idle poll, so that
        the task of a cancelled job runs on for longer than it may."""
        self.assertTrue(eventually(lambda: (False, IDLE_POLL_WAIT_MS) in self.polls_after(0)))
        self.endpoint.silent = True
        self.assertTrue(eventually(lambda: not self.link().reachable))
        answered = len(self.endpoint.answered_polls)
        self.endpoint.silent = False
        self.assertTrue(eventually(lambda: len(self.polls_after(answered)) > 1))
        waits_ms = [wait_ms for _, wait_ms in self.polls_after(answered)]
        self.assertEqual([0, IDLE_POLL_WAIT_MS], waits_ms[:2])

    def test_stops_are_sent_though_their_round_fails(self) -> None:
        """Guards against runs that count as stopping, and whose stops a failed round has lost."""
        self.start()
        failing = mock.patch.object(Planner, "place_tasks", side_effect=ValueError("unexpected"))
        with failing:
            self.cancel()
            stopped = eventually(lambda: not self.endpoint.running, STOP_SENT_WITHIN_S)
        self.assertTrue(stopped)

    def test_a_run_at_another_address_of_its_endpoint_is_stopped(self) -> None:
        """Guards against a late start that nobody sees, since the owner goes on to poll an address
        that its endpoint had before it started again."""
        self.start()
        late = list(self.endpoint.running)
        self.cancel()
        self.assertTrue(eventually(lambda: not self.link().runs_by_key))
        self.endpoint.silent = True
        self.assertTrue(eventually(lambda: not self.link().reachable))
        moved = TroubledEndpoint()
        for task, number in late:
            moved.run(task, number)
        self.pool.endpoints["e1"] = moved
        self.pool.register(replace(an_endpoint("e1"), address="10.0.0.9:9", started_ms=2))
        self.assertTrue(eventually(lambda: not moved.running, STOPPED_WITHIN_S))

    def polls_after(self, count: int) -> list[tuple[bool, int]]:
        return self.endpoint.answered_polls[count:]


class UnreadableRecordTest(TestCase):
    """A pool with two jobs, of which the next owner can read one record only."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint("e1"))
        self.endpoint = self.pool.endpoints["e1"]
        first = self.pool.take_over()
        self.job, self.other = a_job("a", a_step(2)), a_job("b", a_step(1))
        for each in (self.job, self.other):
            self.pool.submit(first, each)
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 3))
        first.close()

    def store_record(self, value: bytes) -> None:
        self.pool.kv.put(progress_key(self.pool.pool, self.other.id), value)

    def cancel(self, job: Job) -> None:
        self.pool.kv.put(cancellation_key(self.pool.pool, job.id), b"{}")

    def test_what_runs_of_a_cancelled_job_is_stopped_though_another_record_is_odd(self) -> None:
        """Guards against tasks of a cancelled job that run on, since their new owner renews their
        lease while it fails to load the pool, again and again."""
        self.store_record(b'{"state": "of a later version"}')
        self.cancel(self.job)
        second = self.pool.take_over()
        stopped = eventually(lambda: len(self.endpoint.stops) >= 2, STOPPED_WITHIN_S)
        self.assertTrue(
            stopped, f"{self.endpoint.renewals.count(second.token)} renewals by the owner"
        )

    def test_no_task_of_a_job_with_an_odd_record_begins(self) -> None:
        """Guards against a task that begins again after it was done: its record can't be read."""
        for value in (b"\xff", UNKNOWN_STEP):
            self.store_record(value)
            self.endpoint.running.clear()
            self.endpoint.starts.clear()
            owner = self.pool.take_over()
            new = a_job("c", a_step(1))
            self.pool.submit(owner, new)
            self.assertTrue(eventually(lambda job=new: self.has_started(job)))
            self.assertFalse(self.has_started(self.other))
            owner.close()
            self.pool.kv.items_by_key.pop(job_key(self.pool.pool, new.id))

    def has_started(self, job: Job) -> bool:
        return any(task.job == job.id for task, _ in list(self.endpoint.starts))

    def test_a_job_with_an_odd_record_can_be_cancelled(self) -> None:
        """Guards against a job that nobody can end."""
        self.store_record(b"\xff")
        self.cancel(self.other)
        owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 2))
        self.assertTrue(eventually(lambda: state_of(owner, self.other.id) is JobState.CANCELLED))
