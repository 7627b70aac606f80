"""Stand-ins and helpers of the third review's scripts.

The minions and the list of machines are the project's own stand-in (`standins/users_platform.py`).
Its store is replaced by one that keeps to PROTOCOL.md where the project's is more lenient: a write
under a lease that has ended gets 404, and a renewal lasts as long as the lease was granted for.
"""

import base64
import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPS)]

import msgspec  # noqa: E402

from standins import _gangs, _users_endpoint  # noqa: E402
from standins._users_store import UsersStore  # noqa: E402
from standins.users_platform import UsersPlatform  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, the rule was broken, the case couldn't run."""
CALLER_HOST = "braille.example"
RUN_LINE = ("python3", "-m", "lentilrill.daemon", "entry")
"""The `run` line of deploy/system.toml."""
HOLD_MAX_MS = 6000
"""hold_max_ms of the small site pvmbw-lentilrill."""
GANG_TIMEOUT_S = 3.0
"""gang_timeout_ms of that site."""
READY_S = 20.0
ANSWER_S = 0.004
"""Time that the store takes for an answer, as SYSTEM.md says."""


class NotRunError(Exception):
    """The case could not be played as intended."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        with self._lock:
            print(line, flush=True)
            self._file.write(line + "\n")
            self._file.flush()


class PageStore(UsersStore):
    """The platform's store.

    :ivar on_commit: called with each transaction before it is carried out; if it returns true, the
        transaction gets no answer, and it is up to the caller whether it is carried out later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_commit: Callable[[dict[str, Any]], bool] = lambda txn: False
        self.commits = 0
        self._ttl_ms_by_lease: dict[int, int] = {}

    def serve(self, call: Any) -> None:
        time.sleep(ANSWER_S)
        super().serve(call)

    def _txn(self, call: Any, txn: dict[str, Any]) -> None:
        self.commits += 1
        if self.on_commit(txn):
            call.block_while(lambda: True)
            call.disconnect(reset=True)
            return
        self.expire_leases()
        with self.changed:
            leases = {write.get("lease", 0) for write in txn["writes"]} - {0}
            if leases <= self._leases.keys():
                super()._txn(call, txn)
                return
        call.answer(404, b"")

    def carry_out(self, txn: dict[str, Any]) -> bool:
        """Carry out a transaction that got no answer, if its condition still holds."""
        with self.changed:
            holds = all(
                self.items.get(row["key"], {}).get("revision", 0) == row["revision"]
                for row in txn["precondition"]
            )
            if holds:
                self._apply(txn["writes"], txn["remove"])
        return holds

    def _grant(self, call: Any, ttl_ms: int) -> None:
        lease = next(self._lease_ids)
        with self.changed:
            self._leases[lease] = time.monotonic() + ttl_ms / 1000
            self._ttl_ms_by_lease[lease] = ttl_ms
        call.answer_json({"lease": lease, "ttl_ms": ttl_ms})

    def _keep_alive(self, call: Any, lease: int) -> None:
        self.expire_leases()
        with self.changed:
            is_alive = lease in self._leases
            ttl_ms = self._ttl_ms_by_lease.get(lease, 0)
            if is_alive:
                self._leases[lease] = time.monotonic() + ttl_ms / 1000
        if is_alive:
            call.answer_json({"ttl_ms": ttl_ms})
        else:
            call.answer(404, b"")


class Platform(UsersPlatform):
    """The platform: the store above, minions, and the list of machines."""

    def __init__(self, task_s: float) -> None:
        _users_endpoint.HOLD_MAX_MS = HOLD_MAX_MS
        _gangs.GANG_TIMEOUT_S = GANG_TIMEOUT_S
        super().__init__(task_s)
        self.store: PageStore = PageStore()

    def put_configuration(
        self,
        version: int,
        service_by_prefix: dict[str, str],
        names: dict[str, str] | None = None,
        **fields: Any,
    ) -> None:
        """Write a configuration.

        :param names: names of routes, by their prefix, that differ from the usual ones.
        :param fields: fields of all routes that differ from the usual ones.
        """
        name_by_prefix = {prefix: f"r-{prefix.strip('/')}" for prefix in service_by_prefix}
        name_by_prefix |= names or {}
        routes = [
            {
                "name": name_by_prefix[prefix],
                "host": CALLER_HOST,
                "prefix": prefix,
                "type": "non_idempotent",
                "timeout_ms": 3000,
                "latency_slo_ms": 600,
                "priority": 0,
                "service": service,
                "max_attempts": 4,
                "stretch": 1.6,
                **fields,
            }
            for prefix, service in service_by_prefix.items()
        ]
        names = sorted({host["pool"] for host in self._hosts.values()} - {"standby"})
        services: list[dict[str, Any]] = [{"name": name, "standby": False} for name in names]
        services.append({"name": "standby", "standby": True})
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        value = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", msgspec.json.encode(value))

    def owner_keys(self) -> dict[str, tuple[str, int]]:
        """Return the process that each shard's key names, and the lease of the key."""
        return {
            key.removeprefix("m/o/"): (_value_of(item)["process"], item["lease"])
            for key, item in sorted(self.store.items.copy().items())
            if key.startswith("m/o/")
        }

    def starts_of(self, job: str) -> list[Any]:
        """Return the runs of a job's tasks, in the order of their starts."""
        return [run for run in list(self.records) if run.task.startswith(f"{job}.")]


def _value_of(item: dict[str, Any]) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(base64.b64decode(item["value"]))
    return value


class Site:
    """Entry hosts as processes, started with the command of the deploy file."""

    def __init__(self, platform: Platform, names: list[str], record: Record) -> None:
        self._platform = platform
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="lentilrill-review-"))
        self._settings = {name: self._settings_of(name) for name in names}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def _settings_of(self, name: str) -> dict[str, Any]:
        """Return what deploy/settings.json.template renders for a machine of the small site."""
        return {
            "process": name,
            "zone": "holyoke",
            "callers": _free_address(),
            "readiness": _free_address(),
            "inner": _free_address(),
            "metrics": _free_address(),
            "store": {"address": self._platform.store_address},
            "hosts_api": self._platform.hosts_address,
            "host_orders_per_s": 64.0,
            "advice": self._platform.policy_address,
            "grace_s": 6,
            "max_run_lease_ms": HOLD_MAX_MS,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
        }

    def start(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings[name]))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"LENTILRILL_CONFIG": str(path), "PYTHONPATH": str(DEPS)}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                RUN_LINE, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._processes[name] = process
        self._record.note(f"start {name}")

    def start_all(self) -> None:
        for name in self._settings:
            self.start(name)
        self.await_ready(*self._settings)

    def await_ready(self, *names: str) -> None:
        if not until(lambda: all(self._is_ready(name) for name in names), READY_S):
            raise NotRunError(f"not ready: {names}")

    def _is_ready(self, name: str) -> bool:
        return self._request("GET", self._settings[name]["readiness"], "/readiness")[0] == 200

    def signal(self, name: str, number: signal.Signals) -> None:
        self._record.note(f"{number.name} to {name}")
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def await_end(self, name: str) -> None:
        """Wait for a process that was told to stop."""
        self._processes[name].wait(timeout=READY_S)
        self._record.note(f"{name} has ended with {self._processes[name].returncode}")

    def call(
        self, method: str, name: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request of a caller; return the status, 0 without an answer, and the body."""
        status, data = self._request(method, self._settings[name]["callers"], path, body)
        self._record.note(f"{method} {path} at {name}: {status or 'no answer'} {data.decode()}")
        return status, json.loads(data) if data else {}

    def _request(
        self, method: str, address: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(address, timeout=3.0)
        headers = {"Host": CALLER_HOST, "Content-Type": "application/json", "Deadline-Ms": "3000"}
        try:
            connection.request(method, path, json.dumps(body) if body else None, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def close(self) -> None:
        """End all processes that are left, and remove the folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition; return whether it came true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.02)
    return True


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


@contextlib.contextmanager
def running(site: Site, platform: Platform) -> Iterator[None]:
    """End everything that was started, however the case ends."""
    try:
        yield
    finally:
        site.close()
        platform.close()


def run_case(play: Callable[[Record], list[str]], folder: Path) -> None:
    """Play a case and exit.

    :param play: returns a line for each breach of the rule.
    """
    record = Record(folder / "record.txt")
    record.note(f"TROUBLE={'1' if has_trouble() else '0'}")
    try:
        breaches = play(record)
    except Exception:
        record.note(traceback.format_exc())
        record.note("the case could not run")
        sys.stdout.flush()
        os._exit(NOT_RUN)
    for breach in breaches:
        record.note(f"BROKEN: {breach}")
    record.note("the rule was broken" if breaches else "the rule held")
    sys.stdout.flush()
    os._exit(BROKEN if breaches else HELD)
