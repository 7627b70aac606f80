"""Entry hosts as processes with the command of the deploy file, and a client of their jobs."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from platform2 import Record, World, free_network

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("holyoke", "amherst", "westfield")
HOST = "pule25.example"
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


class Site:
    """A platform with entry hosts, started from the deploy file."""

    def __init__(self, hosts=3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="lentilrill-review-"))
        prefix = free_network()
        self.world = World(self.record, prefix)
        self.processes, self._all = {}, []
        self.settings = {}
        for number in range(hosts):
            ip = f"{prefix}{number + 1}"
            self.settings[f"front-{number + 1}"] = {
                "process": f"front-{number + 1}",
                "zone": ZONES[number % 3],
                "callers": f"{ip}:8624",
                "readiness": f"{ip}:8622",
                "inner": f"{ip}:7060",
                "metrics": f"{ip}:9464",
                "store": {"address": self.world.store_address},
                "hosts_api": self.world.cloud_address,
                "host_orders_per_s": 64.0,
                "advice": self.world.advice_address,
                "grace_s": 6,
                "limits": LIMITS,
            }
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._command = tomllib.load(file)["roles"]["entry"]["run"].split()

    def start(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "LENTILRILL_CONFIG": str(path)}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes[name] = process
        self._all.append(process)
        self.record(f"entry host {name} starts, pid {process.pid}")

    def start_all(self, pools):
        """Start all entry hosts and wait until they are ready and the pools have owners."""
        for name in self.settings:
            self.start(name)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            ready = all(self.is_ready(name) for name in self.settings)
            if ready and all(self.world.owner_of(pool) for pool in pools):
                self.record(f"ready; owners {[(p, self.world.owner_of(p)) for p in pools]}")
                return
            time.sleep(0.1)
        raise RuntimeError("the entry hosts did not become ready")

    def kill(self, name):
        self.record(f"DISRUPTION SIGKILL of {name}")
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def freeze(self, name):
        self.record(f"DISRUPTION {name} freezes (SIGSTOP)")
        self.processes[name].send_signal(signal.SIGSTOP)

    def wake(self, name):
        self.record(f"{name} wakes (SIGCONT)")
        self.processes[name].send_signal(signal.SIGCONT)

    def is_ready(self, name):
        try:
            return self._exchange(self.settings[name]["readiness"], "GET", "/readiness")[0] == 200
        except OSError:
            return False

    def listens(self, name):
        """Return whether an entry host takes connections of clients."""
        host, _, port = self.settings[name]["callers"].rpartition(":")
        try:
            socket.create_connection((host, int(port)), 0.2).close()
        except OSError:
            return False
        return True

    def close(self, folder, verdict):
        for process in self._all:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.world.close()
        self.record(verdict)
        self.record.write(folder / "record.txt")
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Client

    def submit(self, hosts, prefix, body, work_s, tries=5):
        """Hand a job in as clients do, with one id at several hosts; return its id, if accepted."""
        job = f"{random.getrandbits(64):016x}"
        self.world.jobs[job], self.world.work_s[job] = body, work_s
        for number in range(tries):
            status, _ = self.ask(hosts[number % len(hosts)], "POST", prefix + job, body)
            if status == 200:
                return job
            time.sleep(0.5)
        return None

    def ask(self, name, method, path, body=None, timeout_s=3.0):
        """Send one request; return the status and the body, or 0 if there was no answer."""
        try:
            status, answer = self._exchange(
                self.settings[name]["callers"], method, path, body, timeout_s
            )
        except (OSError, http.client.HTTPException):
            status, answer = 0, {}
        self.record(f"CLIENT {method} {path} at {name}: {status} {json.dumps(answer)}")
        return status, answer

    @staticmethod
    def _exchange(address, method, path, body=None, timeout_s=3.0):
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            data = json.dumps(body) if body is not None else None
            headers = {
                "Host": HOST,
                "Content-Type": "application/json",
                "Deadline-Ms": str(int(timeout_s * 1000)),
            }
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            raw = answer.read()
            try:
                return answer.status, json.loads(raw)
            except ValueError:
                return answer.status, {}
        finally:
            connection.close()


def wait_until(condition, timeout_s, pause_s=0.02):
    """Wait until a condition holds; return whether it does."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(pause_s)
    return False


def twice(runs):
    """Return a line for each task that was started after a run of it had ended done.

    The end counts if the system took note of it then or later (``ack_cursor`` reached it), unless
    the lease of the minion lapsed between the two.
    """
    found = []
    done = {}
    for run in runs:
        if run.how == "done" and run.noted is not None and not run.outdated:
            done.setdefault(run.task, run)
    for run in runs:
        first = done.get(run.task)
        if first is not None and run is not first and run.began > first.ended:
            found.append(
                f"TWICE {run.task}: run {first.number} on {first.minion.name} ended done, "
                f"run {run.number} started on {run.minion.name} {run.began - first.ended:.2f} s "
                f"later; the first end was noted {first.noted - first.ended:.2f} s after it"
            )
    return found
