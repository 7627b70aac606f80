"""Planning rounds of a pool's owner: what ends, what starts, stops and is paced."""

import threading
import time
from collections.abc import Callable, Iterable

import msgspec

from lentilrill.execution._allowances import AllowanceBook
from lentilrill.execution._copies import CopyBook
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._fair_shares import shares_of
from lentilrill.execution._gangs import incomplete_gang_runs
from lentilrill.execution._held_runs import ended_runs, unknown_runs_have_ended
from lentilrill.execution._idle import IdleTasks, RoundView
from lentilrill.execution._job_queues import needs_tickets
from lentilrill.execution._jobs import PoolJobs
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._needless_runs import needless_runs
from lentilrill.execution._orders import Order
from lentilrill.execution._planner import Planner
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._release import expire_releases
from lentilrill.execution._relocation import Relocations
from lentilrill.execution._spare_room import Capacities
from lentilrill.execution._stored_starts import StoredStarts
from lentilrill.execution._tracking import Run, RunPhase, TrackedJob, TrackedStep
from lentilrill.ids import EndpointId, PoolId, ZoneId
from lentilrill.scheduling import total_free
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Configuration, JobState, Queue

__all__ = ["PlanningRounds", "RoundResult"]

LinkOrder = tuple[EndpointLink, Order]


class RoundResult(msgspec.Struct, frozen=True):
    """What a round leaves to be stored.

    :param is_urgent: whether a job waits to be shown as completed.
    :param starts: whether a job waits for its record before it is started.
    :param has_placed: whether runs were placed.
    """

    is_urgent: bool
    starts: bool
    has_placed: bool


class PlanningRounds:
    """Runs planning rounds.

    :param lock: the lock of the pool's owner.
    :param configuration: returns the configuration in force.
    :param queue_of: returns the queue of a job, if it is configured.
    """

    def __init__(
        self,
        pool: PoolId,
        token: int,
        lock: threading.RLock,
        configuration: Callable[[], Configuration | None],
        queue_of: Callable[[TrackedJob], Queue | None],
        jobs: PoolJobs,
        links: PoolLinks,
        planner: Planner,
        copies: CopyBook,
        relocations: Relocations,
        allowances: AllowanceBook,
        starts: StoredStarts,
        crashes: CrashBook,
        reconciler: Reconciler,
    ) -> None:
        self._token = token
        self._lock = lock
        self._configuration = configuration
        self._queue_of = queue_of
        self._jobs = jobs
        self._links = links
        self._planner = planner
        self._copies = copies
        self._relocations = relocations
        self._allowances = allowances
        self._starts = starts
        self._crashes = crashes
        self._reconciler = reconciler
        self._idle = IdleTasks(pool)

    def run(self) -> RoundResult:
        """Run one round and give its orders, also those planned before an unexpected error."""
        orders: list[LinkOrder] = []
        try:
            with self._lock:
                return self._plan(orders, time.monotonic())
        finally:
            for link, order in orders:
                link.order(order)

    def _plan(self, orders: list[LinkOrder], now: float) -> RoundResult:
        """Plan a round.

        :param orders: gets the orders as they are planned.
        """
        self._drop_ended_runs(now)
        expire_releases(list(self._links.by_id.values()), now)
        self._copies.settle(now)
        blocked_zones = self._links.blocked_zones
        live, is_urgent = self._settle_jobs(is_blocked=bool(blocked_zones))
        orders += self._stop_orders(self._runs_to_stop(live))
        placed, relocated, view = self._place(live, blocked_zones, now)
        orders += self._stop_orders(relocated)
        records = [tracked_job.request_record() for tracked_job in self._planner.to_record]
        orders += self._starts.orders_of(placed, self._links.by_id)
        starts = any(records) or bool(self._starts)
        self._idle.sweep(live, view)
        for link in self._links.by_id.values():
            orders += [(link, order) for order in self._planner.pace_orders(link, now)]
            orders += [(link, order) for order in self._planner.stop_stuck_runs(link, now)]
        return RoundResult(is_urgent, starts, bool(placed))

    def _runs_to_stop(self, live: list[TrackedJob]) -> list[Run]:
        runs = needless_runs(self._links.by_id.values())
        for tracked_job in live:
            runs += incomplete_gang_runs(tracked_job)
        return runs

    def _place(
        self, live: list[TrackedJob], blocked_zones: frozenset[ZoneId], now: float
    ) -> tuple[list[tuple[EndpointId, Run]], list[Run], RoundView]:
        """Place tasks and copies.

        :param blocked_zones: zones where tasks of the previous owner's jobs may run out of sight.
        :return: the runs that were placed, those to be stopped to go on elsewhere, and what tells
            why other tasks stay idle.
        """
        links = self._links.by_id.values()
        jobs = [(tracked_job, self._queue_of(tracked_job)) for tracked_job in live]
        capacity_by_endpoint = self._planner.capacity_by_endpoint(links, now)
        unknown_tasks = {key[0] for link in links for key in link.unknown_since_by_key}
        budgets = self._allowances.begin_round(
            links, self._jobs.by_id, is_complete=not blocked_zones
        )
        if not self._planner.feasible:
            budgets.shares = shares_of(self._configuration(), links, self._jobs.by_id)
        free = total_free(capacity_by_endpoint.values())
        placed = self._planner.place_tasks(
            jobs, capacity_by_endpoint, now, blocked_zones, self._token, unknown_tasks, budgets
        )
        relocated: list[Run] = []
        if not blocked_zones:
            left = (self._links.by_id, capacity_by_endpoint, unknown_tasks, budgets, now)
            placed += self._copies.place(jobs, *left)
            relocated = self._relocations.plan(jobs, *left)
        self._allowances.end_round(budgets, free, now)
        view = RoundView(
            now,
            self._links.by_id,
            capacity_by_endpoint,
            self._token if blocked_zones else 0,
            unknown_tasks,
            budgets.refused_jobs,
            self._ticketed,
            blocked_zones,
        )
        return placed, relocated, view

    def _ticketed(self, step: TrackedStep, capacities: Capacities) -> Capacities:
        """Return those endpoints of which a step has a ticket, or all if it needs none."""
        if not needs_tickets(step.tracked_job, self._queue_of(step.tracked_job)):
            return capacities
        return self._planner.with_ticket(step, capacities)

    def _settle_jobs(self, *, is_blocked: bool) -> tuple[list[TrackedJob], bool]:
        """End the jobs whose tasks are done.

        :param is_blocked: whether tasks of the previous owner's jobs may run out of sight.
        :return: the jobs that go on, and whether an ended one waits to be shown.
        """
        now_ms = int(time.time() * 1000)
        live = []
        is_urgent = False
        for tracked_job in list(self._jobs.live_by_id.values()):
            tracked_job.open_occurrences(now_ms)
            if not tracked_job.state.is_final and tracked_job.all_done:
                tracked_job.end(JobState.COMPLETED, now_ms)
            if tracked_job.state.is_final:
                is_urgent = is_urgent or (tracked_job.dirty and not tracked_job.cancelled)
                self._jobs.retire(tracked_job)
                continue
            if not is_blocked:
                tracked_job.start_zones.forget_inherited()
            live.append(tracked_job)
        return live, is_urgent

    def _stop_orders(self, runs: Iterable[Run]) -> list[LinkOrder]:
        orders = []
        for run in runs:
            link = self._links.by_id.get(run.endpoint)
            if link is not None and run.phase is not RunPhase.STOPPING:
                orders.append((link, Order.stop(run)))
        return orders

    def _drop_ended_runs(self, now: float) -> None:
        for link in self._links.by_id.values():
            for run, reason in ended_runs(link, now):
                run.task.record_refusal_by(link.entry.id)
                self._crashes.on_run_lost(link, run)
                self._reconciler.drop(link, run, reason, is_given_up=True)
            if link.unknown_since_by_key and unknown_runs_have_ended(link, now):
                log(
                    Event.UNKNOWN_RUNS_GONE,
                    endpoint=link.entry.id,
                    runs=len(link.unknown_since_by_key),
                )
                link.unknown_since_by_key = {}
