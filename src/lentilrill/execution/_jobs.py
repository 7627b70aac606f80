"""A pool's jobs: taken from callers, read from the store and written there by their owner."""

import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure

from lentilrill.execution._book import JobBook, encode_progress, job_id_of
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._writer import Entry, Snapshot, progress_key
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.store import Compare, DeleteRange, Item, KeyValue, Priority
from lentilrill.telemetry import Event, Metrics, log
from lentilrill.workloads import Job, JobProgress, JobState

__all__ = ["PoolJobs"]

FORGET_S = 130.0
"""How long a final job is kept: callers may ask for 120 s."""
FORGET_EVERY_S = 5.0
FORGET_AT_ONCE = 10
"""Jobs whose records are removed by one call, which takes 32 entries at most, and each job has
three; at this pace a pool may end two jobs a second for long."""
LONGEST_AGE_S = 60.0
"""Age beyond which a job's arrival is not told apart, so that a clock that jumped by hours does not
make all jobs hopelessly late."""


class PoolJobs:
    """What a pool's owner knows of its jobs.

    All but :meth:`load` and :meth:`settle` are called under ``lock``, or take it.

    :param links: the owner's links to endpoints, by id.
    :param refused: called when the store knows a newer owner.
    :param changed: called after news of a job.
    :param metrics: where the time goes that jobs take.
    """

    def __init__(
        self,
        kv: KeyValue,
        pool: PoolId,
        owner_key: str,
        token: Revision,
        lock: threading.RLock,
        links: dict[EndpointId, EndpointLink],
        refused: Callable[[str], None],
        changed: Callable[[JobBook], None],
        metrics: Metrics,
    ) -> None:
        self.by_id: dict[JobId, JobBook] = {}
        self.live_by_id: dict[JobId, JobBook] = {}
        self.loaded = False
        self._kv = kv
        self._pool = pool
        self._owner_key = owner_key
        self._token = token
        self._lock = lock
        self._links = links
        self._refused = refused
        self._changed = changed
        self._metrics = metrics
        self._early_cancels: set[JobId] = set()
        self._forgot_at = time.monotonic()

    def take(self, value: bytes, revision: Revision) -> JobBook | None:
        """Take an accepted job; ``None`` if it is known already."""
        job = msgspec.msgpack.decode(value, type=Job)
        with self._lock:
            if job.id in self.by_id:
                return None
            return self._add(job, revision)

    def cancel(self, job: JobId) -> None:
        """Stop a job for good, also one whose acceptance is heard of later."""
        with self._lock:
            book = self.by_id.get(job)
            if book is None:
                self._early_cancels.add(job)
            else:
                self._cancel(book)

    def state_of(self, job: JobId) -> JobState | None:
        """Return what may be shown of a job; ``None`` if it is not known, or not yet."""
        with self._lock:
            book = self.by_id.get(job)
            if book is None or not self.loaded:
                return None
            if not book.state.is_final or book.final_stored or book.cancelled:
                return book.state
            # Not shown before it is stored: a later owner must not take it up again.
            return JobState.RUNNING

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Take over a full read of accepted jobs and cancellings."""
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Take over newly accepted jobs and cancellings."""
        for item in items:
            if item.value is None:
                continue
            if "/x/" in item.key:
                self.cancel(job_id_of(item.key))
            elif (book := self.take(item.value, item.revision)) is not None:
                self._changed(book)

    def load(self) -> bool:
        """Read what former owners stored; return whether it is complete."""
        accepted = self._kv.read(f"in/{self._pool}/")
        progress = self._kv.read(progress_key(self._pool, ""))
        for result in (accepted, progress):
            if isinstance(result, Failure):
                log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=result.failure().reason)
                return False
        now_ms = int(time.time() * 1000)
        with self._lock:
            items = accepted.unwrap().items
            for item in items:
                if item.value is not None and "/j/" in item.key:
                    self._add(msgspec.msgpack.decode(item.value, type=Job), item.revision)
            for item in progress.unwrap().items:
                self._restore(item, now_ms)
            for item in items:
                if item.value is not None and "/x/" in item.key:
                    self.cancel(job_id_of(item.key))
            self.loaded = True
        return True

    def _restore(self, item: Item, now_ms: int) -> None:
        book = self.by_id.get(job_id_of(item.key))
        if book is None or item.value is None:
            return
        book.stored_revision = item.revision
        book.restore(msgspec.json.decode(item.value, type=JobProgress), now_ms)
        if book.final_stored:
            self.live_by_id.pop(book.job.id, None)

    def _add(self, job: Job, revision: Revision) -> JobBook:
        book = JobBook(job, revision, _arrival(job))
        book.open_occurrences(int(time.time() * 1000))
        self.by_id[job.id] = book
        self.live_by_id[job.id] = book
        if job.id in self._early_cancels:
            self._early_cancels.discard(job.id)
            self._cancel(book)
        return book

    def _cancel(self, book: JobBook) -> None:
        if book.state.is_final:
            return
        book.cancelled = True
        book.end(JobState.CANCELLED, int(time.time() * 1000))
        log(Event.JOB_CANCELLED, job=book.job.id, pool=self._pool)
        self._changed(book)

    def snapshot(self, most: int) -> Snapshot:
        """Return progress to be written, final jobs first."""
        with self._lock:
            dirty = [book for book in self.live_by_id.values() if book.dirty]
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
                link.entry.id: (link.seen_cursor, link.born_ms) for link in self._links.values()
            }
            return Snapshot(entries, cursors, len(dirty) <= most)

    def stored(self, snapshot: Snapshot, revision: Revision) -> None:
        """Take note that a snapshot is in the store."""
        with self._lock:
            for entry in snapshot.entries:
                book = self.by_id.get(entry.job)
                if book is None:
                    continue
                book.stored_revision = revision
                book.dirty = book.version != entry.version
                if entry.is_final and not book.final_stored:
                    book.final_stored = True
                    self._tell_final(book)
                self.retire(book)
            if not snapshot.is_whole:
                return
            for endpoint, (cursor, born_ms) in snapshot.cursors.items():
                link = self._links.get(endpoint)
                if link is not None and link.born_ms == born_ms:
                    link.stored_cursor = max(link.stored_cursor, cursor)
                    link.nudge()

    def _tell_final(self, book: JobBook) -> None:
        """Say how a job ended and where its time went."""
        now = time.monotonic()
        queue = book.job.queue
        waits = book.waits.seconds_by_cause(now)
        log(
            Event.JOB_ENDED,
            job=book.job.id,
            queue=queue,
            state=book.state.value,
            took_s=round(now - book.arrived_at, 2),
            **{f"{cause.value}_s": round(seconds, 2) for cause, seconds in waits.items()},
        )
        for cause, seconds in waits.items():
            self._metrics.timing(f"job.{cause.value}.{queue}", seconds * 1000)

    def retire(self, book: JobBook) -> None:
        """Leave a final job out of all rounds once nothing of it runs."""
        if book.final_stored and not book.dirty and not any(t.runs for t in book.tasks()):
            self.live_by_id.pop(book.job.id, None)
            book.steps_by_occurrence = {}

    def settle(self) -> None:
        """Find out why a commit's conditions did not hold, or what became of a lost one."""
        read = self._kv.read(progress_key(self._pool, ""))
        held = self._kv.read(self._owner_key)
        if isinstance(read, Failure) or isinstance(held, Failure):
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, reason="the records can't be read")
            return
        tokens = [i.revision for i in held.unwrap().items if i.key == self._owner_key]
        if tokens != [self._token]:
            self._refused("the store knows a newer owner")
            return
        with self._lock:
            for item in read.unwrap().items:
                book = self.by_id.get(job_id_of(item.key))
                if book is not None:
                    book.stored_revision = item.revision

    def forget_old(self, now_ms: int) -> None:
        """Remove the records of some jobs that ended long ago."""
        if time.monotonic() - self._forgot_at < FORGET_EVERY_S:
            return
        self._forgot_at = time.monotonic()
        with self._lock:
            old = [
                job
                for job, book in self.by_id.items()
                if job not in self.live_by_id
                and book.final_stored
                and now_ms - book.ended_ms > FORGET_S * 1000
            ][:FORGET_AT_ONCE]
        if not old:
            return
        removed = tuple(
            DeleteRange(key)
            for job in old
            for key in (
                f"in/{self._pool}/j/{job}",
                f"in/{self._pool}/x/{job}",
                progress_key(self._pool, job),
            )
        )
        compares = (Compare(self._owner_key, self._token),)
        result = self._kv.commit(compares, removed, Priority.LATER)
        done = not isinstance(result, Failure) and result.unwrap().succeeded
        log(Event.JOBS_FORGOTTEN, pool=self._pool, jobs=len(old), done=done)
        if done:
            with self._lock:
                for job in old:
                    self.by_id.pop(job, None)


def _arrival(job: Job) -> float:
    """Return when a job was accepted, by this process's monotonic clock."""
    age_s = max(0.0, time.time() - job.accepted_ms / 1000)
    return time.monotonic() - min(age_s, LONGEST_AGE_S)
