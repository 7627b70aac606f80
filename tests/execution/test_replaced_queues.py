"""Jobs whose queue is removed, replaced or changed while they run."""

import msgspec
from returns.result import Failure, Result
from testtools import TestCase

from lentilrill.execution import OrderAnswer, PolicyAnswer, PoolOwner, StartOrder, Verdict, _idle
from lentilrill.execution._job_queues import JobQueues
from lentilrill.execution._tracking import TrackedJob
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId, PoolId, QueueId, Revision
from lentilrill.workloads import (
    Advice,
    Configuration,
    Job,
    JobState,
    PoolEntry,
    Queue,
    Step,
    StepId,
)
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, FakePolicy, OwnedPool, eventually, state_of

ADVICE = Advice(60, 15, 1500)
QUEUE = a_configuration(advice=ADVICE, priority=1, stretch=2.5, objective_ms=700).queues[0]
REFUSALS_UNTIL_HEARD = 2
"""Tasks of a step, each of which may be refused once before the owner knows that it needs one."""


def a_version(*queues: Queue) -> Configuration:
    return Configuration(2, queues, (PoolEntry(PoolId("notices")),))


def renamed(**changes: object) -> Queue:
    """Return the queue under another id."""
    return msgspec.structs.replace(QUEUE, id=QueueId("r-new"), **changes)


def a_job_of(queue: Queue, *steps: Step) -> Job:
    return a_job("a", *steps, terms=queue.terms, attempts=queue.max_attempts)


class LatePolicy(FakePolicy):
    """Policy service that answers about first steps alone until it is told otherwise."""

    def __init__(self) -> None:
        super().__init__()
        self.answers_all = False

    def request_tickets(
        self, step: StepId, endpoints: tuple[EndpointId, ...]
    ) -> Result[PolicyAnswer, Fault]:
        if step.step and not self.answers_all:
            return Failure(Fault("policy.ask", "", FaultKind.UNAVAILABLE, "status 429"))
        return super().request_tickets(step, endpoints)


class TicketEndpoint(FakeEndpoint):
    """Endpoint that takes starts with a ticket alone, unless told otherwise."""

    def __init__(self) -> None:
        super().__init__()
        self.requires_tickets = True
        self.tickets: list[str] = []
        self.refusals = 0

    def start(self, order: StartOrder) -> OrderAnswer:
        if self.requires_tickets and not order.ticket:
            self.refusals += 1
            return OrderAnswer(Verdict.NO_TICKET)
        self.tickets.append(order.ticket)
        return super().start(order)


class AdvisedJobsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool()
        self.addCleanup(self.pool.close)
        self.endpoint = TicketEndpoint()
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint())
        self.policy = self.pool.policy = LatePolicy()
        self.pool.configuration = a_version(QUEUE)
        self.job = a_job_of(QUEUE, a_step(2), a_step(2, after=(0,)))

    def owner_with_running_job(self) -> PoolOwner:
        owner = self.pool.take_over()
        self.pool.submit(owner, self.job)
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 2))
        return owner

    def next_owner(self, first: PoolOwner) -> PoolOwner:
        first.close()
        owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: state_of(owner, self.job.id) is not None))
        return owner

    def assert_completes(self, owner: PoolOwner, most_refusals: int = 0) -> None:
        """Check that all further steps run, with this many refused starts at most."""
        self.policy.answers_all = True
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.endpoint.starts) == 4))
        self.pool.finish_all()
        job = self.job.id
        self.assertTrue(eventually(lambda: state_of(owner, job) is JobState.COMPLETED))
        self.assertLessEqual(self.endpoint.refusals, most_refusals)

    def test_a_route_that_is_removed(self) -> None:
        """Guards against a job that stands for good: its next step was sent without a ticket."""
        owner = self.owner_with_running_job()
        self.pool.configuration = a_version()
        self.assert_completes(owner)

    def test_a_route_that_is_renamed(self) -> None:
        """Guards against a job that stands for good, as its queue has another id now."""
        owner = self.owner_with_running_job()
        self.pool.configuration = a_version(renamed())
        self.assert_completes(owner)

    def test_a_route_that_is_sent_to_another_service(self) -> None:
        """Guards against a job that stands for good in the pool that its queue had."""
        owner = self.owner_with_running_job()
        self.pool.configuration = a_version(renamed(pool=PoolId("schools")))
        self.assert_completes(owner)

    def test_an_owner_that_began_after_the_change(self) -> None:
        """Guards against an owner that has never seen the route, and starts without tickets."""
        first = self.owner_with_running_job()
        self.pool.configuration = a_version()
        self.assert_completes(self.next_owner(first))

    def test_a_job_that_an_earlier_version_accepted(self) -> None:
        """Guards against a job that stands for good, if its record doesn't tell of tickets."""
        self.job = msgspec.structs.replace(self.job, terms=None)
        first = self.owner_with_running_job()
        self.pool.configuration = a_version()
        self.assert_completes(self.next_owner(first), REFUSALS_UNTIL_HEARD)

    def test_jobs_that_wait_are_reported_for_the_renamed_route(self) -> None:
        """Guards against a renamed queue that is shown as empty while its jobs wait."""
        self.pool.entries.clear()
        owner = self.pool.take_over()
        self.pool.submit(owner, self.job)
        self.pool.configuration = a_version(renamed())
        self.assertTrue(eventually(lambda: self.waiting(owner) == {QUEUE.id: 1, renamed().id: 1}))

    def waiting(self, owner: PoolOwner) -> dict[QueueId, int] | None:
        pressure = owner.pressure()
        return pressure.waiting_by_queue if pressure is not None else None

    def test_a_log_line_tells_of_a_job_that_waits_for_tickets(self) -> None:
        """Guards against a job that waits for tickets without a bound, and no log line says so."""
        reasons: list[object] = []
        self.patch(_idle, "log", lambda event, **fields: reasons.append(fields["reason"]))
        self.owner_with_running_job()
        self.pool.configuration = a_version()
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: "no ticket where it fits" in reasons))

    def test_a_gang_whose_route_is_removed(self) -> None:
        """Guards against a gang that is sent without tickets, and refused as a whole, for good."""
        self.job = a_job_of(QUEUE, a_step(2), a_step(2, after=(0,), gang=True))
        owner = self.owner_with_running_job()
        self.pool.configuration = a_version()
        self.assert_completes(owner)

    def test_advice_that_is_added(self) -> None:
        """Guards against jobs that stand for good after their queue has got advice."""
        self.pool.configuration = a_version(msgspec.structs.replace(QUEUE, advice=None))
        self.job = a_job_of(self.pool.configuration.queues[0], *self.job.steps)
        self.endpoint.requires_tickets = False
        owner = self.owner_with_running_job()
        self.endpoint.requires_tickets = True
        self.pool.configuration = a_version(QUEUE)
        self.assert_completes(owner)

    def test_advice_that_is_taken_away(self) -> None:
        """Guards against jobs that wait for tickets which nothing requires any more."""
        owner = self.owner_with_running_job()
        self.endpoint.requires_tickets = False
        self.pool.configuration = a_version(msgspec.structs.replace(QUEUE, advice=None))
        self.policy.denied = {EndpointId("e1")}
        self.assert_completes(owner)

    def test_advice_that_is_taken_away_while_endpoints_require_tickets(self) -> None:
        """Guards against a refusal for want of a ticket that the owner doesn't hear."""
        first = self.owner_with_running_job()
        self.pool.configuration = a_version(msgspec.structs.replace(QUEUE, advice=None))
        self.assert_completes(self.next_owner(first), REFUSALS_UNTIL_HEARD)

    def test_advice_with_other_times(self) -> None:
        """Guards against a job that loses its tickets when its queue's advice changes."""
        owner = self.owner_with_running_job()
        self.pool.configuration = a_version(msgspec.structs.replace(QUEUE, advice=Advice(1, 1, 9)))
        self.assert_completes(owner)


class TermsTest(TestCase):
    """What a job keeps of its queue: priority, stretch, objective, attempts and advice."""

    def queue_of(self, job: Job, *configured: Queue) -> Queue | None:
        queues = JobQueues(lambda: a_version(*configured))
        return queues.queue_of(TrackedJob(job, Revision(1), 0.0))

    def test_a_removed_queue(self) -> None:
        """Guards against a job that is ordered behind all others once its route is removed."""
        found = self.queue_of(a_job_of(QUEUE))
        assert found is not None
        self.assertEqual(QUEUE.terms, found.terms)
        self.assertEqual(QUEUE.max_attempts, found.max_attempts)

    def test_a_renamed_queue(self) -> None:
        """Guards against a job that keeps old terms though its route is there under a new id."""
        replaced = renamed(priority=3, advice=None, max_attempts=7)
        self.assertEqual(replaced, self.queue_of(a_job_of(QUEUE), replaced))

    def test_an_id_that_another_route_has_now(self) -> None:
        """Guards against a job that gets the terms of a route of other callers."""
        other = msgspec.structs.replace(QUEUE, prefix="/other/", advice=None)
        self.assertEqual(renamed(), self.queue_of(a_job_of(QUEUE), other, renamed()))

    def test_a_route_with_a_new_prefix(self) -> None:
        """Guards against a job that keeps old terms though its route is there at a new prefix."""
        moved = msgspec.structs.replace(QUEUE, prefix="/new/", priority=3)
        self.assertEqual(moved, self.queue_of(a_job_of(QUEUE), moved))

    def test_a_job_of_an_earlier_version(self) -> None:
        """Guards against an owner that fails on a record without terms."""
        job = a_job(attempts=3)
        self.assertEqual(QUEUE, self.queue_of(job, QUEUE))
        self.assertIsNone(self.queue_of(job))
        self.assertEqual(
            3, JobQueues(lambda: a_version()).attempts(TrackedJob(job, Revision(1), 0))
        )

    def test_the_ids_under_which_a_job_waits(self) -> None:
        """Guards against a renamed queue that is shown as empty while its jobs wait."""
        other = msgspec.structs.replace(QUEUE, prefix="/other/")
        for configured, expected in (
            ((QUEUE,), {QUEUE.id}),
            ((), {QUEUE.id}),
            ((renamed(),), {QUEUE.id, renamed().id}),
            ((other, renamed()), {renamed().id}),
        ):
            queues = JobQueues(lambda configured=configured: a_version(*configured))
            tracked_job = TrackedJob(a_job_of(QUEUE), Revision(1), 0.0)
            self.assertEqual(expected, set(queues.ids_of(tracked_job)), configured)

    def test_the_record_keeps_the_terms(self) -> None:
        """Guards against terms that are lost in the store."""
        job = a_job_of(QUEUE)
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(job), type=Job)
        self.assertEqual(QUEUE.terms, decoded.terms)
