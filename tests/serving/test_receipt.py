"""Receipt of requests piece by piece: framing, limits and deadlines."""

import time
from typing import Any

from testtools import TestCase

from lentilrill.serving import Framing, ReceiptLimits, RefusalKind
from lentilrill.serving._receipt import Receipt, Received

LIMITS = ReceiptLimits(head_bytes=1000, held_body_bytes=100)
POST = b"POST /x HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
Step = Received | RefusalKind | None


def received(data: bytes, limits: ReceiptLimits = LIMITS, part: int = 1) -> Step:
    """Return what becomes of ``data`` that comes in parts."""
    receipt = Receipt(limits)
    step: Step = None
    for start in range(0, len(data), part):
        receipt.feed(data[start : start + part])
        step = receipt.advance()
        if step is not None:
            return step
    return step


class FramingTest(TestCase):
    def assert_held(self, body: bytes, data: bytes, limits: ReceiptLimits = LIMITS) -> None:
        for part in (1, 7, len(data)):
            step = received(data, limits, part)
            assert isinstance(step, Received), (step, data)
            self.assertIs(Framing.HELD, step.framing)
            self.assertEqual(body, step.data.partition(b"\r\n\r\n")[2])
            self.assertEqual(len(body), step.length)

    def test_whole_requests(self) -> None:
        self.assert_held(b"", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_held(b"", b"\r\nGET / HTTP/1.0\r\n\r\n")
        self.assert_held(b"abc", POST + b"content-length : 3\r\n\r\nabc")
        self.assert_held(b"abcde", CHUNKED + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX: y\r\n\r\n")
        self.assert_held(b"x" * 100, CHUNKED + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n")

    def test_the_next_request_stays(self) -> None:
        """Guards against a pipelined request that is lost, or read as a body."""
        receipt = Receipt(LIMITS)
        receipt.feed(CHUNKED + b"1\r\na\r\n0\r\n\r\n" + POST + b"Content-Length: 2\r\n\r\nbc")
        bodies = []
        for _ in range(2):
            step = receipt.advance()
            assert isinstance(step, Received)
            bodies.append(step.data[-step.length :])
            receipt.begin(LIMITS)
        self.assertEqual([b"a", b"bc"], bodies)
        self.assertTrue(receipt.is_empty)

    def test_ambiguous_framing_is_never_read(self) -> None:
        """Guards against a body that this server and the next one delimit differently."""
        for fields in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"\x0bContent-Length: 3\r\ncontent-length\x0b: 4\r\n",
            b"Content-Length: 3\r\n 0\r\n",
            b"Content-Length: +3\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
        ):
            step = received(POST + fields + b"\r\nabc", part=1000)
            assert isinstance(step, Received), fields
            self.assertIs(Framing.UNKNOWN, step.framing, fields)
        step = received(CHUNKED.replace(b"1.1", b"1.0"), part=1000)
        assert isinstance(step, Received)
        self.assertIs(Framing.UNKNOWN, step.framing)

    def test_long_bodies(self) -> None:
        long = POST + b"Content-Length: 101\r\n\r\nab"
        self.assertIs(RefusalKind.TOO_LARGE, received(long))
        self.assertIs(RefusalKind.LONG_CHUNKED, received(CHUNKED + b"65\r\n"))
        self.assertIs(RefusalKind.LONG_CHUNKED, received(CHUNKED + b"fffffffffffffff\r\n"))
        for framing in (Framing.STREAMED, Framing.UNREAD):
            limits = ReceiptLimits(head_bytes=1000, held_body_bytes=100, longer_bodies=framing)
            step = received(long, limits, part=1000)
            assert isinstance(step, Received)
            self.assertIs(framing, step.framing)
            self.assertEqual(101, step.length)

    def test_malformed_chunks(self) -> None:
        for chunks in (
            b"zz\r\n",
            b"-1\r\n",
            b"0x1\r\n",
            b"\r\n",
            b"1\r\nabc",
            b"0" * 5000,
            b"1;" + b"x" * 5000,
            b"1;%b\r\nx\r\n" % (b"x" * 4000) * 5,
            b"0\r\n" + b"X: y\r\n" * 5000,
        ):
            step = received(CHUNKED + chunks, part=1000)
            self.assertIs(RefusalKind.MALFORMED, step, chunks[:20])

    def test_a_head_without_end_is_handed_to_the_parser(self) -> None:
        for data in (b"GET /" + b"a" * 1000, b"GET / HTTP/1.1\n\n", b"\n"):
            step = received(data, part=1000)
            assert isinstance(step, Received)
            self.assertIs(Framing.UNKNOWN, step.framing)
            self.assertTrue(len(step.data) <= 1001)


class DeadlineTest(TestCase):
    def a_receipt(self, data: bytes, **limits: Any) -> Receipt:
        receipt = Receipt(ReceiptLimits(head_bytes=1000, held_body_bytes=10**6, **limits))
        receipt.feed(data)
        self.assertIsNone(receipt.advance())
        return receipt

    def test_the_time_for_a_head_does_not_begin_anew(self) -> None:
        receipt = self.a_receipt(POST, head_s=5.0)
        deadline = receipt.deadline
        receipt.feed(b"X: ")
        receipt.advance()
        self.assertEqual(deadline, receipt.deadline)

    def test_a_body_has_to_keep_the_least_rate(self) -> None:
        """Guards against a deadline that begins anew with each byte of a body."""
        for start in (POST + b"Content-Length: 900000\r\n\r\n", CHUNKED + b"dbba0\r\n"):
            receipt = self.a_receipt(start, body_grace_s=5.0, least_bytes_per_s=10, idle_s=100)
            deadline = receipt.deadline
            self.assertTrue(deadline <= time.monotonic() + 5.0)
            receipt.feed(bytes(100))
            receipt.advance()
            self.assertAlmostEqual(deadline + 10, receipt.deadline, places=3)
