"""Rates and shares of workspaces, and admission by share."""

import math

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.scheduling import (
    CapacityOutlook,
    DecayingCounts,
    ExpectedHosts,
    PoolBacklog,
    PoolRates,
    RateBook,
    WorkspaceBacklog,
    admit_by_fair_share,
    fair_shares,
    max_count,
    usable_wait_s,
    work_before,
)
from lentilrill.scheduling._admission import MIN_RETURN_S
from lentilrill.scheduling._rates import DECAY_S

SCHOOLS, LIBRARY, MUSEUM = (WorkspaceId(name) for name in ("schools", "library", "museum"))
POOL = PoolId("notices")
ODD_WEIGHTS = [0.0, -3.0, math.nan, math.inf, 1e308, 5e-324]
AMOUNTS = st.floats(0, 1e6)
WEIGHTS = st.one_of(st.floats(0.01, 100), st.sampled_from(ODD_WEIGHTS))
JOB = JobId("a" * 16)


class Hosts:
    """Entry hosts that submit jobs of one workspace into one pool, and the pool's owner.

    :ivar within: times of the jobs within the rate.
    """

    def __init__(self, count: int, rate: float) -> None:
        self.rate = rate
        self.books = [RateBook() for _ in range(count)]
        self.within: list[float] = []
        self._owner: DecayingCounts[WorkspaceId] = DecayingCounts()

    def submit(self, host: int, now: float) -> bool:
        """Submit a job; return whether it is within the rate."""
        book = self.books[host]
        if book.is_beyond(SCHOOLS, self.rate, now):
            return False
        job = JobId(f"{len(self.within):016x}")
        book.add(job, POOL, SCHOOLS, now)
        book.commit(job, now)
        self._owner.add(SCHOOLS, now, now)
        self.within.append(now)
        return True

    def report(self, now: float) -> PoolRates:
        return PoolRates(now, self._owner.counts(now, 0.0))

    def hear(self, report: PoolRates) -> None:
        for book in self.books:
            book.update(POOL, report)

    def true_count(self, now: float) -> float:
        return sum(math.exp((at - now) / DECAY_S) for at in self.within)


class RatesTest(TestCase):
    @given(st.floats(0.05, 200))
    def test_a_workspace_that_keeps_its_rate_is_never_beyond_it(self, rate: float) -> None:
        hosts = Hosts(1, rate)
        for index in range(100):
            self.assertTrue(hosts.submit(0, index / rate))

    @given(st.floats(0.2, 30), st.lists(st.floats(0, 0.5), min_size=20, max_size=150))
    def test_no_more_than_its_burst_and_its_rate(self, rate: float, gaps: list[float]) -> None:
        hosts, now = Hosts(1, rate), 0.0
        for gap in gaps:
            now += gap
            hosts.submit(0, now)
        self.assertLessEqual(len(hosts.within), max_count(rate) + rate * now + 1e-6)

    def test_several_times_the_rate_leaves_the_rate(self) -> None:
        """Guards against a workspace that loses what it is owed because it sends more."""
        hosts = Hosts(1, 3.0)
        for index in range(480):
            hosts.submit(0, index / 24)
        self.assertGreaterEqual(len(hosts.within), 0.95 * 3 * 20)

    def test_counts_of_five_seconds_ago_err_towards_within(self) -> None:
        """Guards against a host that goes by old reports and takes away what is owed."""
        for age_s in (0.3, 5.0):
            hosts, reports = Hosts(4, 3.0), []
            for index in range(600):
                now = index / 20
                if index % 6 == 0:
                    reports.append(hosts.report(now))
                if reports and reports[0].sent_at <= now - age_s:
                    hosts.hear(reports.pop(0))
                for book in hosts.books:
                    self.assertLessEqual(book.count(SCHOOLS, now), hosts.true_count(now) + 1e-6)
                if hosts.submit(index % 4, now):
                    unseen = sum(1 for at in hosts.within if at >= now - age_s - 0.3)
                    self.assertLessEqual(hosts.true_count(now), max_count(3.0) + unseen)
            self.assertGreaterEqual(len(hosts.within), 3 * 30 * 0.95)

    def test_a_partition_lets_each_side_admit_the_rate_at_most(self) -> None:
        """Guards against a cut between zones that lifts the limit on both sides."""
        hosts = Hosts(2, 3.0)
        for index in range(600):
            hosts.submit(index % 2, index / 20)
        self.assertGreater(len(hosts.within), max_count(3.0) + 3 * 30)
        self.assertLessEqual(len(hosts.within), 2 * (max_count(3.0) + 3 * 30))

    def test_a_third_of_the_hosts_accept_nothing(self) -> None:
        """Guards against hosts turned away by the store that use up the rate of the others."""
        hosts = Hosts(3, 3.0)
        for index in range(600):
            now = index / 20
            hosts.hear(hosts.report(now))
            if index % 3:
                hosts.submit(index % 3, now)
                continue
            refused = JobId(f"f{index:015x}")
            hosts.books[0].add(refused, POOL, SCHOOLS, now)
            hosts.books[0].remove_uncommitted(refused)
        self.assertGreaterEqual(len(hosts.within), 0.95 * 3 * 30)
        self.assertLessEqual(len(hosts.within), max_count(3.0) + 3 * 30)

    def test_a_changed_weight_applies_to_the_next_job(self) -> None:
        hosts = Hosts(1, 1.0)
        while hosts.submit(0, 0.0):
            pass
        hosts.rate = 20.0
        self.assertTrue(hosts.submit(0, 0.0))
        hosts.rate = 0.5
        self.assertFalse(hosts.submit(0, 3.0))
        self.assertTrue(hosts.submit(0, 30.0))

    def test_an_odd_weight_is_no_rate_or_a_finite_one(self) -> None:
        """Guards against a division by nothing for a weight that makes no sense."""
        for weight in ODD_WEIGHTS:
            is_beyond = RateBook().is_beyond(SCHOOLS, weight, 0.0)
            self.assertEqual(not weight > 0, is_beyond, weight)


class SharesTest(TestCase):
    @given(AMOUNTS, st.lists(st.tuples(AMOUNTS, WEIGHTS), max_size=8))
    @example(1.0, [(0.0, 29.0), (0.0, 99.8620059040024), (1.0, 5e-324)])
    @example(1.0, [(1.0, 5e-324), (1.0, 5e-324)])
    def test_max_min_fair(self, capacity: float, pairs: list[tuple[float, float]]) -> None:
        ids = [WorkspaceId(str(n)) for n in range(len(pairs))]
        demands = {id: pair[0] for id, pair in zip(ids, pairs, strict=True)}
        weights = {id: pair[1] for id, pair in zip(ids, pairs, strict=True)}
        shares = fair_shares(capacity, demands, weights)
        slop = 1e-6 * (1 + capacity)
        wanted = min(capacity, sum(demands.values()))
        self.assertLess(abs(sum(shares.values()) - wanted), slop)
        for id in ids:
            self.assertLessEqual(shares[id], demands[id])
            if not 0.01 <= weights[id] <= 100 or shares[id] >= demands[id] - slop:
                continue
            for other in ids:
                if 0.01 <= weights[other] <= 100:
                    excess = shares[other] / weights[other] - shares[id] / weights[id]
                    self.assertLessEqual(excess, slop * 1e4)

    def test_weight_0_gets_what_others_leave(self) -> None:
        weights = {SCHOOLS: 3.0, LIBRARY: 0.0, MUSEUM: -1.0}
        demands = {SCHOOLS: 10.0, LIBRARY: 20.0, MUSEUM: 20.0}
        self.assertEqual(
            {SCHOOLS: 10.0, LIBRARY: 5.0, MUSEUM: 5.0}, fair_shares(20.0, demands, weights)
        )
        self.assertEqual(
            {SCHOOLS: 8.0, LIBRARY: 0.0, MUSEUM: 0.0}, fair_shares(8.0, demands, weights)
        )

    @given(AMOUNTS, WEIGHTS, st.lists(st.tuples(AMOUNTS, WEIGHTS), max_size=8))
    def test_work_before_is_finite(
        self, work: float, weight: float, others: list[tuple[float, float]]
    ) -> None:
        before = work_before(work, weight, others)
        self.assertLessEqual(work, before)
        self.assertLessEqual(before, work + sum(other for other, _ in others) + 1e-6)


class AdmissionByShareTest(TestCase):
    """A pool of 100 cores, in which the large workspace has 19 times the small one's weight."""

    def setUp(self) -> None:
        super().setUp()
        self.weights = {SCHOOLS: 19.0, LIBRARY: 1.0}
        self.outlook = CapacityOutlook(100.0)
        self.is_short = True
        self.age_s = 0.0
        self.works = {
            SCHOOLS: WorkspaceBacklog(owed=900.0, beyond=3000.0, overdue=2000.0),
            LIBRARY: WorkspaceBacklog(owed=5.0),
        }

    def verdict(self, workspace: WorkspaceId, job: JobId = JOB, *, is_beyond: bool = False):
        backlog = PoolBacklog(self.is_short, self.outlook, self.works, self.weights, self.age_s)
        usable_s = 2.0 + MIN_RETURN_S
        return admit_by_fair_share(job, workspace, backlog, usable_s, is_beyond=is_beyond)

    def test_one_workspace_s_surge_doesn_t_refuse_another_s_jobs(self) -> None:
        """Guards against a small workspace that pays for a large one's surge."""
        self.assertTrue(self.verdict(LIBRARY).is_accepted)
        self.assertFalse(self.verdict(SCHOOLS).is_accepted)
        self.works[SCHOOLS] = WorkspaceBacklog(owed=1e9)
        self.assertTrue(self.verdict(LIBRARY).is_accepted)

    @given(st.floats(0, 1e9), st.floats(0.01, 1e3), st.floats(0, 30))
    def test_within_its_share_whatever_others_have_queued(
        self, others: float, weight: float, own: float
    ) -> None:
        share = 100.0 * weight / (19.0 + weight)
        self.weights[LIBRARY] = weight
        self.works = {
            SCHOOLS: WorkspaceBacklog(others, others, others),
            LIBRARY: WorkspaceBacklog(owed=own),
        }
        if own <= 1.99 * share:
            self.assertTrue(self.verdict(LIBRARY).is_accepted)

    def test_beyond_the_rate_is_refused_first(self) -> None:
        self.works = {SCHOOLS: WorkspaceBacklog(owed=150.0, beyond=100.0)}
        self.assertTrue(self.verdict(SCHOOLS).is_accepted)
        self.assertFalse(self.verdict(SCHOOLS, is_beyond=True).is_accepted)
        self.assertTrue(self.verdict(LIBRARY, is_beyond=True).is_accepted)
        self.works = {SCHOOLS: WorkspaceBacklog(owed=250.0)}
        self.assertTrue(self.verdict(LIBRARY).is_accepted)
        self.assertFalse(self.verdict(LIBRARY, is_beyond=True).is_accepted)

    def test_nothing_is_refused_while_there_is_room(self) -> None:
        """Guards against refusals on a calm day, and for the rate alone."""
        self.is_short = False
        self.assertTrue(self.verdict(SCHOOLS).is_accepted)
        self.assertTrue(self.verdict(SCHOOLS, is_beyond=True).is_accepted)

    def test_hosts_on_their_way_count(self) -> None:
        """Guards against refusals at the start of a surge of what arriving hosts do in time."""
        self.works = {SCHOOLS: WorkspaceBacklog(owed=900.0)}
        self.assertEqual(9.0, self.verdict(SCHOOLS).wait_s)
        self.outlook = CapacityOutlook(100.0, 900.0)
        self.assertLess(self.verdict(SCHOOLS).wait_s, 3.1)
        self.outlook = CapacityOutlook(0.0, 900.0)
        self.works = {SCHOOLS: WorkspaceBacklog(owed=9.0)}
        self.assertLess(self.verdict(SCHOOLS).wait_s, 2.5)

    def test_an_old_report_errs_towards_accepting(self) -> None:
        self.assertFalse(self.verdict(SCHOOLS).is_accepted)
        self.age_s = 9.0
        self.works[SCHOOLS] = WorkspaceBacklog(owed=900.0)
        self.assertTrue(self.verdict(SCHOOLS).is_accepted)

    def test_a_refused_caller_returns_when_its_share_has_room(self) -> None:
        """Guards against callers that return into a refusal that was known, or all at once."""
        jobs = [JobId(f"{n:016x}") for n in range(200)]
        retries = [self.verdict(SCHOOLS, job).retry_s for job in jobs]
        refused = self.verdict(SCHOOLS)
        for retry_s in retries:
            self.assertEqual(retry_s, round(retry_s))
            self.assertLessEqual(refused.wait_s - retry_s, refused.max_wait_s)
        busiest = max(retries.count(each) for each in retries)
        self.assertLess(busiest, len(jobs) / 3)

    def test_a_pool_without_hosts_is_asked_again_soon(self) -> None:
        """Guards against callers that stay away for a minute after a loss of power."""
        self.outlook = CapacityOutlook(0.0)
        refused = self.verdict(SCHOOLS)
        self.assertFalse(refused.is_accepted)
        self.assertTrue(10 <= refused.retry_s <= 20)

    def test_odd_weights_refuse_without_an_error(self) -> None:
        """Guards against a division by nothing in the decision about a job."""
        for weight in ODD_WEIGHTS:
            self.weights[LIBRARY] = weight
            self.works[LIBRARY] = WorkspaceBacklog(owed=1e5, beyond=1e5)
            verdict = self.verdict(LIBRARY, is_beyond=not weight > 0)
            self.assertFalse(verdict.is_accepted)
            self.assertGreater(verdict.retry_s, 0)

    def test_without_hosts(self) -> None:
        self.outlook = CapacityOutlook(0.0)
        self.assertFalse(self.verdict(SCHOOLS).is_accepted)
        self.works = {}
        self.assertTrue(self.verdict(SCHOOLS).is_accepted)

    def test_usable_wait(self) -> None:
        """Guards against a refusal after which a caller returns later than the job would wait."""
        self.assertAlmostEqual(1.2 + MIN_RETURN_S, usable_wait_s(1.0, 1.6, 0.6))
        self.assertEqual(6.0, usable_wait_s(1.0, 1.0, 0.0))


class ExpectedHostsTest(TestCase):
    def test_hosts_are_expected_while_they_come(self) -> None:
        """Guards against waiting for hosts that a full site doesn't have."""
        expected = ExpectedHosts()
        self.assertEqual(0, expected.observe(1.5, 2, 0.0))
        self.assertEqual(6, expected.observe(7.2, 2, 1.0))
        self.assertEqual(4, expected.observe(7.2, 4, 4.0))
        self.assertEqual(4, expected.observe(7.2, 4, 8.0))
        self.assertEqual(0, expected.observe(7.2, 4, 9.0))
        self.assertEqual(3, expected.observe(7.2, 5, 9.5))
