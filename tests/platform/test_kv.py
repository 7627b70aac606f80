"""What an answer of the platform's store means, and what it does not."""

import threading
import time
from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result
from testtools import TestCase

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.platform import PlatformKeyValue
from lentilrill.settings import StoreSettings
from lentilrill.store import Compare, Effect, Item, Put, TxnAnswer
from lentilrill.telemetry import NoMetrics
from standins._http import Call, Server

Answered = Result[tuple[int, bytes, str], Fault]
"""What became of one HTTP exchange."""


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

    def test_an_error_or_an_odd_answer_may_hide_a_commit(self) -> None:
        """A clerk was told that a job never runs, and it was embossed.

        The store had committed it, and something on the way turned the answer into a 500, or cut
        its body; either was taken for a refusal.
        """
        for status, body in ((500, b""), (502, b""), (504, b""), (200, b"{"), (200, b"[]")):
            result = self.commit(status, body)
            assert isinstance(result, Failure)
            self.assertIs(FaultKind.AMBIGUOUS, result.failure().kind, (status, body))

    def test_what_the_store_says_of_a_commit(self) -> None:
        self.assertEqual(TxnAnswer(True, Revision(7)), self.commit(200, b'{"revision":7}').unwrap())
        self.assertFalse(self.commit(412, b'{"items":[]}').unwrap().succeeded)
        self.assertEqual((), self.commit(412, b"{").unwrap().found)
        for status in (400, 404):
            result = self.commit(status, b"")
            assert isinstance(result, Failure)
            self.assertIs(FaultKind.INVALID, result.failure().kind)

    def test_a_failed_condition_shows_what_is_there(self) -> None:
        """One stored job of a commit had each of the others committed by itself."""
        body = (
            b'{"items":[{"key":"in/notices/j/a","value":"eA==","revision":5},'
            b'{"key":"in/notices/j/b","revision":0},{"key":"c","revision":6,"removed":true},null]}'
        )
        found = self.commit(412, body).unwrap().found
        self.assertEqual((Item("in/notices/j/a", b"x", Revision(5)),), found)


class LostAnswersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.held = threading.Event()
        self.answers: deque[tuple[int, bytes] | None] = deque()
        self.bodies: list[bytes] = []
        self.delay_s = 0.0
        self.server = Server("127.0.0.1:0", self.serve, 4)
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.held.set)
        self.kv = PlatformKeyValue(StoreSettings(self.server.address), NoMetrics())
        self.waits_s: list[float] = []
        for transport in (self.kv._transport, self.kv._leases):
            self.patch(transport, "answer", self.noting_waits(transport.answer))

    def noting_waits(self, answer: Callable[..., Answered]) -> Callable[..., Answered]:
        """Return the call, which also notes for how long at most it waits for its answer."""

        def noted(
            step: str, effect: Effect, method: str, path: str, body: bytes, timeout_s: float
        ) -> Answered:
            self.waits_s.append(timeout_s)
            return answer(step, effect, method, path, body, timeout_s)

        return noted

    def serve(self, call: Call, address: str) -> None:
        del address
        self.bodies.append(call.body)
        answer = self.answers.popleft()
        time.sleep(self.delay_s)
        if answer is None:
            call.block_while(lambda: not self.held.is_set())
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
        """A completed job was shown a second late, since its commit had one answer lost."""
        done = self.commit(None, (200, b'{"revision":7}')).unwrap()
        self.assertLess(self.waits_s[0], 0.4)
        self.assertEqual(TxnAnswer(True, Revision(7)), done)
        self.assertEqual(1, len(set(self.bodies)))

    def test_a_commit_that_took_effect_is_known_by_what_it_wrote(self) -> None:
        """The second try of a commit failed since the first had taken effect."""
        there = b'{"items":[{"key":"a","value":"eA==","revision":5}]}'
        self.assertEqual(TxnAnswer(True, Revision(5)), self.commit(None, (412, there)).unwrap())

    def test_a_second_try_that_does_not_tell_settles_nothing(self) -> None:
        """A write that may still happen was taken for one that never does."""
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
        """A write whose condition held again after it was carried out a second time."""
        result = self.commit(None, (200, b'{"revision":7}'), compared="b")
        assert isinstance(result, Failure)
        self.assertIs(FaultKind.AMBIGUOUS, result.failure().kind)
        self.assertEqual(1, len(self.bodies))

    def test_a_lost_renewal_is_sent_again_at_once(self) -> None:
        """Two lost answers in a row cost a host its lease, and its pools their owner."""
        for number in range(3):
            self.answers.extend([None, (200, b'{"ttl_ms":1600}')])
            self.waits_s.clear()
            self.assertEqual(1.6, self.kv.keep_alive(number).unwrap())
            self.assertLess(self.waits_s[0], 0.2)

    def test_a_renewal_that_gets_no_answer_ends_in_time_for_another(self) -> None:
        """A host gave its pools up while a second renewal would still have kept its lease."""
        self.answers.extend([None] * 4)
        self.assertIsInstance(self.kv.keep_alive(1), Failure)
        self.assertLess(sum(self.waits_s), 0.7)

    def test_a_slow_store_does_not_get_each_call_twice(self) -> None:
        """A store that was slow got twice the calls, and each caller waited twice."""
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
        """A host on a slow link asked for the same long list again and again, and got none."""
        item = b'{"key":"op/config","value":"eA==","revision":5}'
        self.parts = [b'{"items":[', *[item + b","] * 5, item, b'],"at_rev":6}']
        answer = self.kv.read("op/").unwrap()
        self.assertEqual((6, 6), (len(answer.items), answer.revision))
        self.assertEqual(1, self.calls)

    def test_a_page_that_stops_arriving_is_given_up(self) -> None:
        """A read was held by a connection that had gone silent."""
        self.parts, self.missing = [b'{"items":['], 40
        began = time.monotonic()
        self.assertIsInstance(self.kv.read("op/"), Failure)
        self.assertLess(time.monotonic() - began, 3.0)
