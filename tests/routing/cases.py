"""Base class for tests of one pool's scheduler, with a fake clock and two gateways."""

import random

from testtools import TestCase

from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, ZoneId
from lentilrill.inner import Ask, Granted
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import PoolScheduler, Reply
from tests.routing.site import Clock, an_ask, done, grants

__all__ = ["GW", "GW2", "POOL", "ZONE", "SchedulerCase"]

POOL, ZONE = PoolId("schools"), ZoneId("z1")
GW = GatewayInstance(ProcessId("gw-1"), Incarnation(1), "gw-1")
GW2 = GatewayInstance(ProcessId("gw-2"), Incarnation(1), "gw-2")


class SchedulerCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.scheduler = self.a_scheduler()
        self.configure()

    def a_scheduler(self, *awaited_gateways: str, epoch: int = 1) -> PoolScheduler:
        return PoolScheduler(POOL, ZONE, epoch, set(awaited_gateways), self.clock, random.Random(1))

    def configure(
        self, slots: int = 1, hosts: int = 1, budget: int = 0, **plans: PlanLimits
    ) -> list[Reply]:
        slots_by_host = {HostId(f"h{n}"): slots for n in range(1, hosts + 1)}
        config = PoolConfig(
            slots_by_host, {PlanId(p): t for p, t in plans.items()}, max_unavailable=budget
        )
        return self.scheduler.configure(config)

    def ask(
        self, plan: str = "schools", gateway: GatewayInstance = GW, **changes: object
    ) -> list[Reply]:
        return self.scheduler.ask(an_ask(plan, gateway, **changes), gateway)

    def granted(
        self, plan: str = "schools", gateway: GatewayInstance = GW, **changes: object
    ) -> Granted:
        return grants(self.ask(plan, gateway, **changes))[0]

    def measure(self, run_s: float, plan: str = "schools") -> None:
        """Run jobs of the plan with that run time, so that the scheduler measures it."""
        for _ in range(20):
            self.scheduler.on_done(done(self.granted(plan), run_s=run_s))

    def tick(self, *alive: GatewayInstance, gone: tuple[GatewayInstance, ...] = ()) -> list[Reply]:
        return self.scheduler.tick(set(alive or (GW, GW2)), lambda gateway: gateway in gone)

    def order(self, running: Granted, asks: dict[str, Ask], run_s: float = 0.1) -> list[str]:
        """Return the names of waiting asks in the order in which they are granted."""
        names = {ask.request: name for name, ask in asks.items()}
        found: list[str] = []
        while len(found) < len(asks):
            running = grants(self.scheduler.on_done(done(running, run_s=run_s)))[0]
            found.append(names[running.request])
        return found

    def tearDown(self) -> None:
        self.tick()
        self.assertEqual(0, self.scheduler.violations)
        super().tearDown()
