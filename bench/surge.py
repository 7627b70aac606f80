"""Goodput, urgent start times and refusals in surges: grants against other algorithms.

Drives the scheduler's decision code with a fake clock; endpoints and network are simulated.
``python -m bench.surge``
"""

import json
from collections.abc import Callable

from bench.surge_baselines import GATEWAYS, PartitionedHosts, RandomHost
from bench.surge_grants import GrantSystem, RetryingGrantSystem
from bench.surge_load import HOSTS, SLOTS, Events, Load, Outcome

DRAIN_S = 120.0
SEEDS_BY_SURGE_S = {10.0: (1, 2), 25.0: (1,)}

System = GrantSystem | RandomHost | PartitionedHosts

SYSTEMS: dict[str, Callable[[Events, int], System]] = {
    "grants, 1 zone": lambda events, seed: GrantSystem(events, 1, seed),
    "grants, 4 zones": lambda events, seed: GrantSystem(events, 4, seed),
    "grants, refused come back when told": lambda events, seed: RetryingGrantSystem(
        events, None, seed
    ),
    "grants, refused come back after 1 s": lambda events, seed: RetryingGrantSystem(
        events, 1.0, seed
    ),
    "home gateway of each host": lambda events, seed: PartitionedHosts(events, seed),
    "blind, 1 a gateway": lambda events, seed: RandomHost(events, 1, seed),
    "blind, 2 a gateway": lambda events, seed: RandomHost(events, 2, seed),
    "blind, 8 a gateway": lambda events, seed: RandomHost(events, SLOTS, seed),
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
    show(name, load, "served in the end, urgency 1", report.normal_served, "share of surge's jobs")
    show(name, load, "asks of urgency 1", report.normal_attempts, "a job")
    show(name, load, "slot seconds app/orders", report.fairness, "ratio")
    if isinstance(driven, GrantSystem):
        show(name, load, "scheduler processor", driven.cpu_s / driven.grants * 1e6, "us a grant")
        show(name, load, "spilled", driven.spilled / len(outcome.jobs), "share of jobs")
        show(name, load, "invariants broken", driven.violations, "count")


def main() -> None:
    """Run every system with the same arrivals."""
    for surge_s, seeds in SEEDS_BY_SURGE_S.items():
        for seed in seeds:
            for name in SYSTEMS:
                show_all(name, Load(seed, surge_s))


if __name__ == "__main__":
    main()
