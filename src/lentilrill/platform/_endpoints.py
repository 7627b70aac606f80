"""Orders to endpoints over HTTP."""

import msgspec
from returns.result import Failure

from lentilrill.execution import OrderAnswer, PollResult, StartOrder, Verdict
from lentilrill.platform._endpoint_wire import (
    decode_header,
    decode_poll,
    encode_task,
    refusal_verdict,
)
from lentilrill.store import Effect, Transport
from lentilrill.telemetry import Metrics
from lentilrill.workloads import EndpointEntry, TaskId

__all__ = ["HttpEndpoint"]

OK = 200
ORDER_TIMEOUT_S = 0.35
"""Timeout of an order: endpoints answer within milliseconds, over a broken link never. An order
is sent again after it; orders are idempotent."""
POLL_SLACK_S = 0.7
"""Time that a poll may take beyond its wait before its connection counts as silent."""


MAX_POLL_BYTES = 2 * 1024 * 1024
"""Maximum length of the answer to a poll: rows of some 100 bytes, for runs and ends not yet
acknowledged, of which an endpoint has some thousands at most."""
MAX_ORDER_BYTES = 64 * 1024
"""Maximum length of the answer to an order, which is one short object."""


class _StartBody(msgspec.Struct, omit_defaults=True):
    task: str
    run_id: int
    spec: str
    # End of the run lease, on the clock of the endpoint.
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _StopBody(msgspec.Struct):
    task: str
    run_id: int
    fencing_token: int


class _PaceBody(msgspec.Struct):
    task: str
    run_id: int
    percent: int
    fencing_token: int


class _PollBody(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    # Ends up to this cursor are stored; the endpoint may discard them.
    ack_cursor: int = msgspec.field(default=-1)
    expires_ms: int = 0
    wait_ms: int = 0


class HttpEndpoint:
    """Client of one endpoint, with separate connections for polls and orders.

    Each call contains the id of the endpoint instance, so that another instance that now uses the
    address refuses the call.
    """

    def __init__(self, entry: EndpointEntry, metrics: Metrics) -> None:
        self._headers = {"Expect-Instance": str(entry.id)}
        self._poll_transport = Transport(
            (entry.address,), headers=self._headers, max_answer_bytes=MAX_POLL_BYTES
        )
        self._order_transport = Transport(
            (entry.address,), headers=self._headers, max_answer_bytes=MAX_ORDER_BYTES
        )
        self._metrics = metrics

    def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        body = _StartBody(
            encode_task(order.task),
            order.number,
            order.spec,
            order.expires_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        return self._send_order("start", "/run-start", body)

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        """Stop a run."""
        return self._send_order("stop", "/run-stop", _StopBody(encode_task(task), number, token))

    def pace(self, task: TaskId, number: int, percent: int, token: int) -> OrderAnswer:
        """Set the pace of a run."""
        return self._send_order(
            "pace", "/pace", _PaceBody(encode_task(task), number, percent, token)
        )

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        """Renew the run lease, acknowledge ends, and return the current runs and the new ends."""
        body = msgspec.json.encode(_PollBody(token, acknowledged, expires_ms or 0, wait_ms))
        self._metrics.incr("endpoint.looks")
        timeout_s = wait_ms / 1000 + POLL_SLACK_S
        result = self._poll_transport.request(
            "endpoint.look", Effect.REPEATABLE, "POST", "/hold", body, timeout_s
        )
        if isinstance(result, Failure):
            return PollResult(Verdict.UNKNOWN, reason=result.failure().reason)
        status, data, _ = result.unwrap()
        return decode_poll(data) if status == OK else PollResult(refusal_verdict(status, data))

    def close(self) -> None:
        """Close the connections."""
        self._poll_transport.close()
        self._order_transport.close()

    def _send_order(self, step: str, path: str, order: msgspec.Struct) -> OrderAnswer:
        body = msgspec.json.encode(order)
        self._metrics.incr(f"endpoint.orders.{step}")
        result = self._order_transport.request(
            f"endpoint.{step}", Effect.REPEATABLE, "POST", path, body, ORDER_TIMEOUT_S
        )
        if isinstance(result, Failure):
            fault = result.failure()
            verdict = Verdict.UNREACHABLE if fault.unsent else Verdict.UNKNOWN
            return OrderAnswer(verdict, reason=fault.reason)
        status, data, _ = result.unwrap()
        header = decode_header(data)
        verdict = Verdict.DONE if status == OK else refusal_verdict(status, data)
        return OrderAnswer(verdict, header.clock_ms, header.born)
