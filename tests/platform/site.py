"""Entry hosts as real processes on a stand-in of the users' platform."""

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3

from standins.users_platform import UsersPlatform
from tests.builders import an_address
from tests.execution.fakes import eventually

__all__ = ["GRACE_S", "EntrySite"]

GRACE_S = 20.0
"""Well above the grace period of the platform, so that a slow machine does not fail a test."""
OUTPUT_LINES = 60
OPEN_CONNECTIONS = 16
"""Connections to each address that the client keeps open."""
HOST = {"Host": "braille.example"}


class EntrySite:
    """Entry host processes and a client for their interfaces."""

    def __init__(self, platform: UsersPlatform, hosts: int) -> None:
        self.platform = platform
        self._folder = tempfile.TemporaryDirectory(prefix="lentilrill-")
        self.folder = Path(self._folder.name)
        self.http = urllib3.PoolManager(maxsize=OPEN_CONNECTIONS, retries=False, timeout=5.0)
        self.settings = {f"front-{n}": self._settings(f"front-{n}") for n in range(hosts)}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def _settings(self, name: str) -> dict[str, Any]:
        return {
            "process": name,
            "zone": "holyoke",
            "callers": an_address(),
            "readiness": an_address(),
            "inner": an_address(),
            "metrics": an_address(),
            "store": {"address": self.platform.store_address},
            "hosts_api": self.platform.hosts_address,
            "advice": self.platform.policy_address,
        }

    def start(self, name: str) -> None:
        """Start one entry host."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        command = [sys.executable, "-m", "lentilrill.daemon", "entry", "--settings", str(path)]
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(command, stdout=output, stderr=output)

    def start_all(self) -> bool:
        """Start all entry hosts; return whether all became ready."""
        for name in self.settings:
            self.start(name)
        return eventually(lambda: all(self.is_ready(name) for name in self.settings))

    def close(self) -> None:
        """Kill the processes and delete the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    def output(self, name: str) -> str:
        """Return the exit code of one entry host, if it has ended, and its last lines."""
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        return "\n".join([f"exit code {self.processes[name].poll()}", *lines[-OUTPUT_LINES:]])

    def count_lines(self, name: str, **fields: Any) -> int:
        """Return how many lines of one entry host's log have these fields."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        # The last line may be incomplete.
        lines = [json.loads(line) for line in text.split("\n")[:-1] if line.startswith("{")]
        return sum(fields.items() <= line.items() for line in lines)

    def hang(self, name: str) -> None:
        """Keep one entry host from running until it is resumed."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let an entry host that hangs run again."""
        self.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill one entry host."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def end(self, name: str) -> int:
        """Send SIGTERM to one entry host and return its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(timeout=GRACE_S)

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness endpoint of an entry host answers 200."""
        return self._status("GET", self.settings[name]["readiness"], "/readiness")[0] == 200

    def submit(self, name: str, path: str, job: dict[str, Any], key: str = "") -> int:
        """Submit a job; return the status of the answer, 0 if there is none."""
        address = self.settings[name]["callers"]
        return self._status("POST", address, path, json.dumps(job), key)[0]

    def state(self, name: str, path: str, key: str = "") -> str:
        """Return the state of a job, or the status of an answer other than 200."""
        status, body = self._status("GET", self.settings[name]["callers"], path, key=key)
        return str(json.loads(body)["state"]) if status == 200 else str(status)

    def cancel(self, name: str, path: str, key: str = "") -> int:
        """Cancel a job."""
        return self._status("DELETE", self.settings[name]["callers"], path, key=key)[0]

    def pending(self, name: str, prefix: str) -> int | None:
        """Return the number of a queue's jobs that wait; ``None`` if it isn't known."""
        status, body = self._status("GET", self.settings[name]["callers"], prefix)
        return int(json.loads(body)["pending"]) if status == 200 else None

    def request(self, method: str, name: str, path: str) -> int:
        """Send a request without a body; return the status of the answer."""
        return self._status(method, self.settings[name]["callers"], path)[0]

    def metrics(self, name: str) -> str:
        """Return an entry host's metrics."""
        return self._status("GET", self.settings[name]["metrics"], "/metrics")[1].decode()

    def _status(
        self, method: str, address: str, path: str, body: str | None = None, key: str = ""
    ) -> tuple[int, bytes]:
        headers = HOST | ({"Key": key} if key else {})
        try:
            answer = self.http.request(
                method, f"http://{address}{path}", body=body, headers=headers
            )
        except urllib3.exceptions.HTTPError:
            return 0, b""
        return answer.status, answer.data
