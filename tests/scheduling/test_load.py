"""Tests for host moves, demand of pools and the duration model under recorded loads."""

import math
import random
from collections import Counter

import msgspec
from testtools import TestCase

from lentilrill.execution._need import LEAD_S, OfferedLoad, WorkEstimate
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.scheduling import (
    Demand,
    DurationModel,
    MovableHost,
    PoolNeed,
    minimum_hosts,
    plan_moves,
    required_hosts,
)

STANDBY = PoolId("standby")


def free(*names: str) -> tuple[MovableHost, ...]:
    return tuple(MovableHost(HostId(name), ZoneId("z")) for name in names)


class CapacityTest(TestCase):
    def test_a_surge_takes_hosts_from_standby_and_then_from_idle_pools(self) -> None:
        hot = PoolNeed(PoolId("notices"), 6.0, 3)
        idle = PoolNeed(PoolId("ballots"), 0.3, 6, 1, free("b1", "b2", "b3"))
        moves = plan_moves((hot, idle), STANDBY, free("s1", "s2"))
        to_hot = [(m.source, m.host.id) for m in moves if m.target == hot.pool]
        self.assertEqual({"s1", "s2"}, {host for source, host in to_hot if source == STANDBY})
        self.assertIn(idle.pool, {source for source, _ in to_hot})

    def test_an_idle_pool_releases_surplus_after_a_while_and_keeps_its_minimum(self) -> None:
        names = [f"b{n}" for n in range(8)]
        for recent_peak, left in ((8, 8), (6, 6), (1, 5)):
            pool = PoolNeed(
                PoolId("ballots"), 0.2, 8, recent_peak, free(*names), min_hosts=minimum_hosts(14, 1)
            )
            moves = plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4", "s5", "s6"))
            self.assertEqual(left, 8 - len(moves), recent_peak)

    def test_a_pool_after_its_surge_gives_surplus_hosts_to_the_next_surge(self) -> None:
        """A pool in its surge had 64 hosts and needed 265, while the pool whose surge was ending
        kept 158 hosts and needed 87."""
        begins = PoolNeed(PoolId("notices"), 265.0, 64, need_without_forecast=45.0)
        drainable = free("b1", "b2", "b3", "b4")
        for need, moved in ((87.0, 4), (130.0, 0)):
            ends = PoolNeed(
                PoolId("ballots"), need, 158, 158, need_without_forecast=need, drainable=drainable
            )
            self.assertEqual(moved, len(plan_moves((begins, ends), STANDBY, ())), need)

    def test_a_fluctuating_need_does_not_stop_tasks(self) -> None:
        """On a small site each completed job released a host that was needed again at once."""
        begins = PoolNeed(PoolId("notices"), 9.0, 2, need_without_forecast=9.0)
        for hosts, moved in ((8, 0), (160, 4)):
            need = (hosts - 2.0) / 1.15 if hosts == 8 else 100.0
            drainable = free("b1", "b2", "b3", "b4")
            ends = PoolNeed(
                PoolId("ballots"), need, hosts, need_without_forecast=need, drainable=drainable
            )
            self.assertEqual(moved, len(plan_moves((begins, ends), STANDBY, ())), hosts)

    def test_free_hosts_move_before_hosts_with_tasks(self) -> None:
        begins = PoolNeed(PoolId("notices"), 3.0, 3, need_without_forecast=3.0)
        ends = PoolNeed(PoolId("ballots"), 1.0, 8, 8, free=free("b1"), drainable=free("b2"))
        [move] = plan_moves((begins, ends), STANDBY, ())
        self.assertEqual("b1", move.host.id)

    def test_hosts_that_start_one_by_one_cause_no_moves(self) -> None:
        """Fifty hosts moved after a start, before the first request.

        The list of hosts showed standby hosts first. They were moved to pools that seemed empty,
        whose own hosts came up a second later, and then became surplus there.
        """
        for below_min_s, moved in ((1.0, 0), (9.0, 3)):
            pool = PoolNeed(PoolId("ballots"), 0.0, 1, min_hosts=4, below_min_s=below_min_s)
            self.assertEqual(moved, len(plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4"))))

    def test_a_short_pool_gets_hosts_for_its_work_at_once(self) -> None:
        pool = PoolNeed(
            PoolId("ballots"), 2.0, 1, need_without_forecast=2.0, min_hosts=5, below_min_s=0.0
        )
        self.assertEqual(2, len(plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4"))))

    def test_no_host_is_taken_from_a_pool_that_needs_it(self) -> None:
        hot = PoolNeed(PoolId("notices"), 9.0, 3)
        busy = PoolNeed(PoolId("ballots"), 3.5, 5, 5, free("b1"))
        self.assertEqual([], plan_moves((hot, busy), STANDBY, ()))

    def test_a_surge_leaves_other_pools_their_minimum_hosts(self) -> None:
        """A pool entered its surge with 15 of its 22 minimum hosts, because another surge had taken
        the rest."""
        hot = PoolNeed(PoolId("notices"), 200.0, 120, need_without_forecast=140.0)
        names = [f"s{n}" for n in range(10)]
        for hosts, taken in ((26, 4), (22, 0), (15, 0)):
            idle = PoolNeed(
                PoolId("schools"),
                0.0,
                hosts,
                0,
                free(*names),
                need_without_forecast=0.0,
                min_hosts=22,
                below_min_s=0.0,
            )
            moves = plan_moves((hot, idle), STANDBY, ())
            self.assertEqual(taken, len([m for m in moves if m.source == idle.pool]), hosts)

    def test_a_pool_with_work_and_no_host_gets_a_spare_one(self) -> None:
        """Jobs of a pool that had lost its last host waited for good beside an idle pool."""
        empty = PoolNeed(PoolId("notices"), 0.9, 0, need_without_forecast=0.9)
        for hosts, taken in ((3, 1), (2, 1), (1, 0)):
            names = [f"b{n}" for n in range(hosts)]
            idle = PoolNeed(
                PoolId("ballots"), 0.0, hosts, hosts, free(*names), need_without_forecast=0.0
            )
            idle = msgspec.structs.replace(idle, below_min_s=0.0)
            moves = plan_moves((empty, idle), STANDBY, ())
            self.assertEqual(taken, len(moves), hosts)
            self.assertTrue(all(move.target == empty.pool for move in moves))

    def test_the_last_host_of_a_pool_is_no_spare_one(self) -> None:
        """Guards against two pools without hosts that leave a third one without any."""
        empty = [PoolNeed(PoolId(name), 0.9, 0, need_without_forecast=0.9) for name in ("a", "b")]
        idle = PoolNeed(PoolId("ballots"), 0.0, 2, 2, free("b1", "b2"), need_without_forecast=0.0)
        idle = msgspec.structs.replace(idle, below_min_s=0.0)
        self.assertEqual(1, len(plan_moves((*empty, idle), STANDBY, ())))

    def test_a_pool_with_a_host_leaves_other_pools_their_minimum(self) -> None:
        """Guards against pools that take each other's spare hosts back and forth."""
        short = PoolNeed(PoolId("notices"), 3.0, 1, need_without_forecast=3.0)
        idle = PoolNeed(PoolId("ballots"), 0.0, 2, 2, free("b1", "b2"), need_without_forecast=0.0)
        idle = msgspec.structs.replace(idle, below_min_s=0.0)
        self.assertEqual([], plan_moves((short, idle), STANDBY, ()))

    def test_an_idle_pool_without_hosts_takes_no_spare_one(self) -> None:
        """Guards against moves for a pool that has no work."""
        empty = PoolNeed(PoolId("notices"), 0.0, 0, need_without_forecast=0.0)
        idle = PoolNeed(PoolId("ballots"), 0.0, 2, 2, free("b1", "b2"), need_without_forecast=0.0)
        idle = msgspec.structs.replace(idle, below_min_s=0.0)
        self.assertEqual([], plan_moves((empty, idle), STANDBY, ()))

    def test_a_forecast_does_not_starve_a_surge(self) -> None:
        """Jobs of a pool in its surge were rejected for four seconds while another pool had twenty
        idle hosts.

        One large job arrived in the other pool just as hosts became free. The forecast took it for
        the start of a surge and requested all of them; three would have been enough.
        """
        surge = PoolNeed(PoolId("amd"), 17.6, 5, need_without_forecast=17.6)
        single = PoolNeed(PoolId("rajkot"), 25.8, 4, need_without_forecast=3.3)
        standby_hosts = free(*(f"s{n}" for n in range(18)))
        got = Counter(move.target for move in plan_moves((surge, single), STANDBY, standby_hosts))
        self.assertEqual(16, got[surge.pool])
        self.assertEqual(2, got[single.pool])

    def test_two_surges_share_the_available_hosts(self) -> None:
        needs = tuple(
            PoolNeed(PoolId(name), 20.0, 2, need_without_forecast=20.0) for name in ("a", "b")
        )
        got = Counter(move.target for move in plan_moves(needs, STANDBY, free("1", "2", "3", "4")))
        self.assertEqual({PoolId("a"): 2, PoolId("b"): 2}, dict(got))

    def test_hosts_with_overdue_work_move_to_work_that_can_be_on_time(self) -> None:
        """Jobs of a new surge were rejected for four seconds while another pool ran overdue jobs.

        The hosts of that pool worked on the backlog of the previous surge and were never idle, so
        none was moved.
        """
        hot = PoolNeed(PoolId("schools"), 9.0, 3)
        busy = PoolNeed(PoolId("notices"), 2.0, 6, 6, (), (), free("n1", "n2", "n3", "n4"))
        moves = plan_moves((hot, busy), STANDBY, ())
        self.assertEqual(3, len(moves))
        self.assertEqual({busy.pool}, {move.source for move in moves})


def an_estimate(cores_s: float, ms: float = 800.0) -> WorkEstimate:
    return WorkEstimate(ms, ms, (cores_s * 1000, 0.0, 0.0))


class OfferedLoadTest(TestCase):
    def test_a_surge_shows_in_its_first_second(self) -> None:
        """Jobs of a surge waited three seconds for hosts that arrived after the surge."""
        offered = OfferedLoad()
        offered.record_arrival(10.0, an_estimate(2.0), 0.0)
        self.assertGreaterEqual(offered.forecast(10.5).resource_seconds[0], 4000)
        for step in range(10):
            offered.record_arrival(11.0 + step / 10, an_estimate(7.0), 0.0)
        self.assertGreaterEqual(offered.forecast(12.0).resource_seconds[0], 126000)
        for step in range(10):
            offered.record_arrival(12.05 + step / 20, an_estimate(1.0), 0.0)
        self.assertLess(offered.forecast(13.0).resource_seconds[0], 17500 * LEAD_S)
        self.assertEqual(0.0, offered.forecast(20.0).resource_seconds[0])


class DemandTest(TestCase):
    def test_work_with_slack_shares_hosts(self) -> None:
        """Thirty hosts were moved for five jobs of one second and arrived when the jobs were nearly
        done.

        Each job could have filled six hosts at once; three hosts could finish all jobs on time one
        after the other.
        """
        plans = [Demand((6.0 * 2, 0.0, 0.0), 18.0, 2.0) for _ in range(5)]
        self.assertLessEqual(required_hosts(plans), 5.0)
        self.assertGreaterEqual(required_hosts(plans), 60 / 20 - 0.1)

    def test_work_without_slack_counts_in_full(self) -> None:
        plans = [Demand((2.0, 0.0, 0.0), 0.0, 2.0) for _ in range(5)]
        self.assertAlmostEqual(5.0, required_hosts(plans))

    def test_hosts_still_to_be_added_work_for_a_part_of_the_span(self) -> None:
        """Jobs were late in each surge although all requested hosts arrived.

        The number of hosts was computed as if they were present when the jobs were submitted.
        """
        plans = [Demand((4.5, 0.0, 0.0), 2.5, 2.0) for _ in range(4)]
        self.assertAlmostEqual(4.0, required_hosts(plans, present=1.0))
        self.assertAlmostEqual(1 + 13.5 / 2.1, required_hosts(plans, present=1.0, lead_s=2.4))
        self.assertAlmostEqual(4.0, required_hosts(plans, present=4.0, lead_s=2.4))

    def test_the_scarcest_resource_counts(self) -> None:
        self.assertAlmostEqual(3.0, required_hosts([Demand((1.0, 3.0, 0.0), 0.0, 1.0)]))

    def test_no_demand(self) -> None:
        self.assertEqual(0.0, required_hosts([]))


class DurationModelTest(TestCase):
    def test_unreliable_estimates_have_less_weight(self) -> None:
        """Short jobs ran after long ones: callers' estimates were off by factors of three."""
        rng = random.Random(5)
        model = DurationModel()
        for _ in range(200):
            actual = 800 * math.exp(rng.gauss(0, 0.4))
            model.observe(actual * math.exp(rng.gauss(0, 1.1)), actual)
        self.assertLess(model.expected_ms(8000), 2400)
        self.assertGreater(model.expected_ms(80), 300)

    def test_reliable_estimates_are_used(self) -> None:
        rng = random.Random(5)
        model = DurationModel()
        for _ in range(200):
            actual = 800 * math.exp(rng.gauss(0, 0.6))
            model.observe(actual * math.exp(rng.gauss(0, 0.05)), actual)
        self.assertGreater(model.expected_ms(2000), 1500)
        self.assertLess(model.expected_ms(300), 450)

    def test_estimate_is_returned_without_any_run(self) -> None:
        self.assertEqual(700, DurationModel().expected_ms(700))
