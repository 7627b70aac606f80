"""Caps of workspaces that hold across pools with different owners."""

import threading
import time
from collections.abc import Callable

import msgspec
from msgspec.structs import replace
from testtools import TestCase

from lentilrill.execution import PoolOwner
from lentilrill.execution._allowances import AllowanceBook
from lentilrill.ids import PoolId, Revision, WorkspaceId
from lentilrill.scheduling import Allowances, PoolAllowance
from lentilrill.store import Compare
from lentilrill.telemetry import NoMetrics
from lentilrill.workloads import Configuration, Job, PoolEntry, Resources, Workspace, Workspaces
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually, state_of
from tests.fakes import FakeKeyValue, lose_answer

SCHOOLS = WorkspaceId("schools")
RECORD = "a/schools"
CONFIGURATION_KEY = "configuration"
POOLS = ("notices", "library")


def with_cap(cpu: int, version: int = 1) -> Configuration:
    by_id = {SCHOOLS: Workspace(SCHOOLS, cap=Resources(cpu))}
    pools = (*(PoolEntry(PoolId(name)) for name in POOLS), PoolEntry(PoolId("standby"), True))
    return replace(a_configuration(version), pools=pools, workspaces=Workspaces(by_id, {}))


class CapsTest(TestCase):
    """Two pools with room for eight tasks of one core each.

    :cvar most: maximum tasks that may run.
    """

    most = 4

    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.pools = {}
        for name in POOLS:
            pool = OwnedPool(f"{name}1", f"{name}2", pool=name, kv=self.kv)
            for endpoint in pool.endpoints:
                pool.register(replace(an_endpoint(endpoint), pool=PoolId(name)))
            self.addCleanup(pool.close)
            self.pools[name] = pool
        self.configure(with_cap(4000))

    def configure(self, configuration: Configuration, *names: str) -> None:
        """Write a configuration and put it in force in some pools, by default in all."""
        revision = Revision(self.kv.put(CONFIGURATION_KEY, b"configuration"))
        for name in names or POOLS:
            self.pools[name].configuration = configuration
            self.pools[name].configuration_key = Compare(CONFIGURATION_KEY, revision)

    def add(self, owner: PoolOwner, name: str, tasks: int) -> Job:
        job = replace(a_job(name, a_step(tasks), workspace=SCHOOLS), pool=owner.pool)
        owner.add_job(msgspec.msgpack.encode(job), Revision(self.kv.put(f"job {name}", b"")))
        return job

    def running(self, name: str) -> int:
        return sum(len(e.running) for e in self.pools[name].endpoints.values())

    def reaches(self, condition: Callable[[], bool]) -> None:
        """Check that a condition becomes true, and that the cap holds until then."""

        def check() -> bool:
            self.assertLessEqual(sum(self.running(name) for name in POOLS), self.most)
            return condition()

        self.assertTrue(eventually(check))

    def allowance(self, pool: str) -> PoolAllowance:
        """Return what a pool holds of the workspace's cap, as stored; nothing if unreadable."""
        value = self.kv.items_by_key[RECORD].value
        try:
            stored = msgspec.msgpack.decode(value or b"", type=Allowances)
        except msgspec.DecodeError:
            stored = Allowances()
        return stored.of(PoolId(pool))

    def test_a_cap_holds_over_two_pools(self) -> None:
        """Guards against a workspace that uses its whole cap in each of its pools."""
        owners = {name: self.pools[name].take_over() for name in POOLS}
        jobs = {name: self.add(owner, name[0], 6) for name, owner in owners.items()}
        self.reaches(lambda: sum(self.running(name) for name in POOLS) == 4)
        for _ in range(40):
            for name, pool in self.pools.items():
                if all(state_of(owners[n], jobs[n].id) for n in POOLS) and self.running(name):
                    pool.finish_all()
            self.reaches(lambda: True)
        self.reaches(lambda: self.finish_and_count() == 12)

    def finish_and_count(self) -> int:
        for pool in self.pools.values():
            pool.finish_all()
        return sum(len(pool.starts()) for pool in self.pools.values())

    def test_a_pool_without_work_returns_what_another_needs(self) -> None:
        """Guards against tasks that wait though nothing of their workspace runs any more."""
        first = self.pools["notices"].take_over()
        self.add(first, "a", 4)
        self.reaches(lambda: self.running("notices") == 4)
        second = self.pools["library"].take_over()
        self.add(second, "b", 4)
        self.pools["notices"].finish_all()
        self.reaches(lambda: self.running("library") == 4)

    def test_what_runs_of_an_ended_job_is_given_back_by_the_next_owner(self) -> None:
        """Guards against a workspace that can't use its cap: a pool held it for the runs of a job
        that was cancelled, and whose stops got no answer before its owner was lost."""
        notices = self.pools["notices"]
        first = notices.take_over()
        job = self.add(first, "a", 4)
        self.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
        self.reaches(lambda: self.running("notices") == 4)
        for endpoint in notices.endpoints.values():
            endpoint.silent = True
        first.cancel(job.id)
        record = f"p/notices/{job.id}"
        self.reaches(lambda: b"cancelled" in (self.kv.items_by_key[record].value or b""))
        first.close()
        for endpoint in notices.endpoints.values():
            endpoint.silent = False
        notices.take_over()
        self.add(self.pools["library"].take_over(), "b", 4)
        self.reaches(lambda: self.running("library") == 4)

    def test_a_new_owner_counts_the_runs_of_the_former_one(self) -> None:
        """Guards against starts above the cap by an owner that doesn't know all runs yet."""
        notices = self.pools["notices"]
        self.add(notices.take_over(), "a", 4)
        self.reaches(lambda: self.running("notices") == 4)
        for endpoint in notices.endpoints.values():
            endpoint.silent = True
        notices.close()
        follower = notices.take_over()
        self.add(follower, "c", 3)
        library = self.pools["library"].take_over()
        self.add(library, "b", 2)
        self.reaches(lambda: self.allowance("library").is_waiting)
        self.assertEqual(0, self.running("library"))
        self.assertEqual(4000, self.allowance("notices").held.cpu)

    def test_a_lowered_cap_stops_starts_and_not_runs(self) -> None:
        owner = self.pools["notices"].take_over()
        self.add(owner, "a", 8)
        self.reaches(lambda: self.running("notices") == 4)
        self.configure(with_cap(2000, 2))
        endpoint = next(e for e in self.pools["notices"].endpoints.values() if len(e.running) > 1)
        endpoint.end(*next(iter(endpoint.running)))
        self.assertTrue(eventually(lambda: self.running("notices") == 3))
        self.assertTrue(eventually(lambda: self.allowance("notices").held.cpu == 3000))
        self.assertEqual(4, len(self.pools["notices"].starts()))
        self.most = 3
        self.assertTrue(eventually(lambda: self.finish_and_count() == 8))

    def test_nothing_is_taken_under_an_outdated_configuration(self) -> None:
        """Guards against an owner that takes more by a higher cap which was lowered elsewhere."""
        self.configure(with_cap(1000, 2), "library")
        owner = self.pools["notices"].take_over()
        self.add(owner, "a", 4)
        self.assertTrue(eventually(lambda: self.kv.calls["commit"] >= 3))
        self.assertEqual(0, self.running("notices"))
        self.configure(with_cap(1000, 2))
        self.reaches(lambda: self.running("notices") == 1)

    def test_a_lost_answer_delays_no_start_for_good(self) -> None:
        owner = self.pools["notices"].take_over()
        self.kv.commits.extend([lose_answer] * 3)
        self.add(owner, "a", 4)
        self.reaches(lambda: self.running("notices") == 4)

    def test_an_unreadable_record_stops_no_starts_for_good(self) -> None:
        """Guards against a workspace none of whose tasks start since its record is unreadable."""
        owners = {name: self.pools[name].take_over() for name in POOLS}
        self.add(owners["notices"], "a", 2)
        self.reaches(lambda: self.running("notices") == 2)
        self.kv.put(RECORD, b"?")
        self.add(owners["library"], "b", 6)
        self.reaches(lambda: self.running("library") == 2)
        self.pools["notices"].finish_all()
        self.reaches(lambda: self.running("library") == 4)

    def test_a_new_owner_counts_unknown_runs_if_the_record_is_unreadable(self) -> None:
        """Guards against starts above the cap when neither the record nor an owner tells what a
        pool uses."""
        notices = self.pools["notices"]
        self.add(notices.take_over(), "a", 4)
        self.reaches(lambda: self.running("notices") == 4)
        for endpoint in notices.endpoints.values():
            endpoint.silent = True
        notices.close()
        self.kv.put(RECORD, b"?")
        notices.take_over()
        library = self.pools["library"].take_over()
        self.add(library, "b", 2)
        self.reaches(lambda: self.allowance("library").is_waiting)
        self.assertEqual(0, self.running("library"))
        self.assertFalse(self.allowance("notices").held.fits(Resources(4000, 4000)))
        for endpoint in notices.endpoints.values():
            endpoint.silent = False
        notices.finish_all()
        self.reaches(lambda: self.running("library") == 2)

    def test_jobs_without_a_workspace_have_no_cap(self) -> None:
        owner = self.pools["notices"].take_over()
        job = a_job("a", a_step(8))
        owner.add_job(msgspec.msgpack.encode(job), Revision(self.kv.put("job", b"")))
        self.most = 8
        self.reaches(lambda: self.running("notices") == 8)
        self.assertNotIn(RECORD, self.kv.items_by_key)

    def test_tasks_of_a_workspace_without_limit_all_start(self) -> None:
        self.configure(with_cap(0))
        owner = self.pools["notices"].take_over()
        self.add(owner, "a", 8)
        self.most = 8
        self.reaches(lambda: self.running("notices") == 8)

    def test_a_gang_starts_as_a_whole_or_not(self) -> None:
        owner = self.pools["notices"].take_over()
        self.add(owner, "a", 2)
        self.reaches(lambda: self.running("notices") == 2)
        gang = a_job("b", a_step(3, gang=True), workspace=SCHOOLS)
        owner.add_job(msgspec.msgpack.encode(gang), Revision(self.kv.put("gang", b"")))
        self.assertTrue(eventually(lambda: self.allowance("notices").is_waiting))
        self.assertEqual(2, self.running("notices"))
        for endpoint in self.pools["notices"].endpoints.values():
            for task, number in list(endpoint.running):
                endpoint.end(task, number)
        self.reaches(lambda: self.running("notices") == 3)


class TakeOverTest(TestCase):
    def test_what_a_pool_holds_counts_as_used_until_its_runs_are_known(self) -> None:
        """Guards against an allowance that a new owner returns while its tasks still run."""
        kv = FakeKeyValue()
        record = Allowances({PoolId("notices"): PoolAllowance(Resources(4000))})
        waiting = record.replace(PoolId("library"), PoolAllowance(is_waiting=True))
        kv.put(RECORD, msgspec.msgpack.encode(waiting))
        owner = Compare("m/o/notices", Revision(kv.put("m/o/notices", b"owner")))
        book = AllowanceBook(
            kv,
            PoolId("notices"),
            owner,
            threading.RLock(),
            lambda: with_cap(4000),
            lambda: None,
            lambda: None,
            NoMetrics(),
        )
        self.assertTrue(book.load())
        book.start()
        self.addCleanup(book.close)
        now = time.monotonic()
        book.begin_round([], {}, is_complete=False)
        self.assertTrue(eventually(lambda: not book._outdated))
        book.end_round(book.begin_round([], {}, is_complete=False), Resources(), now + 10.0)
        self.assertEqual(set(), book._writing)
        book.end_round(book.begin_round([], {}, is_complete=True), Resources(), now + 20.0)
        returned = waiting.replace(PoolId("notices"), PoolAllowance())
        self.assertTrue(eventually(lambda: self.stored(kv) == returned))

    def stored(self, kv: FakeKeyValue) -> Allowances:
        return msgspec.msgpack.decode(kv.items_by_key[RECORD].value or b"", type=Allowances)


class StatusTest(TestCase):
    def test_what_a_workspace_uses_and_lacks(self) -> None:
        kv = FakeKeyValue()
        pool = OwnedPool("e1", pool="notices", kv=kv)
        pool.register(an_endpoint("e1"))
        self.addCleanup(pool.close)
        revision = Revision(kv.put(CONFIGURATION_KEY, b"configuration"))
        pool.configuration = with_cap(2000)
        pool.configuration_key = Compare(CONFIGURATION_KEY, revision)
        owner = pool.take_over()
        job = a_job("a", a_step(3), workspace=SCHOOLS)
        owner.add_job(msgspec.msgpack.encode(job), Revision(kv.put("job", b"")))
        self.assertTrue(eventually(lambda: len(pool.starts()) == 2))
        self.assertTrue(
            eventually(
                lambda: any(
                    use.lacking == Resources(1000, 1000) and use.waiting == ("notices",)
                    for use in owner.workspace_use().workspaces
                )
            )
        )
        [use] = owner.workspace_use().workspaces
        self.assertEqual((SCHOOLS, Resources(2000)), (use.id, use.cap))
        self.assertEqual(Resources(2000, 2000), use.used)
