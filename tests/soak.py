"""``make soak``: random faults on a running site over a longer time, from a recorded seed.

The seed determines the schedule of faults, edits and planned stops, and the requests of callers.
Real processes interleave differently each time, so repeat a failed seed several times.
"""

import argparse
import json
import random
import signal
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

from standins.site import Site
from tests.matrix._cells import broken_invariants
from tests.matrix._injections import INJECTIONS, PAIRS, Injection
from tests.matrix._world import SERVICES, Job, Ledger, World, a_site

__all__ = ["Event", "main", "schedule", "soak"]

FAULTS = tuple(i for i in INJECTIONS + PAIRS if not i.why_not and i.holds_s > 1)
LONGEST_GAP_S = 2.0
LONGEST_HOLD_S = 5.0
CALLERS = 6
KEYED_SHARE = 0.2
SETTLE_S = 60.0


class Event(msgspec.Struct, frozen=True):
    """One fault of a schedule.

    :param after_s: seconds from the end of the previous fault to the start of this one.
    :param lasts_s: duration of the fault in seconds.
    """

    after_s: float
    lasts_s: float
    injection: Injection


def schedule(seed: int, seconds: float) -> list[Event]:
    """Return the faults of a run, which depend only on the arguments."""
    chance = random.Random(seed)
    events: list[Event] = []
    left_s = seconds
    while left_s > 0:
        injection = chance.choice(FAULTS)
        lasts_s = round(chance.uniform(0.2, max(injection.holds_s, LONGEST_HOLD_S)), 2)
        after_s = round(chance.uniform(0.0, LONGEST_GAP_S), 2)
        events.append(Event(after_s, lasts_s, injection))
        left_s -= lasts_s + after_s
    return events


def soak(world: World, seed: int, seconds: float) -> list[str]:
    """Execute one run and return all failures."""
    world.ledger = Ledger()
    stop = threading.Event()
    tasks = [threading.Thread(target=_call, args=(world, seed + n, stop)) for n in range(CALLERS)]
    tasks.append(threading.Thread(target=_operate, args=(world, seed, stop)))
    for task in tasks:
        task.start()
    try:
        for event in schedule(seed, seconds):
            _play(world, event)
    finally:
        stop.set()
        for task in tasks:
            task.join()
    try:
        _heal(world)
    except TimeoutError as error:
        world.ledger.note(False, str(error).splitlines()[0])
    return world.ledger.judge(world.runs()) + broken_invariants(world.site)


def _play(world: World, event: Event) -> None:
    time.sleep(event.after_s)
    event.injection.begin(world)
    try:
        time.sleep(event.lasts_s)
    finally:
        event.injection.end(world)


def _call(world: World, seed: int, stop: threading.Event) -> None:
    chance = random.Random(seed)
    while not stop.wait(chance.uniform(0.0, 0.1)):
        job = _a_job(world, chance)
        for gateway in _gateways(world, job, chance):
            world.send(job, gateway)


def _a_job(world: World, chance: random.Random) -> Job:
    service = chance.choice(SERVICES[:2])
    keyed = chance.random() < KEYED_SHARE
    job = world.job(
        service,
        idempotent=not keyed and chance.random() < 0.5,
        run_s=chance.choice((0.01, 0.01, 0.05, 0.5)),
        answer_bytes=chance.choice((0, 0, 0, 2_000_000)),
    )
    return msgspec.structs.replace(job, key=f"key-{job.name}") if keyed else job


def _gateways(world: World, job: Job, chance: random.Random) -> Iterator[str]:
    yield chance.choice(world.site.gateways)
    if job.key:
        for _ in range(chance.randint(0, 2)):
            yield chance.choice(world.site.gateways)


def _operate(world: World, seed: int, stop: threading.Event) -> None:
    """Edit lists and declare and cancel stops through random controllers, ignoring the answers."""
    chance = random.Random(f"{seed}-operators")
    hosts = [host.id for host in world.site.spec.hosts]
    while not stop.wait(chance.uniform(0.5, 3.0)):
        controller = chance.choice(world.site.controllers)
        host = chance.choice(hosts)
        match chance.randrange(3):
            case 0:
                world.apply(round(chance.uniform(10.0, 30.0), 3), controller)
            case 1:
                body = {"id": f"stop-{host}", "hosts": [host], "reason": "soak"}
                world.operate("POST", "/v1/stops", body, controller)
            case _:
                world.operate("DELETE", f"/v1/stops/stop-{host}", controller=controller)


def _heal(world: World) -> None:
    """Cancel all stops and wait until hosts are back, controllers agree and jobs run again."""
    world.site.wait_until(lambda: _without_stops(world), "stops to be cancelled", SETTLE_S)
    world.site.wait_until(world.is_full, "all owed hosts to serve", SETTLE_S)
    world.settle()
    revisions = lambda: {world.revision_at(name) for name in world.site.controllers}  # noqa: E731
    world.site.wait_until(lambda: len(revisions()) == 1, "controllers to agree", SETTLE_S)


def _without_stops(world: World) -> bool:
    status, found = world.operate("GET", "/v1/config")
    if status != 200 or not found["fresh"]:
        return False
    for stop in found["document"].get("stops", []):
        world.operate("DELETE", f"/v1/stops/{stop['id']}")
    return not found["document"].get("stops", [])


def main() -> int:
    """Execute the runs; return 0 if all of them passed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--seed", type=int, help="seed of the first run, incremented for each further run"
    )
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of one run")
    parser.add_argument("--logs", type=Path, help="folder for the logs of failed runs")
    arguments = parser.parse_args()
    first = arguments.seed if arguments.seed is not None else time.time_ns() % 1_000_000
    failed = 0
    # On SIGTERM, exit through the context manager so that the processes of the site are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for seed in range(first, first + arguments.runs):
        with Site(a_site(relayed=True)) as site:
            world = World(site)
            world.bring_up()
            wrong = soak(world, seed, arguments.seconds)
            line = {"seed": seed, "seconds": arguments.seconds, "answers": world.ledger.counts()}
            print(json.dumps(line | {"wrong": wrong[:10]}), flush=True)
            if wrong and arguments.logs:
                _keep_logs(site, arguments.logs / str(seed))
            world.close()
        failed += bool(wrong)
    print(f"{arguments.runs - failed} runs passed, {failed} failed")
    return 1 if failed else 0


def _keep_logs(site: Site, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in site.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())


if __name__ == "__main__":
    sys.exit(main())
