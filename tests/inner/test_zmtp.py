"""The receiving end of ZeroMQ's wire protocol: what it accepts, answers and refuses."""

from testtools import TestCase

from lentilrill.inner._zmtp import GREETING, ProtocolError, Receiver

READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
MAX_BYTES = 1000
LONG_MESSAGE = b"\x02" + (MAX_BYTES).to_bytes(8, "big") + b"y" * MAX_BYTES


class ReceiverTest(TestCase):
    def an_open_receiver(self) -> Receiver:
        receiver = Receiver(MAX_BYTES)
        self.assertEqual([], list(receiver.feed(GREETING + READY)))
        receiver.answer.clear()
        return receiver

    def check_refused(self, receiver: Receiver, data: bytes) -> None:
        with self.assertRaises(ProtocolError):
            list(receiver.feed(data))

    def test_messages_arrive_however_they_are_cut(self) -> None:
        """Guards against messages that are lost or joined where the network cuts the stream."""
        stream = GREETING + READY + b"\x00\x02ab" + LONG_MESSAGE + b"\x00\x00" + b"\x00\x01c"
        for size in (1, 2, 3, 7, 64, 65, len(stream)):
            receiver = Receiver(MAX_BYTES)
            parts = (stream[n : n + size] for n in range(0, len(stream), size))
            messages = [message for part in parts for message in receiver.feed(part)]
            self.assertEqual([b"ab", b"y" * MAX_BYTES, b"", b"c"], messages)
            self.assertFalse(receiver.is_within_frame)

    def test_a_ping_is_answered(self) -> None:
        """Guards against peers that give up a connection since their pings get no answer."""
        receiver = self.an_open_receiver()
        self.assertEqual([], list(receiver.feed(b"\x04\x09\x04PING\x00\x28xy")))
        self.assertEqual(b"\x04\x07\x04PONGxy", bytes(receiver.answer))

    def test_what_exceeds_a_limit_is_refused(self) -> None:
        """Guards against memory that the length, the parts or the commands of a message take."""
        too_long = b"\x02" + (MAX_BYTES + 1).to_bytes(8, "big")
        long_command = b"\x06" + (600).to_bytes(8, "big")
        long_ping = b"\x04\x20\x04PING\x00\x28" + b"x" * 25
        for data in (too_long, b"\x01\x01a", b"\x03" + bytes(8), long_command, long_ping, b"\x80a"):
            self.check_refused(self.an_open_receiver(), data)

    def test_what_is_not_the_protocol_is_refused(self) -> None:
        """Guards against memory that a peer takes which never completes a handshake."""
        self.check_refused(Receiver(MAX_BYTES), b"GET / HTTP/1.1\r\n")
        self.check_refused(Receiver(MAX_BYTES), b"\xff" + bytes(9))
        self.check_refused(Receiver(MAX_BYTES), GREETING.replace(b"NULL", b"CURV"))
        self.check_refused(Receiver(MAX_BYTES), GREETING + b"\x00\x01a")
