"""One HTTP exchange with an endpoint, with checks that the response is complete."""

import time
from collections.abc import Iterable, Iterator
from http.client import HTTPException

import msgspec
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse
from urllib3.util.wait import wait_for_read

from lentilrill.gateway._endpoints import Link
from lentilrill.gateway._heading import passed_on
from lentilrill.gateway._limits import BUFFERED_BYTES, CHUNK_BYTES

__all__ = ["BrokenError", "Exchange", "Head", "SilentError"]

ENDPOINT_STATE = "endpoint-state"
LEAVING = "leaving"
REQUEST_ID = "request-id"
OWN_HEADERS = frozenset(("content-length", ENDPOINT_STATE, REQUEST_ID, "gateway-problem"))
SILENCE_S = 60.0
"""Timeout of one read of a long response body."""


class BrokenError(Exception):
    """The exchange failed, or its response can't be verified to be complete."""


class SilentError(BrokenError):
    """The endpoint did not answer in time."""


class Head(msgspec.Struct, frozen=True):
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

    def __init__(self, link: Link, request: str) -> None:
        self._link = link
        self._request = request
        self._sock = link.connection.sock
        self._response: BaseHTTPResponse | None = None
        self._whole = False

    @property
    def whole(self) -> bool:
        """Whether the response was read completely."""
        return self._whole

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | Iterable[bytes] | None,
        timeout_s: float,
    ) -> None:
        """Send the request; raise :class:`BrokenError` if the connection fails."""
        connection = self._link.connection
        connection.timeout = timeout_s
        try:
            connection.request(
                method,
                target,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except TimeoutError as error:
            raise SilentError(f"sending timed out: {error}") from error
        except (OSError, HTTPException, HTTPError) as error:
            raise BrokenError(f"sending failed: {error}") from error

    def answers_within(self, timeout_s: float) -> bool:
        """Wait for the first byte of the response; return whether it arrived."""
        return wait_for_read(self._sock, max(0.0, timeout_s))

    def head(self, method: str, timeout_s: float) -> Head:
        """Return the response's status and headers; wait at most ``timeout_s`` seconds."""
        connection = self._link.connection
        connection.timeout = max(0.001, timeout_s)
        try:
            response = connection.getresponse()
        except TimeoutError as error:
            raise SilentError("no answer in time") from error
        except (OSError, HTTPException, HTTPError, ValueError) as error:
            raise BrokenError(f"no answer: {error!r}") from error
        self._response = response
        self._link.expect_slowness()
        return self._checked(method, response)

    def read_small(self, head: Head, answer_by: float) -> tuple[bytes, bool]:
        """Return the body up to the buffer limit, and whether it is complete."""
        if head.bodiless or head.length == 0:
            self._whole = True
            return b"", True
        if head.length is not None and head.length <= CHUNK_BYTES:
            return self._read_known(head.length, answer_by), True
        parts: list[bytes] = []
        size = 0
        for part in self._parts(answer_by):
            parts.append(part)
            size += len(part)
            if size > BUFFERED_BYTES:
                return b"".join(parts), False
        return b"".join(parts), True

    def _read_known(self, length: int, answer_by: float) -> bytes:
        """Return a body that fits one read; the declared length shows that it is complete."""
        body = next(self._parts(answer_by), b"")
        if len(body) != length:
            raise BrokenError(f"the answer broke off after {len(body)} of {length} bytes")
        self._whole = True
        return body

    def rest(self) -> Iterator[bytes]:
        """Yield the body after :meth:`read_small`; raise if it can't be verified as complete."""
        return self._parts(None)

    def _parts(self, answer_by: float | None) -> Iterator[bytes]:
        assert self._response is not None
        while True:
            left_s = SILENCE_S if answer_by is None else answer_by - time.monotonic()
            if left_s <= 0:
                raise SilentError("the answer did not end in time")
            try:
                # http.client closes the socket of a connection that ends with this response
                # once it has read the last byte.
                if self._sock.fileno() >= 0:
                    self._sock.settimeout(min(left_s, SILENCE_S))
                part = self._response.read(CHUNK_BYTES)
            except (OSError, HTTPException, HTTPError, ValueError) as error:
                raise BrokenError(f"the answer broke off: {error!r}") from error
            if not part:
                self._whole = True
                return
            yield part

    def _checked(self, method: str, response: BaseHTTPResponse) -> Head:
        headers = {name.lower(): value for name, value in response.headers.items()}
        owner = headers.get(REQUEST_ID, self._request)
        if owner != self._request:
            # A duplicated or late response on a reused connection would go to the wrong caller.
            # It is detected if the endpoint sends the request id back.
            raise BrokenError(f"the answer is for request {owner!r}")
        bodiless = method == "HEAD" or response.status in (204, 304)
        chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        length = headers.get("content-length", "")
        if response.status < 200:
            raise BrokenError(f"unexpected status {response.status}")
        if not (bodiless or chunked or length.isdecimal()):
            # Without a framing, a truncated body can't be told from a complete one.
            raise BrokenError("the answer has neither Content-Length nor chunks")
        return Head(
            status=response.status,
            headers=[
                (name.title(), value.replace("\r", " ").replace("\n", " "))
                for name, value in _end_to_end(response)
            ],
            length=int(length) if length.isdecimal() and not chunked else None,
            bodiless=bodiless,
            leaving=headers.get(ENDPOINT_STATE, "").strip().lower() == LEAVING,
            gateway_problem="gateway-problem" in headers,
        )


def _end_to_end(response: BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    kept = passed_on({n.lower(): v for n, v in response.headers.items()}, OWN_HEADERS)
    return ((name, value) for name, value in response.headers.items() if name.lower() in kept)
