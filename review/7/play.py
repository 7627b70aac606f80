"""An entry host asks an owner about jobs, is killed and starts again; the owner answers late."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from runner2 import run  # noqa: E402
from site2 import ZONES, wait_until  # noqa: E402

POOL = "huvo11a"
PREFIX = "/puxa400/"
JOBS = 24
"""Jobs that are done, and as many that run on; clients ask for each of them."""
NEVER_SENT = [f"{number:016x}" for number in range(8)]
"""Ids under which no client has handed a job in; clients ask for these as well."""
LONG_S = 300.0
MAX_FREEZE_S = 1.25
"""Longest time for which the owner stands still; it keeps its lease, of which 1.6 s are left."""
ASK_FOR_S = 0.27
"""Time for which clients ask the host that has started again, before the owner goes on."""
ROUNDS = 5
ASK_PAUSE_S = 0.03


def hand_in(site, host, work_s):
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": int(work_s * 1000)}
    body = {"spec": "one task", "steps": [step]}
    return [site.submit([host], PREFIX, body, [work_s]) for _ in range(JOBS)]


def wait_for_renewal(world):
    """Wait until the owner has just renewed its lease, so that it keeps its pool while frozen."""
    lease = world.store.items[f"m/o/{POOL}"]["lease"]
    end = world.store.leases[lease][0]
    return wait_until(lambda: world.store.leases[lease][0] != end, 2.0, pause_s=0.001)


def play_round(site, done, asked):
    """Return the states, or the statuses of other answers, that clients got for ``asked``."""
    world = site.world
    owner = world.owner_of(POOL)
    host = next(name for name in site.settings if name != owner)
    seen, askers = [], []

    def ask(job, states):
        status, answer = site.ask(host, "GET", PREFIX + job)
        if status == 200:
            states.append((job, answer.get("state")))
        elif job in NEVER_SENT:
            states.append((job, str(status)))

    def start(job, states):
        askers.append(threading.Thread(target=ask, args=(job, states)))
        askers[-1].start()

    if site.trouble:
        wait_for_renewal(world)
        site.freeze(owner)
    began = time.monotonic()
    for job in done:
        start(job, [])
    time.sleep(0.04)
    if site.trouble:
        site.kill(host)
        site.start(host)
    wake_at, number = began + MAX_FREEZE_S, 0
    while time.monotonic() < wake_at:
        if site.listens(host):
            if not number:
                wake_at = min(wake_at, time.monotonic() + ASK_FOR_S)
            start(asked[number % len(asked)], seen)
            number += 1
        time.sleep(ASK_PAUSE_S)
    if site.trouble:
        site.wake(owner)
    for asker in askers:
        asker.join()
    return seen


def play(site):
    world = site.world
    world.configure(1, [POOL], [("r-1", PREFIX, POOL, 4)])
    for number in range(2):
        world.add_minion(POOL, ZONES[number], 64000, 262144, f"r1-{number + 1}")
    site.start_all([POOL])
    time.sleep(1.0)
    last = list(site.settings)[-1]
    done, running = hand_in(site, last, 0.3), hand_in(site, last, LONG_S)
    if None in done + running:
        return None, "a job was not accepted"
    ended = lambda: sum(r.how == "done" for r in world.runs) >= len(done)  # noqa: E731
    if not wait_until(ended, 20.0):
        return None, "the short jobs did not end"
    time.sleep(3.0)
    # Every third question is for an id that nobody has used.
    asked = [j for pair in zip(running[::2], running[1::2], NEVER_SENT) for j in pair]
    wrong = []
    for _ in range(ROUNDS):
        seen = play_round(site, done, asked)
        wrong += [job for job, state in seen if job in running and state == "completed"]
        wrong += [job for job, state in seen if job in NEVER_SENT and not state.isdigit()]
        if wrong:
            break
        time.sleep(4.0)
    for job in wrong:
        ends = [r.how for r in world.runs if r.task.startswith(job)]
        what = "nobody handed it in" if job in NEVER_SENT else f"its task: {ends} (None: it runs)"
        site.record(f"MIXED {job} is shown as completed; {what}")
    unsent = sum(job in NEVER_SENT for job in wrong)
    return bool(wrong), (
        f"{len(wrong) - unsent} answers show a job that runs as completed, "
        f"{unsent} a job that nobody handed in"
    )


run(FOLDER, play)
