"""One HTTP exchange with an endpoint, with checks that the response is complete."""

import time
from collections.abc import Iterable, Iterator
from http.client import HTTPException

import msgspec
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse
from urllib3.util.wait import wait_for_read

from lentilrill.gateway._connections import EndpointConnection
from lentilrill.gateway._limits import CHUNK_BYTES, MAX_BUFFERED_BYTES
from lentilrill.gateway._request_head import end_to_end_headers
from lentilrill.numbers import decimal_in

__all__ = ["Exchange", "ExchangeError", "ExchangeTimeoutError", "ResponseHead"]

ENDPOINT_STATE = "endpoint-state"
LEAVING = "leaving"
REQUEST_ID = "request-id"
MAX_CONTENT_LENGTH = 2**63 - 1
GATEWAY_HEADERS = frozenset(("content-length", ENDPOINT_STATE, REQUEST_ID, "gateway-problem"))
READ_TIMEOUT_S = 60.0
"""Timeout of each part of a long response body."""
MAX_PART_BYTES = 16 * CHUNK_BYTES
"""Maximum length of a part of a response body with the lines of its chunks and its trailers: chunks
of one byte, which are the most wasteful, take six."""


class ExchangeError(Exception):
    """The exchange failed, or its response can't be verified to be complete."""


class ExchangeTimeoutError(ExchangeError):
    """The endpoint did not answer in time."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response.

    :param length: declared length of the body; ``None`` if it is chunked.
    :param bodiless: whether a response to this method or with this status has no body.
    :param leaving: whether the endpoint reported that it is leaving.
    :param gateway_problem: whether it is a problem document created by another gateway.
    """

    status: int
    headers: list[tuple[str, str]]
    length: int | None
    bodiless: bool
    leaving: bool
    gateway_problem: bool


class Exchange:
    """One request and its response on a connection that no other exchange uses meanwhile."""

    def __init__(self, connection: EndpointConnection, request: str) -> None:
        self._connection = connection
        self._request = request
        self._sock = connection.http_connection.sock
        self._response: BaseHTTPResponse | None = None
        self._complete = False

    @property
    def complete(self) -> bool:
        """Whether the response was read completely."""
        return self._complete

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | Iterable[bytes] | None,
        timeout_s: float,
    ) -> None:
        """Send the request; raise :class:`ExchangeError` if the connection fails."""
        http_connection = self._connection.http_connection
        http_connection.timeout = timeout_s
        try:
            http_connection.request(
                method,
                target,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except TimeoutError as error:
            raise ExchangeTimeoutError(f"sending timed out: {error}") from error
        except (OSError, HTTPException, HTTPError) as error:
            raise ExchangeError(f"sending failed: {error}") from error

    def wait_for_response(self, timeout_s: float) -> bool:
        """Wait for the first byte of the response; return whether it arrived."""
        return wait_for_read(self._sock, max(0.0, timeout_s))

    def read_head(self, method: str, timeout_s: float) -> ResponseHead:
        """Return the response's status and headers; wait at most ``timeout_s`` seconds."""
        http_connection = self._connection.http_connection
        http_connection.timeout = max(0.001, timeout_s)
        try:
            response = http_connection.getresponse()
        except TimeoutError as error:
            raise ExchangeTimeoutError("no answer in time") from error
        except (OSError, HTTPException, HTTPError, ValueError) as error:
            raise ExchangeError(f"no answer: {error!r}") from error
        self._response = response
        self._connection.use_long_ack_timeout()
        return self._check_head(method, response)

    def read_buffered(self, head: ResponseHead, answer_by: float) -> tuple[bytes, bool]:
        """Return the body up to the buffer limit, and whether it is complete."""
        if head.bodiless or head.length == 0:
            self._complete = True
            return b"", True
        if head.length is not None and head.length <= CHUNK_BYTES:
            return self._read_single(head.length, answer_by), True
        parts: list[bytes] = []
        size = 0
        for part in self._iter_parts(answer_by):
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_BYTES:
                return b"".join(parts), False
        return b"".join(parts), True

    def _read_single(self, length: int, answer_by: float) -> bytes:
        """Return a body that fits one read; the declared length shows that it is complete."""
        body = next(self._iter_parts(answer_by), b"")
        if len(body) != length:
            raise ExchangeError(f"the answer broke off after {len(body)} of {length} bytes")
        self._complete = True
        return body

    def stream_rest(self) -> Iterator[bytes]:
        """Yield the body after :meth:`read_buffered`; raise if it can't be verified as complete."""
        return self._iter_parts(None)

    def _iter_parts(self, answer_by: float | None) -> Iterator[bytes]:
        assert self._response is not None
        http_connection = self._connection.http_connection
        while True:
            left_s = READ_TIMEOUT_S if answer_by is None else answer_by - time.monotonic()
            if left_s <= 0:
                raise ExchangeTimeoutError("the answer did not end in time")
            try:
                # http.client closes the socket of a connection that ends with this response
                # once it has read the last byte.
                if self._sock.fileno() >= 0:
                    self._sock.settimeout(min(left_s, READ_TIMEOUT_S))
                http_connection.limit(MAX_PART_BYTES, time.monotonic() + left_s)
                part = self._response.read(CHUNK_BYTES)
            except (OSError, HTTPException, HTTPError, ValueError) as error:
                raise ExchangeError(f"the answer broke off: {error!r}") from error
            if not part:
                self._complete = True
                return
            yield part

    def _check_head(self, method: str, response: BaseHTTPResponse) -> ResponseHead:
        headers = {name.lower(): value for name, value in response.headers.items()}
        answered_request = headers.get(REQUEST_ID, self._request)
        if answered_request != self._request:
            # A duplicated or late response on a reused connection would go to the wrong caller.
            # It is detected if the endpoint sends the request id back.
            raise ExchangeError(f"the answer is for request {answered_request!r}")
        bodiless = method == "HEAD" or response.status in (204, 304)
        chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        length = decimal_in(headers.get("content-length", ""), 0, MAX_CONTENT_LENGTH)
        if response.status < 200:
            raise ExchangeError(f"unexpected status {response.status}")
        if not (bodiless or chunked or length is not None):
            # Without a framing, a truncated body can't be told from a complete one.
            raise ExchangeError("the answer has neither Content-Length nor chunks")
        return ResponseHead(
            status=response.status,
            headers=[
                (name.title(), value.replace("\r", " ").replace("\n", " "))
                for name, value in _end_to_end(response)
            ],
            length=None if chunked else length,
            bodiless=bodiless,
            leaving=headers.get(ENDPOINT_STATE, "").strip().lower() == LEAVING,
            gateway_problem="gateway-problem" in headers,
        )


def _end_to_end(response: BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    kept = end_to_end_headers({n.lower(): v for n, v in response.headers.items()}, GATEWAY_HEADERS)
    return ((name, value) for name, value in response.headers.items() if name.lower() in kept)
