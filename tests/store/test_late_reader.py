"""Answers that arrive in time but are read late by an overloaded host."""

import socket
import threading

from testtools import TestCase

from lentilrill.store._guard import Effect
from lentilrill.store._transport import Transport
from tests.store.test_transport import BODY, HEAD, SHORT_S, WAIT_S, ScriptedServer

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"0123456789abcdef" * 5120


class LateReaderTest(TestCase):
    """The clock advances by more than the timeout at each call."""

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
        """Guards against discarding a received answer because its last chunk is read late."""
        self.assertEqual(b"answer", self.late_answer(CHUNKED + b"6\r\nanswer\r\n0\r\n\r\n"))

    def test_a_long_answer_counts_however_late_it_is_read(self) -> None:
        """Guards against discarding a received answer of several parts that is read late."""
        head = HEAD.replace(b"6", str(len(LONG)).encode())
        self.assertEqual(LONG, self.late_answer(head + LONG))

    def test_a_late_reader_does_not_wait_for_the_rest(self) -> None:
        """Guards against a wait past the deadline for an answer that is still arriving."""
        self.assertEqual(b"lost", self.late_answer(HEAD + b"ans", b"wer"))
