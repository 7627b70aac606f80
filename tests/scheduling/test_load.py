"""Loads replayed on the decisions about hosts and on what is learned of durations."""

import math
import random
from collections import Counter

from testtools import TestCase

from lentilrill.execution._need import LEAD_S, OfferedLoad, WorkEstimate
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.scheduling import (
    Demand,
    DurationModel,
    FreeHost,
    PoolNeed,
    hosts_due,
    kept_hosts,
    plan_moves,
)

STANDBY = PoolId("standby")


def free(*names: str) -> tuple[FreeHost, ...]:
    return tuple(FreeHost(HostId(name), ZoneId("z")) for name in names)


class CapacityTest(TestCase):
    def test_a_surge_takes_hosts_from_standby_and_then_from_idle_pools(self) -> None:
        hot = PoolNeed(PoolId("notices"), 6.0, 3)
        idle = PoolNeed(PoolId("ballots"), 0.3, 6, 1, free("b1", "b2", "b3"))
        moves = plan_moves((hot, idle), STANDBY, free("s1", "s2"))
        to_hot = [(m.source, m.host.host) for m in moves if m.target == hot.pool]
        self.assertEqual({"s1", "s2"}, {host for source, host in to_hot if source == STANDBY})
        self.assertIn(idle.pool, {source for source, _ in to_hot})

    def test_an_idle_pool_gives_back_only_after_a_while_and_keeps_its_share(self) -> None:
        names = [f"b{n}" for n in range(8)]
        for lately, left in ((8, 8), (6, 6), (1, 5)):
            pool = PoolNeed(PoolId("ballots"), 0.2, 8, lately, free(*names), kept=kept_hosts(14, 1))
            moves = plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4", "s5", "s6"))
            self.assertEqual(left, 8 - len(moves), lately)

    def test_a_surge_that_ends_leaves_to_the_next_what_it_does_not_need(self) -> None:
        """The second queue of a day had 64 hosts for work of 265, the first 158 for work of 87."""
        begins = PoolNeed(PoolId("notices"), 265.0, 64, firm=45.0)
        light = free("b1", "b2", "b3", "b4")
        for need, moved in ((87.0, 4), (130.0, 0)):
            ends = PoolNeed(PoolId("ballots"), need, 158, 158, firm=need, light=light)
            self.assertEqual(moved, len(plan_moves((begins, ends), STANDBY, ())), need)

    def test_a_need_that_swings_stops_no_tasks(self) -> None:
        """On a small site each job that ended sent away a host that was wanted again at once."""
        begins = PoolNeed(PoolId("notices"), 9.0, 2, firm=9.0)
        for hosts, moved in ((8, 0), (160, 4)):
            need = (hosts - 2.0) / 1.15 if hosts == 8 else 100.0
            light = free("b1", "b2", "b3", "b4")
            ends = PoolNeed(PoolId("ballots"), need, hosts, firm=need, light=light)
            self.assertEqual(moved, len(plan_moves((begins, ends), STANDBY, ())), hosts)

    def test_free_hosts_go_before_those_that_work(self) -> None:
        begins = PoolNeed(PoolId("notices"), 3.0, 3, firm=3.0)
        ends = PoolNeed(PoolId("ballots"), 1.0, 8, 8, free=free("b1"), light=free("b2"))
        [move] = plan_moves((begins, ends), STANDBY, ())
        self.assertEqual("b1", move.host.host)

    def test_hosts_that_come_up_one_by_one_move_none(self) -> None:
        """Fifty hosts moved before the first caller came.

        After a start the list showed standby's hosts first. They were sent to pools that seemed
        to have none, whose own hosts came up a second later, and all of these then left again.
        """
        for short_s, moved in ((1.0, 0), (9.0, 3)):
            pool = PoolNeed(PoolId("ballots"), 0.0, 1, kept=4, short_s=short_s)
            self.assertEqual(moved, len(plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4"))))

    def test_a_short_pool_gets_hosts_for_its_work_at_once(self) -> None:
        pool = PoolNeed(PoolId("ballots"), 2.0, 1, firm=2.0, kept=5, short_s=0.0)
        self.assertEqual(2, len(plan_moves((pool,), STANDBY, free("s1", "s2", "s3", "s4"))))

    def test_no_host_is_taken_from_a_pool_that_needs_it(self) -> None:
        hot = PoolNeed(PoolId("notices"), 9.0, 3)
        busy = PoolNeed(PoolId("ballots"), 3.5, 5, 5, free("b1"))
        self.assertEqual([], plan_moves((hot, busy), STANDBY, ()))

    def test_a_surge_leaves_other_pools_what_they_keep(self) -> None:
        """A pool went into its surge with 15 of the 22 hosts that it keeps: guards its share."""
        hot = PoolNeed(PoolId("notices"), 200.0, 120, firm=140.0)
        names = [f"s{n}" for n in range(10)]
        for hosts, taken in ((26, 4), (22, 0), (15, 0)):
            idle = PoolNeed(
                PoolId("schools"), 0.0, hosts, 0, free(*names), firm=0.0, kept=22, short_s=0.0
            )
            moves = plan_moves((hot, idle), STANDBY, ())
            self.assertEqual(taken, len([m for m in moves if m.source == idle.pool]), hosts)

    def test_a_forecast_does_not_starve_a_surge(self) -> None:
        """Route plans were refused for four seconds while twenty hosts stood idle in another pool.

        One large dispatch plan was handed in just as hosts came free, and its work, taken for the
        beginning of a surge, asked for all of them; three would have done.
        """
        surge = PoolNeed(PoolId("amd"), 17.6, 5, firm=17.6)
        single = PoolNeed(PoolId("rajkot"), 25.8, 4, firm=3.3)
        resting = free(*(f"s{n}" for n in range(18)))
        got = Counter(move.target for move in plan_moves((surge, single), STANDBY, resting))
        self.assertEqual(16, got[surge.pool])
        self.assertEqual(2, got[single.pool])

    def test_two_surges_share_what_there_is(self) -> None:
        needs = tuple(PoolNeed(PoolId(name), 20.0, 2, firm=20.0) for name in ("a", "b"))
        got = Counter(move.target for move in plan_moves(needs, STANDBY, free("1", "2", "3", "4")))
        self.assertEqual({PoolId("a"): 2, PoolId("b"): 2}, dict(got))

    def test_hosts_that_do_late_work_go_where_work_can_be_in_time(self) -> None:
        """Worksheets were refused for four seconds beside notices that were late already.

        The notices' surge had left a backlog; each host of their pool worked on it and was never
        idle, so none went to the worksheets, whose surge had begun.
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
        """In its turn a queue's jobs waited three seconds for hosts that came when it was over."""
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
    def test_work_that_may_wait_shares_hosts(self) -> None:
        """Thirty hosts came for five dispatch plans of one second, when all were nearly done.

        Each plan would have filled six hosts at once; in a row, three did them all in time.
        """
        plans = [Demand((6.0 * 2, 0.0, 0.0), 18.0, 2.0) for _ in range(5)]
        self.assertLessEqual(hosts_due(plans), 5.0)
        self.assertGreaterEqual(hosts_due(plans), 60 / 20 - 0.1)

    def test_work_that_can_not_wait_asks_for_its_room(self) -> None:
        plans = [Demand((2.0, 0.0, 0.0), 0.0, 2.0) for _ in range(5)]
        self.assertAlmostEqual(5.0, hosts_due(plans))

    def test_hosts_that_are_yet_to_come_work_for_a_part_of_the_span(self) -> None:
        """Ferry plans were late in each surge although all hosts that they filled had come.

        The hosts were enough for the work, had they been there when it was handed in.
        """
        plans = [Demand((4.5, 0.0, 0.0), 2.5, 2.0) for _ in range(4)]
        self.assertAlmostEqual(4.0, hosts_due(plans, present=1.0))
        self.assertAlmostEqual(1 + 13.5 / 2.1, hosts_due(plans, present=1.0, lead_s=2.4))
        self.assertAlmostEqual(4.0, hosts_due(plans, present=4.0, lead_s=2.4))

    def test_the_scarcest_resource_counts(self) -> None:
        self.assertAlmostEqual(3.0, hosts_due([Demand((1.0, 3.0, 0.0), 0.0, 1.0)]))

    def test_nothing_to_do(self) -> None:
        self.assertEqual(0.0, hosts_due([]))


class DurationModelTest(TestCase):
    def test_estimates_that_are_far_off_are_believed_less(self) -> None:
        """Short jobs stood behind long ones: callers' estimates were off by factors of three."""
        chance = random.Random(5)
        model = DurationModel()
        for _ in range(200):
            actual = 800 * math.exp(chance.gauss(0, 0.4))
            model.observe(actual * math.exp(chance.gauss(0, 1.1)), actual)
        self.assertLess(model.expected_ms(8000), 2400)
        self.assertGreater(model.expected_ms(80), 300)

    def test_good_estimates_are_believed(self) -> None:
        chance = random.Random(5)
        model = DurationModel()
        for _ in range(200):
            actual = 800 * math.exp(chance.gauss(0, 0.6))
            model.observe(actual * math.exp(chance.gauss(0, 0.05)), actual)
        self.assertGreater(model.expected_ms(2000), 1500)
        self.assertLess(model.expected_ms(300), 450)

    def test_nothing_learned_yet(self) -> None:
        self.assertEqual(700, DurationModel().expected_ms(700))
