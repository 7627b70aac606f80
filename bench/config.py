"""Seconds until a changed configuration is in force everywhere, and what changes cost.

Run as ``python -m bench.config [--changes N] [--rate R] [--seconds S] [--services N]
[--cut-zone Z]``. Real processes on loopback: 7 entry hosts in 4 zones, each with a gateway and a
controller. Edits are sent to the controllers in turn; a process has one in force when it logs event
501. More services make a larger document: 50 give about the size of the target. A zone that is
isolated from the platform receives edits from the other zones.
"""

import argparse
import json
import re
import socket
import statistics
import time
from typing import Any

from bench import figure
from bench.control import cpu_s, drain, rates, resident_bytes
from standins.site import OPERATOR_TOKEN, Site, SiteSpec
from standins.sites import BRAILLE_SERVICES, lists

__all__ = ["main"]

ZONES, ENTRY_HOSTS_PER_ZONE = 4, 2
EXCLUDED_PROCESSES = frozenset({"gw-4-2", "ct-4-2"})
"""Not started, which leaves 7 entry hosts."""
CHANGES_PER_DAY = 3000
DAY_S = 86_400
SETTLE_S = 5.0
IN_FORCE = re.compile(rb'^{"at":([\d.]+),.*"id":501,.*"revision":(\d+)', re.MULTILINE)
IN_FORCE_TIMEOUT_S = 15.0


class EditedSite:
    """A running site whose configuration is edited."""

    def __init__(self, site: Site, services: int) -> None:
        self.site = site
        self.processes = [
            n for n in site.controllers + site.gateways if n not in EXCLUDED_PROCESSES
        ]
        self.controllers = [n for n in self.processes if n.startswith("ct")]
        names = BRAILLE_SERVICES if services == 5 else tuple(f"s{n:03d}" for n in range(services))
        self.plans, self.entitlements = lists(names, 6)
        self.revision = 0
        self.edits = 0
        self.cut: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start the stand-ins and all processes except those left out."""
        self.site.start_standins()
        self.site.publish_hosts(frozenset({"entry-4-2"}))
        for name in self.processes:
            self.site.start(name)
        for name in self.controllers:
            address = self.site.operator_address(name)
            self.site.wait_until(lambda a=address: self.site._responds(a, "/healthz"), name)
        time.sleep(SETTLE_S)

    def cut_off(self, zone: int) -> None:
        """Isolate a zone from the platform, but not from the other zones."""
        self.edit()
        self.site.set_faults(self.site.control_address, cut=[self.site.platform_address(zone)])
        self.cut = frozenset(n for n in self.controllers if n.startswith(f"ct-{zone}-"))
        time.sleep(SETTLE_S)

    def edit(self) -> tuple[float, int]:
        """Send an edit to the next controller; return the time of sending and the new revision."""
        self.edits += 1
        self.plans[0]["start_within_s"] = 5.0 + self.edits % 1000
        body = {"base": self.revision, "plans": self.plans, "entitlements": self.entitlements}
        reachable = [name for name in self.controllers if name not in self.cut]
        address = self.site.operator_address(reachable[self.edits % len(reachable)])
        sent = time.time()
        answer: dict[str, Any] = self.site.request_json(
            "PUT", address, "/v1/config", body, Authorization=f"Bearer {OPERATOR_TOKEN}"
        )
        if "revision" not in answer or answer.get("verdict") != "accepted":
            raise RuntimeError(f"edit {self.edits} was not accepted: {json.dumps(answer)}")
        self.revision = answer["revision"]
        return sent, self.revision

    def in_force_times(self, revision: int) -> dict[str, float]:
        """Return when each process first had ``revision`` or a later one in force, if it has."""
        found: dict[str, float] = {}
        for name in self.processes:
            log = (self.site.folder / f"{name}.log").read_bytes()
            for stamp, number in IN_FORCE.findall(log):
                if int(number) >= revision:
                    found[name] = float(stamp)
                    break
        return found

    def wait_in_force(self, revision: int) -> dict[str, float]:
        """Wait until every process has ``revision`` in force; return the time for each process."""
        end = time.monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            found = self.in_force_times(revision)
            if len(found) == len(self.processes):
                return found
            if time.monotonic() > end:
                late = sorted(set(self.processes) - set(found))
                raise RuntimeError(f"revision {revision} not in force at {late}")
            time.sleep(0.05)


def main() -> None:
    """Measure and print one line per figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument(
        "--rate", type=float, default=2.0, help="changes per second while measuring their cost"
    )
    parser.add_argument("--services", type=int, default=5, help="plans and pools of the document")
    parser.add_argument("--cut-zone", type=int, default=0, help="zone to isolate from the platform")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of one measurement")
    options = parser.parse_args()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        sink.setblocking(False)
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        statsd = {"statsd": f"127.0.0.1:{sink.getsockname()[1]}"}
        site = Site(SiteSpec(ZONES, ENTRY_HOSTS_PER_ZONE, (), gateway=statsd, controller=statsd))
        try:
            bench = EditedSite(site, options.services)
            bench.start()
            if options.cut_zone:
                bench.cut_off(options.cut_zone)
            measure_propagation(bench, options.changes)
            if options.cut_zone:
                return
            size = len(json.dumps([bench.plans, bench.entitlements], separators=(",", ":")))
            figure("config", "lists", size, "bytes", services=options.services)
            measure_cost(bench, sink, options.rate, options.seconds)
        finally:
            site.close()


def measure_propagation(bench: EditedSite, changes: int) -> None:
    """Measure the seconds from sending an edit until every process has it in force."""
    in_force_s, accepted_s = [], []
    for _ in range(changes):
        began = time.monotonic()
        sent, revision = bench.edit()
        accepted_s.append(time.monotonic() - began)
        when = bench.wait_in_force(revision)
        in_force_s.append(max(when.values()) - sent)
    context = {"changes": changes, "processes": len(bench.processes), "zones": ZONES}
    context["zones_cut_off"] = int(bool(bench.cut))
    for name, values in (("accepted", accepted_s), ("in_force_everywhere", in_force_s)):
        cuts = statistics.quantiles(values, n=100, method="inclusive")
        figure("config", f"{name}_p50", round(cuts[49], 3), "s", **context)
        figure("config", f"{name}_p99", round(cuts[98], 3), "s", **context)
        figure("config", f"{name}_max", round(max(values), 3), "s", **context)


def measure_cost(bench: EditedSite, sink: socket.socket, rate: float, seconds: float) -> None:
    """Measure a controller when idle and under changes, and the cost per change."""
    rest = sample(bench, sink, 0.0, seconds)
    busy = sample(bench, sink, rate, seconds)
    changes_per_s = busy["changes"] / seconds
    for name, unit in (("cpu_share", "percent"), ("inner_bytes", "B/s"), ("resident", "MB")):
        figure("config", f"{name}_at_rest", round(rest[name], 3), unit, entry_hosts=7)
        figure(
            "config",
            f"{name}_busy",
            round(busy[name], 3),
            unit,
            changes_per_s=round(changes_per_s, 2),
        )
    for name, unit in (("cpu_share", "percent"), ("inner_bytes", "B/s")):
        slope = (busy[name] - rest[name]) / changes_per_s
        figure("config", f"{name}_slope", round(slope, 3), f"{unit} per change/s")
        scaled = slope * CHANGES_PER_DAY / DAY_S
        figure("config", f"{name}_at_3000_a_day", round(scaled, 4), f"{unit} above rest")


def sample(bench: EditedSite, sink: socket.socket, rate: float, seconds: float) -> dict[str, float]:
    """Return the mean cost of a controller over some seconds at a rate of changes."""
    pids = [bench.site.processes_by_name[name].pid for name in bench.controllers]
    drain(sink)
    before = [cpu_s(pid) for pid in pids]
    began, changes, lines = time.monotonic(), 0, []
    while time.monotonic() - began < seconds:
        if rate:
            bench.edit()
            changes += 1
        lines += drain(sink)
        pause = began + changes / rate - time.monotonic() if rate else 0.2
        time.sleep(max(0.0, pause))
    elapsed = time.monotonic() - began
    used = [cpu_s(pid) - start for pid, start in zip(pids, before, strict=True)]
    moved = rates(lines + drain(sink), elapsed)
    return {
        "cpu_share": 100 * statistics.mean(used) / elapsed,
        "inner_bytes": moved.get("controller_bytes_sent", 0.0)
        + moved.get("controller_bytes_received", 0.0),
        "resident": max(resident_bytes(pid) for pid in pids) / 1e6,
        "changes": changes * seconds / elapsed,
    }


if __name__ == "__main__":
    main()
