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
from tests.matrix._world import SERVICES, Job, Results, World, a_site

__all__ = ["ScheduledFault", "main", "schedule", "soak"]

FAULTS = tuple(i for i in INJECTIONS + PAIRS if not i.not_run_reason and i.duration_s > 1)
MAX_GAP_S = 2.0
MAX_DURATION_S = 5.0
CALLERS = 6
KEYED_SHARE = 0.2
RECOVERY_TIMEOUT_S = 60.0


class ScheduledFault(msgspec.Struct, frozen=True):
    """One fault of a schedule.

    :param delay_s: seconds from the end of the previous fault to the start of this one.
    :param duration_s: duration of the fault in seconds.
    """

    delay_s: float
    duration_s: float
    injection: Injection


def schedule(seed: int, seconds: float) -> list[ScheduledFault]:
    """Return the faults of a run, which depend only on the arguments."""
    rng = random.Random(seed)
    events: list[ScheduledFault] = []
    remaining_s = seconds
    while remaining_s > 0:
        injection = rng.choice(FAULTS)
        duration_s = round(rng.uniform(0.2, max(injection.duration_s, MAX_DURATION_S)), 2)
        delay_s = round(rng.uniform(0.0, MAX_GAP_S), 2)
        events.append(ScheduledFault(delay_s, duration_s, injection))
        remaining_s -= duration_s + delay_s
    return events


def soak(world: World, seed: int, seconds: float) -> list[str]:
    """Execute one run and return all failures."""
    world.results = Results()
    stop = threading.Event()
    threads = [
        threading.Thread(target=_call_loop, args=(world, seed + n, stop)) for n in range(CALLERS)
    ]
    threads.append(threading.Thread(target=_operator_loop, args=(world, seed, stop)))
    for thread in threads:
        thread.start()
    try:
        for fault in schedule(seed, seconds):
            _inject(world, fault)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    try:
        _recover(world)
    except TimeoutError as error:
        world.results.check(False, str(error).splitlines()[0])
    return world.results.find_failures(world.runs()) + broken_invariants(world.site)


def _inject(world: World, fault: ScheduledFault) -> None:
    time.sleep(fault.delay_s)
    fault.injection.begin(world)
    try:
        time.sleep(fault.duration_s)
    finally:
        fault.injection.end(world)


def _call_loop(world: World, seed: int, stop: threading.Event) -> None:
    rng = random.Random(seed)
    while not stop.wait(rng.uniform(0.0, 0.1)):
        job = _a_job(world, rng)
        for gateway in _gateways(world, job, rng):
            world.send(job, gateway)


def _a_job(world: World, rng: random.Random) -> Job:
    service = rng.choice(SERVICES[:2])
    keyed = rng.random() < KEYED_SHARE
    job = world.job(
        service,
        idempotent=not keyed and rng.random() < 0.5,
        run_s=rng.choice((0.01, 0.01, 0.05, 0.5)),
        answer_bytes=rng.choice((0, 0, 0, 2_000_000)),
    )
    return msgspec.structs.replace(job, key=f"key-{job.name}") if keyed else job


def _gateways(world: World, job: Job, rng: random.Random) -> Iterator[str]:
    yield rng.choice(world.site.gateways)
    if job.key:
        for _ in range(rng.randint(0, 2)):
            yield rng.choice(world.site.gateways)


def _operator_loop(world: World, seed: int, stop: threading.Event) -> None:
    """Edit lists and declare and cancel stops through random controllers, ignoring the answers."""
    rng = random.Random(f"{seed}-operators")
    hosts = [host.id for host in world.site.spec.hosts]
    while not stop.wait(rng.uniform(0.5, 3.0)):
        controller = rng.choice(world.site.controllers)
        host = rng.choice(hosts)
        match rng.randrange(3):
            case 0:
                world.apply(round(rng.uniform(10.0, 30.0), 3), controller)
            case 1:
                body = {"id": f"stop-{host}", "hosts": [host], "reason": "soak"}
                world.request_as_operator("POST", "/v1/stops", body, controller)
            case _:
                world.request_as_operator("DELETE", f"/v1/stops/stop-{host}", controller=controller)


def _recover(world: World) -> None:
    """Cancel all stops and wait until hosts are back, controllers agree and jobs run again."""
    world.site.wait_until(lambda: _cancel_stops(world), "stops to be cancelled", RECOVERY_TIMEOUT_S)
    world.site.wait_until(world.has_all_hosts, "all owed hosts to serve", RECOVERY_TIMEOUT_S)
    world.wait_until_recovered()
    revisions = lambda: {world.revision_at(name) for name in world.site.controllers}  # noqa: E731
    world.site.wait_until(lambda: len(revisions()) == 1, "controllers to agree", RECOVERY_TIMEOUT_S)


def _cancel_stops(world: World) -> bool:
    status, found = world.request_as_operator("GET", "/v1/config")
    if status != 200 or not found["fresh"]:
        return False
    for stop in found["document"].get("stops", []):
        world.request_as_operator("DELETE", f"/v1/stops/{stop['id']}")
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
    first_seed = arguments.seed if arguments.seed is not None else time.time_ns() % 1_000_000
    failed = 0
    # On SIGTERM, exit through the context manager so that the processes of the site are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for seed in range(first_seed, first_seed + arguments.runs):
        with Site(a_site(relayed=True)) as site:
            world = World(site)
            world.bring_up()
            failures = soak(world, seed, arguments.seconds)
            line = {"seed": seed, "seconds": arguments.seconds, "answers": world.results.counts()}
            print(json.dumps(line | {"wrong": failures[:10]}), flush=True)
            if failures and arguments.logs:
                _keep_logs(site, arguments.logs / str(seed))
            world.close()
        failed += bool(failures)
    print(f"{arguments.runs - failed} runs passed, {failed} failed")
    return 1 if failed else 0


def _keep_logs(site: Site, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in site.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())


if __name__ == "__main__":
    sys.exit(main())
