"""cheroot's server with limits of what callers may hold."""

from typing import Any

from cheroot.server import HTTPServer

from lentilrill.serving._connection import BoundedConnection
from lentilrill.serving._limits import ServingLimits, refusal_bytes
from lentilrill.serving._manager import BoundedConnectionManager
from lentilrill.serving._notices import Notices
from lentilrill.serving._receipt import RefusalKind
from lentilrill.telemetry import Metrics, NoMetrics

__all__ = ["BoundedServer"]

STATUSES = {
    RefusalKind.SLOW: "408 Request Timeout",
    RefusalKind.TRUNCATED: "400 Bad Request",
    RefusalKind.MALFORMED: "400 Bad Request",
    RefusalKind.TOO_LARGE: "413 Content Too Large",
    RefusalKind.LONG_CHUNKED: "413 Content Too Large",
    RefusalKind.NO_ROOM: "503 Service Unavailable",
}
RETRY_S = "1"
WARNING = 30


class BoundedServer(HTTPServer):
    """Mix-in of servers: no thread, and a bounded share of memory and descriptors, for callers
    that are slow or send without end."""

    ConnectionClass = BoundedConnection
    limits: ServingLimits
    label = "callers"
    notices = Notices("callers", NoMetrics())

    def limit(self, limits: ServingLimits, label: str, metrics: Metrics | None = None) -> None:
        """Set the limits, before the server is prepared."""
        self.limits = limits
        self.label = label
        self.notices = Notices(label, metrics or NoMetrics())

    def prepare(self) -> None:
        """Bind the address and listen."""
        super().prepare()
        server: Any = self
        server._connections._selector.close()
        server._connections = BoundedConnectionManager(self, self.limits, self.notices)

    def close_later(self, conn: BoundedConnection) -> None:
        """Close a connection once its answer is sent."""
        server: Any = self
        server._connections.close_later(conn)

    def refusal(self, kind: RefusalKind) -> bytes:
        """Return the response to a request that is refused before it runs."""
        headers = [("Content-Type", "application/json")]
        if kind is RefusalKind.NO_ROOM:
            headers.append(("Retry-After", RETRY_S))
        return refusal_bytes(STATUSES[kind], headers, b"{}")

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log errors that cheroot reports as events; it would print them."""
        del traceback
        if level >= WARNING:
            self.notices.note("error", str(msg).strip()[:200])
