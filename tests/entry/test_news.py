"""Recipients and times of an entry host's status messages, and the handling of late ones."""

import time
from typing import Any

import msgspec
from testtools import TestCase

from lentilrill.entry import _news
from lentilrill.entry._audience import REFRESH_S, TELL_EVERY_S, BriefTurn
from lentilrill.entry._books import ConfigurationBook
from lentilrill.entry._news import NewsDesk
from lentilrill.ids import EndpointId, Incarnation, PoolId, ProcessId
from lentilrill.inner import Batch, Configured, HostNews
from tests.builders import a_member_record, a_pressure
from tests.entry.fakes import FakeNode

HOSTS = 97
FLEET = "10.0.0.5:1"


class NewsCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = FakeNode()
        self.pressures: tuple[Any, ...] = ()
        self.silent_s = 0.0
        self.is_owner = False
        self.now = 1000.0
        self.patch(time, "monotonic", lambda: self.now)
        self.patch(_news, "boottime", lambda: self.now)
        self.book = ConfigurationBook()
        self.desk = NewsDesk(
            self.node,
            lambda: [a_member_record(f"h{n}", f"10.0.0.{n}:1") for n in range(1, HOSTS)],
            self.book,
            lambda: self.pressures,
            lambda: self.silent_s,
            fleet_address=lambda: FLEET,
            is_owner=lambda: self.is_owner,
        )

    def tick(self, after_s: float = 0.1) -> list[tuple[str, Any]]:
        """Advance the clock; return the messages that are sent then."""
        self.now += after_s
        self.node.sent.clear()
        self.desk._tell_if_due()
        return list(self.node.sent)

    def hear(self, news: HostNews, host: str = "h1") -> None:
        self.desk._heard(Batch(ProcessId(host), Incarnation(1), "10.0.0.1:1", ()), news)


class AudienceTest(NewsCase):
    def test_a_host_at_rest_tells_a_few_however_many_there_are(self) -> None:
        """At a site of 97 entry hosts each spent most of its processor time on status messages."""
        sent = [self.tick() for _ in range(20)]
        told = sum(len(each) for each in sent)
        self.assertLessEqual(told, 2 * (2.0 / REFRESH_S + 1))
        self.assertEqual(2, len({address for each in sent for address, _ in each}))

    def test_the_fleets_owner_hears_of_a_rise_at_once(self) -> None:
        """Additional hosts came later to a surge than necessary."""
        self.pressures = (a_pressure(need=2.0),)
        self.tick(1.0)
        self.pressures = (a_pressure(need=9.0),)
        self.assertIn(FLEET, [address for address, _ in self.tick()])

    def test_only_the_fleets_owner_gets_lists_of_endpoints(self) -> None:
        """An owner of a large pool sent megabits per second to hosts that didn't use the data."""
        idle = tuple(EndpointId(f"e{n}") for n in range(60))
        self.pressures = (a_pressure(idle=idle),)
        for address, news in self.tick(1.0):
            [pressure] = news.pools
            self.assertEqual(idle if address == FLEET else (), pressure.idle, address)

    def test_all_hosts_hear_of_a_pool_before_what_they_know_is_old(self) -> None:
        """A host refused no jobs for a full pool, because the pressure it knew had expired."""
        self.pressures = (a_pressure(),)
        self.assertEqual(HOSTS - 1, len({address for address, _ in self.tick(1.0)}))
        self.assertEqual(HOSTS - 1, len({address for address, _ in self.tick(REFRESH_S)}))

    def test_a_wait_that_changes_is_told_sooner(self) -> None:
        turn = BriefTurn()
        turn.told((a_pressure(wait_s=0.1),), 10.0)
        later = 10.0 + TELL_EVERY_S
        self.assertFalse(turn.is_due((a_pressure(wait_s=0.2),), later))
        self.assertTrue(turn.is_due((a_pressure(wait_s=0.9),), later))
        self.assertFalse(turn.is_due((a_pressure(wait_s=0.9),), later - 0.1))

    def test_an_owner_asks_all_hosts_whether_they_reach_the_store(self) -> None:
        """An owner stopped giving orders in a store outage, as no other host reported it."""
        self.silent_s = 0.5
        self.assertEqual([], [news for _, news in self.tick(1.0) if news.asks])
        self.is_owner = True
        asked = {address for address, news in self.tick(1.0) if news.asks}
        self.assertEqual(HOSTS - 1, len(asked))

    def test_who_is_asked_answers(self) -> None:
        self.hear(HostNews(0.0, -1, asks=True))
        [(address, news)] = self.node.sent
        self.assertEqual("10.0.0.1:1", address)
        self.assertFalse(news.asks)

    def test_a_host_that_might_take_over_is_asked(self) -> None:
        """A weak owner kept its shard, as it had no report from the host that should get it."""
        self.assertFalse(self.desk.takes_over(ProcessId("h7")))
        asked = [address for address, news in self.tick() if news.asks]
        self.assertEqual(["10.0.0.7:1"], asked)
        self.assertEqual([], [news for _, news in self.tick(2.0) if news.asks])

    def test_a_host_with_an_old_configuration_gets_the_newer_one(self) -> None:
        """A host that the store refused to serve used a configuration that was minutes old."""
        record = msgspec.json.encode({"version": 3, "routes": [], "services": []})
        self.hear(HostNews(0.0, 3))
        self.assertEqual(1, len(self.node.sent))
        self.node.sent.clear()
        self.book.offer(record)
        self.hear(HostNews(0.0, 2))
        [(_, message)] = self.node.sent
        self.assertIsInstance(message, Configured)


class LateNewsTest(NewsCase):
    def test_news_that_are_read_late_are_old(self) -> None:
        """A busy fleet owner moved hosts by values that were seconds old and seemed new."""
        pool = PoolId("notices")
        self.hear(HostNews(0.0, -1, (a_pressure(),), sent_s=70.0))
        self.assertIsNotNone(self.desk.pressure_of(pool))
        self.now += 5.0
        self.hear(HostNews(0.0, -1, (a_pressure(),), sent_s=71.0))
        self.assertIsNone(self.desk.pressure_of(pool))
        self.hear(HostNews(0.0, -1, (a_pressure(),), sent_s=75.0))
        self.assertIsNotNone(self.desk.pressure_of(pool))

    def test_a_host_that_starts_again_has_a_clock_of_its_own(self) -> None:
        self.hear(HostNews(0.0, -1, (a_pressure(),), sent_s=70.0))
        self.now += 5.0
        batch = Batch(ProcessId("h1"), Incarnation(2), "10.0.0.1:1", ())
        self.desk._heard(batch, HostNews(0.0, -1, (a_pressure(),), sent_s=1.0))
        self.assertIsNotNone(self.desk.pressure_of(PoolId("notices")))
