"""cheroot's HTTP server, adapted to send problem documents and to abort responses detectably."""

import resource

from cheroot.server import Gateway as CherootGateway

from lentilrill.gateway._limits import (
    CALLER_TIMEOUT_S,
    MAX_BUFFERED_BYTES,
    MAX_HEADER_BYTES,
    MAX_HELD_BYTES,
    MIN_RATE_BYTES_PER_S,
    MIN_RATE_GRACE_S,
)
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind
from lentilrill.serving import (
    BoundedConnection,
    BoundedRequest,
    BoundedServer,
    Framing,
    ReceiptLimits,
    RefusalKind,
    ServingLimits,
    refusal_bytes,
)
from lentilrill.telemetry import Metrics

__all__ = ["CallerServer"]

LISTEN_BACKLOG = 1024
RETRY_AFTER_S = 1.0

KINDS_BY_REFUSAL = {
    RefusalKind.SLOW: ProblemKind.SLOW,
    RefusalKind.TRUNCATED: ProblemKind.MALFORMED,
    RefusalKind.MALFORMED: ProblemKind.MALFORMED,
    RefusalKind.TOO_LARGE: ProblemKind.TOO_LARGE,
    RefusalKind.LONG_CHUNKED: ProblemKind.LENGTH,
    RefusalKind.NO_ROOM: ProblemKind.NOT_READY,
}
KINDS_BY_STATUS = {
    400: ProblemKind.MALFORMED,
    405: ProblemKind.METHOD,
    408: ProblemKind.SLOW,
    413: ProblemKind.TOO_LARGE,
    414: ProblemKind.MALFORMED,
    501: ProblemKind.MALFORMED,
    505: ProblemKind.MALFORMED,
}


class _Request(BoundedRequest):
    """A request whose parse errors are reported by problem documents."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a problem document of the closest kind, and close the connection."""
        code = int(str(status)[:3])
        kind = KINDS_BY_STATUS.get(code, ProblemKind.INTERNAL)
        # Before the request is parsed, nothing can have been sent to an endpoint.
        outcome = Outcome.UNKNOWN if self.ready else Outcome.NOT_RUN
        problem = Problem(kind, msg or str(status)[4:], outcome)
        self.close_connection = True
        self.conn.wfile.write(_problem_bytes(problem))


def _problem_bytes(problem: Problem) -> bytes:
    kind = problem.kind
    return refusal_bytes(f"{kind.status} {kind.value[0]}", problem.headers(), problem.body())


class _Connection(BoundedConnection):
    """A connection of a caller of the request path."""

    RequestHandlerClass = _Request


class CallerServer(BoundedServer):
    """cheroot's HTTP server with the limits of the request path."""

    ConnectionClass = _Connection
    timeout = CALLER_TIMEOUT_S
    max_request_header_size = MAX_HEADER_BYTES
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self,
        address: str,
        gateway: type[CherootGateway],
        threads: int,
        max_body_bytes: int,
        metrics: Metrics,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)), gateway, minthreads=threads, server_name="lentilrill"
        )
        self.max_request_body_size = max_body_bytes
        self.keep_alive_conn_limit = 2 * threads
        receipt = ReceiptLimits(
            head_bytes=MAX_HEADER_BYTES,
            held_body_bytes=MAX_BUFFERED_BYTES,
            longer_bodies=Framing.STREAMED,
            body_bytes=max_body_bytes,
            idle_s=CALLER_TIMEOUT_S,
            body_grace_s=MIN_RATE_GRACE_S,
            least_bytes_per_s=MIN_RATE_BYTES_PER_S,
        )
        limits = ServingLimits(
            connections=_max_connections, held_bytes=MAX_HELD_BYTES, receipt=lambda: receipt
        )
        self.limit(limits, "gateway", metrics)

    def refusal(self, kind: RefusalKind) -> bytes:
        """Return the problem document for a request that is refused before it runs."""
        retry_after_s = RETRY_AFTER_S if kind is RefusalKind.NO_ROOM else None
        return _problem_bytes(
            Problem(KINDS_BY_REFUSAL[kind], kind.value, Outcome.NOT_RUN, retry_after_s)
        )


def _max_connections() -> int:
    """Return the most open connections; each needs another one to an endpoint while it runs."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0] // 2
