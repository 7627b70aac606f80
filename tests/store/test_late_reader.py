"""Answers that were there in time, and are read late by a host short of processor time."""

import socket
import threading

from testtools import TestCase

from lentilrill.store._guard import Effect
from lentilrill.store._transport import Transport
from tests.store.test_transport import BODY, HEAD, SHORT_S, WAIT_S, ScriptedServer

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"0123456789abcdef" * 5120


class LateReaderTest(TestCase):
    """The clock says that each look at it comes later than the time-out."""

    def late_answer(self, answer: bytes, then: bytes = b"") -> bytes:
        now = 0.0
        begun, sent = threading.Event(), threading.Event()

        def clock() -> float:
            nonlocal now
            now += 2 * SHORT_S
            if begun.is_set():
                sent.wait(WAIT_S)
            return now

        def script(connection: socket.socket, number: int) -> None:
            begun.set()
            connection.sendall(answer)
            sent.set()
            if then:
                threading.Event().wait(SHORT_S / 2)
                connection.sendall(then)

        server = ScriptedServer(script)
        self.addCleanup(server.close)
        transport = Transport((server.address,), clock)
        exchanged = transport.exchange("x", Effect.REPEATABLE, "POST", "/x", BODY, SHORT_S)
        return exchanged.value_or(b"lost")

    def test_an_answer_in_chunks_counts_however_late_it_is_read(self) -> None:
        """An overloaded host threw away answers that it had, as their end was yet to be read."""
        self.assertEqual(b"answer", self.late_answer(CHUNKED + b"6\r\nanswer\r\n0\r\n\r\n"))

    def test_a_long_answer_counts_however_late_it_is_read(self) -> None:
        """An overloaded host threw away all that it had read of its jobs but the first part."""
        head = HEAD.replace(b"6", str(len(LONG)).encode())
        self.assertEqual(LONG, self.late_answer(head + LONG))

    def test_a_late_reader_does_not_wait_for_the_rest(self) -> None:
        """A caller waited on for an answer that came drop by drop."""
        self.assertEqual(b"lost", self.late_answer(HEAD + b"ans", b"wer"))
