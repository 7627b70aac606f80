"""Orders to endpoints over HTTP."""

import msgspec
from returns.result import Failure

from lentilrill.execution import Look, OrderAnswer, StartOrder, Verdict
from lentilrill.platform._endpoint_wire import decode_clock, decode_look, refusal, task_name
from lentilrill.store import Effect, Transport
from lentilrill.telemetry import Metrics
from lentilrill.workloads import EndpointEntry, TaskId

__all__ = ["HttpEndpoint"]

OK = 200
ORDER_S = 0.35
"""Time-out of an order: endpoints answer within milliseconds, over a broken link never. An order
is sent again after it; orders are idempotent."""
LOOK_SLACK_S = 0.7
"""Time that a poll may take beyond its wait before its connection counts as silent."""


class _Start(msgspec.Struct, omit_defaults=True):
    task: str
    run_id: int
    spec: str
    # End of the run lease, on the clock of the endpoint.
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct):
    task: str
    run_id: int
    fencing_token: int


class _Pace(msgspec.Struct):
    task: str
    run_id: int
    percent: int
    fencing_token: int


class _Hold(msgspec.Struct, omit_defaults=True):
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
        self._looks = Transport((entry.address,), headers=self._headers)
        self._orders = Transport((entry.address,), headers=self._headers)
        self._metrics = metrics

    def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        body = _Start(
            task_name(order.task),
            order.number,
            order.spec,
            order.expires_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        return self._order("start", "/run-start", body)

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        """Stop a run."""
        return self._order("stop", "/run-stop", _Stop(task_name(task), number, token))

    def pace(self, task: TaskId, number: int, percent: int, token: int) -> OrderAnswer:
        """Set the pace of a run."""
        return self._order("pace", "/pace", _Pace(task_name(task), number, percent, token))

    def look(self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int) -> Look:
        """Renew the run lease, acknowledge ends, and return the current runs and the new ends."""
        body = msgspec.json.encode(_Hold(token, acknowledged, expires_ms or 0, wait_ms))
        self._metrics.incr("endpoint.looks")
        timeout_s = wait_ms / 1000 + LOOK_SLACK_S
        answered = self._looks.request(
            "endpoint.look", Effect.REPEATABLE, "POST", "/hold", body, timeout_s
        )
        if isinstance(answered, Failure):
            return Look(Verdict.UNKNOWN, reason=answered.failure().reason)
        status, data, _ = answered.unwrap()
        return decode_look(data) if status == OK else Look(refusal(status, data))

    def close(self) -> None:
        """Close the connections."""
        self._looks.close()
        self._orders.close()

    def _order(self, step: str, path: str, order: msgspec.Struct) -> OrderAnswer:
        body = msgspec.json.encode(order)
        self._metrics.incr(f"endpoint.orders.{step}")
        answered = self._orders.request(
            f"endpoint.{step}", Effect.REPEATABLE, "POST", path, body, ORDER_S
        )
        if isinstance(answered, Failure):
            fault = answered.failure()
            verdict = Verdict.UNREACHED if fault.unsent else Verdict.UNKNOWN
            return OrderAnswer(verdict, reason=fault.reason)
        status, data, _ = answered.unwrap()
        clock = decode_clock(data)
        verdict = Verdict.DONE if status == OK else refusal(status, data)
        return OrderAnswer(verdict, clock.clock_ms, clock.born)
