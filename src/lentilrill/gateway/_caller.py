"""The caller's side of one request: reads the request body and sends the response."""

import socket
import struct
import time
from collections.abc import Iterator
from enum import Enum
from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPRequest

from lentilrill.gateway._limits import CHUNK_BYTES, MIN_RATE_BYTES_PER_S, MIN_RATE_GRACE_S
from lentilrill.gateway._problems import Problem
from lentilrill.telemetry import Event, log

__all__ = ["BodyError", "BodyErrorKind", "Caller", "MinimumRate"]

LINGER_RESET = struct.pack("ii", 1, 0)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BodyErrorKind(Enum):
    """Reasons why a request body can't be read."""

    TRUNCATED = "the body ended before its declared length"
    SLOW = "the body did not arrive in time"


class BodyError(Exception):
    """The request body could not be read completely."""

    def __init__(self, kind: BodyErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class MinimumRate:
    """Enforces a minimum average rate of one transfer.

    A slow caller could otherwise hold a slot indefinitely: each read or write makes progress, so
    no socket timeout expires, but the whole transfer would take days. The transfer fails once
    its average rate falls below the minimum.
    """

    def __init__(self) -> None:
        self._started = time.monotonic()
        self._byte_count = 0

    def add(self, count: int) -> None:
        """Count transferred bytes; raise ``TimeoutError`` if the transfer is too slow."""
        self._byte_count += count
        allowed_s = MIN_RATE_GRACE_S + self._byte_count / MIN_RATE_BYTES_PER_S
        if time.monotonic() - self._started > allowed_s:
            raise TimeoutError("the transfer is too slow")


class Caller:
    """The caller of one request, which gets exactly one response."""

    def __init__(self, req: HTTPRequest) -> None:
        self._req: Any = req
        self._response_started = False
        self.disconnected = False
        """Whether the caller is known to have disconnected."""

    @property
    def socket(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._req.conn.socket

    @property
    def response_started(self) -> bool:
        """Whether the response was started."""
        return self._response_started

    def read_body(self, length: int) -> bytes:
        """Return the complete body, whose declared length is ``length``."""
        return b"".join(self.stream_body(length))

    def stream_body(self, length: int) -> Iterator[bytes]:
        """Yield a body of a declared ``length``; raise :class:`BodyError` if it ends early."""
        rate = MinimumRate()
        remaining_bytes = length
        while remaining_bytes:
            try:
                # read1 returns after one socket read. A read that waits for a full chunk would
                # delay the rate check for hours if the caller sends single bytes.
                data = self._req.conn.rfile.read1(min(remaining_bytes, CHUNK_BYTES))
                self._req.rfile.remaining -= len(data)
                rate.add(len(data))
            except TimeoutError as error:
                raise BodyError(BodyErrorKind.SLOW) from error
            except OSError as error:
                raise BodyError(BodyErrorKind.TRUNCATED) from error
            if not data:
                raise BodyError(BodyErrorKind.TRUNCATED)
            remaining_bytes -= len(data)
            yield data

    def close_after_response(self) -> None:
        """Close the connection after the response, as unread body bytes may follow."""
        self._req.close_connection = True

    def send_response(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        length: int | None = None,
    ) -> None:
        """Send a complete response.

        :param length: declared length, if it differs from that of ``body`` (as for HEAD).
        """
        declared = len(body) if length is None else length
        length_header = [] if _has_no_body(status) else [("Content-Length", str(declared))]
        # Head and body go out in one write: a second write costs as much as the formatting.
        writer = self._req.conn.wfile
        writer.buffering = bool(body) and self._req.method != b"HEAD"
        try:
            self._send_head(status, headers + length_header)
        finally:
            buffering, writer.buffering = writer.buffering, False
        if buffering:
            self._req.write(body)

    def send_problem(self, problem: Problem, headers: list[tuple[str, str]]) -> None:
        """Send a problem document."""
        self.send_response(problem.kind.status, headers + problem.headers(), problem.body())

    def start_response(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Start a response whose body is sent by :meth:`write`."""
        # A long answer is held by its thread, which waits until the caller has read it.
        self._req.conn.wfile.blocks = True
        length_header = [] if length is None else [("Content-Length", str(length))]
        self._send_head(status, headers + length_header)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._req.write(data)

    def abort(self) -> None:
        """Abort a started response so that the caller can detect that it is incomplete.

        The connection is reset: the declared length or the last chunk is never reached, and a
        caller that reads until the connection closes gets an error.
        """
        self._req.chunked_write = False
        self._req.close_connection = True
        self._req.conn.reset_on_close = True
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def _send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._response_started:
            # Invariant: each request gets exactly one response. The caller would read a second
            # one as the response to its next request on this connection.
            log(Event.INVARIANT_BROKEN, rule="answered_once", status=status)
            self.abort()
            raise RuntimeError("a request was answered twice")
        self._response_started = True
        self._req.status = str(status).encode() + b" " + _REASONS.get(status, b"Status")
        self._req.outheaders.extend(
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        )
        self._req.ensure_headers_sent()


def _has_no_body(status: int) -> bool:
    return status < 200 or status in (204, 304)
