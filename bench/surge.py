"""Goodput, urgent start times and refusals in surges: grants against other ways.

Drives the scheduler's decision code with a fake clock; endpoints and the network are events.
``python -m bench.surge``
"""

import json
import random
import time
from collections.abc import Callable

from bench.surge_baselines import GATEWAYS, HOP_S, PLAN_QUEUE, Blind, Home
from bench.surge_load import (
    HOSTS,
    PLANS,
    POOLS,
    SLOTS,
    Endpoint,
    Events,
    Job,
    Load,
    Outcome,
)
from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, RequestId, ZoneId
from lentilrill.inner import Ask, Done, Granted, Refused, Verdict
from lentilrill.routing._queue import Caller
from lentilrill.routing._scheduler import PoolScheduler, Reply
from lentilrill.routing._terms import PlanTerms, PoolTerms

ZONE_HOP_S = 0.0015
TICK_S = 0.05
LOAD_S = 0.2
DRAIN_S = 120.0
SEEDS_BY_SURGE_S = {10.0: (1, 2), 25.0: (1,)}


class Granting:
    """Our way: a scheduler a pool and zone, which grants slots to the gateways.

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
        self._callers = {
            zone: [
                Caller(ProcessId(f"{zone}-{n}"), Incarnation(1), f"{zone}-{n}")
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
        """Invariants found broken."""
        return sum(scheduler.violations for scheduler in self._schedulers.values())

    def arrive(self, job: Job) -> None:
        """A caller's job reaches a gateway of a random zone."""
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
            PlanId(kind.plan): PlanTerms(queue=PLAN_QUEUE, urgency=kind.urgency) for kind in PLANS
        }
        scheduler.configure(PoolTerms(dict.fromkeys(hosts, SLOTS), plans, budget=1))
        return scheduler

    def _ask(self, job: Job, zone: ZoneId, spillable: bool, hop_s: float) -> None:
        caller = self._callers[zone][job.gateway]
        left_s = job.arrived + job.kind.wait_s - self._events.now
        kind = job.kind
        ask = Ask(
            RequestId(str(job.id)),
            PoolId(job.pool),
            PlanId(kind.plan),
            kind.urgency,
            left_s,
            caller.address,
            spillable=spillable,
        )
        self._decide(job.pool, zone, hop_s, lambda s: s.ask(ask, caller))

    def _decide(
        self, pool: str, zone: ZoneId, hop_s: float, call: Callable[[PoolScheduler], list[Reply]]
    ) -> None:
        def decide() -> None:
            start = time.process_time_ns()
            replies = call(self._schedulers[pool, zone])
            self.cpu_s += (time.process_time_ns() - start) / 1e9
            for reply in replies:
                self._events.after(HOP_S, lambda reply=reply: self._answered(zone, reply))

        self._events.after(hop_s, decide)

    def _answered(self, zone: ZoneId, reply: Reply) -> None:
        message = reply.message
        if isinstance(message, Refused):
            job = self._jobs[message.request]
            if message.spill is None:
                job.refused = True
            else:
                self.spilled += 1
                self._ask(job, message.spill, spillable=False, hop_s=ZONE_HOP_S)
        elif isinstance(message, Granted):
            self.grants += 1
            job = self._jobs[message.request]
            endpoint = self._endpoints[message.host]
            self._events.after(
                HOP_S, lambda: endpoint.run(job, lambda: self._ended(zone, job, message))
            )

    def _ended(self, zone: ZoneId, job: Job, granted: Granted) -> None:
        done = Done(
            granted.pool,
            granted.grant,
            granted.host,
            PlanId(job.kind.plan),
            Verdict.OK,
            self._events.now - job.started,
        )
        self._decide(job.pool, zone, 2 * HOP_S, lambda s: s.done(done))

    def _tick(self) -> None:
        for (pool, zone), _ in self._schedulers.items():
            alive = set(self._callers[zone])
            self._decide(pool, zone, 0.0, lambda s, a=alive: s.tick(a, lambda caller: False))
        self._events.after(TICK_S, self._tick)

    def _loads(self) -> None:
        for (pool, zone), scheduler in self._schedulers.items():
            load = scheduler.load()
            for other in self._zones:
                if other != zone:
                    peer = self._schedulers[pool, other]
                    self._events.after(ZONE_HOP_S, lambda p=peer, m=load: p.hear(m))
        self._events.after(LOAD_S, self._loads)


System = Granting | Blind | Home


SYSTEMS: dict[str, Callable[[Events, int], System]] = {
    "grants, 1 zone": lambda events, seed: Granting(events, 1, seed),
    "grants, 4 zones": lambda events, seed: Granting(events, 4, seed),
    "home gateway of each host": lambda events, seed: Home(events, seed),
    "blind, 1 a gateway": lambda events, seed: Blind(events, 1, seed),
    "blind, 2 a gateway": lambda events, seed: Blind(events, 2, seed),
    "blind, 8 a gateway": lambda events, seed: Blind(events, SLOTS, seed),
}


def run(system: Callable[[Events, int], System], load: Load) -> tuple[Outcome, System]:
    """Run one system through all surges; return the jobs and the system."""
    events = Events()
    driven = system(events, load.seed)
    jobs = list(load.arrivals(HOSTS * SLOTS, GATEWAYS))
    for job in jobs:
        events.at(job.arrived, lambda job=job: driven.arrive(job))
    events.run(load.end + DRAIN_S)
    return Outcome(jobs, load, HOSTS * SLOTS), driven


def show(name: str, load: Load, figure: str, value: float, unit: str) -> None:
    """Print one figure as a line of JSON."""
    line = {"bench": "surge", "system": name, "seed": load.seed, "surge_s": load.surge_s}
    print(json.dumps(line | {"figure": figure, "value": round(value, 4), "unit": unit}))


def show_all(name: str, load: Load) -> None:
    """Run one system and print its figures."""
    outcome, driven = run(SYSTEMS[name], load)
    report = outcome.report()
    show(name, load, "goodput", report.goodput, "share of slot seconds in surges")
    show(name, load, "urgent start p99", report.urgent_start_p99_s, "s")
    for rank, share in report.refused_by_urgency.items():
        late = report.late_by_urgency[rank]
        show(name, load, f"refused, urgency {rank}", share, "share of surge's jobs")
        show(name, load, f"accepted but late, urgency {rank}", late, "share of surge's jobs")
    show(name, load, "slot seconds app/orders", report.fairness, "ratio")
    if isinstance(driven, Granting):
        show(name, load, "scheduler processor", driven.cpu_s / driven.grants * 1e6, "us a grant")
        show(name, load, "spilled", driven.spilled / len(outcome.jobs), "share of jobs")
        show(name, load, "invariants broken", driven.violations, "count")


def main() -> None:
    """Run every system over the same arrivals."""
    for surge_s, seeds in SEEDS_BY_SURGE_S.items():
        for seed in seeds:
            for name in SYSTEMS:
                show_all(name, Load(seed, surge_s))


if __name__ == "__main__":
    main()
