"""One gateway process against a bare proxy: throughput and added latency.

Run as ``python -m bench.gateway [--seconds S] [--rounds N]``. Endpoints, gateway, proxy, platform
and callers are separate processes on loopback; jobs take no time. The variants are measured in
turn, so that other load on the machine affects all of them.
"""

import argparse
import contextlib
import json
import statistics
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from bench import figure
from standins.site import HostSpec, Site, SiteSpec
from standins.sites import lists, token

__all__ = ["main", "one_gateway_site"]

HOSTS = 6
SERVICE = "schools"
HEADERS = (f"Authorization=Bearer {token(SERVICE)}", "Standin-Run-S=0")
CASES = (("GET", 1), ("GET", 4), ("GET", 16), ("POST", 16))


def main() -> None:
    """Measure every case and print one line per figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="length of one measurement")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--method", choices=("GET", "POST"), help="only these cases")
    arguments = parser.parse_args()
    with (
        one_gateway_site() as site,
        bare_proxy(site, "kept", 90) as proxy,
        bare_proxy(site, "new", 91) as proxy_new,
    ):
        addresses_by_variant = {
            "direct": site.endpoint_address(site.spec.hosts[0]),
            "bare": proxy,
            "bare_new": proxy_new,
            "gateway": site.caller_address(site.gateways[0]),
        }
        for method, callers in CASES:
            if arguments.method not in (None, method):
                continue
            measure(addresses_by_variant, method, callers, arguments.seconds, arguments.rounds)


@contextlib.contextmanager
def one_gateway_site(**gateway: Any) -> Iterator[Site]:
    """Yield a site of one zone, one gateway and one service, ready to serve."""
    hosts = tuple(HostSpec(f"w{n}", 1, f"r{n % 2}") for n in range(HOSTS))
    with Site(SiteSpec(1, 1, hosts, gateway=gateway)) as site:
        plans, entitlements = lists((SERVICE,), HOSTS)
        folder = site.folder / "lists"
        folder.mkdir()
        (folder / "plans.json").write_text(json.dumps(plans))
        (folder / "entitlements.json").write_text(json.dumps(entitlements))
        site.ctl("config", "apply", str(folder), "--no-wait")
        site.wait_ready()
        site.wait_until(
            lambda: all(has_run_job(site, host) for host in hosts), "all hosts to serve"
        )
        yield site


def has_run_job(site: Site, host: HostSpec) -> bool:
    """Send a job, and return whether ``host`` has run any job so far."""
    headers = dict(pair.split("=", 1) for pair in HEADERS)
    url = f"http://{site.caller_address(site.gateways[0])}/{SERVICE}/x"
    site.http.request("GET", url, headers=headers, timeout=15.0)
    return bool(site.runs_of(host))


@contextlib.contextmanager
def bare_proxy(site: Site, connections: str, number: int) -> Iterator[str]:
    """Yield the address of a bare proxy to the site's endpoints."""
    address = site.address(1, number, 8080)
    endpoints = [site.endpoint_address(host) for host in site.spec.hosts]
    process = subprocess.Popen(
        [sys.executable, "-m", "bench._bare_proxy", address, connections, *endpoints]
    )
    try:
        site.wait_answer(address, "/standin/record")
        yield address
    finally:
        process.kill()
        process.wait()


def measure(
    addresses_by_variant: dict[str, str], method: str, callers: int, seconds: float, rounds: int
) -> None:
    """Measure each variant in turn and print rates, ratios and added latencies."""
    results_by_variant: dict[str, list[dict[str, float]]] = {
        variant: [] for variant in addresses_by_variant
    }
    for _ in range(rounds):
        for variant, address in addresses_by_variant.items():
            results_by_variant[variant].append(drive(address, method, callers, seconds, HEADERS))
    medians = {
        variant: {
            name: statistics.median(results[name] for results in rounds_of_variant)
            for name in rounds_of_variant[0]
        }
        for variant, rounds_of_variant in results_by_variant.items()
    }
    case = {"method": method, "callers": callers}
    for variant, results in medians.items():
        figure("gateway", f"rate_{variant}", round(results["rate"]), "1/s", **case)
        if results["failed"]:
            figure("gateway", f"failed_{variant}", results["failed"], "requests", **case)
    for base in ("bare", "bare_new"):
        ratio = medians["gateway"]["rate"] / medians[base]["rate"]
        figure("gateway", f"rate_ratio_to_{base}", round(ratio, 3), "1", **case)
    for name in ("p50_ms", "p99_ms"):
        for base in ("direct", "bare"):
            added = medians["gateway"][name] - medians[base][name]
            figure("gateway", f"added_{name}_over_{base}", round(added, 2), "ms", **case)


def drive(
    address: str, method: str, callers: int, seconds: float, headers: tuple[str, ...]
) -> dict[str, float]:
    """Run the load generator once and return its results."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench._driver",
            address,
            f"/{SERVICE}/x",
            str(callers),
            str(seconds),
            method,
            *headers,
        ],
        capture_output=True,
        text=True,
        check=True,
        timeout=seconds + 60,
    )
    results: dict[str, float] = json.loads(done.stdout)
    return results


if __name__ == "__main__":
    main()
