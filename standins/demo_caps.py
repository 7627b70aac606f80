"""Part of ``make demo``: one entry host on the users' platform, and a workspace at its cap."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import urllib3

from standins.loopback import LoopbackNetwork
from standins.users_platform import JobUse, UsersPlatform

__all__ = ["CapDemo"]

WORKSPACE, KEY, POOL = "schools", "demo-key", "notices"
CAP_CORES, TASKS = 2, 6
TASK_S = 1.0
JOB_ID = "00000000000000a1"
JOB_PATH = f"/proofs/{JOB_ID}"
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 20.0
CALLERS_PORT, READINESS_PORT, INNER_PORT, METRICS_PORT = 8001, 8002, 8003, 8004


class CapDemo:
    """An entry host process, and a job that is larger than its workspace's cap.

    :param folder: folder for the settings and the output of the process.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._platform = UsersPlatform(TASK_S)
        self._network = LoopbackNetwork()
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._process: subprocess.Popen[bytes] | None = None

    def close(self) -> None:
        """End the process and the platform."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._platform.close()
        self._network.close()

    def start(self) -> None:
        """Configure the platform and start the entry host."""
        cap = {"cpu": CAP_CORES * 1000, "mem_mb": 0, "gpu": 0}
        workspaces = {WORKSPACE: {"api_keys": [KEY], "cap": cap}}
        self._platform.configure(1, {"/proofs/": POOL}, workspaces=workspaces)
        for _ in range(2):
            self._platform.add_host(POOL)
        path = self._folder / "entry.json"
        path.write_text(json.dumps(self._settings()))
        command = [sys.executable, "-m", "lentilrill.daemon", "entry", "--settings", str(path)]
        with (self._folder / "entry.log").open("wb") as output:
            self._process = subprocess.Popen(command, stdout=output, stderr=output)
        readiness = f"http://{self._address(READINESS_PORT)}/readiness"
        self._wait_until(lambda: self._status("GET", readiness)[0] == 200, "the entry host")

    def submit(self) -> int:
        """Submit a job with more tasks than the cap allows at once; return the answer's status."""
        step = {"count": TASKS, "cpu": 1000, "mem_mb": 100, "estimate_ms": int(TASK_S * 1000)}
        job = {"spec": "text", "steps": [step]}
        self._platform.use_by_job[JOB_ID] = JobUse(WORKSPACE, 1000)
        return self._status("POST", self._job_url(), json.dumps(job))[0]

    def lines_at_cap(self) -> list[str]:
        """Return what ``lentilrillctl workspaces`` prints once the workspace is at its cap."""
        address = self._address(METRICS_PORT)
        command = [sys.executable, "-m", "lentilrill.ctl", "workspaces", "--entry-host", address]
        lines: list[str] = []

        def is_at_cap() -> bool:
            result = subprocess.run(command, capture_output=True, text=True, check=False)
            lines[:] = result.stdout.splitlines()
            return any(self._is_at_cap(line.split()) for line in lines)

        self._wait_until(is_at_cap, "a workspace at its cap")
        return lines

    def _is_at_cap(self, cells: list[str]) -> bool:
        """Whether a row of the table shows the workspace using its whole cap and lacking more."""
        if cells[:2] != [POOL, WORKSPACE]:
            return False
        used, lacking = (cells[column].split("/")[0] for column in (2, 4))
        return used == str(CAP_CORES) and lacking != "0"

    def finish(self) -> list[str]:
        """Wait for the job's end; return a line for each start above the cap."""
        self._wait_until(lambda: self._state() == "completed", "the end of the job")
        return self._platform.excess_starts()

    def stop(self) -> int:
        """Stop the entry host gracefully; return its exit code."""
        assert self._process is not None
        self._process.terminate()
        return self._process.wait(STOP_TIMEOUT_S)

    def _settings(self) -> dict[str, object]:
        return {
            "process": "front-1",
            "zone": "holyoke",
            "callers": self._address(CALLERS_PORT),
            "readiness": self._address(READINESS_PORT),
            "inner": self._address(INNER_PORT),
            "metrics": self._address(METRICS_PORT),
            "store": {"address": self._platform.store_address},
            "hosts_api": self._platform.hosts_address,
            "advice": self._platform.policy_address,
        }

    def _address(self, port: int) -> str:
        return self._network.address(1, 1, port)

    def _job_url(self) -> str:
        return f"http://{self._address(CALLERS_PORT)}{JOB_PATH}"

    def _state(self) -> str:
        status, body = self._status("GET", self._job_url())
        return str(json.loads(body)["state"]) if status == 200 else str(status)

    def _status(self, method: str, url: str, body: str | None = None) -> tuple[int, bytes]:
        headers = {"Host": "braille.example", "Key": KEY}
        try:
            answer = self._http.request(method, url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return 0, b""
        return answer.status, answer.data

    def _wait_until(self, condition: Callable[[], bool], what: str) -> None:
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"no sign of {what} within {TIMEOUT_S:.0f} s")
            time.sleep(POLL_INTERVAL_S)
