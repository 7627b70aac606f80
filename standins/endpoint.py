"""Stand-in for an endpoint: runs jobs in slots, records them, and injects faults on request.

A job runs for the seconds in the header ``Standin-Run-S`` and is answered with a JSON summary of
its body, or with the number of bytes in ``Standin-Answer-Bytes``. Faults are set in the process by
:meth:`EndpointStandin.set_faults` or by ``POST /standin/faults``.
"""

import argparse
import hashlib
import itertools
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from standins._http import Call, Server
from standins._signals import stop_event

__all__ = ["EndpointStandin", "Faults", "Run", "main"]

SLOTS = 8
DEFAULT_RUN_S = 0.01
MAX_RECORDED_RUNS = 200_000
CHUNK_BYTES = 256 * 1024
STATE_HEADER = "Endpoint-State"
LEAVING = {STATE_HEADER: "leaving"}


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the stand-in that are active.

    :param fail: answers 500 at once, without running the job.
    :param truncate: number of next answers that end half-way.
    :param silent: accepts requests, also on open connections, but neither runs nor answers them.
    :param leaving: refuses new jobs with 503; those in flight finish.
    :param slow_s: seconds by which each answer is delayed after the job ran.
    :param reset: resets the connection of each request without running the job.
    :param lose_answers: number of next jobs that run and whose connection is then closed.
    :param twice: sends each answer twice on its connection.
    """

    fail: bool = False
    truncate: int = 0
    silent: bool = False
    leaving: bool = False
    slow_s: float = 0.0
    reset: bool = False
    lose_answers: int = 0
    twice: bool = False


class Run(msgspec.Struct):
    """One run of a job.

    :param job: header ``Standin-Job`` of the request.
    :param started: seconds since the epoch.
    :param finished: seconds since the epoch; ``None`` while it runs.
    :param whole: whether the answer was sent completely.
    """

    job: str
    path: str
    number: int
    started: float
    finished: float | None = None
    whole: bool = False


class EndpointStandin:
    """One endpoint.

    :param address: ``ip:port`` to listen on; port 0 selects a free one.
    :param threads: requests handled at once; by default a few more than twice the slots.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        host: str = "h1",
        slots: int = SLOTS,
        threads: int | None = None,
    ) -> None:
        self.address = address
        self.host = host
        self.slots = slots
        self.faults = Faults()
        self.overcommitted = 0
        self.max_running = 0
        self._threads = threads or 2 * slots + 4
        self._free_slots = threading.Semaphore(slots)
        self._lock = threading.Lock()
        self._runs: deque[Run] = deque(maxlen=MAX_RECORDED_RUNS)
        self._numbers = itertools.count(1)
        self._running = 0
        self._closed = threading.Event()
        self._server: Server | None = None

    def start(self) -> None:
        """Start serving. May be called again after :meth:`close`; the record is kept."""
        self._closed.clear()
        self._server = Server(self.address, self._serve, self._threads)
        self.address = self._server.address
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._closed.set()
        if self._server is not None:
            self._server.close()
            self._server = None

    def set_faults(self, **changes: Any) -> None:
        """Set some of the fields of :class:`Faults`."""
        with self._lock:
            self.faults = msgspec.convert(msgspec.to_builtins(self.faults) | changes, Faults)

    def record(self) -> list[Run]:
        """Return the runs in the order in which they started."""
        with self._lock:
            return [msgspec.structs.replace(run) for run in self._runs]

    def status(self) -> dict[str, Any]:
        """Return counters of the runs."""
        return {
            "host": self.host,
            "running": self._running,
            "runs": len(self._runs),
            "most_running": self.max_running,
            "overcommitted": self.overcommitted,
        }

    def _serve(self, call: Call, _address: str) -> None:
        if call.path.startswith("/standin/"):
            self._handle_control(call)
        elif self.faults.silent:
            call.block_while(lambda: self.faults.silent and not self._closed.is_set())
            call.disconnect()
        elif self.faults.reset:
            call.disconnect(reset=True)
        elif self.faults.fail:
            call.answer_json({"error": "injected fault: every request fails"}, 500)
        elif self.faults.leaving:
            call.answer(503, b"", LEAVING)
        else:
            self._run_job(call)

    def _run_job(self, call: Call) -> None:
        body = call.body
        if not self._free_slots.acquire(blocking=False):
            with self._lock:
                self.overcommitted += 1
            self._free_slots.acquire()
        run = self._record_start(call)
        try:
            self._closed.wait(float(call.header("Standin-Run-S", str(DEFAULT_RUN_S))))
        finally:
            run.finished = time.time()
            with self._lock:
                self._running -= 1
            self._free_slots.release()
        self._answer(call, run, body)

    def _record_start(self, call: Call) -> Run:
        with self._lock:
            run = Run(call.header("Standin-Job"), call.path, next(self._numbers), time.time())
            self._runs.append(run)
            self._running += 1
            self.max_running = max(self.max_running, self._running)
        return run

    def _answer(self, call: Call, run: Run, body: bytes) -> None:
        self._closed.wait(self.faults.slow_s)
        if self.faults.silent:
            call.block_while(lambda: self.faults.silent and not self._closed.is_set())
            call.disconnect()
            return
        if self._consume_fault("lose_answers"):
            call.disconnect()
            return
        requested_bytes = int(call.header("Standin-Answer-Bytes", "0"))
        summary = {
            "host": self.host,
            "bytes": len(body),
            "sha256": hashlib.sha256(body).hexdigest(),
            "run": run.number,
            "job": run.job,
        }
        encoded = msgspec.json.encode(summary)
        self._send(call, run, encoded, requested_bytes or len(encoded))

    def _send(self, call: Call, run: Run, encoded: bytes, length: int) -> None:
        headers = {"Content-Length": str(length), "Content-Type": "application/json"}
        call.begin(200, headers | (LEAVING if self.faults.leaving else {}))
        end = length // 2 if self._consume_fault("truncate") else length
        if length == len(encoded):
            call.write(encoded[:end])
        else:
            _write_padding(call, end)
        if end < length:
            call.disconnect()
            return
        run.whole = True
        if self.faults.twice:
            head = f"HTTP/1.1 200 Again\r\nContent-Length: {len(encoded)}\r\n\r\n".encode()
            call.write_raw(head + encoded)

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining: int = getattr(self.faults, fault)
            self.faults = msgspec.structs.replace(self.faults, **{fault: max(0, remaining - 1)})
            return remaining > 0

    def _handle_control(self, call: Call) -> None:
        request = (call.method, call.path)
        if request == ("GET", "/standin/record"):
            call.answer_json(self.record())
        elif request == ("GET", "/standin/status"):
            call.answer_json(self.status())
        elif request == ("POST", "/standin/faults"):
            try:
                self.set_faults(**msgspec.json.decode(call.body))
                call.answer_json(self.faults)
            except (msgspec.MsgspecError, TypeError) as error:
                call.answer_json({"error": str(error)}, 400)
        else:
            call.answer_json({"error": "no such control"}, 404)


class _EndpointConfig(msgspec.Struct, forbid_unknown_fields=True):
    listen: str
    host: str
    slots: int = SLOTS


def _write_padding(call: Call, length: int) -> None:
    chunk = b"lentilrill " * (CHUNK_BYTES // 11)
    remaining = length
    while remaining > 0:
        call.write(chunk[:remaining])
        remaining -= min(remaining, len(chunk))


def main() -> None:
    """Run one endpoint, or those listed in a file, until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--listen", metavar="IP:PORT")
    parser.add_argument("--host", default="h1")
    parser.add_argument("--slots", type=int, default=SLOTS)
    parser.add_argument("--many", type=Path, help="JSON list of {listen, host, slots}")
    parser.add_argument("--threads", type=int, help="threads of each endpoint")
    arguments = parser.parse_args()
    if bool(arguments.listen) == bool(arguments.many):
        parser.error("give either --listen or --many")
    configs = [_EndpointConfig(arguments.listen or "", arguments.host, arguments.slots)]
    if arguments.many:
        configs = msgspec.json.decode(arguments.many.read_bytes(), type=list[_EndpointConfig])
    endpoints = [EndpointStandin(i.listen, i.host, i.slots, arguments.threads) for i in configs]
    stopped = stop_event()
    with ThreadPoolExecutor(max_workers=16) as pool:
        list(pool.map(EndpointStandin.start, endpoints))
        stopped.wait()
        list(pool.map(EndpointStandin.close, endpoints))


if __name__ == "__main__":
    main()
