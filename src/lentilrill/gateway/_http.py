"""cheroot's HTTP server, adapted to send problem documents and to abort responses detectably."""

import contextlib
import socket
import time
from typing import Any

from cheroot.makefile import MakeFile, StreamWriter
from cheroot.server import Gateway as CherootGateway
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from lentilrill.gateway._limits import CALLER_TIMEOUT_S, MAX_HEADER_BYTES
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind
from lentilrill.telemetry import Event, log

__all__ = ["CallerServer"]

LISTEN_BACKLOG = 1024
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 256 * 1024

KINDS_BY_STATUS = {
    400: ProblemKind.MALFORMED,
    405: ProblemKind.METHOD,
    408: ProblemKind.SLOW,
    413: ProblemKind.TOO_LARGE,
    414: ProblemKind.MALFORMED,
    501: ProblemKind.MALFORMED,
    505: ProblemKind.MALFORMED,
}


class _Request(HTTPRequest):
    """A request whose parse errors are reported by problem documents."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a problem document of the closest kind, and close the connection."""
        code = int(str(status)[:3])
        kind = KINDS_BY_STATUS.get(code, ProblemKind.INTERNAL)
        # Before the request is parsed, nothing can have been sent to an endpoint.
        outcome = Outcome.UNKNOWN if self.ready else Outcome.NOT_RUN
        problem = Problem(kind, msg or str(status)[4:], outcome)
        body = problem.body()
        lines = [f"HTTP/1.1 {kind.status} {kind.value[0]}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in problem.headers()]
        lines += ["Connection: close", "", ""]
        self.close_connection = True
        self.conn.wfile.write("\r\n".join(lines).encode("latin-1") + body)


class _Writer(StreamWriter):
    """A writer that can buffer a response head, so that head and body go out in one write."""

    buffering = False

    def write(self, b: Any) -> Any:
        """Write ``b``, or only buffer it."""
        if not self.buffering:
            return super().write(b)
        writer: Any = self
        writer._write_buf.extend(b)
        return len(b)


class _Connection(HTTPConnection):
    """A connection that can be reset."""

    RequestHandlerClass = _Request
    reset_on_close = False
    has_unread_body = False

    def __init__(self, server: HTTPServer, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self.wfile = _Writer(sock, "wb", self.wbufsize)

    def close(self) -> None:
        """Close the connection; without the orderly shutdown if it is to be reset."""
        if self.reset_on_close:
            self.rfile.close()
            self.socket.close()
            return
        if self.has_unread_body:
            self._discard_unread_body()
        super().close()

    def _discard_unread_body(self) -> None:
        """Read and discard the rest of a request body for a short time after an early refusal.

        If the socket were closed while the caller still sends its body, the kernel would answer
        with a reset, and the caller would lose the refusal before it has read it.
        """
        deadline = time.monotonic() + DISCARD_TIMEOUT_S
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := deadline - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(DISCARD_CHUNK_BYTES):
                    return


class CallerServer(HTTPServer):
    """cheroot's HTTP server with the limits of the request path."""

    ConnectionClass = _Connection
    timeout = CALLER_TIMEOUT_S
    max_request_header_size = MAX_HEADER_BYTES
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self, address: str, gateway: type[CherootGateway], threads: int, max_body_bytes: int
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)), gateway, minthreads=threads, server_name="lentilrill"
        )
        self.max_request_body_size = max_body_bytes
        self.keep_alive_conn_limit = 2 * threads

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log errors that cheroot reports."""
        del traceback
        if level >= 30:
            log(Event.CALLER_FAILED, error=msg)
