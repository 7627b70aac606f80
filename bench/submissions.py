"""Calls to the store and answer times of submitted jobs, calm and in a burst, by number of pools.

Run as ``python -m bench.submissions [--hosts N] [--pools N ...] [--bursts N]``. Real entry hosts on
the stand-in of the users' platform, whose store answers after some milliseconds.
"""

import argparse
import itertools
import statistics
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec

from bench import figure
from standins._http import Call
from standins.users_platform import UsersPlatform
from tests.platform.site import EntrySite

__all__ = ["main"]

STORE_LATENCY_S = 0.004
TASK_S = 0.05
JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}]}
OK = 200
CALM_JOBS = 80
CALM_INTERVAL_S = 0.05
BURST_JOBS = 240
BURST_CALLERS = 80
PAUSE_S = 1.5
QUERIES = 20


class _CountingSite:
    """Entry hosts, and a store that counts the calls that submitted jobs and queries cause."""

    def __init__(self, hosts: int, pools: int) -> None:
        self.platform = UsersPlatform(TASK_S)
        self.calls: Counter[str] = Counter()
        serve = self.platform.store.serve

        def count_and_serve(call: Call) -> None:
            self._count(call)
            time.sleep(STORE_LATENCY_S)
            serve(call)

        self.platform.store.serve = count_and_serve  # type: ignore[method-assign]
        self.names = [f"pool{n}" for n in range(pools)]
        self.site = EntrySite(self.platform, hosts)
        self._ids = itertools.count(1)

    def start(self) -> None:
        for pool in self.names[:3]:
            for _ in range(2):
                self.platform.add_host(pool)
        self.platform.configure(1, {f"/{pool}/": pool for pool in self.names})
        if not self.site.start_all():
            raise TimeoutError("not all entry hosts became ready")
        time.sleep(2 * PAUSE_S)

    def close(self) -> None:
        self.site.close()
        self.platform.close()

    def _count(self, call: Call) -> None:
        if call.path == "/kv-key":
            self.calls["reads"] += 1
        elif call.path == "/kv-txn":
            writes = msgspec.json.decode(call.body)["writes"]
            self.calls["commits"] += any(write["key"].startswith("in/") for write in writes)

    def submit(self, number: int) -> float:
        """Submit a job; return the seconds until it was accepted."""
        hosts = list(self.site.settings)
        pool = self.names[number % 3]
        began = time.monotonic()
        path = f"/{pool}/{next(self._ids):016x}"
        status = self.site.submit(hosts[number % len(hosts)], path, JOB)
        if status != OK:
            raise RuntimeError(f"a job was answered {status}")
        return time.monotonic() - began


def _report(site: _CountingSite, how: str, seconds: list[float], **context: object) -> None:
    context = {"how": how, "pools": len(site.names), "jobs": len(seconds), **context}
    cuts = statistics.quantiles(seconds, n=100, method="inclusive")
    for name, value in (("p50", cuts[49]), ("p99", cuts[98])):
        figure("submissions", name, round(value * 1000, 1), "ms", **context)
    commits = site.calls["commits"] / len(seconds)
    figure("submissions", "commits_per_job", round(commits, 3), "", **context)
    figure("submissions", "reads_per_job", site.calls["reads"] / len(seconds), "", **context)


def _measure(hosts: int, pools: int, bursts: int) -> None:
    site = _CountingSite(hosts, pools)
    try:
        site.start()
        site.calls.clear()
        seconds = []
        for number in range(CALM_JOBS):
            seconds.append(site.submit(number))
            time.sleep(CALM_INTERVAL_S)
        _report(site, "calm", seconds)
        for _ in range(bursts):
            time.sleep(PAUSE_S)
            site.calls.clear()
            with ThreadPoolExecutor(BURST_CALLERS) as callers:
                seconds = list(callers.map(site.submit, range(BURST_JOBS)))
            _report(site, "burst", seconds, callers=BURST_CALLERS)
        site.calls.clear()
        for number in range(QUERIES):
            site.site.state("front-0", f"/pool0/{number:08x}ffffffff")
        reads = site.calls["reads"] / QUERIES
        figure("submissions", "reads_per_unknown_job", reads, "", pools=pools)
    finally:
        site.close()


def main() -> None:
    """Measure and print one line per figure."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--pools", type=int, nargs="+", default=[3, 52])
    parser.add_argument("--bursts", type=int, default=3)
    options = parser.parse_args()
    for pools in options.pools:
        _measure(options.hosts, pools, options.bursts)


if __name__ == "__main__":
    main()
