"""How long a failing, unreachable or leaving host still receives jobs, and how many fail.

Drives the scheduler's decision code with a fake clock. ``python -m bench.ejection``
"""

import json
import random
from unittest import mock

from bench.surge_load import HOSTS, SLOTS, Events
from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, RequestId, ZoneId
from lentilrill.inner import Ask, Done, Granted, Verdict
from lentilrill.routing._health import HealthTable
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import PoolScheduler, Reply

POOL, PLAN = PoolId("schools"), PlanId("schools")
GW = GatewayInstance(ProcessId("gw"), Incarnation(1), "gw")
FAULTY_HOST = HostId("h0")
RUN_S = 0.2
LOAD_OF_CAPACITY = 0.7
FAULT_AT_S = 10.0
FAULT_S = 30.0
END_S = 90.0
TICK_S = 0.05
FAIL_S_BY_VERDICT = {
    Verdict.ERROR: 0.001,
    Verdict.UNREACHABLE: 0.001,
    Verdict.BROKEN: 2.0,
    Verdict.LEAVING: 0.001,
}


class Run:
    """A pool in which one host is faulty for a limited time."""

    def __init__(self, verdict: Verdict, budget: int) -> None:
        self.events = Events()
        self.failed: list[float] = []
        self.jobs = 0
        self._verdict = verdict
        self._rng = random.Random(1)
        self._scheduler = PoolScheduler(POOL, ZoneId("z1"), 1, set(), self.events, random.Random(1))
        slots = {HostId(f"h{n}"): SLOTS for n in range(HOSTS)}
        limits_by_plan = {PLAN: PlanLimits(queue=10_000)}
        self._scheduler.configure(PoolConfig(slots, limits_by_plan, max_unavailable=budget))

    def run(self) -> None:
        """Run to the end."""
        self._arrive()
        self._tick()
        self.events.run(END_S)

    @property
    def restored_after_s(self) -> float:
        """Seconds from the end of the fault until all slots of the host are available again."""
        return self._restored - FAULT_AT_S - FAULT_S

    _restored = END_S

    def _arrive(self) -> None:
        self.jobs += 1
        ask = Ask(RequestId(str(self.jobs)), POOL, PLAN, 1, 30.0, GW.address)
        self._handle_replies(self._scheduler.ask(ask, GW))
        rate = LOAD_OF_CAPACITY * HOSTS * SLOTS / RUN_S
        self.events.after(self._rng.expovariate(rate), self._arrive)

    def _handle_replies(self, replies: list[Reply]) -> None:
        for reply in replies:
            if isinstance(reply.message, Granted):
                self._run_job(reply.message)

    def _run_job(self, granted: Granted) -> None:
        now = self.events.now
        is_faulty = granted.host == FAULTY_HOST and FAULT_AT_S <= now < FAULT_AT_S + FAULT_S
        verdict = self._verdict if is_faulty else Verdict.OK
        run_s = FAIL_S_BY_VERDICT[verdict] if is_faulty else RUN_S * self._rng.uniform(0.5, 1.5)
        if is_faulty:
            self.failed.append(now)
        done = Done(POOL, granted.grant, granted.host, PLAN, verdict, run_s)
        self.events.after(run_s, lambda: self._handle_replies(self._scheduler.on_done(done)))

    def _tick(self) -> None:
        self._handle_replies(self._scheduler.tick({GW}, lambda gateway: False))
        healthy = self._scheduler.hosts.capacity == HOSTS * SLOTS
        if healthy and self.events.now > FAULT_AT_S + FAULT_S:
            self._restored = min(self._restored, self.events.now)
        self.events.after(TICK_S, self._tick)


def show(case: str, verdict: Verdict, figure: str, value: float, unit: str) -> None:
    """Print one figure as a line of JSON."""
    line = {"bench": "ejection", "fault": verdict.value, "case": case, "figure": figure}
    print(json.dumps(line | {"value": round(value, 4), "unit": unit}))


def show_run(case: str, verdict: Verdict, budget: int) -> None:
    """Print the figures of one run."""
    run = Run(verdict, budget)
    run.run()
    first_s = [when for when in run.failed if when < FAULT_AT_S + 5.0]
    show(case, verdict, "jobs lost to the host", len(run.failed), "jobs in 30 s")
    show(case, verdict, "share of jobs", len(run.failed) / run.jobs * END_S / FAULT_S, "share")
    show(case, verdict, "lost in the first second", _until(first_s, 1.0), "jobs")
    show(case, verdict, "lost from 1 s to 5 s", len(first_s) - _until(first_s, 1.0), "jobs")
    show(case, verdict, "in full use again", run.restored_after_s, "s after the fault")


def _until(times: list[float], limit_s: float) -> int:
    return sum(when < FAULT_AT_S + limit_s for when in times)


def main() -> None:
    """Print the figures with ejection, at the budget's bound, and without."""
    for verdict in FAIL_S_BY_VERDICT:
        show_run("budget of 1 host", verdict, 1)
        show_run("budget of 0 hosts", verdict, 0)
        with mock.patch.object(HealthTable, "record_verdict", lambda *args: False):
            show_run("no ejection", verdict, 1)


if __name__ == "__main__":
    main()
