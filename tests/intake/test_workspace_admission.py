"""Rates and shares of workspaces at an entry host."""

import time
from typing import Any
from unittest.mock import patch

import msgspec
from msgspec.structs import replace

from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.inner import PoolPressure, WorkspaceLoad, WorkspaceLoads
from lentilrill.intake import WorkspaceAdmission
from lentilrill.scheduling import Pressure, can_accept, max_count, retry_after_s
from lentilrill.telemetry import Event
from lentilrill.workloads import Configuration, Job, JobAnswer, Workspace, Workspaces
from tests.builders import a_configuration, a_job, a_pressure
from tests.fakes import lose_answer
from tests.intake.fakes import POOL, IntakeCase

SCHOOLS, LIBRARY = WorkspaceId("schools"), WorkspaceId("library")
OTHER_POOL = PoolId("ballots")
WAITS_S = (0.0, 1.4, 1.6, 5.9, 6.1, 60.0)


def with_weights(**weights: float) -> Configuration:
    by_id = {WorkspaceId(id): Workspace(WorkspaceId(id), w) for id, w in weights.items()}
    return replace(a_configuration(), workspaces=Workspaces(by_id, {}))


def a_load(id: WorkspaceId = SCHOOLS, **changes: int) -> WorkspaceLoad:
    return WorkspaceLoad(id, **changes)


class WorkspaceAdmissionCase(IntakeCase):
    """An entry host, and a pool of 100 cores in which jobs wait for room."""

    def setUp(self) -> None:
        super().setUp()
        self.configuration: Configuration | None = with_weights(schools=19.0, library=1.0)
        self.pressures: dict[PoolId, tuple[float, PoolPressure]] = {}
        self.workspaces = WorkspaceAdmission(lambda: self.configuration, lambda: self.pressures)
        self.intake = self.new_intake(self.workspaces)
        self.lines: list[dict[str, Any]] = []
        patched = patch("lentilrill.intake._intake.log", self.record_line)
        patched.start()
        self.addCleanup(patched.stop)
        self.submitted = 0

    def record_line(self, event: Event, **fields: Any) -> None:
        if event is Event.JOB_ANSWERED:
            self.lines.append(fields)

    def report(
        self, *loads: WorkspaceLoad, age_s: float = 0.0, is_short: bool = True, pool: PoolId = POOL
    ) -> None:
        """Receive a report of a pool's owner, sent ``age_s`` seconds ago."""
        pressure = a_pressure(pool=pool, workspaces=WorkspaceLoads(is_short, 100_000, 0, loads))
        self.pressures[pool] = (time.monotonic() - age_s, pressure)
        if pool == POOL:
            self.pressure = pressure

    def submit(self, workspace: WorkspaceId = SCHOOLS) -> tuple[JobAnswer, float]:
        self.submitted += 1
        job = replace(a_job(), id=JobId(f"{self.submitted:016x}"), workspace=workspace)
        return self.intake.submit(job)

    def stored(self) -> list[Job]:
        return [
            msgspec.msgpack.decode(item.value, type=Job)
            for key, item in self.kv.items_by_key.items()
            if key.startswith(f"in/{POOL}/j/")
        ]


class ShareTest(WorkspaceAdmissionCase):
    def test_the_one_that_fills_its_share_is_refused(self) -> None:
        self.report(a_load(owed=9000))
        answer, retry_s = self.submit()
        self.assertIs(JobAnswer.OVERLOADED, answer)
        self.assertGreaterEqual(retry_s, 8.0)
        self.assertIs(JobAnswer.ACCEPTED, self.submit(LIBRARY)[0])
        refused, accepted = self.lines
        self.assertEqual(("schools", "within", 9.0), _decided(refused))
        self.assertEqual(("library", "within", 0.0), _decided(accepted))
        self.assertLess(refused["report_age_s"], 5.0)
        by_id = {each.id: each for each in self.workspaces.submissions()}
        self.assertEqual([1, 0], [by_id[SCHOOLS].refused, by_id[LIBRARY].refused])

    def test_a_changed_weight_applies_while_jobs_wait(self) -> None:
        """Guards against shares by a weight that is no longer in force."""
        loads = (a_load(LIBRARY, owed=200), a_load(owed=9000))
        self.report(*loads)
        self.assertIs(JobAnswer.OVERLOADED, self.submit(LIBRARY)[0])
        self.configuration = with_weights(schools=19.0, library=100.0)
        self.assertIs(JobAnswer.ACCEPTED, self.submit(LIBRARY)[0])
        self.configuration = with_weights(schools=19.0, library=0.5)
        self.report(*loads)
        self.assertIs(JobAnswer.OVERLOADED, self.submit(LIBRARY)[0])

    def test_what_this_host_accepted_since_the_report_counts(self) -> None:
        """Guards against a burst that is accepted whole between two reports."""
        self.report(a_load(owed=100))
        big = a_job().steps[0]
        job = replace(self.job, workspace=SCHOOLS, steps=(replace(big, count=900),))
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(job)[0])
        self.assertIs(JobAnswer.OVERLOADED, self.submit()[0])
        self.report(a_load(owed=100))
        self.assertIs(JobAnswer.ACCEPTED, self.submit()[0])

    def test_a_report_of_five_seconds_ago_refuses_nothing(self) -> None:
        """Guards against refusals for a backlog that is gone."""
        self.report(a_load(owed=9000, within_rate=9000), age_s=5.0)
        self.assertIs(JobAnswer.ACCEPTED, self.submit()[0])

    def test_a_job_that_may_be_stored_is_not_refused(self) -> None:
        """Guards against a refusal as never to run of a job that runs."""
        self.kv.commits.extend([lose_answer] * 3)
        job = replace(self.job, workspace=SCHOOLS)
        self.assertIs(JobAnswer.UNKNOWN, self.intake.submit(job)[0])
        self.report(a_load(owed=9000))
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(job)[0])

    def test_an_owner_that_reports_no_workspaces(self) -> None:
        """Guards against a full pool that takes all jobs while versions are mixed."""
        self.pressure = a_pressure(wait_s=60.0)
        self.pressures[POOL] = (time.monotonic(), self.pressure)
        self.assertIs(JobAnswer.OVERLOADED, self.submit()[0])

    def test_a_public_queue_is_decided_by_the_whole_pool(self) -> None:
        self.report(a_load(owed=9000))
        self.pressure = a_pressure(wait_s=9.0)
        self.assertIs(JobAnswer.OVERLOADED, self.intake.submit(self.job)[0])
        self.pressure = a_pressure()
        self.assertIs(JobAnswer.ACCEPTED, self.intake.submit(self.job)[0])


def _decided(line: dict[str, Any]) -> tuple[object, ...]:
    return line["workspace"], line["rate"], round(line["expected_wait_s"])


class RateTest(WorkspaceAdmissionCase):
    def classes(self) -> list[bool]:
        return [job.beyond_rate for job in self.stored()]

    def test_the_class_is_stored_with_the_job(self) -> None:
        """Guards against a later owner that takes jobs beyond the rate for owed ones."""
        self.configuration = with_weights(schools=0.25)
        for _ in range(3):
            self.submit()
        self.assertEqual([False, True, True], self.classes())
        self.assertEqual(["within", "beyond", "beyond"], [line["rate"] for line in self.lines])

    def test_all_pools_and_hosts_count(self) -> None:
        count = round(max_count(19.0) * 100)
        self.report(a_load(within_rate=count // 2))
        self.submit()
        self.report(a_load(within_rate=count // 2), pool=OTHER_POOL)
        self.submit()
        self.assertEqual([False, True], self.classes())

    def test_beyond_the_rate_is_accepted_while_there_is_room(self) -> None:
        self.configuration = with_weights(schools=0.25)
        for is_short, answer in ((False, JobAnswer.ACCEPTED), (True, JobAnswer.OVERLOADED)):
            self.report(a_load(beyond=9000, within_rate=900), is_short=is_short)
            self.assertIs(answer, self.submit()[0])

    def test_a_host_that_the_store_turns_away_uses_up_nothing(self) -> None:
        """Guards against a workspace that pays for jobs which a host could not store."""
        self.configuration = with_weights(schools=1.0)
        self.silent_s = 5.0
        for _ in range(20):
            self.assertIs(JobAnswer.UNAVAILABLE, self.submit()[0])
        self.silent_s, self.kv.down = 0.0, True
        self.assertIs(JobAnswer.UNAVAILABLE, self.submit()[0])
        self.kv.down = False
        self.submit()
        self.assertEqual([False], self.classes())

    def test_a_repeated_request_counts_once(self) -> None:
        self.configuration = with_weights(schools=1.0)
        for _ in range(20):
            self.intake.submit(replace(self.job, workspace=SCHOOLS))
        self.submit()
        self.assertEqual([False, False], self.classes())

    def test_a_workspace_that_is_renamed_or_removed(self) -> None:
        """Guards against a request that fails since its workspace has just gone."""
        self.configuration = with_weights(academy=19.0)
        self.report(a_load(owed=9000), a_load(LIBRARY, owed=50))
        self.assertIs(JobAnswer.OVERLOADED, self.submit()[0])
        self.assertEqual("beyond", self.lines[-1]["rate"])
        self.assertIs(JobAnswer.ACCEPTED, self.submit(WorkspaceId("academy"))[0])
        self.assertEqual(["academy"], [each.id for each in self.workspaces.submissions()])

    def test_weight_0_is_beyond_any_rate(self) -> None:
        self.configuration = with_weights(schools=0.0, library=1.0)
        self.report(a_load(LIBRARY, owed=9000))
        self.assertIs(JobAnswer.OVERLOADED, self.submit()[0])
        self.report(is_short=False)
        self.assertIs(JobAnswer.ACCEPTED, self.submit()[0])


class WithoutWorkspacesTest(WorkspaceAdmissionCase):
    def test_admission_is_the_same_call_by_call(self) -> None:
        """Guards against a deployment without workspaces that is served otherwise than before."""
        self.configuration = a_configuration()
        values: set[bytes | None] = set()
        for wait_s in WAITS_S:
            for late_s in (0.0, 29.0, 31.0):
                self.pressure = a_pressure(wait_s=wait_s, late_wait_s=late_s)
                self.pressures[POOL] = (time.monotonic(), self.pressure)
                pressure = Pressure(wait_s, late_s)
                before = self.kv.calls["commit"]
                answer = self.submit(WorkspaceId(""))
                fields = set(self.lines[-1])
                common = {"job", "queue", "pool", "answer"}
                if can_accept(pressure):
                    self.assertEqual((JobAnswer.ACCEPTED, 0.0), answer)
                    self.assertEqual(common | {"revision", "took_s"}, fields)
                else:
                    self.assertEqual((JobAnswer.OVERLOADED, retry_after_s(pressure)), answer)
                    self.assertEqual(common | {"wait_s", "late_s", "token"}, fields)
                    self.assertEqual(before, self.kv.calls["commit"])
        values = {item.value for item in self.kv.items_by_key.values()}
        self.assertFalse(any(value and b"beyond" in value for value in values))
        self.assertEqual((), self.workspaces.submissions())
