"""Copies of grants at the process that is next in line as scheduler."""

from testtools import TestCase

from lentilrill.ids import GrantId, HostId, Incarnation, PlanId, PoolId, ProcessId
from lentilrill.inner import GrantCopy, Held
from lentilrill.routing._copies import STALE_AFTER_S, GrantCopies
from lentilrill.routing._queue import GatewayInstance
from tests.routing.site import Clock

POOL, H1 = PoolId("schools"), HostId("h1")
GW = GatewayInstance(ProcessId("gw-1"), Incarnation(1), "127.0.0.1:1")


def held(name: str, answer_s: float = 60.0) -> Held:
    return Held(GrantId(name), H1, PlanId("schools"), answer_s)


class CopiesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.copies = GrantCopies(self.clock)
        self.copies.update(GrantCopy(POOL, held=(held("a"), held("b"))), GW)

    def test_a_host_is_occupied_until_all_its_grants_have_ended(self) -> None:
        self.copies.update(GrantCopy(POOL, ended=(GrantId("a"),)), GW)
        self.assertTrue(self.copies.occupies(H1))
        self.copies.update(GrantCopy(POOL, ended=(GrantId("b"),)), GW)
        self.assertFalse(self.copies.occupies(H1))

    def test_a_lost_end_is_repaired_by_the_copy_of_all(self) -> None:
        self.copies.update(GrantCopy(POOL, held=(), whole=True), GW)
        self.assertFalse(self.copies.occupies(H1))

    def test_the_job_of_a_silent_scheduler_occupies_its_host_for_its_time(self) -> None:
        self.clock.now += 59.0
        self.copies.tick(set())
        self.assertTrue(self.copies.occupies(H1))
        self.clock.now += 1.0
        self.assertFalse(self.copies.occupies(H1))

    def test_a_living_gateway_that_schedules_no_more_occupies_nothing(self) -> None:
        self.clock.now += STALE_AFTER_S + 0.1
        self.copies.tick({GW})
        self.assertFalse(self.copies.occupies(H1))
