"""A job whose cancelling was acknowledged, and which starts seconds later."""

import sys
import threading
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from site_kit import NotRunError, Platform, Record, Site, has_trouble, run_case, running  # noqa: E402

SERVICE_BY_PREFIX = {"/n/": "notices", "/s/": "schools"}
MINIONS = 2
NODES = ["front-1", "front-2"]
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300}]}
TASK_S = 0.3
CANCELLED_PATH = "/n/00000000000000a1"
CANCELLED_ID = CANCELLED_PATH.rpartition("/")[2]
LATE_S = 6.0
"""`platform_lost` with `late`: done 1 to 6 s later."""
MAX_LOST_SHARE = 0.35
"""`platform_lost` of the site's list of troubles: x = 0.35."""
MAX_LOST_S = 4.5
"""`platform_lost` of that list: for_s = 4.5."""
CANCEL_S = 3.0
"""cancel_ms."""
CONTACT_S = 3.0
"""contact_ms."""
OTHERS_INTERVAL_S = 0.04


class LostAnswers:
    """Answers of the store that are lost; what was asked is carried out late."""

    def __init__(self, record: Record, platform: Platform) -> None:
        self._record = record
        self._platform = platform
        self._lost = 0
        self._began = self.ended = 0.0
        self._commits_before = 0

    def begin(self) -> None:
        self._began = time.monotonic()
        self._commits_before = self._platform.store.commits
        self._platform.store.on_commit = self._on_commit

    def end(self) -> None:
        self.ended = time.monotonic()
        self._platform.store.on_commit = lambda txn: False
        commits = self._platform.store.commits - self._commits_before
        share, lasted_s = self._lost / commits, self.ended - self._began
        self._record.note(f"{self._lost} of {commits} writes lost, {share:.2f}, in {lasted_s:.2f} s")
        if share > MAX_LOST_SHARE or lasted_s > MAX_LOST_S:
            raise NotRunError("more answers were lost than the pages allow")

    def _on_commit(self, txn: dict[str, Any]) -> bool:
        keys = [write["key"] for write in txn["writes"]]
        if not any(key.endswith(CANCELLED_ID) for key in keys):
            return False
        self._lost += 1
        self._record.note(f"write of {keys}: no answer")
        threading.Timer(LATE_S, self._carry_out, (keys, txn)).start()
        return True

    def _carry_out(self, keys: list[str], txn: dict[str, Any]) -> None:
        is_done = self._platform.store.carry_out(txn)
        self._record.note(f"write of {keys}: {'done now' if is_done else 'its condition fails'}")


def play(record: Record) -> list[str]:
    platform = Platform(TASK_S)
    for service in SERVICE_BY_PREFIX.values():
        for _ in range(MINIONS):
            platform.add_host(service)
    platform.put_configuration(1, SERVICE_BY_PREFIX)
    site = Site(platform, NODES, record)
    with running(site, platform):
        site.start_all()
        time.sleep(4.0)
        done = threading.Event()
        others = threading.Thread(target=submit_others, args=(site, done), daemon=True)
        others.start()
        time.sleep(1.0)
        try:
            return submit_and_cancel(record, platform, site)
        finally:
            done.set()
            others.join()


def submit_others(site: Site, done: threading.Event) -> None:
    """Submit jobs of another queue, whose writes are answered."""
    number = 0
    while not done.wait(OTHERS_INTERVAL_S):
        number += 1
        site.call("POST", NODES[1], f"/s/{number:016x}", JOB)


def submit_and_cancel(record: Record, platform: Platform, site: Site) -> list[str]:
    lost = LostAnswers(record, platform)
    if has_trouble():
        lost.begin()
    status, _ = site.call("POST", NODES[0], CANCELLED_PATH, JOB)
    if has_trouble():
        lost.end()
        if status != 504 and status:
            raise NotRunError("the caller knows what became of its job")
    status, _ = site.call("DELETE", NODES[1], CANCELLED_PATH)
    cancelled_at = time.monotonic()
    if status not in (200, 410):
        raise NotRunError("the cancelling was not acknowledged")
    time.sleep(LATE_S + CANCEL_S)
    site.call("GET", NODES[0], CANCELLED_PATH)
    breaches = []
    for run in platform.starts_of(CANCELLED_ID):
        after_s = run.began - cancelled_at
        calm_s = run.began - lost.ended
        record.note(
            f"{run.task} run {run.number} began {after_s:.2f} s after the cancelling was"
            f" acknowledged, {calm_s:.2f} s after the last lost answer: {run.end_kind}"
        )
        if after_s > CANCEL_S and calm_s > CONTACT_S:
            breaches.append(f"UNASKED: {run.task} began {after_s:.2f} s after the acknowledgement")
    return breaches


run_case(play, FOLDER)
