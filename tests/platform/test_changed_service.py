"""Jobs on entry host processes whose queue changes its pool, with a stand-in of the platform."""

from collections.abc import Callable

from testtools import TestCase
from testtools.content import text_content

from standins.users_platform import RunRecord, UsersPlatform
from tests.execution.fakes import eventually
from tests.platform.site import EntrySite

PATH = "/proofs/5c0e7a21d94b36f8"
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000}
JOB = {"spec": "text", "steps": [STEP]}
ROUTES = {"/books/": "library", "/proofs/": "notices"}
CHANGED_ROUTES = ROUTES | {"/proofs/": "library", "/texts/": "notices"}
LEFT_OUT = ROUTES | {"/proofs/": "library"}
TASK_S = 3.0
REPEATS = 4
WAITING = 3


class ChangedServiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = UsersPlatform(TASK_S)
        self.addCleanup(self.platform.close)
        self.platform.configure(1, ROUTES)
        self.hosts = [self.platform.add_host("notices") for _ in range(2)]
        for _ in range(2):
            self.platform.add_host("library")
        self.site = EntrySite(self.platform, 2)
        self.addCleanup(self.site.close)
        self.addOnException(lambda _: self.add_outputs())
        self.assertTrue(self.site.start_all())

    def add_outputs(self) -> None:
        for name in self.site.processes:
            self.addDetail(name, text_content(self.site.output(name)))

    def change_service(self, routes: dict[str, str] = CHANGED_ROUTES) -> None:
        self.platform.configure(2, routes)
        in_force = '"configuration_in_force","version":2'
        self.assertTrue(
            eventually(lambda: all(in_force in self.log(name) for name in self.site.settings))
        )

    def log(self, name: str) -> str:
        return (self.site.folder / f"{name}.log").read_text(errors="replace")

    def submit_and_start(self) -> None:
        self.assertEqual(200, self.site.submit("front-0", PATH, JOB))
        self.assertTrue(eventually(lambda: len(self.runs()) == 2))

    def runs(self, matches: Callable[[RunRecord], bool] = lambda run: True) -> list[RunRecord]:
        return [run for run in self.platform.records if matches(run)]

    def test_a_job_submitted_again_after_its_queue_changed_its_pool_runs_once(self) -> None:
        """Guards against two runs of each task, one in each pool."""
        self.submit_and_start()
        self.change_service()
        for _ in range(REPEATS):
            self.assertEqual(200, self.site.submit("front-1", PATH, JOB))
        self.assertTrue(eventually(lambda: self.site.state("front-1", PATH) == "completed"))
        self.assertEqual(200, self.site.submit("front-0", PATH, JOB))
        self.assertEqual(2, len(self.runs()))
        self.assertEqual(2, len(self.runs(lambda run: run.end_kind == "done")))

    def test_a_job_is_cancelled_after_its_queue_changed_its_pool(self) -> None:
        """Guards against tasks that run on, or start again, though their job was cancelled."""
        self.submit_and_start()
        self.change_service()
        self.assertEqual(200, self.site.cancel("front-1", PATH))
        self.assertTrue(eventually(lambda: all(run.ended for run in self.runs())))
        self.assertEqual(200, self.site.submit("front-0", PATH, JOB))
        self.assertEqual("cancelled", self.site.state("front-0", PATH))
        self.assertEqual(2, len(self.runs(lambda run: run.end_kind == "stopped")))
        self.assertEqual(2, len(self.runs()))

    def test_a_job_ends_though_its_pool_is_left_out_and_its_owner_is_lost(self) -> None:
        """Guards against an accepted job that nobody runs, as no queue names its pool any more."""
        self.submit_and_start()
        self.change_service(LEFT_OUT)
        owner = str((self.platform.value("m/o/notices") or {}).get("process"))
        [other] = self.site.settings.keys() - {owner}
        self.assertEqual(200, self.site.submit(other, PATH, JOB))
        self.site.kill(owner)
        self.assertTrue(eventually(lambda: self.site.state(other, PATH) == "completed"))
        self.assertEqual(2, len(self.runs(lambda run: run.end_kind == "done")))
        endpoints = {self.platform.endpoint_of(host) for host in self.hosts}
        self.assertLessEqual({run.endpoint for run in self.runs()}, endpoints)

    def test_waiting_jobs_are_counted_after_their_queue_changed_its_pool(self) -> None:
        """Guards against a queue that is shown as empty while its jobs wait in its former pool."""
        waiting = {"spec": "text", "steps": [STEP | {"requires": "no-endpoint-has-it"}]}
        for number in range(WAITING):
            self.assertEqual(200, self.site.submit("front-0", f"/proofs/{number:016x}", waiting))
        self.assertTrue(eventually(self.all_count))
        self.change_service()
        self.assertTrue(eventually(self.all_count))
        for name in self.site.settings:
            self.site.kill(name)
        self.assertTrue(self.site.start_all())
        self.assertTrue(eventually(self.all_count))

    def all_count(self) -> bool:
        """Whether each host counts the jobs that wait."""
        return all(self.site.pending(name, "/proofs/") == WAITING for name in self.site.settings)
