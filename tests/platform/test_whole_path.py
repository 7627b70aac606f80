"""Jobs on entry host processes, with a stand-in of the users' platform."""

import contextlib
import io
import re
import socket
from collections import Counter
from itertools import pairwise
from typing import Any

from testtools import TestCase
from testtools.content import text_content

from lentilrill.ctl import main
from standins.users_platform import JobUse, UsersPlatform
from tests.execution.fakes import eventually
from tests.platform.site import GRACE_S, EntrySite

SMALL = {"count": 3, "cpu": 1000, "mem_mb": 500, "estimate_ms": 200}
JOB: dict[str, Any] = {"spec": "text", "steps": [SMALL, SMALL | {"count": 2, "after": [0]}]}


def path(number: int) -> str:
    return f"/proofs/{number:016x}"


class WholePathTest(TestCase):
    def begin(self, *, task_s: float, hosts: int = 2, advised: bool = False) -> None:
        self.prepare(task_s=task_s, hosts=hosts, advised=advised)
        self.assertTrue(self.site.start_all())

    def prepare(self, *, task_s: float, hosts: int = 2, advised: bool = False) -> None:
        self.platform = UsersPlatform(task_s)
        self.addCleanup(self.platform.close)
        self.platform.configure(3, {"/proofs/": "notices"}, advised=advised)
        self.workers = [self.platform.add_host("notices") for _ in range(3)]
        self.site = EntrySite(self.platform, hosts)
        self.addCleanup(self.site.close)
        self.addOnException(lambda _: self.add_outputs())

    def add_outputs(self) -> None:
        """Attach the output of the entry hosts to a failure."""
        for name in self.site.processes:
            self.addDetail(name, text_content(self.site.output(name)))

    def owner(self, shard: str = "notices") -> str:
        return str((self.platform.value(f"m/o/{shard}") or {}).get("process", ""))

    def all_completed(self, name: str, jobs: int) -> bool:
        return all(self.site.state(name, path(n)) == "completed" for n in range(jobs))

    def check_runs(self) -> None:
        """Check that each task completed exactly once and that its runs did not overlap."""
        done = Counter(r.task for r in self.platform.records if r.end_kind == "done")
        self.assertEqual({1}, set(done.values()))
        runs_by_task: dict[str, list[Any]] = {}
        for record in self.platform.records:
            runs_by_task.setdefault(record.task, []).append(record)
        for runs in runs_by_task.values():
            runs.sort(key=lambda run: run.began)
            for former, later in pairwise(runs):
                self.assertTrue(former.ended and former.ended <= later.began, (former, later))

    def test_jobs_are_done_once_whichever_host_takes_them(self) -> None:
        self.begin(task_s=0.1)
        for number in range(6):
            self.assertEqual(200, self.site.submit(f"front-{number % 2}", path(number), JOB))
            self.assertEqual(200, self.site.submit(f"front-{1 - number % 2}", path(number), JOB))
        for name in self.site.settings:
            self.assertTrue(eventually(lambda name=name: self.all_completed(name, 6)))
        self.check_runs()
        self.assertEqual("410", self.site.state("front-0", path(99)))
        self.assertEqual(404, self.site.submit("front-0", "/nowhere/" + path(1)[8:], JOB))
        self.assertEqual(400, self.site.submit("front-0", path(7), {"spec": 1}))
        large = JOB | {"spec": "x" * 300_000}
        self.assertEqual(413, self.site.submit("front-0", path(8), large))
        self.assertEqual(405, self.site.request("BREW", "front-0", path(0)))
        metrics = self.site.metrics("front-0")
        self.assertIn("lentilrill_ingress_post_200_total", metrics)
        self.assertIn("lentilrill_ingress_other_405_total", metrics)
        self.assertNotIn("brew", metrics)

    def test_a_queue_whose_policy_allows_only_some_endpoints(self) -> None:
        """Guards against starts without a valid ticket, which endpoints of such a queue refuse.

        Tickets of the policy service expire after a second and a half, so later steps need new
        ones.
        """
        self.begin(task_s=0.7, advised=True)
        blocked_endpoint = self.platform.endpoint_of(self.workers[0])
        self.platform.policy.blocked.add(blocked_endpoint)
        for number in range(3):
            self.assertEqual(200, self.site.submit("front-0", path(number), JOB))
        self.assertTrue(eventually(lambda: self.all_completed("front-1", 3)))
        self.check_runs()
        self.assertNotIn(blocked_endpoint, {record.endpoint for record in self.platform.records})

    def test_a_killed_owner_costs_no_job(self) -> None:
        """Guards against losing the jobs of a pool whose owner is killed.

        The tasks continue under their run leases. Another host takes the pool over, finds the
        runs by polling the endpoints, and completes the jobs; nothing runs twice.
        """
        self.begin(task_s=1.0)
        for number in range(4):
            self.assertEqual(200, self.site.submit("front-0", path(number), JOB))
        self.assertTrue(eventually(lambda: len(self.platform.records) >= 6))
        owner = self.platform.value("m/o/notices")
        assert owner is not None
        self.site.kill(owner["process"])
        [other] = set(self.site.settings) - {owner["process"]}
        self.assertTrue(eventually(lambda: self.all_completed(other, 4)))
        self.check_runs()

    def test_answers_that_are_lost_run_nothing_twice(self) -> None:
        """Guards against a second run, or a missing end, of a task whose answer was lost."""
        self.begin(task_s=0.3)
        self.platform.lose_every_nth = 4
        for number in range(6):
            self.assertEqual(200, self.site.submit("front-0", path(number), JOB))
        self.assertTrue(eventually(lambda: self.all_completed("front-1", 6)))
        self.check_runs()

    def test_all_hosts_killed_at_once_lose_no_job(self) -> None:
        """Guards against losing accepted jobs when all entry hosts die at the same time.

        The hosts are killed twice, so that the second time the jobs were already taken over
        once, and answers of endpoints are lost meanwhile.
        """
        self.begin(task_s=0.6)
        self.platform.lose_every_nth = 7
        for number in range(6):
            self.assertEqual(200, self.site.submit("front-0", path(number), JOB))
        for _ in range(2):
            for name in list(self.site.settings):
                self.site.kill(name)
            self.assertTrue(self.site.start_all())
        for name in self.site.settings:
            self.assertTrue(eventually(lambda name=name: self.all_completed(name, 6)))
        self.check_runs()

    def test_a_pool_that_a_strong_host_takes_over_from_a_weak_one_loses_no_job(self) -> None:
        """Guards against late starts because a host without enough capacity keeps a pool."""
        self.prepare(task_s=2.0)
        self.site.settings["front-0"]["limits"] = {"cpu_share": 0.1}
        self.site.start("front-0")
        self.assertTrue(eventually(lambda: self.owner() == self.owner("@fleet") == "front-0"))
        for number in range(4):
            self.assertEqual(200, self.site.submit("front-0", path(number), JOB))
        self.site.start("front-1")
        self.assertTrue(eventually(lambda: self.owner() == "front-1"))
        for name in self.site.settings:
            self.assertTrue(eventually(lambda name=name: self.all_completed(name, 4)))
        self.check_runs()
        self.assertIn("shard_handed_over", self.site.output("front-0"))

    def test_a_stopped_host_ends_by_itself(self) -> None:
        """Guards against a process that does not exit after SIGTERM and is killed after its grace.

        It had handed over its pools and logged its end, but its readiness server was not stopped,
        and the threads of that server kept the process alive.
        """
        self.begin(task_s=0.5)
        self.assertEqual(200, self.site.submit("front-0", path(0), JOB))
        self.assertEqual(0, self.site.end("front-0"))
        self.assertTrue(eventually(lambda: self.all_completed("front-1", 1)))
        self.check_runs()

    def test_a_host_that_cannot_listen_ends(self) -> None:
        """Guards against a host that owns a pool without a readiness port and never exits."""
        self.begin(task_s=0.1, hosts=1)
        self.assertEqual(0, self.site.end("front-0"))
        address, _, port = self.site.settings["front-0"]["readiness"].partition(":")
        with socket.create_server((address, int(port))):
            self.site.start("front-0")
            self.assertEqual(1, self.site.processes["front-0"].wait(timeout=GRACE_S))

    def test_a_wave_takes_down_no_more_hosts_than_it_may(self) -> None:
        self.begin(task_s=0.1)
        self.platform.declare_wave(1, self.workers, cap=1)
        key = "status/wave/1"
        self.assertTrue(
            eventually(lambda: (self.platform.value(key) or {}).get("state") == "completed")
        )
        self.assertEqual(1, self.platform.max_down)
        self.assertEqual(200, self.site.submit("front-0", path(1), JOB))
        self.assertTrue(eventually(lambda: self.site.state("front-0", path(1)) == "completed"))

    def test_while_the_store_is_away_jobs_are_refused_and_tasks_go_on(self) -> None:
        """Guards against killed tasks and waiting callers in an outage of the store."""
        self.begin(task_s=3.0)
        self.assertEqual(200, self.site.submit("front-0", path(1), JOB))
        self.assertTrue(eventually(lambda: len(self.platform.records) == 3))
        self.platform.store.down = True
        self.assertTrue(eventually(lambda: not self.site.is_ready("front-0")))
        self.assertEqual(503, self.site.submit("front-0", path(2), JOB))
        self.assertTrue(
            eventually(lambda: all(run.end_kind == "done" for run in self.platform.records[:3]))
        )
        self.platform.store.down = False
        self.assertTrue(eventually(lambda: self.site.state("front-0", path(1)) == "completed"))
        self.check_runs()

    def test_keys_in_force_and_taken_away(self) -> None:
        """Guards against a key that serves on some entry host after it was taken away."""
        self.prepare(task_s=0.1)
        queues = {"/proofs/": "notices"}
        keys = {"schools": {"api_keys": ["s1", "s2"]}, "library": {"api_keys": ["l1"]}}
        self.platform.configure(4, queues, workspaces=keys)
        self.assertTrue(self.site.start_all())
        self.assertEqual(200, self.site.submit("front-0", path(0), JOB, "s1"))
        self.assertEqual(401, self.site.submit("front-0", path(1), JOB))
        self.assertEqual(401, self.site.submit("front-1", path(1), JOB, "s3"))
        self.assertEqual(409, self.site.submit("front-1", path(0), JOB, "l1"))
        for name in self.site.settings:
            self.assertEqual("410", self.site.state(name, path(0), "l1"))
            self.assertTrue(
                eventually(lambda n=name: self.site.state(n, path(0), "s2") == "completed")
            )
        self.platform.configure(5, queues, workspaces=keys | {"schools": {"api_keys": ["s2"]}})
        for name in self.site.settings:
            self.assertTrue(eventually(lambda n=name: self.site.state(n, path(0), "s1") == "401"))
            self.assertEqual("completed", self.site.state(name, path(0), "s2"))
        self.assertEqual(401, self.site.cancel("front-0", path(0), "s1"))
        self.check_runs()
        self.assertEqual({f"{0:016x}"}, {record.task[:16] for record in self.platform.records})

    def test_a_cap_holds_over_pools_and_a_lost_owner(self) -> None:
        """Guards against a workspace above its cap while an owner of its pools is replaced."""
        self.prepare(task_s=0.3, hosts=3)
        for _ in range(3):
            self.platform.add_host("library")
        queues = {"/proofs/": "notices", "/books/": "library"}
        cap = {"cpu": 4000, "mem_mb": 0, "gpu": 0}
        self.platform.configure(4, queues, workspaces={"schools": {"api_keys": ["s1"], "cap": cap}})
        self.assertTrue(self.site.start_all())
        paths = [f"/{('proofs', 'books')[n % 2]}/{n:016x}" for n in range(6)]
        for job_path in paths:
            job = job_path.rpartition("/")[2]
            self.platform.use_by_job[job] = JobUse("schools", 1000)
            self.assertEqual(200, self.site.submit("front-0", job_path, JOB, "s1"))
        self.assertTrue(eventually(lambda: len(self.platform.records) >= 4))
        # A pool that passes from one owner to the next has none for a moment.
        self.assertTrue(eventually(lambda: bool(self.owner())))
        lost = self.owner()
        self.site.kill(lost)
        remaining = next(name for name in self.site.settings if name != lost)
        self.assertTrue(
            eventually(
                lambda: all(self.site.state(remaining, p, "s1") == "completed" for p in paths)
            )
        )
        self.assertEqual([], self.platform.excess_starts())
        self.check_runs()

    def test_the_command_line_shows_what_a_workspace_uses(self) -> None:
        self.prepare(task_s=1.0, hosts=1)
        cap = {"cpu": 2000, "mem_mb": 0, "gpu": 0}
        keys = {"schools": {"api_keys": ["s1"], "cap": cap}}
        self.platform.configure(4, {"/proofs/": "notices"}, workspaces=keys)
        self.assertTrue(self.site.start_all())
        self.assertEqual(200, self.site.submit("front-0", path(0), JOB, "s1"))
        address = self.site.settings["front-0"]["metrics"]

        def shows_the_cap() -> bool:
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(0, main(["workspaces", "--entry-host", address]))
            return bool(re.search(r"notices +schools +2/1 +2/\S+ +1/0 +2/0", output.getvalue()))

        self.assertTrue(eventually(shows_the_cap))

    def test_the_command_line_shows_the_speed_of_endpoints(self) -> None:
        self.prepare(task_s=1.0, hosts=1)
        self.platform.configure(4, {"/proofs/": "notices"})
        self.assertTrue(self.site.start_all())
        address = self.site.settings["front-0"]["metrics"]

        def shows_an_endpoint() -> bool:
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(0, main(["endpoints", "--entry-host", address]))
            return bool(re.search(r"notices +\S+ +normal +- +0 +0 +0", output.getvalue()))

        self.assertTrue(eventually(shows_an_endpoint))

    def test_a_workspace_without_keys_keeps_its_jobs(self) -> None:
        """Guards against losing the accepted jobs of a workspace whose last key was taken away."""
        self.prepare(task_s=0.4)
        queues = {"/proofs/": "notices"}
        self.platform.configure(4, queues, workspaces={"schools": {"api_keys": ["s1"]}})
        self.assertTrue(self.site.start_all())
        self.assertEqual(200, self.site.submit("front-0", path(0), JOB, "s1"))
        self.platform.configure(5, queues, workspaces={"schools": {"api_keys": []}})
        self.assertTrue(eventually(lambda: self.site.state("front-0", path(0), "s1") == "401"))
        # Five tasks, of which the last two begin after the key was taken away.
        done = lambda: [r for r in self.platform.records if r.end_kind == "done"]  # noqa: E731
        self.assertTrue(eventually(lambda: len(done()) == 5))
        self.platform.configure(6, queues, workspaces={"schools": {"api_keys": ["s9"]}})
        self.assertTrue(
            eventually(lambda: self.site.state("front-0", path(0), "s9") == "completed")
        )
