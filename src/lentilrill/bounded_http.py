"""HTTP connections on which an answer has limits, whatever the peer sends."""

import http.client
import io
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, cast

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.response import BaseHTTPResponse

__all__ = [
    "MAX_HEAD_BYTES",
    "AnswerTooLongError",
    "BoundedConnection",
    "BoundedPool",
    "ByteBudget",
    "limit_answer",
]

MAX_HEAD_BYTES = 64 * 1024
"""Maximum length of status line and headers together, with those of interim answers."""
LATE_READ_TIMEOUT_S = 0.02
"""Maximum wait for each further part of an answer after its deadline: parts that arrived in time
are already in the buffer of the socket."""
MAX_LATE_READS = 64
"""Maximum number of parts, of up to 64 KiB each, that are read after the deadline, so that a slow
answer ends."""


class AnswerTooLongError(http.client.HTTPException):
    """An answer, or a part of it, is longer than its limit."""


class ByteBudget:
    """A maximum number of bytes that all answers of a process hold together while they arrive."""

    def __init__(self, max_bytes: int) -> None:
        self._left = max_bytes
        self._lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Take bytes; return whether they were left."""
        with self._lock:
            if count > self._left:
                return False
            self._left -= count
            return True

    def give_back(self, count: int) -> None:
        """Give back bytes that were taken."""
        with self._lock:
            self._left += count


class _AnswerReader(io.RawIOBase):
    """Reads an answer from a socket within a number of bytes and a deadline.

    Everything that arrives counts: lines of chunks and trailers as well as the body.
    """

    def __init__(self, sock: socket.socket, clock: Callable[[], float]) -> None:
        super().__init__()
        self._sock = sock
        self._source = cast(io.RawIOBase, sock.makefile("rb", buffering=0))
        self._clock = clock
        self._left_bytes = 0
        self._deadline = 0.0
        self._late_reads = 0

    def limit(self, max_bytes: int, deadline: float) -> None:
        """Set how many more bytes may arrive, and until when."""
        self._left_bytes = max_bytes
        self._deadline = deadline
        self._late_reads = 0

    def readable(self) -> bool:
        """Whether it can be read, as always."""
        return True

    def fileno(self) -> int:
        """The descriptor of the socket."""
        return self._source.fileno()

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived, as far as it is within the limits."""
        if self._left_bytes <= 0:
            raise AnswerTooLongError("the answer is longer than its limit")
        self._shorten_timeout()
        count = self._source.readinto(memoryview(buffer)[: self._left_bytes])
        self._left_bytes -= count or 0
        return count

    def _shorten_timeout(self) -> None:
        left_s = self._deadline - self._clock()
        timeout_s = self._sock.gettimeout()
        if left_s <= 0:
            # What arrived in time counts: an overloaded host may read it late.
            self._late_reads += 1
            if self._late_reads > MAX_LATE_READS:
                raise TimeoutError("the answer did not end in time")
            self._sock.settimeout(LATE_READ_TIMEOUT_S)
        # Each change is a system call, so a read may last somewhat beyond the deadline.
        elif timeout_s is None or left_s < timeout_s / 2:
            self._sock.settimeout(left_s)

    def close(self) -> None:
        """Close it, so that the socket may be closed."""
        self._source.close()
        super().close()


class _Source:
    """What :class:`http.client.HTTPResponse` needs of a socket."""

    def __init__(self, reader: _AnswerReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> io.BufferedReader:
        del mode
        return io.BufferedReader(self._reader)


class BoundedConnection(HTTPConnection):
    """A connection on which the head of an answer has a length and a deadline.

    The deadline of the head is the read timeout after the request. What follows the head has the
    limits of :meth:`limit`.

    :param clock: the clock of deadlines.
    """

    def __init__(
        self, *arguments: Any, clock: Callable[[], float] = time.monotonic, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._clock = clock
        self._reader: _AnswerReader | None = None

    def limit(self, max_bytes: int, deadline: float) -> None:
        """Set how many more bytes of the answer may arrive, and until when."""
        if self._reader is not None:
            self._reader.limit(max_bytes, deadline)

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, *_: Any, method: str | None = None, **__: Any
    ) -> http.client.HTTPResponse:
        """Return the response whose head is to be read."""
        timeout_s = sock.gettimeout()
        deadline = self._clock() + timeout_s if timeout_s is not None else float("inf")
        self._reader = _AnswerReader(sock, self._clock)
        self._reader.limit(MAX_HEAD_BYTES, deadline)
        return http.client.HTTPResponse(cast(Any, _Source(self._reader)), method=method)


class BoundedPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = BoundedConnection


def limit_answer(response: BaseHTTPResponse, max_bytes: int, deadline: float) -> None:
    """Set how many more bytes of an answer may arrive, and until when."""
    if isinstance(response.connection, BoundedConnection):
        response.connection.limit(max_bytes, deadline)
