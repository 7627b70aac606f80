"""Recipients and times of an entry host's status messages, and the handling of late ones."""

import time
from typing import Any

import msgspec
from testtools import TestCase

from lentilrill.entry import _status_exchange
from lentilrill.entry._caches import ConfigurationCache
from lentilrill.entry._recipients import REFRESH_INTERVAL_S, SEND_INTERVAL_S, BroadcastSchedule
from lentilrill.entry._status_exchange import StatusExchange
from lentilrill.ids import EndpointId, Incarnation, PoolId, ProcessId
from lentilrill.inner import Batch, Configured, HostNews
from tests.builders import a_member_record, a_pressure
from tests.entry.fakes import FakeNode

HOSTS = 97
FLEET = "10.0.0.5:1"


class StatusExchangeCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = FakeNode()
        self.pressures: tuple[Any, ...] = ()
        self.silent_s = 0.0
        self.is_owner = False
        self.now = 1000.0
        self.patch(time, "monotonic", lambda: self.now)
        self.patch(_status_exchange, "boottime", lambda: self.now)
        self.cache = ConfigurationCache()
        self.exchange = StatusExchange(
            self.node,
            lambda: [a_member_record(f"h{n}", f"10.0.0.{n}:1") for n in range(1, HOSTS)],
            self.cache,
            lambda: self.pressures,
            lambda: self.silent_s,
            fleet_address=lambda: FLEET,
            is_owner=lambda: self.is_owner,
        )

    def tick(self, after_s: float = 0.1) -> list[tuple[str, Any]]:
        """Advance the clock; return the messages that are sent then."""
        self.now += after_s
        self.node.sent.clear()
        self.exchange._send_if_due()
        return list(self.node.sent)

    def receive(self, status: HostNews, host: str = "h1") -> None:
        self.exchange._on_host_status(
            Batch(ProcessId(host), Incarnation(1), "10.0.0.1:1", ()), status
        )


class RecipientsTest(StatusExchangeCase):
    def test_a_host_at_rest_sends_to_a_fixed_number_of_hosts(self) -> None:
        """At a site of 97 entry hosts each spent most of its processor time on status messages."""
        sent = [self.tick() for _ in range(20)]
        count = sum(len(each) for each in sent)
        self.assertLessEqual(count, 2 * (2.0 / REFRESH_INTERVAL_S + 1))
        self.assertEqual(2, len({address for each in sent for address, _ in each}))

    def test_the_fleets_owner_gets_a_rise_at_once(self) -> None:
        """Additional hosts came later to a surge than necessary."""
        self.pressures = (a_pressure(need=2.0),)
        self.tick(1.0)
        self.pressures = (a_pressure(need=9.0),)
        self.assertIn(FLEET, [address for address, _ in self.tick()])

    def test_only_the_fleets_owner_gets_lists_of_endpoints(self) -> None:
        """An owner of a large pool sent megabits per second to hosts that didn't use the data."""
        idle = tuple(EndpointId(f"e{n}") for n in range(60))
        self.pressures = (a_pressure(idle=idle),)
        for address, status in self.tick(1.0):
            [pressure] = status.pools
            self.assertEqual(idle if address == FLEET else (), pressure.idle, address)

    def test_all_hosts_get_a_pool_s_pressure_before_the_last_one_expires(self) -> None:
        """A host refused no jobs for a full pool, because its copy of the pressure was too old."""
        self.pressures = (a_pressure(),)
        self.assertEqual(HOSTS - 1, len({address for address, _ in self.tick(1.0)}))
        self.assertEqual(HOSTS - 1, len({address for address, _ in self.tick(REFRESH_INTERVAL_S)}))

    def test_a_changed_wait_is_sent_sooner(self) -> None:
        schedule = BroadcastSchedule()
        schedule.record_sent((a_pressure(wait_s=0.1),), 10.0)
        later = 10.0 + SEND_INTERVAL_S
        self.assertFalse(schedule.is_due((a_pressure(wait_s=0.2),), later))
        self.assertTrue(schedule.is_due((a_pressure(wait_s=0.9),), later))
        self.assertFalse(schedule.is_due((a_pressure(wait_s=0.9),), later - 0.1))

    def test_an_owner_queries_all_hosts_about_the_store(self) -> None:
        """An owner stopped giving orders in a store outage, as no other host reported it."""
        self.silent_s = 0.5
        self.assertEqual([], [status for _, status in self.tick(1.0) if status.asks])
        self.is_owner = True
        queried = {address for address, status in self.tick(1.0) if status.asks}
        self.assertEqual(HOSTS - 1, len(queried))

    def test_a_query_is_answered(self) -> None:
        self.receive(HostNews(0.0, -1, asks=True))
        [(address, status)] = self.node.sent
        self.assertEqual("10.0.0.1:1", address)
        self.assertFalse(status.asks)

    def test_a_take_over_candidate_is_queried(self) -> None:
        """A weak owner kept its shard, as it had no report from the host that should get it."""
        self.assertFalse(self.exchange.can_take_over(ProcessId("h7")))
        queried = [address for address, status in self.tick() if status.asks]
        self.assertEqual(["10.0.0.7:1"], queried)
        self.assertEqual([], [status for _, status in self.tick(2.0) if status.asks])

    def test_a_host_with_an_old_configuration_gets_the_newer_one(self) -> None:
        """A host that the store refused to serve used a configuration that was minutes old."""
        record = msgspec.json.encode({"version": 3, "routes": [], "services": []})
        self.receive(HostNews(0.0, 3))
        self.assertEqual(1, len(self.node.sent))
        self.node.sent.clear()
        self.cache.apply_if_newer(record)
        self.receive(HostNews(0.0, 2))
        [(_, message)] = self.node.sent
        self.assertIsInstance(message, Configured)


class LateStatusTest(StatusExchangeCase):
    def test_age_counts_from_the_time_of_sending(self) -> None:
        """A busy fleet owner moved hosts by values that were seconds old and seemed new."""
        pool = PoolId("notices")
        self.receive(HostNews(0.0, -1, (a_pressure(),), sent_s=70.0))
        self.assertIsNotNone(self.exchange.pressure_of(pool))
        self.now += 5.0
        self.receive(HostNews(0.0, -1, (a_pressure(),), sent_s=71.0))
        self.assertIsNone(self.exchange.pressure_of(pool))
        self.receive(HostNews(0.0, -1, (a_pressure(),), sent_s=75.0))
        self.assertIsNotNone(self.exchange.pressure_of(pool))

    def test_a_host_that_starts_again_has_a_clock_of_its_own(self) -> None:
        self.receive(HostNews(0.0, -1, (a_pressure(),), sent_s=70.0))
        self.now += 5.0
        batch = Batch(ProcessId("h1"), Incarnation(2), "10.0.0.1:1", ())
        self.exchange._on_host_status(batch, HostNews(0.0, -1, (a_pressure(),), sent_s=1.0))
        self.assertIsNotNone(self.exchange.pressure_of(PoolId("notices")))
