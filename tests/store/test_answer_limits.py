"""Limits of answers: of all that arrive at the same time, and of a list in pages."""

from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.bounded_http import ByteBudget
from lentilrill.platform import _hosts
from lentilrill.platform._hosts import PlatformHosts
from lentilrill.store import _transport
from lentilrill.store._guard import Effect
from lentilrill.store._transport import SMALL_ANSWER_BYTES, Transport
from tests.store.test_transport import BODY, WAIT_S, ScriptedServer

LENGTH = 2 * SMALL_ANSWER_BYTES
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH
PAGE = b'{"machines": [], "next_token": "x"}'


class AnswerLimitsTest(TestCase):
    def test_answers_share_a_budget_that_is_given_back(self) -> None:
        """Guards against memory that many long answers take together, and against a budget that
        runs out over time."""
        self.patch(_transport, "_held_bytes", ByteBudget(LENGTH))
        server = ScriptedServer(lambda connection, _: connection.sendall(HEAD + bytes(LENGTH)))
        self.addCleanup(server.close)

        def call() -> object:
            transport = Transport((server.address,))
            return transport.request("x", Effect.REPEATABLE, "POST", "/x", BODY, WAIT_S)

        budget = _transport._held_bytes
        self.assertTrue(budget.take(LENGTH - 1))
        self.assertIsInstance(call(), Failure)
        budget.give_back(LENGTH - 1)
        for _ in range(3):
            self.assertIsInstance(call(), Success)

    def test_a_list_of_hosts_ends(self) -> None:
        """Guards against a list whose every page names a next one."""
        self.patch(_hosts, "MAX_PAGES", 3)

        class Pages:
            asked = 0

            def request(self, *_: object) -> Success[tuple[int, bytes, str]]:
                self.asked += 1
                return Success((200, PAGE, "x"))

        hosts, pages = PlatformHosts("127.0.0.1:1"), Pages()
        hosts._list_transport = pages  # type: ignore[assignment]
        self.assertIsInstance(hosts.hosts(), Failure)
        self.assertEqual(3, pages.asked)
