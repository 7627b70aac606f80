"""What a later owner of a pool knows of calls that previous owners sent to the endpoints."""

import threading
import time
from typing import Any
from unittest.mock import Mock, patch

from testtools import TestCase

from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._previous_endpoints import PREVIOUS_LEASE_S
from lentilrill.execution._run_leases import (
    MAX_LEASE_S,
    MAX_ORDER_DELAY_S,
    RUN_LEASE_S,
    longest_run_s,
)
from lentilrill.ids import EndpointId, PoolId
from lentilrill.store import WriteResult
from lentilrill.telemetry import Event
from lentilrill.workloads import EndpointEntry
from tests.builders import an_endpoint
from tests.execution.fakes import FakeEndpoint
from tests.fakes import FakeKeyValue, refuse

OWNER = "m/o/notices"
POOL = PoolId("notices")
E1 = EndpointId("e1")
SLACK_S = 0.5


class LaterOwnersCase(TestCase):
    """Successive owners of a pool, whose links send nothing."""

    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(EndpointLink, "start")
        patched.start()
        self.addCleanup(patched.stop)
        self.kv = FakeKeyValue()
        self.entries: dict[EndpointId, EndpointEntry] = {}

    def register(self, name: str = "e1", **changes: Any) -> None:
        entry = an_endpoint(name, **changes)
        self.entries[entry.id] = entry

    def take_over(self) -> PoolLinks:
        """Load what the previous owner stored, and open its links."""
        token = self.kv.put(OWNER, b"owner")
        endpoint_list = EndpointList(self.kv, POOL, OWNER, token)
        links = PoolLinks(POOL, endpoint_list, threading.RLock(), self.connect)
        self.assertTrue(links.load())
        links.open_previous(self.entries)
        links.load_settled_starts()
        return links

    def connect(self, entry: EndpointEntry) -> EndpointLink:
        return EndpointLink(Mock(token=1), entry, FakeEndpoint())

    def is_blocked_after(self, links: PoolLinks, seconds: float) -> bool:
        now = time.monotonic()
        with patch("lentilrill.execution._links.time.monotonic", lambda: now + seconds):
            return links.is_blocked


class WaitOfATakeOverTest(LaterOwnersCase):
    def setUp(self) -> None:
        super().setUp()
        self.register(started_ms=1)
        self.assertTrue(self.take_over().refresh(self.entries))

    def test_an_endpoint_that_is_given_up_is_logged_once(self) -> None:
        """Guards against two runs of one task of which no log tells what the owner knew."""
        links = self.take_over()
        del self.entries[E1]
        with patch("lentilrill.execution._links.log") as log:
            self.assertTrue(links.refresh(self.entries))
            log.assert_not_called()
            links._owner_since -= LONG_WAIT_S
            for _ in range(2):
                links._log_given_up()
        log.assert_called_once()
        self.assertEqual((Event.PREVIOUS_ENDPOINT_GIVEN_UP,), log.call_args.args)
        fields = log.call_args.kwargs
        self.assertEqual((False, 1, 1), tuple(fields[name] for name in LOGGED))

    def assert_waits(self, links: PoolLinks, seconds: float) -> None:
        """Check for how long after the take-over nothing starts that may run out of reach."""
        for after_s, is_blocked in ((seconds - SLACK_S, True), (seconds + SLACK_S, False)):
            self.assertEqual(is_blocked, self.is_blocked_after(links, after_s), after_s)

    def test_an_endpoint_whose_entry_is_gone(self) -> None:
        """Guards against two runs of one task: a process that no owner had polled got the longest
        lease by a call that was meant for its former one, and was cut off before it registered."""
        del self.entries[E1]
        self.assert_waits(self.take_over(), LONG_WAIT_S)

    def test_an_endpoint_whose_entry_shows_a_later_process(self) -> None:
        """Guards against two runs of one task, as above; the next process had registered."""
        self.register(started_ms=2)
        self.assert_waits(self.take_over(), LONG_WAIT_S)

    def test_an_endpoint_whose_entry_is_that_of_its_former_process(self) -> None:
        """Guards against two runs of one task, as above; that of the former one was left."""
        self.assert_waits(self.take_over(), LONG_WAIT_S)

    def test_an_endpoint_whose_link_cannot_be_opened(self) -> None:
        """Guards against two runs of one task, as above; no state of the endpoint was kept."""
        with patch.object(self, "connect", side_effect=ValueError):
            self.assert_waits(self.take_over(), LONG_WAIT_S)

    def test_an_endpoint_whose_first_process_lives_on(self) -> None:
        """Guards against two runs of one task: the first process was seen after the take-over, and
        crashed; the next one carried out a late start of the previous owner, out of reach."""
        links = self.take_over()
        links.update_entries(self.entries)
        del self.entries[E1]
        links.update_entries(self.entries)
        self.assert_waits(links, LONG_WAIT_S)

    def test_an_endpoint_that_answered_a_renewal(self) -> None:
        """Guards against two runs of one task, as above; the first process had answered while the
        records were loaded."""
        links = self.take_over()
        links.by_id[E1].reset(1)
        self.assert_waits(links, LONG_WAIT_S)

    def test_an_endpoint_that_was_polled(self) -> None:
        """Guards against tasks that stand still: the process that runs there is known."""
        links = self.take_over()
        links.by_id[E1].reset(1)
        links.unpolled.discard(E1)
        self.assertFalse(links.is_blocked)


class FirstStartsTest(LaterOwnersCase):
    """An endpoint that a previous owner called and took off its list, and its next process."""

    def setUp(self) -> None:
        super().setUp()
        self.now_ms = int(time.time() * 1000)
        self.register(started_ms=1)

    def take_off(self, links: PoolLinks) -> None:
        """Have an owner take the endpoint off its list, right after a call without an answer."""
        link = links.by_id[E1]
        link.on_called(link.started_ms, is_answered=False)
        link.close()
        del self.entries[E1]
        links.unpolled.discard(E1)
        self.assertTrue(links.refresh(self.entries))
        self.assertNotIn(E1, links.by_id)

    def return_to(self, links: PoolLinks, name: str = "e1") -> None:
        self.register(name, started_ms=self.now_ms)
        self.assertTrue(links.refresh(self.entries))

    def assert_waited_for(self, links: PoolLinks) -> None:
        """Check for how long runs in the endpoint's next process are waited for."""
        link = links.by_id[E1]
        link.reset(self.now_ms)
        self.assertGreater(link.lease_end, links._owner_since + LONG_WAIT_S - SLACK_S)

    def first_owner(self) -> PoolLinks:
        links = self.take_over()
        self.assertTrue(links.refresh(self.entries))
        return links

    def test_a_chain_of_short_owners(self) -> None:
        """Guards against two runs of one task: the owner after next knew neither process, since the
        one between had written the start times without an endpoint that was off the list."""
        self.take_off(self.first_owner())
        second = self.take_over()
        self.return_to(second, "e2")
        third = self.take_over()
        self.return_to(third)
        self.assert_waited_for(third)

    def test_an_endpoint_that_returns_to_the_second_owner(self) -> None:
        """Guards against two runs of one task, as above, with two owners."""
        self.take_off(self.first_owner())
        second = self.take_over()
        self.return_to(second, "e2")
        self.return_to(second)
        self.assert_waited_for(second)

    def test_start_times_that_could_not_be_read(self) -> None:
        """Guards against two runs of one task: the owner between wrote them anew."""
        self.take_off(self.first_owner())
        get = self.kv.get
        read = lambda key: refuse(list) if key == "f/notices" else get(key)  # noqa: E731
        with patch.object(self.kv, "get", read):
            second = self.take_over()
            self.return_to(second)
        self.assert_waited_for(second)
        self.take_off(second)
        self.return_to(second, "e2")
        third = self.take_over()
        self.return_to(third)
        self.assert_waited_for(third)

    def test_a_start_time_that_is_not_stored(self) -> None:
        """Guards against two runs of one task: its write got no answer, and the endpoint left the
        list before it was tried again."""
        first = self.take_over()
        record = first._endpoint_list._settled_starts_record
        with patch.object(record, "write", return_value=WriteResult.FAILED):
            self.assertTrue(first.refresh(self.entries))
            self.take_off(first)
            self.assertIn(b"e1", self.kv.items_by_key["e/notices"].value or b"")
        for _ in range(2):
            self.assertTrue(first.refresh(self.entries))
        second = self.take_over()
        self.assertEqual(set(), second.unpolled)
        self.return_to(second)
        self.assert_waited_for(second)

    def test_a_process_of_an_endpoint_with_unknown_calls_is_not_the_first(self) -> None:
        """Guards against two runs of one task: no start time was stored for an endpoint that a
        previous owner had called, and the next owner stored that of its next process."""
        self.first_owner()
        del self.kv.items_by_key["f/notices"]
        second = self.take_over()
        self.take_off(second)
        self.return_to(second)
        third = self.take_over()
        self.assert_waited_for(third)

    def test_a_process_that_was_polled_for_long_becomes_the_first(self) -> None:
        """Guards against tasks that stand still: all leases of an endpoint that has started again
        are by the clock of its present process, which no later owner could tell."""
        self.first_owner()
        for polled_for_s, is_first in ((0.0, False), (LONG_WAIT_S, True)):
            owner = self.take_over()
            link = owner.by_id[E1]
            link.others_called_until -= polled_for_s
            link.reset(self.now_ms)
            link.was_polled = True
            owner.unpolled.discard(E1)
            self.assertTrue(owner.refresh(self.entries))
            later = self.take_over().by_id[E1]
            later.reset(self.now_ms)
            held_s = later.lease_end - time.monotonic()
            self.assertEqual(is_first, held_s < longest_run_s(RUN_LEASE_S), held_s)

    def test_start_times_of_endpoints_that_are_gone_are_removed(self) -> None:
        """Guards against a record that grows with each endpoint that a pool ever had."""
        self.take_off(self.first_owner())
        second = self.take_over()
        second._owner_since -= LONG_WAIT_S + SLACK_S
        self.return_to(second, "e2")
        self.assertEqual({"e2"}, set(second._endpoint_list.settled_started_ms_by_id))


LONG_WAIT_S = PREVIOUS_LEASE_S + MAX_ORDER_DELAY_S + longest_run_s(MAX_LEASE_S)


LOGGED = ("is_registered", "entry_started_ms", "settled_started_ms")
