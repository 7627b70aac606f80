"""Callers that don't keep to HTTP, as threads of the test."""

import socket
import threading
from collections.abc import Callable
from contextlib import suppress

__all__ = ["ENDLESS", "Crowd", "endlessly", "silently", "slowly", "without_reading"]

PIPELINED = 100
"""Requests in one write. One at a time they keep the processor of the test busy, not the server."""
PART_BYTES = 64 * 1024
SOCKET_TIMEOUT_S = 2.0
SLOW_INTERVAL_S = 0.5
RECONNECT_S = 0.1
JOIN_S = 10.0
SETTLE_S = 30.0

Send = Callable[[socket.socket, Callable[[], object], threading.Event], None]

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "request line": (b"GET /", b"a" * PART_BYTES),
    "header": (b"GET / HTTP/1.1\r\nHost: x\r\nX: ", b"a" * PART_BYTES),
    "headers": (b"GET / HTTP/1.1\r\nHost: x\r\n", b"X: a\r\n" * (PART_BYTES // 6)),
    "chunk size": (CHUNKED, b"0" * PART_BYTES),
    "chunk extension": (CHUNKED + b"5;x=", b"a" * PART_BYTES),
    "body": (CHUNKED, b"%x\r\n%b\r\n" % (PART_BYTES, b"a" * PART_BYTES)),
    "trailer": (CHUNKED + b"0\r\nX: ", b"a" * PART_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"X: a\r\n" * (PART_BYTES // 6)),
}
"""How each of them begins after the head, and what it repeats, by the part that never ends."""


class Crowd:
    """Connections that are kept until the crowd is dispersed; a context manager.

    :param send: what each member does on its connection, once that is open. It calls its second
        argument when it has sent what it sends, and stays until the event is set.
    :param again: whether a member whose connection ended connects again.
    """

    def __init__(self, address: str, send: Send, count: int, *, again: bool = False) -> None:
        host, _, port = address.rpartition(":")
        self._server = (host, int(port))
        self._send = send
        self._again = again
        self._is_over = threading.Event()
        self._settled = threading.Semaphore(0)
        self._members = [threading.Thread(target=self._run, daemon=True) for _ in range(count)]

    def __enter__(self) -> "Crowd":
        for member in self._members:
            member.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._is_over.set()
        for member in self._members:
            member.join(JOIN_S)

    def settle(self) -> None:
        """Wait until each member has sent what it sends, or its connection has ended."""
        for _ in self._members:
            if not self._settled.acquire(timeout=SETTLE_S):
                raise TimeoutError("the crowd is still sending")

    def _run(self) -> None:
        self._attempt()
        self._settled.release()
        while self._again and not self._is_over.wait(RECONNECT_S):
            self._attempt()

    def _attempt(self) -> None:
        with suppress(OSError), socket.socket() as sock:
            # Small, so that answers which nobody reads fill it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(SOCKET_TIMEOUT_S)
            sock.connect(self._server)
            self._send(sock, self._settled.release, self._is_over)


def endlessly(start: bytes, part: bytes, limit_bytes: int) -> Send:
    """Return what sends ``start``, then ``part`` again and again up to a limit, and stays."""

    def send(sock: socket.socket, sent: Callable[[], object], is_over: threading.Event) -> None:
        sock.sendall(start)
        for _ in range(limit_bytes // len(part)):
            sock.sendall(part)
        sent()
        is_over.wait()

    return send


def slowly(start: bytes) -> Send:
    """Return what sends ``start``, and then one byte each half second."""

    def send(sock: socket.socket, sent: Callable[[], object], is_over: threading.Event) -> None:
        sock.sendall(start)
        sent()
        while not is_over.wait(SLOW_INTERVAL_S):
            sock.sendall(b"1")

    return send


def silently(sock: socket.socket, sent: Callable[[], object], is_over: threading.Event) -> None:
    """Send nothing, and stay until the server closes the connection."""
    sent()
    while not is_over.is_set():
        with suppress(TimeoutError):
            if not sock.recv(1):
                return


def without_reading(request: bytes, times: int) -> Send:
    """Return what sends many requests and reads no answer."""

    def send(sock: socket.socket, sent: Callable[[], object], is_over: threading.Event) -> None:
        with suppress(TimeoutError):
            for _ in range(times // PIPELINED):
                sock.sendall(request * PIPELINED)
        sent()
        is_over.wait()

    return send
