"""HTTP connections to endpoints and to other gateways."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from lentilrill.bounded_http import BoundedConnection

__all__ = ["ConnectionCache", "EndpointConnection"]

MAX_IDLE_PER_ADDRESS = 4
"""An endpoint accepts about 64 connections, which all entry hosts of a zone share."""
MAX_IDLE_ADDRESSES = 512
IDLE_TIMEOUT_S = 4.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
ACK_TIMEOUT_MS = 10_000
REUSED_ACK_TIMEOUT_MS = 2_000

# If a firewall or NAT drops the state of a connection, neither FIN nor RST nor data arrives any
# more. Keepalive probes and sent bytes then stay unacknowledged, and the kernel fails the socket.
# An endpoint that is only slow still acknowledges them, and its connection is kept.
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
]


class EndpointConnection:
    """One open connection, used by one exchange at a time.

    :param is_new: whether it was opened for this exchange, so that the endpoint is reachable.
    """

    def __init__(self, http_connection: BoundedConnection, address: str, is_new: bool) -> None:
        self.http_connection = http_connection
        self.address = address
        self.is_new = is_new
        self.idle_since = 0.0
        self._ack_timeout_ms = ACK_TIMEOUT_MS

    def use_short_ack_timeout(self) -> None:
        """Set a short acknowledgement timeout: the job may be sent again on a new connection."""
        self._set_ack_timeout(REUSED_ACK_TIMEOUT_MS)

    def use_long_ack_timeout(self) -> None:
        """Set the long timeout, which outlasts a short network outage."""
        self._set_ack_timeout(ACK_TIMEOUT_MS)

    def _set_ack_timeout(self, timeout_ms: int) -> None:
        sock = self.http_connection.sock
        if sock is not None and timeout_ms != self._ack_timeout_ms:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            self._ack_timeout_ms = timeout_ms

    def close(self) -> None:
        """Close the connection."""
        self.http_connection.close()

    def shut_down(self) -> None:
        """Shut the socket down, so that a thread that waits on it gets an error."""
        sock = self.http_connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class ConnectionCache:
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
        source_ip: str = "",
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._source_ip = source_ip
        self._clock = clock
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[EndpointConnection]] = {}
        self._in_use: set[EndpointConnection] = set()
        self._closed = False

    def acquire(
        self, address: str, idempotent: bool, timeout_s: float, to_gateway: bool = False
    ) -> EndpointConnection:
        """Return a connection to ``address`` (``ip:port``); reuse an idle one for idempotent jobs.

        :param to_gateway: whether the address is another gateway's. The connection is then
            opened from this process's own IP address, which firewalls between zones permit.

        :raises OSError: no connection could be opened; nothing was sent.
        """
        connection = self._pop_idle(address) if idempotent else None
        connection = connection or self._open(
            address, timeout_s, self._source_ip if to_gateway else ""
        )
        with self._lock:
            self._in_use.add(connection)
        return connection

    def discard(self, connection: EndpointConnection) -> None:
        """Close a connection that must not be reused."""
        with self._lock:
            self._in_use.discard(connection)
        connection.close()

    def return_connection(self, connection: EndpointConnection) -> None:
        """Keep a connection for reuse after its response was read completely."""
        connection.idle_since = self._clock()
        with self._lock:
            self._in_use.discard(connection)
            idle = self._idle_by_address.setdefault(connection.address, [])
            full = (
                len(idle) >= MAX_IDLE_PER_ADDRESS or len(self._idle_by_address) > MAX_IDLE_ADDRESSES
            )
            if not self._closed and not full:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self) -> None:
        """Close connections whose idle timeout has passed."""
        oldest = self._clock() - IDLE_TIMEOUT_S
        stale: list[EndpointConnection] = []
        with self._lock:
            for address, idle in list(self._idle_by_address.items()):
                stale += [connection for connection in idle if connection.idle_since < oldest]
                recent = [connection for connection in idle if connection.idle_since >= oldest]
                if recent:
                    self._idle_by_address[address] = recent
                else:
                    del self._idle_by_address[address]
        for connection in stale:
            connection.close()

    def close(self) -> None:
        """Close all idle connections, and abort exchanges still in progress after the drain."""
        with self._lock:
            self._closed = True
            idle_connections = [
                connection for idle in self._idle_by_address.values() for connection in idle
            ]
            self._idle_by_address.clear()
            in_use = list(self._in_use)
        for connection in idle_connections:
            connection.close()
        for connection in in_use:
            connection.shut_down()

    def _pop_idle(self, address: str) -> EndpointConnection | None:
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                return None
            if (
                self._clock() - connection.idle_since < IDLE_TIMEOUT_S
                and connection.http_connection.is_connected
            ):
                connection.is_new = False
                connection.use_short_ack_timeout()
                return connection
            connection.close()

    def _open(self, address: str, timeout_s: float, source_ip: str) -> EndpointConnection:
        host, _, port = address.rpartition(":")
        is_usable = source_ip and source_ip.startswith("[") == host.startswith("[")
        http_connection = BoundedConnection(
            host.strip("[]"),
            int(port),
            timeout=max(0.001, min(timeout_s, self._connect_timeout_s)),
            source_address=(source_ip.strip("[]"), 0) if is_usable else None,
            socket_options=SOCKET_OPTIONS,
        )
        try:
            http_connection.connect()
        except Exception:
            http_connection.close()
            raise
        return EndpointConnection(http_connection, address, is_new=True)
