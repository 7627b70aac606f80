"""Choice of the connection and handling of partial answers, on a scripted server."""

import contextlib
import socket
import threading
from collections.abc import Callable

from returns.result import Failure
from testtools import TestCase

from lentilrill.faults import FaultKind
from lentilrill.store._guard import Effect
from lentilrill.store._transport import MAX_WRITE_IDLE_S, Transport

WAIT_S = 20.0
SHORT_S = 0.2
BODY = b"{}"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"


class ScriptedServer:
    """Server that calls ``script`` for each request and counts connections."""

    def __init__(self, script: Callable[[socket.socket, int], None]) -> None:
        self.connections = 0
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            arguments = (connection, self.connections)
            threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        with connection, contextlib.suppress(ConnectionError):
            while self._request(connection):
                self._script(connection, number)

    def _request(self, connection: socket.socket) -> bool:
        received = b""
        while not received.endswith(BODY):
            part = connection.recv(65536)
            if not part:
                return False
            received += part
        return True


class TransportTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0

    def a_transport(self, script: Callable[[socket.socket, int], None]) -> Transport:
        self.server = ScriptedServer(script)
        self.addCleanup(self.server.close)
        return Transport((self.server.address,), lambda: self.now)

    def exchange(self, transport: Transport, effect: Effect = Effect.REPEATABLE):
        return transport.exchange("platform.x", effect, "POST", "/x", BODY, SHORT_S)

    def test_the_rest_of_an_abandoned_answer_is_discarded(self) -> None:
        # A call is abandoned in the middle of a slow answer. The rest arrives later, and the next
        # call on that connection would read the answer to another request.
        late = threading.Event()

        def script(connection: socket.socket, number: int) -> None:
            if number == 1:
                connection.sendall(HEAD + b"ol")
                self.now += 2 * SHORT_S
                connection.sendall(b"d")
                late.wait(WAIT_S)
                connection.sendall(b"old" + HEAD + b"oldold")
            else:
                connection.sendall(HEAD + b"newnew")

        transport = self.a_transport(script)
        lost = self.exchange(transport, Effect.ONCE)
        self.assertEqual(FaultKind.AMBIGUOUS, lost.failure().kind)
        late.set()
        self.assertEqual(b"newnew", self.exchange(transport).unwrap())

    def test_an_answer_that_trickles_ends_by_its_deadline(self) -> None:
        # Each byte of an answer arrives within the read timeout, but the answer never ends, so the
        # deadline must apply to the whole answer.
        def script(connection: socket.socket, number: int) -> None:
            connection.sendall(HEAD + b"ol")
            self.now += 2 * SHORT_S
            connection.sendall(b"d")
            threading.Event().wait(SHORT_S / 2)
            connection.sendall(b"old")

        result = self.exchange(self.a_transport(script))
        self.assertIsInstance(result, Failure)
        self.assertEqual(FaultKind.UNAVAILABLE, result.failure().kind)

    def test_a_whole_answer_counts_however_late_it_is_read(self) -> None:
        """Guards against discarding a received answer and repeating its request."""

        def script(connection: socket.socket, number: int) -> None:
            self.now += 2 * SHORT_S
            connection.sendall(HEAD + b"answer")

        transport = self.a_transport(script)
        self.assertEqual(b"answer", self.exchange(transport).unwrap())
        self.exchange(transport).unwrap()
        self.assertEqual(1, self.server.connections)

    def test_a_write_avoids_a_connection_that_was_idle(self) -> None:
        # A device on the path drops the state of an idle connection. A claim sent on it would be
        # lost without an answer, and the job would be refused needlessly.
        def script(connection: socket.socket, number: int) -> None:
            forgotten = number == 1 and self.now > 0
            if not forgotten:
                connection.sendall(HEAD + b"answer")

        transport = self.a_transport(script)
        self.exchange(transport).unwrap()
        self.exchange(transport).unwrap()
        self.assertEqual(1, self.server.connections)
        self.now = 2 * MAX_WRITE_IDLE_S
        self.assertEqual(b"answer", self.exchange(transport, Effect.ONCE).unwrap())

    def test_idle_connections_are_closed_with_a_silent_one(self) -> None:
        # Two idle connections die at the same time. The first call on one of them is lost; the
        # next call must not use the other one.
        together = threading.Barrier(2)

        def script(connection: socket.socket, number: int) -> None:
            if self.now == 0:
                together.wait(WAIT_S)
                connection.sendall(HEAD + b"answer")
            elif number > 2:
                connection.sendall(HEAD + b"answer")

        transport = self.a_transport(script)
        other = threading.Thread(target=self.exchange, args=(transport,))
        other.start()
        self.exchange(transport).unwrap()
        other.join(WAIT_S)
        self.now = 1.0
        self.assertIsInstance(self.exchange(transport), Failure)
        self.assertEqual(b"answer", self.exchange(transport).unwrap())
