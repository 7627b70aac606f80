"""The stand-in of the platform's store, over the product's client."""

from returns.result import Failure
from testtools import TestCase

from lentilrill.faults import FaultKind
from lentilrill.ids import LeaseId
from lentilrill.platform import PlatformKeyValue
from lentilrill.settings import StoreSettings
from lentilrill.store import Put
from lentilrill.telemetry import NoMetrics
from standins.users_platform import UsersPlatform

GRANTED_S = 9.0


class LeaseTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = UsersPlatform(1.0)
        self.addCleanup(self.platform.close)
        self.kv = PlatformKeyValue(StoreSettings(self.platform.store_address), NoMetrics())
        self.store = self.platform.store

    def put(self, lease: LeaseId) -> bool:
        return not isinstance(self.kv.commit((), (Put("m/n/h1", b"x", lease),)), Failure)

    def end(self, lease: LeaseId) -> None:
        """Let the time of a lease run out."""
        self.store._leases[lease] = 0.0

    def test_a_write_under_a_lease_that_has_ended_is_refused(self) -> None:
        """Guards against tests that pass with a store which keeps keys without their lease."""
        lease = self.kv.lease(GRANTED_S).unwrap()
        self.assertTrue(self.put(lease))
        self.end(lease)
        self.assertFalse(self.put(lease))
        self.assertIsNone(self.platform.value("m/n/h1"))

    def test_a_lease_that_has_ended_cannot_be_renewed(self) -> None:
        """Guards against tests that pass with a store in which a late renewal revives a lease."""
        lease = self.kv.lease(GRANTED_S).unwrap()
        self.end(lease)
        renewed = self.kv.keep_alive(lease)
        assert isinstance(renewed, Failure)
        self.assertIs(FaultKind.CONFLICT, renewed.failure().kind)

    def test_a_renewal_lasts_as_long_as_the_grant(self) -> None:
        """Guards against marks and keys that end early in tests alone."""
        lease = self.kv.lease(GRANTED_S).unwrap()
        self.assertEqual(GRANTED_S, self.kv.keep_alive(lease).unwrap())
