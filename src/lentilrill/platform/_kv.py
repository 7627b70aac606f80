"""Client of the platform's key-value store."""

import threading
import time
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.settings import StoreSettings
from lentilrill.store import (
    DECODE_ERRORS,
    CallBudget,
    CallGuard,
    Compare,
    DeleteRange,
    Effect,
    Item,
    Priority,
    Put,
    RangeAnswer,
    Transport,
    TxnAnswer,
    WatchBatch,
)
from lentilrill.telemetry import Metrics

__all__ = ["PlatformKeyValue"]

OK, NOT_FOUND, GONE, PRECONDITION_FAILED, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE = (
    200,
    404,
    410,
    412,
    429,
    503,
)
NO_EFFECT_STATUSES = frozenset({400, 403, NOT_FOUND, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})
"""Statuses that mean that a commit had no effect."""
CALL_TIMEOUT_S = 0.7
"""Timeout of one call: almost three times the latency of a slow store, 0.25 s."""
FIRST_COMMIT_TIMEOUT_S = 0.35
"""Timeout of a commit that can safely be sent again: slightly above a slow store's latency."""
PAGE_TIMEOUT_S = 5.0
"""Timeout of a page that keeps arriving: a page has up to 1 MB, which takes the slowest links of
entry hosts one or two seconds, or longer if they are shared."""
LEASE_TIMEOUTS_S = (0.15, 0.45)
"""Timeouts of the two attempts of a lease call. The second allows for a busy link, and their sum
is short enough for another renewal within a lease of 1.6 s."""
LATENCY_DECAY = 0.9
"""Factor by which the expected latency decays with each faster answer."""
DEADLINE_S = 1.5
"""Timeout of a call including its retries; callers of jobs wait 3 s for an answer."""
WATCH_WAIT_MS = 1500
"""Time that a watch waits for a change: half of the 3 s within which a silent connection must be
replaced. Shorter waits cost more calls, and calls are billed."""
WATCH_SLACK_S = 0.7
"""Time that a watch may take beyond its wait before its connection counts as silent."""

A = TypeVar("A", bound=msgspec.Struct)


class _Item(msgspec.Struct):
    key: str
    value: bytes = b""
    revision: int = 0
    # A deletion is sent as an item with ``removed`` and without a value.
    removed: bool = False

    def to_item(self) -> Item:
        return Item(self.key, None if self.removed else self.value, Revision(self.revision))


class _Range(msgspec.Struct):
    items: list[_Item]
    at_rev: int
    truncated: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at_rev: int


class _Committed(msgspec.Struct):
    revision: int


class _Found(msgspec.Struct):
    items: list[_Item | None]


class _Lease(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class _Precondition(msgspec.Struct):
    key: str
    # Modification revision; 0 means that the key must be absent.
    revision: int


class _Write(msgspec.Struct, omit_defaults=True):
    key: str
    value: bytes
    lease: int = 0


class _Txn(msgspec.Struct):
    precondition: list[_Precondition]
    writes: list[_Write]
    remove: list[str]


class PlatformKeyValue:
    """A :class:`~lentilrill.store.KeyValue` on the platform's store.

    :param settings: address of the store and call budget of this process.
    """

    def __init__(self, settings: StoreSettings, metrics: Metrics) -> None:
        self._address = settings.address
        self._transport = Transport((settings.address,))
        self._lease_transport = Transport((settings.address,))
        budget = CallBudget(settings.calls_per_s)
        self._guard = CallGuard(settings.address, DEADLINE_S, budget, metrics)
        self._metrics = metrics
        self._last_answer = time.monotonic()
        self._expected_latency_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds since the store last answered a call or a watch successfully."""
        return time.monotonic() - self._last_answer

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items whose keys start with ``prefix``, page by page."""
        items: list[Item] = []
        after = ""
        revision = 0
        while True:
            path = f"/kv-range?prefix={quote(prefix)}" + (f"&after={quote(after)}" if after else "")
            page = self._get("store.read", path, _Range, priority, PAGE_TIMEOUT_S)
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            # Pages are not a snapshot; a watch from the first page's revision misses no change.
            revision = revision or found.at_rev
            items.extend(item.to_item() for item in found.items)
            if not found.truncated or not found.items:
                return Success(RangeAnswer(tuple(items), Revision(revision)))
            after = found.items[-1].key

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        """Read one item; ``None`` if it is absent."""
        path = f"/kv-key?key={quote(key)}"
        absent = _Item(key, removed=True)
        found = self._get("store.get", path, _Item, priority, absent=absent)
        return found.map(lambda item: None if item.removed else item.to_item())

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest modification revision of a present key below ``prefix``, or 0."""
        return self.read(prefix, priority).map(
            lambda answer: max((item.revision for item in answer.items), default=Revision(0))
        )

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold; ``AMBIGUOUS`` if the answer was lost."""
        body = _encode_txn(compares, writes)
        if not _fails_if_repeated(compares, writes):
            return self._commit(body, priority, CALL_TIMEOUT_S)[0]
        # The timeout follows the latency, so that a slow store does not get each commit twice.
        first_timeout_s = min(
            CALL_TIMEOUT_S, max(FIRST_COMMIT_TIMEOUT_S, 2 * self._expected_latency_s)
        )
        first, was_answered = self._commit(body, priority, first_timeout_s)
        if was_answered or _fault_kind(first) is not FaultKind.AMBIGUOUS:
            return first
        again, _ = self._commit(body, priority, CALL_TIMEOUT_S)
        if isinstance(again, Failure):
            return first
        answer = again.unwrap()
        if answer.succeeded:
            return again
        revision = _stored_revision(compares, writes, answer.found)
        return Success(TxnAnswer(True, revision)) if revision else first

    def _commit(
        self, body: bytes, priority: Priority, timeout_s: float
    ) -> tuple[Result[TxnAnswer, Fault], bool]:
        """Send a commit once; return its result and whether the store answered."""
        was_answered = False

        def attempt(remaining_s: float) -> Result[TxnAnswer, Fault]:
            nonlocal was_answered
            started = time.monotonic()
            response = self._transport.request(
                "store.commit", Effect.ONCE, "POST", "/kv-txn", body, min(timeout_s, remaining_s)
            )
            was_answered = not isinstance(response, Failure)
            if isinstance(response, Failure):
                return response
            self._record_latency(started)
            status, data, peer = response.unwrap()
            if status == PRECONDITION_FAILED:
                self._last_answer = time.monotonic()
                return Success(TxnAnswer(False, Revision(0), _decode_found(data)))
            decoded = self._decode("store.commit", status, data, peer, _Committed)
            if isinstance(decoded, Failure) and (status == OK or status not in NO_EFFECT_STATUSES):
                # The commit may have taken effect despite an error status or a malformed answer.
                fault = decoded.failure()
                return Failure(Fault(fault.step, peer, FaultKind.AMBIGUOUS, fault.reason))
            return decoded.map(lambda done: TxnAnswer(True, Revision(done.revision)))

        result = self._guard.call("store.commit", Effect.ONCE, priority, attempt)
        return result, was_answered

    def watch(self, prefix: str, after: Revision) -> "PlatformWatch":
        """Yield changes below ``prefix`` later than ``after``, until a fault, which comes last."""
        return PlatformWatch(self, self._address, prefix, after)

    def lease(self, ttl_s: float) -> Result[int, Fault]:
        """Grant a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        return self._lease_call("store.lease", "POST", "/kv-lease", body).map(lambda r: r.lease)

    def keep_alive(self, lease: int) -> Result[float, Fault]:
        """Renew a lease and return its duration in seconds, which starts when the call arrives."""
        renewed = self._lease_call("store.keep_alive", "POST", f"/kv-keep/{lease}", b"{}")
        return renewed.map(lambda r: r.ttl_ms / 1000.0)

    def revoke(self, lease: int) -> Result[None, Fault]:
        """Revoke a lease and delete its keys; a lease that has already ended is not a fault."""
        path = f"/kv-lease-end/{lease}"
        ended = self._lease_transport.request(
            "store.revoke", Effect.REPEATABLE, "DELETE", path, b"", 0.5
        )
        if isinstance(ended, Failure):
            return ended
        status, _, peer = ended.unwrap()
        if status in (OK, 204, NOT_FOUND):
            return Success(None)
        return Failure(_fault_of("store.revoke", status, peer))

    def record_answer(self) -> None:
        """Record that the store has just answered."""
        self._last_answer = time.monotonic()

    def _record_latency(self, started: float) -> None:
        """Update the expected latency with the latency of an answer."""
        self._expected_latency_s = max(
            time.monotonic() - started, self._expected_latency_s * LATENCY_DECAY
        )

    def _lease_call(self, step: str, method: str, path: str, body: bytes) -> Result[_Lease, Fault]:
        # The circuit breaker is bypassed: every attempt that can still renew the lease in time
        # matters, and there is only one caller.
        is_slow = 2 * self._expected_latency_s > LEASE_TIMEOUTS_S[0]
        for timeout_s in LEASE_TIMEOUTS_S[1:] if is_slow else LEASE_TIMEOUTS_S:
            self._metrics.incr(f"{step}.calls")
            started = time.monotonic()
            result = self._lease_transport.request(
                step, Effect.REPEATABLE, method, path, body, timeout_s
            )
            if not isinstance(result, Failure):
                self._record_latency(started)
                break
        if isinstance(result, Failure):
            return result
        status, data, peer = result.unwrap()
        if status == NOT_FOUND:
            return Failure(Fault(step, peer, FaultKind.CONFLICT, "the lease has ended"))
        return self._decode(step, status, data, peer, _Lease)

    def _get(
        self,
        step: str,
        path: str,
        kind: type[A],
        priority: Priority,
        total_timeout_s: float = 0.0,
        absent: A | None = None,
    ) -> Result[A, Fault]:
        """Send a read.

        :param absent: result if the store has no such key; ``None`` if that is a fault.
        """

        def attempt(remaining_s: float) -> Result[A, Fault]:
            result = self._transport.request(
                step,
                Effect.REPEATABLE,
                "GET",
                path,
                b"",
                min(CALL_TIMEOUT_S, remaining_s),
                total_timeout_s,
            )
            if isinstance(result, Failure):
                return result
            status, data, peer = result.unwrap()
            if status == NOT_FOUND and absent is not None:
                return Success(absent)
            return self._decode(step, status, data, peer, kind)

        return self._guard.call(step, Effect.REPEATABLE, priority, attempt)

    def _decode(
        self, step: str, status: int, data: bytes, peer: str, kind: type[A]
    ) -> Result[A, Fault]:
        if status != OK:
            return Failure(_fault_of(step, status, peer))
        try:
            answer = msgspec.json.decode(data, type=kind)
        except DECODE_ERRORS as error:
            return Failure(Fault(step, peer, FaultKind.INVALID, f"malformed answer: {error}"))
        self._last_answer = time.monotonic()
        return Success(answer)


class PlatformWatch(Iterator[Result[WatchBatch, Fault]]):
    """Changes below a prefix by long polling; a batch without items means that nothing changed."""

    def __init__(self, kv: PlatformKeyValue, address: str, prefix: str, after: Revision) -> None:
        self._kv = kv
        self._transport = Transport((address,))
        self._prefix = prefix
        self._after = after
        self._closed = threading.Event()

    def __next__(self) -> Result[WatchBatch, Fault]:
        if self._closed.is_set():
            raise StopIteration
        step = "store.watch"
        path = f"/kv-watch?prefix={quote(self._prefix)}&after={self._after}&wait_ms={WATCH_WAIT_MS}"
        timeout_s = WATCH_WAIT_MS / 1000.0 + WATCH_SLACK_S
        total_timeout_s = timeout_s + PAGE_TIMEOUT_S
        result = self._transport.request(
            step, Effect.REPEATABLE, "GET", path, b"", timeout_s, total_timeout_s
        )
        if isinstance(result, Failure):
            self._closed.set()
            return result
        status, data, peer = result.unwrap()
        if status != OK:
            self._closed.set()
            return Failure(_fault_of(step, status, peer))
        try:
            answer = msgspec.json.decode(data, type=_Events)
            items = tuple(item.to_item() for item in answer.events)
        except (*DECODE_ERRORS, ValueError) as error:
            self._closed.set()
            return Failure(Fault(step, peer, FaultKind.CONFLICT, f"malformed answer: {error}"))
        self._kv.record_answer()
        self._after = Revision(max(self._after, answer.at_rev))
        return Success(WatchBatch(items, self._after))

    def close(self) -> None:
        """End the watch; a pending wait ends with its timeout at the latest."""
        self._closed.set()


def _encode_txn(compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]) -> bytes:
    txn = _Txn(
        [_Precondition(compare.key, compare.revision) for compare in compares],
        [_Write(write.key, write.value, write.lease) for write in writes if isinstance(write, Put)],
        [write.key for write in writes if isinstance(write, DeleteRange)],
    )
    return msgspec.json.encode(txn)


def _fault_kind(result: Result[A, Fault]) -> FaultKind | None:
    return result.failure().kind if isinstance(result, Failure) else None


def _fails_if_repeated(
    compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
) -> bool:
    """Return whether a repeated transaction fails, because it writes only keys that it compares."""
    compared = {compare.key for compare in compares}
    return bool(writes) and all(
        isinstance(write, Put) and write.key in compared for write in writes
    )


def _stored_revision(
    compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...], found: tuple[Item, ...]
) -> Revision:
    """Return the revision at which all ``writes`` were stored together; 0 if they were not."""
    item_by_key = {item.key: item for item in found}
    before_by_key = {compare.key: compare.revision for compare in compares}
    revisions = set()
    for write in writes:
        item = item_by_key.get(write.key)
        if item is None or isinstance(write, DeleteRange) or item.value != write.value:
            return Revision(0)
        if item.revision <= before_by_key[write.key]:
            return Revision(0)
        revisions.add(item.revision)
    return revisions.pop() if len(revisions) == 1 else Revision(0)


def _decode_found(data: bytes) -> tuple[Item, ...]:
    """Return the items in the answer to a failed precondition; none if it is malformed."""
    try:
        answer = msgspec.json.decode(data, type=_Found)
        present = [item for item in answer.items if item and item.revision and not item.removed]
        return tuple(item.to_item() for item in present)
    except (*DECODE_ERRORS, ValueError):
        return ()


def _fault_of(step: str, status: int, peer: str) -> Fault:
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return Fault(
            step, peer, FaultKind.UNAVAILABLE, f"status {status}: the request had no effect"
        )
    if status == GONE:
        return Fault(step, peer, FaultKind.CONFLICT, "the history is compacted")
    if status == NOT_FOUND:
        return Fault(step, peer, FaultKind.INVALID, "the item does not exist")
    return Fault(step, peer, FaultKind.INVALID, f"status {status}")
