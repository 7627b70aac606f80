"""Fakes of the gateway's dependencies: slots, claims and scripted endpoints."""

import ctypes
import http.client
import itertools
import json
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from testtools import TestCase

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet import DOCUMENT_KEY, FleetView
from lentilrill.gateway import GatewayServer
from lentilrill.ids import GrantId, HostId, PoolId, RequestId, Revision, ZoneId
from lentilrill.inner import ClaimState, Refusal, Verdict
from lentilrill.jobs import Claim, ClaimResult, RecordedResponse
from lentilrill.routing import Decline, Job, Slot, SlotTarget
from lentilrill.settings import Document, GatewaySettings
from lentilrill.store import Item, Mirror
from lentilrill.telemetry import NoMetrics
from tests import builders

__all__ = [
    "Answer",
    "FakeClaims",
    "FakeSlots",
    "GatewayTestCase",
    "ScriptedEndpoint",
    "drop_all",
    "ok",
]

WAIT_S = 10.0
SO_ATTACH_FILTER = 26

Serve = Callable[[socket.socket, bytes], None]


def ok(body: bytes = b"done", head: str = "") -> bytes:
    """Return a complete response with status 200."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body


def drop_all(sock: socket.socket) -> None:
    """Let the kernel drop all packets that arrive on this connection, as if the path failed."""
    drop = struct.pack("HBBI", 0x06, 0, 0, 0)  # one instruction: return 0 bytes
    program = ctypes.create_string_buffer(drop)
    filter_ = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_)


class ScriptedEndpoint:
    """An endpoint that handles requests by a script, and records them.

    :param script: called with the connection and each complete request; it may answer or not.
    """

    def __init__(self, script: Serve) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self.arrived: queue.Queue[bytes] = queue.Queue()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._open:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while (request := _read_request(connection)) is not None:
                self.requests.append(request)
                self.arrived.put(request)
                self.script(connection, request)
        except OSError:
            pass


def _read_request(connection: socket.socket) -> bytes | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        part = connection.recv(65536)
        if not part:
            return None
        body += part
    return head + b"\r\n\r\n" + body


class FakeSlots:
    """Gives a slot on the first listed address whose host is not to be avoided."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = list(addresses)
        self.target = SlotTarget.ENDPOINT
        self.jobs: list[Job] = []
        self.started: list[Slot] = []
        self.released: list[tuple[Slot, Verdict]] = []
        self.abandoned: queue.Queue[RequestId] = queue.Queue()
        self.waiting: queue.Queue[RequestId] = queue.Queue()
        self.given: queue.Queue[RequestId] = queue.Queue()
        self.hold = False
        self.withdrawn: set[str] = set()
        self._gates_by_request: dict[RequestId, threading.Event] = {}
        self._grants = itertools.count(1)

    def acquire(self, job: Job) -> Result[Slot, Decline]:
        """Return a slot on the first address whose host is not to be avoided."""
        self.jobs.append(job)
        if self.hold:
            gate = self._gates_by_request.setdefault(job.request, threading.Event())
            self.waiting.put(job.request)
            gate.wait(WAIT_S)
            return Failure(Decline(Refusal.TOO_LATE, "abandoned"))
        left = [a for a in self.addresses if HostId(a) not in job.avoid]
        if not left:
            return Failure(Decline(Refusal.NO_HOSTS, "no hosts", 2.0))
        self.given.put(job.request)
        return Success(
            Slot(
                request=job.request,
                pool=PoolId("schools"),
                target=self.target,
                address=left[0],
                grant=GrantId(str(next(self._grants))),
                host=HostId(left[0]),
                zone=ZoneId("z1"),
                send_by=time.monotonic() + 5,
            )
        )

    def abandon(self, request: RequestId) -> None:
        """Record the request, and let its blocked :meth:`acquire` return."""
        self.abandoned.put(request)
        self._gates_by_request.setdefault(request, threading.Event()).set()

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Refuse hosts that were withdrawn."""
        if slot.address in self.withdrawn:
            return Failure(Fault("slots.start", slot.host, FaultKind.REFUSED, "withdrawn"))
        self.started.append(slot)
        return Success(None)

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Record the verdict."""
        self.released.append((slot, verdict))

    @property
    def verdicts(self) -> list[Verdict]:
        """Verdicts recorded so far."""
        return [verdict for _, verdict in self.released]


class FakeClaims:
    """Claims held in memory."""

    def __init__(self) -> None:
        self.results_by_key: dict[str, ClaimResult] = {}
        self.recorded_by_key: dict[str, RecordedResponse] = {}
        self.released: list[str] = []

    def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim the key, unless a result is set for it."""
        return self.results_by_key.get(claim.key, ClaimResult(ClaimState.CLAIMED))

    def record(self, claim: Claim, recorded: RecordedResponse) -> None:
        """Record the response for repeats of the key."""
        self.recorded_by_key[claim.key] = recorded
        self.results_by_key[claim.key] = ClaimResult(ClaimState.RECORDED, recorded)

    def release(self, claim: Claim) -> None:
        """Record that the key was released."""
        self.released.append(claim.key)


class Answer(msgspec.Struct, frozen=True):
    """A response as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> dict[str, Any]:
        """The problem document."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """The problem's outcome."""
        return self.problem["outcome"]


class GatewayTestCase(TestCase):
    """Base class of tests of a gateway over real sockets."""

    def setUp(self) -> None:
        super().setUp()
        self.slots = FakeSlots()
        self.claims = FakeClaims()
        self.document = Document(
            plans=(builders.a_plan(), builders.a_plan("ballots")),
            pools=(builders.a_pool(), builders.a_pool("ballots")),
            entitlements=(
                builders.an_entitlement(
                    idempotent_paths=("translate",), largest_job_bytes=3_000_000
                ),
                builders.an_entitlement("ballots"),
            ),
        )

    def an_endpoint(self, script: Serve | None = None) -> ScriptedEndpoint:
        """Return an endpoint for which slots are given; by default it answers ``done``."""
        endpoint = ScriptedEndpoint(script or (lambda sock, request: sock.sendall(ok())))
        self.addCleanup(endpoint.close)
        self.slots.addresses.append(endpoint.address)
        return endpoint

    def a_gateway(self, may_serve: bool = True, **changes: Any) -> GatewayServer:
        """Return a started gateway with :attr:`document` in force."""
        values: dict[str, Any] = {
            "process": "gw-1",
            "entry_host": "e1",
            "zone": "z1",
            "inner": builders.an_address(),
            "keys": builders.inner_keys(),
            "listen": builders.an_address(),
            "platform": {"key_value": ["127.0.0.1:1"], "host_list": "127.0.0.1:1"},
            "threads": 32,
            "drain_s": WAIT_S,
            "drain_notice_s": 0.0,
        }
        settings = msgspec.convert(
            {k: msgspec.to_builtins(v) for k, v in (values | changes).items()}, GatewaySettings
        )
        mirror = Mirror()
        view = FleetView(mirror)
        mirror.replace(
            [Item(DOCUMENT_KEY, msgspec.json.encode(self.document), Revision(1))], Revision(1)
        )
        gateway = GatewayServer(
            settings, view, self.slots, self.claims, NoMetrics(), lambda: may_serve
        )
        gateway.start()
        self.addCleanup(gateway.close)
        self.address = settings.listen
        return gateway

    def connect(self) -> http.client.HTTPConnection:
        """Return a connection to the gateway."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        self.addCleanup(connection.close)
        return connection

    def call(
        self,
        method: str = "GET",
        path: str = "/schools/sheet",
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send one request and return the complete response."""
        connection = self.connect()
        sent = {"Authorization": "Bearer token-schools"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, {k: v for k, v in sent.items() if v})
        response = connection.getresponse()
        answer = Answer(response.status, dict(response.headers), response.read())
        connection.close()
        return answer
