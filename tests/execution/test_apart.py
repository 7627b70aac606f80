"""Suspects and the tasks of other jobs that have just begun, without threads."""

import time

from lentilrill.execution._apart import MAX_APART_S
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._crashes import FRESH_S
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, TrackedTask
from lentilrill.ids import EndpointId
from lentilrill.workloads import Resources, Step
from tests.builders import a_step, an_endpoint
from tests.execution.cases import Owner, TrackedJobCase, a_planner
from tests.execution.fakes import FakeEndpoint

ROUND_S = 0.1


class SuspectsApartTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.planner = a_planner()
        self.links = {self.link.entry.id: self.link}
        self.began = self.now = time.monotonic()

    def add_endpoint(self, name: str) -> None:
        link = EndpointLink(Owner(), an_endpoint(name), FakeEndpoint())
        link.was_polled = link.reachable = True
        link.update_clock(1000, self.now)
        self.links[link.entry.id] = link

    def add_suspect(self, step: Step | None = None) -> TrackedTask:
        task = self.add(step or a_step(1), name="s").tasks()[0]
        task.crashed_processes.add("e7@1")
        return task

    def round(self, *, after_s: float = 0.0, is_answered: bool = True) -> list[Run]:
        """Place tasks after a time, and send their starts; the endpoints have just answered."""
        self.now += after_s
        for link in self.links.values():
            link.answered_at = self.now if is_answered else self.began
        capacities = self.planner.capacity_by_endpoint(self.links.values(), self.now)
        jobs = [(tracked_job, None) for tracked_job in self.jobs.values()]
        placed = self.planner.place_tasks(
            jobs, capacities, self.now, frozenset(), 0, set(), RoundBudgets(None)
        )
        for endpoint, run in placed:
            self.links[endpoint].runs_by_key[run.key] = run
            run.sent_at, run.send_count = self.now, 1
        return [run for _, run in placed]

    def wait_for(self, suspect: TrackedTask) -> float:
        """Return how long a suspect waits while a task ends in each round on each endpoint."""
        began = self.now
        while not suspect.runs and self.now - began < 2 * MAX_APART_S:
            for link in self.links.values():
                for key, run in list(link.runs_by_key.items())[:1]:
                    run.task.step.finish(run.task)
                    run.task.runs.remove(run)
                    del link.runs_by_key[key]
            self.round(after_s=ROUND_S)
        return self.now - began

    def test_an_innocent_suspect_is_not_placed_beside_a_fresh_culprit(self) -> None:
        """A suspect got its next crash by a culprit that had begun beside it just before."""
        self.add(a_step(1), name="c")
        self.round()
        suspect = self.add_suspect()
        self.assertEqual([], self.round(after_s=FRESH_S - 0.1))
        self.assertEqual([suspect], [run.task for run in self.round(after_s=0.2)])

    def test_an_endpoint_that_has_not_answered_since_may_have_crashed(self) -> None:
        """A suspect was started on an endpoint whose crash by another was not seen yet."""
        self.add(a_step(1), name="c")
        self.round()
        self.add_suspect()
        self.assertEqual([], self.round(after_s=FRESH_S + 0.1, is_answered=False))

    def test_a_start_that_was_not_sent_yet_may_still_crash_its_endpoint(self) -> None:
        """A suspect was placed beside a start that had waited for its sender for a second."""
        self.add(a_step(1), name="c")
        [run] = self.round()
        run.sent_at, run.send_count, run.placed_at = 0.0, 0, self.now
        self.add_suspect()
        self.assertEqual([], self.round(after_s=FRESH_S + 0.1))

    def test_a_culprit_of_the_same_round_counts(self) -> None:
        """A suspect was placed beside a culprit that was placed by the same round."""
        self.add(a_step(1, lasting=True), name="c")
        suspect = self.add_suspect()
        self.assertNotIn(suspect, [run.task for run in self.round()])

    def test_a_gang_of_the_same_round_counts(self) -> None:
        """A suspect was placed beside the member of a gang that was placed by the same round."""
        self.add(a_step(2, gang=True, estimate_ms=9000), name="c")
        suspect = self.add_suspect()
        self.assertNotIn(suspect, [run.task for run in self.round()])

    def test_a_gang_with_a_suspect_is_not_placed_beside_a_fresh_culprit(self) -> None:
        """The suspects of a gang got their next crash by a culprit that had just begun."""
        self.add(a_step(1), name="c")
        self.round()
        self.add_suspect(a_step(2, gang=True))
        self.assertEqual([], self.round(after_s=FRESH_S - 0.1))
        self.assertEqual(2, len(self.round(after_s=0.2)))

    def test_a_gang_with_a_suspect_waits_for_a_bounded_time(self) -> None:
        """A gang with a suspect waited for good, as tasks of others began all the time."""
        self.add(a_step(2), name="c")
        beside = self.round()
        gang = self.add_suspect(a_step(2, gang=True))
        self.assertEqual([], self.round())
        for run in beside:
            run.sent_at = self.now + MAX_APART_S
        self.assertEqual(gang.step.tasks, [run.task for run in self.round(after_s=MAX_APART_S)])

    def test_nothing_is_placed_beside_a_gang_with_a_suspect(self) -> None:
        """The round that placed a gang with a suspect placed another job's tasks beside it."""
        self.add_suspect(a_step(2, gang=True))
        self.add(a_step(1, estimate_ms=9000), name="c")
        self.assertEqual(["s"] * 2, [run.task.id.job[0] for run in self.round()])

    def test_a_suspect_is_not_kept_from_its_own_job(self) -> None:
        """A job with several suspects got one endpoint for each of them."""
        step = self.add_suspect(a_step(2)).step
        step.tasks[1].crashed_processes.add("e7@1")
        self.assertEqual(step.tasks, [run.task for run in self.round()])

    def test_others_of_its_step_are_placed_while_a_suspect_waits(self) -> None:
        """The tasks of a step waited for one of them that was kept apart."""
        self.add(a_step(1), name="c")
        self.round()
        suspect = self.add_suspect(a_step(2))
        self.assertEqual(suspect.step.tasks[1:], [run.task for run in self.round()])

    def test_a_job_that_goes_first_does_not_take_what_is_kept(self) -> None:
        """In the next round, jobs that come first in the order began tasks on a kept endpoint."""
        self.add_endpoint("e2")
        self.add(a_step(8, needs=Resources(500, 500)), name="c")
        self.round()
        self.add(a_step(4, needs=Resources(500, 500)), name="d")
        self.round()
        suspect = self.add_suspect()
        self.round()
        self.assertEqual([], suspect.runs)
        self.add(a_step(2, lasting=True), name="b")
        self.round()
        self.assertEqual([suspect], [run.task for run in self.round(after_s=FRESH_S)])

    def test_a_suspect_is_placed_within_about_a_second_in_a_busy_pool(self) -> None:
        """A suspect found no endpoint without fresh tasks, as new ones began all the time."""
        self.add_endpoint("e2")
        self.add(a_step(500), name="c")
        self.round()
        suspect = self.add_suspect(a_step(1, lasting=True))
        waited_s = self.wait_for(suspect)
        self.assertLess(waited_s, FRESH_S + 0.5)

    def test_the_last_open_endpoint_is_not_kept(self) -> None:
        """All other work of a pool stopped for a suspect, or the suspect waited for good."""
        busy = self.add(a_step(500), name="c")
        self.round()
        suspect = self.add_suspect(a_step(1, lasting=True))
        waited_s = self.wait_for(suspect)
        self.assertAlmostEqual(MAX_APART_S, waited_s, delta=2 * ROUND_S)
        self.assertGreaterEqual(sum(task.done for task in busy.tasks()), waited_s / ROUND_S - 1)

    def test_nothing_is_kept_for_a_task_that_is_beyond_suspicion(self) -> None:
        """An endpoint was kept for a task that was not suspected any more."""
        self.add_endpoint("e2")
        for name in "cd":
            self.add(a_step(1, needs=self.link.entry.capacity.minus(a_step().needs)), name=name)
        self.round()
        suspect = self.add_suspect()
        self.round()
        self.assertEqual([], suspect.runs)
        suspect.clear_suspicion()
        self.add(a_step(1), name="b")
        self.assertEqual(2, len(self.round()))

    def test_a_pool_without_suspects_places_beside_fresh_tasks(self) -> None:
        """Tasks that nobody suspects were kept from endpoints with fresh ones."""
        self.add(a_step(1), name="c")
        self.round()
        self.add(a_step(3), name="b")
        self.assertEqual([EndpointId("e1")] * 3, [run.endpoint for run in self.round()])
