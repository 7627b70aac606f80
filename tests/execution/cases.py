"""Base of tests of decisions about tracked jobs, without threads."""

import time
from typing import Any

from testtools import TestCase

from lentilrill.execution import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._endpoint_speeds import SpeedMonitor
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._need import Durations
from lentilrill.execution._planner import Planner
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import Run, RunPhase, TrackedJob
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.workloads import Step
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint

__all__ = ["OTHER_ENDPOINTS", "TOKEN", "Owner", "StragglerCase", "TrackedJobCase", "a_planner"]

TOKEN = 7
OTHER_ENDPOINTS = ("e2", "e3")


def a_planner() -> Planner:
    durations = Durations()
    speeds = SpeedMonitor(PoolId("p"), durations)
    return Planner(TOKEN, durations, TicketCache(None, lambda: None), speeds)


class Owner:
    """Stub of the pool's owner; nothing is sent."""

    token = TOKEN

    def may_order(self) -> bool:
        return False

    def on_poll(self, *args: object) -> None: ...

    def start_order(self, *args: object) -> None: ...

    def on_answer(self, *args: object) -> None: ...


class TrackedJobCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.jobs: dict[JobId, TrackedJob] = {}
        self.crashes = CrashBook()
        self.durations = Durations()
        self.speeds = SpeedMonitor(PoolId("p"), self.durations)
        self.reconciler = Reconciler(
            self.jobs, lambda tracked_job: 2, self.durations, self.crashes, self.speeds
        )
        self.link = EndpointLink(Owner(), an_endpoint(), FakeEndpoint())
        self.link.was_polled = self.link.reachable = True
        self.link.answered_at = time.monotonic()
        self.link.update_clock(1000, time.monotonic())

    def add(self, *steps: Step, name: str = "a") -> TrackedJob:
        job = a_job(name, *steps)
        tracked_job = TrackedJob(job, Revision(1), time.monotonic())
        tracked_job.is_recorded = True
        tracked_job.open_occurrences(0)
        self.jobs[job.id] = tracked_job
        return tracked_job

    def run_of(
        self, tracked_job: TrackedJob, index: int = 0, *, confirmed: bool = True, attempt: int = 1
    ) -> Run:
        task = tracked_job.tasks()[index]
        run = Run(task, TOKEN * 1000 + attempt, self.link.entry.id, task.step.spec.reserved)
        task.runs.append(run)
        self.link.runs_by_key[run.key] = run
        if confirmed:
            run.confirmed_at = time.monotonic()
            run.phase = RunPhase.IN_PROGRESS
        return run

    def send_start(self, name: str = "a", verdict: Verdict = Verdict.DONE) -> Run:
        """Send a start, and process its answer."""
        run = self.run_of(self.add(a_step(1), name=name), confirmed=False)
        run.expiry_ms(self.link.started_ms, self.link.new_expiry_ms)
        run.send_count, run.sent_at = 1, time.monotonic()
        is_answered = verdict is not Verdict.UNKNOWN
        run.answer_count += is_answered
        self.link.on_called(run.expires_at_started_ms, is_answered=is_answered)
        if is_answered:
            run.confirmed_at, run.phase = time.monotonic(), RunPhase.IN_PROGRESS
        return run

    def poll(
        self, *, running: tuple[ReportedRun, ...] = (), ended: tuple[RunEnd, ...] = ()
    ) -> list:
        result = PollResult(Verdict.DONE, 1000, 1, running, ended)
        return self.reconciler.apply_poll(self.link, result, time.monotonic())

    def starts(self, unknown_tasks: set | None = None) -> list:
        capacity_by_endpoint = a_planner().capacity_by_endpoint([self.link], time.monotonic())
        jobs = [(tracked_job, None) for tracked_job in self.jobs.values()]
        return a_planner().place_tasks(
            jobs,
            capacity_by_endpoint,
            time.monotonic(),
            False,
            0,
            unknown_tasks or set(),
            RoundBudgets(None),
        )


class StragglerCase(TrackedJobCase):
    """Endpoint ``e1`` with tasks done by a tenth in five seconds, and two others, one apart."""

    def setUp(self) -> None:
        super().setUp()
        self.slowdowns: dict[EndpointId, float] = {}
        self.link.entry = an_endpoint(labels=("a", "r1"))
        self.links = {self.link.entry.id: self.link}
        for name, rack in zip(OTHER_ENDPOINTS, ("r1", "r2"), strict=True):
            link = EndpointLink(Owner(), an_endpoint(name, labels=("a", rack)), FakeEndpoint())
            link.was_polled = link.reachable = True
            link.answered_at = time.monotonic()
            link.update_clock(1000, link.answered_at)
            self.links[link.entry.id] = link

    def slow_down(self, *names: str, factor: float = 4.0) -> None:
        """Let tasks on endpoints take longer by a factor, as is known."""
        self.slowdowns |= {EndpointId(name): factor for name in names}

    def slowdown(self, link: EndpointLink) -> float:
        return self.slowdowns.get(link.entry.id, 1.0)

    def straggler(self, *following: Step, **changes: Any) -> Run:
        steps = a_step(1, **changes), *following
        run = self.run_of(self.add(*steps, name=f"{len(self.jobs):x}"))
        run.task.start_count = 1
        run.started_at = time.monotonic() - 5
        run.percent = 10
        return run

    def round_state(self, budgets: RoundBudgets | None = None) -> tuple[Any, ...]:
        """Return what is known in a round after placement; runs with progress report just now."""
        now = time.monotonic()
        for link in self.links.values():
            for run in link.runs_by_key.values():
                run.reported_at = now if run.percent else run.reported_at
        jobs = [(tracked_job, a_configuration().queues[0]) for tracked_job in self.jobs.values()]
        capacities = a_planner().capacity_by_endpoint(self.links.values(), now)
        return jobs, self.links, capacities, set(), budgets or RoundBudgets(None), now

    def end(self, run: Run, kind: EndKind, checkpoint: str = "") -> None:
        link = self.links[run.endpoint]
        end = RunEnd(link.seen_cursor + 1, run.task.id, run.number, kind, checkpoint)
        result = PollResult(Verdict.DONE, 1000, link.started_ms, (), (end,))
        self.reconciler.apply_poll(link, result, 0.0)
