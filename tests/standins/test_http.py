"""The HTTP server of the stand-ins."""

import logging
import socket

from testtools import TestCase

from standins._http import Call, Server
from tests.execution.fakes import eventually

BODY = b'{"task":"a.0.0.0"}'


class TruncatedBodyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.handled: list[bytes] = []
        self.server = Server("127.0.0.1:0", self.handle, 2)
        self.server.start()
        self.addCleanup(self.server.close)

    def handle(self, call: Call, address: str) -> None:
        del address
        self.handled.append(call.body)
        call.answer(200, b"")

    def send(self, body: bytes) -> bytes:
        """Send a request whose body may end early; return the answer."""
        host, _, port = self.server.address.rpartition(":")
        head = f"POST /run-start HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY)}\r\n\r\n"
        with socket.create_connection((host, int(port)), timeout=5.0) as connection:
            connection.sendall(head.encode() + body)
            connection.shutdown(socket.SHUT_WR)
            try:
                return connection.recv(100)
            except ConnectionResetError:
                return b""

    def test_a_request_that_its_client_did_not_send_whole_is_not_executed(self) -> None:
        """An owner killed as it sent an order left a decoding error in the output of a soak."""
        with self.assertNoLogs("standins", logging.ERROR):
            self.assertEqual(b"", self.send(BODY[:-5]))
            self.assertTrue(self.send(BODY).startswith(b"HTTP/1.1 200"))
        self.assertTrue(eventually(lambda: bool(self.handled)))
        self.assertEqual([BODY], self.handled)
