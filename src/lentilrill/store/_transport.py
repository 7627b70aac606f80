"""HTTP exchanges with one service of the platform, and the mapping of failures to faults."""

import socket
import threading
import time
from collections.abc import Callable, Mapping

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from lentilrill.faults import Fault, FaultKind
from lentilrill.store._guard import Effect

__all__ = ["ODD", "Transport", "shown"]

ODD = (msgspec.MsgspecError, UnicodeDecodeError, OverflowError, RecursionError)
"""Exceptions that decoding a malformed answer may raise."""

ENDLESS = "the answer did not end in time"
MAX_ANSWER_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024
LATE_READ_S = 0.02
"""Maximum wait for each further part of an answer after its deadline: parts that arrived in time
are already in the buffer of the socket."""
MOST_LATE_READS = 64
"""Maximum number of parts, of up to 64 KiB each, that are read after the deadline, so that a slow
answer ends."""
LONGEST_CONNECT_S = 0.5
IDLE_CONNECTIONS = 16
"""Maximum idle connections: as many as an entry host has threads that call the store concurrently
after an outage. Further connections are closed after their call and must be opened again."""
FRESH_S = 1.0
OK = 200
HEADERS = {"Content-Type": "application/json", "Accept-Encoding": "gzip"}

# A waiting watch sends nothing and would not notice a dead connection; TCP keep-alive probes detect
# it within seconds.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000),
]

KIND_BY_CODE = {
    3: FaultKind.INVALID,
    5: FaultKind.CONFLICT,
    8: FaultKind.UNAVAILABLE,
    9: FaultKind.CONFLICT,
    11: FaultKind.CONFLICT,
    12: FaultKind.INVALID,
    16: FaultKind.REFUSED,
    7: FaultKind.REFUSED,
}
"""Fault kinds by gRPC status code; with any other code the call may have taken effect."""


class _Refusal(msgspec.Struct):
    code: int = 0
    message: str = ""


class Transport:
    """Connections to the addresses of one service, with failover to the next address.

    :param addresses: ``ip:port`` of each instance of the service, tried in turn.
    :param headers: headers of each request, in addition to the default ones.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        clock: Callable[[], float] = time.monotonic,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self._addresses = addresses
        self._headers = {**HEADERS, **(headers or {})}
        self._turn = 0
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = self._new_pool()
        self._last_used = clock()

    @property
    def peer(self) -> str:
        """The current address."""
        return self._addresses[self._turn % len(self._addresses)]

    def exchange(
        self, step: str, effect: Effect, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one request and return the body of its answer, within ``timeout_s`` seconds.

        :return: the body, or a fault: ``AMBIGUOUS`` if a call of :attr:`Effect.ONCE` may have
            taken effect, ``UNAVAILABLE`` if it certainly did not or is repeatable.
        """
        answered = self.answer(step, effect, method, path, body, timeout_s)
        if isinstance(answered, Failure):
            return answered
        status, data, peer = answered.unwrap()
        return Success(data) if status == OK else self._refusal(step, effect, peer, data)

    def answer(
        self,
        step: str,
        effect: Effect,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        whole_s: float = 0.0,
    ) -> Result[tuple[int, bytes, str], Fault]:
        """Send one request and return the status, the body and the peer, whatever the status.

        :param whole_s: time-out of the whole exchange, in seconds, if it is longer than
            ``timeout_s``, which then limits each period of silence.
        """
        end = self._clock() + max(timeout_s, whole_s)
        opened = self.open(step, effect, method, path, body, timeout_s, timeout_s)
        if isinstance(opened, Failure):
            return opened
        response, peer = opened.unwrap()
        try:
            data = self._read_all(response, end)
        except (HTTPError, OSError) as error:
            # The rest of an abandoned answer may still arrive on this connection and be read as
            # the answer to the next request, so the connection is closed.
            response.close()
            self.fail_over(peer)
            return Failure(Fault(step, peer, _lost(effect), shown(error)))
        response.release_conn()
        self._last_used = self._clock()
        return Success((response.status, data, peer))

    def open(
        self,
        step: str,
        effect: Effect,
        method: str,
        path: str,
        body: bytes,
        connect_s: float,
        silence_s: float,
    ) -> Result[tuple[urllib3.BaseHTTPResponse, str], Fault]:
        """Send a request and return the response, with its body unread, and the peer.

        :param silence_s: read time-out, in seconds.
        """
        pool, peer = self._pool_for(effect)
        timeout = urllib3.Timeout(connect=min(connect_s, LONGEST_CONNECT_S), read=silence_s)
        try:
            response = pool.urlopen(
                method,
                path,
                body=body,
                headers=self._headers,
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            self.fail_over(peer)
            return Failure(Fault(step, peer, FaultKind.UNAVAILABLE, shown(error), unsent=True))
        except (HTTPError, OSError) as error:
            self.fail_over(peer)
            return Failure(Fault(step, peer, _lost(effect), shown(error)))
        return Success((response, peer))

    def refusal(
        self, step: str, response: urllib3.BaseHTTPResponse, peer: str, timeout_s: float
    ) -> Fault:
        """Return the fault for an opened response whose status is not 200."""
        try:
            data = self._read_all(response, self._clock() + timeout_s)
        except (HTTPError, OSError):
            data = b""
        response.close()
        return self._refusal(step, Effect.REPEATABLE, peer, data).failure()

    def fail_over(self, peer: str) -> None:
        """Close the idle connections to ``peer`` and switch to the next address.

        A device on the path may drop the state of idle connections. If one connection is silent,
        other idle ones to the same peer are probably dead as well, while new ones work.
        """
        with self._lock:
            if peer != self.peer:
                return
            self._turn += 1
            self._replace_pool()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            self._pool.close()

    def _pool_for(self, effect: Effect) -> tuple[urllib3.HTTPConnectionPool, str]:
        with self._lock:
            idle = self._clock() - self._last_used > FRESH_S
            # A write on a connection that died while idle would lose its answer, so it uses a
            # recently used connection or a new one.
            if effect is Effect.ONCE and idle:
                self._replace_pool()
            return self._pool, self.peer

    def _replace_pool(self) -> None:
        self._pool.close()
        self._pool = self._new_pool()
        self._last_used = self._clock()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self.peer.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host.strip("[]"),
            int(port),
            maxsize=IDLE_CONNECTIONS,
            socket_options=SOCKET_OPTIONS,
        )

    def _read_all(self, response: urllib3.BaseHTTPResponse, end: float) -> bytes:
        parts: list[bytes] = []
        size = 0
        late_reads = 0
        while part := self._part(response, is_late=late_reads > 0):
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise HTTPError("the answer is too long")
            if self._clock() <= end or response.length_remaining == 0:
                continue
            # A complete answer is accepted after the deadline: an overloaded host may read late
            # what arrived in time.
            late_reads += 1
            if late_reads > MOST_LATE_READS:
                raise HTTPError(ENDLESS)
        return b"".join(parts)

    def _part(self, response: urllib3.BaseHTTPResponse, *, is_late: bool) -> bytes:
        if not is_late:
            return response.read1(READ_BYTES)
        connection = response.connection
        if isinstance(connection, HTTPConnection) and connection.sock is not None:
            connection.sock.settimeout(LATE_READ_S)
        try:
            return response.read1(READ_BYTES)
        except ReadTimeoutError as error:
            raise HTTPError(ENDLESS) from error

    def _refusal(self, step: str, effect: Effect, peer: str, data: bytes) -> Failure[Fault]:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except ODD:
            refusal = _Refusal(message="the answer is not a JSON object")
        kind = KIND_BY_CODE.get(refusal.code, _lost(effect))
        if kind in (FaultKind.UNAVAILABLE, FaultKind.AMBIGUOUS):
            self.fail_over(peer)
        return Failure(Fault(step, peer, kind, refusal.message or "refused"))


def _lost(effect: Effect) -> FaultKind:
    return FaultKind.AMBIGUOUS if effect is Effect.ONCE else FaultKind.UNAVAILABLE


def shown(error: Exception) -> str:
    """Return a human-readable reason for a failed exchange."""
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return "no connection"
    if isinstance(error, ReadTimeoutError | TimeoutError):
        return "no answer in time"
    if isinstance(error, ProtocolError | ConnectionError):
        return "the connection ended before the answer was complete"
    return str(error)
