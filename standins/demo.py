"""``make demo``: runs a small site from an empty platform to a planned stop and checks it."""

import hashlib
import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from typing import Any

import urllib3

from standins.demo_caps import CapDemo
from standins.site import Site
from standins.sites import BRAILLE_SERVICES, braille_site, lists, token

__all__ = ["main"]

CALLERS = 8
JOBS_PER_CALLER = 25
LONG_JOB_S = 6.0
KEYED_ATTEMPTS = 5
VOLUME_BYTES = 4 * 1024 * 1024


class Demo:
    """The steps of the demonstration; failed checks are collected in ``failures``."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.folder = site.folder / "lists"
        self.failures: list[str] = []
        self.http = urllib3.PoolManager(num_pools=10, maxsize=32, retries=False)

    def run(self) -> None:
        """Run all steps in order."""
        self.apply_lists()
        self.wait_for_hosts()
        self.send_from_many_callers()
        self.send_with_key()
        self.send_wrong_token()
        self.send_volume()
        self.stop_host_under_long_job()
        self.edit_lists()
        self.end_cleanly()
        self.reach_a_cap()

    def apply_lists(self) -> None:
        """Write and apply the lists of plans and entitlements."""
        plans, entitlements = lists(BRAILLE_SERVICES, 6)
        self.folder.mkdir()
        (self.folder / "plans.json").write_text(json.dumps(plans))
        (self.folder / "entitlements.json").write_text(json.dumps(entitlements))
        started = time.monotonic()
        self.ctl("config", "apply", str(self.folder), "--wait", "20")
        print_line(f"lists applied and in force everywhere in {time.monotonic() - started:.1f} s")

    def wait_for_hosts(self) -> None:
        """Wait until each pool has its owed hosts in service."""
        started = time.monotonic()
        self.site.wait_until(self.pools_are_full, "owed hosts")
        self.site.wait_ready()
        pools = {p["pool"]: p["serving"] for p in self.status()["pools"]}
        print_line(f"owed hosts given in {time.monotonic() - started:.1f} s: {pools}")

    def send_from_many_callers(self) -> None:
        """Send short jobs of every service through every gateway."""
        started = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            counts = list(pool.map(self.send_caller_jobs, range(CALLERS)))
        elapsed = time.monotonic() - started
        self.check(sum(counts) == CALLERS * JOBS_PER_CALLER, f"answers right: {counts}")
        print_line(f"{sum(counts)} jobs of {CALLERS} callers answered whole in {elapsed:.1f} s")

    def send_caller_jobs(self, caller: int) -> int:
        """Send the jobs of one caller; return how many answers were correct."""
        correct = 0
        for n in range(JOBS_PER_CALLER):
            service = BRAILLE_SERVICES[(caller + n) % len(BRAILLE_SERVICES)]
            body = f"page {n} of caller {caller}".encode()
            answer = self.post(service, "/translate", body, gateway=caller)
            correct += answer.status == 200 and is_answer_for(body, answer.json())
        return correct

    def send_with_key(self) -> None:
        """Send one job with an idempotency key through every gateway; it must run only once."""
        headers = {"Idempotency-Key": "demo-emboss-1", "Standin-Job": "emboss-1"}
        answers = [
            self.post_until_settled("library", "/emboss", b"volume 1", n, headers)
            for n, _ in enumerate(self.site.gateways)
        ]
        runs = [run for _, run in self.site.all_runs() if run["job"] == "emboss-1"]
        self.check(all(answer.status == 200 for answer in answers), "keyed job answered twice")
        self.check(len(runs) == 1, f"keyed job ran {len(runs)} times")
        self.check(answers[0].data == answers[1].data, "both callers got the same answer")
        print_line(f"one keyed job sent through {len(answers)} gateways ran {len(runs)} time(s)")

    def send_wrong_token(self) -> None:
        """Send a job with a token that names no plan."""
        answer = self.post("library", "/emboss", b"x", headers={"Authorization": "Bearer no"})
        problem = answer.json()
        self.check(answer.status in (401, 403), f"wrong token: status {answer.status}")
        self.check(problem.get("outcome") == "not_run", f"wrong token: {problem}")
        print_line(
            f"a wrong token is refused with {answer.status}, outcome {problem.get('outcome')}"
        )

    def send_volume(self) -> None:
        """Send and receive a large body."""
        body = bytes(range(256)) * (VOLUME_BYTES // 256)
        headers = {"Standin-Answer-Bytes": str(VOLUME_BYTES)}
        answer = self.post("library", "/translate", body, headers=headers)
        self.check(len(answer.data) == VOLUME_BYTES, f"volume of {len(answer.data)} bytes")
        print_line(f"a volume of {VOLUME_BYTES >> 20} MiB went in and came back whole")

    def stop_host_under_long_job(self) -> None:
        """Declare a planned stop of a host while it runs a long job."""
        result: dict[str, Any] = {}
        caller = threading.Thread(target=self.send_long_job, args=(result,))
        caller.start()
        host = self.site.wait_until(self.host_of_long_job, "the long job's start")
        declared = time.monotonic()
        self.ctl("stop", "declare", "demo-stop", "--host", host, "--reason", "new memory")
        print_line(f"planned stop of {host} declared while it runs a job of {LONG_JOB_S:.0f} s")
        caller.join()
        answer = result["answer"]
        whole = answer.status == 200 and is_answer_for(b"long volume", answer.json())
        self.check(whole, f"long job: status {answer.status}")
        print_line(f"the long job was answered whole by {answer.json().get('host')}")
        self.site.wait_until(lambda: self.phase(host) == "stopped", f"{host} to be released")
        print_line(f"{host} was released {time.monotonic() - declared:.1f} s after the declaration")
        self.check(self.count_starts_after(host, result["done"]) == 0, "a job began on the host")

    def send_long_job(self, result: dict[str, Any]) -> None:
        """Send one long job and keep its answer."""
        headers = {"Standin-Job": "long-1", "Standin-Run-S": str(LONG_JOB_S)}
        result["answer"] = self.post("library", "/emboss", b"long volume", headers=headers)
        result["done"] = time.time()

    def host_of_long_job(self) -> str | None:
        """Return the host that runs the long job, or ``None`` if it has not started."""
        for host, run in self.site.all_runs():
            if run["job"] == "long-1":
                return host
        return None

    def phase(self, host: str) -> str:
        """Return the phase of a host as reported to operators."""
        rows = json.loads(self.site.ctl("hosts", "--json").stdout)
        rows = rows.get("hosts", rows) if isinstance(rows, dict) else rows
        return next((row["phase"] for row in rows if row["id"] == host), "absent")

    def count_starts_after(self, host: str, when: float) -> int:
        """Return how many jobs started on a host later than ``when``."""
        return sum(
            1 for name, run in self.site.all_runs() if name == host and run["started"] > when
        )

    def edit_lists(self) -> None:
        """Change a plan and wait until the change is in force."""
        self.ctl("config", "show", "--to", str(self.folder))
        plans = json.loads((self.folder / "plans.json").read_text())
        plans[0]["start_within_s"] = 12.0
        (self.folder / "plans.json").write_text(json.dumps(plans))
        started = time.monotonic()
        self.ctl("config", "apply", str(self.folder), "--wait", "20")
        print_line(f"an edited plan was in force everywhere in {time.monotonic() - started:.1f} s")
        rows = self.site.ctl("audit").stdout.strip().splitlines()
        print_line("audit trail:")
        for row in rows[-4:]:
            print_line(f"  {row}")

    def end_cleanly(self) -> None:
        """Stop every process gracefully and check its exit code."""
        for name in self.site.gateways + self.site.controllers:
            code = self.site.stop(name)
            self.check(code == 0, f"{name} ended with {code}")
        print_line("all processes drained and ended")

    def reach_a_cap(self) -> None:
        """Submit a job that is larger than its workspace's cap, on the users' platform."""
        with closing(CapDemo(self.site.folder)) as demo:
            demo.start()
            self.check(demo.submit() == 200, "the job of a workspace with a cap was not accepted")
            print_line("a workspace at its cap, as lentilrillctl shows it:")
            for line in demo.lines_at_cap():
                print_line(f"  {line}")
            excess = demo.finish()
            self.check(not excess, f"starts above the cap: {excess}")
            print_line(f"its job is completed; {len(excess)} starts above the cap")
            code = demo.stop()
            self.check(code == 0, f"the entry host ended with {code}")

    # Helpers

    def post(
        self,
        service: str,
        path: str,
        body: bytes,
        gateway: int = 0,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a job as a caller would."""
        names = self.site.gateways
        address = self.site.caller_address(names[gateway % len(names)])
        defaults = {"Authorization": f"Bearer {token(service)}", "Prefer": "wait=20"}
        return self.http.request(
            "POST",
            f"http://{address}/{service}{path}",
            body=body,
            headers=defaults | (headers or {}),
            timeout=40.0,
        )

    def post_until_settled(
        self, service: str, path: str, body: bytes, gateway: int, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        """Send a job with an idempotency key, and retry after the time in ``Retry-After``.

        The first answer may arrive before the outcome of the key is stored on the platform; a
        repeat in between is answered that the job is in progress.
        """
        for _ in range(KEYED_ATTEMPTS):
            answer = self.post(service, path, body, gateway, headers)
            if answer.status not in (409, 503):
                break
            time.sleep(float(answer.headers.get("Retry-After", "1")))
        return answer

    def status(self) -> dict[str, Any]:
        """Return the status as reported to operators."""
        found: dict[str, Any] = json.loads(self.site.ctl("status", "--json").stdout)
        return found

    def pools_are_full(self) -> bool:
        """Return whether every pool has its owed hosts in service."""
        pools = self.status().get("pools", [])
        return len(pools) == len(BRAILLE_SERVICES) and all(
            pool["serving"] >= pool["owed"] for pool in pools
        )

    def ctl(self, *arguments: str) -> None:
        """Run a ``lentilrillctl`` command and check that it succeeds."""
        result = self.site.ctl(*arguments)
        self.check(result.returncode == 0, f"{arguments}: {result.stdout}{result.stderr}")

    def check(self, condition: bool, failure: str) -> None:
        """Record ``failure`` unless ``condition`` is true."""
        if not condition:
            self.failures.append(failure)
            print_line(f"FAILED: {failure}")


def is_answer_for(body: bytes, answer: dict[str, Any]) -> bool:
    """Return whether an endpoint's answer belongs to ``body``."""
    return answer.get("sha256") == hashlib.sha256(body).hexdigest()


def print_line(text: str) -> None:
    """Print one line of the summary."""
    print(text, flush=True)


def main() -> int:
    """Run the demonstration; return 0 if every check passed."""
    started = time.monotonic()
    with Site(braille_site(zones=2, entry_hosts=1)) as site:
        print_line(f"{len(site.processes_by_name)} processes: 2 zones, 30 hosts in 5 pools")
        demo = Demo(site)
        try:
            demo.run()
        except TimeoutError as error:
            demo.check(False, str(error))
    print_line(
        f"{'passed' if not demo.failures else 'failed'} after {time.monotonic() - started:.0f} s"
    )
    return 0 if not demo.failures else 1


if __name__ == "__main__":
    sys.exit(main())
