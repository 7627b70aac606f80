"""What an entry host derives from stored records and from the status of its peers."""

import time
from collections.abc import Sequence
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilrill.entry import _caches
from lentilrill.entry._caches import ConfigurationCache, EndpointDirectory
from lentilrill.entry._status_exchange import StatusExchange
from lentilrill.ids import EndpointId, Incarnation, PoolId, ProcessId, Revision, ZoneId
from lentilrill.inner import Batch, HostNews, PoolPressure
from lentilrill.ownership import MemberRecord
from lentilrill.store import Item
from tests.entry.fakes import FakeNode


def a_record(version: int, *prefixes: str, pools: Sequence[str] = ()) -> bytes:
    routes = [
        {"name": prefix, "host": "braille.example", "prefix": prefix, "service": "notices"}
        for prefix in prefixes
    ]
    services = [{"name": pool} for pool in pools]
    return msgspec.json.encode({"version": version, "routes": routes, "services": services})


def an_item(key: str, value: bytes | None, revision: int = 1) -> Item:
    return Item(key, value, Revision(revision))


class ConfigurationCacheTest(TestCase):
    def test_an_older_version_never_comes_back(self) -> None:
        """A new queue appeared, disappeared and appeared again.

        A host had received the new configuration from a peer, and then applied the old one from a
        stale read of the store.
        """
        cache = ConfigurationCache()
        cache.apply_if_newer(a_record(7, "/new/"))
        cache.on_replaced((an_item("op/config", a_record(3, "/old/")),))
        self.assertEqual(7, cache.version)
        cache.on_changed((an_item("op/config", a_record(9, "/newest/")),))
        self.assertEqual(9, cache.version)

    def test_the_time_at_which_a_version_came_in_force(self) -> None:
        """Guards against counts that rely on reports from before the newest version."""
        now = 100.0
        self.patch(time, "monotonic", lambda: now)
        cache = ConfigurationCache()
        cache.apply_if_newer(a_record(7, "/new/"))
        now = 110.0
        cache.on_changed((an_item("op/config", a_record(7, "/new/")),))
        self.assertEqual(100.0, cache.configured_at)
        cache.on_changed((an_item("op/config", a_record(9, "/newest/")),))
        self.assertEqual(110.0, cache.configured_at)

    def test_malformed_records_are_ignored(self) -> None:
        cache = ConfigurationCache()
        cache.apply_if_newer(a_record(7, "/new/"))
        for malformed in (b"", b"{}", b'{"version":"8"}'):
            cache.apply_if_newer(malformed)
        self.assertEqual(7, cache.version)

    def test_pools_of_earlier_configurations_keep_an_owner(self) -> None:
        """Guards against accepted jobs that nobody runs, and owners without end."""
        self.patch(_caches, "MAX_LEFT_OUT_POOLS", 2)
        cache = ConfigurationCache()
        for version, pools in enumerate((["a"], ["b", "c"], ["c"], ["b"], ["d"]), 1):
            cache.apply_if_newer(a_record(version, "/a/", pools=pools))
            if version == 4:
                self.assertEqual({"a", "b", "c"}, cache.owned_pools)
        self.assertEqual({"b", "c", "d"}, cache.owned_pools)

    def test_the_longest_prefix_wins(self) -> None:
        cache = ConfigurationCache()
        cache.apply_if_newer(a_record(1, "/a/", "/a/b/"))
        assert cache.current is not None
        found = cache.current.queue_for("braille.example", "/a/b/5c0e7a21d94b36f8")
        assert found is not None
        self.assertEqual("/a/b/", found.prefix)
        self.assertIsNone(cache.current.queue_for("other.example", "/a/b/x"))


class EndpointDirectoryTest(TestCase):
    def test_an_entry_that_becomes_malformed_is_removed(self) -> None:
        directory = EndpointDirectory()
        entry = {"service": "notices", "address": "10.0.0.1:1", "state": "ready"}
        directory.on_changed((an_item("servers/i-1", msgspec.json.encode(entry)),))
        self.assertEqual({EndpointId("i-1")}, set(directory.of_pool(PoolId("notices"))))
        directory.on_changed((an_item("servers/i-1", b"\xff", 2),))
        self.assertEqual({}, directory.of_pool(PoolId("notices")))


class ReceivedStatusTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.silent_s = 5.0
        self.members = [
            MemberRecord(ProcessId(f"h{n}"), Incarnation(1), ZoneId("z"), f"10.0.0.{n}:1", 1)
            for n in range(6)
        ]
        self.is_slowed = False
        self.rises: list[bool] = []
        self.exchange = StatusExchange(
            FakeNode(),
            lambda: self.members,
            ConfigurationCache(),
            lambda: (),
            lambda: self.silent_s,
            lambda: self.rises.append(True),
            is_slowed=lambda: self.is_slowed,
        )
        self.exchange._broadcast(())

    def receive(self, host: str, status: HostNews) -> None:
        self.exchange._on_host_status(
            Batch(ProcessId(host), Incarnation(1), "10.0.0.1:1", ()), status
        )

    def test_an_outage_needs_reports_of_a_majority(self) -> None:
        """Two hosts owned one pool, as one of them took a network partition for a store outage.

        It receives reports from hosts of its own zone only, and these are no majority.
        """
        for host in ("h0", "h1"):
            self.receive(host, HostNews(5.0, -1))
        self.assertFalse(self.exchange.is_store_outage())
        self.receive("h2", HostNews(5.0, -1))
        self.assertTrue(self.exchange.is_store_outage())
        self.receive("h2", HostNews(0.1, -1))
        self.assertFalse(self.exchange.is_store_outage())

    def test_a_partition_just_after_an_outage_is_no_outage(self) -> None:
        """Two hosts owned a pool for five seconds, and a job ran twice.

        In a store outage all leases expired. A zone was partitioned right after it, when only two
        other hosts had registered again. Both hosts of the zone lost the store and the list of
        hosts had only two others, so the owner in the zone took the partition for an outage.
        """
        self.members = self.members[4:]
        self.exchange._broadcast(())
        self.receive("h0", HostNews(5.0, -1))
        self.assertFalse(self.exchange.is_store_outage())

    def test_one_host_that_reaches_the_store_rules_an_outage_out(self) -> None:
        """Tasks ran twice: the store served only one host, which claimed the others' shards."""
        for n in range(5):
            self.receive(f"h{n}", HostNews(5.0, -1))
        self.assertTrue(self.exchange.is_store_outage())
        self.receive("h5", HostNews(0.0, -1))
        self.assertFalse(self.exchange.is_store_outage())

    def test_no_outage_for_a_host_that_reaches_the_store(self) -> None:
        self.silent_s = 0.1
        for n in range(6):
            self.receive(f"h{n}", HostNews(5.0, -1))
        self.assertFalse(self.exchange.is_store_outage())

    def test_a_rise_of_a_pool_s_need_is_reported_at_once(self) -> None:
        """In a surge the additional hosts of each pool came 0.3 s later than necessary.

        The pool's owner sent its need at fixed intervals, and the fleet's owner started its rounds
        at intervals of its own.
        """
        pool = PoolId("notices")
        for need in (2.0, 2.5, 6.0, 6.1, 3.0):
            status = HostNews(0.0, -1, (PoolPressure(pool, 0.0, {}, 9, need=need),))
            self.receive("h1", status)
        self.assertEqual(1, len(self.rises))

    def test_pressure_of_a_previous_owner_is_ignored(self) -> None:
        pool = PoolId("notices")
        self.receive("h1", HostNews(0.0, -1, (PoolPressure(pool, 1.0, {}, 9),)))
        self.receive("h2", HostNews(0.0, -1, (PoolPressure(pool, 60.0, {}, 4),)))
        pressure = self.exchange.pressure_of(pool)
        assert pressure is not None
        self.assertEqual(9, pressure.token)

    def test_only_a_host_with_a_recent_report_can_take_over(self) -> None:
        """A shard was handed over to a host that was leaving, or had not reported for seconds."""
        host = ProcessId("h1")
        self.assertFalse(self.exchange.can_take_over(host))
        self.receive("h1", HostNews(0.0, -1, takes_over=True))
        self.assertTrue(self.exchange.can_take_over(host))
        later = time.monotonic() + 5.0
        with patch("lentilrill.entry._status_exchange.time.monotonic", lambda: later):
            self.assertFalse(self.exchange.can_take_over(host))
        self.receive("h1", HostNews(0.0, -1))
        self.assertFalse(self.exchange.can_take_over(host))

    def test_a_slowed_host_accepts_older_reports(self) -> None:
        """A slowed owner handled reports late, and kept its shard as no report seemed recent."""
        host = ProcessId("h1")
        self.is_slowed = True
        self.assertFalse(self.exchange.can_take_over(host))
        self.receive("h1", HostNews(0.0, -1, takes_over=True))
        for age_s, counts in ((3.0, True), (6.0, False)):
            later = time.monotonic() + age_s
            with patch(
                "lentilrill.entry._status_exchange.time.monotonic", lambda later=later: later
            ):
                self.assertEqual(counts, self.exchange.can_take_over(host))
