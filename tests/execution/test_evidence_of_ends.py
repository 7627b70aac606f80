"""Evidence of an end that holds for one process of an endpoint, and not for the next."""

import time
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilrill.execution import HostListing, OrderAnswer, Verdict
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._held_runs import ended_runs
from lentilrill.execution._host_evidence import HostEvidence
from lentilrill.execution._host_reader import MAX_LIST_LAG_S
from lentilrill.execution._host_view import RETURN_S
from lentilrill.execution._previous_endpoints import PREVIOUS_LEASE_S, PreviousEndpoints
from lentilrill.execution._run_leases import MAX_ORDER_DELAY_S
from lentilrill.execution._tracking import Run
from lentilrill.ids import HostId, Revision
from lentilrill.upkeep import HostState
from tests.builders import a_host_row, an_endpoint
from tests.execution.cases import TrackedJobCase
from tests.execution.test_later_owners import E1, POOL, LaterOwnersCase
from tests.fakes import lose_answer, lose_request

HOST = HostId("host")
SINCE = 100.0
SLACK_S = 0.5


class SentStartCase(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.link.entry = an_endpoint(host=HOST, started_ms=1)
        self.poll()


class HostThatWasDownTest(SentStartCase):
    """A host that was down for a moment, and whose endpoint has started again under its id."""

    def list_as_down(self, after_s: float) -> None:
        """Apply a listing that was asked for some time after the endpoint fell silent."""
        links: Any = SimpleNamespace(by_id={self.link.entry.id: self.link}, unpolled=set())
        evidence = HostEvidence(self.link.entry.pool, _NoListings(), CrashBook(), links)
        row = a_host_row(HOST, state=HostState.DOWN)
        evidence._apply_to_lost(HostListing({row.id: row}, self.lost_at + after_s))

    def lose(self) -> None:
        self.link.reachable = False
        self.link.unreachable_since = self.lost_at = time.monotonic()

    def given_up(self) -> list[Run]:
        return [run for run, _ in ended_runs(self.link, time.monotonic())]

    def test_a_copy_without_an_answer_outlives_a_host_that_was_down(self) -> None:
        """Guards against two runs of one task: the next process of the endpoint carried out a late
        copy of the start and was cut off, and a listing showed its host down between the two."""
        self.send_start(verdict=Verdict.UNKNOWN)
        self.lose()
        self.list_as_down(MAX_LIST_LAG_S + SLACK_S)
        self.assertEqual([], self.given_up())

    def test_a_copy_is_not_waited_for_on_a_host_that_stays_down(self) -> None:
        """Guards against tasks that stand still: an endpoint was lost for good with its host."""
        self.send_start(verdict=Verdict.UNKNOWN)
        self.lose()
        links: Any = SimpleNamespace(by_id={self.link.entry.id: self.link}, unpolled=set())
        evidence = HostEvidence(self.link.entry.pool, _NoListings(), CrashBook(), links)
        row = a_host_row(HOST, state=HostState.DOWN)
        for after_s, given_up in ((SLACK_S, 0), (RETURN_S, 0), (RETURN_S + SLACK_S, 1)):
            asked_at = self.lost_at + MAX_LIST_LAG_S + after_s
            evidence._apply_to_lost(HostListing({row.id: row}, asked_at))
            self.assertEqual(given_up, len(self.given_up()), after_s)

    def test_a_start_that_the_next_process_answered_outlives_a_host_that_was_down(self) -> None:
        """Guards against two runs of one task: the start was sent after the endpoint had fallen
        silent, and the listing, late by less than it may be, shows the time before."""
        run = self.send_start()
        self.lose()
        run.sent_at = run.confirmed_at = self.lost_at + MAX_LIST_LAG_S / 2
        self.list_as_down(MAX_LIST_LAG_S + SLACK_S)
        self.assertEqual([], self.given_up())

    def test_a_copy_on_a_host_that_is_gone_from_the_list_is_not_waited_for(self) -> None:
        """Guards against tasks that stand still: an endpoint was lost for good with its host, which
        two listings lack, as its entry does; its process can't have another life."""
        self.send_start(verdict=Verdict.UNKNOWN)
        self.lose()
        self.link.registered = False
        links: Any = SimpleNamespace(by_id={self.link.entry.id: self.link}, unpolled=set())
        evidence = HostEvidence(self.link.entry.pool, _NoListings(), CrashBook(), links)
        other = a_host_row(HostId("other"), state=HostState.UP)
        for after_s in (MAX_LIST_LAG_S + SLACK_S, 2 * MAX_LIST_LAG_S):
            evidence._apply_to_lost(HostListing({other.id: other}, self.lost_at + after_s))
        self.assertEqual(1, len(self.given_up()))


class ClockNearTheFormerOneTest(SentStartCase):
    def test_an_answer_whose_clock_is_seconds_behind_bounds_the_lease(self) -> None:
        """Guards against two runs of one task: the next process's clock was seconds behind the
        former one's, within the tolerance of a reading, and gave the run so much longer."""
        behind_s = 6.0
        self.link.update_clock(20_000, time.monotonic())
        run = self.send_start()
        clock_ms = int(20_000 - behind_s * 1000)
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=clock_ms))
        self.link.reachable = False
        within_s = (run.expires_ms - clock_ms) / 1000 - SLACK_S
        self.assertEqual([], ended_runs(self.link, time.monotonic() + within_s))


class PreviousEndpointsTest(TestCase):
    def test_a_host_listed_as_down_by_a_late_listing(self) -> None:
        """Guards against two runs of one task: the endpoint had started again and taken a start of
        the previous owner, and the listing, late by less than it may be, showed the time before."""
        entries = {E1: an_endpoint("e1", host=HOST, started_ms=1)}
        row = a_host_row(HOST, state=HostState.DOWN)
        for lag_s, ended in ((MAX_LIST_LAG_S - SLACK_S, []), (MAX_LIST_LAG_S, [E1])):
            listing = HostListing({row.id: row}, SINCE + PREVIOUS_LEASE_S + lag_s)
            self.assertEqual(ended, PreviousEndpoints(POOL, SINCE).ended({E1}, listing, entries))


class WaitsThatNothingNeedsTest(LaterOwnersCase):
    def test_a_process_that_answered_before_the_start_times_were_read(self) -> None:
        """Guards against tasks that stand still: an endpoint that answered while the records were
        loaded counted as restarted, though it was the process that was called first."""
        self.register(started_ms=1)
        self.assertTrue(self.take_over().refresh(self.entries))
        with patch.object(EndpointList, "load_settled_starts"):
            links = self.take_over()
        link = links.by_id[E1]
        link.reset(1)
        links.load_settled_starts()
        self.assertLess(link.lease_end, time.monotonic() + MAX_ORDER_DELAY_S)

    def test_an_endpoint_that_returns_at_another_address_is_polled_there(self) -> None:
        """Guards against tasks that stand still: a later owner went on polling the address on the
        previous one's list, though the endpoint had registered another one since."""
        self.register(started_ms=1)
        self.assertTrue(self.take_over().refresh(self.entries))
        del self.entries[E1]
        links = self.take_over()
        entry = an_endpoint("e1", started_ms=2)
        self.entries[E1] = msgspec.structs.replace(entry, address="10.0.0.99:1")
        for _ in range(2):
            self.assertTrue(links.refresh(self.entries))
        self.assertEqual("10.0.0.99:1", links.by_id[E1].opened_entry.address)
        self.assertIn(E1, links.unpolled)


class CursorOfAFormerProcessTest(SentStartCase):
    def test_a_newer_process_gets_no_acknowledgement_of_the_former_ones_ends(self) -> None:
        """Guards against a task that ran again after it was done: the poll that found the next
        process acknowledged, unseen, an end there whose number the former process had used."""
        self.link.stored_cursor = self.link.seen_cursor = 57
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=500_000))
        self.assertTrue(self.link.has_newer_process)
        with patch.object(self.link, "_send_poll", side_effect=EOFError) as send:
            self.assertRaises(EOFError, self.link._poll_reports)
        cursor, *_ = send.call_args.args
        self.assertEqual(0, cursor)


class ListWithoutAnAnswerTest(LaterOwnersCase):
    def setUp(self) -> None:
        super().setUp()
        self.register(started_ms=1)
        self.links = self.take_over()
        self.assertTrue(self.links.refresh(self.entries))

    def take_off(self) -> None:
        self.links.by_id[E1].close()
        del self.entries[E1]
        self.assertTrue(self.links.refresh(self.entries))
        self.assertNotIn(E1, self.links.by_id)

    def test_an_endpoint_that_may_be_off_the_stored_list_gets_no_orders(self) -> None:
        """Guards against two runs of one task: the write that took the endpoint off the list was
        carried out without an answer, that which put it back was lost, and the endpoint got orders
        that a later owner could not know of."""
        self.kv.commits.append(lose_answer)
        self.take_off()
        self.kv.commits.append(lose_request)
        self.register(started_ms=1)
        self.assertTrue(self.links.refresh(self.entries))
        other = EndpointList(self.kv, POOL, "m/o/notices", Revision(0))
        self.assertTrue(other.load())
        self.assertLessEqual(set(self.links.by_id), set(other.address_by_id))

    def test_a_process_that_follows_calls_of_this_owner_is_not_the_first(self) -> None:
        """Guards against two runs of one task: this owner had called the former process, whose
        start time it never knew, and stored that of the next one as the first."""
        links = self.links
        del links._endpoint_list.settled_started_ms_by_id[E1]
        links.by_id[E1].on_called(0, is_answered=False)
        self.take_off()
        self.register(started_ms=2)
        self.assertTrue(links.refresh(self.entries))
        self.assertNotEqual(2, links._endpoint_list.settled_started_ms_by_id.get(E1))


class _NoListings:
    latest = None

    def request(self) -> None:
        pass
