"""Fakes of interfaces, with failures that tests can set."""

import itertools
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import LeaseId, Revision, ZoneId
from lentilrill.membership import Liveness, Member, Role, ZoneStatus
from lentilrill.store import (
    Compare,
    DeleteRange,
    HostInfo,
    HostListing,
    Item,
    Mirror,
    Priority,
    Put,
    RangeAnswer,
    TxnAnswer,
    WatchBatch,
)
from lentilrill.telemetry import NoMetrics

__all__ = [
    "SLOW_CALL_S",
    "CountingMetrics",
    "FakeHostList",
    "FakeKeyValue",
    "FakeMembershipList",
    "FakeNode",
    "LateWrites",
    "lose_answer",
    "lose_request",
    "refuse",
    "slow_down",
]

WATCH_TIMEOUT_S = 0.2
SLOW_CALL_S = 0.1

CallWrapper = Callable[[Callable[[], Result]], Result]
"""Wrapper of one call that decides whether it takes effect and which result its caller gets."""


def lose_answer(call: Callable[[], Result]) -> Result:
    """Make the call, but lose its answer."""
    call()
    return _lost()


def lose_request(call: Callable[[], Result]) -> Result:
    """Lose the call; its caller can't distinguish that from a lost answer."""
    del call
    return _lost()


def slow_down(call: Callable[[], Result]) -> Result:
    """Make the call late."""
    time.sleep(SLOW_CALL_S)
    return call()


def refuse(call: Callable[[], Result]) -> Result:
    """Fail the call before it is sent."""
    del call
    return _unavailable("call")


class LateWrites:
    """Writes that got no answer, and that the store carries out later."""

    def __init__(self) -> None:
        self.held: list[Callable[[], Result]] = []

    def hold(self, call: Callable[[], Result]) -> Result:
        """Lose a write for now; a :data:`CallWrapper`."""
        self.held.append(call)
        return _lost()

    def carry_out(self) -> None:
        """Carry out all of them, as far as their conditions hold."""
        for write in self.held:
            write()


class FakeKeyValue:
    """In-memory key-value service, with compare-and-swap and one revision counter.

    :ivar down: whether every call fails as unavailable.
    :ivar lose_answers: number of next commits that take effect but lose their answer.
    :ivar lose_requests: number of next commits that are lost before they take effect; the caller
        can't distinguish the two.
    :ivar before_commit: called once before the next commit, to simulate a racing writer.
    :ivar observer: called after each change with the items as they were before it.
    :ivar priorities: priorities of the reads of single keys.
    :ivar commits: wrappers of the next commits, in order; ``reads`` are those of the next reads.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.before_commit: Callable[[], None] | None = None
        self.observer: Callable[[dict[str, Item]], None] | None = None
        self.commits: deque[CallWrapper] = deque()
        self.reads: deque[CallWrapper] = deque()
        self.calls: Counter[str] = Counter()
        self.priorities: list[Priority] = []
        self.revision = Revision(0)
        self.items_by_key: dict[str, Item] = {}
        self._history: list[Item] = []
        self._changed = threading.Condition(threading.RLock())
        self._leases: dict[LeaseId, set[str]] = {}
        self._lease_ids = itertools.count(1)

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        del priority
        self.calls["read"] += 1
        if self.down:
            return _unavailable("read")
        wrapper = self.reads.popleft() if self.reads else _call_through
        return wrapper(lambda: self._read(prefix))

    def _read(self, prefix: str) -> Result[RangeAnswer, Fault]:
        with self._changed:
            items = [i for k, i in sorted(self.items_by_key.items()) if k.startswith(prefix)]
            return Success(RangeAnswer(tuple(items), self.revision))

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        self.priorities.append(priority)
        return self.read(key, priority).map(
            lambda answer: next((item for item in answer.items if item.key == key), None)
        )

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        return self.read(prefix, priority).map(
            lambda answer: max((item.revision for item in answer.items), default=Revision(0))
        )

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        del priority
        self.calls["commit"] += 1
        if self.down:
            return _unavailable("commit")
        wrapper = self.commits.popleft() if self.commits else _call_through
        return wrapper(lambda: self._commit(compares, writes))

    def _commit(
        self, compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
    ) -> Result[TxnAnswer, Fault]:
        racer, self.before_commit = self.before_commit, None
        if racer is not None:
            racer()
        if self.lose_requests:
            self.lose_requests -= 1
            return _lost()
        if any(isinstance(write, Put) and self._has_ended(write.lease) for write in writes):
            return Failure(Fault("platform.commit", "fake", FaultKind.INVALID, "no such lease"))
        with self._changed:
            held = all(self._revision_of(c.key) == c.revision for c in compares)
            if held:
                self._apply(writes)
            found = () if held else self._items_of(compares)
            answer = TxnAnswer(held, self.revision, found)
        if self.lose_answers:
            self.lose_answers -= 1
            return _lost()
        return Success(answer)

    def _has_ended(self, lease: LeaseId | None) -> bool:
        return lease is not None and lease not in self._leases

    def put(self, key: str, value: bytes) -> Revision:
        """Write unconditionally, as an operator's tool or another process would."""
        with self._changed:
            self._apply((Put(key, value),))
            return self.revision

    def watch(self, prefix: str, after: Revision) -> "FakeWatch":
        self.calls["watch"] += 1
        return FakeWatch(self, prefix, after)

    def changes(self, prefix: str, after: Revision) -> Result[WatchBatch, Fault]:
        """Wait for changes below ``prefix``; return a fault if there are none for a while."""
        with self._changed:
            if not self._changes_after(prefix, after):
                self._changed.wait(WATCH_TIMEOUT_S)
            items, revision = self._changes_after(prefix, after), self.revision
        if self.down or not items:
            return _unavailable("watch")
        return Success(WatchBatch(tuple(items), revision))

    def lease(self, ttl_s: float) -> Result[LeaseId, Fault]:
        del ttl_s
        self.calls["lease"] += 1
        if self.down:
            return _unavailable("lease")
        lease = LeaseId(next(self._lease_ids))
        self._leases[lease] = set()
        return Success(lease)

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        self.calls["keep_alive"] += 1
        if self.down:
            return _unavailable("keep_alive")
        if lease not in self._leases:
            return Failure(Fault("platform.keep_alive", "fake", FaultKind.CONFLICT, "lapsed"))
        return Success(10.0)

    def revoke(self, lease: LeaseId) -> Result[None, Fault]:
        self.calls["revoke"] += 1
        if self.down:
            return _unavailable("revoke")
        with self._changed:
            self._apply(tuple(DeleteRange(key) for key in self._leases.pop(lease, set())))
        return Success(None)

    def sync(self, mirror: Mirror) -> None:
        """Update a mirror with the state keys, as the relayed watch would."""
        with self._changed:
            items = [i for k, i in self.items_by_key.items() if k.startswith("state/")]
            mirror.replace(items, self.revision)

    def _changes_after(self, prefix: str, after: Revision) -> list[Item]:
        return [i for i in self._history if i.revision > after and i.key.startswith(prefix)]

    def _items_of(self, compares: tuple[Compare, ...]) -> tuple[Item, ...]:
        keys = [compare.key for compare in compares]
        return tuple(self.items_by_key[key] for key in keys if key in self.items_by_key)

    def _revision_of(self, key: str) -> Revision:
        item = self.items_by_key.get(key)
        return item.revision if item is not None else Revision(0)

    def _apply(self, writes: tuple[Put | DeleteRange, ...]) -> None:
        before = dict(self.items_by_key) if self.observer else {}
        self.revision = Revision(self.revision + 1)
        for write in writes:
            if isinstance(write, Put):
                item = Item(write.key, write.value, self.revision, write.lease)
                self.items_by_key[write.key] = item
                self._history.append(item)
                for keys in self._leases.values():
                    keys.discard(write.key)
                if write.lease is not None:
                    self._leases[write.lease].add(write.key)
                continue
            end = write.end or write.key + "\0"
            for key in [k for k in self.items_by_key if write.key <= k < end]:
                del self.items_by_key[key]
                self._history.append(Item(key, None, self.revision))
        self._changed.notify_all()
        if self.observer:
            self.observer(before)


class FakeWatch:
    """A watch of the in-memory key-value service; any thread may close it."""

    def __init__(self, kv: FakeKeyValue, prefix: str, after: Revision) -> None:
        self._kv = kv
        self._prefix = prefix
        self._after = after
        self._ended = False

    def __iter__(self) -> Iterator[Result[WatchBatch, Fault]]:
        while not self._ended:
            result = self._kv.changes(self._prefix, self._after)
            self._ended = isinstance(result, Failure)
            if not self._ended:
                self._after = result.unwrap().revision
            yield result

    def close(self) -> None:
        self._ended = True


class FakeHostList:
    """Fake of the platform's host list.

    :ivar as_of: time at which the list was made; ``None`` for the current time of the clock.
    :ivar last: the last returned list.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.infos_by_id: dict[str, HostInfo] = {}
        self.down = False
        self.as_of: float | None = None
        self.calls = 0
        self.last = HostListing((), 0.0)
        self._clock = clock

    def add(self, *infos: HostInfo) -> None:
        """Add hosts to the list, or replace their entries."""
        self.infos_by_id.update({info.id: info for info in infos})

    def hosts(self) -> Result[HostListing, Fault]:
        self.calls += 1
        if self.down:
            return _unavailable("hosts")
        as_of = self._clock() if self.as_of is None else self.as_of
        self.last = HostListing(tuple(self.infos_by_id.values()), as_of)
        return Success(self.last)


class FakeMembershipList:
    """List of members that the test sets."""

    def __init__(self, me: Member, members: list[Member]) -> None:
        self.me = me
        self.members = members
        self.reported_statuses: tuple[ZoneStatus, ...] = ()

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        return tuple(
            sorted(
                (m for m in self.members if m.role is role and zone in (None, m.zone)),
                key=lambda m: m.process,
            )
        )

    def liveness(self, member: Member) -> Liveness:
        return Liveness.ALIVE if member in self.members else Liveness.SUSPECT

    def zone_statuses(self) -> tuple[ZoneStatus, ...]:
        return self.reported_statuses

    def subscribe(self, listener: Callable[[], None]) -> None:
        del listener


class CountingMetrics(NoMetrics):
    """Metrics that record counters."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def incr(self, stat: str, count: int = 1) -> None:
        self.counts[stat] += count


class FakeNode:
    """Fake of the inner protocol's node that calls handlers directly."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Any, Any], None]] = {}

    def on(self, kind: type, handler: Callable[[Any, Any], None]) -> None:
        self.handlers[kind] = handler

    def deliver(self, batch: Any) -> None:
        """Call the handler of each message of ``batch``."""
        for message in batch.messages:
            self.handlers[type(message)](batch, message)


def _call_through(call: Callable[[], Result]) -> Result:
    return call()


def _unavailable(call: str) -> Failure[Fault]:
    return Failure(Fault(f"platform.{call}", "fake", FaultKind.UNAVAILABLE, "down", 1.0))


def _lost() -> Failure[Fault]:
    return Failure(Fault("platform.commit", "fake", FaultKind.AMBIGUOUS, "answer lost"))
