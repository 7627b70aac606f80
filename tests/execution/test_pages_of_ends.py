"""Endpoints that list their unacknowledged ends page by page."""

import math
import time
from unittest import mock

import msgspec
from testtools import TestCase

from lentilrill.execution import EndKind, PollResult, PoolOwner, RunEnd, Verdict, _links
from lentilrill.execution._release import release
from lentilrill.execution._run_leases import NEVER, RUN_LEASE_S, longest_run_s
from lentilrill.ids import EndpointId
from lentilrill.inner import ReleaseState
from lentilrill.workloads import JobState, Resources
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.cases import TrackedJobCase
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of
from tests.fakes import refuse

PAGE = 5
TASKS = 4 * PAGE
FAILED_COMMITS = 3


class PagedEndpoint(FakeEndpoint):
    """Fake endpoint that lists a few ends in one answer."""

    def poll(self, *args: object) -> PollResult:
        result = super().poll(*args)
        page = result.ended[:PAGE]
        return msgspec.structs.replace(result, ended=page, is_complete=len(page) < PAGE)


class TakeOverWithManyEndsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.endpoint = self.pool.endpoints["e1"] = PagedEndpoint()
        capacity = Resources(TASKS * 1000, 64000)
        self.pool.register(an_endpoint("e1", capacity=capacity, started_ms=1))
        self.job = a_job("a", a_step(TASKS))
        first = self.pool.take_over()
        self.pool.submit(first, self.job)
        self.assertTrue(eventually(lambda: len(self.endpoint.running) == TASKS))
        first.close()
        self.pool.finish_all()

    def assert_completed(self, owner: PoolOwner) -> None:
        """Check that the job ends without another start."""
        self.assertTrue(eventually(lambda: state_of(owner, self.job.id) is JobState.COMPLETED))
        self.assertEqual(TASKS, len(self.pool.starts()))

    def test_no_task_is_started_again_whose_end_is_on_a_later_page(self) -> None:
        """Guards against tasks that run a second time: their ends were on the second page, and the
        new owner took the first one for all."""
        self.assert_completed(self.pool.take_over())

    def test_a_task_waits_for_the_last_page_however_long_that_takes(self) -> None:
        """Guards against tasks that run a second time while the store refuses the ends of the first
        page, until the leases of the previous owner have expired."""
        self.pool.kv.commits.extend([refuse] * FAILED_COMMITS)
        over_once_polled = property(lambda links: NEVER if _is_polled(links) else math.inf)
        with mock.patch.object(_links.PoolLinks, "_previous_calls_end", over_once_polled):
            self.assert_completed(self.pool.take_over())

    def test_a_lost_answer_between_two_pages_starts_nothing(self) -> None:
        """Guards against tasks that run a second time: one poll between two pages got no answer, as
        the wait of the take-over was over."""
        with mock.patch.object(_links, "PREVIOUS_CALLS_S", NEVER):
            self.pool.kv.commits.extend([refuse] * FAILED_COMMITS)
            owner = self.pool.take_over()
            link = owner._links.by_id
            self.assertTrue(eventually(lambda: "e1" in link and link["e1"].has_unread_ends))
            with owner._lock:
                link["e1"].reachable = False
                self.assertTrue(owner._links.is_blocked)
                link["e1"].answered_at -= longest_run_s(RUN_LEASE_S)
                self.assertFalse(owner._links.is_blocked)

    def test_a_task_does_not_wait_for_an_endpoint_that_is_lost(self) -> None:
        """Guards against tasks that stand still: the endpoint was lost between two pages."""
        self.pool.register(an_endpoint("e2", capacity=Resources(TASKS * 1000, 64000)))
        self.pool.kv.commits.extend([refuse] * FAILED_COMMITS)
        with mock.patch.object(_links, "PREVIOUS_CALLS_S", NEVER):
            owner = self.pool.take_over()
            self.assertTrue(eventually(lambda: self.endpoint.token == owner.token))
            self.endpoint.silent = True
            self.assertTrue(eventually(lambda: len(self.pool.endpoints["e2"].running) > 0))


def _is_polled(links: _links.PoolLinks) -> bool:
    link = links.by_id.get(EndpointId("e1"))
    return link is not None and link.was_polled


class ReleaseWithManyEndsTest(TrackedJobCase):
    def test_an_endpoint_with_ends_on_a_later_page_is_not_free(self) -> None:
        """Guards against ends that are lost with their host, whose tasks run a second time."""
        job = self.add(a_step(2))
        task, other = (run.task.id for run in (self.run_of(job, 0), self.run_of(job, 1)))
        ends = [RunEnd(n, t, 7001, EndKind.DONE, "") for n, t in ((1, task), (2, other))]
        for page, is_complete, state in (
            (ends[:1], False, ReleaseState.WAIT),
            (ends[1:], True, ReleaseState.FREE),
        ):
            result = PollResult(Verdict.DONE, 1000, 1, (), tuple(page), is_complete=is_complete)
            self.reconciler.apply_poll(self.link, result, time.monotonic())
            self.link.runs_by_key.clear()
            self.link.stored_cursor = self.link.seen_cursor
            self.assertEqual(state, release(self.link, time.monotonic())[0])
