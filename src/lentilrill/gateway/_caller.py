"""The caller's side of one request: reading its body, giving its one answer."""

import socket
import struct
import time
from collections.abc import Iterator
from enum import Enum
from http import HTTPStatus
from typing import Any

from cheroot import errors
from cheroot.server import ChunkedRFile, HTTPRequest

from lentilrill.gateway._limits import (
    BUFFERED_BYTES,
    CHUNK_BYTES,
    SLOW_GRACE_S,
    SLOW_RATE_BYTES_PER_S,
)
from lentilrill.gateway._problems import Problem
from lentilrill.telemetry import Event, log

__all__ = ["BodyError", "BodyTrouble", "Caller", "Pace"]

CHUNK_OVERHEAD_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BodyTrouble(Enum):
    """What is wrong with a request body."""

    TRUNCATED = "the body ended before its declared length"
    SLOW = "the body did not arrive in time"
    MALFORMED = "the chunked body is malformed"
    LONG = "a chunked body is longer than what is held; send Content-Length"


class BodyError(Exception):
    """The request body can't be read to its end."""

    def __init__(self, trouble: BodyTrouble) -> None:
        super().__init__(trouble.value)
        self.trouble = trouble


class Pace:
    """Least average speed of a transfer.

    Guard against a slow caller that holds a slot for ever: each read or write makes progress,
    so that no timeout of a single one shows it, but the whole would take days. The transfer
    ends once its average falls below the least rate.
    """

    def __init__(self) -> None:
        self._began = time.monotonic()
        self._moved = 0

    def moved(self, count: int) -> None:
        """Count bytes; raise ``TimeoutError`` if the transfer is too slow."""
        self._moved += count
        allowed_s = SLOW_GRACE_S + self._moved / SLOW_RATE_BYTES_PER_S
        if time.monotonic() - self._began > allowed_s:
            raise TimeoutError("the transfer is too slow")


class Caller:
    """One request's caller. It is answered exactly once."""

    def __init__(self, req: HTTPRequest) -> None:
        self._req: Any = req
        self._answered = False
        self.gone = False
        """Whether the caller was found to have left."""

    @property
    def socket(self) -> socket.socket:
        """The caller's connection."""
        return self._req.conn.socket

    @property
    def answered(self) -> bool:
        """Whether the answer was begun."""
        return self._answered

    def read_known(self, length: int) -> bytes:
        """Return the whole body of a declared ``length``."""
        return b"".join(self.stream(length))

    def stream(self, length: int) -> Iterator[bytes]:
        """Yield a body of a declared ``length``; raise :class:`BodyError` if it stays short."""
        pace = Pace()
        left = length
        while left:
            try:
                # One read of the socket at a time: a read that waits for a full chunk would
                # hide for hours that the caller sends it byte by byte.
                data = self._req.conn.rfile.read1(min(left, CHUNK_BYTES))
                self._req.rfile.remaining -= len(data)
                pace.moved(len(data))
            except TimeoutError as error:
                raise BodyError(BodyTrouble.SLOW) from error
            except OSError as error:
                raise BodyError(BodyTrouble.TRUNCATED) from error
            if not data:
                raise BodyError(BodyTrouble.TRUNCATED)
            left -= len(data)
            yield data

    def read_chunked(self) -> bytes:
        """Return the whole body of a chunked request, which is bounded."""
        limit = BUFFERED_BYTES + CHUNK_OVERHEAD_BYTES
        reader: Any = ChunkedRFile(self._req.conn.rfile, limit)
        try:
            body = reader.read()
            for _ in reader.read_trailer_lines():
                pass
        except TimeoutError as error:
            raise BodyError(BodyTrouble.SLOW) from error
        except errors.MaxSizeExceeded as error:
            raise BodyError(BodyTrouble.LONG) from error
        except ValueError as error:
            raise BodyError(BodyTrouble.MALFORMED) from error
        except OSError as error:
            # The reader tells a chunk over its limit by a bare OSError.
            long = "Too Large" in str(error)
            raise BodyError(BodyTrouble.LONG if long else BodyTrouble.TRUNCATED) from error
        if len(body) > BUFFERED_BYTES:
            raise BodyError(BodyTrouble.LONG)
        return body

    def close_after(self) -> None:
        """Close the connection after the answer: its next bytes are not a request."""
        self._req.close_connection = True
        has_body = (
            self._req.chunked_read or self._req.inheaders.get(b"Content-Length", b"0") != b"0"
        )
        self._req.conn.unread = has_body

    def answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        length: int | None = None,
    ) -> None:
        """Give a whole answer.

        :param length: declared length, if it is not that of ``body`` (as for HEAD).
        """
        declared = len(body) if length is None else length
        lengths = [] if _is_bodiless(status) else [("Content-Length", str(declared))]
        # One write for head and body: a second one costs as much as the whole formatting.
        writer = self._req.conn.wfile
        writer.held = bool(body) and self._req.method != b"HEAD"
        try:
            self._begin(status, headers + lengths)
        finally:
            held, writer.held = writer.held, False
        if held:
            self._req.write(body)

    def refuse(self, problem: Problem, headers: list[tuple[str, str]]) -> None:
        """Answer with a problem document."""
        self.answer(problem.kind.status, headers + problem.headers(), problem.body())

    def begin(self, status: int, headers: list[tuple[str, str]], length: int | None) -> None:
        """Begin an answer whose body follows by :meth:`write`."""
        lengths = [] if length is None else [("Content-Length", str(length))]
        self._begin(status, headers + lengths)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._req.write(data)

    def abort(self) -> None:
        """End a begun answer so that the caller can tell that it is not whole.

        The connection is reset, so neither a declared length nor the last chunk is reached,
        and a caller that reads until the close gets an error.
        """
        self._req.chunked_write = False
        self._req.close_connection = True
        self._req.conn.reset = True
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._answered:
            # Invariant: a request is answered exactly once. A second answer would be read as
            # the answer to the caller's next request on this connection.
            log(Event.INVARIANT_BROKEN, rule="answered_once", status=status)
            self.abort()
            raise RuntimeError("a request was answered twice")
        self._answered = True
        self._req.status = str(status).encode() + b" " + _REASONS.get(status, b"Status")
        self._req.outheaders.extend(
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        )
        self._req.ensure_headers_sent()


def _is_bodiless(status: int) -> bool:
    return status < 200 or status in (204, 304)
