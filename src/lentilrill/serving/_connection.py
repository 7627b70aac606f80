"""Connections and requests of cheroot's server whose requests are received before they run."""

import contextlib
import os
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from lentilrill.serving._reader import RequestReader
from lentilrill.serving._receipt import Framing, Receipt, Received
from lentilrill.serving._writer import AnswerWriter

__all__ = ["BoundedConnection", "BoundedRequest", "Stage"]


class Stage(Enum):
    """What the server's loop does with a connection."""

    RECEIVING = auto()
    SENDING = auto()
    """An answer that the caller has not read yet is sent."""
    DISCARDING = auto()
    """Input is read and dropped after a refusal; a reset would take the refusal away."""


class BoundedRequest(HTTPRequest):
    """A request whose body has been received, or is streamed."""

    def read_request_headers(self) -> bool:
        """Read the headers, and take the framing of the body from what was received."""
        request: Any = self
        if not super().read_request_headers():
            return False
        received: Received = request.conn.received
        if received.framing is Framing.UNKNOWN:
            request.close_connection = True
            self.simple_response("400 Bad Request", "the framing of the body is not allowed")
            return False
        if received.framing is Framing.UNREAD:
            request.close_connection = True
        if received.is_decoded:
            request.chunked_read = False
            del request.inheaders[b"Transfer-Encoding"]
            request.inheaders[b"Content-Length"] = str(received.length).encode()
        return True


class BoundedConnection(HTTPConnection):
    """A connection that the server's loop reads without blocking."""

    RequestHandlerClass = BoundedRequest
    reset_on_close = False

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        del makefile
        super().__init__(server, sock, lambda *_: None)
        self.rfile: Any = RequestReader()
        self.wfile: Any = AnswerWriter(sock, "wb", self.wbufsize)
        self.stage = Stage.RECEIVING
        self.receipt = Receipt(server.limits.receipt())
        self.received = Received(b"", Framing.HELD)
        self.deadline = self.receipt.deadline
        self.counted_bytes = 0
        """Bytes of this connection that are counted as held."""
        self.is_kept = False
        """Whether a request was answered, and nothing of the next one has come."""
        self.is_closing = False
        self.on_closed: Callable[[BoundedConnection], None] = lambda _: None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for this connection."""
        return self.receipt.held_bytes + len(self.received.data) + len(self.wfile.unsent)

    def take(self, received: Received) -> None:
        """Take a request that the next thread is to serve."""
        self.received = received
        rest = 0
        if received.framing is Framing.STREAMED:
            rest = received.length - _body_bytes(received.data)
        self.rfile = RequestReader(received.data, self.socket, rest)

    def end_request(self) -> None:
        """Release the request that was served."""
        self.received = Received(b"", Framing.HELD)
        self.rfile = RequestReader()
        self.wfile.blocks = False

    @property
    def has_unread_body(self) -> bool:
        """Whether bytes of the request that was served are still to come."""
        is_read = self.received.framing in (Framing.HELD, Framing.STREAMED)
        return not is_read or self.rfile.rest_bytes > 0

    def close(self) -> None:
        """Close the connection once its answer is sent; with a reset if that was asked for."""
        server: Any = self.server
        if server.ready and not self.reset_on_close:
            server.close_later(self)
            return
        if not self.reset_on_close:
            # The server stops, and its loop with it.
            self.wfile.blocks = True
            with contextlib.suppress(OSError):
                self.wfile.flush()
        self.close_now()

    def close_now(self) -> None:
        """Close the connection, whatever is unsent."""
        self.rfile.close()
        # The writer would try to send it when it is released.
        del self.wfile.unsent[:]
        self.receipt = Receipt(self.server.limits.receipt())
        self.received = Received(b"", Framing.HELD)
        with contextlib.suppress(OSError):
            if not self.reset_on_close:
                self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.on_closed(self)

    def send_now(self, data: bytes) -> None:
        """Send a short answer as far as the connection takes it now."""
        with contextlib.suppress(OSError):
            os.write(self.socket.fileno(), data)


def _body_bytes(data: bytes) -> int:
    return len(data) - data.index(b"\r\n\r\n") - 4
