"""Leases that a later process of an endpoint got by calls that were meant for a former one."""

import time
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import msgspec
from msgspec.structs import replace
from testtools import TestCase

from lentilrill.execution import HostListing, OrderAnswer, PollResult, ReportedRun, Verdict
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._held_runs import ended_runs
from lentilrill.execution._host_evidence import HostEvidence
from lentilrill.execution._host_reader import MAX_LIST_LAG_S
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PREVIOUS_CALLS_S
from lentilrill.execution._run_leases import (
    MAX_LEASE_S,
    MAX_ORDER_DELAY_S,
    RUN_LEASE_S,
    RunLeases,
    longest_run_s,
)
from lentilrill.execution._tracking import Run
from lentilrill.ids import EndpointId, HostId
from lentilrill.upkeep import HostState
from tests.builders import a_host_row, a_job, a_step, an_endpoint
from tests.execution.cases import Owner, TrackedJobCase
from tests.execution.fakes import FakeEndpoint, OwnedPool, TimedEndpoint, eventually

SHORT_S = longest_run_s(RUN_LEASE_S)
LONG_S = longest_run_s(MAX_LEASE_S)
SLACK_S = 0.5
LATER_CLOCK_MS = 500_000
CLOCK_DISTANCE_MS = 5_000


class LeasesAfterARestartTest(TrackedJobCase):
    """An endpoint whose process began long ago, and the next one."""

    def setUp(self) -> None:
        super().setUp()
        self.now_ms = int(time.time() * 1000)
        self.register(started_ms=1)
        self.poll()

    def register(self, **changes: Any) -> None:
        self.link.entry = an_endpoint(host=HostId("host"), **changes)

    def restart(self, *, running: tuple[ReportedRun, ...] = ()) -> None:
        """Poll the next process, whose clock shows something else."""
        result = PollResult(Verdict.DONE, LATER_CLOCK_MS, self.now_ms, running)
        self.reconciler.apply_poll(self.link, result, time.monotonic())

    def list_run(self, run: Run) -> None:
        listed = ReportedRun(run.task.id, run.number, "", 0, 0.0)
        self.reconciler.apply_poll(
            self.link, PollResult(Verdict.DONE, 1000, 1, (listed,)), time.monotonic()
        )

    def assert_held(self, run: Run, seconds: float) -> None:
        """Check for how long a run is held once its endpoint is lost."""
        self.link.reachable = False
        for within_s, held in ((seconds - SLACK_S, [run]), (seconds + SLACK_S, [])):
            ended = [each for each, _ in ended_runs(self.link, time.monotonic() + within_s)]
            left = [each for each in self.link.runs_by_key.values() if each not in ended]
            self.assertEqual(held, left, within_s)

    def test_a_start_that_a_newer_process_may_have_taken(self) -> None:
        """Guards against two runs of one task: a process that its owner had not polled yet took the
        start, with an expiry of the former clock, and was cut off."""
        run = self.send_start()
        self.register(started_ms=self.now_ms)
        self.assert_held(run, LONG_S)

    def test_the_clock_of_an_answer_shows_a_newer_process(self) -> None:
        """Guards against two runs of one task, as above, before the endpoint's entry tells."""
        run = self.send_start()
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=1000))
        self.assertFalse(self.link.has_newer_process)
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=LATER_CLOCK_MS))
        self.assertTrue(self.link.has_newer_process)
        self.assert_held(run, LONG_S)

    def test_an_answer_by_a_clock_that_is_close_to_the_known_one(self) -> None:
        """Guards against two runs of one task: clocks of two processes that begin near 0 differ by
        seconds, which the next process adds to each lease that is reckoned by the former clock."""
        run = self.send_start()
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=1000 - CLOCK_DISTANCE_MS))
        self.assertFalse(self.link.has_newer_process)
        self.link.new_expiry_ms()
        self.assert_held(run, SHORT_S + CLOCK_DISTANCE_MS / 1000)

    def test_a_late_answer_of_the_known_process_is_not_waited_for_longer(self) -> None:
        """Guards against tasks that stand still: the answer was read late, and a later poll shows
        that the known process is there."""
        run = self.send_start()
        self.link.note_process(OrderAnswer(Verdict.DONE, clock_ms=1000 - CLOCK_DISTANCE_MS))
        answer = PollResult(Verdict.DONE, 1000, 1)
        with patch.object(self.link._calls, "poll", lambda *args: answer):
            self.link._send_poll(0, None, 0)
        self.assert_held(run, SHORT_S)

    def test_a_start_without_an_answer_may_reach_a_newer_process_late(self) -> None:
        """Guards against two runs of one task: the call was carried out seconds later."""
        run = self.send_start(verdict=Verdict.UNKNOWN)
        self.register(started_ms=self.now_ms)
        self.assert_held(run, MAX_ORDER_DELAY_S + LONG_S)

    def test_a_start_without_an_answer_may_reach_a_process_that_never_showed(self) -> None:
        """Guards against two runs of one task: the endpoint started again and was cut off before
        its entry told, and the call was carried out there."""
        self.assert_held(self.send_start(verdict=Verdict.UNKNOWN), MAX_ORDER_DELAY_S + LONG_S)

    def test_a_copy_without_an_answer_may_reach_a_process_that_never_showed(self) -> None:
        """Guards against two runs of one task, as above, though the known process had listed the
        run: the other copy of its start was left."""
        run = self.send_start()
        run.send_count += 1
        self.list_run(run)
        self.assert_held(run, MAX_ORDER_DELAY_S + LONG_S)

    def test_a_copy_that_no_newer_process_can_have_taken_is_not_waited_for_longer(self) -> None:
        """Guards against tasks that stand still: the known process has answered since the copy
        without an answer could be carried out."""
        for since_s, held_s in ((-SLACK_S, MAX_ORDER_DELAY_S + LONG_S), (SLACK_S, SHORT_S)):
            run = self.send_start(f"{since_s}", verdict=Verdict.UNKNOWN)
            self.link.alive_at = run.sent_at + MAX_ORDER_DELAY_S + since_s
            self.assert_held(run, held_s)
            self.link.runs_by_key.clear()

    def test_a_renewal_reaches_a_process_that_never_showed(self) -> None:
        """Guards against two runs of one task: a copy of its start was carried out in a process
        that its owner hadn't polled, and a renewal without an answer gave it a long lease there."""
        run = self.send_start(verdict=Verdict.UNKNOWN)
        run.sent_at -= SLACK_S + MAX_ORDER_DELAY_S / 2
        self.link.alive_at = run.sent_at
        self.link.new_expiry_ms()
        self.link.on_called(1, is_answered=False)
        self.assert_held(run, MAX_ORDER_DELAY_S + LONG_S)

    def test_a_run_that_the_former_process_listed_is_not_waited_for_longer(self) -> None:
        """Guards against tasks that stand still: no other process can have begun the run."""
        run = self.send_start()
        self.list_run(run)
        self.register(started_ms=self.now_ms)
        self.assert_held(run, SHORT_S)

    def test_an_endpoint_that_is_cut_off_is_not_waited_for_longer(self) -> None:
        """Guards against tasks that stand still whenever an endpoint is lost."""
        self.assert_held(self.send_start(), SHORT_S)

    def test_a_run_that_begins_after_the_restart(self) -> None:
        """Guards against two runs of one task: nothing ran as the restart was noticed, and a call
        to the former process had given the next one a long lease."""
        self.send_start()
        self.link.runs_by_key.clear()
        self.restart()
        self.assert_held(self.send_start("b"), LONG_S)

    def test_a_call_that_is_answered_after_the_restart_was_noticed(self) -> None:
        """Guards against two runs of one task: a start was on its way as a poll showed the restart,
        and its expiry was one of the former clock."""
        self.restart()
        run = self.send_start()
        self.link.on_called(1, is_answered=True)
        self.assert_held(run, LONG_S)

    def test_a_restart_without_former_calls_costs_nothing(self) -> None:
        """Guards against tasks that stand still: the endpoint was idle before its restart."""
        self.restart()
        self.assert_held(self.send_start(), SHORT_S)

    def test_an_endpoint_that_has_started_again_gets_nothing_before_its_poll(self) -> None:
        """Guards against starts with an expiry of the former clock."""
        self.add(a_step(1))
        self.assertEqual(1, len(self.starts()))
        for job in self.jobs.values():
            for task in job.tasks():
                task.runs.clear()
        self.register(started_ms=self.now_ms)
        self.assertEqual([], self.starts())

    def test_calls_of_a_previous_owner(self) -> None:
        """Guards against two runs of one task: a call of the previous owner to the former process
        gave the next one a long lease, and the new owner knew only the process that it polled."""
        for age_s, first_ms, held_s in (
            (1.0, 1, MAX_ORDER_DELAY_S + LONG_S),
            # Its age goes by a clock that may have jumped.
            (60.0, 1, MAX_ORDER_DELAY_S + LONG_S),
            (1.0, 0, MAX_ORDER_DELAY_S + LONG_S),
            (1.0, self.now_ms - 1000, SHORT_S),
        ):
            self.link = EndpointLink(Owner(), an_endpoint(), FakeEndpoint())
            self.link.others_called_until = time.monotonic()
            self.link.settled_started_ms = first_ms
            started_ms = self.now_ms - int(age_s * 1000)
            result = PollResult(Verdict.DONE, 1000, started_ms)
            self.reconciler.apply_poll(self.link, result, time.monotonic())
            self.assert_held(self.send_start(f"{age_s}{first_ms}"), held_s)

    def test_a_host_that_is_down_ends_the_wait(self) -> None:
        """Guards against tasks that stand still: their endpoint is gone for good."""
        run = self.send_start()
        self.restart(running=(ReportedRun(run.task.id, run.number, "", 0, 0.0),))
        self.link.reachable = False
        self.link.unreachable_since = lost_at = time.monotonic()
        links: Any = SimpleNamespace(by_id={self.link.entry.id: self.link}, unpolled=set())
        evidence = HostEvidence(self.link.entry.pool, Listings(), CrashBook(), links)
        for state, endpoint, after_s, is_ended in (
            (HostState.UP, "e1", 3.0, False),
            (HostState.DOWN, "", 1.0, False),
            (HostState.DOWN, "", MAX_LIST_LAG_S + 0.1, True),
            (HostState.UP, "e2", 3.0, True),
        ):
            row = a_host_row(HostId("host"), state=state, endpoint=EndpointId(endpoint))
            self.link.host_view.clear()
            evidence._apply_to_lost(HostListing({row.id: row}, lost_at + after_s))
            self.assertEqual(is_ended, bool(ended_runs(self.link, time.monotonic())), row)

    def test_a_host_is_looked_up_though_its_endpoint_got_no_lease_yet(self) -> None:
        """Guards against tasks that stand still: the endpoint was gone right after its restart."""
        run = self.send_start()
        self.restart(running=(ReportedRun(run.task.id, run.number, "", 0, 0.0),))
        self.link.reachable = False
        links: Any = SimpleNamespace(by_id={self.link.entry.id: self.link}, unpolled=set())
        listings = Listings()
        HostEvidence(self.link.entry.pool, listings, CrashBook(), links).update({})
        self.assertEqual(1, listings.requests)


class Listings:
    """No listing of the hosts."""

    latest = None

    def __init__(self) -> None:
        self.requests = 0

    def request(self) -> None:
        self.requests += 1


class ClocksTest(TestCase):
    def test_a_reading_of_the_same_clock(self) -> None:
        """Guards against an endpoint that counts as started again because its clock runs slow, or
        its answers are late."""
        leases = RunLeases()
        self.assertFalse(leases.is_other_clock(LATER_CLOCK_MS, 0.0))
        leases.update_clock(1000, 100.0)
        for clock_ms, read_at, is_other in (
            (11_000, 110.0, False),
            (9_900, 111.0, False),
            (981_000, 1100.0, False),
            (21_500, 110.0, True),
            (0, 111.0, True),
        ):
            self.assertEqual(is_other, leases.is_other_clock(clock_ms, read_at), clock_ms)


class RestartingEndpoint(TimedEndpoint):
    """Endpoint whose process is known by its start time."""

    def __init__(self) -> None:
        super().__init__()
        self.started_ms = 1

    def poll(self, *args: Any) -> PollResult:
        started_ms = self.started_ms
        result = super().poll(*args)
        if self.started_ms != started_ms:
            return PollResult(Verdict.UNKNOWN)
        return replace(result, started_ms=started_ms)


class OwnersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.endpoint = self.pool.endpoints["e1"] = RestartingEndpoint()
        self.now_ms = int(time.time() * 1000)
        self.pool.register(an_endpoint("e1", started_ms=1))

    def test_a_new_link_knows_of_the_calls_over_the_former_one(self) -> None:
        """Guards against two runs of one task on an endpoint that had been gone for a while."""
        owner = self.pool.take_over()
        self.pool.submit(owner, a_job("a", a_step(1)))
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 1))
        self.pool.finish_all()
        links = owner._links
        link = links.by_id[EndpointId("e1")]
        self.assertTrue(eventually(lambda: not link.runs_by_key))
        self.assertGreater(link.leases.calls_until, 0.0)
        self.endpoint.silent = True
        link.close()
        del self.pool.entries[EndpointId("e1")]
        self.assertTrue(eventually(lambda: EndpointId("e1") not in links.by_id))
        self.pool.register(an_endpoint("e2", started_ms=1))
        self.assertTrue(eventually(lambda: self.pool.endpoints["e2"].polls > 0))
        self.endpoint.silent, self.endpoint.started_ms = False, self.now_ms
        self.pool.register(an_endpoint("e1", started_ms=self.now_ms))
        self.assertTrue(eventually(lambda: EndpointId("e1") in links.by_id))
        self.assertGreaterEqual(
            links.by_id[EndpointId("e1")].lease_end, link.leases.calls_until + LONG_S - SLACK_S
        )
        # The next owner takes the endpoint for one that has started again, too.
        stored = self.pool.kv.items_by_key["f/notices"].value or b""
        self.assertEqual(1, msgspec.json.decode(stored)["e1"])

    def test_tasks_of_a_restarted_endpoint_that_a_new_owner_does_not_reach(self) -> None:
        """Guards against two runs of one task: the previous owner's call gave the endpoint's next
        process a long lease, and the new owner waited for a usual one."""
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: "f/notices" in self.pool.kv.items_by_key))
        first.close()
        for started_ms in (self.now_ms, 1):
            self.endpoint.silent = True
            self.pool.register(an_endpoint("e1", started_ms=started_ms))
            owner = self.pool.take_over()
            links = owner._links
            self.assertTrue(eventually(lambda n=links: n.read_at > 0))
            links._owner_since -= PREVIOUS_CALLS_S + LONG_S - SLACK_S
            for link in links.by_id.values():
                link.others_called_until -= PREVIOUS_CALLS_S + LONG_S - SLACK_S
            self.assertTrue(links.is_blocked)
            links._owner_since -= SLACK_S
            for link in links.by_id.values():
                link.others_called_until -= SLACK_S
            self.assertFalse(links.is_blocked)
            owner.close()

    def test_start_times_that_cannot_be_decoded_stop_no_owner(self) -> None:
        """Guards against a pool without an owner, as each one fails to load the same record."""
        self.pool.kv.put("f/notices", b"\xff")
        owner = self.pool.take_over()
        self.pool.submit(owner, a_job("a", a_step(1)))
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == 1))

    def test_an_owner_that_hands_over_does_not_renew_by_a_former_clock(self) -> None:
        """Guards against long leases in a process that its previous owner hasn't processed."""
        owner = self.pool.take_over()
        self.pool.submit(owner, a_job("a", a_step(1, lasting=True)))
        self.assertTrue(eventually(lambda: len(self.endpoint.renewals) > 1))
        owner._responses._processes_reports = lambda: False  # type: ignore[method-assign]
        renewals = len(self.endpoint.renewals)
        self.assertTrue(eventually(lambda: len(self.endpoint.renewals) > renewals))
        self.endpoint.started_ms = 2
        polls = self.endpoint.polls
        self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 1))
        renewals = len(self.endpoint.renewals)
        self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 3))
        self.assertEqual(renewals, len(self.endpoint.renewals))
