"""Take-over of a pool by a new owner, and storing of progress."""

import time
from typing import Any
from unittest import mock

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result
from testtools import TestCase

from lentilrill.execution import EndKind, OrderAnswer, PoolOwner, Verdict, _jobs, claim_of
from lentilrill.execution._allowances import ALLOWANCE_PREFIX
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import QueueId, Revision
from lentilrill.inner import ReleaseState
from lentilrill.store import Follower, Item, Priority, RangeAnswer
from lentilrill.workloads import Job, JobProgress, JobState, Workspaces, progress_key
from tests.builders import a_configuration, a_job, a_step, an_endpoint, some_workspaces
from tests.execution.fakes import OwnedPool, eventually, state_of
from tests.fakes import SLOW_CALL_S, refuse, slow_down

FAILED_READS = 2


class TakeOverTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint("e1"))
        self.job = a_job()

    def accept(self) -> tuple[bytes, Revision]:
        """Store the job as an accepting host does."""
        value = msgspec.msgpack.encode(self.job)
        return value, self.pool.kv.put(f"in/notices/j/{self.job.id}", value)

    def test_runs_are_adopted_before_the_first_round(self) -> None:
        """Guards against a task that is started twice after a take-over.

        A pool's owner crashed while its task ran on. The next owner polled the endpoint before its
        first round, when the job had no open steps yet, so the run was not recognised and the
        round started the task again.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e1"].token == second.token))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(second, self.job.id) is JobState.COMPLETED))
        self.assertEqual(2, len(self.pool.starts()))

    def test_the_next_owner_stops_what_runs_of_a_cancelled_job(self) -> None:
        """A task of a cancelled job ran on for good after its owner was lost before the stop."""
        self.accept()
        endpoint = self.pool.endpoints["e1"]
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(endpoint.running) == 2))
        unanswered = mock.patch.object(endpoint, "stop", return_value=OrderAnswer(Verdict.UNKNOWN))
        with unanswered:
            first.cancel(self.job.id)
            self.assertTrue(eventually(lambda: self.stored_state() is JobState.CANCELLED))
            first.close()
        self.pool.take_over()
        self.assertTrue(eventually(lambda: not endpoint.running))

    def stored_state(self) -> JobState | None:
        """Return the state of the job in its progress record."""
        key = progress_key(self.pool.pool, self.job.id)
        items = self.pool.kv.read(key).unwrap().items
        return msgspec.json.decode(items[0].value, type=JobProgress).state if items else None

    def test_runs_found_while_allowances_cannot_be_read_are_kept(self) -> None:
        """A task was started a second time after the store failed in the middle of a take-over."""
        self.accept()
        self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.close()
        endpoint, kv = self.pool.endpoints["e1"], self.pool.kv
        workspaces = Workspaces({}, {})
        self.pool.configuration = replace(self.pool.configuration, workspaces=workspaces)
        read, failing_until = kv.read, time.monotonic() + 1.0

        def failing_read(prefix: str, *args: Any) -> Any:
            if prefix == "a/" and time.monotonic() < failing_until:
                return refuse(lambda: read(prefix, *args))
            return read(prefix, *args)

        kv.read = failing_read  # type: ignore[method-assign]
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: second.may_order() and not second._links.unpolled))
        self.assertTrue(eventually(lambda: time.monotonic() > failing_until + 1.0))
        self.assertEqual(second.token, endpoint.token)
        self.assertEqual(2, len(self.pool.starts()))

    def test_the_owner_waits_for_an_unregistered_endpoint(self) -> None:
        """Guards against a task that runs in two zones after a zone was partitioned.

        The partitioned zone contained the owner. The next owner waited for the zone's endpoints
        until their entries in the store expired. Then it dropped them and started their tasks
        elsewhere, while the previous owner's leases were still valid.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        self.pool.endpoints["e1"].silent = True
        self.pool.entries.clear()
        self.pool.register(an_endpoint("e2"))
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e2"].polls > 0))
        # Longer than the silence after which the link to an unregistered endpoint is closed.
        time.sleep(2.5)
        self.assertEqual([], self.pool.endpoints["e2"].starts)
        self.assertEqual(JobState.QUEUED, state_of(second, self.job.id))

    def test_new_jobs_do_not_wait_for_unpolled_endpoints(self) -> None:
        """Guards against new jobs that wait for seconds after a zone was partitioned.

        Only jobs of the previous owner can run on an endpoint that has not been polled yet; a job
        that is accepted later can't, and starts at once.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        self.pool.endpoints["e1"].silent = True
        self.pool.register(an_endpoint("e2"))
        second = self.pool.take_over()
        self.job = a_job("b")
        second.add_job(*self.accept())
        self.assertTrue(eventually(lambda: len(self.pool.endpoints["e2"].starts) == 2))
        self.assertEqual({self.job.id}, {t.job for t, _ in self.pool.endpoints["e2"].starts})

    def test_a_surge_is_foreseen_from_jobs_accepted_before_the_take_over(self) -> None:
        """A pool got no hosts for 1.5 s after a take-over in a surge, as no arrival was known."""
        now_ms = int(time.time() * 1000)
        for name in "abcd":
            self.job = a_job(name, a_step(8), accepted_ms=now_ms)
            self.accept()
        owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.foresees_work(owner)))

    def foresees_work(self, owner: PoolOwner) -> bool:
        pressure = owner.pressure()
        return pressure is not None and pressure.need > pressure.firm

    def test_an_owner_releases_no_host_that_it_has_not_polled(self) -> None:
        """Guards against a job that loses two tasks at once during a wave of upkeep.

        The store was slow, and a new owner had claimed the pool without having loaded its runs.
        Asked to release an endpoint, it found no run there and gave the host away.
        """
        self.job = a_job("a", a_step(1, lasting=True, may_be_away=1))
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        first.close()
        self.pool.endpoints["e1"].silent = True
        second = self.pool.take_over()
        endpoint = an_endpoint("e1").id
        for _ in range(20):
            self.assertEqual(ReleaseState.WAIT, second.release(endpoint, cancel=False)[0])
            time.sleep(0.01)

    def test_no_host_is_released_between_loading_jobs_and_polling(self) -> None:
        """Guards against the same loss within a window of microseconds.

        The owner had loaded its jobs but not the list of endpoints to poll first. Asked at that
        moment, it did not find the endpoint and gave the host away.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        second = self.pool.new_owner()
        states = []
        load = second._jobs.load

        def load_and_release() -> bool:
            done = load()
            states.append(second.release(an_endpoint("e1").id, cancel=False)[0])
            return done

        second._jobs.load = load_and_release
        second.start()
        self.assertTrue(eventually(lambda: bool(states)))
        self.assertEqual(ReleaseState.WAIT, states[0])

    def test_an_owner_reports_no_pressure_before_it_has_loaded(self) -> None:
        """Guards against a queue reported as empty while six jobs waited in it for five seconds.

        A new owner that had not loaded the previous owner's records reported to all hosts that no
        job was waiting.
        """
        self.accept()
        self.pool.entries.clear()
        owner = self.pool.new_owner()
        self.assertIsNone(owner.pressure())
        owner.start()
        self.assertTrue(eventually(lambda: owner.pressure() is not None))
        pressure = owner.pressure()
        assert pressure is not None
        self.assertEqual({QueueId("proofs"): 1}, pressure.waiting_by_queue)

    def test_a_failure_that_is_reported_again_counts_once(self) -> None:
        """Guards against a job that fails although its task failed in one of two attempts.

        The owner stored the failure and handed the pool over before it could acknowledge the end,
        so the endpoint reported the same end to the next owner.
        """
        self.job = a_job("a", a_step(1))
        self.accept()
        endpoint = self.pool.endpoints["e1"]
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        [(task, number)] = self.pool.starts()
        endpoint.loses_acknowledgements = True
        endpoint.end(task, number, EndKind.FAILED)
        key = f"p/notices/{self.job.id}"
        self.assertTrue(eventually(lambda: b"failed" in self.stored(key)))
        first.close()
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) >= 2))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(second, self.job.id) is JobState.COMPLETED))

    def stored(self, key: str) -> bytes:
        item = self.pool.kv.items_by_key.get(key)
        return item.value or b"" if item is not None else b""

    def test_an_owner_stops_when_a_newer_owner_has_polled(self) -> None:
        """Guards against two owners of one pool that give orders at the same time.

        The previous owner was suspended beyond the end of its lease. When it resumes, its next poll
        is refused, since the new owner has polled with a higher token, and it stops for good.
        """
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e1"].polls > 0))
        self.pool.take_over()
        self.assertTrue(eventually(lambda: bool(self.pool.refusals)))
        first.close()
        self.assertFalse(first.may_order())


class ProgressTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint("e1"))
        self.job = a_job("a", a_step(1), a_step(1, after=(0,)))
        self.owner = self.pool.take_over()
        value = msgspec.msgpack.encode(self.job)
        self.owner.add_job(value, self.pool.kv.put(f"in/notices/j/{self.job.id}", value))

    def test_completed_is_shown_only_once_stored(self) -> None:
        """Guards against a job that is shown as completed and then run again.

        Its owner had shown the end from memory and crashed before storing it. The endpoint that
        had reported the end was lost too, so the next owner ran the job again.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.kv.down = True
        self.pool.finish_all()
        endpoint = self.pool.endpoints["e1"]
        polls_before = endpoint.polls
        self.assertTrue(eventually(lambda: endpoint.polls > polls_before + 3))
        self.assertEqual(JobState.RUNNING, state_of(self.owner, self.job.id))
        self.pool.kv.down = False
        self.assertTrue(eventually(lambda: state_of(self.owner, self.job.id) is JobState.COMPLETED))

    def test_ends_are_acknowledged_only_once_stored(self) -> None:
        """Guards against a task that is run again after its owner crashed.

        The owner had acknowledged the end, so the endpoint removed it, but had not stored it yet.
        Therefore ends stay unacknowledged while the store does not accept them.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.kv.down = True
        self.pool.finish_all()
        endpoint = self.pool.endpoints["e1"]
        polls_before = endpoint.polls
        self.assertTrue(eventually(lambda: endpoint.polls > polls_before + 3))
        self.assertEqual(0, endpoint.acknowledged)
        self.pool.kv.down = False
        self.assertTrue(eventually(lambda: endpoint.acknowledged > 0))

    def test_no_host_is_released_before_its_ends_are_stored(self) -> None:
        """Guards against a task that is run again after it was done.

        The host was given away while the store was down, and its endpoint ended. The owner lost the
        pool before it could store the end, which nobody listed any more.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.kv.down = True
        self.pool.finish_all()
        endpoint = self.pool.endpoints["e1"]
        polls_before = endpoint.polls
        self.assertTrue(eventually(lambda: endpoint.polls > polls_before + 3))
        self.assertEqual(ReleaseState.WAIT, self.release())
        self.pool.kv.down = False
        self.assertTrue(eventually(lambda: self.release() == ReleaseState.FREE))
        record = self.pool.kv.items_by_key[f"p/notices/{self.job.id}"]
        self.assertIn(b"completed", record.value or b"")

    def test_ends_that_a_release_waits_for_are_stored_at_once(self) -> None:
        """Guards against hosts that are needed elsewhere and wait for the interval of commits."""
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.assertEqual(ReleaseState.WAIT, self.release())
        with mock.patch.object(self.owner._writer, "schedule") as schedule:
            self.pool.finish_all()
            self.assertTrue(eventually(lambda: mock.call(urgent=True) in schedule.mock_calls))

    def release(self) -> str:
        return self.owner.release(an_endpoint("e1").id, cancel=False)[0]

    def test_a_lost_answer_to_a_commit_is_resolved(self) -> None:
        """Guards against an owner that can store nothing more after one lost answer of the store.

        The commit had taken effect, so its records had newer revisions than the owner expected,
        and the compares of all later commits failed.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.kv.lose_answers = 1
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: state_of(self.owner, self.job.id) is JobState.COMPLETED))

    def test_cancelled_jobs_are_stopped(self) -> None:
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.owner.cancel(self.job.id)
        self.assertTrue(eventually(lambda: bool(self.pool.endpoints["e1"].stops)))
        self.assertEqual(JobState.CANCELLED, state_of(self.owner, self.job.id))


class PartlyReadTest(TestCase):
    """A new owner that can't read the allowances at first."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.endpoint = self.pool.endpoints["e1"]
        self.pool.configuration = replace(
            a_configuration(), workspaces=some_workspaces(schools="s0")
        )
        self.pool.register(an_endpoint("e1"))
        self.job = a_job()
        self.pool.kv.put(f"in/notices/j/{self.job.id}", msgspec.msgpack.encode(self.job))
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()

    def take_over(self) -> PoolOwner:
        """Start an owner that reads the allowances only after several polls and reads."""
        read = self.pool.kv.read
        failed = []

        def read_or_fail(
            prefix: str, priority: Priority = Priority.FIRST
        ) -> Result[RangeAnswer, Fault]:
            if prefix == ALLOWANCE_PREFIX and len(failed) < FAILED_READS:
                polls = self.endpoint.polls
                self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 1))
                failed.append(prefix)
                return Failure(Fault("read", "fake", FaultKind.UNAVAILABLE, "status 503"))
            return read(prefix, priority)

        self.pool.kv.read = read_or_fail
        return self.pool.take_over()

    def test_an_end_that_is_reported_while_records_are_read_again_counts(self) -> None:
        """Guards against a task that is run again after it was done.

        The new owner had read the jobs and processed their ends. It could not read the allowances,
        read everything again and started the tasks of which no record told that they were done.
        """
        self.pool.finish_all()
        self.check_completed(self.take_over())

    def test_a_run_that_is_reported_while_records_are_read_again_counts(self) -> None:
        """Guards against a task that runs twice at once after the same partial read."""
        owner = self.take_over()
        self.assertTrue(eventually(lambda: owner.pressure() is not None))
        polls = self.endpoint.polls
        self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 3))
        self.pool.finish_all()
        self.check_completed(owner)

    def check_completed(self, owner: PoolOwner) -> None:
        """Check that the job is completed without another start."""
        is_completed = lambda: state_of(owner, self.job.id) is JobState.COMPLETED  # noqa: E731
        self.assertTrue(eventually(lambda: is_completed() or len(self.pool.starts()) > 2))
        self.assertEqual(2, len(self.pool.starts()))


class RetentionTest(TestCase):
    def test_records_of_jobs_that_ended_long_ago_are_removed(self) -> None:
        """Guards against take-overs that take minutes.

        After a week each of them read a hundred thousand finished jobs.
        """
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        old, fresh = a_job("a"), a_job("b")
        now_ms = int(time.time() * 1000)
        for job, ended_ms in ((old, now_ms - 200_000), (fresh, now_ms)):
            pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
            progress = JobProgress(JobState.COMPLETED, ended_ms)
            pool.kv.put(f"p/notices/{job.id}", msgspec.json.encode(progress))
            pool.kv.put(f"c/{job.id}", claim_of(job).value)
        owner = pool.take_over()
        self.assertTrue(eventually(lambda: f"in/notices/j/{old.id}" not in pool.kv.items_by_key))
        self.assertNotIn(f"p/notices/{old.id}", pool.kv.items_by_key)
        self.assertNotIn(f"c/{old.id}", pool.kv.items_by_key)
        self.assertIn(f"c/{fresh.id}", pool.kv.items_by_key)
        self.assertIn(f"p/notices/{fresh.id}", pool.kv.items_by_key)
        self.assertIs(JobState.COMPLETED, state_of(owner, fresh.id))
        self.assertTrue(eventually(lambda: state_of(owner, old.id) is None))

    def test_removals_keep_up_with_the_jobs_that_end(self) -> None:
        """Guards against records that grow without end in a pool that ends many jobs a second."""
        self.patch(_jobs, "REMOVAL_INTERVAL_S", 0.0)
        self.patch(_jobs, "FULL_REMOVAL_INTERVAL_S", 0.0)
        self.patch(_jobs, "pause_after_call", lambda call_s: 0.0)
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        now_ms = int(time.time() * 1000)
        for name in "0123456789abcdef":
            job = a_job(name)
            pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
            progress = JobProgress(JobState.COMPLETED, now_ms - 200_000)
            pool.kv.put(f"p/notices/{job.id}", msgspec.json.encode(progress))
        jobs = pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        self.patch(_jobs, "REMOVAL_INTERVAL_S", 60.0)
        for _ in range(4):
            jobs.remove_expired(now_ms)
        self.assertEqual({}, jobs.by_id)
        self.assertEqual(3, pool.kv.calls["commit"])

    def test_removals_leave_the_rounds_their_time_while_the_store_is_slow(self) -> None:
        """Guards against late rounds: each removal is a call of the thread that plans."""
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        now_ms = int(time.time() * 1000)
        for name in "0123456789abcdef":
            job = a_job(name)
            pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
            progress = JobProgress(JobState.COMPLETED, now_ms - 200_000)
            pool.kv.put(f"p/notices/{job.id}", msgspec.json.encode(progress))
        jobs = pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        jobs._removal_due_at = 0.0
        pool.kv.commits.append(slow_down)
        jobs.remove_expired(now_ms)
        left_s = jobs._removal_due_at - time.monotonic()
        self.assertGreater(left_s, 10 * SLOW_CALL_S)


class BlindOwnerTest(TestCase):
    def test_an_owner_that_reads_no_jobs_shows_no_count(self) -> None:
        """Guards against a queue that is shown as empty while jobs wait that its owner missed."""
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        owner = pool.take_over()
        self.assertTrue(eventually(lambda: owner.pressure() is not None))
        pressure = owner.pressure()
        assert pressure is not None
        self.assertEqual({}, pressure.waiting_by_queue)
        with mock.patch.object(Follower, "failing_s", 5.0):
            pressure = owner.pressure()
        assert pressure is not None
        self.assertIsNone(pressure.waiting_by_queue)


class NeverStartedTest(TestCase):
    """A new owner of a pool whose former endpoint can't be reached."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.pool.records_since = Revision(0)
        self.pool.register(an_endpoint("e1"))
        self.first = self.pool.take_over()
        self.assertTrue(eventually(lambda: bool(self.pool.endpoints["e1"].polls)))

    def add(self, owner: PoolOwner, name: str) -> Job:
        job = a_job(name, a_step(1))
        value = msgspec.msgpack.encode(job)
        owner.add_job(value, Revision(self.pool.kv.put(f"in/notices/j/{job.id}", value)))
        return job

    def replace_owner(self) -> PoolOwner:
        """Lose the owner and its endpoint, and start another owner with another endpoint."""
        self.pool.endpoints["e1"].silent = True
        self.first.close()
        self.pool.register(an_endpoint("e2"))
        return self.pool.take_over()

    def test_a_job_that_was_never_started_does_not_wait_for_lost_endpoints(self) -> None:
        """Guards against seconds of standstill for the queue of a pool whose owner was lost."""
        self.pool.endpoints["e1"].silent = True
        started = self.add(self.first, "a")
        self.assertTrue(eventually(lambda: f"p/notices/{started.id}" in self.pool.kv.items_by_key))
        job = a_job("b", a_step(1))
        self.pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
        self.replace_owner()
        tasks = lambda: {task.job for task, _ in self.pool.endpoints["e2"].starts}  # noqa: E731
        self.assertTrue(eventually(lambda: job.id in tasks()))
        self.assertNotIn(started.id, tasks())

    def test_a_job_of_an_owner_that_stores_no_records_waits(self) -> None:
        """Guards against a task that runs twice while hosts of two versions own pools in turn."""
        for since in (None, Revision(10**9)):
            self.pool.records_since = since
            job = a_job("bc"[since is None], a_step(1))
            self.pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
            owner = self.replace_owner()
            fresh = self.add(owner, "de"[since is None])
            e2 = self.pool.endpoints["e2"]
            self.assertTrue(eventually(lambda j=fresh, e=e2: j.id in {t.job for t, _ in e.starts}))
            self.assertNotIn(job.id, {task.job for task, _ in e2.starts})
            owner.close()

    def test_no_task_starts_before_its_record_is_stored(self) -> None:
        """Guards against a run that the next owner takes for one that never started."""
        early: list[str] = []

        def check(before: dict[str, Item]) -> None:
            stored = {key.rpartition("/")[2] for key in before if key.startswith("p/notices/")}
            early.extend(t.job for t, _ in self.pool.starts() if t.job not in stored)

        self.pool.kv.observer = check
        jobs = [self.add(self.first, name) for name in "abcd"]
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == len(jobs)))
        self.pool.kv.put("end", b"")
        self.assertEqual([], early)
