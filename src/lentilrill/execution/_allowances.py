"""Allowances of a pool's owner: what the pool may start for each workspace, and their records."""

import queue
import threading
import time
from collections.abc import Callable, Iterable
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.execution._budgets import RoundBudgets, limited_to_free, usage_by_workspace
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import TrackedJob
from lentilrill.faults import FaultKind
from lentilrill.ids import JobId, PoolId, Revision, WorkspaceId
from lentilrill.scheduling import (
    Allowances,
    Budget,
    DominantShares,
    KnownAllowances,
    PoolAllowance,
    Usage,
    next_allowance,
)
from lentilrill.store import DECODE_ERRORS, Compare, Follower, Item, KeyValue, Put
from lentilrill.telemetry import Event, Metrics, log, run_and_log_errors
from lentilrill.workloads import Configuration, PoolUse, Resources, Workspaces, WorkspaceUse

__all__ = ["AllowanceBook"]

ALLOWANCE_PREFIX = "a/"
WATCH_PAUSE_S = 0.3
"""Pause between two watch calls: what another pool returns arrives after this time at most."""
SWEEP_INTERVAL_S = 0.3
"""Interval at which all workspaces are checked for allowances that are not used any more."""
RETRY_S = 0.1
WRITERS = 4
"""Threads for writes: with one, a slow store would hold up all workspaces of a pool in a row."""
MAX_SHOWN_WORKSPACES = 50
UNLIMITED = Resources()
NOTHING = Resources()


class _Write(msgspec.Struct):
    """One write of a workspace's record, against the revision that is replaced.

    :param configuration: key and revision of the configuration by which it was decided.
    :param needs_newest: whether that must still be the newest one: the write raises what the pool
        holds by a cap, or replaces an unreadable record by one that lists the pools.
    """

    workspace: WorkspaceId
    allowance: PoolAllowance
    record: Allowances
    revision: Revision
    configuration: Compare | None
    needs_newest: bool


class AllowanceBook:
    """The allowances of one pool, kept by its owner.

    All methods but :meth:`load` and :meth:`close` are called under the lock of the pool's owner, or
    acquire it. Writes are made by threads, one at a time for each workspace.

    :param owner: the owner's key and the revision that serves as its fencing token.
    :param configuration: returns the configuration in force.
    :param configuration_key: returns the key and revision of the configuration in force; ``None``
        if the revision is not known, so that nothing can be taken.
    :param on_changed: called when an allowance has changed.
    """

    def __init__(
        self,
        kv: KeyValue,
        pool: PoolId,
        owner: Compare,
        lock: threading.RLock,
        configuration: Callable[[], Configuration | None],
        configuration_key: Callable[[], Compare | None],
        on_changed: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._kv = kv
        self._pool = pool
        self._owner = owner
        self._lock = lock
        self._configuration = configuration
        self._configuration_key = configuration_key
        self._on_changed = on_changed
        self._metrics = metrics
        self._loaded = False
        self._known_by_workspace: dict[WorkspaceId, KnownAllowances] = {}
        self._held_at_take_over: dict[WorkspaceId, Resources] = {}
        self._used: dict[WorkspaceId, Resources] = {}
        self._workspaces: Workspaces | None = None
        self._cap_by_workspace: dict[WorkspaceId, Resources] = {}
        self._owned_pools: frozenset[PoolId] = frozenset()
        self._caps_key: Compare | None = None
        self._outdated: set[WorkspaceId] = set()
        self._writing: set[WorkspaceId] = set()
        self._written_at: dict[WorkspaceId, float] = {}
        self._lacking_since: dict[WorkspaceId, float] = {}
        self._swept_at = 0.0
        self._usage_by_workspace: dict[WorkspaceId, Usage] = {}
        self._used_at = time.monotonic()
        self._shares: DominantShares | None = None
        self._work: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._closed = threading.Event()
        self._follower = Follower(
            kv, ALLOWANCE_PREFIX, self, pause_s=WATCH_PAUSE_S, is_needed=self._is_needed
        )
        self._threads = [
            threading.Thread(target=self._run, name=f"allowances-{pool}-{n}", daemon=True)
            for n in range(WRITERS)
        ]

    def load(self) -> bool:
        """Read all records; return whether they could be read.

        What the pool holds counts as used until the runs of the previous owner are known.
        """
        if not self._is_needed():
            return True
        read = self._kv.read(ALLOWANCE_PREFIX)
        if isinstance(read, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=read.failure().reason)
            return False
        with self._lock:
            self.on_changed(read.unwrap().items)
            self._held_at_take_over = {
                workspace: self._known(workspace).stored.of(self._pool).held
                for workspace in self._known_by_workspace
            }
            self._loaded = True
        return True

    def start(self) -> None:
        """Start to follow and write the records."""
        self._follower.start()
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop after the current write."""
        self._closed.set()
        self._follower.close()
        for _ in self._threads:
            self._work.put(None)

    def _is_needed(self) -> bool:
        configuration = self._configuration()
        return configuration is None or configuration.workspaces is not None

    # Records

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Process a full read of the records."""
        with self._lock:
            self._loaded = True
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Process changed records."""
        with self._lock:
            for item in items:
                self._apply(item)
        self._on_changed()

    def _apply(self, item: Item) -> None:
        if item.value is None:
            return
        workspace = WorkspaceId(item.key.removeprefix(ALLOWANCE_PREFIX))
        known = self._known_by_workspace.get(workspace, KnownAllowances())
        if item.revision <= known.revision:
            return
        try:
            stored = msgspec.msgpack.decode(item.value, type=Allowances)
        except DECODE_ERRORS as error:
            log(
                Event.ALLOWANCE_UNREADABLE,
                pool=self._pool,
                workspace=workspace,
                reason=str(error),
            )
            self._known_by_workspace[workspace] = known.on_unreadable(item.revision)
            return
        self._known_by_workspace[workspace] = known.on_read(stored, item.revision)

    def _known(self, workspace: WorkspaceId) -> KnownAllowances:
        known = self._known_by_workspace.get(workspace, KnownAllowances())
        return known.assuming_most({self._pool, *self._owned_pools})

    # Decisions

    def begin_round(
        self,
        links: Iterable[EndpointLink],
        jobs_by_id: dict[JobId, TrackedJob],
        *,
        is_complete: bool,
    ) -> RoundBudgets:
        """Return the budgets of a round.

        :param is_complete: whether all runs of the previous owner are known.
        """
        if not self._is_needed():
            return RoundBudgets(None)
        used = usage_by_workspace(links, jobs_by_id)
        if is_complete:
            self._held_at_take_over = {}
        for workspace, held in self._held_at_take_over.items():
            used[workspace] = held.at_least(used.get(workspace, NOTHING))
        self._used = used
        self._update_caps()
        return RoundBudgets(self._budget_of)

    def _budget_of(self, workspace: WorkspaceId) -> Budget | None:
        """Return the budget of a workspace; ``None`` while what the others hold isn't known."""
        if not self._loaded or workspace in self._outdated:
            return None
        known = self._known(workspace)
        return Budget(
            known.certain(self._pool),
            self._pool,
            self._cap_by_workspace.get(workspace, UNLIMITED),
            self._used.get(workspace, NOTHING),
        )

    def _update_caps(self) -> None:
        """Take the caps from the configuration in force.

        Another pool may have taken more under a higher cap that was just lowered. The records are
        read again before anything is started under the lower one; later takes go by it, since
        they compare the configuration's revision.
        """
        # The key first: with a configuration that is newer than its key, a raise fails.
        self._caps_key = self._configuration_key()
        configuration = self._configuration()
        if configuration is None:
            return
        self._owned_pools = configuration.owned_pools
        workspaces = configuration.workspaces
        if workspaces is None or workspaces is self._workspaces:
            return
        caps = {workspace: entry.cap for workspace, entry in workspaces.by_id.items()}
        lowered = {
            workspace
            for workspace, cap in caps.items()
            if _is_lowered(self._cap_by_workspace.get(workspace, UNLIMITED), cap)
        }
        if lowered:
            self._outdated |= lowered
            self._queue_reread(frozenset(lowered))
        self._workspaces = workspaces
        self._cap_by_workspace = caps

    def end_round(self, budgets: RoundBudgets, free: Resources, now: float) -> None:
        """Queue the writes that this round calls for.

        :param free: free capacity of the pool before the round; more can't be lacking.
        """
        self._used_at = now
        self._shares = budgets.shares
        self._usage_by_workspace = {
            workspace: budget.usage
            for workspace, budget in budgets.by_workspace.items()
            if budget is not None
        }
        workspaces = set(budgets.by_workspace)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            workspaces |= self._holding()
        for workspace in workspaces:
            budget = budgets.by_workspace.get(workspace) or self._budget_of(workspace)
            if budget is not None:
                self._write_if_due(workspace, limited_to_free(budget.usage, free), now)

    def _holding(self) -> set[WorkspaceId]:
        """Return the workspaces of which the pool holds something or waits for it."""
        return {
            workspace
            for workspace in self._known_by_workspace
            if self._pool in self._known(workspace).stored.by_pool
        }

    def _write_if_due(self, workspace: WorkspaceId, usage: Usage, now: float) -> None:
        self._record_wait(workspace, usage, now)
        known = self._known(workspace)
        if workspace in self._writing:
            return
        if known.unresolved:
            self._writing.add(workspace)
            self._queue(partial(self._resolve, workspace), partial(self._end_resolve, workspace))
            return
        current = known.stored.of(self._pool)
        since_write_s = now - self._written_at.get(workspace, 0.0)
        cap = self._cap_by_workspace.get(workspace, UNLIMITED)
        wanted = next_allowance(known.stored, self._pool, cap, usage, since_write_s)
        if wanted == current:
            return
        self._send(workspace, wanted)

    def _send(self, workspace: WorkspaceId, allowance: PoolAllowance) -> None:
        known = self._known(workspace)
        current = known.stored.of(self._pool)
        self._writing.add(workspace)
        self._known_by_workspace[workspace] = known.on_sent(allowance)
        write = _Write(
            workspace,
            allowance,
            known.stored.replace(self._pool, allowance),
            Revision(known.revision),
            self._caps_key,
            known.is_unreadable or not allowance.held.fits(current.held),
        )
        self._queue(partial(self._commit, write), partial(self._finish, write))

    def _record_wait(self, workspace: WorkspaceId, usage: Usage, now: float) -> None:
        """Measure how long tasks wait for an allowance."""
        if usage.lacking != NOTHING:
            self._lacking_since.setdefault(workspace, now)
        elif (since := self._lacking_since.pop(workspace, None)) is not None:
            self._metrics.timing("allowance.wait", (now - since) * 1000)

    def status(self) -> PoolUse:
        """Return what the pool uses, the workspaces that use most first."""
        with self._lock:
            workspaces = self._used.keys() | self._usage_by_workspace.keys() | self._holding()
            uses = [self._use_of(workspace) for workspace in workspaces]
            age_s = round(time.monotonic() - self._used_at, 2)
        uses.sort(key=lambda use: (use.lacking == NOTHING, -use.used.cpu, use.id))
        others = NOTHING
        for use in uses[MAX_SHOWN_WORKSPACES:]:
            others = others.plus(use.used)
        return PoolUse(self._pool, tuple(uses[:MAX_SHOWN_WORKSPACES]), others, age_s)

    def _use_of(self, workspace: WorkspaceId) -> WorkspaceUse:
        stored = self._known(workspace).stored
        entry = self._workspaces.by_id.get(workspace) if self._workspaces is not None else None
        usage = self._usage_by_workspace.get(workspace, Usage(self._used.get(workspace, NOTHING)))
        return WorkspaceUse(
            workspace,
            self._cap_by_workspace.get(workspace, UNLIMITED),
            usage.used,
            stored.of(self._pool).held,
            usage.lacking,
            {pool: allowance.held for pool, allowance in stored.by_pool.items()},
            tuple(pool for pool, allowance in stored.by_pool.items() if allowance.is_waiting),
            entry.weight if entry is not None else 0.0,
            self._shares.dominant_share(workspace) if self._shares is not None else 0.0,
        )

    # Writes

    def _run(self) -> None:
        while not self._closed.is_set():
            work = self._work.get()
            if work is None:
                return
            run_and_log_errors(f"allowances of {self._pool}", work)

    def _queue(self, work: Callable[[], None], recover: Callable[[], None]) -> None:
        """Queue work for the threads.

        :param recover: called if it ends with an unexpected error, so that it is done again.
        """
        self._work.put(partial(self._do, work, recover))

    def _do(self, work: Callable[[], None], recover: Callable[[], None]) -> None:
        try:
            work()
        except Exception:
            self._closed.wait(RETRY_S)
            recover()
            raise

    def _commit(self, write: _Write) -> None:
        key = ALLOWANCE_PREFIX + write.workspace
        compares = [self._owner, Compare(key, write.revision)]
        if write.needs_newest:
            if write.configuration is None:
                self._closed.wait(RETRY_S)
                self._finish(write, is_unsent=True)
                return
            compares.append(write.configuration)
        self._written_at[write.workspace] = time.monotonic()
        self._metrics.incr("allowance.writes")
        result = self._kv.commit(tuple(compares), (Put(key, msgspec.msgpack.encode(write.record)),))
        if isinstance(result, Failure):
            is_ambiguous = result.failure().kind is FaultKind.AMBIGUOUS
            log(
                Event.ALLOWANCE_NOT_STORED,
                pool=self._pool,
                workspace=write.workspace,
                reason=result.failure().reason,
            )
            self._closed.wait(RETRY_S)
            self._finish(write, is_unsent=not is_ambiguous)
            return
        answer = result.unwrap()
        if answer.succeeded:
            with self._lock:
                known = self._known_by_workspace[write.workspace]
                self._known_by_workspace[write.workspace] = known.on_read(
                    write.record, answer.revision
                )
            self._finish(write)
            return
        self._metrics.incr("allowance.conflicts")
        newer = [item for item in answer.found if item.key == key]
        with self._lock:
            for item in newer:
                self._apply(item)
        if all(item.revision == write.revision for item in newer):
            # Another condition failed: this host lacks the newest configuration or is fenced.
            self._closed.wait(RETRY_S)
        self._finish(write, is_unsent=True)

    def _finish(self, write: _Write, *, is_unsent: bool = False) -> None:
        """End a write.

        :param is_unsent: whether it is certain not to take effect.
        """
        with self._lock:
            self._writing.discard(write.workspace)
            if is_unsent:
                known = self._known_by_workspace[write.workspace]
                self._known_by_workspace[write.workspace] = known.on_not_sent(write.allowance)
        self._on_changed()

    def _resolve(self, workspace: WorkspaceId) -> None:
        """Read a record after a write without an answer, and write it unchanged if need be.

        If the write has not taken effect, it may still do so, but not after a later write against
        the same revision. It isn't repeated itself: the cap may have been lowered since.
        """
        read = self._kv.get(ALLOWANCE_PREFIX + workspace)
        if isinstance(read, Failure):
            self._closed.wait(RETRY_S)
        with self._lock:
            self._writing.discard(workspace)
            if not isinstance(read, Failure):
                if (item := read.unwrap()) is not None:
                    self._apply(item)
                known = self._known(workspace)
                if known.unresolved:
                    self._send(workspace, known.stored.of(self._pool))
        self._on_changed()

    def _end_resolve(self, workspace: WorkspaceId) -> None:
        with self._lock:
            self._writing.discard(workspace)

    def _queue_reread(self, workspaces: frozenset[WorkspaceId]) -> None:
        self._queue(partial(self._reread, workspaces), partial(self._queue_reread, workspaces))

    def _reread(self, workspaces: frozenset[WorkspaceId]) -> None:
        """Read all records again, until they can be read."""
        while isinstance(read := self._kv.read(ALLOWANCE_PREFIX), Failure):
            if self._closed.wait(RETRY_S):
                return
        self.on_changed(read.unwrap().items)
        with self._lock:
            self._outdated -= workspaces
        self._on_changed()


def _is_lowered(before: Resources, cap: Resources) -> bool:
    """Whether a cap is lower than before in any amount; 0 is no limit."""
    pairs = zip(msgspec.structs.astuple(before), msgspec.structs.astuple(cap), strict=True)
    return any(new and (not old or new < old) for old, new in pairs)
