"""Callers that don't keep to HTTP, against each server: what they may cost the process."""

import json

import pytest
import urllib3

from tests.execution.fakes import eventually
from tests.limits import crowds
from tests.limits.crowds import ENDLESS, Crowd
from tests.limits.processes import (
    LOG_BYTES,
    SOCKETS,
    ProcessUnderTest,
    open_descriptors,
    peak_bytes,
    served,
)
from tests.platform.site import HOST

pytestmark = pytest.mark.alone

ENDLESS_CALLERS = 6
SLOW_CALLERS = 40
SILENT_CALLERS = 600
LARGE_BODIES = 24
LARGE_BODY_BYTES = 4_000_000
THREADS = {"callers": {"threads": 4}, "gateway": {"threads": 20}}
"""Settings under which the crowd of slow callers outnumbers the threads of a server."""
GET = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"

ENDLESS_CASES = [
    *(("callers", part) for part in ENDLESS),
    ("readiness", "chunk size"),
    ("metrics", "header"),
    *(("gateway", part) for part in ("chunk size", "chunk extension", "trailer", "trailers")),
    *(("operators", part) for part in ("chunk size", "chunk extension")),
]
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SLOW = {
    "head": b"X: ",
    "body": b"Content-Length: 100000\r\n\r\n",
    "long body": b"Content-Length: 2000000\r\n\r\n",
    "chunked body": CHUNKED + b"ffff\r\n",
    "trailer": CHUNKED + b"0\r\nX: ",
}
SLOW_CASES = [
    *(("callers", part) for part in ("head", "body", "trailer")),
    ("readiness", "head"),
    ("metrics", "head"),
    *(("gateway", part) for part in ("head", "body", "long body", "chunked body")),
    ("operators", "body"),
]


def check(process: ProcessUnderTest, peak: int) -> None:
    assert process.lives()
    assert peak < process.memory_bytes, f"peak memory {peak / 1e6:.0f} MB"
    assert process.log.stat().st_size < LOG_BYTES


@pytest.mark.parametrize(("server", "part"), ENDLESS_CASES)
def test_a_part_without_end_takes_no_memory(server: str, part: str) -> None:
    """Guards against a process that runs out of memory by what callers send without end."""
    start, repeated = ENDLESS[part]
    with served(server) as process:
        if not start.startswith(b"GET"):
            start = process.head + start
        # Twice the memory of the machine, if all of it is held.
        limit_bytes = 2 * process.memory_bytes // ENDLESS_CALLERS
        send = crowds.endlessly(start, repeated, limit_bytes)
        with Crowd(process.address, send, ENDLESS_CALLERS) as crowd:
            crowd.settle()
            peak = peak_bytes(process)
        assert eventually(process.answers)
        check(process, peak)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_bodies_of_many_callers_fit_into_the_memory(framing: str) -> None:
    """Guards against bodies that are each within the limit, and too much together."""
    part = b"a" * 50_000
    start = b"Content-Length: %d\r\n\r\n" % (LARGE_BODY_BYTES + 1)
    if framing == "chunks":
        part = b"%x\r\n%b\r\n" % (len(part), part)
        start = CHUNKED
    with served("callers") as process:
        send = crowds.endlessly(process.head + start, part, LARGE_BODY_BYTES)
        with Crowd(process.address, send, LARGE_BODIES) as crowd:
            crowd.settle()
            assert eventually(process.answers)
            peak = peak_bytes(process)
        check(process, peak)


@pytest.mark.parametrize(("server", "part"), SLOW_CASES)
def test_slow_callers_keep_no_thread(server: str, part: str) -> None:
    """Guards against ordinary callers that wait while others send a byte now and then."""
    with served(server, **THREADS.get(server, {})) as process:
        send = crowds.slowly(process.head + SLOW[part])
        with Crowd(process.address, send, SLOW_CALLERS, again=True) as crowd:
            crowd.settle()
            assert eventually(process.answers)
            assert eventually(process.answers)
        check(process, peak_bytes(process))


@pytest.mark.parametrize("server", ["callers", "readiness", "metrics", "gateway", "operators"])
def test_silent_connections_leave_descriptors(server: str) -> None:
    """Guards against silent connections that take all descriptors, and a log without end."""
    with served(server) as process:
        with Crowd(process.address, crowds.silently, SILENT_CALLERS, again=True) as crowd:
            crowd.settle()
            assert eventually(process.answers)
            descriptors = open_descriptors(process)
            assert descriptors < SOCKETS * 0.9, descriptors
        check(process, peak_bytes(process))


@pytest.mark.parametrize("server", ["callers", "metrics", "gateway", "operators"])
def test_unread_answers_keep_no_thread(server: str) -> None:
    """Guards against ordinary callers that wait while others don't read their answers."""
    with served(server, **THREADS.get(server, {})) as process:
        send = crowds.without_reading(GET, 100_000)
        with Crowd(process.address, send, SLOW_CALLERS, again=True) as crowd:
            crowd.settle()
            assert eventually(process.answers)
        check(process, peak_bytes(process))


def test_the_configured_limit_applies_to_chunked_bodies() -> None:
    """Guards against bodies beyond the operator's limit that get in without a declared length."""
    job = {"spec": "x" * 300_000, "steps": []}
    with served("callers") as process:
        http = urllib3.PoolManager(retries=False, timeout=5.0)
        answer = http.request(
            "POST",
            f"http://{process.address}/proofs/00000000000000ff",
            body=iter([json.dumps(job).encode()]),
            headers=HOST,
        )
        assert answer.status == 413
        assert process.answers()
