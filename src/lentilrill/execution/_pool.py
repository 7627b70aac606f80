"""The owner of a pool: takes jobs, places tasks, follows their runs, stores their progress."""

import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure

from lentilrill.execution._book import JobBook, Run, RunPhase, encode_progress, job_id_of
from lentilrill.execution._contract import Dialer, Look, OrderAnswer, StartOrder, Verdict
from lentilrill.execution._link import EndpointLink, Order, OrderKind
from lentilrill.execution._need import (
    Durations,
    OfferedLoad,
    hosts_needed,
    idle_endpoints,
    ready_work,
)
from lentilrill.execution._planner import Planner
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._release import release, renew_releases
from lentilrill.execution._writer import Entry, ProgressWriter, Snapshot
from lentilrill.ids import EndpointId, JobId, PoolId, QueueId, Revision
from lentilrill.inner import PoolPressure, ReleaseState
from lentilrill.store import Compare, Follower, Item, KeyValue, Put
from lentilrill.telemetry import Event, guarded, log
from lentilrill.workloads import (
    Configuration,
    EndpointEntry,
    Job,
    JobProgress,
    JobState,
    Resources,
)

__all__ = ["PoolOwner"]

TAKE_OVER_S = 5.5
"""Wait for endpoints that can't be looked at after a take-over, before tasks that may run there
are started elsewhere: the former owner's right (at most 1.6 s, by its lease or by the news that
the store is away everywhere), the lease of its last order (3.4 s on a clock that may be 2 % slow),
and its end."""
PLAN_EVERY_S = 0.1
"""Longest time between two rounds; news of runs and jobs start one at once."""
INTAKE_PAUSE_S = 0.7
"""Pause between two watch calls for accepted jobs, which are also told directly."""
FORGET_S = 130.0
"""How long a final job is kept: callers may ask for 120 s."""
FORGET_LINK_S = 2.0
"""How long an endpoint that is not registered any more must be silent before it is forgotten."""
RESEND_S = 0.05
"""Pause of an endpoint's orders before one without an answer is sent again."""


class PoolOwner:
    """Owns one pool until it is closed or refused because of a newer token.

    :param token: revision of the owner's key, which fences all its orders and writes.
    :param owner_key: key whose revision is the token.
    :param may_order: whether the lease behind the token still holds.
    :param refused: called when an endpoint or the store knows a newer token.
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
        self._ended = threading.Event()
        self._jobs_by_id: dict[JobId, JobBook] = {}
        self._live_by_id: dict[JobId, JobBook] = {}
        self._early_cancels: set[JobId] = set()
        self._links_by_id: dict[EndpointId, EndpointLink] = {}
        self._roster: dict[EndpointId, str] = {}
        self._unseen: set[EndpointId] = set()
        self._gained_at = time.monotonic()
        self._loaded = False
        self._durations = Durations()
        self._offered = OfferedLoad()
        self._reconciler = Reconciler(self._jobs_by_id, self._attempts, self._durations)
        self._planner = Planner(token, self._durations)
        self._writer = ProgressWriter(kv, pool, owner_key, token, self)
        self._follower = Follower(kv, f"in/{pool}/", self, pause_s=INTAKE_PAUSE_S)
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
            links = list(self._links_by_id.values())
            self._changed.notify_all()
        for link in links:
            link.close()
        self._follower.close()
        self._writer.close()
        if flush and self._loaded:
            self._writer.flush()

    def may_order(self) -> bool:
        """Whether orders may be given now."""
        return not self._ended.is_set() and self._may_order()

    # What callers want

    def take_job(self, value: bytes, revision: Revision) -> None:
        """Take an accepted job; one that is known already is not taken again."""
        job = msgspec.msgpack.decode(value, type=Job)
        with self._lock:
            if job.id in self._jobs_by_id:
                return
            book = self._add(job, revision)
            if not book.lasts:
                self._offered.note(time.monotonic(), self._durations.chain_of(book).work)
            self._wake()

    def cancel(self, job: JobId) -> None:
        """Stop a job for good."""
        with self._lock:
            book = self._jobs_by_id.get(job)
            if book is None:
                self._early_cancels.add(job)
                return
            self._cancel(book)
            self._wake()

    def state_of(self, job: JobId) -> JobState | None:
        """Return what may be shown of a job; ``None`` if it is not known, or not yet."""
        with self._lock:
            book = self._jobs_by_id.get(job)
            if book is None or not self._loaded:
                return None
            if not book.state.is_final or book.final_stored or book.cancelled:
                return book.state
            # Not shown before it is stored: a later owner must not take it up again.
            return JobState.RUNNING

    def pressure(self) -> PoolPressure:
        """Return how busy the pool is."""
        with self._lock:
            waiting: dict[QueueId, int] = {}
            work = 0.0
            ready = Resources()
            for book in self._live_by_id.values():
                if book.state is JobState.QUEUED and not book.job.occurrences:
                    waiting[book.job.queue] = waiting.get(book.job.queue, 0) + 1
                if not book.lasts:
                    work += self._durations.chain_of(book).work
                ready = ready.plus(ready_work(book))
            links = list(self._links_by_id.values())
            cores = sum(link.entry.room.cpu for link in links if link.registered) / 1000
            offered = self._offered.cores(time.monotonic())
            need = hosts_needed(links, ready, offered)
            idle = idle_endpoints(links, time.monotonic())
        # Without a host there is no rate to tell a wait by; the fleet's owner sends some.
        wait_s = work / cores if cores and self._loaded else 0.0
        return PoolPressure(
            self.pool,
            round(wait_s, 2),
            waiting,
            self.token,
            round(need, 2),
            sum(1 for link in links if link.reachable and link.registered),
            tuple(idle),
        )

    def release(self, endpoint: EndpointId, *, cancel: bool) -> tuple[str, str]:
        """Empty an endpoint whose host is wanted elsewhere; asked again until it is free.

        :return: a value of :class:`~lentilrill.inner.ReleaseState`, and what it waits for.
        """
        with self._lock:
            link = self._links_by_id.get(endpoint)
            # Guard against a host that is taken from under its tasks: an owner that has just
            # taken over knows nothing of an endpoint until it has looked there.
            if not self._loaded or endpoint in self._unseen:
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

    # Records in the store

    def replaced(self, items: tuple[Item, ...]) -> None:
        """Take over a full read of accepted jobs and cancellings."""
        self.changed(items)

    def changed(self, items: tuple[Item, ...]) -> None:
        """Take over newly accepted jobs and cancellings."""
        for item in items:
            if item.value is None:
                continue
            if "/x/" in item.key:
                self.cancel(job_id_of(item.key))
            else:
                self.take_job(item.value, item.revision)

    def _load(self) -> bool:
        """Read what former owners stored; return whether it is complete."""
        accepted = self._kv.read(f"in/{self.pool}/")
        progress = self._kv.read(f"p/{self.pool}/")
        roster = self._kv.read(f"e/{self.pool}")
        for result in (accepted, progress, roster):
            if isinstance(result, Failure):
                log(Event.SHARD_NOT_LOADED, shard=self.pool, reason=result.failure().reason)
                return False
        now_ms = int(time.time() * 1000)
        with self._lock:
            items = accepted.unwrap().items
            for item in items:
                if item.value is not None and "/j/" in item.key:
                    self._add(msgspec.msgpack.decode(item.value, type=Job), item.revision)
            for item in progress.unwrap().items:
                book = self._jobs_by_id.get(job_id_of(item.key))
                if book is not None and item.value is not None:
                    book.stored_revision = item.revision
                    book.restore(msgspec.json.decode(item.value, type=JobProgress), now_ms)
                    if book.final_stored:
                        self._live_by_id.pop(book.job.id, None)
            for item in items:
                if item.value is not None and "/x/" in item.key:
                    self.cancel(job_id_of(item.key))
            for item in roster.unwrap().items:
                if item.key == f"e/{self.pool}" and item.value is not None:
                    self._roster = msgspec.json.decode(item.value, type=dict[EndpointId, str])
            self._unseen = set(self._roster)
            self._loaded = True
            live = len(self._live_by_id)
        log(
            Event.SHARD_LOADED,
            shard=self.pool,
            token=self.token,
            jobs=live,
            endpoints=len(self._roster),
        )
        return True

    def _add(self, job: Job, revision: Revision) -> JobBook:
        book = JobBook(job, revision, _arrival(job))
        book.open_occurrences(int(time.time() * 1000))
        self._jobs_by_id[job.id] = book
        self._live_by_id[job.id] = book
        if job.id in self._early_cancels:
            self._early_cancels.discard(job.id)
            self._cancel(book)
        return book

    def _cancel(self, book: JobBook) -> None:
        if book.state.is_final:
            return
        book.cancelled = True
        book.end(JobState.CANCELLED, int(time.time() * 1000))
        log(Event.JOB_CANCELLED, job=book.job.id, pool=self.pool)
        self._writer.note(urgent=False)

    def _attempts(self, book: JobBook) -> int:
        configuration = self._configuration()
        queue = configuration.queue(book.job.queue) if configuration is not None else None
        return queue.max_attempts if queue is not None else book.job.attempts

    # Rounds

    def _wake(self) -> None:
        self._due = True
        self._changed.notify_all()

    def _plan_on(self) -> None:
        while not self._ended.is_set() and not self._load():
            self._ended.wait(PLAN_EVERY_S)
        if self._ended.is_set():
            return
        self._follower.start()
        self._writer.start()
        while not self._ended.is_set():
            with self._changed:
                if not self._due:
                    self._changed.wait(PLAN_EVERY_S)
                self._due = False
            if self.may_order():
                guarded(f"links of {self.pool}", self._refresh_links)
                guarded(f"plan of {self.pool}", self._plan)

    def _refresh_links(self) -> None:
        entries = self._entries(self.pool)
        with self._lock:
            new = [e for e in entries.values() if e.id not in self._links_by_id]
            for link in self._links_by_id.values():
                entry = entries.get(link.entry.id)
                link.registered = entry is not None
                if entry is not None:
                    link.entry = entry
            unknown = [
                EndpointEntry(id, self.pool, address, zone="")  # type: ignore[arg-type]
                for id, address in self._roster.items()
                if id not in entries and id not in self._links_by_id and id in self._unseen
            ]
            gone = [link for link in self._links_by_id.values() if self._is_over(link)]
        if new or gone:
            self._note_roster(new, gone)
        for entry in [*new, *unknown]:
            if entry.id in self._roster:
                self._open(entry)

    def _is_over(self, link: EndpointLink) -> bool:
        """Whether a link is of no use any more: its endpoint is not registered, and nothing runs
        there, or has been unreachable for longer than its lease."""
        now = time.monotonic()
        # Guard against a task that runs twice: a cut zone's endpoints vanish from the store while
        # a former owner's tasks still run there, until that owner's last leases have ended.
        former = link.entry.id in self._unseen and now - self._gained_at < TAKE_OVER_S
        if link.registered or former:
            return False
        silent = now - max(link.heard, link.since) > FORGET_LINK_S
        return not link.runs_by_key and (link.closed or (silent and now > link.lease_end))

    def _note_roster(self, new: list[EndpointEntry], gone: list[EndpointLink]) -> None:
        """Store which endpoints get orders, before the first one.

        Guard against a task that runs twice: a later owner must know every endpoint on which a
        task may still run, also one whose registration has vanished.
        """
        roster = dict(self._roster)
        roster.update({entry.id: entry.address for entry in new})
        with self._lock:
            for link in gone:
                link.close()
                roster.pop(link.entry.id, None)
                self._links_by_id.pop(link.entry.id, None)
                self._unseen.discard(link.entry.id)
        put = Put(f"e/{self.pool}", msgspec.json.encode(roster))
        result = self._kv.commit((Compare(self._owner_key, self.token),), (put,))
        if isinstance(result, Failure):
            log(Event.PROGRESS_NOT_STORED, pool=self.pool, reason=result.failure().reason)
            return
        if not result.unwrap().succeeded:
            self._refused("the store knows a newer owner")
            return
        with self._lock:
            self._roster = roster

    def _open(self, entry: EndpointEntry) -> None:
        link = EndpointLink(self, entry, self._dial(entry))
        with self._lock:
            self._links_by_id[entry.id] = link
        link.start()

    def _plan(self) -> None:
        now = time.monotonic()
        now_ms = int(time.time() * 1000)
        orders: list[tuple[EndpointLink, Order]] = []
        with self._lock:
            self._expire_leases(now)
            renew_releases(list(self._links_by_id.values()), now)
            configuration = self._configuration()
            jobs = []
            urgent = False
            for book in list(self._live_by_id.values()):
                book.open_occurrences(now_ms)
                if not book.state.is_final and book.all_done:
                    book.end(JobState.COMPLETED, now_ms)
                if book.state.is_final:
                    orders += self._stops(book)
                    urgent = urgent or (book.dirty and not book.cancelled)
                    self._retire(book)
                    continue
                queue = configuration.queue(book.job.queue) if configuration else None
                jobs.append((book, queue))
            blocked = bool(self._unseen) and now - self._gained_at < TAKE_OVER_S
            rooms = self._planner.rooms(self._links_by_id.values(), now)
            strays = {key[0] for link in self._links_by_id.values() for key in link.strays_by_key}
            placed = self._planner.starts(jobs, rooms, now, blocked, self.token, strays)
            for endpoint, run in placed:
                link = self._links_by_id[endpoint]
                link.runs_by_key[run.key] = run
                orders.append((link, Order.of(OrderKind.START, run)))
            for link in self._links_by_id.values():
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
                link = self._links_by_id.get(run.endpoint)
                if link is not None and run.phase is not RunPhase.STOPPING:
                    run.phase = RunPhase.STOPPING
                    orders.append((link, Order.of(OrderKind.STOP, run)))
        return orders

    def _expire_leases(self, now: float) -> None:
        for link in self._links_by_id.values():
            if link.runs_by_key and link.lease_end and now > link.lease_end:
                for run in list(link.runs_by_key.values()):
                    self._reconciler.drop(link, run, "its lease has lapsed out of sight")

    # What endpoints say

    def looked(self, link: EndpointLink, look: Look, sent: float) -> None:
        """Take over what a look found."""
        if look.verdict is Verdict.FENCED:
            self._refused(f"endpoint {link.entry.id} knows a newer owner")
            return
        with self._lock:
            if look.verdict is Verdict.ELSEWHERE:
                self._gone_for_good(link)
                return
            if look.verdict is not Verdict.DONE:
                if link.reachable:
                    log(
                        Event.ENDPOINT_LOST,
                        endpoint=link.entry.id,
                        verdict=look.verdict.value,
                        runs=len(link.runs_by_key),
                    )
                link.reachable = False
                return
            if not link.reachable:
                log(Event.ENDPOINT_BACK, endpoint=link.entry.id, running=len(look.running))
            link.reachable = True
            link.heard = time.monotonic()
            link.looked_once = True
            self._unseen.discard(link.entry.id)
            had_ends = bool(look.ended)
            for order in self._reconciler.take_look(link, look, sent):
                link.order(order)
            self._wake()
        if had_ends:
            self._writer.note(urgent=False)

    def _gone_for_good(self, link: EndpointLink) -> None:
        """Another life answers at the address: what ran in the former one has ended."""
        log(Event.ENDPOINT_GONE, endpoint=link.entry.id, address=link.entry.address)
        for run in list(link.runs_by_key.values()):
            self._reconciler.drop(link, run, "its endpoint has ended")
        link.reachable = False
        link.close()
        self._unseen.discard(link.entry.id)
        self._wake()

    def start_for(self, link: EndpointLink, run: Run) -> StartOrder | None:
        """Return the order of a start, or ``None`` if it is not wanted any more."""
        with self._lock:
            book = run.task.step.book
            if run.key not in link.runs_by_key:
                return None
            if book.state.is_final or link.entry.draining or run.phase is RunPhase.STOPPING:
                if run.in_doubt:
                    run.phase = RunPhase.STOPPING
                    link.order(Order.of(OrderKind.STOP, run))
                else:
                    self._reconciler.drop(link, run, "not wanted any more")
                return None
            run.expires_ms = run.expires_ms or link.expiry_ms()
            return StartOrder(
                run.task.id,
                run.number,
                book.job.spec,
                run.expires_ms,
                self.token,
                run.task.checkpoint,
            )

    def answered(self, link: EndpointLink, order: Order, answer: OrderAnswer) -> None:
        """Take over an order's answer."""
        if answer.verdict is Verdict.FENCED:
            self._refused(f"endpoint {link.entry.id} knows a newer owner")
            return
        with self._lock:
            if answer.verdict is Verdict.ELSEWHERE:
                self._gone_for_good(link)
                return
            after = self._reconciler.take_answer(link, order, answer.verdict)
            self._wake()
        if after is not None:
            time.sleep(RESEND_S)
            link.order(after)

    # What the writer wants

    def snapshot(self, most: int) -> Snapshot:
        """Return progress to be written, final jobs first."""
        with self._lock:
            dirty = [book for book in self._live_by_id.values() if book.dirty]
            dirty.sort(key=lambda book: not book.state.is_final)
            entries = [
                Entry(
                    book.job.id,
                    encode_progress(book.progress()),
                    book.stored_revision,
                    book.version,
                    book.state.is_final,
                )
                for book in dirty[:most]
            ]
            cursors = {
                link.entry.id: (link.seen_cursor, link.born_ms)
                for link in self._links_by_id.values()
            }
            return Snapshot(entries, cursors, len(dirty) <= most)

    def stored(self, snapshot: Snapshot, revision: Revision) -> None:
        """Take note that a snapshot is in the store."""
        with self._lock:
            for entry in snapshot.entries:
                book = self._jobs_by_id.get(entry.job)
                if book is None:
                    continue
                book.stored_revision = revision
                book.dirty = book.version != entry.version
                if entry.is_final and not book.final_stored:
                    book.final_stored = True
                    self._log_final(book)
                self._retire(book)
            if not snapshot.is_whole:
                return
            for endpoint, (cursor, born_ms) in snapshot.cursors.items():
                link = self._links_by_id.get(endpoint)
                if link is not None and link.born_ms == born_ms:
                    link.stored_cursor = max(link.stored_cursor, cursor)
                    link.nudge()

    def _log_final(self, book: JobBook) -> None:
        log(
            Event.JOB_ENDED,
            job=book.job.id,
            queue=book.job.queue,
            state=book.state.value,
            took_s=round(time.monotonic() - book.arrived_at, 2),
        )

    def _retire(self, book: JobBook) -> None:
        """Leave a final job out of all rounds once nothing of it runs."""
        if book.final_stored and not book.dirty and not any(t.runs for t in book.tasks()):
            self._live_by_id.pop(book.job.id, None)
            self._planner.forget(book)
            book.steps_by_occurrence = {}

    def refused(self) -> None:
        """Find out why a commit's conditions did not hold, or what became of a lost one."""
        read = self._kv.read(f"p/{self.pool}/")
        held = self._kv.read(self._owner_key)
        if isinstance(read, Failure) or isinstance(held, Failure):
            return
        tokens = [i.revision for i in held.unwrap().items if i.key == self._owner_key]
        if tokens != [self.token]:
            self._refused("the store knows a newer owner")
            return
        with self._lock:
            for item in read.unwrap().items:
                book = self._jobs_by_id.get(job_id_of(item.key))
                if book is not None:
                    book.stored_revision = item.revision


def _arrival(job: Job) -> float:
    """Return when a job was accepted, by this process's monotonic clock."""
    age_s = max(0.0, time.time() - job.accepted_ms / 1000)
    return time.monotonic() - min(age_s, 60.0)
