"""Cancels of jobs that the store doesn't have, and whose write may still be carried out."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from unittest import mock

import msgspec
from msgspec.structs import replace
from returns.result import Result

from lentilrill.execution import claim_of, decode_claim
from lentilrill.faults import FaultKind
from lentilrill.ids import NO_WORKSPACE, JobId, LeaseId, PoolId, WorkspaceId
from lentilrill.inner import JobAccepted
from lentilrill.intake import Intake, _cancel_marks
from lentilrill.intake._cancel_marks import (
    LEASE_RETRY_S,
    LEASE_TTL_S,
    MARK_BURST,
    CancelMarks,
    MarkResult,
)
from lentilrill.store import Put
from lentilrill.telemetry import Event
from lentilrill.workloads import (
    Job,
    JobAnswer,
    JobClaim,
    JobState,
    cancellation_key,
    claim_key,
    job_key,
)
from tests.builders import a_job, an_owner_record
from tests.execution.fakes import eventually
from tests.fakes import LateWrites, lose_answer, lose_request, refuse
from tests.intake.fakes import NEW_POOL, NEW_QUEUE, POOL, QUEUE, IntakeCase

SCHOOLS, LIBRARY = WorkspaceId("schools"), WorkspaceId("library")
ATTEMPTS = 3
"""Maximum number of times that one create is sent."""


class _EarlierClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim as hosts of the earlier version decode it."""

    pool: PoolId
    workspace: WorkspaceId = NO_WORKSPACE


class CancelCase(IntakeCase):
    """Two entry hosts, the first of which writes a job whose write is carried out late."""

    def setUp(self) -> None:
        super().setUp()
        self.late_writes = LateWrites()
        self.other = self.new_intake()

    def submit_late(self, job: Job | None = None) -> None:
        """Submit a job at the first host; all answers to its write are lost."""
        self.kv.commits.extend([self.late_writes.hold] * ATTEMPTS)
        answer, _ = self.intake.submit(job or self.job)
        self.assertIs(JobAnswer.UNKNOWN, answer)
        self.kv.commits.clear()

    def cancel(
        self, workspace: WorkspaceId = NO_WORKSPACE, host: Intake | None = None
    ) -> JobAnswer:
        return (host or self.other).cancel(QUEUE, workspace, self.job.id)

    def is_stored(self, job: Job | None = None) -> bool:
        job = job or self.job
        return job_key(job.pool, job.id) in self.kv.items_by_key

    def state(self, host: Intake | None = None) -> tuple[JobAnswer, JobState | None]:
        return (host or self.other).get_state(QUEUE, NO_WORKSPACE, self.job.id)[:2]

    def claim(self) -> JobClaim | None:
        item = self.kv.items_by_key.get(claim_key(self.job.id))
        return decode_claim(item.value) if item is not None and item.value is not None else None


class LateWritesTest(CancelCase):
    def assert_never_stored(self) -> None:
        self.late_writes.carry_out()
        self.assertFalse(self.is_stored())
        self.assertEqual((JobAnswer.ABSENT, None), self.state())

    def test_a_write_that_is_carried_out_after_the_cancel(self) -> None:
        """Guards against a job that starts seconds after its cancelling was acknowledged."""
        self.submit_late()
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        self.assert_never_stored()

    def test_a_cancel_before_the_first_host_has_given_up(self) -> None:
        """Guards against a cancel that relies on a report which is yet to be sent."""
        self.kv.commits.extend([self.late_writes.hold])
        release = Future[None]()

        def answer_late(call: Callable[[], Result]) -> Result:
            release.result()
            return call()

        self.kv.commits.append(answer_late)
        with ThreadPoolExecutor(1) as caller:
            submitted = caller.submit(self.intake.submit, self.job)
            self.assertTrue(eventually(lambda: bool(self.late_writes.held) and not self.kv.commits))
            self.assertIs(JobAnswer.ABSENT, self.cancel())
            release.set_result(None)
            answer, _ = submitted.result()
        self.late_writes.carry_out()
        self.assertFalse(self.is_stored())
        self.assertIn(answer, (JobAnswer.ACCEPTED, JobAnswer.UNKNOWN))

    def test_a_report_that_is_lost(self) -> None:
        """Guards against a cancel that relies on a report; the first host is killed here."""
        self.submit_late()
        self.intake.close()
        self.peers.sent.clear()
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        self.assert_never_stored()

    def test_a_host_that_began_after_the_report(self) -> None:
        """Guards against a cancel that relies on what a host remembers of jobs in doubt."""
        self.submit_late()
        self.assertIs(JobAnswer.ABSENT, self.cancel(host=self.new_intake()))
        self.assert_never_stored()

    def test_a_queue_that_was_sent_to_another_service_meanwhile(self) -> None:
        """Guards against a write and a cancel that look in different pools."""
        self.submit_late()
        answer = self.other.cancel(NEW_QUEUE, NO_WORKSPACE, self.job.id)
        self.assertIs(JobAnswer.ABSENT, answer)
        self.assert_never_stored()

    def test_a_write_that_is_carried_out_during_the_cancel(self) -> None:
        """Guards against a job that runs though the cancel found nothing a moment before."""
        self.submit_late()
        self.kv.before_commit = self.late_writes.carry_out
        self.assertIs(JobAnswer.ACCEPTED, self.cancel())
        self.assertIn(cancellation_key(POOL, self.job.id), self.kv.items_by_key)
        self.assertEqual((JobAnswer.ACCEPTED, JobState.CANCELLED), self.state())

    def test_a_cancel_while_the_store_is_out_of_reach(self) -> None:
        """Guards against an acknowledgement by a host that can't read whether there is a job."""
        self.submit_late()
        self.kv.down = True
        self.assertIs(JobAnswer.UNAVAILABLE, self.cancel())

    def test_a_mark_that_cannot_be_written(self) -> None:
        """Guards against an acknowledgement that nothing in the store keeps."""
        for wrapper, expected in (
            (refuse, JobAnswer.UNAVAILABLE),
            (lose_request, JobAnswer.UNKNOWN),
            (lose_answer, JobAnswer.UNKNOWN),
        ):
            self.kv.commits.append(wrapper)
            self.assertIs(expected, self.cancel(), wrapper)
        self.assertIs(JobAnswer.ABSENT, self.cancel())


class MarkedIdsTest(CancelCase):
    def test_a_job_that_is_submitted_after_its_cancel(self) -> None:
        """Guards against a job that runs since its request arrives again after its cancel."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        for host in (self.intake, self.other):
            self.assertIs(JobAnswer.ACCEPTED, host.submit(self.job)[0])
            self.assertEqual((JobAnswer.ACCEPTED, JobState.CANCELLED), self.state(host))
        self.assertFalse(self.is_stored())
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        self.assertEqual((JobAnswer.ACCEPTED, JobState.CANCELLED), self.state())

    def test_an_id_that_nobody_submitted_is_not_shown(self) -> None:
        """Guards against a job that is shown though nobody submitted it."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        self.assertEqual((JobAnswer.ABSENT, None), self.state())

    def test_a_submission_whose_note_is_not_stored(self) -> None:
        """Guards against a job that is answered as accepted, and then shown as unknown."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        for wrapper in (refuse, lose_request):
            self.kv.commits.extend([lambda call: call(), wrapper])
            self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job)[0], wrapper)

    def test_a_log_line_tells_why_a_submission_is_not_noted(self) -> None:
        """Guards against answers of an unknown outcome that no log line explains."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        events: list[Event] = []
        self.patch(_cancel_marks, "log", lambda event, **fields: events.append(event))
        for wrapper in (refuse, lose_request):
            self.kv.commits.extend([lambda call: call(), wrapper])
            self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job)[0])
        self.assertEqual([Event.COMMIT_FAILED] * 2, events)

    def test_a_log_line_tells_why_a_mark_is_not_read(self) -> None:
        """Guards against answers of an unknown outcome that no log line explains."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        events: list[Event] = []
        self.patch(_cancel_marks, "log", lambda event, **fields: events.append(event))
        self.kv.reads.append(refuse)
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job)[0])
        self.assertEqual([Event.JOB_NOT_READ], events)

    def test_an_id_that_another_workspace_has_cancelled(self) -> None:
        """Guards against a caller that shuts out another workspace's jobs by their ids."""
        self.owner = an_owner_record()
        job = replace(self.job, workspace=SCHOOLS)
        self.assertIs(JobAnswer.ABSENT, self.cancel(LIBRARY))
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(job)[0])
        self.assertTrue(self.is_stored())
        self.assertEqual(JobClaim(POOL, SCHOOLS), self.claim())
        [told] = [message for message in self.peers.sent if isinstance(message, JobAccepted)]
        revision = self.kv.items_by_key[job_key(POOL, job.id)].revision
        self.assertEqual((job.id, revision), (told.job, told.revision))

    def test_a_job_under_an_id_of_another_workspace_without_an_answer(self) -> None:
        """Guards against a refusal of a job that may have been stored in place of a mark."""
        job = replace(self.job, workspace=SCHOOLS)
        self.assertIs(JobAnswer.ABSENT, self.cancel(LIBRARY))
        self.kv.commits.extend([lambda call: call(), lose_answer])
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(job)[0])
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(job)[0])
        self.assertTrue(self.is_stored())

    def test_a_cancel_by_another_workspace_of_a_job_that_is_there(self) -> None:
        """Guards against a caller that cancels, or marks, another workspace's job."""
        job = replace(self.job, workspace=SCHOOLS)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(job)[0])
        self.assertIs(JobAnswer.ABSENT, self.cancel(LIBRARY))
        self.assertEqual(JobClaim(POOL, SCHOOLS), self.claim())
        self.assertNotIn(cancellation_key(POOL, job.id), self.kv.items_by_key)

    def test_a_batch_of_writes_one_of_which_is_marked(self) -> None:
        """Guards against jobs that are refused for another one's cancel."""
        other = a_job("b")
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        self.treat_no_commit_as_slow()
        with ThreadPoolExecutor(2) as callers:
            answers = list(callers.map(lambda job: self.intake.submit(job)[0], (self.job, other)))
        self.assertEqual([JobAnswer.ACCEPTED] * 2, answers)
        self.assertEqual((False, True), (self.is_stored(), self.is_stored(other)))

    def test_hosts_of_the_earlier_version_read_a_mark(self) -> None:
        """Guards against an update during which a mark stops a host, or lets a job in."""
        self.assertIs(JobAnswer.ABSENT, self.cancel())
        value = self.kv.items_by_key[claim_key(self.job.id)].value
        assert value is not None
        claim = msgspec.msgpack.decode(value, type=_EarlierClaim)
        self.assertEqual(_EarlierClaim(PoolId("")), claim)
        plain = msgspec.msgpack.decode(claim_of(self.job).value, type=dict)
        self.assertEqual({"pool"}, plain.keys())

    def test_a_claim_that_cannot_be_decoded_is_left(self) -> None:
        """Guards against a mark in place of the claim of a later version's job."""
        self.kv.put(claim_key(self.job.id), b"\xc1")
        self.assertIn(self.cancel(), (JobAnswer.UNAVAILABLE, JobAnswer.UNKNOWN))
        self.assertEqual(b"\xc1", self.kv.items_by_key[claim_key(self.job.id)].value)


class MarksTest(CancelCase):
    """How long marks last, and how many there may be."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.marks = CancelMarks(self.kv, lambda: self.now)

    def put(self, workspace: WorkspaceId = NO_WORKSPACE) -> MarkResult:
        return self.marks.put(self.job.id, workspace)

    def lease(self) -> LeaseId | None:
        return self.kv.items_by_key[claim_key(self.job.id)].lease

    def test_marks_share_a_lease(self) -> None:
        """Guards against two writes for each cancel of an unknown job."""
        for number in range(5):
            self.assertIs(MarkResult.MARKED, self.marks.put(JobId(f"{number:016x}"), NO_WORKSPACE))
        self.assertEqual((1, 5), (self.kv.calls["lease"], self.kv.calls["commit"]))

    def test_a_mark_ends_with_its_lease(self) -> None:
        """Guards against marks that stay in the store for good."""
        self.put()
        lease = self.lease()
        assert lease is not None
        self.kv.revoke(lease)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])
        self.assertTrue(self.is_stored())

    def test_a_repeated_cancel_lasts_as_long_as_the_first(self) -> None:
        """Guards against a cancel that is acknowledged by a mark which is about to end."""
        self.put()
        self.intake.submit(self.job)
        first = self.lease()
        self.now += LEASE_TTL_S * 0.9
        self.assertIs(MarkResult.MARKED, self.put())
        self.assertNotEqual(first, self.lease())
        self.assertEqual(JobClaim(PoolId(""), is_cancelled=True, is_submitted=True), self.claim())

    def test_a_repeated_cancel_costs_no_second_mark(self) -> None:
        """Guards against a change of the store with each repetition of a cancel."""
        self.put()
        revision = self.kv.revision
        self.assertIs(MarkResult.MARKED, self.put())
        self.assertEqual(revision, self.kv.revision)

    def test_a_lease_that_the_store_has_ended_early(self) -> None:
        """Guards against cancels that fail until the lease would have ended."""
        self.put()
        lease = self.lease()
        assert lease is not None
        self.kv.revoke(lease)
        self.assertIs(MarkResult.MARKED, self.put())
        self.assertIsNotNone(self.lease())

    def test_a_lease_that_has_ended_early_is_replaced_for_notes_too(self) -> None:
        """Guards against submissions of an unknown outcome until the lease would have ended."""
        self.put()
        former = self.lease()
        other = CancelMarks(self.kv, lambda: self.now)
        other.put(self.job.id, NO_WORKSPACE)
        assert former is not None
        self.kv.revoke(former)
        results = [self.marks.note_submitted(self.job.id, NO_WORKSPACE) for _ in range(2)]
        self.assertEqual([False, True], results)

    def test_a_failed_grant_is_not_tried_again_by_each_cancel(self) -> None:
        """Guards against threads that wait for one another, each for a request that fails."""
        with mock.patch.object(self.kv, "lease", side_effect=lambda ttl_s: refuse(int)) as lease:
            for _ in range(5):
                self.assertIs(MarkResult.UNAVAILABLE, self.put())
            self.assertEqual(1, lease.call_count)
            self.now += LEASE_RETRY_S
            self.assertIs(MarkResult.UNAVAILABLE, self.put())
            self.assertEqual(2, lease.call_count)

    def test_another_workspace_marks_the_same_id(self) -> None:
        """Guards against a cancel that is acknowledged by the mark of another workspace."""
        self.put(LIBRARY)
        self.assertIs(MarkResult.MARKED, self.put(SCHOOLS))
        self.assertEqual(SCHOOLS, getattr(self.claim(), "workspace", None))

    def test_marks_are_limited(self) -> None:
        """Guards against callers that fill the store by cancelling ids which no job has."""
        results = [
            self.marks.put(JobId(f"{number:016x}"), NO_WORKSPACE)
            for number in range(int(MARK_BURST) + 50)
        ]
        self.assertIs(MarkResult.UNAVAILABLE, results[-1])
        self.assertLess(len(self.kv.items_by_key), MARK_BURST + 50)

    def test_no_lease(self) -> None:
        """Guards against a mark without a lease, which would stay for good."""
        with mock.patch.object(self.kv, "lease", lambda ttl_s: refuse(lambda: None)):
            self.assertIs(MarkResult.UNAVAILABLE, self.put())
        self.assertEqual({}, self.kv.items_by_key)

    def test_a_refused_write_is_no_unknown_one(self) -> None:
        """Guards against taking a lost answer to a mark for a refusal."""
        for wrapper, kind in ((refuse, FaultKind.UNAVAILABLE), (lose_answer, FaultKind.AMBIGUOUS)):
            self.kv.commits.append(wrapper)
            is_unknown = kind is FaultKind.AMBIGUOUS
            expected = MarkResult.UNKNOWN if is_unknown else MarkResult.UNAVAILABLE
            self.assertIs(expected, self.put())

    def test_a_race_of_marks(self) -> None:
        """Guards against a cancel that fails as another host marks the id at the same moment."""
        other = JobClaim(PoolId(""), is_cancelled=True)
        lease = self.kv.lease(9.0).unwrap()
        put = Put(claim_key(self.job.id), msgspec.msgpack.encode(other), lease)
        self.kv.before_commit = lambda: self.kv._commit((), (put,))
        self.assertIs(MarkResult.MARKED, self.put())
        self.assertNotEqual(lease, self.lease())

    def test_a_cancelled_job_is_not_stored_in_the_new_pool_of_its_queue(self) -> None:
        """Guards against a job that runs in the pool that its queue has got since its cancel."""
        self.put()
        moved = replace(self.job, pool=NEW_POOL)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(moved)[0])
        self.assertFalse(self.is_stored(moved))
