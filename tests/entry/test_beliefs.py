"""What an entry host believes from records and from its peers."""

import time
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilrill.entry._books import ConfigurationBook, EndpointBook
from lentilrill.entry._news import NewsDesk
from lentilrill.ids import EndpointId, Incarnation, PoolId, ProcessId, Revision, ZoneId
from lentilrill.inner import Batch, HostNews, PoolPressure
from lentilrill.ownership import MemberRecord
from lentilrill.store import Item
from tests.entry.fakes import FakeNode


def a_record(version: int, *prefixes: str) -> bytes:
    routes = [
        {"name": prefix, "host": "braille.example", "prefix": prefix, "service": "notices"}
        for prefix in prefixes
    ]
    return msgspec.json.encode({"version": version, "routes": routes, "services": []})


def an_item(key: str, value: bytes | None, revision: int = 1) -> Item:
    return Item(key, value, Revision(revision))


class ConfigurationBookTest(TestCase):
    def test_an_older_version_never_comes_back(self) -> None:
        """A clerk's queue was there, then unknown, then there again.

        A host had taken the new configuration from a peer; then its own read of the store, which
        was stale, brought the old one.
        """
        book = ConfigurationBook()
        book.offer(a_record(7, "/new/"))
        book.on_replaced((an_item("op/config", a_record(3, "/old/")),))
        self.assertEqual(7, book.version)
        book.on_changed((an_item("op/config", a_record(9, "/newest/")),))
        self.assertEqual(9, book.version)

    def test_odd_records_change_nothing(self) -> None:
        book = ConfigurationBook()
        book.offer(a_record(7, "/new/"))
        for odd in (b"", b"{}", b'{"version":"8"}'):
            book.offer(odd)
        self.assertEqual(7, book.version)

    def test_the_longest_prefix_wins(self) -> None:
        book = ConfigurationBook()
        book.offer(a_record(1, "/a/", "/a/b/"))
        assert book.current is not None
        found = book.current.queue_for("braille.example", "/a/b/5c0e7a21d94b36f8")
        assert found is not None
        self.assertEqual("/a/b/", found.prefix)
        self.assertIsNone(book.current.queue_for("other.example", "/a/b/x"))


class EndpointBookTest(TestCase):
    def test_an_entry_that_turns_odd_names_no_endpoint_any_more(self) -> None:
        book = EndpointBook()
        entry = {"service": "notices", "address": "10.0.0.1:1", "state": "ready"}
        book.on_changed((an_item("servers/i-1", msgspec.json.encode(entry)),))
        self.assertEqual({EndpointId("i-1")}, set(book.of_pool(PoolId("notices"))))
        book.on_changed((an_item("servers/i-1", b"\xff", 2),))
        self.assertEqual({}, book.of_pool(PoolId("notices")))


class NewsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.silent_s = 5.0
        self.members = [
            MemberRecord(ProcessId(f"h{n}"), Incarnation(1), ZoneId("z"), f"10.0.0.{n}:1", 1)
            for n in range(6)
        ]
        self.is_slowed = False
        self.rises: list[bool] = []
        self.desk = NewsDesk(
            FakeNode(),
            lambda: self.members,
            ConfigurationBook(),
            lambda: (),
            lambda: self.silent_s,
            lambda: self.rises.append(True),
            is_slowed=lambda: self.is_slowed,
        )
        self.desk._tell(())

    def hear(self, host: str, news: HostNews) -> None:
        self.desk._heard(Batch(ProcessId(host), Incarnation(1), "10.0.0.1:1", ()), news)

    def test_an_outage_is_everywhere_only_if_most_say_so(self) -> None:
        """Two hosts owned one pool: one of them, cut off with its zone, took the cut for an outage.

        It hears the hosts of its own zone only, and these are no majority.
        """
        for host in ("h0", "h1"):
            self.hear(host, HostNews(5.0, -1))
        self.assertFalse(self.desk.outage_everywhere())
        self.hear("h2", HostNews(5.0, -1))
        self.assertTrue(self.desk.outage_everywhere())
        self.hear("h2", HostNews(0.1, -1))
        self.assertFalse(self.desk.outage_everywhere())

    def test_a_cut_just_after_an_outage_is_no_outage(self) -> None:
        """A book was embossed twice: two hosts owned the pool for five seconds.

        In an outage of the store all leases ran out. Just after it, when only two other hosts had
        registered anew, a zone was cut off: both of its hosts were silent, the store's list named
        two others, and so the owner in the zone took the cut for an outage and went on.
        """
        self.members = self.members[4:]
        self.desk._tell(())
        self.hear("h0", HostNews(5.0, -1))
        self.assertFalse(self.desk.outage_everywhere())

    def test_one_host_that_reaches_the_store_is_enough(self) -> None:
        """Tasks ran twice: the store turned most hosts away and served one, which claimed."""
        for n in range(5):
            self.hear(f"h{n}", HostNews(5.0, -1))
        self.assertTrue(self.desk.outage_everywhere())
        self.hear("h5", HostNews(0.0, -1))
        self.assertFalse(self.desk.outage_everywhere())

    def test_no_outage_for_a_host_that_reaches_the_store(self) -> None:
        self.silent_s = 0.1
        for n in range(6):
            self.hear(f"h{n}", HostNews(5.0, -1))
        self.assertFalse(self.desk.outage_everywhere())

    def test_a_rise_of_a_pool_s_need_is_acted_on_at_once(self) -> None:
        """In a surge each pool's hosts came three tenths of a second later than they could have.

        Its owner told its need by the clock, and the fleet's owner began its rounds by another.
        """
        pool = PoolId("notices")
        for need in (2.0, 2.5, 6.0, 6.1, 3.0):
            news = HostNews(0.0, -1, (PoolPressure(pool, 0.0, {}, 9, need=need),))
            self.hear("h1", news)
        self.assertEqual(1, len(self.rises))

    def test_a_former_owner_is_not_believed(self) -> None:
        pool = PoolId("notices")
        self.hear("h1", HostNews(0.0, -1, (PoolPressure(pool, 1.0, {}, 9),)))
        self.hear("h2", HostNews(0.0, -1, (PoolPressure(pool, 60.0, {}, 4),)))
        said = self.desk.pressure_of(pool)
        assert said is not None
        self.assertEqual(9, said.token)

    def test_only_a_host_that_says_so_now_takes_a_shard_over(self) -> None:
        """A shard went to a host that was leaving, or had not been heard for seconds."""
        host = ProcessId("h1")
        self.assertFalse(self.desk.takes_over(host))
        self.hear("h1", HostNews(0.0, -1, takes_over=True))
        self.assertTrue(self.desk.takes_over(host))
        later = time.monotonic() + 5.0
        with patch("lentilrill.entry._news.time.monotonic", lambda: later):
            self.assertFalse(self.desk.takes_over(host))
        self.hear("h1", HostNews(0.0, -1))
        self.assertFalse(self.desk.takes_over(host))

    def test_a_slowed_host_counts_what_it_heard_seconds_ago(self) -> None:
        """A slowed owner came to its peers' news late, found nobody fit, and kept its shard."""
        host = ProcessId("h1")
        self.is_slowed = True
        self.assertFalse(self.desk.takes_over(host))
        self.hear("h1", HostNews(0.0, -1, takes_over=True))
        for age_s, counts in ((3.0, True), (6.0, False)):
            later = time.monotonic() + age_s
            with patch("lentilrill.entry._news.time.monotonic", lambda later=later: later):
                self.assertEqual(counts, self.desk.takes_over(host))
