"""What a new owner of a pool does with what the former one left."""

import time

import msgspec
from testtools import TestCase

from lentilrill.execution import EndKind
from lentilrill.ids import QueueId, Revision
from lentilrill.inner import ReleaseState
from lentilrill.workloads import JobProgress, JobState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually


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
        """A student's worksheet was embossed twice.

        The owner of a pool died; a task of its ran on. The next owner looked at the endpoint
        before its first round. The job had no steps open yet, so the run was not recognised,
        and the round started the task a second time.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e1"].token == second.token))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: second.state_of(self.job.id) is JobState.COMPLETED))
        self.assertEqual(2, len(self.pool.starts()))

    def test_an_endpoint_that_vanished_is_waited_for(self) -> None:
        """A jar order ran twice, in two zones.

        A zone was cut off with the owner in it. The next owner waited for the zone's endpoints;
        then their entries in the store ran out, it forgot them, and started their tasks
        elsewhere, while the former owner's leases still ran.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        self.pool.endpoints["e1"].silent = True
        self.pool.entries.clear()
        self.pool.register(an_endpoint("e2"))
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e2"].looks > 0))
        # Longer than an endpoint may be silent before it is forgotten.
        time.sleep(2.5)
        self.assertEqual([], self.pool.endpoints["e2"].starts)
        self.assertEqual(JobState.QUEUED, second.state_of(self.job.id))

    def test_new_jobs_do_not_wait_for_what_is_out_of_sight(self) -> None:
        """After a zone was cut off, every job of its pools stood still for seconds.

        Only jobs that the former owner knew of can run on an endpoint out of sight; a job
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
        second.take_job(*self.accept())
        self.assertTrue(eventually(lambda: len(self.pool.endpoints["e2"].starts) == 2))
        self.assertEqual({self.job.id}, {t.job for t, _ in self.pool.endpoints["e2"].starts})

    def test_a_host_is_not_released_by_an_owner_that_has_not_looked(self) -> None:
        """A textbook volume lost two of its tasks at once during a wave of upkeep.

        The store was slow. An owner had claimed the pool and not yet read what runs where; asked
        to empty an endpoint, it knew of no run there and gave the host away.
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

    def test_no_host_is_released_between_reading_jobs_and_looking(self) -> None:
        """The same loss, from a window of microseconds.

        The owner had read its jobs and not yet noted which endpoints it must look at first; asked
        just then, it knew no such endpoint and gave the host away.
        """
        self.accept()
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        second = self.pool.new_owner()
        told = []
        load = second._jobs.load

        def load_and_ask() -> bool:
            done = load()
            told.append(second.release(an_endpoint("e1").id, cancel=False)[0])
            return done

        second._jobs.load = load_and_ask
        second.start()
        self.assertTrue(eventually(lambda: bool(told)))
        self.assertEqual(ReleaseState.WAIT, told[0])

    def test_an_owner_that_has_not_loaded_tells_no_pressure(self) -> None:
        """A queue was said to be empty while six route plans had waited in it for five seconds.

        Its pool had a new owner, which had not read yet what the former one stored, and told all
        hosts that nothing waits.
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

    def test_a_failure_that_is_told_again_counts_once(self) -> None:
        """A route plan was told to have failed although its task had failed once of two times.

        The owner had stored the failure and handed the pool over before it could acknowledge
        the end, so the endpoint told the next owner of the same end again.
        """
        self.job = a_job("a", a_step(1))
        self.accept()
        endpoint = self.pool.endpoints["e1"]
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        [(task, number)] = self.pool.starts()
        endpoint.deaf = True
        endpoint.end(task, number, EndKind.FAILED)
        key = f"p/notices/{self.job.id}"
        self.assertTrue(eventually(lambda: b"failed" in self.stored(key)))
        first.close()
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) >= 2))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: second.state_of(self.job.id) is JobState.COMPLETED))

    def stored(self, key: str) -> bytes:
        item = self.pool.kv.items_by_key.get(key)
        return item.value or b"" if item is not None else b""

    def test_a_newer_owner_is_yielded_to(self) -> None:
        """Two owners of one pool gave orders at the same time.

        The former one was frozen over the end of its lease. On waking its next look is refused,
        since the new one has looked there with a higher token, and it stops for good.
        """
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e1"].looks > 0))
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
        self.owner.take_job(value, self.pool.kv.put(f"in/notices/j/{self.job.id}", value))

    def test_completed_is_shown_only_once_stored(self) -> None:
        """A clerk saw a notice run as completed; an hour later it was embossed again.

        Its owner had shown the end from memory and died before it was stored; the endpoint
        that knew of the end was gone too, and the next owner ran the job anew.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.kv.down = True
        self.pool.finish_all()
        endpoint = self.pool.endpoints["e1"]
        looked = endpoint.looks
        self.assertTrue(eventually(lambda: endpoint.looks > looked + 3))
        self.assertEqual(JobState.RUNNING, self.owner.state_of(self.job.id))
        self.pool.kv.down = False
        self.assertTrue(eventually(lambda: self.owner.state_of(self.job.id) is JobState.COMPLETED))

    def test_ends_are_acknowledged_only_once_stored(self) -> None:
        """A ballot was embossed a second time after its pool's owner had died.

        The owner had acknowledged the end, so the endpoint forgot it, but its own note of it was
        not in the store yet. So ends stay unacknowledged while the store does not take them.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.kv.down = True
        self.pool.finish_all()
        endpoint = self.pool.endpoints["e1"]
        looked = endpoint.looks
        self.assertTrue(eventually(lambda: endpoint.looks > looked + 3))
        self.assertEqual(0, endpoint.acknowledged)
        self.pool.kv.down = False
        self.assertTrue(eventually(lambda: endpoint.acknowledged > 0))

    def test_a_lost_commit_is_found_out(self) -> None:
        """After one lost answer of the store nothing of a pool was stored any more.

        The commit had taken effect, so its records had newer revisions than the owner knew, and
        the conditions of all later commits failed.
        """
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.pool.kv.lose_answers = 1
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: self.owner.state_of(self.job.id) is JobState.COMPLETED))

    def test_cancelled_jobs_are_stopped(self) -> None:
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        self.owner.cancel(self.job.id)
        self.assertTrue(eventually(lambda: bool(self.pool.endpoints["e1"].stops)))
        self.assertEqual(JobState.CANCELLED, self.owner.state_of(self.job.id))


class RetentionTest(TestCase):
    def test_records_of_jobs_that_ended_long_ago_are_removed(self) -> None:
        """After a week every take-over read a hundred thousand finished jobs, and took minutes."""
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        old, fresh = a_job("a"), a_job("b")
        now_ms = int(time.time() * 1000)
        for job, ended_ms in ((old, now_ms - 200_000), (fresh, now_ms)):
            pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
            progress = JobProgress(JobState.COMPLETED, ended_ms)
            pool.kv.put(f"p/notices/{job.id}", msgspec.json.encode(progress))
        owner = pool.take_over()
        self.assertTrue(eventually(lambda: f"in/notices/j/{old.id}" not in pool.kv.items_by_key))
        self.assertNotIn(f"p/notices/{old.id}", pool.kv.items_by_key)
        self.assertIn(f"p/notices/{fresh.id}", pool.kv.items_by_key)
        self.assertIs(JobState.COMPLETED, owner.state_of(fresh.id))
        self.assertTrue(eventually(lambda: owner.state_of(old.id) is None))
