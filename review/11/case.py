"""An accepted job of a queue with a policy, whose route is replaced while the job runs."""

import json
import sys
import threading
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from site_kit import (  # noqa: E402
    NotRunError,
    Platform,
    Record,
    Site,
    has_trouble,
    run_case,
    running,
    until,
)

SERVICE_BY_PREFIX = {"/n/": "notices", "/b/": "notices"}
ADVICE = {"decide_ms": 60, "period_ms": 15, "valid_ms": 1500}
"""The stand-in's tickets are valid for 1.5 s."""
MINIONS = 4
NODES = ["front-1", "front-2"]
TASK_S = 3.0
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 3000}
JOB = {"spec": "text", "steps": [STEP, STEP | {"after": [0]}]}
TASKS = 4
PATH = "/n/00000000000000a1"
ID = PATH.rpartition("/")[2]
CHANGE_AFTER_S = 1.0
BETWEEN_CHANGES_S = 0.5
FINISH_S = 14.0
"""finish_s."""
WITHOUT_RUN_S = 3.0


def play(record: Record) -> list[str]:
    platform = Platform(TASK_S)
    for _ in range(MINIONS):
        platform.add_host("notices")
    answer_in_time(platform)
    platform.put_configuration(1, SERVICE_BY_PREFIX, advice=ADVICE)
    site = Site(platform, NODES, record)
    with running(site, platform):
        site.start_all()
        time.sleep(4.0)
        if site.call("POST", NODES[0], PATH, JOB)[0] != 200:
            raise NotRunError("the job was not accepted")
        if not until(lambda: bool(platform.starts_of(ID)), FINISH_S):
            raise NotRunError("the job did not start")
        time.sleep(CHANGE_AFTER_S)
        if has_trouble():
            rest = {prefix: name for prefix, name in SERVICE_BY_PREFIX.items() if prefix != "/n/"}
            platform.put_configuration(2, rest, advice=ADVICE)
            record.note("version 2: the route of /n/ is removed")
            time.sleep(BETWEEN_CHANGES_S)
            platform.put_configuration(3, SERVICE_BY_PREFIX, names={"/n/": "r-new"}, advice=ADVICE)
            record.note("version 3: a route with its host, prefix, service and policy is added")
        time.sleep(2 * TASK_S + FINISH_S + WITHOUT_RUN_S)
        return judge(record, platform, site)


def answer_in_time(platform: Platform) -> None:
    """Have starts need tickets, and the service take the time that the queue's policy says."""
    lock = threading.Lock()
    serve = platform.policy.serve

    def serve_late(call: Any) -> None:
        with lock:
            workers = len(json.loads(call.body)["workers"])
            time.sleep((ADVICE["decide_ms"] + workers * ADVICE["period_ms"]) / 1000)
            serve(call)

    platform.policy.tickets_required = True
    platform.policy.serve = serve_late  # type: ignore[method-assign]


def judge(record: Record, platform: Platform, site: Site) -> list[str]:
    """LOST, `finish_s` after the end of the traffic: nothing runs, though its turn has come."""
    runs = platform.starts_of(ID)
    for run in runs:
        record.note(f"{run.task} run {run.number} on {run.endpoint}: {run.end_kind}")
    states = [site.call("GET", node, PATH) for node in NODES]
    now = time.monotonic()
    idle_s = now - max(run.ended or now for run in runs)
    minions = platform.hosts_of("notices")
    record.note(f"nothing of the job has run for {idle_s:.1f} s; machines up: {minions}")
    done = {run.task for run in runs if run.end_kind == "done"}
    is_open = all(status == 200 and body["state"] == "running" for status, body in states)
    # Each machine has room for the two tasks that are left several times over.
    if is_open and len(done) < TASKS and idle_s > WITHOUT_RUN_S and len(minions) >= 2:
        return [f"LOST: the job is shown as running, and nothing of it has run for {idle_s:.1f} s"]
    return []


run_case(play, FOLDER)
