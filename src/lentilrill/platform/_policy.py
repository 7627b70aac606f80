"""Client of the platform's policy service, which decides where a step may run."""

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.execution import PolicyAnswer
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId
from lentilrill.store import DECODE_ERRORS, Effect, Transport
from lentilrill.telemetry import Metrics
from lentilrill.workloads import StepId

__all__ = ["PlatformPolicy"]

OK = 200
CALL_TIMEOUT_S = 3.0
"""Timeout of a call. The service processes the calls of a host one after the other, and each takes
about half a second for thirty endpoints, so a call may wait for some calls of other pools."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum length of an answer, of one ticket for each endpoint of a pool."""


class _Request(msgspec.Struct):
    step: str
    # Ids of endpoints.
    workers: list[EndpointId]


class _Response(msgspec.Struct):
    # Rows: endpoint id, ticket. Endpoints that may not run the step are omitted.
    good: list[tuple[EndpointId, str]]
    valid_ms: int = 0


class PlatformPolicy:
    """A :class:`~lentilrill.execution.PolicyCalls` on the platform's policy service.

    :param address: address of the service.
    """

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._transport = Transport((address,), max_answer_bytes=MAX_ANSWER_BYTES)
        self._metrics = metrics

    def request_tickets(
        self, step: StepId, endpoints: tuple[EndpointId, ...]
    ) -> Result[PolicyAnswer, Fault]:
        """Return tickets for the endpoints among ``endpoints`` that may run a step."""
        name = f"{step.job}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode(_Request(name, list(endpoints)))
        self._metrics.incr("policy.calls")
        result = self._transport.request(
            "policy.ask", Effect.REPEATABLE, "POST", "/advise", body, CALL_TIMEOUT_S
        )
        if isinstance(result, Failure):
            return result
        status, data, peer = result.unwrap()
        if status != OK:
            return _failure(peer, FaultKind.UNAVAILABLE, f"status {status}")
        try:
            answer = msgspec.json.decode(data, type=_Response)
        except DECODE_ERRORS as error:
            return _failure(peer, FaultKind.INVALID, f"malformed answer: {error}")
        return Success(PolicyAnswer(dict(answer.good), answer.valid_ms / 1000))


def _failure(peer: str, kind: FaultKind, reason: str) -> Result[PolicyAnswer, Fault]:
    return Failure(Fault("policy.ask", peer, kind, reason))
