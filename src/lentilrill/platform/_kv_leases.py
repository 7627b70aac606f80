"""Leases in the platform's store."""

import time

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import LeaseId
from lentilrill.platform._kv_answers import StoreAnswers
from lentilrill.platform._kv_wire import (
    NO_CONTENT,
    NOT_FOUND,
    OK,
    LeaseGrant,
    decode_lease_id,
    encode_lease,
    fault_of,
)
from lentilrill.store import Effect, Transport
from lentilrill.telemetry import Metrics

__all__ = ["LeaseCalls"]

LEASE_TIMEOUTS_S = (0.15, 0.45)
"""Timeouts of the two attempts of a lease call. The second allows for a busy link, and their sum
is short enough for another renewal within a lease of 1.6 s."""
REVOKE_TIMEOUT_S = 0.5
MAX_LEASE_BYTES = 64 * 1024
"""Maximum length of an answer, which is one short object."""


class LeaseCalls:
    """Grants, renews and revokes leases, on connections of their own.

    The circuit breaker is bypassed: every attempt that can still renew the lease in time matters,
    and there is only one caller.

    :param address: address of the store.
    """

    def __init__(self, address: str, answers: StoreAnswers, metrics: Metrics) -> None:
        self._address = address
        self._transport = Transport((address,), max_answer_bytes=MAX_LEASE_BYTES)
        self._answers = answers
        self._metrics = metrics

    def grant(self, ttl_s: float) -> Result[LeaseId, Fault]:
        """Grant a lease and return its id."""
        step = "store.lease"
        granted = self._call(step, "POST", "/kv-lease", encode_lease(ttl_s))
        return granted.bind(lambda grant: self._lease_id_of(step, grant))

    def _lease_id_of(self, step: str, grant: LeaseGrant) -> Result[LeaseId, Fault]:
        lease = decode_lease_id(grant.lease)
        if lease is None:
            return Failure(Fault(step, self._address, FaultKind.INVALID, "an answer without lease"))
        return Success(lease)

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        """Renew a lease and return its duration in seconds, which starts when the call arrives."""
        renewed = self._call("store.keep_alive", "POST", f"/kv-keep/{lease}", b"{}")
        return renewed.map(lambda r: r.ttl_ms / 1000.0)

    def revoke(self, lease: LeaseId) -> Result[None, Fault]:
        """Revoke a lease and delete its keys; a lease that has already ended is not a fault."""
        path = f"/kv-lease-end/{lease}"
        ended = self._transport.request(
            "store.revoke", Effect.REPEATABLE, "DELETE", path, b"", REVOKE_TIMEOUT_S
        )
        if isinstance(ended, Failure):
            return ended
        status, _, peer = ended.unwrap()
        if status in (OK, NO_CONTENT, NOT_FOUND):
            return Success(None)
        return Failure(fault_of("store.revoke", status, peer))

    def _call(self, step: str, method: str, path: str, body: bytes) -> Result[LeaseGrant, Fault]:
        is_slow = 2 * self._answers.expected_latency_s > LEASE_TIMEOUTS_S[0]
        for timeout_s in LEASE_TIMEOUTS_S[1:] if is_slow else LEASE_TIMEOUTS_S:
            self._metrics.incr(f"{step}.calls")
            started = time.monotonic()
            result = self._transport.request(step, Effect.REPEATABLE, method, path, body, timeout_s)
            if not isinstance(result, Failure):
                self._answers.record_latency(started)
                break
        if isinstance(result, Failure):
            return result
        status, data, peer = result.unwrap()
        if status == NOT_FOUND:
            return Failure(Fault(step, peer, FaultKind.CONFLICT, "the lease has ended"))
        return self._answers.decode(step, status, data, peer, LeaseGrant)
