"""Fakes for tests of claims: a platform with injected faults, a message bus and a member list."""

import threading
from collections.abc import Callable, Iterator
from typing import Any

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision, ZoneId
from lentilrill.inner import Batch, Message
from lentilrill.membership import Liveness, Member, Role
from lentilrill.store import (
    Compare,
    DeleteRange,
    Item,
    Priority,
    Put,
    RangeAnswer,
    TxnAnswer,
    WatchBatch,
)

__all__ = ["Bus", "BusNode", "FakeMembershipList", "FakePlatform"]


class FakePlatform:
    """A key-value service in memory with injected faults.

    The answers of the next ``lose_answers`` commits are lost after the write took effect; the next
    ``postpone_commits`` commits take effect only at :meth:`apply_postponed`; with ``down`` every
    call fails; with ``stale_items`` reads return these items.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.commits = 0
        self.largest_value_bytes = 0
        self.lose_answers = 0
        self.postpone_commits = 0
        self.down = False
        self.stale_items: dict[str, Item] | None = None
        self.before_commit: Callable[[], None] = lambda: None
        self._postponed: list[tuple[tuple[Compare, ...], tuple[Put | DeleteRange, ...]]] = []

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read a prefix."""
        with self.lock:
            if self.down:
                return Failure(_fault(FaultKind.UNAVAILABLE))
            source = self.items if self.stale_items is None else self.stale_items
            found = tuple(i for k, i in sorted(source.items()) if k.startswith(prefix))
            return Success(RangeAnswer(found, Revision(self.revision)))

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply a transaction, or inject the fault that was set."""
        self.before_commit()
        with self.lock:
            self.commits += 1
            if self.down:
                return Failure(_fault(FaultKind.UNAVAILABLE))
            if self.postpone_commits:
                self.postpone_commits -= 1
                self._postponed.append((compares, writes))
                return Failure(_fault(FaultKind.AMBIGUOUS))
            answer = self._apply(compares, writes)
            if self.lose_answers:
                self.lose_answers -= 1
                return Failure(_fault(FaultKind.AMBIGUOUS))
            return Success(answer)

    def apply_postponed(self) -> None:
        """Apply the postponed commits now, if their comparisons hold."""
        with self.lock:
            for compares, writes in self._postponed:
                self._apply(compares, writes)
            self._postponed.clear()

    def keys_containing(self, part: str) -> list[str]:
        """Return the keys that contain ``part``."""
        with self.lock:
            return sorted(key for key in self.items if part in key)

    def watch(self, prefix: str, after: Revision) -> Iterator[Result[WatchBatch, Fault]]:
        """Not used by claims."""
        raise NotImplementedError

    def lease(self, ttl_s: float) -> Result[int, Fault]:
        """Not used by claims."""
        raise NotImplementedError

    def keep_alive(self, lease: int) -> Result[float, Fault]:
        """Not used by claims."""
        raise NotImplementedError

    def revoke(self, lease: int) -> Result[None, Fault]:
        """Not used by claims."""
        raise NotImplementedError

    def _apply(
        self, compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
    ) -> TxnAnswer:
        for compare in compares:
            current = self.items.get(compare.key)
            if (current.revision if current else 0) != compare.revision:
                return TxnAnswer(False, Revision(self.revision))
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                self.largest_value_bytes = max(self.largest_value_bytes, len(write.value))
                self.items[write.key] = Item(write.key, write.value, Revision(self.revision))
            else:
                end = write.end or write.key + "\0"
                for key in [k for k in self.items if write.key <= k < end]:
                    del self.items[key]
        return TxnAnswer(True, Revision(self.revision))


def _fault(kind: FaultKind) -> Fault:
    return Fault("platform.txn", "fake", kind, "told to fail")


class Bus:
    """Delivers messages between the nodes of a test synchronously; ``drop`` selects losses."""

    def __init__(self) -> None:
        self.nodes_by_address: dict[str, BusNode] = {}
        self.drop: Callable[[str, Message], bool] = lambda address, message: False


class BusNode:
    """One process's end of the bus."""

    def __init__(self, bus: Bus, member: Member) -> None:
        self.bus = bus
        self.member = member
        self.address = member.inner
        self._handlers_by_kind: dict[type, list[Callable[[Batch, Any], None]]] = {}
        bus.nodes_by_address[self.address] = self

    def on(self, kind: type, handler: Callable[[Batch, Any], None]) -> None:
        """Register a handler."""
        self._handlers_by_kind.setdefault(kind, []).append(handler)

    def send(self, address: str, message: Message) -> None:
        """Deliver the message synchronously."""
        target = self.bus.nodes_by_address.get(address)
        if target is None or self.bus.drop(address, message):
            return
        batch = Batch(self.member.process, self.member.incarnation, self.address, (message,))
        for handler in target._handlers_by_kind.get(type(message), ()):
            handler(batch, message)


class FakeMembershipList:
    """One process's membership list, set by the test."""

    def __init__(self, me: Member, *others: Member) -> None:
        self.me = me
        self.members = (me, *others)

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return the members set by the test."""
        return tuple(sorted(self.members, key=lambda member: member.process))

    def liveness(self, member: Member) -> Liveness:
        """Return alive for the members set by the test, else suspect."""
        return Liveness.ALIVE if member in self.members else Liveness.SUSPECT

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Ignore listeners."""
