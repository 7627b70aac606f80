"""A small HTTP server based on cheroot, with the connection faults that the stand-ins share."""

import contextlib
import logging
import select
import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

import msgspec
from cheroot.server import Gateway, HTTPServer

__all__ = ["Call", "Server"]

MAX_KEEP_ALIVE_CONNECTIONS = 1000
BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 0.2
POLL_INTERVAL_S = 0.05
WAKE_INTERVAL_S = 0.01
JSON_TYPE = "application/json"


class TruncatedBodyError(Exception):
    """A request whose connection ended before its body was complete."""


class Call:
    """One request, with methods to answer it or to break its connection."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.method = request.method.decode()
        self.path = request.path.decode()
        self.query = request.qs.decode()
        self._body: bytes | None = None

    @property
    def body(self) -> bytes:
        """The whole request body.

        :raises TruncatedBodyError: if the connection ended before it was complete.
        """
        if self._body is None:
            body: bytes = self._request.rfile.read()
            if len(body) < int(self.header("Content-Length", "0")):
                raise TruncatedBodyError
            self._body = body
        return self._body

    def header(self, name: str, default: str = "") -> str:
        """Return a request header; ``name`` is in title case."""
        return self._request.inheaders.get(name.encode(), default.encode()).decode()

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Answer with a body of known length."""
        self.begin(status, {"Content-Length": str(len(body))} | (headers or {}))
        self._request.write(body)

    def answer_json(self, value: Any, status: int = 200) -> None:
        """Answer with ``value`` encoded as JSON."""
        self.answer(status, msgspec.json.encode(value), {"Content-Type": JSON_TYPE})

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send status line and headers; without a Content-Length the body is chunked."""
        _ = self.body
        self._request.status = str(status).encode() + b" Stand-in"
        self._request.outheaders = [(k.encode(), v.encode()) for k, v in headers.items()]
        self._request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of the body without buffering."""
        self._request.write(data)

    def write_raw(self, data: bytes) -> None:
        """Send bytes outside the HTTP framing of the response."""
        self._request.conn.wfile.write(data)

    def disconnect(self, reset: bool = False) -> None:
        """Close the connection without sending the response, or the rest of it.

        :param reset: whether the client gets a TCP reset instead of an orderly close.
        """
        self._request.sent_headers = True
        self._request.chunked_write = False
        self._request.close_connection = True
        sock = self._request.conn.socket
        if reset:
            self._request.conn.linger = True  # keeps cheroot from an orderly close
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        else:
            sock.shutdown(socket.SHUT_RDWR)

    def client_disconnected(self) -> bool:
        """Whether the client closed the connection."""
        sock = self._request.conn.socket
        try:
            if not select.select([sock], [], [], 0)[0]:
                return False
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    def block_while(self, condition: Callable[[], bool]) -> None:
        """Block until ``condition`` returns false or the client closes the connection."""
        pause = threading.Event()
        while condition() and not self.client_disconnected():
            pause.wait(POLL_INTERVAL_S)


class Server:
    """An HTTP server that passes each :class:`Call` and its address to ``handle`` on a pool thread.

    :param address: ``ip:port``; port 0 selects a free one.
    :param threads: calls served at once; more wait in the accept queue.
    """

    def __init__(self, address: str, handle: Callable[[Call, str], None], threads: int) -> None:
        self._server = _prepare_server(address, threads)
        host = address.rpartition(":")[0]
        self.address = f"{host}:{self._server.bind_addr[1]}"
        self._server.gateway = _gateway_class(handle, self.address)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def close(self) -> None:
        """Stop serving and close every open connection."""
        stopper = threading.Thread(target=self._server.stop)
        stopper.start()
        while stopper.is_alive():
            self._wake_server()
            stopper.join(WAKE_INTERVAL_S)
        self._thread.join()

    def _wake_server(self) -> None:
        # cheroot checks its stop flag only after a new connection or a 0.5 s timeout.
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), timeout=WAKE_INTERVAL_S).close()


def _prepare_server(address: str, threads: int) -> Any:
    host, _, port = address.rpartition(":")
    server: Any = HTTPServer((host, int(port)), Gateway, minthreads=threads)
    options = {
        "keep_alive_conn_limit": MAX_KEEP_ALIVE_CONNECTIONS,
        "request_queue_size": BACKLOG,
        "shutdown_timeout": SHUTDOWN_TIMEOUT_S,
        "error_log": _log,
    }
    for name, value in options.items():
        setattr(server, name, value)
    server.prepare()
    return server


def _gateway_class(handle: Callable[[Call, str], None], address: str) -> type[Gateway]:
    class CallGateway(Gateway):
        def respond(self) -> None:
            call = Call(self.req)
            try:
                handle(call, address)
            except TruncatedBodyError:
                call.disconnect(reset=True)

    return CallGateway


def _log(message: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
    if level >= logging.ERROR:
        logging.getLogger("standins").log(level, message, exc_info=traceback)
