"""Detection of callers that disconnect while they wait for a slot."""

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator

from lentilrill.gateway._caller import Caller
from lentilrill.ids import RequestId
from lentilrill.telemetry import Metrics

__all__ = ["CallerDisconnectWatcher"]

POLL_TIMEOUT_S = 0.2
MAX_EVENTS_PER_POLL = 1024
TCP_ESTABLISHED = 1


class CallerDisconnectWatcher:
    """A thread that watches the sockets of all waiting callers.

    ``EPOLLRDHUP`` reports a peer's close even behind unread bytes, so that the disconnect of a
    caller that pipelined its next request is detected too. The thread that waits for the slot
    then returns at once.

    :param abandon: called with each request whose caller disconnected.
    """

    def __init__(self, abandon: Callable[[RequestId], None], metrics: Metrics) -> None:
        self._abandon = abandon
        self._metrics = metrics
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._waiting_by_fd: dict[int, tuple[Caller, RequestId]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch_loop, name="caller-watch", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()

    @contextlib.contextmanager
    def watching(self, caller: Caller, request: RequestId) -> Iterator[None]:
        """Abandon ``request`` if its caller disconnects within the context."""
        fd = caller.socket.fileno()
        with self._lock:
            self._waiting_by_fd[fd] = (caller, request)
            self._epoll.register(fd, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                del self._waiting_by_fd[fd]
                self._epoll.unregister(fd)

    def _watch_loop(self) -> None:
        while not self._stopping.is_set():
            for fd, _ in self._epoll.poll(POLL_TIMEOUT_S, MAX_EVENTS_PER_POLL):
                with self._lock:
                    waiting = self._waiting_by_fd.get(fd)
                if waiting is not None and _is_disconnected(waiting[0]):
                    self._on_disconnect(*waiting)

    def _on_disconnect(self, caller: Caller, request: RequestId) -> None:
        caller.disconnected = True
        self._metrics.incr("request.abandoned")
        self._abandon(request)


def _is_disconnected(caller: Caller) -> bool:
    """Return whether the caller closed its side.

    The event may belong to a connection that has ended and whose file descriptor a new
    connection has reused. Without this check the new caller's request would be abandoned.
    """
    state: bytes = caller.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] != TCP_ESTABLISHED
