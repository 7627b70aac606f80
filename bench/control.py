"""Cost of an idle process, by the size of its zone and the number of zones.

Run as ``python -m bench.control [--seconds S]``. Real processes on loopback, no jobs, no hosts;
processor time and memory are read from /proc, bytes of the inner protocol from statsd.
"""

import argparse
import os
import socket
import statistics
import time
from pathlib import Path

from bench import figure
from standins.site import Site, SiteSpec

__all__ = ["main"]

SHAPES = ((1, 1), (1, 4), (1, 8), (1, 16), (4, 2), (11, 2))
"""Number of zones, and of entry hosts in each."""
SETTLE_S = 4.0


def main() -> None:
    """Measure every shape and print one line per figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="length of one measurement")
    seconds = parser.parse_args().seconds
    for zones, entry_hosts in SHAPES:
        measure(zones, entry_hosts, seconds)


def measure(zones: int, entry_hosts: int, seconds: float) -> None:
    """Measure one shape."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        sink.setblocking(False)
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        statsd = {"statsd": f"127.0.0.1:{sink.getsockname()[1]}"}
        spec = SiteSpec(zones, entry_hosts, (), gateway=statsd, controller=statsd)
        with Site(spec) as site:
            time.sleep(SETTLE_S)
            drain(sink)
            before = {name: cpu_s(p.pid) for name, p in site.processes_by_name.items()}
            time.sleep(seconds)
            for role, names in (("controller", site.controllers), ("gateway", site.gateways)):
                used = [cpu_s(site.processes_by_name[n].pid) - before[n] for n in names]
                memory = [resident_bytes(site.processes_by_name[n].pid) for n in names]
                context = {"role": role, "zones": zones, "entry_hosts": entry_hosts}
                share = 100 * statistics.mean(used) / seconds
                figure("control", "cpu_share", round(share, 3), "percent", **context)
                max_share = 100 * max(used) / seconds
                figure("control", "cpu_share_max", round(max_share, 3), "percent", **context)
                figure("control", "resident", round(max(memory) / 1e6, 1), "MB", **context)
            for stat, rate in rates(drain(sink), seconds).items():
                figure("control", stat, rate, "B/s", zones=zones, entry_hosts=entry_hosts)


def drain(sink: socket.socket) -> list[str]:
    """Return the statsd lines received since the last call."""
    lines: list[str] = []
    while True:
        try:
            lines += sink.recv(65536).decode().splitlines()
        except BlockingIOError:
            return lines


def rates(lines: list[str], seconds: float) -> dict[str, float]:
    """Return mean inner bytes a second of one process, by role and direction."""
    totals: dict[str, float] = {}
    processes: dict[str, set[str]] = {}
    for line in lines:
        name, _, value = line.partition(":")
        parts = name.split(".")
        if parts[-1] in ("bytes_sent", "bytes_received"):
            role = "controller" if parts[1].startswith("ct") else "gateway"
            key = f"{role}_{parts[-1]}"
            totals[key] = totals.get(key, 0.0) + float(value.split("|")[0])
            processes.setdefault(key, set()).add(parts[1])
    return {k: round(total / len(processes[k]) / seconds, 1) for k, total in totals.items()}


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


if __name__ == "__main__":
    main()
