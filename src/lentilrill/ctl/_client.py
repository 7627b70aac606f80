"""HTTP client for controllers, with failover to the next one."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from lentilrill.operators import (
    ApplyBody,
    AuditAnswer,
    CheckAnswer,
    CheckBody,
    ConfigAnswer,
    EditAnswer,
    EditVerdict,
    HostsAnswer,
    Problem,
    Status,
    StopBody,
)

__all__ = ["Client"]

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0
"""Longer than a controller tries to resolve the outcome of an edit."""
UNREACHABLE = "urn:lentilrill:problem:unreachable"
NO_HEADERS: dict[str, str] = {}

T = TypeVar("T", bound=msgspec.Struct)


class Client:
    """Client of the operators' HTTP API that tries the controllers in turn.

    Edits may be retried after a lost response: an edit of the lists has an idempotency key, and
    declaring or cancelling a stop twice changes nothing.

    :param controllers: addresses (``ip:port``) to try, in this order.
    """

    def __init__(self, controllers: Sequence[str], token: str) -> None:
        self._controllers = controllers
        self._headers = {"Authorization": f"Bearer {token}"} if token else NO_HEADERS
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)

    def config(self) -> Result[ConfigAnswer, Problem]:
        """Get the document."""
        return self._request("GET", "/v1/config", ConfigAnswer)

    def check(self, body: CheckBody) -> Result[CheckAnswer, Problem]:
        """Check two lists."""
        return self._request("POST", "/v1/config/check", CheckAnswer, body)

    def apply(self, body: ApplyBody) -> Result[EditAnswer, Problem]:
        """Apply two lists."""
        return self._request("PUT", "/v1/config", EditAnswer, body, is_edit=True)

    def declare_stop(self, body: StopBody) -> Result[EditAnswer, Problem]:
        """Declare a planned stop."""
        return self._request("POST", "/v1/stops", EditAnswer, body, is_edit=True)

    def cancel_stop(self, stop_id: str) -> Result[EditAnswer, Problem]:
        """Cancel a planned stop."""
        path = "/v1/stops/" + quote(stop_id, safe="")
        return self._request("DELETE", path, EditAnswer, is_edit=True)

    def status(self) -> Result[Status, Problem]:
        """Get the status of the fleet and of the system."""
        return self._request("GET", "/v1/status", Status)

    def hosts(self) -> Result[HostsAnswer, Problem]:
        """Get every host with its pool."""
        return self._request("GET", "/v1/hosts", HostsAnswer)

    def audit(self, limit: int) -> Result[AuditAnswer, Problem]:
        """Get the newest edits."""
        return self._request("GET", "/v1/audit?" + urlencode({"limit": limit}), AuditAnswer)

    def _request(
        self,
        method: str,
        path: str,
        answer_type: type[T],
        body: msgspec.Struct | None = None,
        is_edit: bool = False,
    ) -> Result[T, Problem]:
        """Try the controllers in turn, until one returns a final response.

        After a lost response the outcome of an edit stays unknown, unless a later controller
        resolves it: an "unreachable" from the next controller must not hide that.
        """
        unresolved: Problem | None = None
        last_problem = _unreachable("no controller is given; see --controller")
        for address in self._controllers:
            try:
                answer = self._send(method, f"http://{address}{path}", body)
            except urllib3.exceptions.HTTPError as error:
                last_problem = _unreachable(f"{address}: {_reason(error)}")
                if is_edit and not _not_sent(error):
                    unresolved = unresolved or _unknown_outcome(address)
                continue
            decoded = _decode(answer, answer_type, address)
            if isinstance(decoded, Success):
                return decoded
            last_problem = decoded.failure()
            if last_problem.verdict is EditVerdict.UNKNOWN or (
                is_edit and last_problem.status in _AMBIGUOUS_STATUSES
            ):
                unresolved = msgspec.structs.replace(last_problem, verdict=EditVerdict.UNKNOWN)
            elif last_problem.status not in _FAILOVER_STATUSES:
                return Failure(
                    _with_earlier_attempt_note(last_problem) if unresolved else last_problem
                )
        return Failure(unresolved or last_problem)

    def _send(self, method: str, url: str, body: msgspec.Struct | None) -> urllib3.BaseHTTPResponse:
        data = None if body is None else msgspec.json.encode(body)
        headers = self._headers | {"Content-Type": "application/json"}
        return self._http.request(method, url, body=data, headers=headers)


_FAILOVER_STATUSES = {
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
}
_AMBIGUOUS_STATUSES = {HTTPStatus.INTERNAL_SERVER_ERROR, HTTPStatus.BAD_GATEWAY}


def _with_earlier_attempt_note(problem: Problem) -> Problem:
    """Return a refusal with a note that an earlier attempt may have been applied."""
    title = f"{problem.title} (an earlier controller's answer was lost: see 'lentilrillctl audit')"
    return msgspec.structs.replace(problem, title=title)


def _not_sent(error: urllib3.exceptions.HTTPError) -> bool:
    not_sent_errors = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    return isinstance(error, not_sent_errors)


def _reason(error: urllib3.exceptions.HTTPError) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "no connection"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer in time"
    return str(error)


def _decode(
    answer: urllib3.BaseHTTPResponse, answer_type: type[T], address: str
) -> Result[T, Problem]:
    try:
        if answer.status == HTTPStatus.OK:
            return Success(msgspec.json.decode(answer.data, type=answer_type))
        return Failure(msgspec.json.decode(answer.data, type=Problem))
    except msgspec.MsgspecError:
        detail = f"{address} answered {answer.status} with something that is no controller's"
        return Failure(Problem(UNREACHABLE, "No controller", HTTPStatus.BAD_GATEWAY, detail))


def _unreachable(detail: str) -> Problem:
    return Problem(UNREACHABLE, "No controller answers", HTTPStatus.SERVICE_UNAVAILABLE, detail)


def _unknown_outcome(address: str) -> Problem:
    return Problem(
        "urn:lentilrill:problem:unknown",
        "It is not known whether the edit took effect",
        HTTPStatus.GATEWAY_TIMEOUT,
        f"{address} did not answer in time; look with 'lentilrillctl audit', or run the same "
        "command again: an edit that took effect is not made twice",
        EditVerdict.UNKNOWN,
    )
