"""Error responses of the operators' HTTP API, as RFC 9457 problem documents."""

import math
from http import HTTPStatus

import msgspec

from lentilrill.faults import Fault, FaultKind
from lentilrill.operators._answers import Problem
from lentilrill.operators._outcomes import EditOutcome
from lentilrill.operators._records import EditVerdict

__all__ = ["Reply", "edit_problem", "fault_problem", "problem"]

TYPE_PREFIX = "urn:lentilrill:problem:"
DEFAULT_RETRY_AFTER_S = 2.0

_STATUS_BY_VERDICT = {
    EditVerdict.CONFLICT: HTTPStatus.CONFLICT,
    EditVerdict.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    EditVerdict.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    EditVerdict.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}
_TITLE_BY_VERDICT = {
    EditVerdict.CONFLICT: "Another edit came first",
    EditVerdict.INVALID: "The edit has errors",
    EditVerdict.UNAVAILABLE: "The platform can't be reached",
    EditVerdict.UNKNOWN: "It is not known whether the edit took effect",
}


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response.

    :param body: value to encode as JSON.
    """

    status: HTTPStatus
    body: msgspec.Struct
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def content_type(self) -> str:
        """Media type of the body."""
        return "application/problem+json" if isinstance(self.body, Problem) else "application/json"


def problem(
    status: HTTPStatus, kind: str, detail: str, headers: tuple[tuple[str, str], ...] = ()
) -> Reply:
    """Return a problem that has only a type and a detail.

    :param kind: last part of the problem's type.
    """
    return Reply(status, Problem(TYPE_PREFIX + kind, status.phrase, status, detail), headers)


def edit_problem(outcome: EditOutcome) -> Reply:
    """Return the problem for an edit that was refused or whose outcome is unknown."""
    status = _STATUS_BY_VERDICT[outcome.verdict]
    body = Problem(
        TYPE_PREFIX + outcome.verdict.value,
        _TITLE_BY_VERDICT[outcome.verdict],
        status,
        outcome.message or "; ".join(str(finding) for finding in outcome.findings),
        outcome.verdict,
        outcome.write_id,
        outcome.number,
        outcome.base,
        outcome.revision,
        outcome.differences,
        outcome.findings,
        outcome.since,
        outcome.retry_after_s,
    )
    return Reply(status, body, _retry_after(status, outcome.retry_after_s))


def fault_problem(fault: Fault) -> Reply:
    """Return the problem for a failed read."""
    invalid = fault.kind is FaultKind.INVALID
    status = HTTPStatus.INTERNAL_SERVER_ERROR if invalid else HTTPStatus.SERVICE_UNAVAILABLE
    headers = _retry_after(status, fault.retry_after_s)
    return problem(status, fault.kind.value, str(fault), headers)


def _retry_after(status: HTTPStatus, retry_after_s: float | None) -> tuple[tuple[str, str], ...]:
    if status not in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT):
        return ()
    seconds = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    return (("Retry-After", str(max(1, math.ceil(seconds)))),)
