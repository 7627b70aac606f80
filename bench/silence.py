"""Time until a silent connection or endpoint is given up, with the default timeouts.

Run as ``python -m bench.silence``. A socket filter drops all packets of one connection, like a
stateful firewall that lost its entry, while new connections work. Each case is run once.
"""

import socket
import time

from bench import figure
from tests.gateway.fakes import GatewayTestCase, drop_all, ok

__all__ = ["main"]

WAIT_S = 60


class _Cases(GatewayTestCase):
    """The gateway of the tests with scripted endpoints; started by :func:`main`."""

    def runTest(self) -> None:  # noqa: N802 (name required by unittest)
        """Measure all cases."""
        self.dropped_reused_connection()
        self.dropped_job_connection()
        self.silent_endpoint()

    def dropped_reused_connection(self) -> None:
        """Send a repeatable job on a reused connection whose packets are dropped."""
        dropped: list[socket.socket] = []

        def script(sock: socket.socket, request: bytes) -> None:
            sock.sendall(ok())
            if not dropped:
                dropped.append(sock)
                drop_all(sock)

        self.an_endpoint(script)
        self.an_endpoint()
        self.a_gateway()
        self.call()
        took_s, status = self.timed_call("GET")
        figure("silence", "repeatable_job_on_forgotten_connection", took_s, "s", status=status)

    def dropped_job_connection(self) -> None:
        """Send a job that must not be repeated; packets are dropped once the endpoint has it."""
        self.slots.addresses.clear()
        self.an_endpoint(lambda sock, request: drop_all(sock))
        self.a_gateway()
        took_s, status = self.timed_call("POST")
        figure("silence", "order_on_forgotten_connection", took_s, "s", status=status)

    def silent_endpoint(self) -> None:
        """Send a repeatable job to an endpoint that accepts it but does not answer."""
        self.slots.addresses.clear()
        endpoint = self.an_endpoint()
        self.an_endpoint()
        self.a_gateway()
        self.call()
        endpoint.script = lambda sock, request: None
        took_s, status = self.timed_call("GET")
        figure("silence", "repeatable_job_on_silent_endpoint", took_s, "s", status=status)

    def timed_call(self, method: str) -> tuple[float, int]:
        """Send one job; return the seconds until its answer, and the status."""
        began = time.monotonic()
        connection = self.connect()
        connection.timeout = WAIT_S
        body = b"order" if method == "POST" else None
        headers = {"Authorization": "Bearer token-schools", "Prefer": f"wait={WAIT_S}"}
        connection.request(method, "/schools/x", body, headers)
        answer = connection.getresponse()
        answer.read()
        return round(time.monotonic() - began, 2), answer.status


def main() -> None:
    """Measure all cases and print one line per figure."""
    result = _Cases().run()
    if result is not None and not result.wasSuccessful():
        raise SystemExit("a case could not be measured")


if __name__ == "__main__":
    main()
