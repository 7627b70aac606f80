"""Answers without end, from each service that an entry host or a gateway calls."""

import subprocess
import sys
import threading
import time

import pytest
from testtools import TestCase
from testtools.content import text_content

from standins.users_platform import UsersPlatform
from tests.execution.fakes import eventually
from tests.limits.peers import ENDLESS_ANSWERS, OddServer, descriptors_of, peak_mb_of, threads_of
from tests.platform.site import EntrySite

pytestmark = pytest.mark.alone

MEMORY_MB = 300
"""What a machine gives one process."""
MAX_DESCRIPTORS = 400
ODD_S = 5.0
"""Time for which the odd service answers so."""
ENDPOINTS = 8
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100}]}
QUEUE = "/proofs/"
HOST = "front-0"
WITHIN_S = 20.0


class AnswersTest(TestCase):
    """One entry host, one of whose services gives answers without end for some seconds."""

    def begin(self, *, advised: bool = False) -> None:
        self.platform = UsersPlatform(0.1)
        self.addCleanup(self.platform.close)
        self.platform.configure(3, {QUEUE: "notices"}, advised=advised)
        self.platform.add_host("notices")
        self.site = EntrySite(self.platform, 1)
        self.addCleanup(self.site.close)
        self.addOnException(lambda _: self.addDetail(HOST, text_content(self.site.output(HOST))))

    def front(self, address: str) -> OddServer:
        server = OddServer(address)
        self.addCleanup(server.close)
        return server

    def start(self) -> None:
        self.assertTrue(self.site.start_all())
        self.check_a_job(0)

    def check_a_job(self, number: int) -> None:
        """Check that an ordinary job is accepted and done."""
        path = f"{QUEUE}{number:016x}"
        accepted = eventually(lambda: self.site.submit(HOST, path, JOB) == 200, WITHIN_S)
        self.assertTrue(accepted, f"job {number} is not accepted")
        done = eventually(lambda: self.site.state(HOST, path) == "completed", WITHIN_S)
        self.assertTrue(done, f"job {number} is {self.site.state(HOST, path)}")

    def check_process(self, server: OddServer) -> None:
        """Check that answers were given, and what the process holds after them."""
        process = self.site.processes[HOST]
        self.assertIsNone(process.poll(), "the process has ended")
        peak_mb, descriptors = peak_mb_of(process.pid), descriptors_of(process.pid)
        print(self.id(), f"{server.odd_answers} answers")
        print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
        self.assertGreater(server.odd_answers, 0)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTORS)

    def be_odd(self, server: OddServer, part: str) -> None:
        server.become_odd(ENDLESS_ANSWERS[part])
        time.sleep(ODD_S)
        server.odd = None

    def check_store(self, part: str) -> None:
        self.begin()
        server = self.front(self.platform.store_address)
        self.site.settings[HOST]["store"] = {"address": server.address}
        self.start()
        self.be_odd(server, part)
        self.check_process(server)
        self.check_a_job(1)
        self.check_process(server)

    def check_list_of_hosts(self, part: str) -> None:
        """Upkeep of a host is ordered after the list is read again."""
        self.begin()
        server = self.front(self.platform.hosts_address)
        self.site.settings[HOST]["hosts_api"] = server.address
        self.start()
        host = self.platform.add_host("notices")
        server.become_odd(ENDLESS_ANSWERS[part])
        self.platform.declare_wave(1, [host], 1)
        time.sleep(ODD_S)
        server.odd = None
        self.check_process(server)
        self.assertTrue(eventually(lambda: self.platform.max_down == 1, WITHIN_S), "no upkeep")
        self.check_a_job(1)
        self.check_process(server)

    def check_policy_service(self, part: str) -> None:
        self.begin(advised=True)
        server = self.front(self.platform.policy_address)
        self.site.settings[HOST]["advice"] = server.address
        self.start()
        server.become_odd(ENDLESS_ANSWERS[part])
        self.site.submit(HOST, f"{QUEUE}{7:016x}", JOB)
        time.sleep(ODD_S)
        server.odd = None
        self.check_process(server)
        self.check_a_job(1)
        self.check_process(server)

    def check_endpoint(self, part: str) -> None:
        """Some endpoints answer polls and orders so; a job is done by the others.

        The threads that call them end once they are no longer listed.
        """
        self.begin()
        servers = [self.front(self.platform.store_address) for _ in range(ENDPOINTS)]
        self.start()
        process = self.site.processes[HOST]
        threads = threads_of(process.pid)
        for number, server in enumerate(servers):
            server.odd = ENDLESS_ANSWERS[part]
            self.platform.add_entry(f"i-odd{number}", "notices", server.address)
        begun = eventually(lambda: all(server.odd_answers for server in servers), WITHIN_S)
        self.assertTrue(begun, "an endpoint was not called")
        time.sleep(ODD_S)
        for number in range(ENDPOINTS):
            self.platform.store.remove(f"servers/i-odd{number}")
        for server in servers:
            self.check_process(server)
        ended = eventually(lambda: threads_of(process.pid) <= threads, WITHIN_S)
        self.assertTrue(ended, f"{threads_of(process.pid)} threads, {threads} before")
        self.check_a_job(1)
        self.check_process(servers[0])


def _add(kind: str, part: str) -> None:
    def test(self: AnswersTest) -> None:
        getattr(self, f"check_{kind}")(part)

    test.__doc__ = f"Guards against memory or threads that an endless {part} takes for good."
    setattr(AnswersTest, f"test_{kind}_{part}", test)


for _part in ENDLESS_ANSWERS:
    _add("store", _part)
for _part in ("trailer_lines", "body_in_chunks", "unpacked_body", "slow_head", "slow_body"):
    _add("endpoint", _part)
for _part in ("trailer_lines", "body_in_chunks", "slow_head"):
    _add("list_of_hosts", _part)
    _add("policy_service", _part)


CALL = """
import sys, time
from lentilrill.gateway._connections import ConnectionCache
from lentilrill.gateway._exchange import Exchange, ExchangeError
cache = ConnectionCache(1.0)
connection = cache.acquire(sys.argv[1], False, 1.0)
exchange = Exchange(connection, "r")
exchange.send("GET", "/", {}, None, 1.0)
answer_by = time.monotonic() + 2.0
try:
    head = exchange.read_head("GET", 2.0)
    print("read", len(exchange.read_buffered(head, answer_by)[0]), flush=True)
except ExchangeError as error:
    print("ended", error, flush=True)
sys.stdin.read()
"""
MAX_CALL_S = 15.0
"""Several times the two seconds that the call may take."""


class GatewayAnswersTest(TestCase):
    """A child process with the gateway's client of endpoints."""

    def check(self, part: str) -> None:
        server = OddServer("127.0.0.1:1")
        server.odd = ENDLESS_ANSWERS[part]
        self.addCleanup(server.close)
        child = subprocess.Popen(
            [sys.executable, "-c", CALL, server.address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        lines: list[str] = []
        assert child.stdout is not None and child.stdin is not None
        self.addCleanup(child.stdout.close)
        self.addCleanup(child.stdin.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        ended = eventually_line(child, lines)
        print(self.id(), lines, f"peak {peak_mb_of(child.pid):.0f} MB")
        self.assertTrue(ended, "the call doesn't end")
        self.assertLess(peak_mb_of(child.pid), MEMORY_MB)


def eventually_line(child: "subprocess.Popen[str]", lines: list[str]) -> bool:
    """Wait until a child has written a line; return whether it did."""

    def read() -> None:
        assert child.stdout is not None
        lines.append(child.stdout.readline())

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    reader.join(MAX_CALL_S)
    return bool(lines and lines[0])


def _add_gateway(part: str) -> None:
    def test(self: GatewayAnswersTest) -> None:
        self.check(part)

    test.__doc__ = f"Guards against a call that an endless {part} keeps for good."
    setattr(GatewayAnswersTest, f"test_{part}", test)


for _part in ENDLESS_ANSWERS:
    _add_gateway(_part)
