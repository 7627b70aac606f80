"""A whole site as separate processes on loopback addresses, for the demo, tests and bench.

Every zone has its own loopback subnet and its own address of the platform's stand-in, so that one
zone can be isolated from the platform. Ports are the same in all zones.
"""

import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import urllib3
import zmq

from standins.loopback import LoopbackNetwork

__all__ = ["HostSpec", "Site", "SiteSpec", "digest"]

PLATFORM_PORT, CONTROL_PORT, ENDPOINT_PORT = 2379, 2380, 9000
CALLER_PORT, OPERATOR_PORT = 8080, 8081
GATEWAY_INNER_PORT, CONTROLLER_INNER_PORT = 7001, 7002
OPERATOR, OPERATOR_TOKEN = "asha", "operator-token"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


def digest(token: str) -> str:
    """Return the hex SHA-256 digest of a token, as used in settings and lists."""
    return hashlib.sha256(token.encode()).hexdigest()


class HostSpec(msgspec.Struct, frozen=True):
    """One worker of the site."""

    id: str
    zone: int
    rack: str
    cores: int = 16
    memory_gb: int = 32


class SiteSpec(msgspec.Struct, frozen=True):
    """Size and settings of a site; zones are numbered from 1.

    :param entry_hosts: entry hosts in each zone, each with one gateway and one controller.
    :param relayed: whether a relay connects the zones and can simulate partitions between them.
    :param gateway: settings of gateways that differ from the defaults.
    :param controller: settings of controllers that differ from the defaults.
    """

    zones: int
    entry_hosts: int
    hosts: tuple[HostSpec, ...]
    gateway: dict[str, Any] = {}
    controller: dict[str, Any] = {}
    slots: int = 8
    relayed: bool = False


class Site:
    """The processes of a site; a context manager that starts and ends them."""

    def __init__(self, spec: SiteSpec) -> None:
        self.spec = spec
        self.http = urllib3.PoolManager(num_pools=200, maxsize=64, retries=False)
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._temp_folder = tempfile.TemporaryDirectory(prefix="lentilrill-site-")
        self.folder = Path(self._temp_folder.name)
        self._network = LoopbackNetwork()
        public, secret = zmq.curve_keypair()
        self._keys = {"public": public.decode(), "secret": secret.decode()}

    # Addresses

    def address(self, zone: int, number: int, port: int) -> str:
        """Return the address of host ``number`` of a zone."""
        return self._network.address(zone, number, port)

    def platform_address(self, zone: int) -> str:
        """Return the address of the platform for the processes of a zone."""
        return self.address(zone, 1, PLATFORM_PORT)

    @property
    def control_address(self) -> str:
        """Address of the control interface of the platform's stand-in."""
        return self.address(250, 1, CONTROL_PORT)

    @property
    def relay_control_address(self) -> str:
        """Address of the control interface of the relay, on a relayed site."""
        return self.address(250, 2, CONTROL_PORT)

    def advertised_address(self, zone: int, number: int, port: int) -> str:
        """Return the address that a process of an entry host advertises to its peers."""
        return self.address(zone, (60 if self.spec.relayed else 10) + number, port)

    def caller_address(self, name: str) -> str:
        """Return the address of gateway ``name`` for callers."""
        zone, number = _parse_name(name)
        return self.address(zone, 10 + number, CALLER_PORT)

    def operator_address(self, name: str) -> str:
        """Return the address of controller ``name`` for operators."""
        zone, number = _parse_name(name)
        return self.address(zone, 10 + number, OPERATOR_PORT)

    def endpoint_address(self, host: HostSpec) -> str:
        """Return the address of a worker's endpoint."""
        return self.address(host.zone, 100 + self._index_in_zone(host), ENDPOINT_PORT)

    @property
    def gateways(self) -> list[str]:
        """Names of all gateways: ``gw-ZONE-NUMBER``."""
        return [f"gw-{z}-{n}" for z, n in self._entry_host_positions()]

    @property
    def controllers(self) -> list[str]:
        """Names of all controllers: ``ct-ZONE-NUMBER``."""
        return [f"ct-{z}-{n}" for z, n in self._entry_host_positions()]

    # Lifecycle

    def __enter__(self) -> "Site":
        try:
            self.start_standins()
            for name in self.controllers + self.gateways:
                self.start(name)
            for name in self.controllers:
                self.wait_answer(self.operator_address(name), "/healthz")
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def start_standins(self) -> None:
        """Start the platform and all endpoints, and wait until they answer."""
        listen = [a for z in self._zones() for a in ("--listen", self.platform_address(z))]
        self._spawn("platform", "standins.platform", *listen, "--control", self.control_address)
        endpoints = [
            {"listen": self.endpoint_address(host), "host": host.id, "slots": self.spec.slots}
            for host in self.spec.hosts
        ]
        path = self.folder / "endpoints.json"
        path.write_text(json.dumps(endpoints))
        self._spawn("endpoints", "standins.endpoint", "--many", str(path))
        if self.spec.relayed:
            self._start_network()
        self.wait_answer(self.control_address, "/standin/calls")
        for host in self.spec.hosts:
            self.wait_answer(self.endpoint_address(host), "/standin/record")
        self.publish_hosts()

    def _start_network(self) -> None:
        ports = (GATEWAY_INNER_PORT, CONTROLLER_INNER_PORT, CALLER_PORT)
        routes = [
            {"listen": self.advertised_address(z, n, port), "target": self.address(z, 10 + n, port)}
            for z, n in self._entry_host_positions()
            for port in ports
        ]
        path = self.folder / "routes.json"
        path.write_text(json.dumps(routes))
        self._spawn(
            "network",
            "standins.relay",
            "--routes",
            str(path),
            "--control",
            self.relay_control_address,
        )
        self.wait_answer(self.relay_control_address, "/standin/faults")

    def publish_hosts(self, without: frozenset[str] = frozenset()) -> None:
        """Publish the host list of all workers and entry hosts.

        :param without: ids of hosts to leave out.
        """
        workers = [
            {
                "id": host.id,
                "address": self.endpoint_address(host),
                "zone": f"z{host.zone}",
                "rack": host.rack,
                "kind": "worker",
                "state": "live",
                "cores": host.cores,
                "memory_gb": host.memory_gb,
                "accelerators": 0,
                "since": 1.0,
            }
            for host in self.spec.hosts
        ]
        entries = [
            {
                "id": f"entry-{z}-{n}",
                "address": "",
                "zone": f"z{z}",
                "rack": f"entry-{z}",
                "kind": "entry",
                "state": "live",
                "since": 1.0,
            }
            for z, n in self._entry_host_positions()
        ]
        listed = [host for host in workers + entries if host["id"] not in without]
        self.request_json("PUT", self.control_address, "/standin/hosts", listed)

    def start(self, name: str) -> None:
        """Start gateway or controller ``name``."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        role = "gateway" if name.startswith("gw") else "controller"
        self._spawn(name, "lentilrill.daemon", role, "--settings", str(path))

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of process ``name``."""
        zone, number = _parse_name(name)
        is_gateway = name.startswith("gw")
        inner_port = GATEWAY_INNER_PORT if is_gateway else CONTROLLER_INNER_PORT
        common = {
            "process": name,
            "entry_host": f"entry-{zone}-{number}",
            "zone": f"z{zone}",
            "inner": self.advertised_address(zone, number, inner_port),
            "inner_listen": self.address(zone, 10 + number, inner_port),
            "keys": self._keys,
            "seeds": [
                self.advertised_address(z, n, CONTROLLER_INNER_PORT)
                for z, n in self._entry_host_positions()
            ],
            "platform": {
                "key_value": [self.platform_address(zone)],
                "host_list": self.platform_address(zone),
            },
        }
        if is_gateway:
            forwards = self.advertised_address(zone, number, CALLER_PORT)
            own = {"listen": self.caller_address(name), "forwards": forwards}
            return common | own | self.spec.gateway
        return (
            common
            | {
                "listen": self.operator_address(name),
                "operator_tokens_sha256": {OPERATOR: digest(OPERATOR_TOKEN)},
                "host_list_lag_s": 2.0,
            }
            | self.spec.controller
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this site started."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as in a crash."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM to a process, wait until it has drained, and return its exit code."""
        process = self.processes_by_name.pop(name)
        process.terminate()
        return process.wait(timeout_s)

    def close(self) -> None:
        """Kill every process that this site started, and remove its files."""
        for process in self.processes_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()
        self.processes_by_name.clear()
        self._network.close()
        self._temp_folder.cleanup()

    # Requests

    def wait_until(
        self, condition: Callable[[], Any], description: str, timeout_s: float = READY_TIMEOUT_S
    ) -> Any:
        """Wait until ``condition()`` returns a true value, and return that value.

        :param description: description of the condition, for the error message.
        :raises TimeoutError: if this takes longer than ``timeout_s``.
        """
        end = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > end:
                raise TimeoutError(f"waited {timeout_s} s for {description}\n{self.logs()}")
            time.sleep(POLL_INTERVAL_S)

    def wait_answer(self, address: str, path: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until a GET of ``path`` is answered with 200."""
        self.wait_until(lambda: self._responds(address, path), f"{address}{path}", timeout_s)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every gateway reports that it is ready."""
        for name in self.gateways:
            self.wait_answer(self.caller_address(name), "/readyz", timeout_s)

    def request_json(
        self, method: str, address: str, path: str, body: Any = None, **headers: str
    ) -> Any:
        """Send a JSON request and return the JSON answer."""
        answer = self.http.request(
            method,
            f"http://{address}{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers={"Content-Type": "application/json"} | headers,
            timeout=15.0,
        )
        return json.loads(answer.data) if answer.data else None

    def set_faults(self, address: str, **faults: Any) -> None:
        """Set faults of a stand-in."""
        self.request_json("POST", address, "/standin/faults", faults)

    def runs_of(self, host: HostSpec) -> list[dict[str, Any]]:
        """Return the runs of a worker's endpoint."""
        found: list[dict[str, Any]] = self.request_json(
            "GET", self.endpoint_address(host), "/standin/record"
        )
        return found

    def all_runs(self) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the id of the host and the run, for every run of every endpoint."""
        for host in self.spec.hosts:
            for run in self.runs_of(host):
                yield host.id, run

    def ctl(self, *arguments: str, controller: str | None = None) -> subprocess.CompletedProcess:
        """Run ``lentilrillctl`` against one controller, the first by default."""
        address = self.operator_address(controller or self.controllers[0])
        environment = os.environ | {
            "LENTILRILL_CONTROLLERS": address,
            "LENTILRILL_TOKEN": OPERATOR_TOKEN,
        }
        return subprocess.run(
            [sys.executable, "-m", "lentilrill.ctl", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def logs(self, lines: int = 15) -> str:
        """Return the last lines of the log of every process."""
        parts = []
        for path in sorted(self.folder.glob("*.log")):
            tail = path.read_text(errors="replace").splitlines()[-lines:]
            parts.append("\n".join([f"--- {path.stem}", *tail]))
        return "\n".join(parts)

    # Helpers

    def _zones(self) -> range:
        return range(1, self.spec.zones + 1)

    def _entry_host_positions(self) -> list[tuple[int, int]]:
        return [(z, n) for z in self._zones() for n in range(1, self.spec.entry_hosts + 1)]

    def _index_in_zone(self, host: HostSpec) -> int:
        same_zone = [other for other in self.spec.hosts if other.zone == host.zone]
        return same_zone.index(host)

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=output, stderr=output
            )

    def _responds(self, address: str, path: str) -> bool:
        try:
            answer = self.http.request("GET", f"http://{address}{path}", timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200


def _parse_name(name: str) -> tuple[int, int]:
    _, zone, number = name.split("-")
    return int(zone), int(number)
