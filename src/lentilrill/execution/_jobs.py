"""Jobs of a pool: received from callers, loaded from the store, and stored by the pool's owner."""

import threading
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure

from lentilrill.execution._claims import ClaimBook
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._pacing import pause_after_call
from lentilrill.execution._progress_records import (
    encode_progress,
    job_id_of,
    progress_of,
    restore_progress,
)
from lentilrill.execution._tracking import TrackedJob
from lentilrill.execution._writer import ProgressEntry, Snapshot
from lentilrill.ids import EndpointId, JobId, PoolId, Revision
from lentilrill.store import DECODE_ERRORS, Compare, DeleteRange, Item, KeyValue, Priority
from lentilrill.telemetry import Event, Metrics, log
from lentilrill.workloads import (
    Job,
    JobProgress,
    JobState,
    JobView,
    cancellation_key,
    job_key,
    progress_key,
)

__all__ = ["CancelSource", "PoolJobs"]

RETENTION_S = 130.0
"""How long an ended job is kept: callers may query its state for 120 s."""
REMOVAL_INTERVAL_S = 5.0
FULL_REMOVAL_INTERVAL_S = 0.25
"""Minimum interval between removals while more jobs are left."""
MAX_JOBS_PER_REMOVAL = 7
"""Jobs whose records are removed by one call, which takes 32 entries; each job has four."""
RESTORE_ERRORS = (*DECODE_ERRORS, ValueError, LookupError)
"""Exceptions that a malformed record of a job's progress may raise."""
MAX_AGE_S = 60.0
"""Upper limit of a job's age, so that a clock that jumped by hours does not make all jobs
overdue."""


class CancelSource(Enum):
    """How an owner heard that a job is to be cancelled."""

    MESSAGE = "message"
    """From the host that stored it."""
    WATCH = "watch"
    CLAIM = "claim"
    """From the claim on its id, which a host wrote that didn't find the job."""
    LOAD = "load"
    """From the records at the take-over."""


class PoolJobs:
    """Jobs tracked by a pool's owner.

    All methods but :meth:`load` and :meth:`reload_revisions` are called under ``lock``, or acquire
    it.

    :param links: the owner's links to endpoints, by id.
    :param on_fenced: called when the store has a newer owner.
    :param on_job_changed: called after a job was added or cancelled.
    :param on_recorded: called after records were stored that jobs need before their first start.
    :param records_since: returns the revision from which on every owner stores a record before the
        first start of a job; ``None`` if unknown.
    :param metrics: receives the jobs' wait times.
    """

    def __init__(
        self,
        kv: KeyValue,
        pool: PoolId,
        owner_key: str,
        token: Revision,
        lock: threading.RLock,
        links: dict[EndpointId, EndpointLink],
        on_fenced: Callable[[str], None],
        on_job_changed: Callable[[TrackedJob], None],
        on_recorded: Callable[[], None],
        records_since: Callable[[], Revision | None],
        metrics: Metrics,
    ) -> None:
        self.by_id: dict[JobId, TrackedJob] = {}
        self.live_by_id: dict[JobId, TrackedJob] = {}
        self.loaded = False
        self._kv = kv
        self._pool = pool
        self._owner_key = owner_key
        self._token = token
        self._lock = lock
        self._links = links
        self._on_fenced = on_fenced
        self._on_job_changed = on_job_changed
        self._on_recorded = on_recorded
        self._records_since = records_since
        self._metrics = metrics
        self._pending_cancellations: dict[JobId, CancelSource] = {}
        self._claims = ClaimBook(kv, pool, Compare(owner_key, token))
        self._removal_due_at = time.monotonic() + REMOVAL_INTERVAL_S

    def add(self, value: bytes, revision: Revision) -> TrackedJob | None:
        """Add an accepted job and return its state.

        :return: ``None`` if it is tracked already or can't be decoded, which must not keep others
            waiting.
        """
        try:
            job = msgspec.msgpack.decode(value, type=Job)
        except DECODE_ERRORS as error:
            log(Event.RECORD_ODD, key=f"a job in in/{self._pool}/", reason=str(error))
            return None
        with self._lock:
            if job.id in self.by_id:
                return None
            return self._track(job, revision)

    def cancel(self, job: JobId, source: CancelSource) -> None:
        """Cancel a job, including one whose acceptance arrives later."""
        with self._lock:
            tracked_job = self.by_id.get(job)
            if tracked_job is None:
                self._pending_cancellations.setdefault(job, source)
            else:
                self._cancel(tracked_job, source)

    def find(self, job: JobId) -> JobView | None:
        """Return what callers are shown of a job; ``None`` if unknown or not loaded yet."""
        with self._lock:
            tracked_job = self.by_id.get(job)
            if tracked_job is None or not self.loaded:
                return None
            if not tracked_job.state.is_final or tracked_job.final_stored or tracked_job.cancelled:
                return JobView(tracked_job.state, tracked_job.job.workspace, tracked_job.cause)
            # A final state is shown only once stored, since a later owner would run the job again.
            return JobView(JobState.RUNNING, tracked_job.job.workspace)

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Process a full read of accepted jobs and cancellations."""
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Process newly accepted jobs and cancellations."""
        for item in items:
            if item.value is None:
                continue
            if "/x/" in item.key:
                self.cancel(job_id_of(item.key), CancelSource.WATCH)
            elif (tracked_job := self.add(item.value, item.revision)) is not None:
                self._on_job_changed(tracked_job)

    def load(self) -> bool:
        """Read the previous owners' records; return whether all could be read."""
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
                    self.add(item.value, item.revision)
            for item in progress.unwrap().items:
                self._restore(item, now_ms)
            self._find_never_started()
            for item in items:
                if item.value is not None and "/x/" in item.key:
                    self.cancel(job_id_of(item.key), CancelSource.LOAD)
            self.loaded = True
        return True

    def _find_never_started(self) -> None:
        since = self._records_since()
        for tracked_job in self.by_id.values():
            tracked_job.never_started = (
                since is not None and not tracked_job.is_recorded and tracked_job.revision > since
            )

    def _restore(self, item: Item, now_ms: int) -> None:
        tracked_job = self.by_id.get(job_id_of(item.key))
        if tracked_job is None or item.value is None:
            return
        tracked_job.stored_revision = item.revision
        was_cancelled = tracked_job.cancelled
        try:
            progress = msgspec.json.decode(item.value, type=JobProgress)
            restore_progress(tracked_job, progress, now_ms)
        except RESTORE_ERRORS as error:
            log(Event.RECORD_ODD, key=item.key, reason=repr(error))
            self._set_aside(tracked_job)
            return
        if tracked_job.final_stored:
            self.live_by_id.pop(tracked_job.job.id, None)
        elif was_cancelled:
            # The record is older than the cancel that came while it was read.
            tracked_job.end(JobState.CANCELLED, now_ms)

    def _set_aside(self, tracked_job: TrackedJob) -> None:
        """Start no task of a job of which it is unknown what has ended; what runs goes on."""
        tracked_job.is_recorded = True
        if not tracked_job.cancelled:
            self.live_by_id.pop(tracked_job.job.id, None)

    def _track(self, job: Job, revision: Revision) -> TrackedJob:
        tracked_job = TrackedJob(job, revision, _arrival_time(job))
        tracked_job.open_occurrences(int(time.time() * 1000))
        self.by_id[job.id] = tracked_job
        self.live_by_id[job.id] = tracked_job
        self._claims.on_job(job)
        source = self._pending_cancellations.pop(job.id, None)
        if source is not None:
            self._cancel(tracked_job, source)
        return tracked_job

    def _cancel(self, tracked_job: TrackedJob, source: CancelSource) -> None:
        if tracked_job.state.is_final:
            return
        tracked_job.cancelled = True
        # Also one that was set aside: its record is replaced now.
        self.live_by_id[tracked_job.job.id] = tracked_job
        tracked_job.end(JobState.CANCELLED, int(time.time() * 1000))
        log(Event.JOB_CANCELLED, job=tracked_job.job.id, pool=self._pool, heard=source.value)
        self._on_job_changed(tracked_job)

    def snapshot(self, limit: int) -> Snapshot:
        """Return the progress to be written: final jobs, then those that start next."""
        with self._lock:
            dirty = [tracked_job for tracked_job in self.live_by_id.values() if tracked_job.dirty]
            dirty.sort(key=lambda job: (not job.state.is_final, not _starts_next(job)))
            entries = [_entry_of(tracked_job) for tracked_job in dirty[:limit]]
            cursors = {
                link.entry.id: (link.seen_cursor, link.started_ms) for link in self._links.values()
            }
            return Snapshot(entries, cursors, len(dirty) <= limit)

    def on_stored(self, snapshot: Snapshot, revision: Revision) -> None:
        """Process a stored snapshot: show final states, allow starts and acknowledge ends."""
        with self._lock:
            recorded = [self._record(entry.job) for entry in snapshot.entries]
            for entry in snapshot.entries:
                tracked_job = self.by_id.get(entry.job)
                if tracked_job is None:
                    continue
                tracked_job.stored_revision = revision
                tracked_job.stored_version = entry.version
                recorded.append(tracked_job.start_zones.is_awaited)
                tracked_job.start_zones.on_stored(entry.zones)
                tracked_job.dirty = tracked_job.version != entry.version
                if entry.is_final and not tracked_job.final_stored:
                    tracked_job.final_stored = True
                    self._report_final(tracked_job)
                self.retire(tracked_job)
            if any(recorded):
                self._on_recorded()
            if not snapshot.is_whole:
                return
            for endpoint, (cursor, started_ms) in snapshot.cursors.items():
                link = self._links.get(endpoint)
                if link is not None and link.started_ms == started_ms:
                    link.stored_cursor = max(link.stored_cursor, cursor)
                    link.wake()

    def _record(self, job: JobId) -> bool:
        """Note that a job's record is stored; return whether its first start waits for it."""
        tracked_job = self.by_id.get(job)
        if tracked_job is None or tracked_job.is_recorded:
            return False
        tracked_job.is_recorded = True
        tracked_job.needs_record = False
        return not tracked_job.state.is_final

    def _report_final(self, tracked_job: TrackedJob) -> None:
        """Log a job's final state and wait times, and record them as metrics."""
        now = time.monotonic()
        queue = tracked_job.job.queue
        waits = tracked_job.wait_times.seconds_by_cause(now)
        log(
            Event.JOB_ENDED,
            job=tracked_job.job.id,
            queue=queue,
            state=tracked_job.state.value,
            cause=tracked_job.cause.value or None,
            took_s=round(now - tracked_job.arrived_at, 2),
            **_share_fields(tracked_job),
            **{f"{cause.value}_s": round(seconds, 2) for cause, seconds in waits.items()},
        )
        for cause, seconds in waits.items():
            self._metrics.timing(f"job.{cause.value}.{queue}", seconds * 1000)

    def retire(self, tracked_job: TrackedJob) -> None:
        """Exclude a final job from planning rounds once it has no runs."""
        if (
            tracked_job.final_stored
            and not tracked_job.dirty
            and not any(t.runs for t in tracked_job.tasks())
        ):
            self.live_by_id.pop(tracked_job.job.id, None)
            tracked_job.steps_by_occurrence = {}

    def reload_revisions(self) -> None:
        """Re-read the stored revisions after a commit that conflicted or has no known result."""
        read = self._kv.read(progress_key(self._pool, ""))
        owner_record = self._kv.read(self._owner_key)
        if isinstance(read, Failure) or isinstance(owner_record, Failure):
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, reason="the records can't be read")
            return
        tokens = [i.revision for i in owner_record.unwrap().items if i.key == self._owner_key]
        if tokens != [self._token]:
            self._on_fenced("the store records a newer owner")
            return
        revisions = {job_id_of(item.key): item.revision for item in read.unwrap().items}
        with self._lock:
            for job, tracked_job in self.by_id.items():
                revision = revisions.get(job, Revision(0))
                if tracked_job.stored_revision and not revision:
                    # Against the revision of a record that is gone, every commit would conflict.
                    log(Event.RECORD_ODD, key=progress_key(self._pool, job), reason="it is gone")
                tracked_job.stored_revision = revision

    def store_claims(self) -> None:
        """Store the claims of some jobs that were accepted without one."""
        with self._lock:
            claims = self._claims.next_batch()
        if not claims:
            return
        existing = self._claims.store(claims)
        with self._lock:
            for job in self._claims.on_result(claims, existing):
                self.cancel(job, CancelSource.CLAIM)

    def remove_expired(self, now_ms: int) -> None:
        """Remove the records of some ended jobs whose retention has expired."""
        now = time.monotonic()
        if now < self._removal_due_at:
            return
        with self._lock:
            old = [
                job
                for job, tracked_job in self.by_id.items()
                if job not in self.live_by_id
                and tracked_job.final_stored
                and self._claims.is_settled(job)
                and now_ms - tracked_job.ended_ms > RETENTION_S * 1000
            ]
            removed = old[:MAX_JOBS_PER_REMOVAL]
            keys = [key for job in removed for key in self._keys_of(job)]
        self._removal_due_at = now + REMOVAL_INTERVAL_S
        if not removed:
            return
        compares = (Compare(self._owner_key, self._token),)
        deletions = tuple(DeleteRange(key) for key in keys)
        result = self._kv.commit(compares, deletions, Priority.LATER)
        done = not isinstance(result, Failure) and result.unwrap().succeeded
        log(Event.JOBS_FORGOTTEN, pool=self._pool, jobs=len(removed), done=done)
        if not done:
            return
        if len(old) > len(removed):
            ended = time.monotonic()
            pause_s = max(FULL_REMOVAL_INTERVAL_S, pause_after_call(ended - now))
            self._removal_due_at = ended + pause_s
        with self._lock:
            for job in removed:
                self.by_id.pop(job, None)
                self._claims.forget(job)

    def _keys_of(self, job: JobId) -> list[str]:
        """Return the keys of all records of a job."""
        keys = [
            job_key(self._pool, job),
            cancellation_key(self._pool, job),
            progress_key(self._pool, job),
        ]
        claim = self._claims.removable_key(job)
        return keys if claim is None else [*keys, claim]


def _starts_next(tracked_job: TrackedJob) -> bool:
    """Whether a start of the job waits for its record."""
    return tracked_job.needs_record or tracked_job.start_zones.is_awaited


def _entry_of(tracked_job: TrackedJob) -> ProgressEntry:
    """Return the next version of a job's record, which may be in the store from now on."""
    progress = progress_of(tracked_job)
    tracked_job.start_zones.on_commit(progress.zones)
    return ProgressEntry(
        tracked_job.job.id,
        encode_progress(progress),
        tracked_job.stored_revision,
        tracked_job.version,
        tracked_job.state.is_final,
        progress.zones,
    )


def _arrival_time(job: Job) -> float:
    """Return the monotonic time at which a job was accepted."""
    age_s = max(0.0, time.time() - job.accepted_ms / 1000)
    return time.monotonic() - min(age_s, MAX_AGE_S)


def _share_fields(tracked_job: TrackedJob) -> dict[str, object]:
    """Return what decided on a job's place among workspaces; nothing for a job without one."""
    job = tracked_job.job
    if not job.workspace:
        return {}
    fields: dict[str, object] = {"workspace": job.workspace, "beyond_rate": job.beyond_rate}
    if tracked_job.weighted_share_at_start is not None:
        fields["weighted_share_at_start"] = round(tracked_job.weighted_share_at_start, 5)
    return fields
