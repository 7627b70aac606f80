"""Tests for placement, job order, admission and pace control."""

from testtools import TestCase

from lentilrill.ids import EndpointId, JobId, RackId
from lentilrill.scheduling import (
    EndpointCapacity,
    Pressure,
    can_accept,
    can_keep,
    next_pace,
    place,
    retry_after_s,
    sort_key,
)
from lentilrill.workloads import Resources
from tests.builders import a_job_timing, a_step


def a_capacity(name: str, cpu: int = 4000, rack: str = "r1", **changes: object) -> EndpointCapacity:
    return EndpointCapacity(
        EndpointId(name), RackId(rack), ("a", rack), Resources(cpu, 8000), **changes
    )


class PlacementTest(TestCase):
    def placed(self, endpoints: list[EndpointCapacity], *avoid: str, **step: object) -> str | None:
        names = {EndpointId(name) for name in avoid}
        placed_on = place(a_step(1, **step), endpoints, lambda endpoint: 0, names)
        return placed_on.id if placed_on is not None else None

    def test_best_fit_leaves_whole_endpoints(self) -> None:
        self.assertEqual("b", self.placed([a_capacity("a", 4000), a_capacity("b", 1500)]))

    def test_no_capacity(self) -> None:
        self.assertIsNone(self.placed([a_capacity("a", 500)]))

    def test_near_its_data_first(self) -> None:
        endpoints = [a_capacity("a", 1000), a_capacity("b", 4000, "r2")]
        self.assertEqual("b", self.placed(endpoints, near=RackId("r2")))

    def test_a_failed_task_avoids_the_endpoint_where_it_failed(self) -> None:
        """Thirteen jobs used up their attempts on one endpoint that failed every task.

        It was always free while the others were full, so each task was placed there again. A
        failed task must wait for another endpoint, unless there is none.
        """
        self.assertEqual("b", self.placed([a_capacity("a", 1000), a_capacity("b")], "a"))
        self.assertIsNone(self.placed([a_capacity("a", 1000), a_capacity("b", 0)], "a"))
        self.assertIsNone(self.placed([a_capacity("a", 0), a_capacity("b", probing=True)], "a"))
        self.assertEqual("a", self.placed([a_capacity("a", 1000)], "a"))

    def test_an_endpoint_where_a_task_failed_long_ago_comes_last(self) -> None:
        """Once the exclusion has ended, a task was placed by best fit on the same bad endpoint."""
        endpoints = [a_capacity("a", 1000), a_capacity("b")]
        placed_on = place(a_step(1), endpoints, lambda e: 0, failed_at={EndpointId("a"): 1.0})
        self.assertEqual("b", placed_on.id)

    def test_no_endpoint_with_a_suspect_is_kept_for_another_one(self) -> None:
        """A suspect's endpoint was kept for a second one, which was placed beside it."""
        other = JobId("o")
        endpoints = [a_capacity("a", suspect_job=other), a_capacity("b"), a_capacity("c")]
        self.assertEqual(
            [False, True, True], [can_keep(kept, JobId("s"), endpoints) for kept in endpoints]
        )
        self.assertFalse(can_keep(endpoints[1], JobId("s"), endpoints[:2]))

    def test_label(self) -> None:
        self.assertIsNone(self.placed([a_capacity("a")], label="gpu"))

    def test_an_unhealthy_endpoint_gets_one_task_at_a_time(self) -> None:
        """Every job of a queue used up its attempts on an endpoint that failed every task and was
        therefore always free for the next one."""
        self.assertIsNone(self.placed([a_capacity("a", probing=True, new_runs=1)]))
        self.assertEqual("b", self.placed([a_capacity("a", probing=True), a_capacity("b")]))


class OrderTest(TestCase):
    def test_in_a_surge_jobs_that_can_be_on_time_go_first(self) -> None:
        """In order of arrival all jobs of a surge waited equally long, and all were late.

        Jobs that can meet their deadline go first, shortest first, before overdue jobs.
        """
        overdue = a_job_timing(age_s=5.0)
        long, short = a_job_timing(remaining_work=9.0), a_job_timing(remaining_work=1.0)
        self.assertEqual([short, long, overdue], sorted([overdue, long, short], key=sort_key))

    def test_without_a_surge_the_job_with_the_least_slack_goes_first(self) -> None:
        """Without a surge large jobs were late, because small jobs with slack went first."""
        tight, loose = a_job_timing(remaining_work=9.0, remaining_s=1.9), a_job_timing(
            remaining_work=1.0
        )
        jobs = [loose, tight]
        self.assertEqual([tight, loose], sorted(jobs, key=lambda job: sort_key(job, feasible=True)))
        self.assertEqual([loose, tight], sorted(jobs, key=sort_key))

    def test_urgent_queues_go_first(self) -> None:
        urgent, later = a_job_timing(age_s=9.0), a_job_timing(priority=1)
        self.assertEqual([urgent, later], sorted([later, urgent], key=sort_key))

    def test_long_running_jobs_go_first(self) -> None:
        long_running = a_job_timing(long_running=True, priority=1)
        self.assertEqual(
            [long_running, a_job_timing()], sorted([a_job_timing(), long_running], key=sort_key)
        )


class AdmissionTest(TestCase):
    def test_work_beyond_the_pool_is_rejected_with_a_growing_retry_delay(self) -> None:
        self.assertTrue(can_accept(Pressure(1.0)))
        self.assertFalse(can_accept(Pressure(60.0)))
        self.assertLess(retry_after_s(Pressure(7.0)), retry_after_s(Pressure(12.0)))

    def test_overdue_work_does_not_block_jobs_that_can_be_on_time(self) -> None:
        """Jobs that could have started at once were rejected for three seconds after a surge.

        The backlog was overdue and runs after jobs that can be on time, but was counted as if it
        ran before them.
        """
        self.assertTrue(can_accept(Pressure(0.5, 8.0)))
        self.assertFalse(can_accept(Pressure(3.0, 8.0)))
        self.assertFalse(can_accept(Pressure(0.5, 300.0)))


class PacingTest(TestCase):
    def test_fillers_stop_above_the_target_and_speed_up_slowly(self) -> None:
        """Fillers on an endpoint raised the tail latency of the long-running task beside them."""
        self.assertEqual(0, next_pace(100, 1.2))
        self.assertEqual(50, next_pace(100, 0.9))
        self.assertEqual(60, next_pace(60, 0.7))
        self.assertEqual(15, next_pace(0, 0.3))
