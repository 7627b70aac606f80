"""A queue that is shown as empty, though accepted jobs wait in it."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from site_kit import NotRunError, Platform, Record, Site, has_trouble, run_case, running  # noqa: E402

OLD = {"/n/": "notices", "/b/": "notices", "/s/": "schools"}
NEW = OLD | {"/n/": "schools"}
NODES = ["front-1", "front-2"]
TASK_S = 6.0
JOBS = 8
JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 9000, "mem_mb": 256, "estimate_ms": 6000}]}
"""A minion has 16 cores, so that it runs one of these tasks at a time."""
VISIBLE_S = 3.0
"""visible_ms."""
MORE_S = 2.0
"""What the rule adds to visible_ms."""
CONFIG_APPLY_S = 2.0
"""config_apply_ms."""
QUERIES = 6


def play(record: Record) -> list[str]:
    platform = Platform(TASK_S)
    for service in ("notices", "schools"):
        platform.add_host(service)
    # A patient queue, as the bulk queues of the sites are: its jobs may wait.
    platform.put_configuration(1, OLD, latency_slo_ms=60_000)
    site = Site(platform, NODES, record)
    with running(site, platform):
        site.start_all()
        time.sleep(4.0)
        accepted_at = submit(site)
        time.sleep(VISIBLE_S + MORE_S + 0.5)
        if has_trouble():
            platform.put_configuration(2, NEW, latency_slo_ms=60_000)
            record.note("version 2: the queue /n/ now goes to schools")
        time.sleep(CONFIG_APPLY_S + VISIBLE_S)
        breaches = []
        for _ in range(QUERIES):
            for node in NODES:
                breaches += judge(record, platform, site, node, accepted_at)
            time.sleep(0.5)
        return breaches


def submit(site: Site) -> dict[str, float]:
    """Hand in some jobs at once; return when each was accepted, by its id."""
    accepted_at = {}

    def submit_one(number: int) -> None:
        job = f"{number:016x}"
        if site.call("POST", NODES[number % len(NODES)], f"/n/{job}", JOB)[0] == 200:
            accepted_at[job] = time.monotonic()

    with ThreadPoolExecutor(JOBS) as callers:
        list(callers.map(submit_one, range(1, JOBS + 1)))
    if len(accepted_at) < JOBS / 2:
        raise NotRunError("too few jobs were accepted")
    return accepted_at


def judge(
    record: Record, platform: Platform, site: Site, node: str, accepted_at: dict[str, float]
) -> list[str]:
    """MIXED: `pending` under half of the jobs accepted long enough ago that haven't begun."""
    # Counted after the answer: the number of jobs that haven't begun only falls.
    asked_at = time.monotonic()
    status, body = site.call("GET", node, "/n/")
    waiting = [
        job
        for job, at in accepted_at.items()
        if asked_at - at > VISIBLE_S + MORE_S and not platform.starts_of(job)
    ]
    record.note(f"{len(waiting)} accepted jobs of the queue have not begun")
    if status != 200 or body["pending"] >= len(waiting) / 2:
        return []
    last = site.call("GET", node, f"/n/{waiting[-1]}")[1].get("state")
    return [f"MIXED: {node} gives {body['pending']} as pending, {len(waiting)} wait; one: {last}"]


run_case(play, FOLDER)
