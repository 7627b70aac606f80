"""The loop of a server, which receives requests, sends what callers are slow to read, and expires
connections."""

import contextlib
import os
import selectors
import socket
import threading
import time
from typing import Any

from cheroot.connections import ConnectionManager

from lentilrill.serving._connection import BoundedConnection, Stage
from lentilrill.serving._limits import ServingLimits
from lentilrill.serving._notices import Notices
from lentilrill.serving._receipt import CONTINUE, Framing, Received, RefusalKind

__all__ = ["BoundedConnectionManager"]

READ_BYTES = 64 * 1024
DISCARD_S = 1.0
"""Time for which input is still read after a refusal."""
ACCEPT_PAUSE_S = 0.2
"""Pause after the kernel refused a new connection, as for lack of descriptors."""
Step = Received | RefusalKind | None


class BoundedConnectionManager(ConnectionManager):
    """Hands a connection to a thread only when a whole request has been received from it.

    Only the loop's thread removes connections from the selector; other threads add them.
    """

    _selector: Any
    _stop_requested: bool
    _from_server_socket: Any

    def __init__(self, server: Any, limits: ServingLimits, notices: Notices) -> None:
        super().__init__(server)
        self._limits = limits
        self._notices = notices
        self._lock = threading.Lock()
        self._open: set[BoundedConnection] = set()
        self._waiting: dict[BoundedConnection, None] = {}
        """Connections in the selector; the one that waits longest comes first."""
        self._kept = 0
        self._held_bytes = 0
        self._accepts_from = 0.0
        self._listener_fd: int = server.socket.fileno()
        self._is_listening = True
        self._loop_thread = 0

    @property
    def _num_connections(self) -> int:
        """Idle connections that are kept for further requests."""
        return self._kept

    def put(self, conn: BoundedConnection) -> None:
        """Go on with a connection after a request was served."""
        conn.end_request()
        if conn.wfile.unsent:
            self._send_later(conn)
            return
        conn.receipt.begin(self._limits.receipt())
        self._go_on(conn, is_registered=False)

    def close_later(self, conn: BoundedConnection) -> None:
        """Close a connection that a thread has served, once its answer is sent."""
        is_unread = conn.has_unread_body
        conn.end_request()
        if conn.wfile.unsent:
            conn.is_closing = True
            self._send_later(conn)
        elif is_unread:
            self._discard(conn, is_registered=False)
        else:
            conn.close_now()

    def close(self) -> None:
        """Close all connections that wait."""
        with self._lock:
            waiting = list(self._waiting)
        for conn in waiting:
            with contextlib.suppress(OSError):
                conn.wfile.send_unsent()
            conn.close_now()
        self._selector.close()

    # The loop

    def _run(self, expiration_interval: float) -> None:
        self._loop_thread = threading.get_ident()
        expired_at = time.monotonic()
        while not self._stop_requested:
            timeout = expiration_interval if self._is_listening else ACCEPT_PAUSE_S
            for fd, conn in self._selector.select(timeout=timeout):
                if conn is self.server:
                    self._accept()
                else:
                    self._serve(fd, conn)
            now = time.monotonic()
            if not self._is_listening and now >= self._accepts_from:
                self._selector.register(self._listener_fd, selectors.EVENT_READ, data=self.server)
                self._is_listening = True
            if now - expired_at > expiration_interval:
                self._expire(now)
                expired_at = now

    def _serve(self, fd: int, conn: BoundedConnection) -> None:
        if conn not in self._waiting:
            # It was dropped earlier in this round.
            return
        try:
            if conn.stage is Stage.SENDING:
                self._send(conn)
            else:
                self._receive(fd, conn)
        except OSError:
            self._drop(conn)
        except Exception as error:
            # The loop serves all connections: one of them must not end it.
            self._notices.note("error", repr(error))
            self._drop(conn)

    def _accept(self) -> None:
        try:
            conn: Any = self._from_server_socket(self.server.socket)
        except OSError as error:
            self._notices.note("accept", str(error))
            self._make_room()
            self._selector.unregister(self._listener_fd)
            self._is_listening = False
            self._accepts_from = time.monotonic() + ACCEPT_PAUSE_S
            return
        if conn is None:
            return
        with self._lock:
            self._open.add(conn)
        conn.on_closed = self._on_closed
        if len(self._open) > self._limits.connections():
            self._notices.note("connections", "the one that waited longest was closed")
            if not self._make_room():
                conn.close_now()
                return
        try:
            # The request mostly comes with the connection.
            data = os.read(conn.socket.fileno(), READ_BYTES)
        except BlockingIOError:
            self._wait(conn, selectors.EVENT_READ)
            return
        except OSError:
            conn.close_now()
            return
        if not data:
            conn.close_now()
            return
        conn.receipt.feed(data)
        self._go_on(conn, is_registered=False)

    def _make_room(self) -> bool:
        """Close the connection that has waited longest; return whether there was one."""
        with self._lock:
            conn = next(iter(self._waiting), None)
        if conn is None:
            return False
        self._drop(conn)
        return True

    def _receive(self, fd: int, conn: BoundedConnection) -> None:
        try:
            data = os.read(fd, READ_BYTES)
        except BlockingIOError:
            return
        if conn.stage is Stage.DISCARDING:
            if not data:
                self._drop(conn)
            return
        if not data:
            if conn.receipt.is_empty:
                self._drop(conn)
            else:
                self._refuse(conn, RefusalKind.TRUNCATED, is_registered=True)
            return
        self._set_kept(conn, is_kept=False)
        conn.receipt.feed(data)
        self._go_on(conn, is_registered=True)

    def _go_on(self, conn: BoundedConnection, *, is_registered: bool) -> None:
        """Go on with what has been received."""
        step = conn.receipt.advance() if not conn.receipt.is_empty else None
        is_streamed = isinstance(step, Received) and step.framing is Framing.STREAMED
        if conn.receipt.wants_continue and (step is None or is_streamed):
            conn.receipt.wants_continue = False
            conn.send_now(CONTINUE)
        if isinstance(step, RefusalKind):
            self._refuse(conn, step, is_registered=is_registered)
            return
        if isinstance(step, Received):
            conn.take(step)
        self._count(conn)
        if self._held_bytes > self._limits.held_bytes and not self._is_room_made(conn):
            self._refuse(conn, RefusalKind.NO_ROOM, is_registered=is_registered)
            return
        if step is None:
            conn.deadline = conn.receipt.deadline
            if not is_registered:
                self._set_kept(conn, is_kept=conn.receipt.is_empty)
                self._wait(conn, selectors.EVENT_READ)
            return
        if is_registered:
            self._leave(conn)
        self.server.process_conn(conn)

    def _is_room_made(self, conn: BoundedConnection) -> bool:
        """Refuse the caller that holds most, if that is another one; return whether it is."""
        if threading.get_ident() != self._loop_thread:
            return True
        with self._lock:
            others = [c for c in self._waiting if c.stage is Stage.RECEIVING and c is not conn]
        most = max(others, key=lambda c: c.counted_bytes, default=None)
        if most is None or most.counted_bytes < conn.counted_bytes:
            return False
        self._refuse(most, RefusalKind.NO_ROOM, is_registered=True)
        return True

    def _send(self, conn: BoundedConnection) -> None:
        conn.wfile.send_unsent()
        self._count(conn)
        if conn.wfile.unsent:
            return
        self._leave(conn)
        if conn.is_closing:
            conn.close_now()
            return
        conn.stage = Stage.RECEIVING
        conn.receipt.begin(self._limits.receipt())
        self._go_on(conn, is_registered=False)

    def _send_later(self, conn: BoundedConnection) -> None:
        conn.stage = Stage.SENDING
        rate = self._limits.receipt().least_bytes_per_s
        conn.deadline = time.monotonic() + self._limits.answer_s + len(conn.wfile.unsent) / rate
        self._count(conn)
        self._wait(conn, selectors.EVENT_WRITE)

    def _refuse(self, conn: BoundedConnection, kind: RefusalKind, *, is_registered: bool) -> None:
        self._notices.note(kind.name.lower(), kind.value)
        conn.send_now(self.server.refusal(kind))
        self._discard(conn, is_registered=is_registered)

    def _discard(self, conn: BoundedConnection, *, is_registered: bool) -> None:
        conn.end_request()
        conn.receipt.clear()
        self._count(conn)
        conn.stage = Stage.DISCARDING
        conn.deadline = time.monotonic() + DISCARD_S
        try:
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            if is_registered:
                self._drop(conn)
            else:
                conn.close_now()
            return
        if not is_registered:
            self._wait(conn, selectors.EVENT_READ)

    def _expire(self, now: float) -> None:
        with self._lock:
            late = [conn for conn in self._waiting if conn.deadline < now]
        for conn in late:
            is_receiving = conn.stage is Stage.RECEIVING
            if is_receiving and not conn.receipt.is_empty:
                self._refuse(conn, RefusalKind.SLOW, is_registered=True)
                continue
            if conn.stage is Stage.SENDING:
                self._notices.note("answer", "the answer was not read in time")
            self._drop(conn)

    # Bookkeeping

    def _wait(self, conn: BoundedConnection, events: int) -> None:
        with self._lock:
            self._waiting[conn] = None
        try:
            self._selector.register(conn.socket.fileno(), events, data=conn)
        except (OSError, ValueError, KeyError):
            # The server has been stopped.
            conn.close_now()

    def _leave(self, conn: BoundedConnection) -> None:
        with self._lock:
            self._waiting.pop(conn, None)
        self._selector.unregister(conn.socket.fileno())

    def _drop(self, conn: BoundedConnection) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._leave(conn)
        conn.close_now()

    def _on_closed(self, conn: BoundedConnection) -> None:
        self._set_kept(conn, is_kept=False)
        with self._lock:
            self._open.discard(conn)
            self._waiting.pop(conn, None)
            self._held_bytes -= conn.counted_bytes
            conn.counted_bytes = 0

    def _count(self, conn: BoundedConnection) -> None:
        held = conn.held_bytes
        with self._lock:
            self._held_bytes += held - conn.counted_bytes
            conn.counted_bytes = held

    def _set_kept(self, conn: BoundedConnection, *, is_kept: bool) -> None:
        if conn.is_kept == is_kept:
            return
        with self._lock:
            self._kept += 1 if is_kept else -1
            conn.is_kept = is_kept
