"""Accepting, cancelling and showing jobs."""

import threading

from msgspec import structs

from lentilrill.ids import (
    NO_WORKSPACE,
    Incarnation,
    JobId,
    ProcessId,
    WorkspaceId,
)
from lentilrill.inner import (
    Batch,
    JobAccepted,
    JobAsk,
    JobCancelled,
    JobDoubted,
    PoolPressure,
)
from lentilrill.ownership import OwnerRecord
from lentilrill.store import Priority
from lentilrill.workloads import JobAnswer, JobState, cancellation_key
from tests.builders import a_job, told
from tests.execution.fakes import eventually
from tests.fakes import lose_answer, lose_request
from tests.intake.fakes import NEW_QUEUE, POOL, QUEUE, IntakeCase

SCHOOLS, LIBRARY = WorkspaceId("schools"), WorkspaceId("library")
ATTEMPTS = 3
"""Maximum number of times that one create is sent."""


class IntakeTest(IntakeCase):
    peer_addresses = ("10.0.0.2:1",)

    def test_an_accepted_job_is_stored_and_the_owner_notified(self) -> None:
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])
        self.assertIn(f"in/notices/j/{self.job.id}", self.kv.items_by_key)
        self.assertIsInstance(self.peers.sent[0], JobAccepted)

    def test_the_same_job_twice_is_one(self) -> None:
        self.intake.submit(self.job)
        revision = self.kv.revision
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])
        self.assertEqual(revision, self.kv.revision)

    def test_a_lost_answer_is_no_refusal(self) -> None:
        """A caller was told that a job would not run, and it ran.

        The answers to its commits were lost. Whether one took effect or not, the job may run.
        """
        for lose in (lose_answer, lose_request):
            self.kv.commits.extend([lose] * ATTEMPTS)
            self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(a_job("c"))[0])
            self.kv.items_by_key.clear()

    def test_a_job_that_may_be_stored_is_never_refused(self) -> None:
        """A caller was told three times that a job would never run, and it ran.

        The answer to its commit was lost, and the caller got an unknown outcome. Then the store
        stopped answering, and the next host refused the job as one that had not been sent.
        """
        self.kv.commits.extend([lose_answer] * ATTEMPTS)
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job)[0])
        [message] = self.peers.sent
        self.assertEqual(JobDoubted(self.job.id), message)
        other = a_job("d")
        batch = Batch(ProcessId("h2"), Incarnation(1), "10.0.0.2:1", ())
        self.intake.on_job_doubted(batch, JobDoubted(other.id))
        self.silent_s = 5.0
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job)[0])
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(other)[0])
        self.assertIs(JobAnswer.UNAVAILABLE, self.intake.submit(a_job("e"))[0])
        self.silent_s = 0.0
        self.pressure = PoolPressure(POOL, 60.0, {}, 1)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])

    def test_a_job_that_its_owner_has_is_never_refused(self) -> None:
        """A repeated request was refused as never to run, a second after its job was accepted."""
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.intake.submit(self.job)
        self.peers.answer = lambda ask: self.intake.on_job_told(
            Batch(ProcessId("h2"), Incarnation(1), "10.0.0.2:1", ()),
            told(ask, "running" if ask.job == self.job.id else ""),
        )
        self.pressure = PoolPressure(POOL, 60.0, {}, 1)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])
        self.assertIs(JobAnswer.OVERLOADED, self.intake.submit(a_job("b"))[0])
        self.silent_s = 5.0
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])

    def test_an_answer_to_a_former_process_is_not_believed(self) -> None:
        """Guards against a job shown as completed, or cancelled without a trace, while it runs: the
        owner answered a process that was killed, and the next one had a query of that number."""
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.intake.submit(self.job)
        former_asks: list[JobAsk] = []
        self.peers.answer = former_asks.append
        self.new_intake().get_state(QUEUE, NO_WORKSPACE, JobId("d" * 16))
        batch = Batch(ProcessId("h2"), Incarnation(1), "10.0.0.2:1", ())
        for asker in (former_asks[0].asker, ""):
            answer = told(structs.replace(former_asks[0], asker=asker), "completed")
            for job, state in ((self.job.id, JobState.QUEUED), (JobId("e" * 16), None)):
                self.intake = intake = self.new_intake()
                self.peers.answer = lambda ask, i=intake, a=answer: i.on_job_told(batch, a)
                self.assertIs(state, intake.get_state(QUEUE, NO_WORKSPACE, job)[1])
            self.intake = self.new_intake()
        self.assertIs(JobAnswer.ACCEPTED, self.intake.cancel(QUEUE, NO_WORKSPACE, self.job.id))
        self.assertIn(cancellation_key(POOL, self.job.id), self.kv.items_by_key)

    def test_the_retry_time_grows_with_the_outage(self) -> None:
        """All five attempts of a caller fell into the first four seconds of an outage of five."""
        self.silent_s = 1.2
        first = self.intake.submit(self.job)[1]
        self.silent_s = 2.5
        second = self.intake.submit(self.job)[1]
        self.assertLess(first, second)
        self.assertLessEqual(second, 3.0)

    def test_what_was_never_sent_is_refused_at_once(self) -> None:
        self.kv.down = True
        self.assertIs(JobAnswer.UNAVAILABLE, self.intake.submit(self.job)[0])

    def test_an_overloaded_pool_refuses_with_a_time(self) -> None:
        self.pressure = PoolPressure(POOL, 60.0, {}, 1)
        answer, retry_s = self.intake.submit(self.job)
        self.assertIs(JobAnswer.OVERLOADED, answer)
        self.assertGreater(retry_s, 0)
        self.assertEqual({}, self.kv.items_by_key)

    def test_a_burst_costs_few_commits(self) -> None:
        self.treat_no_commit_as_slow()
        started = threading.Event()

        def slowly(call):
            started.wait()
            return call()

        answers: list[JobAnswer] = []
        callers = [
            threading.Thread(target=lambda n=n: answers.append(self.intake.submit(a_job(n))[0]))
            for n in "0123456789abcdef"
        ]
        self.kv.commits.extend([slowly] * len(callers))
        for caller in callers:
            caller.start()
        creates_by_key = self.intake._group_commit._creates_by_key
        self.assertTrue(eventually(lambda: len(creates_by_key) == len(callers)))
        started.set()
        for caller in callers:
            caller.join()
        self.assertEqual([JobAnswer.ACCEPTED] * 16, answers)
        self.assertLessEqual(self.kv.calls["commit"], 4)

    def test_shown_from_the_store_when_no_owner_answers(self) -> None:
        self.intake.submit(self.job)
        self.assertEqual(
            JobState.QUEUED, self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)[1]
        )
        self.kv.put(f"p/notices/{self.job.id}", b'{"state":"completed"}')
        self.assertEqual(
            JobState.COMPLETED, self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)[1]
        )

    def test_queries_have_a_lower_priority_than_the_owner(self) -> None:
        """After an outage a pool made no progress while its callers queried their jobs.

        No owner answered yet, so each query read the store. Together they used up the host's calls,
        and the owner on that host could not load its jobs. Queries must have a lower priority.
        """
        self.intake.submit(self.job)
        self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)
        self.assertEqual({Priority.LATER}, set(self.kv.priorities))

    def test_absent_only_if_the_store_was_read(self) -> None:
        """A caller was told that an accepted job does not exist, during a store outage."""
        self.assertIs(JobAnswer.ABSENT, self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)[0])
        self.kv.down = True
        self.assertIs(
            JobAnswer.UNAVAILABLE, self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)[0]
        )

    def test_found_in_the_pool_that_its_queue_had(self) -> None:
        self.intake.submit(self.job)
        self.assertEqual(
            JobState.QUEUED, self.intake.get_state(NEW_QUEUE, NO_WORKSPACE, self.job.id)[1]
        )

    def test_cancel(self) -> None:
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.intake.submit(self.job)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.cancel(QUEUE, NO_WORKSPACE, self.job.id))
        self.assertIsInstance(self.peers.sent[-1], JobCancelled)
        self.assertEqual(
            JobState.CANCELLED, self.intake.get_state(QUEUE, NO_WORKSPACE, self.job.id)[1]
        )
        self.assertIs(JobAnswer.ABSENT, self.intake.cancel(QUEUE, NO_WORKSPACE, JobId("f" * 16)))

    def test_a_job_is_invisible_to_other_workspaces(self) -> None:
        """Guards against a caller who reads or cancels the job of another workspace by its id."""
        job = a_job("b", workspace=SCHOOLS)
        self.intake.submit(job)
        for _ in range(2):
            self.assertIs(JobAnswer.ABSENT, self.intake.get_state(QUEUE, LIBRARY, job.id)[0])
            self.assertIs(JobAnswer.ABSENT, self.intake.get_state(QUEUE, NO_WORKSPACE, job.id)[0])
            self.assertIs(JobAnswer.ABSENT, self.intake.cancel(QUEUE, LIBRARY, job.id))
            self.assertEqual(JobState.QUEUED, self.intake.get_state(QUEUE, SCHOOLS, job.id)[1])
            # The second time the pool's owner answers.
            self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
            self.peers.answer = lambda ask: self.intake.on_job_told(
                Batch(ProcessId("h2"), Incarnation(1), "10.0.0.2:1", ()),
                told(ask, "queued", SCHOOLS),
            )
        self.assertIs(JobAnswer.ACCEPTED, self.intake.cancel(QUEUE, SCHOOLS, job.id))

    def test_an_id_in_use_by_another_workspace_is_a_conflict(self) -> None:
        """Guards against an accepted job that never runs, since its id belongs to another's job."""
        self.intake.submit(a_job("b", workspace=SCHOOLS))
        self.assertIs(JobAnswer.CONFLICT, self.intake.submit(a_job("b", workspace=LIBRARY))[0])
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job("b", workspace=SCHOOLS))[0])

    def test_two_workspaces_submit_one_id_at_once(self) -> None:
        """Guards against one commit that answers both callers as if it stored both jobs."""
        started = threading.Event()

        def slowly(call):
            started.wait()
            return call()

        self.kv.commits.append(slowly)
        answers: list[JobAnswer] = []
        callers = [
            threading.Thread(
                target=lambda w=w: answers.append(self.intake.submit(a_job("b", workspace=w))[0])
            )
            for w in (SCHOOLS, LIBRARY)
        ]
        for caller in callers:
            caller.start()
        creates_by_key = self.intake._group_commit._creates_by_key
        self.assertTrue(
            eventually(lambda: sum(create.waiters for create in creates_by_key.values()) == 2)
        )
        started.set()
        for caller in callers:
            caller.join()
        self.assertEqual({JobAnswer.ACCEPTED, JobAnswer.CONFLICT}, set(answers))

    def test_a_refusal_does_not_show_another_workspaces_job(self) -> None:
        """Guards against telling a caller that its job is accepted, since another's has its id."""
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.peers.answer = lambda ask: self.intake.on_job_told(
            Batch(ProcessId("h2"), Incarnation(1), "10.0.0.2:1", ()),
            told(ask, "running", SCHOOLS),
        )
        self.pressure = PoolPressure(POOL, 60.0, {}, 1)
        self.assertIs(JobAnswer.CONFLICT, self.intake.submit(a_job("b", workspace=LIBRARY))[0])
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job("b", workspace=SCHOOLS))[0])

    def test_a_job_without_a_workspace_is_no_conflict(self) -> None:
        """Guards against telling a caller that its job never runs, while an owner runs it."""
        self.intake.submit(a_job("b"))
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(a_job("b", workspace=SCHOOLS))[0])
