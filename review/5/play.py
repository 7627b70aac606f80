"""A wave of upkeep is due for both machines of a small pool in which tasks last."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from runner2 import run  # noqa: E402
from site2 import wait_until  # noqa: E402

POOL, OTHER_POOL, SPARE_POOL = "huvo11a", "kafi81c", "lohu93e"
PREFIX, OTHER_PREFIX = "/puxa400/", "/kafi706/"
TASKS = 5
MAY_MISS = 1
WAVE = 1
WITHIN_S = 27.0
CALM_S = 3.0
AFTER_LAST_RUN_S = 6.0
"""A task that lasts may be without a run for this long, and for three calm seconds more."""
WATCH_S = 45.0


def longest_gaps(world, job, until):
    """Return the longest time that each task was without a run, from its first run on."""
    gaps = {}
    for index in range(TASKS):
        runs = sorted(
            (r for r in world.runs if r.task == f"{job}.0.0.{index}"), key=lambda r: r.began
        )
        begins = [r.began for r in runs[1:]] + [until]
        gaps[index] = max(
            (begin - r.ended for r, begin in zip(runs, begins) if r.ended is not None), default=0.0
        )
    return gaps


def play(site):
    world = site.world
    routes = [("r-1", PREFIX, POOL, 2), ("r-2", OTHER_PREFIX, OTHER_POOL, 2)]
    world.configure(1, [POOL, OTHER_POOL, SPARE_POOL], routes, spare=SPARE_POOL)
    machines = [world.add_minion(POOL, "holyoke", 16000, 32768, "r1-1").machine]
    machines.append(world.add_minion(POOL, "amherst", 16000, 32768, "r1-2").machine)
    world.add_minion(OTHER_POOL, "holyoke", 16000, 32768, "r1-3")
    world.add_minion(OTHER_POOL, "amherst", 16000, 32768, "r1-4")
    site.start_all([POOL, OTHER_POOL, "@fleet"])
    time.sleep(1.0)
    step = {"count": TASKS, "cpu": 1300, "mem_mb": 2000, "estimate_ms": 900}
    step |= {"long_running": True, "may_miss": MAY_MISS}
    job = site.submit(list(site.settings), PREFIX, {"spec": "lasts", "steps": [step]}, [1e6])
    if job is None or not wait_until(lambda: len(world.runs) == TASKS, 10.0):
        return None, "the tasks that last were not started"
    site.record(f"tasks run on {sorted({r.minion.name for r in world.runs})}")
    time.sleep(5.0)
    if site.trouble:
        wave = {"wave": WAVE, "machines": machines, "within_s": WITHIN_S, "cap": 1}
        site.record(f"DISRUPTION {wave}")
        world.call(world.store.put(f"op/wave/{WAVE}", wave))
    time.sleep(WATCH_S)
    gaps = longest_gaps(world, job, time.monotonic())
    state = (world.store.value(f"status/wave/{WAVE}") or {}).get("state")
    for index, gap in gaps.items():
        site.record(f"task {index}: longest time without a run {gap:.1f} s")
    broken = max(gaps.values()) > AFTER_LAST_RUN_S + CALM_S
    return broken, (
        f"a task that lasts had no run for {max(gaps.values()):.1f} s; "
        f"{len(world.upkeeps)} of {len(machines)} upkeeps begun, wave {state}"
    )


run(FOLDER, play)
