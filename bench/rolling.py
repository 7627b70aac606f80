"""Replacement of every entry host in turn under load: answers of callers and duration.

Run as ``python -m bench.rolling``. Real processes on loopback: 3 zones of 2 entry hosts, 30 hosts.
Callers choose among the gateways that were ready at the last probe of the load balancer. One
round drains each process before it is replaced; another kills it.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable

import urllib3

from bench import figure
from standins.demo import Demo
from standins.site import Site
from standins.sites import BRAILLE_SERVICES, braille_site, token

__all__ = ["main"]

CALLERS = 12
PROBE_INTERVAL_S = 0.5
JOB_RUN_S = "0.05"
PAUSE_BETWEEN_HOSTS_S = 1.0
ANSWER_TIMEOUT_S = 30.0


class Balancer:
    """Probes ``/readyz`` like the platform's load balancer."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.ready: list[str] = []
        self.http = urllib3.PoolManager(num_pools=50, maxsize=64, retries=False)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Probe once, then every ``PROBE_INTERVAL_S`` seconds."""
        self.probe()
        self._thread.start()

    def close(self) -> None:
        """Stop probing."""
        self._stopping.set()
        self._thread.join()

    def probe(self) -> None:
        """Probe every gateway once."""
        self.ready = [name for name in self.site.gateways if self._is_ready(name)]

    def _is_ready(self, name: str) -> bool:
        try:
            url = f"http://{self.site.caller_address(name)}/readyz"
            return self.http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _run(self) -> None:
        while not self._stopping.wait(PROBE_INTERVAL_S):
            self.probe()


class Callers:
    """Callers that send short non-idempotent jobs one after the other and count the answers."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(CALLERS)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop after the jobs in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stopping.is_set():
            outcome = self._send_one(rng)
            with self._lock:
                self.counts[outcome] += 1

    def _send_one(self, rng: random.Random) -> str:
        name = rng.choice(self.balancer.ready)
        service = rng.choice(BRAILLE_SERVICES)
        try:
            answer = self.balancer.http.request(
                "POST",
                f"http://{self.balancer.site.caller_address(name)}/{service}/emboss",
                body=b"page",
                headers={"Authorization": f"Bearer {token(service)}", "Standin-Run-S": JOB_RUN_S},
                timeout=ANSWER_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            return "connection_" + type(error).__name__
        if answer.status == 200:
            return "whole"
        return f"refused_{answer.status}_{answer.json().get('outcome')}"


def main() -> None:
    """Replace every process by draining it, then by killing it."""
    with Site(braille_site(zones=3, entry_hosts=2)) as site:
        demo = Demo(site)
        demo.apply_lists()
        demo.wait_for_hosts()
        replace_all(site, "drained", site.stop)
        replace_all(site, "killed", site.kill)


def replace_all(site: Site, method: str, end: Callable[[str], object]) -> None:
    """Replace every entry host's processes, one entry host after the other."""
    balancer = Balancer(site)
    balancer.start()
    callers = Callers(balancer)
    callers.start()
    began = time.monotonic()
    for gateway in site.gateways:
        for name in (gateway, gateway.replace("gw", "ct")):
            end(name)
            site.start(name)
        site.wait_answer(site.caller_address(gateway), "/readyz")
        time.sleep(PAUSE_BETWEEN_HOSTS_S)
    elapsed_s = time.monotonic() - began
    callers.close()
    balancer.close()
    figure(
        "rolling", "seconds", round(elapsed_s, 1), "s", how=method, entry_hosts=len(site.gateways)
    )
    total = sum(callers.counts.values())
    for outcome, count in sorted(callers.counts.items()):
        figure("rolling", outcome, count, "answers", how=method, of=total)


if __name__ == "__main__":
    main()
