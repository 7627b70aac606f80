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

__all__ = ["DECODE_ERRORS", "Transport", "failure_reason"]

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, OverflowError, RecursionError)
"""Exceptions that decoding a malformed answer may raise."""

ANSWER_TOO_SLOW = "the answer did not end in time"
MAX_ANSWER_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024
LATE_READ_TIMEOUT_S = 0.02
"""Maximum wait for each further part of an answer after its deadline: parts that arrived in time
are already in the buffer of the socket."""
MAX_LATE_READS = 64
"""Maximum number of parts, of up to 64 KiB each, that are read after the deadline, so that a slow
answer ends."""
MAX_CONNECT_S = 0.5
MAX_IDLE_CONNECTIONS = 16
"""Maximum idle connections: as many as an entry host has threads that call the store concurrently
after an outage. Further connections are closed after their call and must be opened again."""
MAX_WRITE_IDLE_S = 1.0
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

FAULT_KIND_BY_GRPC_CODE = {
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
        self._address_index = 0
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = self._new_pool()
        self._last_used = clock()

    @property
    def peer(self) -> str:
        """The current address."""
        return self._addresses[self._address_index % len(self._addresses)]

    def exchange(
        self, step: str, effect: Effect, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one request and return the body of its answer, within ``timeout_s`` seconds.

        :return: the body, or a fault: ``AMBIGUOUS`` if a call of :attr:`Effect.ONCE` may have
            taken effect, ``UNAVAILABLE`` if it certainly did not or is repeatable.
        """
        result = self.request(step, effect, method, path, body, timeout_s)
        if isinstance(result, Failure):
            return result
        status, data, peer = result.unwrap()
        return Success(data) if status == OK else self._fault_of_refusal(step, effect, peer, data)

    def request(
        self,
        step: str,
        effect: Effect,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        total_timeout_s: float = 0.0,
    ) -> Result[tuple[int, bytes, str], Fault]:
        """Send one request and return the status, the body and the peer, whatever the status.

        :param total_timeout_s: timeout of the whole exchange, in seconds, if it is longer than
            ``timeout_s``, which then limits each period of silence.
        """
        deadline = self._clock() + max(timeout_s, total_timeout_s)
        result = self.open(step, effect, method, path, body, timeout_s, timeout_s)
        if isinstance(result, Failure):
            return result
        response, peer = result.unwrap()
        try:
            data = self._read_all(response, deadline)
        except (HTTPError, OSError) as error:
            # The rest of an abandoned answer may still arrive on this connection and be read as
            # the answer to the next request, so the connection is closed.
            response.close()
            self.fail_over(peer)
            return Failure(Fault(step, peer, _lost_answer_kind(effect), failure_reason(error)))
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
        read_timeout_s: float,
    ) -> Result[tuple[urllib3.BaseHTTPResponse, str], Fault]:
        """Send a request and return the response, with its body unread, and the peer.

        :param read_timeout_s: read timeout, in seconds.
        """
        pool, peer = self._pool_for(effect)
        timeout = urllib3.Timeout(connect=min(connect_s, MAX_CONNECT_S), read=read_timeout_s)
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
            return Failure(
                Fault(step, peer, FaultKind.UNAVAILABLE, failure_reason(error), unsent=True)
            )
        except (HTTPError, OSError) as error:
            self.fail_over(peer)
            return Failure(Fault(step, peer, _lost_answer_kind(effect), failure_reason(error)))
        return Success((response, peer))

    def read_refusal(
        self, step: str, response: urllib3.BaseHTTPResponse, peer: str, timeout_s: float
    ) -> Fault:
        """Return the fault for an opened response whose status is not 200."""
        try:
            data = self._read_all(response, self._clock() + timeout_s)
        except (HTTPError, OSError):
            data = b""
        response.close()
        return self._fault_of_refusal(step, Effect.REPEATABLE, peer, data).failure()

    def fail_over(self, peer: str) -> None:
        """Close the idle connections to ``peer`` and switch to the next address.

        A device on the path may drop the state of idle connections. If one connection is silent,
        other idle ones to the same peer are probably dead as well, while new ones work.
        """
        with self._lock:
            if peer != self.peer:
                return
            self._address_index += 1
            self._replace_pool()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            self._pool.close()

    def _pool_for(self, effect: Effect) -> tuple[urllib3.HTTPConnectionPool, str]:
        with self._lock:
            is_idle = self._clock() - self._last_used > MAX_WRITE_IDLE_S
            # A write on a connection that died while idle would lose its answer, so it uses a
            # recently used connection or a new one.
            if effect is Effect.ONCE and is_idle:
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
            maxsize=MAX_IDLE_CONNECTIONS,
            socket_options=SOCKET_OPTIONS,
        )

    def _read_all(self, response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
        parts: list[bytes] = []
        size = 0
        late_reads = 0
        while part := self._read_part(response, is_late=late_reads > 0):
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise HTTPError("the answer is too long")
            if self._clock() <= deadline or response.length_remaining == 0:
                continue
            # A complete answer is accepted after the deadline: an overloaded host may read late
            # what arrived in time.
            late_reads += 1
            if late_reads > MAX_LATE_READS:
                raise HTTPError(ANSWER_TOO_SLOW)
        return b"".join(parts)

    def _read_part(self, response: urllib3.BaseHTTPResponse, *, is_late: bool) -> bytes:
        if not is_late:
            return response.read1(READ_BYTES)
        connection = response.connection
        if isinstance(connection, HTTPConnection) and connection.sock is not None:
            connection.sock.settimeout(LATE_READ_TIMEOUT_S)
        try:
            return response.read1(READ_BYTES)
        except ReadTimeoutError as error:
            raise HTTPError(ANSWER_TOO_SLOW) from error

    def _fault_of_refusal(
        self, step: str, effect: Effect, peer: str, data: bytes
    ) -> Failure[Fault]:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except DECODE_ERRORS:
            refusal = _Refusal(message="the answer is not a JSON object")
        kind = FAULT_KIND_BY_GRPC_CODE.get(refusal.code, _lost_answer_kind(effect))
        if kind in (FaultKind.UNAVAILABLE, FaultKind.AMBIGUOUS):
            self.fail_over(peer)
        return Failure(Fault(step, peer, kind, refusal.message or "refused"))


def _lost_answer_kind(effect: Effect) -> FaultKind:
    return FaultKind.AMBIGUOUS if effect is Effect.ONCE else FaultKind.UNAVAILABLE


def failure_reason(error: Exception) -> str:
    """Return a human-readable reason for a failed exchange."""
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return "no connection"
    if isinstance(error, ReadTimeoutError | TimeoutError):
        return "no answer in time"
    if isinstance(error, ProtocolError | ConnectionError):
        return "the connection ended before the answer was complete"
    return str(error)
