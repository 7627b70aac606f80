"""Owner of a pool: accepts jobs, places tasks, tracks their runs and stores their progress."""

import threading
import time
from collections.abc import Callable

import msgspec

from lentilrill.execution._allowances import AllowanceBook
from lentilrill.execution._contract import Dialer, PolicyCalls
from lentilrill.execution._copies import CopyBook
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._demand import demand_of
from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._endpoint_speeds import SpeedMonitor
from lentilrill.execution._host_evidence import HostEvidence
from lentilrill.execution._host_reader import NO_HOST_SOURCE, HostSource
from lentilrill.execution._job_queues import JobQueues
from lentilrill.execution._jobs import CancelSource, PoolJobs
from lentilrill.execution._latency import LatencyKind, LatencyMonitor
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._need import Durations, OfferedLoad
from lentilrill.execution._planner import Planner
from lentilrill.execution._pressure import backlog_of, pressure_of
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._release import release
from lentilrill.execution._release_gate import keep_open, refusal_of_release
from lentilrill.execution._relocation import Relocations
from lentilrill.execution._responses import ResponseHandler
from lentilrill.execution._rounds import PlanningRounds
from lentilrill.execution._run_leases import MAX_LEASE_S
from lentilrill.execution._senders import Senders
from lentilrill.execution._stored_starts import StoredStarts
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import TrackedJob
from lentilrill.execution._workspace_backlog import WorkspaceReporter
from lentilrill.execution._writer import ProgressWriter
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.inner import PoolPressure, ReleaseState
from lentilrill.store import Compare, Follower, KeyValue
from lentilrill.telemetry import Event, Metrics, NoMetrics, log, run_and_log_errors
from lentilrill.workloads import (
    Configuration,
    EndpointEntry,
    EndpointSpeed,
    JobView,
    PoolUse,
    Resources,
)

__all__ = ["PoolOwner"]

MAX_ROUND_INTERVAL_S = 0.1
"""Maximum time between two planning rounds; changes of runs and jobs trigger one at once."""
MAX_ROUND_SHARE = 0.25
"""Maximum share of an owner's time spent on rounds; polls, orders and commits need the rest."""
MAX_BLIND_S = 2.0
"""Time without changes of accepted jobs after which the number of waiting jobs isn't shown: jobs
that the owner was not told of directly may be missing."""
WATCH_PAUSE_S = 0.7
"""Pause between two watch calls for accepted jobs, which are also sent to the owner directly."""
NO_METRICS = NoMetrics()


def pause_after(round_s: float) -> float:
    """Return the seconds to wait after a round that took ``round_s``.

    In a surge a large pool has hundreds of jobs. A round over them takes milliseconds, and each
    end of a task and each answer triggers one. Without a pause, rounds would use all of the
    owner's processor time and delay the polls and orders. Events during the pause share the next
    round.
    """
    return min(MAX_ROUND_INTERVAL_S, round_s * (1 / MAX_ROUND_SHARE - 1))


class PoolOwner:
    """Owner of one pool until it is closed or fenced by a newer token.

    :param token: revision of the owner's key, used as fencing token of all orders and writes.
    :param owner_key: key whose revision is the token.
    :param configuration: returns the configuration in force.
    :param entries: returns the registered endpoints of a pool.
    :param dial: opens connections to endpoints.
    :param may_order: whether the owner's lease is still valid.
    :param may_poll: whether the owner's lease and its key are still valid, also while it stops
        acting as the owner.
    :param on_fenced: called when an endpoint or the store holds a newer token.
    :param configuration_key: returns the key and revision of the configuration in force, if known.
    :param records_since: returns the revision from which on every owner stores a record before the
        first start of a job; ``None`` if unknown.
    :param policy: policy service for the queues that require tickets.
    :param metrics: receives the jobs' wait times and the owner's latencies.
    :param hosts: listings of the hosts, which tell a crash from a network partition.
    :param max_lease_s: longest run lease that endpoints grant.
    """

    def __init__(
        self,
        kv: KeyValue,
        pool: PoolId,
        token: Revision,
        owner_key: str,
        configuration: Callable[[], Configuration | None],
        entries: Callable[[PoolId], dict[EndpointId, EndpointEntry]],
        dial: Dialer,
        may_order: Callable[[], bool],
        may_poll: Callable[[], bool],
        on_fenced: Callable[[str], None],
        configuration_key: Callable[[], Compare | None],
        records_since: Callable[[], Revision | None],
        policy: PolicyCalls | None = None,
        metrics: Metrics = NO_METRICS,
        hosts: HostSource = NO_HOST_SOURCE,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.pool = pool
        self.token = token
        self._kv = kv
        self._owner_key = owner_key
        self._configuration = configuration
        self._entries = entries
        self._dial = dial
        self._may_order = may_order
        self._may_poll = may_poll
        self._on_fenced = on_fenced
        self._max_lease_s = max_lease_s
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._due = True
        self._due_at: float | None = None
        self._ended = threading.Event()
        endpoint_list = EndpointList(kv, pool, owner_key, token)
        self._senders = Senders(f"orders-{pool}")
        self._links = PoolLinks(pool, endpoint_list, self._lock, self._connect, max_lease_s)
        self._jobs = PoolJobs(
            kv,
            pool,
            owner_key,
            token,
            self._lock,
            self._links.by_id,
            on_fenced,
            self._on_job_changed,
            self._wake,
            records_since,
            metrics,
        )
        self._queues = JobQueues(configuration)
        self._durations = Durations()
        self._offered = OfferedLoad()
        self._workspaces = WorkspaceReporter()
        self._crashes = CrashBook(lambda: self._writer.schedule(urgent=True))
        self._host_evidence = HostEvidence(pool, hosts, self._crashes, self._links)
        self._starts = StoredStarts(self._crashes)
        self._speeds = SpeedMonitor(pool, self._durations, metrics)
        self._reconciler = Reconciler(
            self._jobs.by_id, self._queues.attempts, self._durations, self._crashes, self._speeds
        )
        self._tickets = TicketCache(policy, self._lock_and_wake)
        self._planner = Planner(token, self._durations, self._tickets, self._speeds)
        self._copies = CopyBook(
            pool, self._planner, self._durations, self._queues.attempts, metrics
        )
        self._relocations = Relocations(pool, self._durations, metrics)
        self._allowances = AllowanceBook(
            kv,
            pool,
            Compare(owner_key, token),
            self._lock,
            configuration,
            configuration_key,
            self._lock_and_wake,
            metrics,
        )
        self._latency = LatencyMonitor(pool, token, metrics)
        self._rounds = PlanningRounds(
            pool,
            token,
            self._lock,
            configuration,
            self._queues.queue_of,
            self._jobs,
            self._links,
            self._planner,
            self._copies,
            self._relocations,
            self._allowances,
            self._starts,
            self._crashes,
            self._reconciler,
        )
        self._writer = ProgressWriter(kv, pool, owner_key, token, self._jobs, self.may_order)
        self._responses = ResponseHandler(
            token,
            self._lock,
            self._links,
            self._reconciler,
            self._crashes,
            self._tickets,
            self._latency,
            self.may_order,
            self._may_poll,
            self._processes_reports,
            on_fenced,
            lambda urgent: self._writer.schedule(urgent=urgent),
            self._wake,
            lambda: self._links.update_entries(self._entries(self.pool)),
        )
        self._follower = Follower(kv, f"in/{pool}/", self._jobs, pause_s=WATCH_PAUSE_S)
        self._planning_thread = threading.Thread(
            target=self._planning_loop, name=f"plan-{pool}", daemon=True
        )

    def start(self) -> None:
        """Start to act as owner."""
        self._planning_thread.start()

    def close(self, *, flush: bool = False) -> None:
        """Stop giving orders at once.

        :param flush: store unsaved progress before the hand-over; the lease must still be valid.
            Run leases are renewed until it is stored.
        """
        with self._lock:
            if self._ended.is_set():
                return
            self._ended.set()
            self._changed.notify_all()
            self._speeds.close()
        self._senders.close()
        self._follower.close()
        self._writer.close()
        self._tickets.close()
        self._allowances.close()
        try:
            if flush and self._jobs.loaded:
                self._writer.flush()
        finally:
            self._links.close()

    def may_order(self) -> bool:
        """Whether orders may be given now."""
        return not self._ended.is_set() and self._may_order()

    def _processes_reports(self) -> bool:
        return self._jobs.loaded and not self._ended.is_set()

    # Requests of callers

    def add_job(self, value: bytes, revision: Revision) -> None:
        """Add an accepted job, unless it is tracked already."""
        tracked_job = self._jobs.add(value, revision)
        if tracked_job is not None:
            self._on_job_changed(tracked_job)

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self._jobs.cancel(job, CancelSource.MESSAGE)

    def find(self, job: JobId) -> JobView | None:
        """Return what callers are shown of a job; ``None`` if unknown or not loaded yet."""
        return self._jobs.find(job)

    def _on_job_changed(self, tracked_job: TrackedJob) -> None:
        with self._lock:
            if tracked_job.state.is_final:
                self._writer.schedule(urgent=False)
            elif self._jobs.loaded:
                now = time.monotonic()
                self._workspaces.record(tracked_job, now)
                self._record_arrival(tracked_job, now)
            self._wake()

    def _record_arrival(self, tracked_job: TrackedJob, at: float) -> None:
        if tracked_job.long_running:
            return
        timing = self._planner.job_timing(tracked_job, self._queues.queue_of(tracked_job), at)
        self._offered.record_arrival(at, self._durations.estimate_work(tracked_job), timing.slack_s)

    def pressure(self) -> PoolPressure | None:
        """Return the pool's load, or ``None`` if this owner has no complete view of it.

        An owner that has not loaded the previous owners' records, or has lost its lease, tracks
        only some of the jobs, and would report a queue as empty while jobs wait in it.
        """
        with self._lock:
            if not self._jobs.loaded or not self.may_order():
                return None
            now = time.monotonic()
            links = list(self._links.by_id.values())
            jobs = [
                (
                    tracked_job,
                    self._planner.job_timing(tracked_job, self._queues.queue_of(tracked_job), now),
                )
                for tracked_job in self._jobs.live_by_id.values()
            ]
            demand = demand_of(jobs, links, self._durations, self._offered.forecast(now), now)
            # The rounds until the next call order jobs by this value.
            self._planner.feasible = demand.feasible
            backlog = backlog_of(jobs, self._queues.ids_of)
            configuration = self._configuration()
            has_workspaces = configuration is not None and configuration.workspaces is not None
            counts_are_known = self._follower.failing_s <= MAX_BLIND_S
            return pressure_of(
                self.pool,
                self.token,
                backlog,
                demand,
                links,
                now,
                counts_are_known=counts_are_known,
                workspaces=(
                    self._workspaces.report(jobs, links, demand, now) if has_workspaces else None
                ),
            )

    def workspace_use(self) -> PoolUse:
        """Return what the pool uses of the workspaces' caps."""
        with self._lock:
            links = [link for link in self._links.by_id.values() if link.registered]
            capacity = Resources()
            for link in links:
                capacity = capacity.plus(link.entry.capacity)
        return msgspec.structs.replace(self._allowances.status(), capacity=capacity)

    def endpoint_speeds(self) -> list[EndpointSpeed]:
        """Return the speeds of the pool's endpoints."""
        with self._lock:
            return self._speeds.status(self._links.by_id.values())

    def release(self, endpoint: EndpointId, *, cancel: bool) -> tuple[str, str]:
        """Drain an endpoint whose host is needed elsewhere; called repeatedly until it is free.

        :param cancel: whether to take the release back.
        :return: a value of :class:`~lentilrill.inner.ReleaseState`, and what it waits for.
        """
        with self._lock:
            link = self._links.by_id.get(endpoint)
            # After a take-over the runs on an endpoint are unknown until its first poll, so its
            # host must not be given away while tasks may still run on it.
            if not self._jobs.loaded or endpoint in self._links.unpolled:
                return ReleaseState.WAIT, "the pool is being taken over"
            if link is None:
                if not cancel:
                    self._links.release_unopened(endpoint, time.monotonic())
                return ReleaseState.FREE, "no such endpoint"
            if not link.was_polled:
                return ReleaseState.WAIT, "the endpoint has not been polled yet"
            if cancel:
                link.released = False
                return ReleaseState.WAIT, "the release was cancelled"
            now = time.monotonic()
            refusal = refusal_of_release(
                link, self._links.by_id.values(), self._jobs.live_by_id.values()
            )
            if refusal is not None:
                keep_open(link, now)
                return ReleaseState.BLOCKED, refusal
            state, reason, orders = release(link, now)
        for order in orders:
            link.order(order)
        return state, reason

    # Planning rounds

    def _lock_and_wake(self) -> None:
        with self._lock:
            self._wake()

    def _wake(self) -> None:
        if not self._due:
            self._due_at = time.monotonic()
        self._due = True
        self._changed.notify_all()

    def _planning_loop(self) -> None:
        while not self._ended.is_set() and not self._load_or_log():
            self._ended.wait(MAX_ROUND_INTERVAL_S)
        if self._ended.is_set():
            return
        log(
            Event.SHARD_LOADED,
            shard=self.pool,
            token=self.token,
            jobs=len(self._jobs.live_by_id),
            endpoints=len(self._links.unpolled),
        )
        self._follower.start()
        self._writer.start()
        self._allowances.start()
        while not self._ended.is_set():
            with self._changed:
                if not self._due:
                    self._changed.wait(MAX_ROUND_INTERVAL_S)
                self._due = False
                due_at, self._due_at = self._due_at, None
            began = time.monotonic()
            if self.may_order():
                run_and_log_errors(f"links of {self.pool}", self._refresh_links)
                run_and_log_errors(f"plan of {self.pool}", self._plan)
                run_and_log_errors(f"claims of {self.pool}", self._jobs.store_claims)
                run_and_log_errors(f"old jobs of {self.pool}", self._remove_expired)
            ended = time.monotonic()
            self._record_round(due_at, began, ended)
            self._ended.wait(pause_after(ended - began))

    def _record_round(self, due_at: float | None, began: float, ended: float) -> None:
        if due_at is not None:
            self._latency.record(LatencyKind.WAKE_UP, began - due_at)
        self._latency.record(LatencyKind.ROUND, ended - began)
        self._latency.report(ended, len(self._jobs.live_by_id), len(self._links.by_id))

    def _load_or_log(self) -> bool:
        """Read the records; an unexpected error is logged and counts as records not read."""
        try:
            return self._load()
        except Exception as error:
            log(Event.TASK_FAILED, task=f"load of {self.pool}", error=repr(error))
            return False

    def _load(self) -> bool:
        """Read the previous owners' records; return whether all could be read."""
        # Endpoints first: their leases are renewed while the records are read. Jobs last: once they
        # are loaded, reports are processed and requests to release hosts are answered. Another load
        # would discard what was learned from the reports.
        if not self._links.load():
            return False
        self._links.open_previous(self._entries(self.pool))
        self._links.load_settled_starts()
        if not self._allowances.load():
            return False
        if not self._jobs.load():
            return False
        with self._lock:
            now_ms = int(time.time() * 1000)
            live = sorted(self._jobs.live_by_id.values(), key=lambda job: job.arrived_at)
            for tracked_job in live:
                self._crashes.restore(tracked_job.tasks())
                # A surge goes on while the pool has no owner, and is foreseen from its arrivals.
                if not tracked_job.state.is_final and tracked_job.job.accepted_ms <= now_ms:
                    self._record_arrival(tracked_job, tracked_job.arrived_at)
            self._workspaces.restore(self._jobs.by_id.values(), time.monotonic())
        self._links.wake()
        return True

    def _refresh_links(self) -> None:
        entries = self._entries(self.pool)
        with self._lock:
            self._host_evidence.update(entries)
        if not self._links.refresh(entries):
            self._on_fenced("the store records a newer owner")

    def _remove_expired(self) -> None:
        self._jobs.remove_expired(int(time.time() * 1000))

    def _connect(self, entry: EndpointEntry) -> EndpointLink:
        calls = self._dial(entry)
        return EndpointLink(self._responses, entry, calls, self._senders, self._max_lease_s)

    def _plan(self) -> None:
        result = self._rounds.run()
        if result.is_urgent or result.starts or result.has_placed:
            # Records also tell where tasks were started, so that a later owner waits for less.
            self._writer.schedule(urgent=result.is_urgent, starts=result.starts)
