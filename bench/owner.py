"""Processor time of a pool's owner for each task, in a surge of its pool.

A real owner calls simulated endpoints over HTTP, which run in another process and end each task
after a delay. The store is in memory, so the cost of calls to it is not included.
``python -m bench.owner``
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from lentilrill.execution import PoolOwner
from lentilrill.ids import EndpointId, JobId, PoolId, QueueId, RackId, Revision, ZoneId
from lentilrill.platform import HttpEndpoint
from lentilrill.telemetry import ScrapedMetrics, setup
from lentilrill.workloads import EndpointEntry, Job, Resources, Step
from tests.builders import a_configuration
from tests.fakes import FakeKeyValue

__all__ = ["main"]

DEVNULL = Path(os.devnull)
OWNER_KEY = "m/o/notices"
POOL = PoolId("notices")
PRESSURE_INTERVAL_S = 0.3
SETTLE_S = 2.0
SEED = 7
CPU_SPREAD = 0.45
DURATION_SPREAD = 0.5


class SimulatedEndpoint:
    """One endpoint, which ends each task after the seconds in the job's spec."""

    def __init__(self) -> None:
        self._started_s = time.time()
        self._runs_by_key: dict[tuple[str, int], None] = {}
        self._ended: list[list[Any]] = []
        self._cursor = 0
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                path = head.split(" ")[1]
                length = int(head.split("content-length:")[1].split("\r\n")[0])
                body = msgspec.json.decode(await reader.readexactly(length))
                answer = await self._answer(path, body)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(answer), answer)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, path: str, body: dict[str, Any]) -> bytes:
        lists: dict[str, Any] = {}
        key = (body.get("task", ""), body.get("run_id", 0))
        if path == "/run-start":
            self._runs_by_key[key] = None
            asyncio.get_running_loop().call_later(float(body["spec"]), self._end, key)
        elif path == "/run-stop":
            self._end(key, "stopped")
        elif path == "/hold":
            await self._poll(body)
            running = [[task, number, "", 100, 0.0] for task, number in self._runs_by_key]
            lists = {"running": running, "ended": self._ended}
        clock = {"clock_ms": int(1000 * (time.time() - self._started_s)) + 1, "born": 1}
        return msgspec.json.encode(clock | lists)

    async def _poll(self, body: dict[str, Any]) -> None:
        acknowledged = body.get("ack_cursor", -1)
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        if not self._ended and body.get("wait_ms"):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["wait_ms"] / 1000)

    def _end(self, key: tuple[str, int], how: str = "done") -> None:
        if key in self._runs_by_key:
            del self._runs_by_key[key]
            self._cursor += 1
            self._ended.append([self._cursor, *key, how, ""])
            self._changed.set()


async def serve_endpoints(count: int) -> None:
    """Print the ports of ``count`` endpoints as one line, and serve them."""
    servers = [
        await asyncio.start_server(SimulatedEndpoint().serve, "127.0.0.1", 0) for _ in range(count)
    ]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    await asyncio.Event().wait()


def entry(number: int, port: int) -> EndpointEntry:
    """Return an endpoint of 16 cores."""
    return EndpointEntry(
        EndpointId(f"e{number}"),
        POOL,
        f"127.0.0.1:{port}",
        ZoneId("z1"),
        Resources(16000, 32768),
        labels=(RackId(f"r{number // 20}"),),
    )


def a_job(number: int, rng: random.Random) -> Job:
    """Return a job of about 13 tasks in one or two steps."""
    seconds = min(2.0, 0.8 * rng.lognormvariate(-(DURATION_SPREAD**2) / 2, DURATION_SPREAD))
    cpu = min(4600, int(1500 * rng.lognormvariate(-(CPU_SPREAD**2) / 2, CPU_SPREAD)))
    count = rng.choice((1, 2, 2))
    steps = tuple(
        Step(
            max(1, min(32, round(rng.lognormvariate(1.9, 0.6)))),
            Resources(cpu, 2200),
            estimate_ms=int(1000 * seconds * rng.lognormvariate(0, 0.6)),
            after=(index - 1,) if index else (),
        )
        for index in range(count)
    )
    return Job(
        JobId(f"j{number:019d}"),
        QueueId("proofs"),
        POOL,
        f"{seconds:.3f}",
        steps,
        accepted_ms=int(time.time() * 1000),
        attempts=3,
    )


class Surge:
    """Submits jobs to one owner at a constant rate.

    :param ports: ports of the endpoints.
    """

    def __init__(self, ports: list[int], rate: float, seconds: float) -> None:
        self._entries = {e.id: e for e in (entry(n, port) for n, port in enumerate(ports))}
        self._rate = rate
        self._seconds = seconds
        self.metrics = ScrapedMetrics()
        self.kv = FakeKeyValue()
        token = self.kv.put(OWNER_KEY, b"owner")
        configuration = a_configuration()
        self.owner = PoolOwner(
            self.kv,
            POOL,
            Revision(token),
            OWNER_KEY,
            lambda: configuration,
            lambda pool: dict(self._entries),
            lambda listed: HttpEndpoint(listed, self.metrics),
            lambda: True,
            lambda: True,
            lambda reason: None,
            lambda: None,
            lambda: None,
            metrics=self.metrics,
        )
        self._ended = threading.Event()

    def run(self) -> dict[str, float]:
        """Return figures by name."""
        self.owner.start()
        threading.Thread(target=self._pressure_loop, daemon=True).start()
        time.sleep(SETTLE_S)
        cpu_s = time.process_time()
        jobs = self._submit_jobs()
        tracked_jobs = [self.owner._jobs.by_id[job.id] for job in jobs]
        done_jobs = sum(tracked_job.final_stored for tracked_job in tracked_jobs)
        while not all(tracked_job.final_stored for tracked_job in tracked_jobs):
            time.sleep(0.01)
        cpu_s = time.process_time() - cpu_s
        self._ended.set()
        self.owner.close()
        tasks = sum(step.count for job in jobs for step in job.steps)
        took = sorted(
            tracked_job.ended_ms / 1000 - job.accepted_ms / 1000
            for job, tracked_job in zip(jobs, tracked_jobs, strict=True)
        )
        return {
            "processor time a task, ms": 1000 * cpu_s / tasks,
            "tasks": tasks,
            "jobs done when the last came": done_jobs / len(jobs),
            "hand-in to end, half": took[len(took) // 2],
            "hand-in to end, 95 of 100": took[len(took) * 95 // 100],
        }

    def _submit_jobs(self) -> list[Job]:
        rng = random.Random(SEED)
        began = time.monotonic()
        jobs = []
        for number in range(int(self._rate * self._seconds)):
            time.sleep(max(0.0, began + number / self._rate - time.monotonic()))
            job = a_job(number, rng)
            value = msgspec.msgpack.encode(job)
            self.owner.add_job(value, self.kv.put(f"in/{POOL}/j/{job.id}", value))
            jobs.append(job)
        return jobs

    def _pressure_loop(self) -> None:
        while not self._ended.wait(PRESSURE_INTERVAL_S):
            self.owner.pressure()


def main() -> None:
    """Run one surge and print its figures as lines of JSON."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--endpoints", type=int, default=80)
    parser.add_argument("--rate", type=float, default=40.0, help="jobs a second")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--stand-in", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.stand_in:
        asyncio.run(serve_endpoints(args.stand_in))
        return
    command = [sys.executable, "-m", "bench.owner", "--stand-in", str(args.endpoints)]
    original_stdout = sys.stdout
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process, DEVNULL.open("w") as log:
        assert process.stdout is not None
        ports = json.loads(process.stdout.readline())
        # Logging is part of the cost of an owner, so it stays enabled.
        sys.stdout = log
        setup("info")
        figures = Surge(ports, args.rate, args.seconds).run()
        process.terminate()
        head = {"bench": "owner", "endpoints": args.endpoints, "rate": args.rate}
        lines = [head | {"figure": name, "value": round(figures[name], 3)} for name in figures]
        print(*map(json.dumps, lines), sep="\n", file=original_stdout, flush=True)
        # Threads of the owner and of logging still run and would write to closed files.
        os._exit(0)


if __name__ == "__main__":
    main()
