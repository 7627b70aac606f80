"""Job requests while the store answers late, or not at all."""

import threading
import time
from collections.abc import Callable

from returns.result import Result

from lentilrill.inner import JobAccepted
from lentilrill.ownership import OwnerRecord
from lentilrill.telemetry import Event
from lentilrill.workloads import Job, JobAnswer
from tests.builders import a_job
from tests.fakes import lose_answer, lose_request
from tests.intake.fakes import IntakeCase

SOON_S = 0.4
ALL_IN_FLIGHT = 8
"""Enough repeats to delay every call that can be in flight at once."""


class SlowStoreTest(IntakeCase):
    def setUp(self) -> None:
        super().setUp()
        self.answering = threading.Event()
        self.addCleanup(self.answering.set)

    def delayed(self, call: Callable[[], Result]) -> Result:
        """Carry out a call once the store answers again."""
        self.answering.wait(5.0)
        return call()

    def submit_in_background(
        self, job: Job, wait_s: float | None = None
    ) -> Callable[[], JobAnswer]:
        """Submit a job on another thread; return a function that waits for its answer."""
        answers: list[JobAnswer] = []
        caller = threading.Thread(
            target=lambda: answers.append(self.intake.submit(job, wait_s)[0]), daemon=True
        )
        caller.start()

        def answer() -> JobAnswer:
            caller.join()
            return answers[0]

        return answer

    def test_a_slow_commit_does_not_delay_later_callers(self) -> None:
        """One late answer of the store delayed all callers that came after it."""
        self.kv.commits.append(self.delayed)
        self.submit_in_background(self.job)
        began = time.monotonic()
        while self.kv.calls["commit"] == 0:
            time.sleep(0.001)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job("b"))[0])
        self.assertLess(time.monotonic() - began, SOON_S)

    def test_a_caller_is_answered_within_its_timeout(self) -> None:
        """A caller with a timeout of one second waited for two, and left without an answer."""
        self.kv.commits.extend([self.delayed] * ALL_IN_FLIGHT)
        began = time.monotonic()
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(self.job, 0.3)[0])
        self.assertLess(time.monotonic() - began, 0.3)

    def test_a_late_answer_is_settled_by_the_same_create(self) -> None:
        """A caller got an unknown outcome after seconds, while the store answered others."""
        self.kv.commits.append(self.delayed)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job, 1.0)[0])
        revision = self.kv.revision
        self.answering.set()
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job, 1.0)[0])
        self.assertEqual(revision, self.kv.revision)

    def test_a_lost_answer_is_settled_by_the_same_create(self) -> None:
        """A caller got an unknown outcome, although one more call would have settled it."""
        for name, lose in (("b", lose_answer), ("c", lose_request)):
            self.kv.commits.append(lose)
            self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job(name))[0])

    def test_the_owner_is_notified_of_a_job_whose_first_answer_was_lost(self) -> None:
        """An accepted job waited until its owner found it in the store."""
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.kv.commits.append(lose_answer)
        self.intake.submit(self.job)
        [message] = self.peers.sent
        assert isinstance(message, JobAccepted)
        stored = self.kv.items_by_key[f"in/notices/j/{self.job.id}"]
        self.assertEqual((stored.value, stored.revision), (message.value, message.revision))

    def test_the_owner_is_not_notified_of_a_job_stored_before(self) -> None:
        """A job that had ended long ago and was submitted again would have run again."""
        self.owner = OwnerRecord("h2", 1, "10.0.0.2:1")
        self.kv.put(f"in/notices/j/{self.job.id}", b"another hand-in")
        self.kv.commits.append(lose_request)
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])
        self.assertEqual([], self.peers.sent)

    def test_refused_at_once_while_the_queue_is_stuck(self) -> None:
        """Callers waited in a write queue that could not be sent before their timeout."""
        self.kv.commits.extend([self.delayed] * ALL_IN_FLIGHT)
        callers = []
        for name in "123456":
            callers.append(self.submit_in_background(a_job(name), 2.0))
            time.sleep(0.12)
        time.sleep(0.5)
        began = time.monotonic()
        answer, retry_s = self.intake.submit(self.job, 1.0)
        self.assertIs(JobAnswer.UNAVAILABLE, answer)
        self.assertGreater(retry_s, 0)
        self.assertLess(time.monotonic() - began, 0.2)
        self.answering.set()
        for answer_of in callers:
            self.assertIs(JobAnswer.ACCEPTED, answer_of())
        self.assertNotIn(f"in/notices/j/{self.job.id}", self.kv.items_by_key)

    def test_a_refused_job_is_never_written(self) -> None:
        """A job ran although its caller had been refused after waiting in the queue."""
        self.kv.commits.extend([self.delayed] * ALL_IN_FLIGHT)
        jobs = [a_job(name) for name in "0123456789abcdef"]
        callers = []
        for job in jobs:
            callers.append(self.submit_in_background(job, 0.5))
            time.sleep(0.03)
        answers = [answer_of() for answer_of in callers]
        self.answering.set()
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job("z"), 1.0)[0])
        refused = [
            job
            for job, answer in zip(jobs, answers, strict=True)
            if answer is JobAnswer.UNAVAILABLE
        ]
        self.assertNotEqual([], refused)
        for job in refused:
            self.assertNotIn(f"in/notices/j/{job.id}", self.kv.items_by_key)

    def test_one_job_submitted_twice_is_written_once(self) -> None:
        """Two submissions of one job went into two commits at once."""
        self.kv.commits.append(self.delayed)
        first = self.submit_in_background(self.job, 1.0)
        second = self.submit_in_background(self.job, 1.0)
        self.assertEqual([JobAnswer.ACCEPTED] * 2, [first(), second()])
        self.answering.set()
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(a_job("b"))[0])
        self.assertEqual(2, self.kv.revision)

    def test_a_stored_job_does_not_split_its_batch(self) -> None:
        """The jobs of a commit were sent one by one, because one of them was already stored."""
        self.treat_no_commit_as_slow()
        self.intake.submit(self.job)
        self.kv.commits.append(self.delayed)
        first = self.submit_in_background(a_job("f"))
        while self.kv.calls["commit"] < 2:
            time.sleep(0.001)
        callers = [self.submit_in_background(a_job(name)) for name in "abcde"]
        time.sleep(0.05)
        self.answering.set()
        for answer_of in [first, *callers]:
            self.assertIs(JobAnswer.ACCEPTED, answer_of())
        self.assertLessEqual(self.kv.calls["commit"], 5)

    def test_each_delayed_caller_is_logged_once(self) -> None:
        """The log didn't show the outcome for a caller that had waited for seconds."""
        self.kv.commits.extend([self.delayed] * ALL_IN_FLIGHT)
        with self.assertLogs(level="INFO") as logs:
            self.intake.submit(self.job, 0.3)
        [line] = [r for r in logs.records if r.fields["id"] == Event.JOB_ANSWERED.number]
        self.assertEqual((self.job.id, "unknown"), (line.fields["job"], line.fields["answer"]))
        self.assertGreater(line.fields["took_s"], 0.1)
