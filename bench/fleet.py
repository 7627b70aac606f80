"""The planner: moves, buffer and roll-out time against two baselines, its cost and its calls."""

import json
import math
import time
import tracemalloc

import msgspec

from bench._fleet_optimum import naive_moves, optimum
from bench._fleet_sim import DAY_S, DRAIN_S, MAINTENANCE_S, Fleet, Site
from lentilrill.fleet import PoolRecord
from lentilrill.fleet._fleet_state import PlanningHistory
from lentilrill.fleet._planner import plan
from lentilrill.ids import PoolId
from lentilrill.settings import Document, Objective
from tests.builders import a_plan, a_pool
from tests.fleet.world import World

__all__ = ["main"]

FEW_MOVES = Objective(move_weight=2.0, buffer_weight=1.0)
LITTLE_BUFFER = Objective(move_weight=1.0, buffer_weight=2.0)
SPARE = PoolId("p00")
SAMPLE_INTERVAL_S = 600.0

SITES = (
    Site("braille", 5, 6, 3, 6, 4, 1, 35.0, FEW_MOVES),
    Site("jalseva", 5, 8, 4, 8, 5, 1, 35.0, LITTLE_BUFFER),
)
HIGH_FAILURE_RATE = Site(
    "jalseva_rough", 5, 8, 4, 8, 5, 1, 35.0, FEW_MOVES, failures=20.0, repair_s=1500.0
)
"""Twenty times the failures, repaired soon enough that pools only borrow and return hosts."""
TARGET = Site("target", 52, 85, 11, 84, 60, 4, 0.5, FEW_MOVES, step_s=120.0)


def show(figure: str, value: float, unit: str, **context: object) -> None:
    """Print one figure."""
    line = {"bench": "fleet", "figure": figure, "value": round(value, 4), "unit": unit}
    print(json.dumps(line | context), flush=True)


def show_run(site: Site) -> None:
    """Show moves and buffer of a run under both weightings, with the baselines beside them."""
    for name, objective in (("few_moves", FEW_MOVES), ("little_buffer", LITTLE_BUFFER)):
        run = Fleet(msgspec.structs.replace(site, objective=objective))
        run.run(SAMPLE_INTERVAL_S)
        owed = {pool: commitment.owed for pool, commitment in run.commitments.items()}
        buffer = sum(
            max(0, count - owed[pool])
            for sample in run.samples
            for pool, count in sample.available.items()
            if pool != SPARE
        )
        hours = SAMPLE_INTERVAL_S / 3600
        best_moves, best_buffer = optimum(run.samples, owed, SPARE, name == "few_moves")
        context = {"site": site.name, "weighting": name, "days": site.days}
        show("moves", run.moves, "moves", **context)
        show("moves_optimum", best_moves, "moves", **context)
        show("moves_naive", naive_moves(run.samples, owed, SPARE), "moves", **context)
        show("buffer", buffer * hours, "host-hours", **context)
        show("buffer_optimum", best_buffer * hours, "host-hours", **context)
        show("samples_with_overspent_budget", run.samples_over_budget, "samples", **context)
        waves = [w for w in run.waves_by_stop.values() if w.actual_s is not None]
        count = max(1, len(waves))
        show("rollout_predicted", sum(w.predicted_s for w in waves) / count, "s", **context)
        show("rollout_actual", sum(w.actual_s or 0.0 for w in waves) / count, "s", **context)
        show("waves_done", len(waves), "waves", of=len(run.waves_by_stop), **context)
        show("platform_commits", run.kv.calls["commit"], "calls", **context)


def show_cost() -> None:
    """Show the time and memory of one planning round, by hosts and pools."""
    for pools, hosts in ((52, 21), (52, 42), (52, 85), (13, 340), (26, 170)):
        site = Site("cost", pools, hosts, 11, hosts - 1, hosts - 4, 4, 0.0, FEW_MOVES)
        run = Fleet(site)
        run.assign_all()
        snapshot, history = run.snapshot(), PlanningHistory()
        plan(snapshot, history)
        times = []
        for _ in range(15):
            started = time.thread_time()
            plan(snapshot, history)
            times.append(time.thread_time() - started)
        tracemalloc.start()
        decision = plan(snapshot, history)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        encoded = [msgspec.json.encode(record) for record, _ in run.records.values()]
        tracemalloc.start()
        decoded = [msgspec.json.decode(record, type=PoolRecord) for record in encoded]
        records_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        listing = len(msgspec.json.encode(snapshot.listing))
        context = {"pools": pools, "hosts": pools * hosts, "actions": len(decision.actions)}
        show("look_least", min(times) * 1000, "ms", **context)
        show("look_median", sorted(times)[7] * 1000, "ms", **context)
        show("look_memory", peak / 1e6, "MB", **context)
        show("records_memory", records_bytes / 1e6, "MB", records=len(decoded), **context)
        show("pool_record_largest", max(map(len, encoded)), "bytes", **context)
        show("pool_records", sum(map(len, encoded)), "bytes", **context)
        show("host_list", listing, "bytes", **context)


def show_calls() -> None:
    """Show the total calls of all controllers: idle, while the document changes, as hosts join.

    Reads and watches of the key-value service belong to other parts of a controller, so only hosts
    that join, and are assigned to a pool, cost calls here: at most one commit each.
    """
    cases = (
        (3, 3, 0, 0),
        (11, 3, 0, 0),
        (3, 30, 0, 0),
        (3, 3, 60, 0),
        (3, 3, 0, 60),
        (11, 3, 0, 60),
    )
    for zones, racks, edits, joins in cases:
        names = tuple(f"z{n:02d}" for n in range(zones))
        world = World(Document((a_plan(),), (a_pool(spare=True),)), names)
        for n in range(zones * racks * 4):
            world.host(f"h{n}", zone=names[n % zones], rack=f"r{n // 4}")
        for zone in names:
            for n in range(2):
                world.controller(f"{zone}-{n}", zone)
        world.run(20)
        lists = sum(c.hosts.calls for c in world.controllers)
        calls = world.kv.calls.total()
        for n in range(60):
            if n < edits:
                world.change(plans=(a_plan(token_sha256=f"{n:064x}"),))
            if n < joins:
                world.host(f"joined{n}", zone=names[n % zones], rack=f"r{n}")
            world.run()
        lists = sum(c.hosts.calls for c in world.controllers) - lists
        calls = world.kv.calls.total() - calls
        context = {"zones": zones, "hosts": zones * racks * 4}
        context |= {"edits_a_minute": edits, "joins_a_minute": joins}
        show("list_reads", lists / 60, "1/s", **context)
        show("key_value_calls", calls / 60, "1/s", **context)


def show_one_stop(site: Site) -> None:
    """Show how long one planned stop of the whole fleet takes, with failures as in the target."""
    run = Fleet(site)
    predicted, nearly_all_s, actual = run.run_one_stop(2 * DAY_S)
    batches = math.ceil(site.hosts_per_pool / site.budget)
    context = {"site": site.name, "hosts": len(run.infos_by_id), "budget": site.budget}
    show("whole_fleet_predicted", predicted, "s", **context)
    show("whole_fleet_99_percent", nearly_all_s, "s", **context)
    show("whole_fleet_actual", actual, "s", **context)
    show("whole_fleet_bound", batches * (DRAIN_S + MAINTENANCE_S), "s", **context)
    show("whole_fleet_moves", run.moves, "moves", **context)
    show(
        "samples_with_overspent_budget", run.samples_over_budget, "of", samples=run.steps, **context
    )


def main() -> None:
    """Run all parts."""
    show_cost()
    show_calls()
    for site in (*SITES, TARGET):
        show_one_stop(msgspec.structs.replace(site, step_s=60.0))
    for site in (*SITES, HIGH_FAILURE_RATE, TARGET):
        show_run(site)


if __name__ == "__main__":
    main()
