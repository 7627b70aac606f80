"""Processor time, threads and memory of an idle entry host, by the number of entry hosts.

Starts real processes with a stand-in for the users' platform, waits until all are ready, and
reads their resource usage from /proc over some seconds. Prints one JSON line for each size.
"""

import argparse
import json
import os
import time
from pathlib import Path
from statistics import mean

from standins.users_platform import UsersPlatform
from tests.platform.site import EntrySite

__all__ = ["main"]

SIZES = (10, 40)
SETTLE_S = 6.0
MEASUREMENT_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
QUEUES = {"/proofs/": "notices", "/books/": "library"}


def main() -> None:
    """Measure each size."""
    parser = argparse.ArgumentParser(prog="bench.rest", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    for size in parser.parse_args().sizes:
        print(json.dumps(measure(size)), flush=True)


def measure(size: int) -> dict[str, object]:
    """Return the mean and maximum cost of ``size`` entry hosts without load."""
    platform = UsersPlatform(0.1)
    platform.configure(3, QUEUES)
    for pool in QUEUES.values():
        platform.add_host(pool)
    site = EntrySite(platform, size)
    try:
        if not site.start_all():
            raise RuntimeError("not all entry hosts became ready")
        time.sleep(SETTLE_S)
        pids = [process.pid for process in site.processes.values()]
        before = [_cpu_s(pid) for pid in pids]
        began = time.monotonic()
        time.sleep(MEASUREMENT_S)
        span_s = time.monotonic() - began
        cores = [
            (_cpu_s(pid) - start_s) / span_s for pid, start_s in zip(pids, before, strict=True)
        ]
        threads = [len(list(Path(f"/proc/{pid}/task").iterdir())) for pid in pids]
        memory = [_resident_mb(pid) for pid in pids]
    finally:
        site.close()
        platform.close()
    return {
        "bench": "rest",
        "entry_hosts": size,
        "millicores": round(mean(cores) * 1000, 1),
        "millicores_most": round(max(cores) * 1000, 1),
        "threads": round(mean(threads), 1),
        "threads_most": max(threads),
        "memory_mb": round(mean(memory), 1),
    }


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB / 1024


if __name__ == "__main__":
    main()
