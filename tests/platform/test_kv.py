"""Interpretation of answers of the platform's store, and retries."""

import threading
import time
from base64 import b64encode
from collections import deque
from collections.abc import Callable
from unittest import mock

from returns.result import Failure, Result
from testtools import TestCase

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.platform import PlatformKeyValue
from lentilrill.platform._kv_answers import StoreAnswers
from lentilrill.settings import StoreSettings
from lentilrill.store import Compare, Effect, Item, Put, TxnAnswer
from lentilrill.telemetry import NoMetrics
from standins._http import Call, Server

ExchangeResult = Result[tuple[int, bytes, str], Fault]
"""Result of one HTTP exchange."""


class AnswersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.answers: deque[tuple[int, bytes]] = deque()
        self.server = Server("127.0.0.1:0", self.serve, 2)
        self.server.start()
        self.addCleanup(self.server.close)
        self.kv = PlatformKeyValue(StoreSettings(self.server.address), NoMetrics())

    def serve(self, call: Call, address: str) -> None:
        del address
        call.answer(*self.answers.popleft())

    def commit(self, status: int, body: bytes) -> Result[TxnAnswer, object]:
        self.answers.append((status, body))
        compares = (Compare("in/notices/j/a", Revision(0)),)
        return self.kv.commit(compares, (Put("in/notices/j/a", b"x"),))

    def test_an_error_or_a_malformed_answer_to_a_commit_is_ambiguous(self) -> None:
        """Guards against reporting a committed job as refused.

        A device on the path may turn the answer to a successful commit into a 500 or truncate
        its body.
        """
        for status, body in ((500, b""), (502, b""), (504, b""), (200, b"{"), (200, b"[]")):
            result = self.commit(status, body)
            assert isinstance(result, Failure)
            self.assertIs(FaultKind.AMBIGUOUS, result.failure().kind, (status, body))

    def test_a_page_that_is_cut_and_empty_is_no_end(self) -> None:
        """Guards against a new owner that takes some of its jobs for all of them."""
        item = b'{"key":"in/notices/j/a","value":"","revision":3}'
        for items, is_read in ((item, True), (b"", False)):
            pages = [(b"true", items), (b"false", b"")]
            self.answers = deque(
                (200, b'{"at_rev":7,"truncated":%b,"items":[%b]}' % page) for page in pages
            )
            read = self.kv.read("in/notices/")
            self.assertEqual(is_read, not isinstance(read, Failure))

    def test_answers_to_a_commit(self) -> None:
        self.assertEqual(TxnAnswer(True, Revision(7)), self.commit(200, b'{"revision":7}').unwrap())
        self.assertFalse(self.commit(412, b'{"items":[]}').unwrap().succeeded)
        self.assertEqual((), self.commit(412, b"{").unwrap().found)
        for status in (400, 404):
            result = self.commit(status, b"")
            assert isinstance(result, Failure)
            self.assertIs(FaultKind.INVALID, result.failure().kind)

    def test_a_failed_condition_returns_the_stored_items(self) -> None:
        """Guards against one commit per job when one job of a batch is stored already."""
        body = (
            b'{"items":[{"key":"in/notices/j/a","value":"eA==","revision":5},'
            b'{"key":"in/notices/j/b","revision":0},{"key":"c","revision":6,"removed":true},null]}'
        )
        found = self.commit(412, body).unwrap().found
        self.assertEqual((Item("in/notices/j/a", b"x", Revision(5)),), found)

    def test_a_malformed_answer_to_a_read_is_a_fault(self) -> None:
        """Guards against a thread that ends, or an accepted job that is reported as unknown, since
        an answer of the store can't be decoded."""
        item = b'{"key":"in/notices/j/a","value":"%s","revision":5}'
        for value in (b"?", b"eA=", b"eA==="):
            self.answers.append((200, item % value))
            self.assertIsInstance(self.kv.get("in/notices/j/a"), Failure, value)
            self.answers.append((200, b'{"items":[%s],"at_rev":9}' % (item % value)))
            self.assertIsInstance(self.kv.read("in/"), Failure, value)
            self.answers.append((200, b'{"events":[%s],"at_rev":9}' % (item % value)))
            watch = self.kv.watch("in/", Revision(5))
            self.addCleanup(watch.close)
            self.assertIsInstance(next(iter(watch)), Failure, value)
        self.answers.append((200, b"{"))
        self.assertIsInstance(self.kv.get("in/notices/j/a"), Failure)
        self.answers.append((404, b""))
        self.assertIsNone(self.kv.get("in/notices/j/a").unwrap())

    def test_bytes_are_stored_and_read_as_they_are(self) -> None:
        value = bytes(range(256))
        encoded = b64encode(value)
        self.commit(200, b'{"revision":7}')
        self.answers.append((200, b'{"key":"a","value":"%s","revision":5}' % encoded))
        self.assertEqual(Item("a", value, Revision(5)), self.kv.get("a").unwrap())

    def test_a_grant_without_a_lease_is_a_fault(self) -> None:
        """Guards against keys without a lease, if an answer to a request for one names none."""
        for body in (b'{"ttl_ms":1600}', b'{"ttl_ms":1600,"lease":0}'):
            self.answers.append((200, body))
            self.assertIsInstance(self.kv.lease(1.6), Failure, body)
        self.answers.append((200, b'{"ttl_ms":1600,"lease":7}'))
        self.assertEqual(7, self.kv.lease(1.6).unwrap())

    def test_an_item_tells_its_lease(self) -> None:
        """Guards against a key that remains without its process and looks like any other."""
        for lease, body in ((7, b'"lease":7'), (None, b'"lease":0'), (None, b'"created":5')):
            item = b'{"key":"m/o/a","value":"eA==","revision":5,%s}' % body
            self.answers.append((200, b'{"items":[%s],"at_rev":9}' % item))
            self.assertEqual(lease, self.kv.read("m/").unwrap().items[0].lease)
            self.answers.append((200, b'{"events":[%s],"at_rev":9}' % item))
            watch = self.kv.watch("m/", Revision(4))
            self.addCleanup(watch.close)
            self.assertEqual(lease, next(iter(watch)).unwrap().items[0].lease)


class LostAnswersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.released = threading.Event()
        self.answers: deque[tuple[int, bytes] | None] = deque()
        self.bodies: list[bytes] = []
        self.delay_s = 0.0
        self.server = Server("127.0.0.1:0", self.serve, 4)
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.released.set)
        self.kv = PlatformKeyValue(StoreSettings(self.server.address), NoMetrics())
        self.timeouts_s: list[float] = []
        for transport in (self.kv._transport, self.kv._leases._transport):
            self.patch(transport, "request", self.recording_timeouts(transport.request))

    def recording_timeouts(
        self, request: Callable[..., ExchangeResult]
    ) -> Callable[..., ExchangeResult]:
        """Return a wrapper of the call that records its timeout."""

        def recorded(
            step: str, effect: Effect, method: str, path: str, body: bytes, timeout_s: float
        ) -> ExchangeResult:
            self.timeouts_s.append(timeout_s)
            return request(step, effect, method, path, body, timeout_s)

        return recorded

    def serve(self, call: Call, address: str) -> None:
        del address
        self.bodies.append(call.body)
        answer = self.answers.popleft()
        time.sleep(self.delay_s)
        if answer is None:
            call.block_while(lambda: not self.released.is_set())
            call.disconnect()
        else:
            call.answer(*answer)

    def commit(
        self, *answers: tuple[int, bytes] | None, compared: str = "a"
    ) -> Result[TxnAnswer, Fault]:
        self.answers.clear()
        self.answers.extend(answers)
        return self.kv.commit((Compare(compared, Revision(4)),), (Put("a", b"x"),))

    def test_a_commit_without_an_answer_is_sent_again(self) -> None:
        """Guards against a delay of a second when one answer to a commit is lost."""
        done = self.commit(None, (200, b'{"revision":7}')).unwrap()
        self.assertLess(self.timeouts_s[0], 0.4)
        self.assertEqual(TxnAnswer(True, Revision(7)), done)
        self.assertEqual(1, len(set(self.bodies)))

    def test_a_commit_that_took_effect_is_known_by_what_it_wrote(self) -> None:
        """Guards against a failure of the second attempt because the first took effect."""
        stored = b'{"items":[{"key":"a","value":"eA==","revision":5}]}'
        self.assertEqual(TxnAnswer(True, Revision(5)), self.commit(None, (412, stored)).unwrap())

    def test_an_inconclusive_second_attempt_stays_ambiguous(self) -> None:
        """Guards against reporting a write that may still take effect as failed."""
        other = b'{"items":[{"key":"a","value":"eQ==","revision":5}]}'
        before = b'{"items":[{"key":"a","value":"eA==","revision":4}]}'
        for answer in (
            (412, other),
            (412, before),
            (412, b"{"),
            (412, b'{"items":[]}'),
            (503, b""),
        ):
            result = self.commit(None, *[answer] * 8)
            assert isinstance(result, Failure)
            self.assertIs(FaultKind.AMBIGUOUS, result.failure().kind, answer)

    def test_what_may_take_effect_twice_is_sent_once(self) -> None:
        """Guards against executing a write twice when its condition still holds afterwards."""
        result = self.commit(None, (200, b'{"revision":7}'), compared="b")
        assert isinstance(result, Failure)
        self.assertIs(FaultKind.AMBIGUOUS, result.failure().kind)
        self.assertEqual(1, len(self.bodies))

    def test_a_lost_renewal_is_sent_again_at_once(self) -> None:
        """Guards against losing a lease, and the owned pools, to two consecutive lost answers."""
        # On a busy machine the store would pass for a slow one, which gets each call once.
        patched = mock.patch.object(StoreAnswers, "record_latency")
        patched.start()
        self.addCleanup(patched.stop)
        for number in range(3):
            self.answers.extend([None, (200, b'{"ttl_ms":1600}')])
            self.timeouts_s.clear()
            self.assertEqual(1.6, self.kv.keep_alive(number).unwrap())
            self.assertLess(self.timeouts_s[0], 0.2)

    def test_a_renewal_that_gets_no_answer_ends_in_time_for_another(self) -> None:
        """Guards against a renewal that leaves no time for another one within the lease."""
        self.answers.extend([None] * 4)
        self.assertIsInstance(self.kv.keep_alive(1), Failure)
        self.assertLess(sum(self.timeouts_s), 0.7)

    def test_a_slow_store_does_not_get_each_call_twice(self) -> None:
        """Guards against sending each call twice to a slow store."""
        self.delay_s = 0.4
        self.commit((200, b'{"revision":7}'), (200, b'{"revision":7}'))
        self.bodies.clear()
        self.commit((200, b'{"revision":8}'))
        self.answers.append((200, b'{"ttl_ms":1600}'))
        self.kv.keep_alive(1)
        self.assertEqual(2, len(self.bodies))


class SlowLinkTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls = 0
        self.parts: list[bytes] = []
        self.missing = 0
        self.ended = threading.Event()
        self.server = Server("127.0.0.1:0", self.serve, 4)
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.ended.set)
        self.kv = PlatformKeyValue(StoreSettings(self.server.address), NoMetrics())

    def serve(self, call: Call, address: str) -> None:
        del address
        self.calls += 1
        size = sum(len(part) for part in self.parts) + self.missing
        call.begin(200, {"Content-Length": str(size)})
        for part in self.parts:
            call.write(part)
            time.sleep(0.2)
        if self.missing:
            call.block_while(lambda: not self.ended.is_set())
            call.disconnect()

    def test_a_page_that_keeps_arriving_is_read_to_its_end(self) -> None:
        """Guards against endless retries of a long read over a slow link."""
        item = b'{"key":"op/config","value":"eA==","revision":5}'
        self.parts = [b'{"items":[', *[item + b","] * 5, item, b'],"at_rev":6}']
        answer = self.kv.read("op/").unwrap()
        self.assertEqual((6, 6), (len(answer.items), answer.revision))
        self.assertEqual(1, self.calls)

    def test_a_page_that_stops_arriving_is_given_up(self) -> None:
        """Guards against a read that waits for a silent connection."""
        self.parts, self.missing = [b'{"items":['], 40
        began = time.monotonic()
        self.assertIsInstance(self.kv.read("op/"), Failure)
        self.assertLess(time.monotonic() - began, 3.0)
