"""Claims on the ids of jobs that entry hosts of an earlier version accepted."""

import time

import msgspec
from testtools import TestCase

from lentilrill.execution import _claims, claim_of, decode_claim
from lentilrill.execution._claims import MAX_CLAIMS_PER_COMMIT
from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.telemetry import Event
from lentilrill.workloads import NO_POOL, Job, JobClaim, JobProgress, JobState, claim_key, job_key
from tests.builders import a_job
from tests.execution.fakes import OwnedPool, eventually, state_of
from tests.fakes import CallWrapper, lose_answer, refuse, slow_down

POOL, OTHER_POOL = PoolId("notices"), PoolId("ballots")


class ClaimTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.kv = self.pool.kv
        self.old = a_job("a", has_claim=False)

    def accept(self, job: Job) -> None:
        self.kv.put(job_key(POOL, job.id), msgspec.msgpack.encode(job))

    def claim_on(self, job: Job) -> JobClaim | None:
        item = self.kv.items_by_key.get(claim_key(job.id))
        return decode_claim(item.value) if item is not None and item.value is not None else None

    def has_claim(self, job: Job) -> bool:
        return eventually(lambda: self.claim_on(job) == JobClaim(POOL))

    def test_a_new_owner_stores_missing_claims(self) -> None:
        """Guards against a second job if a queue changes its pool after an upgrade."""
        jobs = [a_job(chr(ord("a") + n), has_claim=False) for n in range(MAX_CLAIMS_PER_COMMIT + 3)]
        for job in jobs:
            self.accept(job)
        self.pool.take_over()
        for job in jobs:
            self.assertTrue(self.has_claim(job))

    def test_a_job_that_a_host_of_the_earlier_version_accepts_later(self) -> None:
        """Guards against a second job while hosts of two versions accept jobs."""
        owner = self.pool.take_over()
        self.pool.submit(owner, self.old)
        self.assertTrue(self.has_claim(self.old))

    def test_a_claim_that_was_refused_is_stored_later(self) -> None:
        """Guards against a claim that is never stored, or tried again in every round."""
        self.check_retry(refuse)

    def test_a_claim_whose_answer_was_lost_is_stored(self) -> None:
        """Guards against taking a claim of this pool for that of another job."""
        self.check_retry(lose_answer)

    def check_retry(self, fail: CallWrapper) -> None:
        self.patch(_claims, "RETRY_S", 0.2)
        self.accept(self.old)
        jobs = self.pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        self.kv.commits.append(fail)
        for _ in range(3):
            jobs.store_claims()
        self.assertEqual(1, self.kv.calls["commit"])
        time.sleep(0.2)
        for _ in range(2):
            jobs.store_claims()
        self.assertEqual(JobClaim(POOL), self.claim_on(self.old))
        self.assertEqual(2, self.kv.calls["commit"])

    def test_claims_leave_the_rounds_their_time_while_the_store_is_slow(self) -> None:
        """Guards against late rounds after an upgrade: each call is one of the planning thread."""
        for number in range(2 * MAX_CLAIMS_PER_COMMIT):
            self.accept(msgspec.structs.replace(self.old, id=JobId(f"{number:016x}")))
        jobs = self.pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        self.kv.commits.append(slow_down)
        for _ in range(3):
            jobs.store_claims()
        self.assertEqual(1, self.kv.calls["commit"])

    def test_jobs_with_a_claim_cost_no_call(self) -> None:
        """Guards against a call to the store for each job at a take-over."""
        for name in "bcd":
            self.accept(a_job(name))
        jobs = self.pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        jobs.store_claims()
        self.assertEqual(0, self.kv.calls["commit"])

    def test_a_claim_of_another_pool_is_reported_and_kept(self) -> None:
        """Guards against a removed claim of a job that another pool still runs."""
        other = claim_of(msgspec.structs.replace(self.old, pool=OTHER_POOL))
        self.kv.put(other.key, other.value)
        self.accept(self.old)
        ended = JobProgress(JobState.COMPLETED, int(time.time() * 1000) - 200_000)
        self.kv.put(f"p/{POOL}/{self.old.id}", msgspec.json.encode(ended))
        events: list[Event] = []
        self.patch(_claims, "log", lambda event, **fields: events.append(event))
        self.pool.take_over()
        self.assertTrue(eventually(lambda: job_key(POOL, self.old.id) not in self.kv.items_by_key))
        self.assertEqual(JobClaim(OTHER_POOL), self.claim_on(self.old))
        self.assertEqual([Event.JOB_ACCEPTED_TWICE], events)

    def test_a_claim_of_another_pool_is_kept_while_the_store_refuses_claims(self) -> None:
        """Guards against a removed claim of a job that another pool still runs: a new owner, which
        hadn't learned yet whose claim it is, removed it together with its own job."""
        other = claim_of(msgspec.structs.replace(self.old, pool=OTHER_POOL))
        self.kv.put(other.key, other.value)
        self.accept(self.old)
        now_ms = int(time.time() * 1000)
        ended = JobProgress(JobState.COMPLETED, now_ms - 200_000)
        self.kv.put(f"p/{POOL}/{self.old.id}", msgspec.json.encode(ended))
        self.patch(_claims, "RETRY_S", 0.0)
        jobs = self.pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        self.kv.commits.append(refuse)

        def is_removed() -> bool:
            jobs.store_claims()
            jobs._removal_due_at = 0.0
            jobs.remove_expired(now_ms)
            return job_key(POOL, self.old.id) not in self.kv.items_by_key

        self.assertTrue(eventually(is_removed))
        self.assertEqual(JobClaim(OTHER_POOL), self.claim_on(self.old))

    def test_a_job_that_was_cancelled_at_a_host_which_did_not_find_it(self) -> None:
        """Guards against a job that runs after its cancel, since it had no claim to be found by."""
        mark = JobClaim(NO_POOL, is_cancelled=True)
        self.kv.put(claim_key(self.old.id), msgspec.msgpack.encode(mark))
        self.accept(self.old)
        owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: state_of(owner, self.old.id) is JobState.CANCELLED))
        self.assertEqual(mark, self.claim_on(self.old))

    def test_a_cancel_by_another_workspace_leaves_the_job(self) -> None:
        """Guards against a caller that cancels another workspace's job by its id."""
        mark = JobClaim(NO_POOL, WorkspaceId("library"), is_cancelled=True)
        self.kv.put(claim_key(self.old.id), msgspec.msgpack.encode(mark))
        self.accept(self.old)
        jobs = self.pool.new_owner()._jobs
        self.assertTrue(jobs.load())
        jobs.store_claims()
        view = jobs.find(self.old.id)
        assert view is not None
        self.assertIs(JobState.QUEUED, view.state)
