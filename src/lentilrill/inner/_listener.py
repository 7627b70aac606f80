"""Listening side of the inner protocol without keys, within bounds whoever connects."""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable

from lentilrill.inner._zmtp import ProtocolError, Receiver

__all__ = ["MAX_CONNECTIONS", "PlainListener"]

MAX_CONNECTIONS = 700
"""Twice the hosts of the largest site, each of which opens one connection to each other. With half
as many to others, of two descriptors each, a third of a machine's descriptors."""
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Maximum length of all messages together that have begun to arrive, but for small ones."""
SMALL_BYTES = 64 * 1024
BACKLOG = 512
READ_BYTES = 64 * 1024
SOCKET_BUFFER_BYTES = 128 * 1024
"""What the kernel keeps for each connection that is not read yet counts as the process's memory."""
HANDSHAKE_TIMEOUT_S = 5.0
MESSAGE_TIMEOUT_S = 10.0
"""Time for one message to arrive; the longest takes a second on the slowest links."""
SILENCE_TIMEOUT_S = 20.0
"""Peers send a ping every two seconds, and give a connection up after six without an answer."""
CHECK_INTERVAL_S = 1.0
ACCEPT_PAUSE_S = 0.1
"""Pause after a connection could not be accepted, since the process has no descriptor left."""


class _Connection:
    __slots__ = ("has_sent", "heard_at", "ip", "message_at", "opened_at", "receiver", "sock")

    def __init__(self, sock: socket.socket, ip: str, receiver: Receiver, now: float) -> None:
        self.sock = sock
        self.ip = ip
        self.receiver = receiver
        self.opened_at = self.heard_at = self.message_at = now
        self.has_sent = False


class PlainListener:
    """Accepts connections of other processes and passes on the messages that arrive.

    Messages are passed on as they arrive, and nothing is read meanwhile, so a sender waits that
    sends faster than they are handled.

    :param address: ``ip:port`` to listen on.
    :param on_message: called with each message; returns whether it was well-formed.
    :param on_refused: called with the peer and the reason when a connection is closed.
    """

    def __init__(
        self,
        address: str,
        on_message: Callable[[bytes], bool],
        on_refused: Callable[[str, str], None],
        max_message_bytes: int,
        max_connections: int,
    ) -> None:
        self._on_message = on_message
        self._on_refused = on_refused
        self._max_message_bytes = max_message_bytes
        self._max_connections = max_connections
        self._connections_by_ip: dict[str, dict[_Connection, None]] = {}
        self._count = 0
        self._checked_at = time.monotonic()
        self._accepts_from = 0.0
        self._selector = selectors.DefaultSelector()
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host.strip("[]"), int(port)), family=family, backlog=BACKLOG
        )
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._selector.register(self._socket, selectors.EVENT_READ)

    def receive(self, wait_s: float) -> None:
        """Wait for connections or messages, and handle those that are there."""
        for key, _ in self._selector.select(wait_s):
            if key.data is None:
                self._accept()
            else:
                self._read(key.data)
        now = time.monotonic()
        if now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._close_late(now)

    def close(self) -> None:
        """Close all connections."""
        for connections in list(self._connections_by_ip.values()):
            for connection in list(connections):
                self._remove(connection)
        self._socket.close()
        self._selector.close()

    def _accept(self) -> None:
        if time.monotonic() < self._accepts_from:
            time.sleep(ACCEPT_PAUSE_S / 10)
            return
        try:
            sock, peer = self._socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            self._accepts_from = time.monotonic() + ACCEPT_PAUSE_S
            self._on_refused("unknown", f"not accepted: {error}")
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        receiver = Receiver(self._max_message_bytes)
        connection = _Connection(sock, peer[0], receiver, time.monotonic())
        self._connections_by_ip.setdefault(connection.ip, {})[connection] = None
        self._count += 1
        self._selector.register(sock, selectors.EVENT_READ, connection)
        if self._send_answer(connection) and self._count > self._max_connections:
            self._refuse(self._least_needed(), "too many connections")

    def _least_needed(self) -> _Connection:
        """Return a connection of the address that has the most.

        Of these it is the oldest that has not sent a message, else the one that was silent longest.
        """
        most = max(self._connections_by_ip.values(), key=len)
        return min(most, key=lambda each: (each.has_sent, each.heard_at))

    def _read(self, connection: _Connection) -> None:
        if connection.sock.fileno() < 0:
            return  # closed since the selector returned
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._remove(connection)
            return
        now = time.monotonic()
        connection.heard_at = now
        receiver = connection.receiver
        if not receiver.is_within_frame:
            connection.message_at = now
        try:
            for message in receiver.feed(data):
                connection.message_at = time.monotonic()
                connection.has_sent |= self._on_message(message)
            self._check_buffered(receiver)
        except ProtocolError as error:
            self._refuse(connection, str(error))
            return
        self._send_answer(connection)

    def _check_buffered(self, receiver: Receiver) -> None:
        if receiver.expected_bytes <= SMALL_BYTES:
            return
        expected = (
            each.receiver.expected_bytes
            for connections in self._connections_by_ip.values()
            for each in connections
        )
        if sum(size for size in expected if size > SMALL_BYTES) > MAX_BUFFERED_BYTES:
            raise ProtocolError("too many long messages arrive at once")

    def _send_answer(self, connection: _Connection) -> bool:
        """Send what the protocol requires; return whether the connection is still open."""
        answer = connection.receiver.answer
        if not answer:
            return True
        try:
            sent = connection.sock.send(answer)
        except OSError:
            sent = 0
        if sent < len(answer):
            self._refuse(connection, "the peer does not read")
            return False
        answer.clear()
        return True

    def _close_late(self, now: float) -> None:
        for connections in list(self._connections_by_ip.values()):
            for connection in list(connections):
                reason = _lateness(connection, now)
                if reason:
                    self._refuse(connection, reason)

    def _refuse(self, connection: _Connection, reason: str) -> None:
        self._remove(connection)
        self._on_refused(connection.ip, reason)

    def _remove(self, connection: _Connection) -> None:
        connections = self._connections_by_ip[connection.ip]
        del connections[connection]
        if not connections:
            del self._connections_by_ip[connection.ip]
        self._count -= 1
        self._selector.unregister(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()


def _lateness(connection: _Connection, now: float) -> str:
    """Return for what a connection is closed; empty if it is in time."""
    receiver = connection.receiver
    if not receiver.is_open and now - connection.opened_at > HANDSHAKE_TIMEOUT_S:
        return "no handshake"
    if receiver.is_within_frame and now - connection.message_at > MESSAGE_TIMEOUT_S:
        return "a message that does not end"
    if now - connection.heard_at > SILENCE_TIMEOUT_S:
        return "silence"
    return ""
