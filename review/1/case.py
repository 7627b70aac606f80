"""A job is submitted, a configuration replaces its route by one to another service, and the request
arrives again. See claim.txt."""

import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit"))

from site_kit import (  # noqa: E402
    CANNOT_RUN,
    Record,
    Site,
    UsersPlatform,
    configure,
    record_runs,
    run_case,
    wait_for,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASK_S = 8.0
PREFIX = "/proofs/"
JOB = "5c0e7a21d94b36f8"
BODY = {"spec": "(text)", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 8000}]}


def main():
    record = Record(FOLDER)
    platform = UsersPlatform(TASK_S)
    site = Site(platform, record, ["holyoke", "amherst", "westfield"])
    try:
        return play(record, platform, site)
    finally:
        site.close()
        record_runs(record, platform)
        platform.close()
        record.write()


def play(record, platform, site):
    for pool in ("notices", "library"):
        for _ in range(3):
            platform.add_host(pool)
    configure(platform, 1, {PREFIX: "notices", "/books/": "library"})
    if not site.start_all():
        return CANNOT_RUN
    first, second = list(site.settings)[:2]
    time.sleep(3.0)
    path = PREFIX + JOB
    if site.request("POST", first, path, BODY)[0] != 200:
        return CANNOT_RUN
    if not wait_for(lambda: len(platform.records) == 2, 5.0):
        return CANNOT_RUN
    if TROUBLE:
        platform.store.put("op/config", json.dumps(replaced(platform.value("op/config"))).encode())
        record.add(f"operator: configuration 2 removes the route {PREFIX} to notices, and adds a "
                   f"route {PREFIX} to library")
    time.sleep(3.0)
    site.request("POST", second, path, BODY)
    site.request("GET", second, path)
    time.sleep(12.0)
    site.request("GET", second, path)
    broken = 0
    for task in sorted({run.task for run in platform.records}):
        runs = [run for run in platform.records if run.task == task]
        if any(a is not b and a.began <= b.began < (a.ended or 1e12) for a in runs for b in runs):
            record.add(f"TWICE: {task} ran twice at the same time")
            broken = 1
        elif sum(run.end_kind == "done" and run.noted for run in runs) > 1:
            record.add(f"TWICE: {task} was done twice")
            broken = 1
    return broken


def replaced(config):
    """Return the next version: one route is removed, and one with the same prefix is added."""
    kept = [route for route in config["routes"] if route["prefix"] != PREFIX]
    old = next(route for route in config["routes"] if route["prefix"] == PREFIX)
    added = old | {"name": "r-new", "service": "library"}
    return config | {"version": config["version"] + 3, "routes": [*kept, added]}


run_case(main)
