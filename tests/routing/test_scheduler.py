"""Queue order and grants of one pool's scheduler."""

from lentilrill.ids import HostId, PlanId
from lentilrill.inner import Granted, Held, HeldGrants, Refusal, Verdict
from lentilrill.routing._grants import SILENT_GATEWAY_S
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.routing._scheduler import REBUILD_TIMEOUT_S
from tests.routing.cases import GW, GW2, POOL, SchedulerCase
from tests.routing.site import an_ask, done, grants, refusals


class OrderTest(SchedulerCase):
    def test_urgent_jobs_do_not_wait_behind_patient_ones(self) -> None:
        # Urgent jobs arrive while patient ones fill the queue. In order of arrival, they would wait
        # for all of those and miss their deadlines.
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
        # One plan sends forty jobs before another sends ten. In order of arrival the second would
        # wait for all forty. It has twice the weight, so it gets two slots of three.
        self.configure(app=PlanLimits(weight=2.0), orders=PlanLimits(weight=1.0))
        running = self.granted("orders")
        asks = {f"orders{n}": an_ask("orders", GW) for n in range(40)}
        asks |= {f"app{n}": an_ask("app", GW) for n in range(10)}
        for ask in asks.values():
            self.scheduler.ask(ask, GW)
        first = self.order(running, asks)[:15]
        self.assertIn(sum(name.startswith("app") for name in first), (9, 10, 11))

    def test_long_jobs_are_charged_for_what_they_ran(self) -> None:
        # A plan's jobs run ten times as long as another's. If shares counted jobs, it would get
        # ten times the other's slot seconds.
        limits = PlanLimits()
        self.configure(long=limits, short=limits)
        self.measure(0.1, "short")
        for plan in ("long", "short"):
            for _ in range(100):
                self.ask(plan, wait_s=600.0)
        seconds = {"long": 0.0, "short": 0.0}
        running = self._running()
        while sum(seconds.values()) < 16.0:
            plan = self._plan_of(running)
            run_s = 1.0 if plan == "long" else 0.1
            seconds[plan] += run_s
            running = grants(self.scheduler.on_done(done(running, run_s=run_s)))[0]
        self.assertLess(abs(seconds["long"] - seconds["short"]), 3.0)

    def _running(self) -> Granted:
        (grant,) = list(self.scheduler._grants)
        return Granted(grant.key.request, POOL, grant.id, grant.host, 1, 2.0)  # type: ignore[union-attr]

    def _plan_of(self, granted: Granted) -> str:
        return next(g.plan for g in self.scheduler._grants if g.id == granted.grant)

    def test_an_idle_plan_earns_no_credit(self) -> None:
        # One plan was busy for hours while the other was idle. If idle time earned credit, the idle
        # plan would then get every slot for hours, and the busy one none.
        self.configure(busy=PlanLimits(), idle=PlanLimits())
        self.measure(10.0, "busy")
        running = self.granted("busy")
        asks = {f"busy{n}": an_ask("busy", GW, wait_s=600.0) for n in range(10)}
        asks |= {f"idle{n}": an_ask("idle", GW, wait_s=600.0) for n in range(10)}
        for ask in asks.values():
            self.scheduler.ask(ask, GW)
        first = self.order(running, asks, run_s=10.0)[:10]
        self.assertIn(sum(name.startswith("busy") for name in first), (4, 5, 6))


class GrantsTest(SchedulerCase):
    def test_a_repeated_ask_keeps_one_place(self) -> None:
        # A gateway that got no answer repeats its ask. Counted twice, the job would hold two slots.
        ask = an_ask()
        first, second = grants(self.scheduler.ask(ask, GW)), grants(self.scheduler.ask(ask, GW))
        self.assertEqual(first, second)
        waiting = an_ask()
        for _ in range(2):
            self.scheduler.ask(waiting, GW)
        self.assertEqual((1, 1), (self.scheduler.running, self.scheduler.waiting))

    def test_a_grant_is_released_once(self) -> None:
        # The report that a job ended arrives twice. If the slot were released twice, the host would
        # get more jobs than it has slots.
        first = self.granted()
        self.scheduler.on_done(done(first))
        second = self.granted()
        self.assertEqual([], self.scheduler.on_done(done(first)))
        self.assertEqual([], self.ask())
        self.assertEqual(second.host, "h1")

    def test_a_lost_report_is_repaired(self) -> None:
        # The report that a job ended is lost, and its slot would stay occupied for good. Two of the
        # gateway's reports must omit the grant, since one may have been sent before it arrived.
        self.granted()
        report = HeldGrants(POOL, ())
        self.clock.now += 10.0
        self.scheduler.on_held_grants(report, GW)
        self.assertEqual(1, self.scheduler.running)
        self.scheduler.on_held_grants(report, GW)
        self.assertEqual(0, self.scheduler.running)

    def test_inconsistent_counts_are_reported(self) -> None:
        # A slot is freed without its grant, so the host could run one job too many for good. The
        # next consistency check must report it.
        self.granted()
        self.scheduler.hosts.remove_grant(HostId("h1"))
        self.clock.now += 1.0
        self.tick()
        self.assertEqual(1, self.scheduler.violations)
        self.scheduler.violations = 0
        self.scheduler.hosts.add_grant(HostId("h1"))

    def test_a_report_sent_before_an_end_restores_no_grant(self) -> None:
        # A gateway lists a grant in its report, the job ends, and the end arrives first. Entered as
        # a new grant, it would occupy its slot for seconds.
        first = self.granted()
        self.scheduler.on_done(done(first))
        held = Held(first.grant, first.host, PlanId("schools"))
        self.scheduler.on_held_grants(HeldGrants(POOL, (held,)), GW)
        self.assertEqual(0, self.scheduler.running)

    def test_a_grant_in_transit_is_not_freed(self) -> None:
        # A gateway sends a report while a grant is in transit to it. If the omitted grant were
        # freed, the slot would be granted twice.
        self.granted()
        for _ in range(5):
            self.scheduler.on_held_grants(HeldGrants(POOL, ()), GW)
        self.scheduler.on_held_grants(HeldGrants(POOL, ()), GW2)
        self.assertEqual(1, self.scheduler.running)

    def test_a_silent_gateway_keeps_its_slots(self) -> None:
        # A gateway is paused while its job runs on. If its silence freed the slot, the slot would
        # be granted twice. Proof that the gateway ended frees it, and so does a very long silence.
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
        # The gateway is gone, but its job may run on. Its slot is freed at once, since an endpoint
        # can queue one more job, but the host stays occupied until the job's time is over.
        self.granted(answer_s=60.0)
        self.clock.now += 10.0
        self.tick(GW2, gone=(GW,))
        self.scheduler.configure(PoolConfig({}, {}))
        self.assertEqual((0, True), (self.scheduler.running, self.scheduler.occupies(HostId("h1"))))
        self.clock.now += 50.0
        self.assertFalse(self.scheduler.occupies(HostId("h1")))

    def test_a_silent_gateway_is_granted_nothing(self) -> None:
        # A gateway becomes silent with asks in the queue. Slots granted to them would be unused.
        running = self.granted(gateway=GW2)
        self.ask(gateway=GW)
        self.ask(gateway=GW2)
        self.tick(GW2)
        (granted,) = self.scheduler.on_done(done(running))
        self.assertEqual(GW2.address, granted.address)

    def test_a_new_scheduler_waits_for_reports_of_held_grants(self) -> None:
        # A scheduler is replaced while jobs run. The next one has no record of their grants, and
        # would grant their slots again. So it first waits for all gateways' reports, or a timeout.
        self.scheduler = self.a_scheduler(GW.address, GW2.address, epoch=2)
        self.configure(slots=2)
        self.assertEqual([], self.ask())
        old = Held("old", HostId("h1"), PlanId("schools"))  # type: ignore[arg-type]
        self.assertEqual([], self.scheduler.on_held_grants(HeldGrants(POOL, (old,)), GW))
        self.assertEqual(1, len(grants(self.scheduler.on_held_grants(HeldGrants(POOL, ()), GW2))))
        self.assertEqual([], self.ask())
        self.scheduler = self.a_scheduler(GW.address)
        self.configure()
        self.ask()
        self.clock.now += REBUILD_TIMEOUT_S
        self.assertEqual(1, len(grants(self.tick())))

    def test_a_withdrawn_host_gets_no_jobs_and_keeps_its_grants(self) -> None:
        first = self.granted()
        self.scheduler.configure(PoolConfig({HostId("h2"): 1}, {}))
        self.assertEqual("h2", self.granted().host)
        self.ask()
        self.assertEqual([], self.scheduler.on_done(done(first)))

    def test_a_failed_host_is_avoided_while_others_serve(self) -> None:
        self.configure(slots=1, hosts=2)
        self.assertEqual("h2", self.granted(avoid=(HostId("h1"),)).host)
        self.assertEqual([], self.ask(avoid=(HostId("h2"),))[1:])
        both = (HostId("h1"), HostId("h2"))
        self.scheduler = self.a_scheduler()
        self.configure(slots=1, hosts=2)
        self.granted(avoid=both)


class StaleTest(SchedulerCase):
    def test_a_closing_scheduler_refuses_queued_asks(self) -> None:
        # Another process takes over the pool. Asks left in the old queue would wait until their
        # deadlines for a scheduler that makes no more grants.
        self.granted()
        ask = an_ask()
        self.scheduler.ask(ask, GW)
        (refused,) = refusals(self.scheduler.close())
        self.assertEqual(Refusal.NOT_SCHEDULER, refused.refusal)
        self.assertEqual(0, self.scheduler.waiting)

    def test_a_pool_whose_hosts_all_leave_refuses(self) -> None:
        # Both hosts report that they are leaving. Asks would wait for slots that never become free.
        for _ in range(2):
            self.configure(hosts=2)
            self.scheduler.on_done(done(self.granted(), Verdict.LEAVING))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.NO_HOSTS, refused.refusal)

    def test_no_host_is_a_final_answer(self) -> None:
        self.scheduler.configure(PoolConfig({}, {}))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.NO_HOSTS, refused.refusal)
        self.assertIsNotNone(refused.retry_after_s)
