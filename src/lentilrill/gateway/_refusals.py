"""Conversion of failures on the way to an endpoint to problem documents."""

from lentilrill.gateway._caller import BodyError, BodyTrouble
from lentilrill.gateway._exchange import Head
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind, outcome_of
from lentilrill.gateway._run import Lost, NotSent
from lentilrill.inner import Refusal
from lentilrill.routing import Decline, Slot

__all__ = ["bad_body", "declined", "silent", "unreachable", "withdrawn", "zone_refused"]

RETRY_AFTER_S = 1.0
KINDS_BY_REFUSAL = {
    Refusal.QUEUE_FULL: ProblemKind.BUSY,
    Refusal.PLAN_LIMIT: ProblemKind.PLAN_LIMIT,
    Refusal.TOO_LATE: ProblemKind.BUSY,
    Refusal.NO_HOSTS: ProblemKind.UNREACHABLE,
    Refusal.NOT_SCHEDULER: ProblemKind.BUSY,
}


def zone_refused(head: Head, body: bytes) -> NotSent | Lost:
    """Return the result that another zone's gateway reported in its problem document."""
    outcome = outcome_of(body)
    after = dict(head.headers).get("Retry-After", "")
    kind = ProblemKind.BUSY if outcome is Outcome.NOT_RUN else ProblemKind.LOST
    problem = Problem(
        kind,
        f"another zone answered {head.status}",
        outcome,
        float(after) if after.isdecimal() else None,
    )
    return NotSent(problem) if outcome is Outcome.NOT_RUN else Lost(problem)


def declined(decline: Decline) -> Problem:
    """Return the problem for a slot request that was declined."""
    kind = KINDS_BY_REFUSAL[decline.refusal]
    return Problem(kind, decline.reason, retry_after_s=decline.retry_after_s)


def unreachable(slot: Slot) -> Problem:
    """Return the problem for a host to which no connection could be opened."""
    detail = f"host {slot.host} could not be reached"
    return Problem(ProblemKind.UNREACHABLE, detail, retry_after_s=RETRY_AFTER_S)


def withdrawn() -> Problem:
    """Return the problem for hosts that are being withdrawn."""
    detail = "the chosen hosts are leaving"
    return Problem(ProblemKind.BUSY, detail, retry_after_s=RETRY_AFTER_S)


def silent(slot: Slot) -> Problem:
    """Return the problem for an endpoint that did not answer in time."""
    detail = f"host {slot.host} did not answer in time"
    return Problem(ProblemKind.SILENT, detail, Outcome.UNKNOWN)


def bad_body(error: BodyError) -> Problem:
    """Return the problem for a request body that failed while it was streamed."""
    slow = error.trouble is BodyTrouble.SLOW
    kind = ProblemKind.SLOW if slow else ProblemKind.MALFORMED
    return Problem(kind, str(error), Outcome.UNKNOWN)
