"""Order of a planning round by the workspaces' shares, together with all else that decides it."""

import random
import time

from msgspec.structs import replace
from testtools import TestCase

from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._endpoint_speeds import SpeedMonitor
from lentilrill.execution._fair_shares import RoundOrder, shares_of
from lentilrill.execution._jobs import _share_fields
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations
from lentilrill.execution._planner import Planner
from lentilrill.execution._tickets import TicketCache, TicketRequest
from lentilrill.execution._tracking import Run, RunPhase, TrackedJob
from lentilrill.ids import PoolId, Revision, WorkspaceId
from lentilrill.scheduling import Allowances, Budget, JobTiming, PoolAllowance, sort_key
from lentilrill.workloads import (
    Advice,
    Configuration,
    Queue,
    Resources,
    Step,
    TaskId,
    Workspace,
    Workspaces,
)
from tests.builders import a_configuration, a_job, a_job_timing, a_step, an_endpoint
from tests.execution.cases import TOKEN, Owner
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually

PAIRS = list[tuple[TrackedJob, Queue | None]]


def with_weights(**weights: float) -> Configuration:
    by_id = {WorkspaceId(id): Workspace(WorkspaceId(id), weight) for id, weight in weights.items()}
    return replace(a_configuration(), workspaces=Workspaces(by_id, {}))


class NotedTickets(TicketCache):
    """Ticket cache that only notes what is requested."""

    def __init__(self) -> None:
        super().__init__(None, lambda: None)
        self.noted: list[TicketRequest] = []

    def request(self, requests: list[TicketRequest]) -> None:
        self.noted = requests


class SharesCase(TestCase):
    """A pool of one endpoint with room for four small tasks, and too little of it."""

    def setUp(self) -> None:
        super().setUp()
        self.tickets = NotedTickets()
        durations = Durations()
        speeds = SpeedMonitor(PoolId("notices"), durations)
        self.planner = Planner(TOKEN, durations, self.tickets, speeds)
        self.planner.feasible = False
        self.links: list[EndpointLink] = []
        self.configuration = with_weights(a=1, b=1)
        self.jobs: list[TrackedJob] = []
        self.queue: Queue | None = None
        self.link = self.add_link("e1")

    def add_link(self, name: str, **changes: object) -> EndpointLink:
        link = EndpointLink(Owner(), an_endpoint(name, **changes), FakeEndpoint())
        link.was_polled = link.reachable = True
        link.answered_at = time.monotonic()
        link.update_clock(1000, time.monotonic())
        self.links.append(link)
        return link

    def add(self, workspace: str, *steps: Step, count: int = 1, **changes: object) -> TrackedJob:
        """Add equal jobs of a workspace, of one task by default, and return the last."""
        for _ in range(count):
            id = WorkspaceId(workspace)
            job = a_job("j", *(steps or (a_step(1),)), workspace=id, **changes)
            job = replace(job, id=f"{workspace}{len(self.jobs)}")
            tracked_job = TrackedJob(job, Revision(1), time.monotonic())
            tracked_job.is_recorded = True
            tracked_job.open_occurrences(0)
            self.jobs.append(tracked_job)
        return tracked_job

    def run_of(self, tracked_job: TrackedJob, link: EndpointLink | None = None) -> Run:
        on = link or self.link
        task = tracked_job.tasks()[0]
        run = Run(task, TOKEN * 1000, on.entry.id, task.step.spec.reserved)
        task.runs.append(run)
        on.runs_by_key[run.key] = run
        return run

    def round(self, budgets: RoundBudgets | None = None) -> str:
        """Plan one round; return the workspaces of the started tasks in order."""
        budgets = budgets or RoundBudgets(None)
        by_id = {tracked_job.job.id: tracked_job for tracked_job in self.jobs}
        budgets.shares = shares_of(self.configuration, self.links, by_id)
        now = time.monotonic()
        capacities = self.planner.capacity_by_endpoint(self.links, now)
        pairs: PAIRS = [(tracked_job, self.queue) for tracked_job in self.jobs]
        placed = self.planner.place_tasks(pairs, capacities, now, frozenset(), 0, set(), budgets)
        return "".join(run.task.id.job[0] for _, run in placed)


class InterplayTest(SharesCase):
    def test_a_surge_leaves_the_others_their_share(self) -> None:
        """Guards against a workspace that waits behind a surge of another one."""
        self.add("a", count=20)
        self.add("b", count=2)
        self.assertEqual("abab", self.round())

    def test_beyond_its_rate_behind_the_others(self) -> None:
        self.add("a", count=4, beyond_rate=True)
        self.add("b", count=3)
        self.assertEqual("bbba", self.round())

    def test_a_workspace_at_its_cap_holds_up_no_other(self) -> None:
        """Guards against room that stays free while a workspace with the lowest share may not."""
        held = Allowances({self.link.entry.pool: PoolAllowance(Resources(1000, 1000))})
        budget = Budget(held, self.link.entry.pool, Resources(1000, 1000), Resources())
        unlimited = Budget(
            Allowances({self.link.entry.pool: PoolAllowance(Resources(9000, 9000))}),
            self.link.entry.pool,
            Resources(),
            Resources(),
        )
        self.add("a", count=4)
        self.add("b", count=4)
        budgets = RoundBudgets(lambda id: budget if id == "a" else unlimited)
        self.assertEqual("abbb", self.round(budgets))

    def test_a_job_without_a_fitting_endpoint_holds_up_no_other(self) -> None:
        self.add("a", a_step(1, label="gpu"), count=3)
        self.add("b", count=2)
        self.add("a")
        self.assertEqual("abb", "".join(sorted(self.round())))

    def test_a_suspect_counts_like_any_task(self) -> None:
        """Guards against a suspect that keeps the others' tasks from all endpoints."""
        suspect = self.add("a")
        suspect.tasks()[0].crashed_processes.add("p")
        self.add("b", count=2)
        self.add_link("e22")
        self.assertEqual("abb", self.round())

    def test_a_gang_counts_with_all_its_members(self) -> None:
        self.add("a", a_step(2, gang=True))
        self.add("a", count=3)
        self.add("b", count=3)
        self.link.entry = replace(self.link.entry, capacity=Resources(5000, 8000))
        started = self.round()
        self.assertEqual((3, 2), (started.count("a"), started.count("b")))

    def test_long_running_jobs_go_first_and_count(self) -> None:
        self.add("a", a_step(2, lasting=True))
        self.add("a", count=3)
        self.add("b", count=3)
        self.assertEqual("aabb", self.round())

    def test_a_filler_counts_only_with_its_memory(self) -> None:
        filler = self.add("a", a_step(1, needs=Resources(4000, 100), filler=True))
        self.run_of(filler)
        self.run_of(self.add("b"))
        self.add("a", count=2)
        self.add("b", count=2)
        self.assertEqual("aba", self.round())

    def test_tickets_are_requested_in_the_order_of_shares(self) -> None:
        """Guards against a surge whose tickets are all requested before another's first one."""
        advised = replace(self.configuration.queues[0], advice=Advice())
        self.queue = advised
        self.add("a", count=5)
        self.add("b", count=2)
        self.round()
        first = [request.step.job[0] for request in self.tickets.noted[:4]]
        self.assertEqual(["a", "b", "a", "b"], first)

    def test_records_are_written_ahead_in_the_order_of_shares(self) -> None:
        for tracked_job in (self.add("a"), self.add("a"), self.add("b"), self.add("b")):
            tracked_job.is_recorded = False
        self.link.entry = replace(self.link.entry, capacity=Resources())
        self.round()
        self.assertEqual({"a", "b"}, {job.job.workspace for job in self.planner.to_record})

    def test_a_job_whose_record_is_missing_holds_up_no_other(self) -> None:
        """Guards against a share that is spent on jobs that can't start without the store."""
        missing = self.add("a")
        missing.is_recorded, missing.needs_record = False, True
        self.add("a", count=2)
        self.add("b", count=2)
        self.assertEqual("abab", self.round())

    def test_runs_on_a_released_endpoint_count(self) -> None:
        """Guards against a workspace that gets its share anew with each host of a wave."""
        leaving = self.add_link("e22")
        leaving.released = True
        for _ in range(3):
            self.run_of(self.add("a"), leaving)
        self.add("a", count=4)
        self.add("b", count=4)
        self.assertEqual("bbba", self.round())

    def test_stopping_and_unknown_runs_count(self) -> None:
        """Guards against a workspace whose share grows by runs that are being stopped, or that a
        new owner doesn't know yet."""
        self.run_of(self.add("a")).phase = RunPhase.STOPPING
        unknown = self.add("a")
        other = self.add_link("e22")
        other.unknown_since_by_key = {(TaskId(unknown.job.id, 0, 0, 0), 1): 0.0}
        by_id = {tracked_job.job.id: tracked_job for tracked_job in self.jobs}
        shares = shares_of(self.configuration, self.links, by_id)
        self.assertEqual(2000 / 8000, shares.dominant_share(WorkspaceId("a")))

    def test_a_start_notes_the_share_that_decided(self) -> None:
        """Guards against a wait of which no log tells the workspace, class and share."""
        self.run_of(self.add("a"))
        late = self.add("a", beyond_rate=True)
        self.add("b", a_step(2))
        self.round()
        fields = {"workspace": "a", "beyond_rate": True, "weighted_share_at_start": 0.25}
        self.assertEqual(fields, _share_fields(late))


class SameOrderTest(SharesCase):
    def timings(self, seed: int) -> dict[str, JobTiming]:
        rng = random.Random(seed)
        return {
            tracked_job.job.id: a_job_timing(
                priority=rng.randrange(2),
                long_running=rng.random() < 0.1,
                age_s=rng.uniform(0, 3),
                remaining_work=rng.choice([1.0, 2.0, 3.0]),
            )
            for tracked_job in self.jobs
        }

    def check_same(self, configuration: Configuration | None, *, feasible: bool) -> None:
        """Check that a round orders as by the key alone, and asks for each timing once in turn."""
        for seed in range(20):
            timings = self.timings(seed)
            asked: list[str] = []

            def timing_of(
                pair: tuple[TrackedJob, Queue | None],
                timings: dict[str, JobTiming] = timings,
                asked: list[str] = asked,
            ) -> JobTiming:
                asked.append(pair[0].job.id)
                return timings[pair[0].job.id]

            pairs: PAIRS = [(tracked_job, None) for tracked_job in self.jobs]
            shares = shares_of(configuration, self.links, {})
            order = RoundOrder(pairs, timing_of, shares, feasible=feasible)
            expected = sorted(
                pairs, key=lambda pair: sort_key(timings[pair[0].job.id], feasible=feasible)
            )
            self.assertEqual(expected, list(order))
            self.assertEqual(expected, list(order.expected()))
            self.assertEqual([tracked_job.job.id for tracked_job in self.jobs], asked)

    def test_a_deployment_without_workspaces_orders_as_before(self) -> None:
        self.add("a", count=10, beyond_rate=True)
        self.add("b", count=10)
        for feasible in (False, True):
            self.check_same(a_configuration(), feasible=feasible)
            self.check_same(None, feasible=feasible)

    def test_while_there_is_room_the_order_is_as_before(self) -> None:
        self.add("a", count=10, beyond_rate=True)
        self.add("b", count=10)
        self.check_same(self.configuration, feasible=True)

    def test_one_workspace_alone_is_ordered_as_before(self) -> None:
        self.add("a", count=5, beyond_rate=True)
        self.add("a", count=10)
        self.check_same(self.configuration, feasible=False)


class NewOwnerTest(TestCase):
    def test_a_new_owner_orders_as_the_former_one(self) -> None:
        """Guards against a surge that gets all the room again because the owner has changed."""
        pool = OwnedPool("e1")
        pool.configuration = with_weights(a=1, b=1)
        pool.register(an_endpoint("e1", capacity=Resources(4000, 8000)))
        self.addCleanup(pool.close)
        endpoint = pool.endpoints["e1"]
        first = pool.take_over()
        # From its first start on the pool holds a part of the workspace's cap.
        self.submit(pool, first, "b", 0)
        self.assertTrue(eventually(lambda: len(pool.starts()) == 1))
        pool.finish_all()
        for number in range(20):
            self.submit(pool, first, "a", number)
        self.assertTrue(eventually(lambda: len(pool.starts()) == 5))
        pool.close()
        second = pool.take_over()
        self.assertTrue(eventually(lambda: second.pressure() is not None))
        self.submit(pool, second, "b", 1)
        self.submit(pool, second, "b", 2)
        for count in (6, 7):
            second.pressure()
            oldest = next(key for key in endpoint.running if key[0].job[0] == "a")
            endpoint.end(*oldest)
            self.assertTrue(eventually(lambda count=count: len(pool.starts()) == count))
        shares = {use.id: use.share for use in second.workspace_use().workspaces}
        self.assertEqual({"a": 0.5, "b": 0.5}, shares)
        self.assertEqual("baaaabb", "".join(task.job[0] for task, _ in pool.starts()))

    def submit(self, pool: OwnedPool, owner: object, workspace: str, number: int) -> None:
        steps = (a_step(1, estimate_ms=60_000),)
        job = a_job("j", *steps, workspace=WorkspaceId(workspace))
        pool.submit(owner, replace(job, id=f"{workspace}{number}"))
