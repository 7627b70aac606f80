"""Spilling to other zones and ejection of failing hosts by one pool's scheduler."""

from unittest.mock import patch

from lentilrill.ids import HostId, ZoneId
from lentilrill.inner import Granted, PoolLoad, Verdict
from lentilrill.routing import _health
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.telemetry import Event
from tests.routing.cases import POOL, ZONE, SchedulerCase
from tests.routing.site import done, grants, refusals


class SpillTest(SchedulerCase):
    def load(self, free: int, zone: str = "z2") -> None:
        self.scheduler.on_pool_load(PoolLoad(POOL, ZoneId(zone), free, 0.0, 0))

    def test_spills_no_more_than_the_other_zone_has_free(self) -> None:
        # In a surge, all zones see the one with free slots. Without counting what was spilled, all
        # jobs between two load reports would be sent there and overload it.
        self.measure(1.0)
        self.granted()
        self.ask()
        self.load(2)
        spills = [self.ask() for _ in range(4)]
        self.assertEqual(["z2", "z2"], [r.spill for out in spills for r in refusals(out)])

    def test_an_old_load_report_is_ignored(self) -> None:
        self.measure(1.0)
        self.granted()
        self.load(5)
        self.clock.now += 10.0
        self.assertEqual([], self.ask())
        self.assertEqual([], self.ask())

    def test_a_plan_spills_only_to_its_zones(self) -> None:
        self.configure(schools=PlanLimits(zones=(ZONE, ZoneId("z3"))))
        self.measure(1.0)
        self.granted()
        self.load(9)
        self.load(1, "z3")
        self.assertEqual("z3", refusals(self.ask(wait_s=0.1))[0].spill)
        self.assertIsNone(refusals(self.ask(wait_s=0.1))[0].spill)

    def test_a_spilled_job_is_not_spilled_again(self) -> None:
        self.measure(1.0)
        self.granted()
        self.load(9)
        self.assertIsNone(refusals(self.ask(wait_s=0.1, spillable=False))[0].spill)


class EjectionTest(SchedulerCase):
    def fail(self, count: int = 20, verdict: Verdict = Verdict.ERROR) -> list[str]:
        """Run jobs of which those on h1 fail; return the hosts that got them."""
        hosts: list[str] = []
        for _ in range(count):
            granted = self.granted()
            hosts.append(granted.host)
            bad = granted.host == "h1"
            self.scheduler.on_done(done(granted, verdict if bad else Verdict.OK))
        return hosts

    def test_a_host_that_fails_everything_is_ejected(self) -> None:
        # A host answers every job with an error within a millisecond. It always has free slots,
        # so it would attract and fail most of the pool's jobs.
        self.configure(slots=8, hosts=3, budget=1)
        self.assertLess(self.fail(100).count("h1"), 12)
        self.assertNotIn("h1", self.fail(50))
        self.assertEqual(1, self.scheduler.load().ejected)

    def test_an_unreachable_host_is_ejected_sooner(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.assertEqual(3, self.fail(60, Verdict.UNREACHABLE).count("h1"))

    def test_probes_come_one_at_a_time_after_growing_pauses(self) -> None:
        # An ejected host is probed with one job; jobs in all its slots would all fail each time.
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        pauses = []
        for _ in range(3):
            start = self.clock.now
            while not (probes := [g for g in self._burst() if g.host == "h1"]):
                self.clock.now += 0.5
            self.assertEqual(1, len(probes))
            pauses.append(self.clock.now - start)
            self.scheduler.on_done(done(probes[0], Verdict.ERROR))
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], pauses[-1])

    def _burst(self) -> list[Granted]:
        held = [self.granted() for _ in range(6)]
        for granted in held:
            if granted.host != "h1":
                self.scheduler.on_done(done(granted))
        return held

    def test_a_recovered_host_is_restored(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        self.clock.now += 2.0
        for _ in range(20):
            self.scheduler.on_done(done(self.granted()))
        self.assertEqual(0, self.scheduler.load().ejected)
        self.assertEqual(8 * 3, self.scheduler.hosts.capacity)

    def test_ejection_takes_no_more_than_the_budgets_allow(self) -> None:
        # Two hosts of three fail, and the plans allow one host to be unavailable. Ejecting both
        # would exceed that budget, so the second one is used as a last resort instead.
        self.configure(slots=8, hosts=3, budget=1)
        for _ in range(100):
            granted = self.granted()
            ok = granted.host == "h3"
            self.scheduler.on_done(done(granted, Verdict.OK if ok else Verdict.ERROR))
        self.assertEqual(1, self.scheduler.load().ejected)
        self.assertEqual(9, self.scheduler.hosts.capacity)
        self.clock.now += 1.0
        held = [self.granted() for _ in range(10)]
        hosts = [granted.host for granted in held]
        self.assertEqual((1, 1, 8), tuple(hosts.count(HostId(h)) for h in ("h1", "h2", "h3")))
        last = held[hosts.index(HostId("h2"))]
        self.scheduler.on_done(done(last, Verdict.ERROR))
        self.assertEqual([], self.ask())

    def test_jobs_in_flight_do_not_make_the_pause_grow(self) -> None:
        # A host hangs and its eight jobs fail together. If each counted as a failed probe, the
        # first pause would be a minute, long after the host has recovered.
        self.configure(slots=8, hosts=3, budget=1)
        held = [self.granted() for _ in range(24)]
        for granted in held:
            bad = granted.host == "h1"
            self.scheduler.on_done(done(granted, Verdict.UNREACHABLE if bad else Verdict.OK))
        self.assertEqual(1, self.scheduler.load().ejected)
        self.clock.now += 1.0
        self.assertIn("h1", [granted.host for granted in self._burst()])

    def test_hosts_away_elsewhere_use_up_the_budget(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        self.scheduler.on_pool_load(PoolLoad(POOL, ZoneId("z2"), 0, 0.0, 1))
        self.assertEqual(0, self.scheduler.load().ejected)

    def test_a_host_that_may_no_longer_be_ejected_is_logged(self) -> None:
        """Guards against a failing host that gets jobs again, as the plans allow fewer hosts to be
        away, without a line that tells why."""
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        with patch.object(_health, "log") as log:
            self.scheduler.on_pool_load(PoolLoad(POOL, ZoneId("z2"), 0, 0.0, 1))
            self.scheduler.on_pool_load(PoolLoad(POOL, ZoneId("z2"), 0, 0.0, 1))
        log.assert_called_once_with(Event.HOST_EJECTED, pool=POOL, host="h1", health="last")

    def test_jobs_that_fail_everywhere_eject_no_host(self) -> None:
        # One plan's jobs fail on every host. If they counted against the hosts, the whole pool
        # would be ejected, although other plans' jobs succeed.
        self.configure(slots=8, hosts=3, budget=3)
        for _ in range(100):
            self.scheduler.on_done(done(self.granted("broken"), Verdict.ERROR, plan="broken"))
        self.assertEqual(0, self.scheduler.load().ejected)

    def test_a_leaving_host_gets_no_more_work(self) -> None:
        # An endpoint reports that it is leaving. Jobs sent to it later would be interrupted.
        self.configure(slots=8, hosts=2)
        while (granted := self.granted()).host != "h1":
            pass
        self.scheduler.on_done(done(granted, Verdict.LEAVING))
        self.clock.now += 300.0
        asked = [grants(self.ask()) for _ in range(16)]
        self.assertEqual({"h2"}, {granted.host for out in asked for granted in out})

    def test_a_host_that_left_and_came_back_is_new(self) -> None:
        self.configure(slots=8, hosts=1)
        self.scheduler.on_done(done(self.granted(), Verdict.LEAVING))
        self.scheduler.configure(PoolConfig({}, {}))
        self.configure(slots=8, hosts=1)
        self.assertEqual("h1", self.granted().host)
