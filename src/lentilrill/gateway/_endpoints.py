"""HTTP connections to endpoints and to other gateways."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from urllib3.connection import HTTPConnection

__all__ = ["EndpointConnections", "Link"]

IDLE_PER_ADDRESS = 4
"""An endpoint accepts about 64 connections, which all entry hosts of a zone share."""
IDLE_ADDRESSES = 512
IDLE_S = 4.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_EVERY_S = 2
KEEPALIVE_PROBES = 3
UNACKED_MS = 10_000
UNACKED_KEPT_MS = 2_000

# If a firewall or NAT drops the state of a connection, neither FIN nor RST nor data arrives any
# more. Keepalive probes and sent bytes then stay unacknowledged, and the kernel fails the socket.
# An endpoint that is only slow still acknowledges them, and its connection is kept.
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
]


class Link:
    """One open connection, used by one exchange at a time.

    :param fresh: whether it was opened for this exchange, which shows that it reaches the endpoint.
    """

    def __init__(self, connection: HTTPConnection, address: str, fresh: bool) -> None:
        self.connection = connection
        self.address = address
        self.fresh = fresh
        self.idle_since = 0.0
        self._unacked_ms = UNACKED_MS

    def expect_silence(self) -> None:
        """Set a short acknowledgement timeout: the job may be sent again on a new connection."""
        self._set_unacked(UNACKED_KEPT_MS)

    def expect_slowness(self) -> None:
        """Set the long timeout, which outlasts a short network outage."""
        self._set_unacked(UNACKED_MS)

    def _set_unacked(self, timeout_ms: int) -> None:
        sock = self.connection.sock
        if sock is not None and timeout_ms != self._unacked_ms:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            self._unacked_ms = timeout_ms

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def cut(self) -> None:
        """Shut the socket down, so that a thread that waits on it gets an error."""
        sock = self.connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class EndpointConnections:
    """Opens connections, and keeps idle ones for jobs that may run twice.

    An idle connection may have failed without notice since its last use, and it would be
    unknown whether a job sent on it ran. So a job that must not run twice gets a new connection,
    whose handshake shows that the endpoint is reachable. Only connections whose last response
    was read completely are kept; one with an abandoned exchange is closed, as a late response
    would be read as that of the next job.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
        own_ip: str = "",
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._own_ip = own_ip
        self._clock = clock
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[Link]] = {}
        self._busy: set[Link] = set()
        self._closed = False

    def take(
        self, address: str, idempotent: bool, timeout_s: float, to_gateway: bool = False
    ) -> Link:
        """Return a connection to ``address`` (``ip:port``); reuse an idle one for idempotent jobs.

        :param to_gateway: whether the address is another gateway's. The connection is then
            opened from this process's own IP address, which firewalls between zones permit.

        :raises OSError: no connection could be opened; nothing was sent.
        """
        link = self._kept(address) if idempotent else None
        link = link or self._open(address, timeout_s, self._own_ip if to_gateway else "")
        with self._lock:
            self._busy.add(link)
        return link

    def drop(self, link: Link) -> None:
        """Close a connection that must not be reused."""
        with self._lock:
            self._busy.discard(link)
        link.close()

    def give_back(self, link: Link) -> None:
        """Keep a connection for reuse after its response was read completely."""
        link.idle_since = self._clock()
        with self._lock:
            self._busy.discard(link)
            idle = self._idle_by_address.setdefault(link.address, [])
            full = len(idle) >= IDLE_PER_ADDRESS or len(self._idle_by_address) > IDLE_ADDRESSES
            if not self._closed and not full:
                idle.append(link)
                return
        link.close()

    def sweep(self) -> None:
        """Close connections whose idle timeout has passed."""
        oldest = self._clock() - IDLE_S
        stale: list[Link] = []
        with self._lock:
            for address, idle in list(self._idle_by_address.items()):
                stale += [link for link in idle if link.idle_since < oldest]
                fresh = [link for link in idle if link.idle_since >= oldest]
                if fresh:
                    self._idle_by_address[address] = fresh
                else:
                    del self._idle_by_address[address]
        for link in stale:
            link.close()

    def close(self) -> None:
        """Close all idle connections, and abort exchanges still in progress after the drain."""
        with self._lock:
            self._closed = True
            links = [link for idle in self._idle_by_address.values() for link in idle]
            self._idle_by_address.clear()
            busy = list(self._busy)
        for link in links:
            link.close()
        for link in busy:
            link.cut()

    def _kept(self, address: str) -> Link | None:
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                link = idle.pop() if idle else None
            if link is None:
                return None
            if self._clock() - link.idle_since < IDLE_S and link.connection.is_connected:
                link.fresh = False
                link.expect_silence()
                return link
            link.close()

    def _open(self, address: str, timeout_s: float, own_ip: str) -> Link:
        host, _, port = address.rpartition(":")
        is_usable = own_ip and own_ip.startswith("[") == host.startswith("[")
        connection = HTTPConnection(
            host.strip("[]"),
            int(port),
            timeout=max(0.001, min(timeout_s, self._connect_timeout_s)),
            source_address=(own_ip.strip("[]"), 0) if is_usable else None,
            socket_options=SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except Exception:
            connection.close()
            raise
        return Link(connection, address, fresh=True)
