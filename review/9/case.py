"""An owner key without a lease: pools that never get an owner again."""

import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from site_kit import NotRunError, Platform, Record, Site, has_trouble, run_case, running  # noqa: E402

SERVICE_BY_PREFIX = {"/n/": "notices", "/b/": "ballots", "/s/": "schools", "/l/": "library"}
MINIONS = 2
TASK_S = 0.3
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]}
NODES = ["front-1", "front-2"]
KILLED_S = 3.5
"""`node_kill` of the site's list of troubles: for_s = 3.5."""
FREEZE_S = 2.0
"""`node_freeze` of that list lasts 4.0 s."""
CALM_S = 12.0
"""recovery_s."""
FINISH_S = 14.0
"""finish_s."""
WITHOUT_RUN_S = 3.0


def play(record: Record) -> list[str]:
    platform = Platform(TASK_S)
    for service in SERVICE_BY_PREFIX.values():
        for _ in range(MINIONS):
            platform.add_host(service)
    platform.put_configuration(1, SERVICE_BY_PREFIX)
    site = Site(platform, NODES, record)
    with running(site, platform):
        # The second machine is added later, so that the first one owns most of the shards.
        site.start(NODES[0])
        site.await_ready(NODES[0])
        time.sleep(1.5)
        site.start(NODES[1])
        site.await_ready(NODES[1])
        time.sleep(6.0)
        record.note(f"owners and leases of their keys: {platform.owner_keys()}")
        if has_trouble():
            disturb(record, platform, site)
        time.sleep(CALM_S)
        record.note(f"owners and leases of their keys: {platform.owner_keys()}")
        return judge(record, platform, site)


def disturb(record: Record, platform: Platform, site: Site) -> None:
    """Kill a machine, freeze the other one as it takes over, and kill that one later."""
    names = [process for process, _ in platform.owner_keys().values()]
    first = max(NODES, key=names.count)
    other = next(name for name in NODES if name != first)
    if names.count(first) < 4:
        raise NotRunError(f"{first} owns too few shards: {names}")
    frozen = threading.Event()

    def on_commit(txn: dict[str, Any]) -> bool:
        """Freeze the machine that claims, as the answer to its first claim is on its way."""
        for write in txn["writes"]:
            if not write["key"].startswith("m/o/"):
                continue
            record.note(f"claim of {write['key']} under lease {write.get('lease', 0)}")
            if not frozen.is_set():
                frozen.set()
                site.signal(other, signal.SIGSTOP)
                threading.Timer(FREEZE_S, site.signal, (other, signal.SIGCONT)).start()
        return False

    platform.store.on_commit = on_commit
    site.kill(first)
    time.sleep(KILLED_S)
    site.start(first)
    site.await_ready(first)
    if not frozen.is_set():
        raise NotRunError("no shard was claimed")
    time.sleep(8.0)
    platform.store.on_commit = lambda txn: False
    record.note(f"owners and leases of their keys: {platform.owner_keys()}")
    site.kill(other)
    time.sleep(KILLED_S)
    site.start(other)
    site.await_ready(other)


def judge(record: Record, platform: Platform, site: Site) -> list[str]:
    """LOST, `finish_s` after the end of the traffic: nothing runs, though its turn has come."""
    accepted = []
    for number, prefix in enumerate(SERVICE_BY_PREFIX, 1):
        for node in NODES:
            path = f"{prefix}{number:08x}{NODES.index(node):08x}"
            if site.call("POST", node, path, JOB)[0] == 200:
                accepted.append(path)
    if not accepted:
        raise NotRunError("no job was accepted")
    time.sleep(FINISH_S + WITHOUT_RUN_S)
    breaches = []
    for path in accepted:
        runs = platform.starts_of(path.rpartition("/")[2])
        record.note(f"runs of {path}: {[(run.task, run.number, run.end_kind) for run in runs]}")
        status, body = site.call("GET", NODES[0], path)
        is_open = status == 200 and body["state"] in ("queued", "running")
        minions = platform.hosts_of(SERVICE_BY_PREFIX[path[:3]])
        record.note(f"machines of its service: {minions}")
        # One machine of 16 cores has room for the two jobs of its queue many times over.
        if is_open and not runs and minions:
            breaches.append(
                f"LOST: {path} was accepted and has had no run for {FINISH_S + WITHOUT_RUN_S} s,"
                " while all minions of its service were up and idle"
            )
    return breaches


run_case(play, FOLDER)
