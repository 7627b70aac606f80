"""Cancelled jobs whose owner is lost while endpoints leave its stops unanswered."""

from collections.abc import Callable
from typing import Any

from testtools import TestCase
from testtools.content import text_content

from lentilrill.workloads import progress_key
from standins.users_platform import RunRecord, SeenJob, UsersPlatform
from tests.execution.fakes import eventually
from tests.platform.site import EntrySite

CANCEL_MS = 3000
"""Time after which no task of a cancelled job is started any more."""
STOP_TIMEOUT_MS = 200
"""Time that a run may take to stop."""
STOPPED_WITHIN_S = (CANCEL_MS + STOP_TIMEOUT_MS) / 1000
TASK_S = 60.0
"""Well above the duration of a test, so that no task is done before its end."""
POOL = "notices"
JOB = f"{1:016x}"
JOB_PATH = f"/proofs/{JOB}"
TASKS = 6
STEP: dict[str, Any] = {"count": TASKS, "cpu": 1000, "mem_mb": 500, "estimate_ms": 60_000}


class CancelledJobTest(TestCase):
    def begin(self, **step: Any) -> None:
        """Start a site, and bring all tasks of a job to work that has one step."""
        self.platform = UsersPlatform(TASK_S)
        self.addCleanup(self.platform.close)
        # A take-over on a slow machine takes longer than a lease, and is not judged here.
        self.platform.leases_lapse = False
        self.platform.configure(3, {"/proofs/": POOL})
        for _ in range(3):
            self.platform.add_host(POOL)
        self.site = EntrySite(self.platform, 3)
        self.addCleanup(self.site.close)
        self.addOnException(lambda _: self.add_outputs())
        self.assertTrue(self.site.start_all())
        job = {"spec": "text", "steps": [STEP | step]}
        self.platform.jobs_by_id[JOB] = SeenJob.from_body(JOB, POOL, job)
        self.assertEqual(200, self.site.submit("front-0", JOB_PATH, job))
        self.assertTrue(eventually(lambda: len(self.unended()) == TASKS))
        self.assertTrue(eventually(lambda: self.site.state("front-0", JOB_PATH) == "running"))

    def add_outputs(self) -> None:
        """Attach the output of the entry hosts to a failure."""
        for name in self.site.processes:
            self.addDetail(name, text_content(self.site.output(name)))

    def unended(self) -> list[RunRecord]:
        return [run for run in self.platform.records if not run.ended]

    def owner(self) -> str:
        return str((self.platform.value(f"m/o/{POOL}") or {}).get("process", ""))

    def owner_revision(self) -> int:
        """Return the revision of the owner in the store; 0 without an owner."""
        return int(self.platform.store.items.get(f"m/o/{POOL}", {}).get("revision", 0))

    def stored_state(self) -> str:
        return str((self.platform.value(progress_key(POOL, JOB)) or {}).get("state", ""))

    def load_count(self) -> int:
        """Return how often any entry host became the pool's owner and read its jobs."""
        counts = (
            self.site.count_lines(name, event="shard_loaded", shard=POOL)
            for name in self.site.settings
        )
        return sum(counts)

    def cancel(self) -> None:
        """Cancel the job at a host that isn't its owner, and wait until its end is stored.

        From then on no stop is answered or executed.
        """
        self.assertTrue(eventually(lambda: bool(self.owner())))
        owner = self.owner()
        self.platform.ignores_stops = True
        other = next(name for name in self.site.settings if name != owner)
        self.assertEqual(2, self.site.cancel(other, JOB_PATH) // 100)
        self.assertTrue(eventually(lambda: self.stored_state() == "cancelled"))

    def replace_owner(self, lose: Callable[[str], None]) -> str:
        """Wait until the pool has another owner that has read its jobs; return the former one.

        :param lose: makes an entry host lose the pool.
        """
        former, former_revision, loads = self.owner(), self.owner_revision(), self.load_count()
        lose(former)
        self.assertTrue(eventually(lambda: self.owner_revision() not in (0, former_revision)))
        self.assertTrue(eventually(lambda: self.load_count() > loads))
        self.assertEqual(TASKS, len(self.unended()))
        return former

    def restart_all(self) -> None:
        """Kill all entry hosts, and then start them again."""
        for name in list(self.site.settings):
            self.site.kill(name)
        for name in self.site.settings:
            self.site.start(name)

    def check_all_stopped(self) -> None:
        """Answer stops again, and check that each run ends in time because it is stopped."""
        self.platform.ignores_stops = False
        eventually(lambda: not self.unended(), STOPPED_WITHIN_S)
        self.assertEqual([], self.unended())
        self.assertEqual({"stopped"}, {run.end_kind for run in self.platform.records})

    def test_a_lasting_job_ends_though_its_owner_is_killed(self) -> None:
        """Guards against lasting tasks of a cancelled job that the next owner never stops.

        The end of the job is stored and the stops are not answered when its owner is killed.
        """
        self.begin(long_running=True)
        self.cancel()
        self.replace_owner(self.site.kill)
        self.check_all_stopped()

    def test_a_job_ends_though_its_owner_is_killed(self) -> None:
        """Guards against tasks of a cancelled job that the next owner lets run until done."""
        self.begin()
        self.cancel()
        self.replace_owner(self.site.kill)
        self.check_all_stopped()

    def test_a_gang_ends_though_its_owner_is_killed(self) -> None:
        """Guards against a gang of a cancelled job that the next owner lets run until done."""
        self.begin(gang=True)
        self.cancel()
        self.replace_owner(self.site.kill)
        self.check_all_stopped()

    def test_a_job_that_may_have_copies_ends_though_its_owner_is_killed(self) -> None:
        """Guards against tasks that may have copies, which the next owner lets run until done."""
        self.begin(speculative=True)
        self.cancel()
        self.replace_owner(self.site.kill)
        self.check_all_stopped()

    def test_a_job_ends_though_two_owners_are_killed(self) -> None:
        """Guards against runs of a cancelled job that the next owner but one never stops."""
        self.begin()
        self.cancel()
        for _ in range(2):
            self.replace_owner(self.site.kill)
        self.check_all_stopped()

    def test_a_job_ends_though_its_owner_hangs(self) -> None:
        """Guards against runs that neither the next owner stops nor one that hung and is back.

        The one that is back still has the runs, but the endpoints refuse its orders.
        """
        self.begin()
        self.cancel()
        former = self.replace_owner(self.site.hang)
        self.site.resume(former)
        self.check_all_stopped()

    def test_a_job_ends_though_its_owner_hands_over(self) -> None:
        """Guards against stops that an owner had ordered, and that its hand-over loses."""
        self.begin()
        self.cancel()
        self.replace_owner(lambda name: self.assertEqual(0, self.site.end(name)))
        self.check_all_stopped()

    def test_a_job_ends_though_all_hosts_are_killed(self) -> None:
        """Guards against runs of a cancelled job that go on after a restart of all entry hosts."""
        self.begin()
        self.cancel()
        self.replace_owner(lambda _: self.restart_all())
        self.check_all_stopped()
