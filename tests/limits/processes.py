"""Processes under test: their memory, descriptors and log, and one ordinary request."""

import json
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

import urllib3

from standins.site import OPERATOR_TOKEN, HostSpec, Site, SiteSpec
from standins.sites import lists, token
from standins.users_platform import UsersPlatform
from tests.execution.fakes import eventually
from tests.platform.site import EntrySite

__all__ = [
    "MEMORY_BYTES",
    "SOCKETS",
    "ControllerUnderTest",
    "EntryUnderTest",
    "GatewayUnderTest",
    "ProcessUnderTest",
    "open_descriptors",
    "peak_bytes",
    "served",
]

MEMORY_BYTES = 100_000_000
"""Memory of an entry host in these tests. It uses 45 MB in calm."""
SOCKETS = 300
FILES = 200
"""Descriptors that the platform reserves for files."""
LOG_BYTES = 200_000
ENTRY_NAME, GATEWAY_NAME, CONTROLLER_NAME = "front-0", "gw-1-1", "ct-1-1"
ANSWER_TIMEOUT_S = 10.0
SERVICES = ("notices", "library")


class ProcessUnderTest(Protocol):
    """A process of the system with one of its servers."""

    memory_bytes: int
    head: bytes
    """Head of a request with a body, without its framing."""

    @property
    def address(self) -> str:
        """Address of the server."""

    @property
    def pid(self) -> int:
        """Process id."""

    @property
    def log(self) -> Path:
        """What the process has printed."""

    def lives(self) -> bool:
        """Return whether the process runs."""

    def answers(self) -> bool:
        """Return whether an ordinary request is answered."""


class EntryUnderTest:
    """An entry host on the stand-in of the platform.

    :param server: ``callers``, ``readiness`` or ``metrics``.
    """

    memory_bytes = MEMORY_BYTES
    head = b"POST /proofs/00000000000000ff HTTP/1.1\r\nHost: braille.example\r\n"

    def __init__(self, site: EntrySite, server: str) -> None:
        self.site = site
        self.server = server

    @property
    def address(self) -> str:
        """Address of the server."""
        return str(self.site.settings[ENTRY_NAME][self.server])

    @property
    def pid(self) -> int:
        """Process id."""
        return self.site.processes[ENTRY_NAME].pid

    @property
    def log(self) -> Path:
        """What the process has printed."""
        return self.site.folder / f"{ENTRY_NAME}.log"

    def lives(self) -> bool:
        """Return whether the process runs."""
        return self.site.processes[ENTRY_NAME].poll() is None

    def answers(self) -> bool:
        """Return whether readiness, metrics and callers are served."""
        return (
            self.site.request("GET", ENTRY_NAME, "/proofs/") == 200
            and self.site.is_ready(ENTRY_NAME)
            and "ingress" in self.site.metrics(ENTRY_NAME)
        )


class GatewayUnderTest:
    """A gateway of a site of the system's own processes."""

    memory_bytes = 300_000_000
    head = (
        b"POST /library/emboss HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
        % token("library").encode()
    )
    name = GATEWAY_NAME

    def __init__(self, site: Site) -> None:
        self.site = site

    @property
    def address(self) -> str:
        """Address of the server."""
        return self.site.caller_address(self.name)

    @property
    def pid(self) -> int:
        """Process id."""
        return self.site.processes_by_name[self.name].pid

    @property
    def log(self) -> Path:
        """What the process has printed."""
        return self.site.folder / f"{self.name}.log"

    def lives(self) -> bool:
        """Return whether the process runs."""
        return self.site.processes_by_name[self.name].poll() is None

    def answers(self) -> bool:
        """Return whether a job is answered."""
        headers = {"Authorization": f"Bearer {token('library')}"}
        return _status("POST", self.address, "/library/emboss", headers) == 200


class ControllerUnderTest(GatewayUnderTest):
    """A controller of such a site."""

    head = (
        b"PUT /v1/config HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
        % OPERATOR_TOKEN.encode()
    )
    name = CONTROLLER_NAME

    @property
    def address(self) -> str:
        """Address of the server."""
        return self.site.operator_address(self.name)

    def answers(self) -> bool:
        """Return whether an operator is answered."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return _status("GET", self.address, "/v1/status", headers) == 200


def _status(method: str, address: str, path: str, headers: dict[str, str]) -> int:
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    body = b"page" if method == "POST" else None
    try:
        answer = http.request(method, f"http://{address}{path}", body=body, headers=headers)
    except urllib3.exceptions.HTTPError:
        return 0
    return answer.status


@contextmanager
def served(server: str, **settings: Any) -> Iterator[ProcessUnderTest]:
    """Start the process of one server, with its stand-ins.

    :param server: ``callers``, ``readiness``, ``metrics``, ``gateway`` or ``operators``.
    :param settings: settings of the process that differ from the defaults.
    """
    if server in ("gateway", "operators"):
        with _site(settings) as site:
            yield GatewayUnderTest(site) if server == "gateway" else ControllerUnderTest(site)
        return
    platform = UsersPlatform(0.2)
    try:
        platform.configure(3, {"/proofs/": "notices"})
        platform.add_host("notices")
        site = EntrySite(platform, 1)
        limits = {"memory_mb": MEMORY_BYTES // 1_000_000, "max_fds": SOCKETS + FILES}
        site.settings[ENTRY_NAME] |= {"limits": limits} | settings
        process = EntryUnderTest(site, server)
        try:
            site.start(ENTRY_NAME)
            _limit_descriptors(process.pid)
            assert eventually(process.answers), site.output(ENTRY_NAME)
            yield process
        finally:
            site.close()
    finally:
        platform.close()


@contextmanager
def _site(gateway: dict[str, Any]) -> Iterator[Site]:
    hosts = tuple(HostSpec(f"w{n}", 1, "r1") for n in range(2))
    with Site(SiteSpec(1, 1, hosts, gateway=gateway)) as site:
        for name in (GATEWAY_NAME, CONTROLLER_NAME):
            _limit_descriptors(site.processes_by_name[name].pid)
        _apply_lists(site)
        site.wait_ready()
        process = GatewayUnderTest(site)
        site.wait_until(process.answers, "an answered job")
        yield site


def _apply_lists(site: Site) -> None:
    plans, entitlements = lists(SERVICES, 1)
    for plan in plans:
        plan |= {"hosts_owed": 1, "availability_budget": 1}
    folder = site.folder / "lists"
    folder.mkdir()
    (folder / "plans.json").write_text(json.dumps(plans))
    (folder / "entitlements.json").write_text(json.dumps(entitlements))
    done = site.ctl("config", "apply", str(folder), "--wait", "20")
    assert done.returncode == 0, done.stdout + done.stderr


def _limit_descriptors(pid: int) -> None:
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


def peak_bytes(process: ProcessUnderTest) -> int:
    """Return the process's peak memory so far."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")


def open_descriptors(process: ProcessUnderTest) -> int:
    """Return how many descriptors the process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
