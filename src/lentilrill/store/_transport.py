"""HTTP exchanges with one service of the platform, and the mapping of failures to faults."""

import socket
import threading
import time
from collections.abc import Callable, Mapping

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from lentilrill.bounded_http import (
    MAX_HEAD_BYTES,
    AnswerTooLongError,
    BoundedPool,
    ByteBudget,
    limit_answer,
)
from lentilrill.faults import Fault, FaultKind
from lentilrill.store._guard import Effect
from lentilrill.telemetry import Event, log

__all__ = ["DECODE_ERRORS", "Transport", "failure_reason"]

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, OverflowError, RecursionError)
"""Exceptions that decoding a malformed answer may raise."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Maximum length of an answer of a service that says nothing shorter."""
READ_BYTES = 64 * 1024
MAX_HELD_BYTES = 64 * 1024 * 1024
"""Maximum number of bytes that all answers of the process hold together while they arrive: a part
of what a machine has, and some tens of the longest pages."""
SMALL_ANSWER_BYTES = 64 * 1024
"""Up to this length an answer is not counted among these: too many would be needed at once."""
LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines about answers that are too long."""
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


ANSWER_ERRORS = (HTTPError, OSError, AnswerTooLongError)

_held_bytes = ByteBudget(MAX_HELD_BYTES)


class _Refusal(msgspec.Struct):
    code: int = 0
    message: str = ""


class Transport:
    """Connections to the addresses of one service, with failover to the next address.

    :param addresses: ``ip:port`` of each instance of the service, tried in turn.
    :param headers: headers of each request, in addition to the default ones.
    :param max_answer_bytes: maximum length of the body of an answer, unpacked.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        clock: Callable[[], float] = time.monotonic,
        headers: Mapping[str, str] | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._addresses = addresses
        self._max_answer_bytes = max_answer_bytes
        self._logged_at = -LOG_INTERVAL_S
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
        except ANSWER_ERRORS as error:
            # The rest of an abandoned answer may still arrive on this connection and be read as
            # the answer to the next request, so the connection is closed.
            response.close()
            self.fail_over(peer)
            return self._lost_answer(step, effect, peer, error)
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
        except ANSWER_ERRORS as error:
            self.fail_over(peer)
            return self._lost_answer(step, effect, peer, error)
        return Success((response, peer))

    def read_part(self, response: urllib3.BaseHTTPResponse, silence_s: float) -> bytes:
        """Return the next part of an answer that goes on for as long as it is needed.

        :param silence_s: maximum time until the part is there, in seconds.
        """
        limit_answer(response, self._max_answer_bytes, self._clock() + silence_s)
        return response.read1(READ_BYTES)

    def read_refusal(
        self, step: str, response: urllib3.BaseHTTPResponse, peer: str, timeout_s: float
    ) -> Fault:
        """Return the fault for an opened response whose status is not 200."""
        try:
            data = self._read_all(response, self._clock() + timeout_s)
        except ANSWER_ERRORS:
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
        return BoundedPool(
            host.strip("[]"),
            int(port),
            maxsize=MAX_IDLE_CONNECTIONS,
            socket_options=SOCKET_OPTIONS,
            clock=self._clock,
        )

    def _read_all(self, response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
        """Return the body of an answer.

        A complete answer is accepted after the deadline: an overloaded host may read late what
        arrived in time.
        """
        limit_answer(response, self._max_answer_bytes + MAX_HEAD_BYTES, deadline)
        parts: list[bytes] = []
        size = held = 0
        try:
            while part := response.read1(READ_BYTES):
                parts.append(part)
                size += len(part)
                if size > self._max_answer_bytes:
                    raise AnswerTooLongError("the answer is too long")
                if size <= SMALL_ANSWER_BYTES:
                    continue
                if not _held_bytes.take(len(part)):
                    raise AnswerTooLongError("the answers that arrive are too long together")
                held += len(part)
            return b"".join(parts)
        finally:
            _held_bytes.give_back(held)

    def _lost_answer(
        self, step: str, effect: Effect, peer: str, error: Exception
    ) -> Failure[Fault]:
        reason = failure_reason(error)
        now = self._clock()
        if _too_long(error) is not None and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log(Event.ANSWER_TOO_LONG, step=step, peer=peer, reason=reason)
        return Failure(Fault(step, peer, _lost_answer_kind(effect), reason))

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


def _too_long(error: BaseException) -> AnswerTooLongError | None:
    """Return the error that says that an answer is too long, if it is the cause."""
    causes = (error, *error.args)
    return next((cause for cause in causes if isinstance(cause, AnswerTooLongError)), None)


def failure_reason(error: Exception) -> str:
    """Return a human-readable reason for a failed exchange."""
    too_long = _too_long(error)
    if too_long is not None:
        return str(too_long)
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return "no connection"
    if isinstance(error, ReadTimeoutError | TimeoutError):
        return "no answer in time"
    if isinstance(error, ProtocolError | ConnectionError):
        return "the connection ended before the answer was complete"
    return str(error)
