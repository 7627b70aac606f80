"""An owner's report of its pool's load by workspace."""

import time

from msgspec.structs import replace

from lentilrill.execution import PoolOwner
from lentilrill.execution._demand import PoolDemand
from lentilrill.execution._tracking import Run, TrackedJob
from lentilrill.execution._workspace_backlog import MAX_BY_JOBS, MAX_BY_WORK, WorkspaceReporter
from lentilrill.ids import EndpointId, Incarnation, JobId, ProcessId, Revision, WorkspaceId
from lentilrill.inner import Batch, HostNews, PoolPressure, WorkspaceLoad, WorkspaceLoads, encode
from lentilrill.scheduling import JobTiming
from lentilrill.workloads import Configuration, Resources, Step
from tests.builders import (
    a_configuration,
    a_job,
    a_job_timing,
    a_pressure,
    a_step,
    an_endpoint,
    some_workspaces,
)
from tests.execution.cases import TrackedJobCase
from tests.execution.fakes import OwnedPool, eventually

SCHOOLS, LIBRARY = WorkspaceId("schools"), WorkspaceId("library")
SHORT = PoolDemand(3.0, 3.0, feasible=False)
MAX_MESSAGE_BYTES = 1300


def with_workspaces() -> Configuration:
    return replace(a_configuration(), workspaces=some_workspaces(schools="k1", library="k2"))


class WorkspaceReportTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.link.registered = True
        self.reporter = WorkspaceReporter()
        self.tracked: list[tuple[TrackedJob, JobTiming]] = []

    def add_job(
        self,
        workspace: str,
        *,
        is_beyond: bool = False,
        steps: tuple[Step, ...] = (),
        **timing: float,
    ) -> TrackedJob:
        job = replace(
            a_job("a", *steps),
            id=JobId(f"{len(self.tracked):016x}"),
            workspace=WorkspaceId(workspace),
            beyond_rate=is_beyond,
        )
        tracked_job = TrackedJob(job, Revision(1), time.monotonic())
        tracked_job.open_occurrences(0)
        self.tracked.append((tracked_job, a_job_timing(**timing)))
        return tracked_job

    def report(self, demand: PoolDemand = SHORT) -> WorkspaceLoads:
        return self.reporter.report(self.tracked, [self.link], demand, time.monotonic())

    def test_work_by_class(self) -> None:
        self.add_job("schools", remaining_work=2.0)
        self.add_job("schools", remaining_work=3.0, is_beyond=True)
        self.add_job("schools", remaining_work=4.0, age_s=9.0)
        self.assertEqual((WorkspaceLoad(SCHOOLS, 20, 30, 40, 0),), self.report().listed)

    def test_only_work_that_waits_delays_a_new_job(self) -> None:
        """Guards against refusals in a pool that is busy and has room for each new job."""
        steps = (a_step(2), a_step(6, after=(0,)))
        tracked_job = self.add_job("schools", steps=steps, remaining_work=80.0)
        self.assertEqual(200, self.report().listed[0].owed)
        first = tracked_job.steps_by_occurrence[0][0].tasks[0]
        first.runs.append(Run(first, 1, EndpointId("e1"), Resources()))
        self.assertEqual(100, self.report().listed[0].owed)

    def test_short_only_if_jobs_wait_and_will_be_late(self) -> None:
        self.assertFalse(self.report().is_short)
        self.add_job("schools")
        self.assertTrue(self.report().is_short)
        self.assertFalse(self.report(replace(SHORT, feasible=True)).is_short)

    def test_capacity_that_is_there_and_on_its_way(self) -> None:
        loads = self.report()
        self.assertEqual((4000, 8000), (loads.present_cpu, loads.coming_cpu))
        lasting = self.add(a_step(1, lasting=True, needs=Resources(1500, 100)))
        self.run_of(lasting)
        self.assertEqual(2500, self.report().present_cpu)
        self.link.capacity_share = 0.5
        self.assertEqual(1250, self.report().present_cpu)

    def test_a_new_owner_counts_as_the_former_one(self) -> None:
        """Guards against a workspace that gains or loses by the loss of a pool's owner."""
        now = time.monotonic()
        for index in reversed(range(12)):
            job = self.add_job("schools", is_beyond=index % 3 == 0)
            job.arrived_at = now - index / 4
            self.reporter.record(job, now - index / 8)
        before = self.reporter.report([], [], SHORT, now).listed
        following = WorkspaceReporter()
        following.restore([tracked_job for tracked_job, _ in self.tracked], now)
        self.assertEqual(before, following.report([], [], SHORT, now).listed)

    def test_the_report_is_bounded_in_workspaces_and_bytes(self) -> None:
        """Guards against reports that fill the links between entry hosts in a large deployment."""
        for count in (20, 480):
            self.tracked.clear()
            for index in range(count):
                job = self.add_job(f"workspace-{index:04d}", remaining_work=1000.0 + index)
                self.reporter.record(job, time.monotonic())
            loads = self.report()
            self.assertEqual(min(count, MAX_BY_WORK + MAX_BY_JOBS), len(loads.listed))
            owed = sum(load.owed for load in loads.listed) + loads.rest_owed
            self.assertEqual(sum(10_000 + 10 * index for index in range(count)), owed)
            status = HostNews(0.0, 1, (a_pressure(workspaces=loads),))
            batch = Batch(ProcessId("h1"), Incarnation(1), "10.0.0.1:1", (status,))
            self.assertLess(len(encode(batch)), MAX_MESSAGE_BYTES)


class OwnerReportTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint())

    def submit(self, owner: PoolOwner, number: int, **changes: object) -> None:
        job = replace(a_job(), id=JobId(f"{number:016x}"), accepted_ms=int(time.time() * 1000))
        self.pool.submit(owner, replace(job, **changes))

    def pressure(self, owner: PoolOwner) -> PoolPressure:
        self.assertTrue(eventually(lambda: owner.pressure() is not None))
        pressure = owner.pressure()
        assert pressure is not None
        return pressure

    def load(self, owner: PoolOwner) -> WorkspaceLoad:
        loads = self.pressure(owner).workspaces
        assert loads is not None
        return next(load for load in loads.listed if load.workspace == SCHOOLS)

    def test_the_next_owner_reports_alike_in_the_middle_of_a_surge(self) -> None:
        """Guards against a workspace that gains or loses by the loss of a pool's owner."""
        self.pool.configuration = with_workspaces()
        owner = self.pool.take_over()
        self.pressure(owner)
        for number in range(30):
            self.submit(owner, number, workspace=SCHOOLS, beyond_rate=number >= 10)
        owner.close()
        after = self.load(self.pool.take_over())
        self.assertTrue(0 < after.within_rate <= 1000)
        self.assertGreater(after.beyond + after.overdue, 0)

    def test_no_report_without_workspaces(self) -> None:
        owner = self.pool.take_over()
        self.pressure(owner)
        self.submit(owner, 1)
        self.assertIsNone(self.pressure(owner).workspaces)
