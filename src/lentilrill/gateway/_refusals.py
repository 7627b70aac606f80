"""Conversion of failures on the way to an endpoint to problem documents."""

from lentilrill.gateway._caller import BodyError, BodyErrorKind
from lentilrill.gateway._exchange import ResponseHead
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind, decode_outcome
from lentilrill.gateway._retry_state import NotSent, ResponseLost
from lentilrill.inner import Refusal
from lentilrill.routing import Decline, Slot

__all__ = [
    "body_problem",
    "declined_problem",
    "timeout_problem",
    "unreachable_problem",
    "withdrawn_problem",
    "zone_failure",
]

RETRY_AFTER_S = 1.0
KINDS_BY_REFUSAL = {
    Refusal.QUEUE_FULL: ProblemKind.BUSY,
    Refusal.PLAN_LIMIT: ProblemKind.PLAN_LIMIT,
    Refusal.TOO_LATE: ProblemKind.BUSY,
    Refusal.NO_HOSTS: ProblemKind.UNREACHABLE,
    Refusal.NOT_SCHEDULER: ProblemKind.BUSY,
}


def zone_failure(head: ResponseHead, body: bytes) -> NotSent | ResponseLost:
    """Return the result that another zone's gateway reported in its problem document."""
    outcome = decode_outcome(body)
    retry_after = dict(head.headers).get("Retry-After", "")
    problem_kind = ProblemKind.BUSY if outcome is Outcome.NOT_RUN else ProblemKind.LOST
    problem = Problem(
        problem_kind,
        f"another zone answered {head.status}",
        outcome,
        float(retry_after) if retry_after.isdecimal() else None,
    )
    return NotSent(problem) if outcome is Outcome.NOT_RUN else ResponseLost(problem)


def declined_problem(decline: Decline) -> Problem:
    """Return the problem for a slot request that was declined."""
    problem_kind = KINDS_BY_REFUSAL[decline.refusal]
    return Problem(problem_kind, decline.reason, retry_after_s=decline.retry_after_s)


def unreachable_problem(slot: Slot) -> Problem:
    """Return the problem for a host to which no connection could be opened."""
    detail = f"host {slot.host} could not be reached"
    return Problem(ProblemKind.UNREACHABLE, detail, retry_after_s=RETRY_AFTER_S)


def withdrawn_problem() -> Problem:
    """Return the problem for hosts that are being withdrawn."""
    detail = "the chosen hosts are leaving"
    return Problem(ProblemKind.BUSY, detail, retry_after_s=RETRY_AFTER_S)


def timeout_problem(slot: Slot) -> Problem:
    """Return the problem for an endpoint that did not answer in time."""
    detail = f"host {slot.host} did not answer in time"
    return Problem(ProblemKind.SILENT, detail, Outcome.UNKNOWN)


def body_problem(error: BodyError) -> Problem:
    """Return the problem for a request body that failed while it was streamed."""
    slow = error.kind is BodyErrorKind.SLOW
    problem_kind = ProblemKind.SLOW if slow else ProblemKind.MALFORMED
    return Problem(problem_kind, str(error), Outcome.UNKNOWN)
