"""Speed of endpoints, from the reports of their tasks."""

import time
from unittest.mock import patch

import msgspec

from lentilrill.execution import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.execution._demand import demand_of
from lentilrill.execution._endpoint_speeds import MAX_POLL_GAP_S
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import WorkForecast
from lentilrill.execution._planner import Planner
from lentilrill.execution._pressure import Backlog, pressure_of
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import Run, TrackedJob
from lentilrill.ids import EndpointId, PoolId, RackId
from lentilrill.scheduling import Speed, place
from lentilrill.telemetry import Event
from lentilrill.workloads import Resources, Step
from tests.builders import a_job_timing, an_endpoint
from tests.execution.cases import TOKEN, Owner, TrackedJobCase
from tests.execution.fakes import FakeEndpoint

STEP = Step(1, Resources(100, 100), estimate_ms=1000)
ENDPOINTS = 6


class SpeedCase(TrackedJobCase):
    """A pool whose endpoints each run four tasks of different jobs, on a clock of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.now = time.monotonic()
        clock = patch("time.monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.links = [self.open(f"e{number}") for number in range(ENDPOINTS)]
        self.first = self.links[0]
        tickets = TicketCache(None, lambda: None)
        self.planner = Planner(TOKEN, self.durations, tickets, self.speeds)
        self.numbers = 0

    def open(self, name: str) -> EndpointLink:
        link = EndpointLink(Owner(), an_endpoint(name), FakeEndpoint())
        link.was_polled = link.reachable = True
        link.started_ms = 1
        self.answer(link)
        return link

    def answer(self, link: EndpointLink, *reports: ReportedRun, **changes: object) -> None:
        """Apply an answer that the endpoint gives now to a poll that has just been sent."""
        result = PollResult(Verdict.DONE, int(self.now * 1000), 1, reports, ())
        result = msgspec.structs.replace(result, **changes)
        self.reconciler.apply_poll(link, result, self.now)
        link.answered_at = self.now

    def start(
        self, link: EndpointLink, step: Step = STEP, of: tuple[TrackedJob, int] | None = None
    ) -> Run:
        self.numbers += 1
        run = self.run_of(*(of or (self.add(step, name=f"j{self.numbers}"), 0)))
        self.link.runs_by_key.pop(run.key)
        run.endpoint = link.entry.id
        run.started_at = run.reported_at = self.now
        link.runs_by_key[run.key] = run
        return run

    def work(
        self,
        seconds: float,
        *slow: EndpointLink,
        step: Step = STEP,
        factor: float = 5.0,
        reports: bool = True,
    ) -> None:
        """Let each endpoint run four tasks; those in ``slow`` take ``factor`` times as long."""
        runs = [(link, self.start(link, step)) for link in self.links for _ in range(4)]
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for link in self.links:
                speed = 1 / factor if link in slow else 1.0
                shown = [
                    self.report(run, speed if reports or link not in slow else 0.0)
                    for other, run in runs
                    if other is link
                ]
                self.answer(link, *shown)
            self.planner.capacity_by_endpoint(self.links, self.now)
        for link, run in runs:
            self.reconciler.drop(link, run, "test")

    def report(self, run: Run, speed: float) -> ReportedRun:
        share = min(0.99, (self.now - run.started_at) * speed if run.started_at else 0.5)
        return ReportedRun(run.task.id, run.number, "", int(share * 100 + 0.01), 0.0)

    def end_runs(self, link: EndpointLink, *, late_s: float) -> None:
        """End all runs of an endpoint.

        :param late_s: time between the report of the runs and the poll that lists their ends.
        """
        ends = []
        for index, run in enumerate(link.runs_by_key.values()):
            run.reported_at = self.now - late_s
            cursor = link.seen_cursor + index + 1
            ends.append(RunEnd(cursor, run.task.id, run.number, EndKind.DONE, ""))
        self.answer(link, ended=tuple(ends))


class EvidenceTest(SpeedCase):
    def test_progress_shows_a_slow_endpoint_before_any_end(self) -> None:
        """Guards against a slow endpoint that keeps its tasks and gets more."""
        with patch("lentilrill.execution._endpoint_speeds.log") as log:
            self.work(0.9, self.first)
        self.assertEqual(Speed.EJECTED, self.first.speed)
        self.assertNotIn(
            self.first.entry.id, self.planner.capacity_by_endpoint(self.links, self.now)
        )
        shown = {row.endpoint: row for row in self.speeds.status(self.links)}
        self.assertEqual("ejected", shown[self.first.entry.id].verdict)
        self.assertEqual(4, shown[self.first.entry.id].jobs)
        self.assertEqual(Event.ENDPOINT_SPEED, log.call_args.args[0])
        self.assertGreater(log.call_args.kwargs["slowdown"], 3)
        self.assertEqual({Speed.NORMAL}, {link.speed for link in self.links[1:]})

    def test_an_undisturbed_pool_is_as_before(self) -> None:
        self.work(0.9)
        capacities = self.planner.capacity_by_endpoint(self.links, self.now)
        self.assertEqual({0.0}, {capacity.slowness for capacity in capacities.values()})
        self.assertEqual(ENDPOINTS, len(capacities))

    def test_progress_that_stops_is_no_evidence(self) -> None:
        """Guards against an endpoint that is ejected because it reports no progress."""
        self.work(0.9, self.first, reports=False)
        self.assertEqual(Speed.NORMAL, self.first.speed)

    def test_an_end_that_waited_for_its_poll_is_no_evidence(self) -> None:
        """Guards against endpoints that pass for slow because the owner polls them late."""
        self.end_all(late_s=5 * MAX_POLL_GAP_S)
        self.assertEqual(Speed.NORMAL, self.first.speed)

    def test_ends_that_are_polled_at_once_are(self) -> None:
        self.end_all(late_s=0.0)
        self.assertNotEqual(Speed.NORMAL, self.first.speed)

    def end_all(self, *, late_s: float) -> None:
        """Let tasks end as usual, but late on the first endpoint."""
        for link in self.links:
            for _ in range(4):
                self.start(link)
        self.now += 1.0
        for link in self.links[1:]:
            self.end_runs(link, late_s=0.0)
        self.now += 1.4
        self.end_runs(self.first, late_s=late_s)
        self.planner.capacity_by_endpoint(self.links, self.now)

    def test_siblings_on_the_same_endpoint_do_not_hide_its_speed(self) -> None:
        """Guards against a slow endpoint that passes for normal as whole jobs run on it."""
        wide = [self.add(Step(4, STEP.needs, STEP.estimate_ms), name=name) for name in "xy"]
        runs = [self.start(self.first, of=(job, index)) for job in wide for index in range(4)]
        for link in self.links[1:]:
            for _ in range(4):
                self.start(link)
        self.now += 1.0
        for link in self.links[1:]:
            self.end_runs(link, late_s=0.0)
        self.now += 1.6
        for run in runs:
            self.first.runs_by_key = {run.key: run}
            self.end_runs(self.first, late_s=0.0)
        self.planner.capacity_by_endpoint(self.links, self.now)
        self.assertNotEqual(Speed.NORMAL, self.first.speed)

    def test_tasks_away_from_their_data_are_no_evidence(self) -> None:
        """Guards against an endpoint that is ejected for running another rack's tasks."""
        step = msgspec.structs.replace(STEP, near=RackId("far"))
        self.work(0.9, self.first, step=step)
        self.assertEqual(Speed.NORMAL, self.first.speed)

    def test_a_paced_or_resumed_run_is_no_evidence(self) -> None:
        for change in ("pace", "started_at"):
            run = self.start(self.first)
            setattr(run, change, None if change == "started_at" else 50)
            with patch.object(self.speeds._speeds, "observe") as observe:
                for percent in (10, 20, 30):
                    self.now += 1.0
                    self.answer(self.first, ReportedRun(run.task.id, run.number, "", percent, 0.0))
            observe.assert_not_called()
            self.reconciler.drop(self.first, run, "test")

    def test_a_restart_forgets(self) -> None:
        """Guards against a new process that stays out of use for the speed of the old one."""
        self.work(0.9, self.first)
        self.answer(self.first, started_ms=2)
        self.assertEqual((Speed.NORMAL, 1.0), (self.first.speed, self.first.capacity_share))


class EffectTest(SpeedCase):
    def test_an_ejected_endpoint_is_tried_with_one_task_at_a_time(self) -> None:
        """Guards against a full load for an endpoint that may still be slow."""
        self.work(0.9, self.first)
        self.assertEqual(Speed.EJECTED, self.first.speed)
        self.now += 2.0
        for link in self.links:
            self.answer(link)
        capacities = self.planner.capacity_by_endpoint([self.first], self.now)
        self.assertEqual(Speed.PROBATION, self.first.speed)
        for expected in ([self.first.entry.id], []):
            self.assertEqual(expected, self.place(capacities))
            capacities[self.first.entry.id].reserve(STEP.needs, serves=False)

    def test_a_slow_endpoint_gets_a_task_only_if_no_other_fits(self) -> None:
        """Guards against tasks that are packed on a slow endpoint as the best fit."""
        self.work(0.9, self.first, factor=2.6)
        self.assertEqual(Speed.SLOW, self.first.speed)
        self.start(self.first)
        capacities = self.planner.capacity_by_endpoint(self.links[:2], self.now)
        placed = self.place(capacities)
        self.assertEqual([self.links[1].entry.id], placed)
        del capacities[self.links[1].entry.id]
        self.assertEqual([self.first.entry.id], self.place(capacities))

    def place(self, capacities: dict) -> list[EndpointId]:
        chosen = place(STEP, capacities.values(), lambda endpoint: 0)
        return [chosen.id] if chosen is not None else []

    def test_the_wait_goes_by_effective_capacity(self) -> None:
        """Guards against a wait shown to callers that counts on endpoints out of use."""
        usual, slowed = self.waits()
        self.assertAlmostEqual(usual * ENDPOINTS / (ENDPOINTS - 1), slowed, delta=0.02)

    def waits(self) -> list[float]:
        found = []
        for share in (1.0, 0.0):
            self.first.capacity_share = share
            demand = demand_of([], self.links, self.durations, WorkForecast(), self.now)
            backlog = Backlog({}, set(), 1000.0)
            found.append(pressure_of(PoolId("p"), 1, backlog, demand, self.links, self.now).wait_s)
        return found

    def test_a_pool_asks_for_what_its_slow_hosts_lose(self) -> None:
        jobs = []
        for number in range(200):
            tracked_job = self.add(
                Step(4, Resources(1000, 100), estimate_ms=4000), name=f"n{number}"
            )
            jobs.append((tracked_job, a_job_timing()))
        needs = []
        for share in (1.0, 0.0):
            self.first.capacity_share = share
            demand = demand_of(jobs, self.links, self.durations, WorkForecast(), self.now)
            needs.append(demand.without_forecast)
        self.assertGreater(needs[0], ENDPOINTS)
        self.assertGreater(needs[1], needs[0])
