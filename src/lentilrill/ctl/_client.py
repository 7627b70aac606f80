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

CONNECT_S = 2.0
ANSWER_S = 20.0
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
        timeout = urllib3.Timeout(connect=CONNECT_S, read=ANSWER_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)

    def config(self) -> Result[ConfigAnswer, Problem]:
        """Get the document."""
        return self._ask("GET", "/v1/config", ConfigAnswer)

    def check(self, body: CheckBody) -> Result[CheckAnswer, Problem]:
        """Check two lists."""
        return self._ask("POST", "/v1/config/check", CheckAnswer, body)

    def apply(self, body: ApplyBody) -> Result[EditAnswer, Problem]:
        """Apply two lists."""
        return self._ask("PUT", "/v1/config", EditAnswer, body, edits=True)

    def declare_stop(self, body: StopBody) -> Result[EditAnswer, Problem]:
        """Declare a planned stop."""
        return self._ask("POST", "/v1/stops", EditAnswer, body, edits=True)

    def cancel_stop(self, stop_id: str) -> Result[EditAnswer, Problem]:
        """Cancel a planned stop."""
        path = "/v1/stops/" + quote(stop_id, safe="")
        return self._ask("DELETE", path, EditAnswer, edits=True)

    def status(self) -> Result[Status, Problem]:
        """Get the status of the fleet and of the system."""
        return self._ask("GET", "/v1/status", Status)

    def hosts(self) -> Result[HostsAnswer, Problem]:
        """Get every host with its pool."""
        return self._ask("GET", "/v1/hosts", HostsAnswer)

    def audit(self, limit: int) -> Result[AuditAnswer, Problem]:
        """Get the newest edits."""
        return self._ask("GET", "/v1/audit?" + urlencode({"limit": limit}), AuditAnswer)

    def _ask(
        self,
        method: str,
        path: str,
        kind: type[T],
        body: msgspec.Struct | None = None,
        edits: bool = False,
    ) -> Result[T, Problem]:
        """Try the controllers in turn, until one returns a final response.

        After a lost response the outcome of an edit stays unknown, unless a later controller
        resolves it: an "unreachable" from the next controller must not hide that.
        """
        doubt: Problem | None = None
        last = _unreachable("no controller is given; see --controller")
        for address in self._controllers:
            try:
                answer = self._send(method, f"http://{address}{path}", body)
            except urllib3.exceptions.HTTPError as error:
                last = _unreachable(f"{address}: {_reason(error)}")
                if edits and not _never_sent(error):
                    doubt = doubt or _in_doubt(address)
                continue
            decoded = _decoded(answer, kind, address)
            if isinstance(decoded, Success):
                return decoded
            last = decoded.failure()
            if last.verdict is EditVerdict.UNKNOWN or (edits and last.status in _MAY_HAVE_EDITED):
                doubt = msgspec.structs.replace(last, verdict=EditVerdict.UNKNOWN)
            elif last.status not in _OTHERS_MAY_KNOW:
                return Failure(_after_doubt(last) if doubt else last)
        return Failure(doubt or last)

    def _send(self, method: str, url: str, body: msgspec.Struct | None) -> urllib3.BaseHTTPResponse:
        data = None if body is None else msgspec.json.encode(body)
        headers = self._headers | {"Content-Type": "application/json"}
        return self._http.request(method, url, body=data, headers=headers)


_OTHERS_MAY_KNOW = {
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
}
_MAY_HAVE_EDITED = {HTTPStatus.INTERNAL_SERVER_ERROR, HTTPStatus.BAD_GATEWAY}


def _after_doubt(problem: Problem) -> Problem:
    """Return a refusal with a note that an earlier attempt may have been applied."""
    title = f"{problem.title} (an earlier controller's answer was lost: see 'lentilrillctl audit')"
    return msgspec.structs.replace(problem, title=title)


def _never_sent(error: urllib3.exceptions.HTTPError) -> bool:
    kinds = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
    return isinstance(error, kinds)


def _reason(error: urllib3.exceptions.HTTPError) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "no connection"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer in time"
    return str(error)


def _decoded(answer: urllib3.BaseHTTPResponse, kind: type[T], address: str) -> Result[T, Problem]:
    try:
        if answer.status == HTTPStatus.OK:
            return Success(msgspec.json.decode(answer.data, type=kind))
        return Failure(msgspec.json.decode(answer.data, type=Problem))
    except msgspec.MsgspecError:
        detail = f"{address} answered {answer.status} with something that is no controller's"
        return Failure(Problem(UNREACHABLE, "No controller", HTTPStatus.BAD_GATEWAY, detail))


def _unreachable(detail: str) -> Problem:
    return Problem(UNREACHABLE, "No controller answers", HTTPStatus.SERVICE_UNAVAILABLE, detail)


def _in_doubt(address: str) -> Problem:
    return Problem(
        "urn:lentilrill:problem:unknown",
        "It is not known whether the edit took effect",
        HTTPStatus.GATEWAY_TIMEOUT,
        f"{address} did not answer in time; look with 'lentilrillctl audit', or run the same "
        "command again: an edit that took effect is not made twice",
        EditVerdict.UNKNOWN,
    )
