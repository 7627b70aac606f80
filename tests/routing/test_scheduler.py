"""Decisions of one pool's scheduler, with a clock that moves when told."""

import random

from testtools import TestCase

from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, ZoneId
from lentilrill.inner import Ask, Granted, Held, HeldGrants, PoolLoad, Refusal, Verdict
from lentilrill.routing import _scheduler
from lentilrill.routing._grants import SILENT_GATEWAY_S
from lentilrill.routing._queue import Caller
from lentilrill.routing._scheduler import REBUILD_S, PoolScheduler, Reply
from lentilrill.routing._terms import PlanTerms, PoolTerms
from tests.routing.site import Clock, an_ask, done, grants, refusals

POOL, ZONE = PoolId("schools"), ZoneId("z1")
GW = Caller(ProcessId("gw-1"), Incarnation(1), "gw-1")
GW2 = Caller(ProcessId("gw-2"), Incarnation(1), "gw-2")


class SchedulerCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.scheduler = self.a_scheduler()
        self.configure()

    def a_scheduler(self, *awaited: str, epoch: int = 1) -> PoolScheduler:
        return PoolScheduler(POOL, ZONE, epoch, set(awaited), self.clock, random.Random(1))

    def configure(
        self, slots: int = 1, hosts: int = 1, budget: int = 0, **plans: PlanTerms
    ) -> list[Reply]:
        slots_by_host = {HostId(f"h{n}"): slots for n in range(1, hosts + 1)}
        terms = PoolTerms(slots_by_host, {PlanId(p): t for p, t in plans.items()}, budget=budget)
        return self.scheduler.configure(terms)

    def ask(self, plan: str = "schools", caller: Caller = GW, **changes: object) -> list[Reply]:
        return self.scheduler.ask(an_ask(plan, caller, **changes), caller)

    def granted(self, plan: str = "schools", caller: Caller = GW, **changes: object) -> Granted:
        return grants(self.ask(plan, caller, **changes))[0]

    def teach(self, run_s: float, plan: str = "schools") -> None:
        """Let the scheduler see jobs of the plan that ran so long."""
        for _ in range(20):
            self.scheduler.done(done(self.granted(plan), run_s=run_s))

    def tick(self, *alive: Caller, gone: tuple[Caller, ...] = ()) -> list[Reply]:
        return self.scheduler.tick(set(alive or (GW, GW2)), lambda caller: caller in gone)

    def order(self, running: Granted, asks: dict[str, Ask], run_s: float = 0.1) -> list[str]:
        """Return the names of waiting asks in the order in which they are granted."""
        names = {ask.request: name for name, ask in asks.items()}
        found: list[str] = []
        while len(found) < len(asks):
            running = grants(self.scheduler.done(done(running, run_s=run_s)))[0]
            found.append(names[running.request])
        return found

    def tearDown(self) -> None:
        self.tick()
        self.assertEqual(0, self.scheduler.violations)
        super().tearDown()


class OrderTest(SchedulerCase):
    def test_urgent_work_does_not_wait_behind_ledgers(self) -> None:
        # Routes are asked for while a refill reconciliation has filled the queue. In order of
        # arrival, drivers would leave with yesterday's lists.
        running = self.granted()
        asks = {f"ledger{n}": an_ask("ledgers", GW, urgency=2) for n in range(3)}
        asks["late route"] = an_ask("routes", GW, urgency=0, wait_s=9.0)
        asks["early route"] = an_ask("routes", GW, urgency=0, wait_s=8.0)
        for ask in asks.values():
            self.scheduler.ask(ask, GW)
        self.assertEqual(
            ["early route", "late route", "ledger0", "ledger1", "ledger2"],
            self.order(running, asks),
        )

    def test_plans_share_by_weight(self) -> None:
        # One plan sends forty jobs before another sends ten. In order of arrival the second
        # would wait for all forty; it is owed twice the hosts, so it gets two slots of three.
        self.configure(app=PlanTerms(weight=2.0), orders=PlanTerms(weight=1.0))
        running = self.granted("orders")
        asks = {f"orders{n}": an_ask("orders", GW) for n in range(40)}
        asks |= {f"app{n}": an_ask("app", GW) for n in range(10)}
        for ask in asks.values():
            self.scheduler.ask(ask, GW)
        first = self.order(running, asks)[:15]
        self.assertIn(sum(name.startswith("app") for name in first), (9, 10, 11))

    def test_long_jobs_are_charged_for_what_they_ran(self) -> None:
        # A plan's jobs run ten times as long as another's. Counted by jobs, it would get ten
        # times the other's slot seconds.
        terms = PlanTerms()
        self.configure(liar=terms, honest=terms)
        self.teach(0.1, "honest")
        for plan in ("liar", "honest"):
            for _ in range(100):
                self.ask(plan, wait_s=600.0)
        seconds = {"liar": 0.0, "honest": 0.0}
        running = self._running()
        while sum(seconds.values()) < 16.0:
            plan = self._plan_of(running)
            run_s = 1.0 if plan == "liar" else 0.1
            seconds[plan] += run_s
            running = grants(self.scheduler.done(done(running, run_s=run_s)))[0]
        self.assertLess(abs(seconds["liar"] - seconds["honest"]), 3.0)

    def _running(self) -> Granted:
        (grant,) = list(self.scheduler._grants)
        return Granted(grant.key.request, POOL, grant.id, grant.host, 1, 2.0)  # type: ignore[union-attr]

    def _plan_of(self, granted: Granted) -> str:
        return next(g.plan for g in self.scheduler._grants if g.id == granted.grant)

    def test_an_idle_plan_saves_up_no_claim(self) -> None:
        # One plan worked all night, the other was idle. Were its idle hours a claim, it would
        # have every slot for hours in the morning, and the first none.
        self.configure(busy=PlanTerms(), idle=PlanTerms())
        self.teach(10.0, "busy")
        running = self.granted("busy")
        asks = {f"busy{n}": an_ask("busy", GW, wait_s=600.0) for n in range(10)}
        asks |= {f"idle{n}": an_ask("idle", GW, wait_s=600.0) for n in range(10)}
        for ask in asks.values():
            self.scheduler.ask(ask, GW)
        first = self.order(running, asks, run_s=10.0)[:10]
        self.assertIn(sum(name.startswith("busy") for name in first), (4, 5, 6))


class LimitsTest(SchedulerCase):
    def test_the_queue_of_a_plan_is_bounded(self) -> None:
        self.configure(schools=PlanTerms(queue=2))
        self.granted()
        self.assertEqual([[], []], [self.ask(), self.ask()])
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.PLAN_LIMIT, refused.refusal)
        self.assertGreater(refused.retry_after_s or 0.0, 0.0)

    def test_the_rate_of_a_plan_is_bounded(self) -> None:
        self.configure(slots=8, schools=PlanTerms(rate_per_s=2.0))
        self.assertEqual(2, len([self.granted(), self.granted()]))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.PLAN_LIMIT, refused.refusal)
        self.clock.now += 0.6
        self.granted()

    def test_the_concurrency_of_a_plan_is_bounded(self) -> None:
        # A plan may run one job at once. Its second one waits, though slots are free, and must
        # not hold up the jobs of others behind it.
        self.configure(slots=8, schools=PlanTerms(concurrency=1))
        first = self.granted()
        self.assertEqual([], self.ask(urgency=0))
        self.granted("library", urgency=2)
        self.assertEqual(1, len(grants(self.scheduler.done(done(first)))))

    def test_what_cannot_start_in_time_is_refused_at_once(self) -> None:
        # The queue holds five seconds of work, which a caller can't wait. Queued all the same,
        # it would hear after five seconds that it was for nothing.
        self.teach(1.0)
        self.granted()
        out = [self.ask(wait_s=5.0) for _ in range(10)]
        self.assertEqual([0, 0, 0, 0, 0, 1, 1, 1, 1, 1], [len(replies) for replies in out])
        (refused,) = refusals(out[-1])
        self.assertEqual(Refusal.TOO_LATE, refused.refusal)
        self.assertEqual([], self.ask(urgency=0, wait_s=5.0))

    def test_who_is_refused_is_told_to_come_back_when_the_queue_is_shorter(self) -> None:
        # A surge refuses hundreds. Told to come back when there would just be room, in tenths
        # of a second, they would be the surge's next wave, to be refused again.
        self.teach(1.0)
        self.granted()
        waiting = [self.ask(wait_s=20.0) for _ in range(25)]
        after_s = [r.retry_after_s or 0.0 for out in waiting for r in refusals(out)]
        self.assertEqual(5, len(after_s))
        self.assertTrue(all(10.0 <= s <= 16.0 for s in after_s), after_s)
        self.assertEqual(5, len(set(after_s)))

    def test_one_endless_job_does_not_make_everything_late(self) -> None:
        # One job of a plan hangs for ten minutes. Were the estimate to follow it, every ask
        # would be refused as too late, although the next jobs are as short as ever.
        self.teach(0.1)
        self.scheduler.done(done(self.granted(), run_s=600.0))
        self.granted()
        for _ in range(5):
            self.assertEqual([], self.ask(wait_s=2.0))

    def test_a_new_plan_is_taken_for_an_average_one(self) -> None:
        self.teach(0.1, "other")
        self.granted()
        for _ in range(10):
            self.assertEqual([], self.ask("new", wait_s=2.0))

    def test_a_full_queue_sheds_the_lowest_class_first(self) -> None:
        # Ledgers fill the queue, then a route comes. It takes the place of the newest ledger,
        # whose caller must hear so at once and not at the end of its wait.
        self.patch(_scheduler, "MOST_QUEUE", 256)
        self.configure(ledgers=PlanTerms(queue=10_000))
        self.teach(0.001, "ledgers")
        self.granted("ledgers")
        newest = an_ask("ledgers", GW, urgency=2)
        while not refusals(self.ask("ledgers", urgency=2)):
            pass
        held = self.scheduler.waiting
        self.scheduler.cancel(next(reversed(list(self.scheduler._queue))).key.request, GW)
        self.scheduler.ask(newest, GW)
        (refused,) = refusals(self.ask("routes", urgency=0))
        self.assertEqual((newest.request, Refusal.QUEUE_FULL), (refused.request, refused.refusal))
        self.assertIsNotNone(refused.retry_after_s)
        self.assertEqual(held, self.scheduler.waiting)

    def test_a_late_ask_is_refused_at_its_deadline(self) -> None:
        self.granted()
        ask = an_ask(wait_s=5.0)
        self.scheduler.ask(ask, GW)
        self.clock.now += 5.0
        (refused,) = refusals(self.tick())
        self.assertEqual((ask.request, Refusal.TOO_LATE), (refused.request, refused.refusal))

    def test_no_grant_at_the_last_moment(self) -> None:
        # In an overload, the ask with the earliest deadline is always about to be late. Granted
        # a millisecond before, it would start late: its caller gave up, its slot time is lost.
        running = self.granted()
        self.ask(wait_s=5.0)
        ask = an_ask(wait_s=9.0)
        self.scheduler.ask(ask, GW)
        self.clock.now += 4.999
        (granted,) = grants(self.scheduler.done(done(running)))
        self.assertEqual(ask.request, granted.request)

    def test_thousands_of_cancellations(self) -> None:
        # A service restarts and all its callers hang up. Their places must be free at once,
        # and the next slot must go to a caller that is still there.
        self.configure(slots=128, schools=PlanTerms(queue=10_000))
        running = [self.granted() for _ in range(128)]
        asks = [an_ask("schools", GW, wait_s=600.0) for _ in range(5000)]
        for ask in asks:
            self.scheduler.ask(ask, GW)
        random.Random(1).shuffle(asks)
        for ask in asks[1:]:
            self.scheduler.cancel(ask.request, GW)
        self.assertEqual(1, self.scheduler.waiting)
        (granted,) = grants(self.scheduler.done(done(running[0])))
        self.assertEqual(asks[0].request, granted.request)


class ReserveTest(SchedulerCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure(slots=8, hosts=2, volumes=PlanTerms(urgency=2), ballots=PlanTerms(urgency=0))

    def volumes(self, count: int = 20) -> int:
        """Ask for that many volumes; return how many start."""
        return sum(len(grants(self.ask("volumes", urgency=2))) for _ in range(count))

    def test_long_volumes_leave_slots_for_a_ballot(self) -> None:
        # Textbook volumes of an hour are asked for in the night, when nothing else runs. In
        # every slot, they would hold up the morning's ballots for an hour: no order of the
        # queue helps behind running jobs, and those are never cut off. Nothing is known of
        # the plan's run times yet.
        self.assertEqual(14, self.volumes())
        self.assertEqual(2, len([self.granted("ballots", urgency=0) for _ in range(2)]))

    def test_short_jobs_use_every_slot(self) -> None:
        self.scheduler.done(done(self.granted("volumes", urgency=2), run_s=0.2))
        self.assertEqual(16, self.volumes())

    def test_a_plan_whose_jobs_grow_long_is_noticed_while_they_run(self) -> None:
        # A plan's jobs were short so far. Now they run for an hour; waiting for the first to
        # end, the scheduler would go on filling the reserved slots for that hour.
        self.scheduler.done(done(self.granted("volumes", urgency=2), run_s=0.2))
        self.volumes(14)
        self.clock.now += 5.0
        self.tick()
        self.assertEqual(0, self.volumes())

    def test_one_slot_is_not_reserved(self) -> None:
        self.scheduler = self.a_scheduler()
        self.configure(volumes=PlanTerms(urgency=2), ballots=PlanTerms(urgency=0))
        self.assertEqual(1, self.volumes())


class GrantsTest(SchedulerCase):
    def test_a_repeated_ask_keeps_one_place(self) -> None:
        # A gateway that heard nothing asks again. Counted twice, the job would hold two slots.
        ask = an_ask()
        first, second = grants(self.scheduler.ask(ask, GW)), grants(self.scheduler.ask(ask, GW))
        self.assertEqual(first, second)
        waiting = an_ask()
        for _ in range(2):
            self.scheduler.ask(waiting, GW)
        self.assertEqual((1, 1), (self.scheduler.running, self.scheduler.waiting))

    def test_a_grant_is_released_once(self) -> None:
        # The report that a job ended comes twice. Released twice, the host would get a job
        # more than it has slots.
        first = self.granted()
        self.scheduler.done(done(first))
        second = self.granted()
        self.assertEqual([], self.scheduler.done(done(first)))
        self.assertEqual([], self.ask())
        self.assertEqual(second.host, "h1")

    def test_a_lost_report_is_made_up_for(self) -> None:
        # The message that a job ended is lost. Its slot would stay taken for good. The
        # gateway's reports leave the grant out; one alone may have crossed it on the way.
        self.granted()
        report = HeldGrants(POOL, ())
        self.clock.now += 10.0
        self.scheduler.held(report, GW)
        self.assertEqual(1, self.scheduler.running)
        self.scheduler.held(report, GW)
        self.assertEqual(0, self.scheduler.running)

    def test_a_contradiction_in_the_accounts_is_reported(self) -> None:
        # A slot is freed without its grant. Unnoticed, the host would run a job too many at a
        # time, for good; the next look at the accounts must say so.
        self.granted()
        self.scheduler.hosts.release(HostId("h1"))
        self.clock.now += 1.0
        self.tick()
        self.assertEqual(1, self.scheduler.violations)
        self.scheduler.violations = 0
        self.scheduler.hosts.take(HostId("h1"))

    def test_a_report_that_crosses_an_end_brings_nothing_back(self) -> None:
        # A gateway lists a grant in its report, the job ends, and the end is heard first. Taken
        # for a grant unknown so far, it would hold its slot for seconds.
        first = self.granted()
        self.scheduler.done(done(first))
        held = Held(first.grant, first.host, PlanId("schools"))
        self.scheduler.held(HeldGrants(POOL, (held,)), GW)
        self.assertEqual(0, self.scheduler.running)

    def test_a_grant_on_its_way_is_not_taken_for_lost(self) -> None:
        # A gateway reports what it holds while a grant is on its way to it. Freed for being
        # left out, the slot would be given twice.
        self.granted()
        for _ in range(5):
            self.scheduler.held(HeldGrants(POOL, ()), GW)
        self.scheduler.held(HeldGrants(POOL, ()), GW2)
        self.assertEqual(1, self.scheduler.running)

    def test_a_silent_gateway_keeps_its_slots(self) -> None:
        # A gateway is paused, its job runs on. Freed on silence, the slot would be given twice.
        # Proof that the gateway ended frees it; so does, in the end, a very long silence.
        self.granted()
        self.clock.now += 60.0
        self.tick(GW2)
        self.assertEqual(1, self.scheduler.running)
        self.clock.now += 1.0
        self.tick(GW2, gone=(GW,))
        self.assertEqual(0, self.scheduler.running)
        self.granted()
        self.clock.now += 1.0
        self.tick(GW2)
        self.clock.now += SILENT_GATEWAY_S + 1.0
        self.tick(GW2)
        self.assertEqual(0, self.scheduler.running)

    def test_a_job_of_an_ended_gateway_occupies_its_host_for_its_time(self) -> None:
        # The gateway is gone, its job may run on. Its slot is free at once, since an endpoint
        # queues one job more; but the host itself is not, until the job's time is over.
        self.granted(answer_s=60.0)
        self.clock.now += 10.0
        self.tick(GW2, gone=(GW,))
        self.scheduler.configure(PoolTerms({}, {}))
        self.assertEqual((0, True), (self.scheduler.running, self.scheduler.occupies(HostId("h1"))))
        self.clock.now += 50.0
        self.assertFalse(self.scheduler.occupies(HostId("h1")))

    def test_a_silent_gateway_is_granted_nothing(self) -> None:
        # A gateway falls silent with asks in the queue. Granted, their slots would stand idle.
        running = self.granted(caller=GW2)
        self.ask(caller=GW)
        self.ask(caller=GW2)
        self.tick(GW2)
        (granted,) = self.scheduler.done(done(running))
        self.assertEqual(GW2.address, granted.address)

    def test_a_new_scheduler_first_learns_what_is_held(self) -> None:
        # A scheduler is replaced while jobs run. The next one knows none of them, and would
        # give their slots away again. It waits for all gateways, or for a bounded time.
        self.scheduler = self.a_scheduler(GW.address, GW2.address, epoch=2)
        self.configure(slots=2)
        self.assertEqual([], self.ask())
        old = Held("old", HostId("h1"), PlanId("schools"))  # type: ignore[arg-type]
        self.assertEqual([], self.scheduler.held(HeldGrants(POOL, (old,)), GW))
        self.assertEqual(1, len(grants(self.scheduler.held(HeldGrants(POOL, ()), GW2))))
        self.assertEqual([], self.ask())
        self.scheduler = self.a_scheduler(GW.address)
        self.configure()
        self.ask()
        self.clock.now += REBUILD_S
        self.assertEqual(1, len(grants(self.tick())))

    def test_a_withdrawn_host_gets_nothing_and_keeps_its_account(self) -> None:
        first = self.granted()
        self.scheduler.configure(PoolTerms({HostId("h2"): 1}, {}))
        self.assertEqual("h2", self.granted().host)
        self.ask()
        self.assertEqual([], self.scheduler.done(done(first)))

    def test_a_failed_host_is_avoided_while_others_serve(self) -> None:
        self.configure(slots=1, hosts=2)
        self.assertEqual("h2", self.granted(avoid=(HostId("h1"),)).host)
        self.assertEqual([], self.ask(avoid=(HostId("h2"),))[1:])
        both = (HostId("h1"), HostId("h2"))
        self.scheduler = self.a_scheduler()
        self.configure(slots=1, hosts=2)
        self.granted(avoid=both)


class SpillTest(SchedulerCase):
    def load(self, free: int, zone: str = "z2") -> None:
        self.scheduler.hear(PoolLoad(POOL, ZoneId(zone), free, 0.0, 0))

    def test_spills_no_more_than_the_other_zone_has_free(self) -> None:
        # All zones of a surge see the one with free slots. Sent there without counting, the
        # jobs of two hundred milliseconds would bury it.
        self.teach(1.0)
        self.granted()
        self.ask()
        self.load(2)
        spills = [self.ask() for _ in range(4)]
        self.assertEqual(["z2", "z2"], [r.spill for out in spills for r in refusals(out)])

    def test_an_old_report_counts_for_nothing(self) -> None:
        self.teach(1.0)
        self.granted()
        self.load(5)
        self.clock.now += 10.0
        self.assertEqual([], self.ask())
        self.assertEqual([], self.ask())

    def test_a_plan_spills_only_to_its_zones(self) -> None:
        self.configure(schools=PlanTerms(zones=(ZONE, ZoneId("z3"))))
        self.teach(1.0)
        self.granted()
        self.load(9)
        self.load(1, "z3")
        self.assertEqual("z3", refusals(self.ask(wait_s=0.1))[0].spill)
        self.assertIsNone(refusals(self.ask(wait_s=0.1))[0].spill)

    def test_a_job_that_spilled_stays(self) -> None:
        self.teach(1.0)
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
            self.scheduler.done(done(granted, verdict if bad else Verdict.OK))
        return hosts

    def test_a_host_that_fails_everything_is_ejected(self) -> None:
        # A worker answers every job with an error in a millisecond. It always has free slots,
        # so it would draw and fail most of the pool's jobs.
        self.configure(slots=8, hosts=3, budget=1)
        self.assertLess(self.fail(100).count("h1"), 12)
        self.assertNotIn("h1", self.fail(50))
        self.assertEqual(1, self.scheduler.load().ejected)

    def test_an_unreachable_host_is_ejected_sooner(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.assertEqual(3, self.fail(60, Verdict.UNREACHABLE).count("h1"))

    def test_probes_come_one_at_a_time_after_growing_pauses(self) -> None:
        # An ejected host is tried again. All slots at once would fail eight jobs at each try.
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        pauses = []
        for _ in range(3):
            start = self.clock.now
            while not (probes := [g for g in self._burst() if g.host == "h1"]):
                self.clock.now += 0.5
            self.assertEqual(1, len(probes))
            pauses.append(self.clock.now - start)
            self.scheduler.done(done(probes[0], Verdict.ERROR))
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], pauses[-1])

    def _burst(self) -> list[Granted]:
        held = [self.granted() for _ in range(6)]
        for granted in held:
            if granted.host != "h1":
                self.scheduler.done(done(granted))
        return held

    def test_a_healed_host_is_restored(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        self.clock.now += 2.0
        for _ in range(20):
            self.scheduler.done(done(self.granted()))
        self.assertEqual(0, self.scheduler.load().ejected)
        self.assertEqual(8 * 3, self.scheduler.hosts.capacity)

    def test_ejection_takes_no_more_than_the_budgets_allow(self) -> None:
        # Two hosts of three fail, and the plans allow one host to be away. Ejecting both would
        # break the promise by the system's own doing. The second one is used last instead.
        self.configure(slots=8, hosts=3, budget=1)
        for _ in range(100):
            granted = self.granted()
            ok = granted.host == "h3"
            self.scheduler.done(done(granted, Verdict.OK if ok else Verdict.ERROR))
        self.assertEqual(1, self.scheduler.load().ejected)
        self.assertEqual(9, self.scheduler.hosts.capacity)
        self.clock.now += 1.0
        held = [self.granted() for _ in range(10)]
        hosts = [granted.host for granted in held]
        self.assertEqual((1, 1, 8), tuple(hosts.count(HostId(h)) for h in ("h1", "h2", "h3")))
        last = held[hosts.index(HostId("h2"))]
        self.scheduler.done(done(last, Verdict.ERROR))
        self.assertEqual([], self.ask())

    def test_jobs_in_flight_do_not_make_the_pause_grow(self) -> None:
        # A host hangs; its eight jobs break together. Each counted as a failed probe, the
        # first pause would be a minute, long after the host is well again.
        self.configure(slots=8, hosts=3, budget=1)
        held = [self.granted() for _ in range(24)]
        for granted in held:
            bad = granted.host == "h1"
            self.scheduler.done(done(granted, Verdict.UNREACHABLE if bad else Verdict.OK))
        self.assertEqual(1, self.scheduler.load().ejected)
        self.clock.now += 1.0
        self.assertIn("h1", [granted.host for granted in self._burst()])

    def test_hosts_away_elsewhere_use_up_the_budget(self) -> None:
        self.configure(slots=8, hosts=3, budget=1)
        self.fail(100)
        self.scheduler.hear(PoolLoad(POOL, ZoneId("z2"), 0, 0.0, 1))
        self.assertEqual(0, self.scheduler.load().ejected)

    def test_jobs_that_fail_everywhere_eject_no_host(self) -> None:
        # One plan's jobs can never run, on any host. Held against the hosts, they would eject
        # the pool under the plans that are well.
        self.configure(slots=8, hosts=3, budget=3)
        for _ in range(100):
            self.scheduler.done(done(self.granted("broken"), Verdict.ERROR, plan="broken"))
        self.assertEqual(0, self.scheduler.load().ejected)

    def test_a_leaving_host_gets_no_more_work(self) -> None:
        # An endpoint says that it is leaving. Jobs sent to it later would be cut off.
        self.configure(slots=8, hosts=2)
        while (granted := self.granted()).host != "h1":
            pass
        self.scheduler.done(done(granted, Verdict.LEAVING))
        self.clock.now += 300.0
        asked = [grants(self.ask()) for _ in range(16)]
        self.assertEqual({"h2"}, {granted.host for out in asked for granted in out})

    def test_a_host_that_left_and_came_back_is_new(self) -> None:
        self.configure(slots=8, hosts=1)
        self.scheduler.done(done(self.granted(), Verdict.LEAVING))
        self.scheduler.configure(PoolTerms({}, {}))
        self.configure(slots=8, hosts=1)
        self.assertEqual("h1", self.granted().host)


class StaleTest(SchedulerCase):
    def test_a_resigning_scheduler_sends_everybody_on(self) -> None:
        # Another process takes over the pool. Asks left in the old queue would wait for a
        # scheduler that gives no slots any more, up to their deadlines.
        self.granted()
        ask = an_ask()
        self.scheduler.ask(ask, GW)
        (refused,) = refusals(self.scheduler.resign())
        self.assertEqual(Refusal.NOT_SCHEDULER, refused.refusal)
        self.assertEqual(0, self.scheduler.waiting)

    def test_a_pool_whose_hosts_all_leave_refuses(self) -> None:
        # Both hosts say that they leave. Asks would wait for slots that nobody will free.
        for _ in range(2):
            self.configure(hosts=2)
            self.scheduler.done(done(self.granted(), Verdict.LEAVING))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.NO_HOSTS, refused.refusal)

    def test_no_host_is_a_final_answer(self) -> None:
        self.scheduler.configure(PoolTerms({}, {}))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.NO_HOSTS, refused.refusal)
        self.assertIsNotNone(refused.retry_after_s)
