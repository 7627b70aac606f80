"""Tasks that crash the endpoints that start them."""

import time

import msgspec
from testtools import TestCase

from lentilrill.execution import (
    OrderAnswer,
    PollResult,
    PoolOwner,
    ReportedRun,
    StartOrder,
    Verdict,
)
from lentilrill.execution._crashes import FRESH_S
from lentilrill.execution._tracking import Run, TrackedJob, encode_progress
from lentilrill.ids import EndpointId, HostId, JobId, Revision
from lentilrill.workloads import Attempt, Job, JobProgress, JobState, Step
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.cases import TrackedJobCase
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of

MAX_STARTS = 5
"""A task that crashes its endpoints may be started twice more after the third crash."""
ENDPOINTS = 8


class CrashableEndpoint(FakeEndpoint):
    """Fake endpoint that crashes when it starts a task of certain jobs.

    Its address is served by another instance from then on.
    """

    def __init__(self, crashing_jobs: set[JobId]) -> None:
        super().__init__()
        self._crashing_jobs = crashing_jobs
        self.has_crashed = False

    def start(self, order: StartOrder) -> OrderAnswer:
        if self.has_crashed:
            return OrderAnswer(Verdict.WRONG_INSTANCE)
        answer = super().start(order)
        if order.task.job in self._crashing_jobs:
            self.has_crashed = True
            self.running.clear()
        return answer

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        result = super().poll(token, acknowledged, expires_ms, wait_ms)
        return PollResult(Verdict.WRONG_INSTANCE) if self.has_crashed else result


class CrashTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.crashing_jobs: set[JobId] = set()
        self.pool = OwnedPool()
        self.addCleanup(self.pool.close)
        for number in range(ENDPOINTS):
            self.add_endpoint(f"e{number}")

    def add_endpoint(self, name: str) -> None:
        self.pool.endpoints[name] = CrashableEndpoint(self.crashing_jobs)
        self.pool.register(an_endpoint(name))

    def submit(self, owner: PoolOwner, name: str, *steps: Step, crashes: bool = False) -> Job:
        job = a_job(name, *steps)
        if crashes:
            self.crashing_jobs.add(job.id)
        self.pool.submit(owner, job)
        return job

    def start_count(self, job: Job, number: int = 0) -> int:
        return sum(task.job == job.id and task.number == number for task, _ in self.pool.starts())

    def test_a_task_that_crashes_its_endpoints_is_given_up(self) -> None:
        """A task that crashed each endpoint was started without end, and took the pool down."""
        owner = self.pool.take_over()
        job = self.submit(owner, "a", a_step(1), crashes=True)
        self.assertTrue(
            eventually(
                lambda: state_of(owner, job.id) is JobState.FAILED
                or self.start_count(job) > MAX_STARTS
            )
        )
        self.assertEqual(JobState.FAILED, state_of(owner, job.id))
        self.assertLessEqual(self.start_count(job), MAX_STARTS)

    def test_a_crash_before_the_answer_to_the_start_is_counted(self) -> None:
        """An endpoint that needed over a second to restart left no crash with its owner."""
        owner = self.pool.take_over()
        job = self.submit(owner, "a", a_step(1))
        self.assertTrue(eventually(lambda: self.start_count(job) == 1))
        [link] = [link for link in owner._links.by_id.values() if link.runs_by_key]
        with owner._lock:
            [run] = link.runs_by_key.values()
            run.started_at, run.sent_at = None, link.answered_at
            for moment in ("answered_at", "reported_at"):
                setattr(link, moment, getattr(link, moment) - 2 * FRESH_S)
            run.sent_at -= 2 * FRESH_S
        restarted = PollResult(Verdict.DONE, 1_000_000, 2)
        owner._responses.on_poll(link, restarted, time.monotonic())
        self.assertTrue(run.task.is_suspect)

    def test_other_jobs_on_the_crashed_endpoints_are_completed(self) -> None:
        """Jobs beside one that crashes its endpoints were given up with it."""
        owner = self.pool.take_over()
        culprit = self.submit(owner, "a", a_step(2), crashes=True)
        others = [self.submit(owner, name, a_step(4)) for name in "bcd"]
        self.assertTrue(eventually(lambda: state_of(owner, culprit.id) is JobState.FAILED))

        def are_completed() -> bool:
            self.pool.finish_all()
            return all(state_of(owner, job.id) is JobState.COMPLETED for job in others)

        self.assertTrue(eventually(are_completed))

    def test_crashes_are_counted_across_owners(self) -> None:
        """With each new owner, a task that crashes its endpoints was started as often again."""
        job = a_job("a", a_step(1))
        self.crashing_jobs.add(job.id)
        value = msgspec.msgpack.encode(job)
        self.pool.kv.put(f"in/notices/j/{job.id}", value)
        starts = 0
        while starts <= MAX_STARTS:
            owner = self.pool.take_over()
            expected = starts + 1
            self.assertTrue(
                eventually(
                    lambda owner=owner, expected=expected: self.start_count(job) >= expected
                    or state_of(owner, job.id) is JobState.FAILED
                )
            )
            if state_of(owner, job.id) is JobState.FAILED:
                break
            starts = self.start_count(job)
            owner.close(flush=False)
        self.assertLessEqual(self.start_count(job), MAX_STARTS)
        self.assertEqual(JobState.FAILED, state_of(owner, job.id))


class CrashBookTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.link.entry = an_endpoint(host=HostId("m1"), started_ms=1)
        self.link.started_ms = 1
        self.task = self.add(a_step(1)).tasks()[0]

    def begin(self, *, after_s: float = 0.0) -> Run:
        """Start the task so long before the endpoint's last answer."""
        run = self.run_of(self.task.step.tracked_job)
        run.send_count = 1
        run.sent_at = self.link.answered_at - after_s
        return run

    def poll_of(self, started_ms: int) -> None:
        result = PollResult(Verdict.DONE, 1000, started_ms)
        self.reconciler.apply_poll(self.link, result, time.monotonic())

    def test_a_restart_under_the_same_id_is_a_crash(self) -> None:
        """A crash of an endpoint that came back under its id was not counted."""
        self.begin()
        self.link.started_ms = 5
        self.poll()
        self.assertTrue(self.task.is_suspect)

    def test_a_task_that_has_worked_for_a_while_is_not_suspected(self) -> None:
        """Each endpoint that crashed under a long-running task counted against the task."""
        self.begin(after_s=FRESH_S + 0.1)
        self.crashes.on_process_ended(self.link)
        self.assertFalse(self.task.is_suspect)

    def test_silence_is_not_a_crash(self) -> None:
        """Tasks on endpoints that were cut off a few times were given up."""
        run = self.begin()
        self.crashes.on_run_lost(self.link, run)
        self.link.runs_by_key.clear()
        self.crashes.on_answer(self.link)
        self.crashes.on_process_ended(self.link)
        self.assertFalse(self.task.is_suspect)

    def test_a_crash_is_counted_when_its_proof_comes_late(self) -> None:
        """A crash counted only if its endpoint was back before the run lease had ended."""
        run = self.begin()
        self.crashes.on_run_lost(self.link, run)
        successor = an_endpoint("e9", host=HostId("m1"), started_ms=9)
        entries = {entry.id: entry for entry in (successor, self.link.entry)}
        self.crashes.on_registered(entries, time.monotonic())
        self.assertTrue(self.task.is_suspect)

    def test_the_end_of_an_endpoint_that_was_leaving_is_no_crash(self) -> None:
        """Tasks on endpoints that were shut down as announced were suspected."""
        self.begin()
        self.link.entry = an_endpoint(host=HostId("m1"), started_ms=1, draining=True)
        self.crashes.on_process_ended(self.link)
        self.assertFalse(self.task.is_suspect)

    def test_an_attempt_of_a_previous_owner_is_counted(self) -> None:
        """A crash while the pool changed its owner was not counted."""
        self.task.attempts[EndpointId("e1")] = Attempt(HostId("m1"), 1)
        self.crashes.restore([self.task])
        self.crashes.on_process_ended(self.link)
        self.assertEqual(({"e1@1"}, {}), (self.task.crashed_processes, self.task.attempts))

    def test_one_crash_counts_once(self) -> None:
        """A crash that showed in two ways counted twice."""
        run = self.begin()
        self.crashes.on_run_lost(self.link, run)
        self.crashes.on_process_ended(self.link)
        self.assertEqual(1, len(self.task.crashed_processes))

    def test_a_task_that_works_is_beyond_suspicion(self) -> None:
        """A task that had met three crashes in its life, of any cause, was given up."""
        self.begin()
        self.crashes.on_process_ended(self.link)
        run = self.task.runs[0]
        run.sent_at = self.link.reported_at - FRESH_S - 0.1
        self.poll(running=(ReportedRun(self.task.id, run.number, "", 0, 0.0),))
        self.assertFalse(self.task.is_suspect)

    def test_suspects_of_two_jobs_are_kept_apart(self) -> None:
        """A job was suspected again and again, since it ran beside the one that crashed."""
        self.task.crashed_processes.add("e7@1")
        self.add(a_step(1), name="b")
        self.assertEqual(1, len(self.starts()))

    def test_the_record_keeps_crashes_and_attempts(self) -> None:
        """A new owner counted crashes from none."""
        self.task.crashed_processes.add("e7@1")
        self.task.attempts[EndpointId("e1")] = Attempt(HostId("m1"), 1)
        tracked_job = self.task.step.tracked_job
        stored = msgspec.json.decode(encode_progress(tracked_job.progress()), type=JobProgress)
        restored = TrackedJob(tracked_job.job, Revision(1), 0.0)
        restored.restore(stored, 0)
        task = restored.tasks()[0]
        self.assertEqual({"e7@1"}, task.crashed_processes)
        self.assertEqual(self.task.attempts, task.attempts)

    def test_a_start_that_was_not_sent_yet_has_crashed_nothing(self) -> None:
        """Starts that waited for their records counted for the crash of a task beside them."""
        run = self.run_of(self.task.step.tracked_job, confirmed=False)
        self.crashes.record_attempt(self.link, run.task)
        self.poll_of(2)
        self.assertEqual((set(), {}), (self.task.crashed_processes, self.task.attempts))

    def test_a_start_that_is_not_sent_to_a_new_process_is_placed_again(self) -> None:
        """A suspect's start was sent to a restarted endpoint without being stored for it."""
        run = self.run_of(self.task.step.tracked_job, confirmed=False)
        self.crashes.record_attempt(self.link, run.task)
        self.poll_of(2)
        self.assertTrue(self.task.waiting)
