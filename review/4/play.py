"""An owner is killed while more than 500 ends of one minion wait for its acknowledgement."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from runner2 import run  # noqa: E402
from site2 import twice, wait_until  # noqa: E402

POOL = "huvo11a"
PREFIX = "/puxa400/"
TASKS = 1200
"""Tasks of the wide job; each asks for 0.05 cores, and the minion has 64 cores."""
WORK_S = 10.0
"""Time after the first start at which the tasks of the wide job end, all at about the same moment."""
KILL_BEFORE_S = 0.4
"""Time before that moment at which the owner is killed."""
WATCH_S = 14.0


def play(site):
    world = site.world
    world.configure(1, [POOL], [("r-1", PREFIX, POOL, 4)])
    world.add_minion(POOL, "amherst", 64000, 262144, "r1-1")
    site.start_all([POOL])
    time.sleep(1.0)
    owner = world.owner_of(POOL)
    hosts = [name for name in site.settings if name != owner]
    step = {"count": TASKS, "cpu": 50, "mem_mb": 64, "estimate_ms": 9000}
    began = []

    def work_s(run):
        if not began:
            began.append(run.began)
        return max(0.3, began[0] + WORK_S - run.began)

    job = site.submit(hosts, PREFIX, {"spec": "wide", "steps": [step]}, [work_s])
    if job is None:
        return None, "the wide job was not accepted"
    if not wait_until(lambda: began, 30.0):
        return None, "the wide job did not start"
    time.sleep(max(0.0, began[0] + WORK_S - KILL_BEFORE_S - time.monotonic()))
    started = sum(run.task.startswith(job) for run in list(world.runs))
    site.record(f"{started} of {TASKS} tasks of the wide job have started")
    if started < TASKS:
        return None, f"only {started} tasks of the wide job started in time"
    if site.trouble:
        site.kill(owner)
    time.sleep(WATCH_S)
    state = site.ask(hosts[0], "GET", PREFIX + job)[1].get("state")
    found = twice(world.runs)
    for line in found:
        site.record(line)
    text = f"{len(found)} tasks started again after an end done that was noted; job is {state}"
    return bool(found), text


run(FOLDER, play)
