"""Peers whose answers or messages have no end, and the measures of a process that meets them."""

import contextlib
import itertools
import re
import socket
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path

__all__ = [
    "ENDLESS_ANSWERS",
    "OddServer",
    "descriptors_of",
    "peak_mb_of",
    "threads_of",
]

READ_BYTES = 65536
PART = b"x" * READ_BYTES
MAX_SENT_BYTES = 400_000_000
"""Maximum length of one answer; then its connection stays open and silent."""
SLOW_INTERVAL_S = 0.25
"""Time between two bytes of a slow answer: less than any timeout of a single read."""
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = OK + b"Content-Length: 100000000000\r\n\r\n"
CHUNK = b"10000\r\n" + PART + b"\r\n"


def peak_mb_of(pid: int) -> float:
    """Return the peak resident memory of a process, in megabytes."""
    return _status_kb(pid, "VmHWM") / 1000


def threads_of(pid: int) -> int:
    """Return the number of threads of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/task").iterdir())


def descriptors_of(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def _status_kb(pid: int, name: str) -> int:
    match = re.search(rf"^{name}:\s+(\d+) kB$", Path(f"/proc/{pid}/status").read_text(), re.M)
    assert match is not None
    return int(match[1])


def _endless(begin: bytes, part: bytes) -> Iterator[bytes]:
    yield begin
    yield from itertools.repeat(part)


def _slow(answer: bytes) -> Iterator[bytes]:
    for byte in answer:
        yield bytes((byte,))
        time.sleep(SLOW_INTERVAL_S)


def _unpacked() -> Iterator[bytes]:
    """An answer of zeros, of which a megabyte is packed into a kilobyte."""
    packer = zlib.compressobj(9, wbits=31)
    yield OK + b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    for _ in range(4000):
        data = packer.compress(bytes(1_000_000))
        if data:
            yield b"%x\r\n%s\r\n" % (len(data), data)


ENDLESS_ANSWERS: dict[str, Callable[[], Iterator[bytes]]] = {
    "status_line": lambda: _endless(b"HTTP/1.1 200 ", PART),
    "header_line": lambda: _endless(OK + b"X: ", PART),
    "header_lines": lambda: _endless(OK, b"X: x\r\n" * 8192),
    "interim_answers": lambda: _endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "chunk_size_line": lambda: _endless(CHUNKED, b"0" * READ_BYTES),
    "chunk_extension": lambda: _endless(CHUNKED + b"1;", PART),
    "trailer_line": lambda: _endless(CHUNKED + b"0\r\nX: ", PART),
    "trailer_lines": lambda: _endless(CHUNKED + b"0\r\n", b"X: x\r\n" * 8192),
    "body_with_length": lambda: _endless(LENGTH, PART),
    "body_in_chunks": lambda: _endless(CHUNKED, CHUNK),
    "unpacked_body": _unpacked,
    "slow_head": lambda: _slow(OK + b"X: " + PART),
    "slow_chunk_size_line": lambda: _slow_after(CHUNKED, b"0" * READ_BYTES),
    "slow_trailer": lambda: _slow_after(CHUNKED + b"0\r\n", b"X: x\r\n" * READ_BYTES),
    "slow_body": lambda: _slow_after(LENGTH, PART),
}
"""Answers that don't end, by the part that doesn't."""


def _slow_after(begin: bytes, rest: bytes) -> Iterator[bytes]:
    yield begin
    yield from _slow(rest)


class OddServer:
    """A relay to a server; while it is odd, it gives each connection one answer that doesn't end.

    Such answers go on when it is no longer odd, which holds for new connections only.

    :ivar odd: returns the parts of an answer; ``None`` if connections are relayed.
    :ivar odd_answers: number of answers without end that were begun.
    """

    def __init__(self, target: str) -> None:
        self.odd: Callable[[], Iterator[bytes]] | None = None
        self.odd_answers = 0
        self._target = _parse(target)
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all connections."""
        self._closed.set()
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def become_odd(self, answer: Callable[[], Iterator[bytes]]) -> None:
        """Give all new connections an answer, and end those that are relayed."""
        self.odd = answer
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(client)
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            with client, contextlib.suppress(OSError):
                odd = self.odd
                if odd is None:
                    self._relay(client)
                else:
                    self._answer(client, odd())
        finally:
            with self._lock:
                self._open.discard(client)

    def _answer(self, client: socket.socket, parts: Iterator[bytes]) -> None:
        if not client.recv(READ_BYTES):
            return
        self.odd_answers += 1
        sent = 0
        for part in parts:
            if self._closed.is_set() or sent > MAX_SENT_BYTES:
                break
            client.sendall(part)
            sent += len(part)
        self._closed.wait()

    def _relay(self, client: socket.socket) -> None:
        with socket.create_connection(self._target) as upstream:
            back = threading.Thread(target=_pump, args=(upstream, client), daemon=True)
            back.start()
            _pump(client, upstream)
            back.join()


def _pump(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(READ_BYTES):
            sink.sendall(data)
    for end in (source, sink):
        with contextlib.suppress(OSError):
            end.shutdown(socket.SHUT_RDWR)


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
