"""Interfaces of an endpoint that runs tasks under leases, and of the policy service."""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import EndpointId
from lentilrill.workloads import EndpointEntry, StepId, TaskId

__all__ = [
    "EndKind",
    "EndpointCalls",
    "OrderAnswer",
    "PolicyAnswer",
    "PolicyCalls",
    "PollResult",
    "ReportedRun",
    "RunEnd",
    "StartOrder",
    "Verdict",
]


class Verdict(Enum):
    """Result of an order or a poll."""

    DONE = "done"
    FENCED = "fenced"
    """The endpoint has received a newer fencing token."""
    OUTDATED = "outdated"
    """A run of the task with this or a higher number was stopped or has ended on the endpoint."""
    LEASE_EXPIRED = "late"
    """The lease in the order had expired when the order arrived."""
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    BUSY = "busy"
    """The endpoint is overloaded or unavailable and did not execute the order."""
    WRONG_INSTANCE = "elsewhere"
    """Another endpoint instance serves this address; the addressed one has terminated."""
    UNREACHABLE = "unreached"
    """No connection could be established, so the order was not executed."""
    UNKNOWN = "unknown"
    """No answer: the order may have been executed, or may still be."""


class EndKind(Enum):
    """How a run ended, as reported by its endpoint.

    ``DONE`` completes a task that is not long-running, and ``FAILED`` uses up one of its attempts.
    After an end of any other kind the task waits to be placed again and keeps its attempts.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    UNEXPECTED = "odd"
    """Any kind that this enumeration does not list."""


class StartOrder(msgspec.Struct, frozen=True):
    """An order to run a task.

    :param expires_ms: end of the lease, on the endpoint's clock.
    """

    task: TaskId
    number: int
    spec: str
    expires_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to an order.

    :param reason: human-readable reason if there is no answer.
    :param clock_ms: the endpoint's clock; 0 if unknown.
    :param started_ms: when the endpoint's process started; 0 if unknown.
    """

    verdict: Verdict
    clock_ms: int = 0
    started_ms: int = 0
    reason: str = ""


class ReportedRun(msgspec.Struct, frozen=True):
    """A run in progress, as its endpoint reports it.

    :param checkpoint: newest checkpoint; empty if there is none.
    :param percent: current pace as a percentage of the full pace.
    :param load: for a serving task, the tail latency of its responses in milliseconds; for any
        other task, the processor time in use in thousandths of a core.
    """

    task: TaskId
    number: int
    checkpoint: str
    percent: int
    load: float


class RunEnd(msgspec.Struct, frozen=True):
    """A run that has ended; the endpoint keeps it until it is acknowledged.

    :param cursor: sequence number of the end, increasing until the endpoint restarts.
    """

    cursor: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str


class PollResult(msgspec.Struct, frozen=True):
    """An endpoint's runs in progress and its unacknowledged ends.

    :param reason: human-readable reason if there is no answer.
    :param is_complete: whether all unacknowledged ends are listed; if not, a run that isn't listed
        may have ended.
    """

    verdict: Verdict
    clock_ms: int = 0
    started_ms: int = 0
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    reason: str = ""
    is_complete: bool = True


class PolicyAnswer(msgspec.Struct, frozen=True):
    """Endpoints that may run a step.

    :param ticket_by_endpoint: the permitted endpoints, each with the ticket that a start order
        must carry.
    :param valid_s: validity of the tickets in seconds.
    """

    ticket_by_endpoint: dict[EndpointId, str]
    valid_s: float


class PolicyCalls(Protocol):
    """Calls to the policy service, which decides which endpoints may run a queue's steps."""

    def request_tickets(
        self, step: StepId, endpoints: tuple[EndpointId, ...]
    ) -> Result[PolicyAnswer, Fault]:
        """Return tickets for those of ``endpoints`` that may run ``step``.

        Whether an endpoint may run a step never changes.
        """


class EndpointCalls(Protocol):
    """Calls to one endpoint. Each call returns a verdict within its timeout."""

    def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run. Idempotent for the same task and run number."""

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        """Stop a run, and make the endpoint refuse a start of it that arrives later."""

    def pace(self, task: TaskId, number: int, percent: int, token: int) -> OrderAnswer:
        """Set the pace of a run to a percentage of its full pace."""

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        """Renew the run lease, acknowledge ends, and return runs in progress and new ends.

        :param acknowledged: cursor up to which ends are acknowledged.
        :param expires_ms: expiry of the lease on the endpoint's clock; ``None`` to not renew it.
        :param wait_ms: how long the endpoint may wait for a new end before it answers.
        """

    def close(self) -> None:
        """Close the connections."""


class Dialer(Protocol):
    """Opens connections to endpoints."""

    def __call__(self, entry: EndpointEntry) -> EndpointCalls:
        """Return the calls to one endpoint."""
