"""Endpoints of the previous owner that the list of hosts shows as ended."""

import time
from unittest import mock

from testtools import TestCase

from lentilrill.execution import _links
from lentilrill.execution._host_reader import MAX_LIST_LAG_S, HostListing
from lentilrill.execution._previous_endpoints import (
    POLL_TIME_S,
    PREVIOUS_LEASE_S,
    PreviousEndpoints,
)
from lentilrill.ids import EndpointId, HostId, PoolId
from lentilrill.upkeep import HostRow, HostState
from lentilrill.workloads import EndpointEntry
from tests.builders import a_host_row, a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually

SINCE = 100.0
LATE = SINCE + PREVIOUS_LEASE_S + MAX_LIST_LAG_S
E1 = EndpointId("e1")
HOST1 = HostId("host-e1")
FOREVER_S = 1000.0


def listing_of(*rows: HostRow, asked_at: float) -> HostListing:
    return HostListing({row.id: row for row in rows}, asked_at)


def up(endpoint: str) -> HostRow:
    return a_host_row(HostId(f"host-{endpoint}"), endpoint=EndpointId(endpoint))


def in_state(state: HostState) -> HostRow:
    return a_host_row(HOST1, state=state)


class PreviousEndpointsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.previous = PreviousEndpoints(PoolId("notices"), SINCE)
        self.entries: dict[EndpointId, EndpointEntry] = {}

    def ended(self, *rows: HostRow, asked_at: float) -> list[EndpointId]:
        listing = listing_of(*rows, asked_at=asked_at)
        return self.previous.ended({E1}, listing, self.entries)

    def register(self) -> None:
        self.entries[E1] = an_endpoint("e1", host="host-e1", started_ms=1)

    def test_a_registered_endpoint_has_ended_with_its_host(self) -> None:
        self.register()
        for state in (HostState.MOVING, HostState.UPKEEP):
            self.assertEqual([E1], self.ended(in_state(state), up("e2"), asked_at=SINCE))
        self.assertEqual([E1], self.ended(in_state(HostState.DOWN), up("e2"), asked_at=LATE))

    def test_a_crashed_endpoint_may_return_to_the_previous_owner(self) -> None:
        """A task ran twice, as the previous owner had started it on an endpoint that returned."""
        self.register()
        down = in_state(HostState.DOWN)
        self.assertEqual([], self.ended(down, up("e2"), asked_at=LATE - 0.1))

    def test_an_endpoint_on_a_host_that_is_not_up_counts_by_the_state_of_the_host(self) -> None:
        moving = a_host_row(HOST1, state=HostState.MOVING, endpoint=E1)
        self.assertEqual([E1], self.ended(moving, up("e2"), asked_at=SINCE))

    def test_idle_hosts_of_other_pools_say_nothing_of_this_one(self) -> None:
        """Jobs waited 5 s, as a standby host without an endpoint was taken for a starting one."""
        standby = a_host_row(HostId("spare"), pool=PoolId("standby"))
        self.assertEqual([], self.ended(standby, up("e2"), asked_at=LATE))
        self.assertEqual([E1], self.ended(standby, up("e2"), asked_at=LATE + 1))

    def test_an_unregistered_endpoint_is_absent_from_two_listings(self) -> None:
        self.assertEqual([], self.ended(up("e2"), asked_at=LATE))
        self.assertEqual([], self.ended(up("e2"), asked_at=LATE))
        self.assertEqual([E1], self.ended(up("e2"), asked_at=LATE + 1))

    def test_an_endpoint_that_is_cut_off_has_not_ended(self) -> None:
        """A task ran twice, as an endpoint that was cut off was taken for ended."""
        for asked_at in (LATE, LATE + 1, LATE + 2):
            self.assertEqual([], self.ended(up("e1"), up("e2"), asked_at=asked_at))

    def test_an_endpoint_between_two_pages_has_not_ended(self) -> None:
        """A task ran twice, as one listing lacked its host, which moved between two pages."""
        self.assertEqual([], self.ended(up("e2"), asked_at=LATE))
        self.assertEqual([], self.ended(up("e1"), up("e2"), asked_at=LATE + 1))
        self.assertEqual([], self.ended(up("e2"), asked_at=LATE + 2))

    def test_a_host_whose_endpoint_is_not_listed_yet_may_run_it(self) -> None:
        """A task ran twice, as the list lagged behind an endpoint that had just started."""
        starting = in_state(HostState.UP)
        for asked_at in (LATE, LATE + 1):
            self.assertEqual([], self.ended(starting, up("e2"), asked_at=asked_at))

    def test_a_list_without_endpoints_is_no_evidence(self) -> None:
        """A task ran twice, as the list of hosts was empty for a while."""
        for asked_at in (LATE, LATE + 1):
            self.assertEqual([], self.ended(asked_at=asked_at))

    def test_a_registered_endpoint_that_is_not_listed_has_not_ended(self) -> None:
        self.register()
        for asked_at in (LATE, LATE + 1):
            self.assertEqual([], self.ended(up("e2"), asked_at=asked_at))

    def test_a_listing_from_before_the_take_over_is_no_evidence(self) -> None:
        """A task ran twice, as its host was listed before the previous owner started it there."""
        self.register()
        self.assertEqual([], self.ended(in_state(HostState.MOVING), asked_at=SINCE - 0.1))

    def test_listings_are_requested_only_for_endpoints_that_do_not_answer(self) -> None:
        late = SINCE + POLL_TIME_S
        self.assertFalse(self.previous.needs_listing({E1}, SINCE))
        self.assertTrue(self.previous.needs_listing({E1}, late))
        self.assertFalse(self.previous.needs_listing(set(), late))


class ListedHosts:
    """Source of listings that are always up to date."""

    def __init__(self) -> None:
        self.rows: tuple[HostRow, ...] = ()

    @property
    def latest(self) -> HostListing:
        return listing_of(*self.rows, asked_at=time.monotonic())

    def request(self) -> None:
        pass


class TakeOverInSurgeTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        # Without evidence nothing of the previous owner's jobs would start in this test.
        patched = mock.patch.object(_links, "PREVIOUS_CALLS_S", FOREVER_S)
        patched.start()
        self.addCleanup(patched.stop)
        self.pool = OwnedPool("e1", "e2")
        self.hosts = self.pool.hosts = ListedHosts()
        self.addCleanup(self.pool.close)

    def lose_owner_and_endpoint(self) -> None:
        """Lose an owner with a running job, and the endpoint that runs it."""
        self.pool.register(an_endpoint("e1", host="host-e1", started_ms=1))
        first = self.pool.take_over()
        self.pool.submit(first, a_job("a", a_step(2)))
        self.assertTrue(eventually(lambda: len(self.pool.endpoints["e1"].starts) == 2))
        first.close()
        self.pool.endpoints["e1"].silent = True
        self.pool.register(an_endpoint("e2", host="host-e2", started_ms=1))

    def started_on_second(self) -> bool:
        return len(self.pool.endpoints["e2"].starts) == 2

    def test_jobs_do_not_wait_for_a_host_in_upkeep(self) -> None:
        """All jobs of a pool waited 5 s after a take-over for hosts that were in upkeep."""
        self.lose_owner_and_endpoint()
        self.hosts.rows = (in_state(HostState.UPKEEP), up("e2"))
        del self.pool.entries[E1]
        self.pool.take_over()
        self.assertTrue(eventually(self.started_on_second))

    def test_jobs_do_not_wait_for_a_crashed_host(self) -> None:
        """All jobs of a pool waited 5 s after a take-over for a rack that had lost its power."""
        self.lose_owner_and_endpoint()
        self.hosts.rows = (in_state(HostState.DOWN), up("e2"))
        self.pool.take_over()
        self.assertTrue(eventually(self.started_on_second))

    def test_jobs_wait_for_an_endpoint_that_is_cut_off(self) -> None:
        """A task ran twice after a take-over, as its endpoint was only cut off."""
        self.lose_owner_and_endpoint()
        self.hosts.rows = (up("e1"), up("e2"))
        del self.pool.entries[E1]
        second = self.pool.take_over()
        self.assertTrue(eventually(lambda: self.pool.endpoints["e2"].polls > 20))
        self.assertEqual({E1}, second._links.unpolled)
        self.assertEqual([], self.pool.endpoints["e2"].starts)
