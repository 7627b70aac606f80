"""Starts entry hosts with the command of the deploy file, on the project's stand-in platform."""

import json
import os
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.loopback import LoopbackNetwork  # noqa: E402
from standins.users_platform import UsersPlatform  # noqa: E402

HOST_NAME = "braille.example"
CANNOT_RUN = 2


class Record:
    """Collects timed lines and writes them to record.txt."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self._lines = []

    def at(self, moment=None):
        return (time.monotonic() if moment is None else moment) - self._start

    def add(self, text, moment=None):
        with self._lock:
            self._lines.append((self.at(moment), text))
        print(f"{self.at(moment):8.3f} s  {text}", flush=True)

    def write(self):
        with self._lock:
            lines = sorted(self._lines, key=lambda line: line[0])
        self._path.write_text("".join(f"{at:8.3f} s  {text}\n" for at, text in lines))


class Site:
    """Entry hosts as processes, each with a loopback address of its own."""

    def __init__(self, platform, record, zones):
        self.platform = platform
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._network = LoopbackNetwork()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["entry"]["run"])
        self.settings = {}
        self.processes = {}
        for index, zone in enumerate(zones):
            self._add(f"front-{zone}-{index + 1}", zone, index + 1)

    def _add(self, name, zone, number):
        ip = self._network.address(2, number, 0).partition(":")[0]
        ports = {key: f"{ip}:{_free_port(ip)}" for key in ("callers", "readiness", "inner", "metrics")}
        # As deploy/settings.json.template renders it.
        self.settings[name] = {
            "process": name,
            "zone": zone,
            **ports,
            "store": {"address": self.platform.store_address},
            "hosts_api": self.platform.hosts_address,
            "host_orders_per_s": 64.0,
            "advice": "",
            "grace_s": 6,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
        }

    def start(self, name):
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps"), "LENTILRILL_CONFIG": str(path)}
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add(f"process {name} started")

    def log(self, name):
        return (Path(self._folder.name) / f"{name}.log").read_text(errors="replace")

    def start_all(self, timeout_s=20.0):
        for name in self.settings:
            self.start(name)
        return wait_for(lambda: all(self.ready(name) for name in self.settings), timeout_s)

    def ready(self, name):
        return call("GET", self.settings[name]["readiness"], "/readiness", timeout_s=1.0)[0] == 200

    def request(self, method, name, path, body=None, timeout_s=3.0):
        status, answer = call(method, self.settings[name]["callers"], path, body, timeout_s)
        self.record.add(f"client: {method} {path} at {name} -> {status or 'no answer'} "
                        f"{answer.decode(errors='replace')[:80]}")
        return status, answer

    def owner_of(self, shard):
        return (self.platform.value(f"m/o/{shard}") or {}).get("process", "")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()
        self._network.close()


def configure(platform, version, services_by_prefix):
    """Write a configuration without a pool in standby, so that no machine is moved."""
    routes = [
        {"name": f"r-{prefix.strip('/')}", "host": HOST_NAME, "prefix": prefix, "service": service,
         "type": "non_idempotent", "timeout_ms": 3000, "max_attempts": 3, "stretch": 1.6,
         "latency_slo_ms": 600, "priority": 0}
        for prefix, service in services_by_prefix.items()
    ]
    services = [{"name": name} for name in sorted(set(services_by_prefix.values()))]
    value = {"version": version, "routes": routes, "services": services, "limits": {}}
    platform.store.put("op/config", json.dumps(value).encode())


def run_case(main):
    """Run a case and exit with its result; a case that fails otherwise couldn't run."""
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = CANNOT_RUN
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(result)


def call(method, address, path, body=None, timeout_s=3.0):
    """Return the status and body of an answer; status 0 if there is none."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Host": HOST_NAME, "Content-Type": "application/json",
               "Deadline-Ms": str(int(timeout_s * 1000))}
    request = urllib.request.Request(f"http://{address}{path}", data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def wait_for(condition, timeout_s, pause_s=0.05):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(pause_s)
    return bool(condition())


def _free_port(ip):
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return listener.getsockname()[1]


def record_runs(record, platform):
    """Add what was run to the record."""
    for run in list(platform.records):
        record.add(f"minion {run.endpoint}: run of {run.task} number {run.number} began", run.began)
        if run.ended:
            noted = f", taken note of at {record.at(run.noted_at):.3f} s" if run.noted else ""
            record.add(f"minion {run.endpoint}: run of {run.task} number {run.number} "
                       f"ended {run.end_kind}{noted}", run.ended)
