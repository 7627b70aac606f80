"""Client of the key-value service over the HTTP/JSON gateway of etcd v3."""

import math
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import LeaseId, Revision
from lentilrill.settings import PlatformSettings
from lentilrill.store._contract import (
    Compare,
    DeleteRange,
    Item,
    Priority,
    Put,
    RangeAnswer,
    TxnAnswer,
)
from lentilrill.store._guard import CallBudget, CallGuard, Effect
from lentilrill.store._transport import DECODE_ERRORS, Transport
from lentilrill.store._watch import Watch
from lentilrill.store._wire import Header, StoredKey
from lentilrill.telemetry import Metrics

__all__ = ["MAX_VALUE_BYTES", "EtcdKeyValue"]

MAX_VALUE_BYTES = 1_000_000
WATCH_SILENCE_S = 900.0
"""Longer than the service's default of ten minutes between progress notices. TCP keep-alive finds a
dead connection much sooner; the reader finds an open but silent one by calling ``newest``."""

RANGE = "/v3/kv/range"
TXN = "/v3/kv/txn"
GRANT = "/v3/lease/grant"
KEEP_ALIVE = "/v3/lease/keepalive"
REVOKE = "/v3/lease/revoke"


class _Range(msgspec.Struct):
    header: Header
    kvs: tuple[StoredKey, ...] = ()


class _Txn(msgspec.Struct):
    header: Header
    succeeded: bool = False


class _Lease(msgspec.Struct):
    id: int = msgspec.field(name="ID", default=0)
    ttl_s: int = msgspec.field(name="TTL", default=0)


class _KeepAliveAnswer(msgspec.Struct):
    result: _Lease


class _RevokeAnswer(msgspec.Struct):
    header: Header


A = TypeVar("A")


class EtcdKeyValue:
    """A :class:`~lentilrill.store.KeyValue` on etcd v3.

    Keys are relative: the client adds the prefix of the system to keys that it sends and removes
    it from keys that it receives.

    :param budget: the process's call budget, if it is shared with other clients.
    :param silence_s: seconds of silence after which a watch ends with a fault. The service must
        send progress notices more often.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        budget: CallBudget | None = None,
        silence_s: float = WATCH_SILENCE_S,
    ) -> None:
        self._prefix = settings.prefix
        self._deadline_s = settings.deadline_s
        self._silence_s = silence_s
        self._transport = Transport(settings.key_value, clock)
        budget = budget or CallBudget(settings.calls_per_s, clock)
        peer = ",".join(settings.key_value)
        self._guard = CallGuard(peer, settings.deadline_s, budget, metrics, clock)

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items whose keys start with ``prefix``."""
        start, end = self._range(prefix)
        body = {"key": start, "range_end": end}
        answer = self._call("platform.read", Effect.REPEATABLE, priority, RANGE, body, _Range)
        return answer.map(self._range_answer)

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        """Read one item; ``None`` if it is absent."""
        return self.read(key, priority).map(
            lambda answer: next((item for item in answer.items if item.key == key), None)
        )

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest modification revision of a present key below ``prefix``, or 0."""
        start, end = self._range(prefix)
        body = {
            "key": start,
            "range_end": end,
            "limit": "1",
            "keys_only": True,
            "sort_order": "DESCEND",
            "sort_target": "MOD",
        }
        answer = self._call("platform.newest", Effect.REPEATABLE, priority, RANGE, body, _Range)
        return answer.map(
            lambda found: Revision(max((kv.mod_revision for kv in found.kvs), default=0))
        )

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold; ``AMBIGUOUS`` if the answer was lost."""
        step = "platform.commit"
        for write in writes:
            if isinstance(write, Put) and len(write.value) > MAX_VALUE_BYTES:
                reason = (
                    f"{write.key}: {len(write.value)} bytes exceed the limit of {MAX_VALUE_BYTES}"
                )
                return Failure(Fault(step, "", FaultKind.INVALID, reason))
        body = {
            "compare": [self._compare(compare) for compare in compares],
            "success": [self._write(write) for write in writes],
        }
        answer = self._call(step, Effect.ONCE, priority, TXN, body, _Txn)
        return answer.map(lambda txn: TxnAnswer(txn.succeeded, Revision(txn.header.revision)))

    def watch(self, prefix: str, after: Revision) -> Watch:
        """Watch changes below ``prefix`` after ``after``; see :meth:`KeyValue.watch`."""
        start, end = self._range(prefix)
        create = {
            "key": start,
            "range_end": end,
            "start_revision": str(after + 1),
            "progress_notify": True,
        }
        body = msgspec.json.encode({"create_request": create})
        return Watch(
            self._transport, self._guard, body, self._prefix, self._deadline_s, self._silence_s
        )

    def lease(self, ttl_s: float) -> Result[LeaseId, Fault]:
        """Grant a lease; ``ttl_s`` is rounded up because the service uses whole seconds."""
        body = {"TTL": str(max(1, math.ceil(ttl_s)))}
        # A repeated grant leaves a lease without keys, which expires by itself.
        answer = self._call(
            "platform.lease", Effect.REPEATABLE, Priority.FIRST, GRANT, body, _Lease
        )
        if isinstance(answer, Failure):
            return answer
        if not answer.unwrap().id:
            reason = "an answer without lease"
            return Failure(Fault("platform.lease", self._transport.peer, FaultKind.INVALID, reason))
        return Success(LeaseId(answer.unwrap().id))

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        """Renew a lease and return its remaining seconds; an expired one is a ``CONFLICT``."""
        step = "platform.keep_alive"
        body = {"ID": str(lease)}
        answer = self._call(
            step, Effect.REPEATABLE, Priority.FIRST, KEEP_ALIVE, body, _KeepAliveAnswer
        )
        if isinstance(answer, Failure):
            return answer
        ttl_s = answer.unwrap().result.ttl_s
        if ttl_s <= 0:
            reason = f"lease {lease} has expired"
            return Failure(Fault(step, self._transport.peer, FaultKind.CONFLICT, reason))
        return Success(float(ttl_s))

    def revoke(self, lease: LeaseId) -> Result[None, Fault]:
        """Revoke a lease and delete its keys; a lease that has already ended is not a fault."""
        body = {"ID": str(lease)}
        answer = self._call(
            "platform.revoke", Effect.REPEATABLE, Priority.FIRST, REVOKE, body, _RevokeAnswer
        )
        if isinstance(answer, Failure) and answer.failure().kind is not FaultKind.CONFLICT:
            return answer
        return Success(None)

    def _call(
        self,
        step: str,
        effect: Effect,
        priority: Priority,
        path: str,
        body: dict[str, Any],
        kind: type[A],
    ) -> Result[A, Fault]:
        data = msgspec.json.encode(body)

        def attempt(timeout_s: float) -> Result[A, Fault]:
            answer = self._transport.exchange(step, effect, "POST", path, data, timeout_s)
            return answer.bind(lambda found: self._decode(step, effect, found, kind))

        return self._guard.call(step, effect, priority, attempt)

    def _decode(self, step: str, effect: Effect, data: bytes, kind: type[A]) -> Result[A, Fault]:
        try:
            return Success(msgspec.json.decode(data, type=kind, strict=False))
        except DECODE_ERRORS as error:
            ambiguous = effect is Effect.ONCE
            lost_kind = FaultKind.AMBIGUOUS if ambiguous else FaultKind.UNAVAILABLE
            return Failure(
                Fault(step, self._transport.peer, lost_kind, f"malformed answer: {error}")
            )

    def _range(self, prefix: str) -> tuple[bytes, bytes]:
        start = self._full_key(prefix)
        if not start:
            return b"\0", b"\0"
        return start, start[:-1] + bytes([start[-1] + 1])

    def _full_key(self, key: str) -> bytes:
        return (self._prefix + key).encode()

    def _compare(self, compare: Compare) -> dict[str, Any]:
        return {
            "key": self._full_key(compare.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(compare.revision),
        }

    def _write(self, write: Put | DeleteRange) -> dict[str, Any]:
        if isinstance(write, Put):
            put: dict[str, Any] = {"key": self._full_key(write.key), "value": write.value}
            if write.lease is not None:
                put["lease"] = str(write.lease)
            return {"request_put": put}
        deletion: dict[str, Any] = {"key": self._full_key(write.key)}
        if write.end:
            deletion["range_end"] = self._full_key(write.end)
        return {"request_delete_range": deletion}

    def _range_answer(self, answer: _Range) -> RangeAnswer:
        length = len(self._prefix)
        items = tuple(
            Item(
                kv.key.decode(errors="replace")[length:],
                kv.value,
                Revision(kv.mod_revision),
                kv.lease_id,
            )
            for kv in answer.kvs
        )
        return RangeAnswer(items, Revision(answer.header.revision))
