"""Orders to endpoints over HTTP."""

import socket

import msgspec
from testtools import TestCase

from lentilrill.execution import StartOrder, Verdict
from lentilrill.platform import HttpEndpoint
from lentilrill.telemetry import NoMetrics
from lentilrill.workloads import TaskId
from tests.builders import an_address, an_endpoint


class OrderTest(TestCase):
    def start_at(self, address: str) -> Verdict:
        """Order a start at an endpoint; return the verdict."""
        entry = msgspec.structs.replace(an_endpoint("e1"), address=address)
        endpoint = HttpEndpoint(entry, NoMetrics())
        self.addCleanup(endpoint.close)
        task = TaskId("5c0e7a21d94b36f8", 0, 0, 0)
        return endpoint.start(StartOrder(task, 1, "text", 1000, 7)).verdict

    def test_a_start_that_found_no_connection_is_not_unknown(self) -> None:
        """Guards against a needless stop and poll after a start that was never sent."""
        self.assertIsNot(Verdict.UNKNOWN, self.start_at(an_address()))

    def test_a_start_whose_connection_breaks_is_unknown(self) -> None:
        """Guards against a second start of a task whose first start lost its answer."""
        address = an_address()
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)))
        self.addCleanup(listener.close)
        # The kernel accepts the connection, but nothing answers.
        self.assertIs(Verdict.UNKNOWN, self.start_at(address))
