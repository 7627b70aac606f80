"""Grants from pool schedulers, for the surge benchmark."""

import random
import time
from collections.abc import Callable

from bench.surge_baselines import GATEWAYS, HOP_S, PLAN_QUEUE
from bench.surge_load import HOSTS, PLANS, POOLS, SLOTS, Endpoint, Events, Job
from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, RequestId, ZoneId
from lentilrill.inner import Ask, Done, Granted, Refused, Verdict
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import PoolScheduler, Reply

__all__ = ["GrantSystem", "RetryingGrantSystem"]

ZONE_HOP_S = 0.0015
TICK_S = 0.05
LOAD_S = 0.2
MAX_ATTEMPTS = 4


class GrantSystem:
    """The algorithm of the program: a scheduler for each pool and zone grants slots to gateways.

    :param zones: zones over which each pool's hosts are spread evenly.
    """

    def __init__(self, events: Events, zones: int, seed: int) -> None:
        self._events = events
        self._rng = random.Random(seed)
        self._zones = [ZoneId(f"z{n}") for n in range(zones)]
        self.cpu_s = 0.0
        self.grants = 0
        self.spilled = 0
        self._jobs: dict[RequestId, Job] = {}
        self._endpoints: dict[HostId, Endpoint] = {}
        self._gateways = {
            zone: [
                GatewayInstance(ProcessId(f"{zone}-{n}"), Incarnation(1), f"{zone}-{n}")
                for n in range(GATEWAYS)
            ]
            for zone in self._zones
        }
        self._schedulers = {
            (pool, zone): self._scheduler(pool, zone) for pool in POOLS for zone in self._zones
        }
        events.after(TICK_S, self._tick)
        events.after(LOAD_S, self._loads)

    @property
    def violations(self) -> int:
        """Number of broken invariants."""
        return sum(scheduler.violations for scheduler in self._schedulers.values())

    def arrive(self, job: Job) -> None:
        """Handle the arrival of a job at a gateway of a random zone."""
        zone = self._rng.choice(self._zones)
        self._jobs[RequestId(str(job.id))] = job
        self._ask(job, zone, spillable=len(self._zones) > 1, hop_s=HOP_S)

    def _scheduler(self, pool: str, zone: ZoneId) -> PoolScheduler:
        scheduler = PoolScheduler(
            PoolId(pool), zone, 1, set(), self._events, random.Random(self._rng.random())
        )
        hosts = [HostId(f"{pool}-{zone}-{n}") for n in range(HOSTS // len(self._zones))]
        self._endpoints |= {host: Endpoint(self._events) for host in hosts}
        plans = {
            PlanId(kind.plan): PlanLimits(queue=PLAN_QUEUE, urgency=kind.urgency) for kind in PLANS
        }
        scheduler.configure(PoolConfig(dict.fromkeys(hosts, SLOTS), plans, max_unavailable=1))
        return scheduler

    def _ask(self, job: Job, zone: ZoneId, spillable: bool, hop_s: float) -> None:
        gateway = self._gateways[zone][job.gateway]
        left_s = job.arrived + job.kind.wait_s - self._events.now
        kind = job.kind
        ask = Ask(
            RequestId(str(job.id)),
            PoolId(job.pool),
            PlanId(kind.plan),
            kind.urgency,
            left_s,
            gateway.address,
            spillable=spillable,
        )
        self._decide(job.pool, zone, hop_s, lambda s: s.ask(ask, gateway))

    def _decide(
        self, pool: str, zone: ZoneId, hop_s: float, call: Callable[[PoolScheduler], list[Reply]]
    ) -> None:
        def decide() -> None:
            start = time.process_time_ns()
            replies = call(self._schedulers[pool, zone])
            self.cpu_s += (time.process_time_ns() - start) / 1e9
            for reply in replies:
                self._events.after(HOP_S, lambda reply=reply: self._on_reply(zone, reply))

        self._events.after(hop_s, decide)

    def _on_reply(self, zone: ZoneId, reply: Reply) -> None:
        message = reply.message
        if isinstance(message, Refused):
            job = self._jobs[message.request]
            if message.spill is None:
                self._on_refused(job, message)
            else:
                self.spilled += 1
                self._ask(job, message.spill, spillable=False, hop_s=ZONE_HOP_S)
        elif isinstance(message, Granted):
            self.grants += 1
            job = self._jobs[message.request]
            endpoint = self._endpoints[message.host]
            self._events.after(
                HOP_S, lambda: endpoint.run(job, lambda: self._on_end(zone, job, message))
            )

    def _on_refused(self, job: Job, message: Refused) -> None:
        job.refused = True

    def _on_end(self, zone: ZoneId, job: Job, granted: Granted) -> None:
        done = Done(
            granted.pool,
            granted.grant,
            granted.host,
            PlanId(job.kind.plan),
            Verdict.OK,
            self._events.now - job.started,
        )
        self._decide(job.pool, zone, 2 * HOP_S, lambda s: s.on_done(done))

    def _tick(self) -> None:
        for (pool, zone), _ in self._schedulers.items():
            alive = set(self._gateways[zone])
            self._decide(pool, zone, 0.0, lambda s, a=alive: s.tick(a, lambda gateway: False))
        self._events.after(TICK_S, self._tick)

    def _loads(self) -> None:
        for (pool, zone), scheduler in self._schedulers.items():
            load = scheduler.load()
            for other in self._zones:
                if other != zone:
                    peer = self._schedulers[pool, other]
                    self._events.after(ZONE_HOP_S, lambda p=peer, m=load: p.on_pool_load(m))
        self._events.after(LOAD_S, self._loads)


class RetryingGrantSystem(GrantSystem):
    """Grants to callers that retry up to three times when they are refused.

    :param retry_delay_s: seconds before a retry; ``None`` for the delay given in the refusal.
    """

    def __init__(self, events: Events, retry_delay_s: float | None, seed: int) -> None:
        super().__init__(events, 1, seed)
        self._retry_delay_s = retry_delay_s

    def _on_refused(self, job: Job, message: Refused) -> None:
        if job.attempts == MAX_ATTEMPTS:
            job.refused = True
            return
        advised_s = message.retry_after_s or 0.0
        self._events.after(
            advised_s if self._retry_delay_s is None else self._retry_delay_s,
            lambda: self._retry(job),
        )

    def _retry(self, job: Job) -> None:
        job.attempts += 1
        job.arrived = self._events.now
        self.arrive(job)
