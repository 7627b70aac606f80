"""The stand-in's judgement of the room of endpoints."""

from typing import Any

from testtools import TestCase

from standins._platform_records import Amounts, Crash, Listing, RunRecord
from standins._room_judges import Observation, find_idle, find_overfull
from tests.builders import a_seen_job

ROOM = Amounts(4000, 4000)
POOL = "notices"


def a_run(task: str, began: float, ended: float = 0.0, how: str = "", at: str = "e") -> RunRecord:
    return RunRecord(at, task, 1, began, ended, how)


def a_listing(at: float, capacity: Amounts | None = ROOM, endpoint: str = "e") -> Listing:
    return Listing(at, endpoint, POOL, capacity)


def seen(*runs: RunRecord, **changes: Any) -> Observation:
    """Return an observation of one job ``j``, accepted at 1.0, and an endpoint for four tasks."""
    jobs = changes.pop("jobs", [a_seen_job("j", accepted_at=1.0)])
    values = {"listings": [a_listing(0.0)], "crashes": []} | changes
    return Observation(list(runs), {job.id: job for job in jobs}, **values)


class OverfullTest(TestCase):
    def runs(self, count: int, began: float = 1.0) -> list[RunRecord]:
        return [a_run(f"j.0.0.{number}", began) for number in range(count)]

    def test_a_start_above_the_capacity_is_found(self) -> None:
        """Guards against a judgement that passes everything."""
        self.assertEqual([], find_overfull(seen(*self.runs(4))))
        self.assertEqual(1, len(find_overfull(seen(*self.runs(4), a_run("j.0.0.4", 2.0)))))
        ended = a_run("j.0.0.5", 1.0, 1.9, "done")
        self.assertEqual([], find_overfull(seen(*self.runs(3), ended, a_run("j.0.0.4", 2.0))))

    def test_what_is_being_stopped_counts(self) -> None:
        stopped = a_run("j.0.0.5", 1.0, 2.1, "stopped")
        found = find_overfull(seen(*self.runs(3), stopped, a_run("j.0.0.4", 2.0)))
        self.assertEqual(1, len(found))

    def test_a_smaller_capacity_counts_after_some_time(self) -> None:
        """Guards against a judgement that never counts a capacity that shrank."""
        listings = [a_listing(0.0), a_listing(10.0, Amounts(2000, 4000))]
        early, late = a_run("j.0.0.4", 12.0), a_run("j.0.0.4", 13.5)
        self.assertEqual([], find_overfull(seen(*self.runs(3), early, listings=listings)))
        self.assertEqual(1, len(find_overfull(seen(*self.runs(3), late, listings=listings))))
        beside = a_run("j.0.0.4", 13.5)
        self.assertEqual([], find_overfull(seen(*self.runs(1), beside, listings=listings)))

    def test_a_larger_capacity_counts_at_once(self) -> None:
        listings = [a_listing(0.0), a_listing(10.0, Amounts(8000, 8000))]
        beside = a_run("j.0.0.4", 10.1)
        self.assertEqual([], find_overfull(seen(*self.runs(4), beside, listings=listings)))

    def test_the_runs_that_a_crash_ended_take_up_nothing(self) -> None:
        gone = [a_run(f"j.0.0.{number}", 1.0, 2.0, "gone") for number in range(4)]
        listings = [a_listing(0.0), a_listing(2.0, None), a_listing(3.0)]
        again = self.runs(4, 4.0)
        self.assertEqual([], find_overfull(seen(*gone, *again, listings=listings)))


class IdleTest(TestCase):
    """One job with two tasks, each of which fits four times."""

    def count(self, observation: Observation, until: float = 20.0) -> int:
        return len(find_idle(observation, 1.0, until))

    def lasting(self, **changes: Any) -> list[Any]:
        return [a_seen_job("j", accepted_at=1.0, long_running=True, **changes)]

    def test_a_job_that_has_nothing_running_is_found(self) -> None:
        """Guards against a judgement that passes a job which was lost."""
        self.assertEqual(2, self.count(seen()))
        self.assertEqual(0, self.count(seen(), until=3.8))
        self.assertEqual(0, self.count(seen(a_run("j.0.0.0", 2.0))))
        done = [a_run(f"j.0.0.{number}", 2.0, 3.0, "done") for number in range(2)]
        self.assertEqual(0, self.count(seen(*done)))

    def test_a_job_that_need_not_run(self) -> None:
        for changes in ({"accepted_at": 0.0}, {"cancelled_at": 2.0}, {"state": "failed"}):
            job = a_seen_job("j", **({"accepted_at": 1.0} | changes))
            self.assertEqual(0, self.count(seen(jobs=[job])), changes)
        self.assertEqual(0, self.count(seen(crashes=[Crash("e", 1.0, "j.0.0.1")])))

    def test_a_step_waits_for_those_before_it(self) -> None:
        job = a_seen_job("j", accepted_at=1.0, after=[0])
        first = [a_run(f"j.0.0.{number}", 2.0, 3.0, "done") for number in range(2)]
        found = find_idle(seen(*first, jobs=[job]), 1.0, 20.0)
        self.assertEqual(["j.0.1.0", "j.0.1.1"], sorted(line.split()[0] for line in found))
        running = [a_run(f"j.0.0.{number}", 2.0) for number in range(2)]
        self.assertEqual(0, self.count(seen(*running, jobs=[job])))

    def test_no_room(self) -> None:
        """Guards against blame for a task that fits once only, or into a pool that is busy."""
        small = [a_listing(0.0, Amounts(1999, 4000))]
        self.assertEqual(0, self.count(seen(listings=small)))
        down = [a_listing(0.0), a_listing(2.0, None)]
        self.assertEqual(0, self.count(seen(listings=down)))
        other = a_seen_job("k", accepted_at=1.0, cpu=2100)
        busy = a_run("k.0.0.0", 1.0)
        jobs = [a_seen_job("j", accepted_at=1.0), other]
        self.assertEqual(0, self.count(seen(busy, jobs=jobs)))
        spread = [a_listing(0.0), a_listing(0.0, endpoint="f")]
        self.assertEqual(2, self.count(seen(busy, jobs=jobs, listings=spread)))

    def test_each_lasting_task_that_does_not_run_is_found(self) -> None:
        """Guards against a judgement that passes a lasting task since others of its job run."""
        running = a_run("j.0.0.0", 2.0)
        stopped = a_run("j.0.0.1", 2.0, 4.0, "stopped")
        observation = seen(running, stopped, jobs=self.lasting())
        self.assertEqual(0, self.count(observation, until=12.9))
        found = find_idle(observation, 1.0, 13.3)
        self.assertEqual(["j.0.0.1"], [line.split()[0] for line in found])
        again = a_run("j.0.0.1", 12.0)
        self.assertEqual(0, self.count(seen(running, stopped, again, jobs=self.lasting())))

    def test_a_lasting_task_is_judged_in_traffic_however_full_its_pool_is(self) -> None:
        """Guards against a task that waits unseen since others keep its pool busy."""
        stopped = a_run("j.0.0.1", 2.0, 4.0, "stopped")
        busy = [a_run("j.0.0.0", 2.0), a_run("k.0.0.0", 2.0)]
        jobs = [*self.lasting(), a_seen_job("k", accepted_at=1.0, cpu=1000)]
        observation = seen(
            stopped, *busy, jobs=jobs, listings=[a_listing(0.0, Amounts(4000, 4000))]
        )
        found = find_idle(observation, 1.0, 20.0, in_traffic=True)
        self.assertEqual(["j.0.0.1"], [line.split()[0] for line in found])
        crowded = seen(stopped, *busy, jobs=jobs, listings=[a_listing(0.0, Amounts(3999, 4000))])
        self.assertEqual([], find_idle(crowded, 1.0, 20.0, in_traffic=True))
        self.assertEqual([], find_idle(seen(), 1.0, 20.0, in_traffic=True))
