"""The host list over HTTP: lag, stale answers and outages."""

from returns.result import Failure
from testtools import TestCase

from lentilrill.faults import FaultKind
from lentilrill.ids import HostId, RackId, ZoneId
from lentilrill.settings import PlatformSettings
from lentilrill.store import HostInfo, HostState, HttpHostList
from lentilrill.telemetry import NoMetrics
from standins.platform import PlatformStandin


class HostListTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.platform = PlatformStandin(threads=4, now=lambda: self.now)
        self.platform.start()
        self.addCleanup(self.platform.close)
        settings = PlatformSettings((self.platform.address,), self.platform.address)
        self.list = HttpHostList(settings, NoMetrics())
        self.host = HostInfo(HostId("h1"), "127.0.0.1:9", ZoneId("z1"), RackId("r1"), cores=16)
        self.platform.set_hosts((self.host,))

    def test_hosts_are_listed(self) -> None:
        listing = self.list.hosts().unwrap()
        self.assertEqual(((self.host,), 100.0), (listing.hosts, listing.as_of))

    def test_the_list_lags(self) -> None:
        # The list may be several seconds old. It includes its time stamp, so that no reader
        # concludes from the list alone that a host is live or gone.
        self.platform.set_faults(host_list_lag_s=10.0)
        self.now = 105.0
        self.platform.change_host("h1", state="leaving")
        self.now = 112.0
        listing = self.list.hosts().unwrap()
        self.assertEqual((HostState.LIVE, 102.0), (listing.hosts[0].state, listing.as_of))
        self.now = 116.0
        self.assertIs(HostState.LEAVING, self.list.hosts().unwrap().hosts[0].state)

    def test_a_stale_list_stands_still(self) -> None:
        self.platform.set_faults(stale=True)
        self.now = 150.0
        self.platform.remove_host("h1")
        listing = self.list.hosts().unwrap()
        self.assertEqual(((self.host,), 100.0), (listing.hosts, listing.as_of))

    def test_no_list_is_a_fault(self) -> None:
        self.platform.set_faults(down=True)
        result = self.list.hosts()
        self.assertIsInstance(result, Failure)
        self.assertEqual(FaultKind.UNAVAILABLE, result.failure().kind)
        self.assertEqual("platform.hosts", result.failure().step)
