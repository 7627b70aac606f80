"""What the system needs of an endpoint that runs tasks under leases."""

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
    "Look",
    "OrderAnswer",
    "PolicyAnswer",
    "PolicyCalls",
    "RunEnd",
    "RunSeen",
    "StartOrder",
    "Verdict",
]


class Verdict(Enum):
    """What became of an order."""

    DONE = "done"
    FENCED = "fenced"
    """A newer owner has given orders there."""
    OUTDATED = "outdated"
    """A run of the task with this number or a higher one was stopped or has ended there."""
    LATE = "late"
    """The lease that came with the order had run out on arrival."""
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    BUSY = "busy"
    """The endpoint is unwell, and did nothing."""
    ELSEWHERE = "elsewhere"
    """Another endpoint lives at this address now; the one that was meant has ended."""
    UNREACHED = "unreached"
    """No connection could be made, so nothing was carried out."""
    UNKNOWN = "unknown"
    """No answer: the order may have been carried out, or may be yet."""


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    ODD = "odd"


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

    :param reason: why there is no answer, for people.
    :param clock_ms: the endpoint's clock; 0 if it did not say.
    :param born_ms: start of the endpoint's life; 0 if it did not say.
    """

    verdict: Verdict
    clock_ms: int = 0
    born_ms: int = 0
    reason: str = ""


class RunSeen(msgspec.Struct, frozen=True):
    """A run that is under way.

    :param checkpoint: newest checkpoint; empty if there is none.
    :param percent: share of the full pace at which it is at work.
    :param load: of a task that serves, the tail of its response times in milliseconds; of any
        other task, the processor time in use in thousandths of a core.
    """

    task: TaskId
    number: int
    checkpoint: str
    percent: int
    load: float


class RunEnd(msgspec.Struct, frozen=True):
    """A run that has ended; kept by the endpoint until it is acknowledged.

    :param cursor: rises with each end during an endpoint's life.
    """

    cursor: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str


class Look(msgspec.Struct, frozen=True):
    """What runs on an endpoint, and which ends are not acknowledged yet.

    :param reason: why there is no answer, for people.
    """

    verdict: Verdict
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunSeen, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    reason: str = ""


class PolicyAnswer(msgspec.Struct, frozen=True):
    """Which of some endpoints may run a step.

    :param ticket_by_endpoint: those that may, each with the ticket that a start has to carry.
    :param valid_s: how long the tickets hold, in seconds.
    """

    ticket_by_endpoint: dict[EndpointId, str]
    valid_s: float


class PolicyCalls(Protocol):
    """Calls to the service that knows which endpoints may run a queue's steps."""

    def ask(self, step: StepId, endpoints: tuple[EndpointId, ...]) -> Result[PolicyAnswer, Fault]:
        """Return tickets for those of ``endpoints`` that may run ``step``, which never changes."""


class EndpointCalls(Protocol):
    """Orders to one endpoint. Each call ends by its time-out with a verdict."""

    def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run; the same one again is no second run."""

    def stop(self, task: TaskId, number: int, token: int) -> OrderAnswer:
        """Stop a run, and refuse it if it comes later."""

    def pace(self, task: TaskId, number: int, percent: int, token: int) -> OrderAnswer:
        """Let a run work at a share of its full pace."""

    def look(self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int) -> Look:
        """Renew the lease, acknowledge ends, and return what runs and what ended.

        :param expires_ms: end of the lease on the endpoint's clock; ``None``: not renewed.
        :param wait_ms: how long the endpoint may wait for a new end before it answers.
        """

    def close(self) -> None:
        """Close the connections."""


class Dialer(Protocol):
    """Opens connections to endpoints."""

    def __call__(self, entry: EndpointEntry) -> EndpointCalls:
        """Return the calls to one endpoint."""
