"""The owner of a pool: takes jobs, places tasks, follows their runs, stores their progress."""

import threading
import time
from collections.abc import Callable

from lentilrill.execution._book import JobBook, RunPhase
from lentilrill.execution._contract import Dialer, PolicyCalls
from lentilrill.execution._demand import demand_of
from lentilrill.execution._endpoint_talk import EndpointTalk
from lentilrill.execution._idle import IdleTasks, RoundView
from lentilrill.execution._jobs import PoolJobs
from lentilrill.execution._lateness import Late, Lateness
from lentilrill.execution._link import EndpointLink, Order, OrderKind
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._need import Durations, OfferedLoad
from lentilrill.execution._planner import Planner
from lentilrill.execution._pressure import backlog_of, pressure_of
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._release import release, renew_releases
from lentilrill.execution._roster import Roster
from lentilrill.execution._senders import Senders
from lentilrill.execution._tickets import TicketOffice
from lentilrill.execution._writer import ProgressWriter
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.inner import PoolPressure, ReleaseState
from lentilrill.store import Follower, KeyValue
from lentilrill.telemetry import Event, Metrics, NoMetrics, log, run_and_log_errors
from lentilrill.workloads import Configuration, EndpointEntry, JobState, Queue

__all__ = ["PoolOwner"]

PLAN_EVERY_S = 0.1
"""Longest time between two rounds; news of runs and jobs start one at once."""
PLAN_SHARE = 0.25
"""Most of its time that an owner spends on rounds: looks, orders and commits need the rest."""
INTAKE_PAUSE_S = 0.7
"""Pause between two watch calls for accepted jobs, which are also told directly."""
NO_METRICS = NoMetrics()


def pause_after(round_s: float) -> float:
    """Return the seconds to wait after a round that took ``round_s``.

    Load pattern: a large pool in its surge has hundreds of jobs, a round over which takes
    milliseconds, and each end of a task and each answer calls for one. Begun at once, rounds take
    all of the owner's processor, and the looks and orders that bring the news come late. News
    that come meanwhile share the next round.
    """
    return min(PLAN_EVERY_S, round_s * (1 / PLAN_SHARE - 1))


class PoolOwner:
    """Owns one pool until it is closed or refused because of a newer token.

    :param token: revision of the owner's key, which fences all its orders and writes.
    :param owner_key: key whose revision is the token.
    :param may_order: whether the lease behind the token still holds.
    :param refused: called when an endpoint or the store knows a newer token.
    :param policy: the service that knows which endpoints may run the steps of some queues.
    :param metrics: where the time goes that jobs take.
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
        refused: Callable[[str], None],
        policy: PolicyCalls | None = None,
        metrics: Metrics = NO_METRICS,
    ) -> None:
        self.pool = pool
        self.token = token
        self._kv = kv
        self._owner_key = owner_key
        self._configuration = configuration
        self._entries = entries
        self._dial = dial
        self._may_order = may_order
        self._refused = refused
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._due = True
        self._due_at: float | None = None
        self._ended = threading.Event()
        roster = Roster(kv, pool, owner_key, token)
        self._senders = Senders(f"orders-{pool}")
        self._links = PoolLinks(pool, roster, self._lock, self._connect)
        self._jobs = PoolJobs(
            kv,
            pool,
            owner_key,
            token,
            self._lock,
            self._links.by_id,
            refused,
            self._job_changed,
            metrics,
        )
        self._durations = Durations()
        self._offered = OfferedLoad()
        self._reconciler = Reconciler(self._jobs.by_id, self._attempts, self._durations)
        self._tickets = TicketOffice(policy, self._wake_up)
        self._planner = Planner(token, self._durations, self._tickets)
        self._lateness = Lateness(pool, token, metrics)
        self._idle = IdleTasks(pool)
        self._writer = ProgressWriter(kv, pool, owner_key, token, self._jobs, self.may_order)
        self._talk = EndpointTalk(
            token,
            self._lock,
            self._links,
            self._reconciler,
            self._tickets,
            self._lateness,
            self.may_order,
            refused,
            lambda: self._writer.note(urgent=False),
            self._wake,
            lambda: self._links.note(self._entries(self.pool)),
        )
        self._follower = Follower(kv, f"in/{pool}/", self._jobs, pause_s=INTAKE_PAUSE_S)
        self._planning = threading.Thread(target=self._plan_on, name=f"plan-{pool}", daemon=True)

    def start(self) -> None:
        """Begin to act as owner."""
        self._planning.start()

    def close(self, *, flush: bool = False) -> None:
        """Stop ordering at once.

        :param flush: the right still holds: store what is known before it is handed over.
        """
        with self._lock:
            if self._ended.is_set():
                return
            self._ended.set()
            links = list(self._links.by_id.values())
            self._changed.notify_all()
        for link in links:
            link.close()
        self._senders.close()
        self._follower.close()
        self._writer.close()
        self._tickets.close()
        if flush and self._jobs.loaded:
            self._writer.flush()

    def may_order(self) -> bool:
        """Whether orders may be given now."""
        return not self._ended.is_set() and self._may_order()

    # What callers want

    def take_job(self, value: bytes, revision: Revision) -> None:
        """Take an accepted job; one that is known already is not taken again."""
        book = self._jobs.take(value, revision)
        if book is not None:
            self._job_changed(book)

    def cancel(self, job: JobId) -> None:
        """Stop a job for good."""
        self._jobs.cancel(job)

    def state_of(self, job: JobId) -> JobState | None:
        """Return what may be shown of a job; ``None`` if it is not known, or not yet."""
        return self._jobs.state_of(job)

    def _job_changed(self, book: JobBook) -> None:
        with self._lock:
            if book.state.is_final:
                self._writer.note(urgent=False)
            elif not book.lasts:
                now = time.monotonic()
                slack_s = self._planner.standing(book, self._queue_of(book), now).slack_s
                self._offered.note(now, self._durations.chain_of(book), slack_s)
            self._wake()

    def pressure(self) -> PoolPressure | None:
        """Return how busy the pool is; ``None`` if this owner can't tell.

        Guard against a queue that is told to be empty while jobs wait in it: an owner that has not
        read what its predecessors stored, or has lost its right, knows only some of them.
        """
        with self._lock:
            if not self._jobs.loaded or not self.may_order():
                return None
            now = time.monotonic()
            links = list(self._links.by_id.values())
            jobs = [
                (book, self._planner.standing(book, self._queue_of(book), now))
                for book in self._jobs.live_by_id.values()
            ]
            demand = demand_of(jobs, links, self._durations, self._offered.expected(now), now)
            # The rounds until the next reckoning order jobs by it.
            self._planner.feasible = demand.feasible
            backlog = backlog_of(jobs)
            return pressure_of(self.pool, self.token, backlog, demand, links, now)

    def release(self, endpoint: EndpointId, *, cancel: bool) -> tuple[str, str]:
        """Empty an endpoint whose host is wanted elsewhere; asked again until it is free.

        :return: a value of :class:`~lentilrill.inner.ReleaseState`, and what it waits for.
        """
        with self._lock:
            link = self._links.by_id.get(endpoint)
            # Guard against a host that is taken from under its tasks: an owner that has just
            # taken over knows nothing of an endpoint until it has looked there.
            if not self._jobs.loaded or endpoint in self._links.unseen:
                return ReleaseState.WAIT, "the pool is being taken over"
            if link is None:
                return ReleaseState.FREE, "no such endpoint"
            if not link.looked_once:
                return ReleaseState.WAIT, "the endpoint has not been looked at"
            if cancel:
                link.released = False
                return ReleaseState.WAIT, "taken back"
            state, reason, orders = release(link, time.monotonic())
        for order in orders:
            link.order(order)
        return state, reason

    def _queue_of(self, book: JobBook) -> Queue | None:
        configuration = self._configuration()
        return configuration.queue(book.job.queue) if configuration is not None else None

    def _attempts(self, book: JobBook) -> int:
        queue = self._queue_of(book)
        return queue.max_attempts if queue is not None else book.job.attempts

    # Rounds

    def _wake_up(self) -> None:
        with self._lock:
            self._wake()

    def _wake(self) -> None:
        if not self._due:
            self._due_at = time.monotonic()
        self._due = True
        self._changed.notify_all()

    def _plan_on(self) -> None:
        while not self._ended.is_set() and not self._load():
            self._ended.wait(PLAN_EVERY_S)
        if self._ended.is_set():
            return
        log(
            Event.SHARD_LOADED,
            shard=self.pool,
            token=self.token,
            jobs=len(self._jobs.live_by_id),
            endpoints=len(self._links.unseen),
        )
        self._follower.start()
        self._writer.start()
        while not self._ended.is_set():
            with self._changed:
                if not self._due:
                    self._changed.wait(PLAN_EVERY_S)
                self._due = False
                due_at, self._due_at = self._due_at, None
            began = time.monotonic()
            if self.may_order():
                run_and_log_errors(f"links of {self.pool}", self._refresh_links)
                run_and_log_errors(f"plan of {self.pool}", self._plan)
                run_and_log_errors(f"old jobs of {self.pool}", self._forget_old)
            ended = time.monotonic()
            self._note_round(due_at, began, ended)
            self._ended.wait(pause_after(ended - began))

    def _note_round(self, due_at: float | None, began: float, ended: float) -> None:
        if due_at is not None:
            self._lateness.note(Late.NEWS, began - due_at)
        self._lateness.note(Late.ROUND, ended - began)
        self._lateness.report(ended, len(self._jobs.live_by_id), len(self._links.by_id))

    def _load(self) -> bool:
        """Read what former owners stored; return whether it is complete."""
        # Endpoints first: once the jobs count as loaded, hosts may be asked for.
        return self._links.load() and self._jobs.load()

    def _refresh_links(self) -> None:
        if not self._links.refresh(self._entries(self.pool)):
            self._refused("the store knows a newer owner")

    def _forget_old(self) -> None:
        self._jobs.forget_old(int(time.time() * 1000))

    def _connect(self, entry: EndpointEntry) -> EndpointLink:
        return EndpointLink(self._talk, entry, self._dial(entry), self._senders)

    def _plan(self) -> None:
        now = time.monotonic()
        now_ms = int(time.time() * 1000)
        orders: list[tuple[EndpointLink, Order]] = []
        with self._lock:
            self._expire_leases(now)
            renew_releases(list(self._links.by_id.values()), now)
            jobs = []
            urgent = False
            for book in list(self._jobs.live_by_id.values()):
                book.open_occurrences(now_ms)
                if not book.state.is_final and book.all_done:
                    book.end(JobState.COMPLETED, now_ms)
                if book.state.is_final:
                    orders += self._stops(book)
                    urgent = urgent or (book.dirty and not book.cancelled)
                    self._jobs.retire(book)
                    continue
                jobs.append((book, self._queue_of(book)))
            blocked = self._links.are_blocked
            rooms = self._planner.rooms(self._links.by_id.values(), now)
            strays = {key[0] for link in self._links.by_id.values() for key in link.strays_by_key}
            placed = self._planner.starts(jobs, rooms, now, blocked, self.token, strays)
            for endpoint, run in placed:
                link = self._links.by_id[endpoint]
                link.runs_by_key[run.key] = run
                orders.append((link, Order.of(OrderKind.START, run)))
            view = RoundView(
                now,
                self._links.by_id,
                rooms,
                self.token if blocked else 0,
                strays,
            )
            self._idle.sweep((book for book, _ in jobs), view)
            for link in self._links.by_id.values():
                orders += [(link, order) for order in self._planner.paces(link, now)]
                orders += [(link, order) for order in self._planner.stuck(link)]
        for link, order in orders:
            link.order(order)
        if urgent:
            self._writer.note(urgent=True)

    def _stops(self, book: JobBook) -> list[tuple[EndpointLink, Order]]:
        orders = []
        for task in book.tasks():
            for run in task.runs:
                link = self._links.by_id.get(run.endpoint)
                if link is not None and run.phase is not RunPhase.STOPPING:
                    run.phase = RunPhase.STOPPING
                    orders.append((link, Order.of(OrderKind.STOP, run)))
        return orders

    def _expire_leases(self, now: float) -> None:
        for link in self._links.by_id.values():
            if link.runs_by_key and link.lease_end and now > link.lease_end:
                for run in list(link.runs_by_key.values()):
                    # A start that still waits to be sent has no lease yet.
                    if run.is_unsent and link.reachable:
                        continue
                    self._reconciler.drop(link, run, "its lease has lapsed out of sight")
