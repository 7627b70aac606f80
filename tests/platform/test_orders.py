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
        """Order a start at an endpoint; return what became of it."""
        entry = msgspec.structs.replace(an_endpoint("e1"), address=address)
        endpoint = HttpEndpoint(entry, NoMetrics())
        self.addCleanup(endpoint.close)
        task = TaskId("5c0e7a21d94b36f8", 0, 0, 0)
        return endpoint.start(StartOrder(task, 1, "text", 1000, 7)).verdict

    def test_a_start_that_found_no_connection_is_not_in_doubt(self) -> None:
        """Each start that was refused a connection cost a stop and a look, as if it might run."""
        self.assertIsNot(Verdict.UNKNOWN, self.start_at(an_address()))

    def test_a_start_whose_connection_breaks_is_in_doubt(self) -> None:
        """A task ran twice: its start was carried out, but its answer was lost."""
        address = an_address()
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)))
        self.addCleanup(listener.close)
        # Nobody answers there, though the connection is made.
        self.assertIs(Verdict.UNKNOWN, self.start_at(address))
