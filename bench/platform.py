"""Cost of the platform's clients: processor time, bytes and latency of each call.

The stand-in runs in a separate process. Processor time is that of the calling thread. Bytes are
those of the HTTP exchange in both directions, counted by a relay in a second pass.
"""

import json
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from statistics import median

import urllib3

from lentilrill.ids import HostId, RackId, Revision, ZoneId
from lentilrill.settings import PlatformSettings
from lentilrill.store import EtcdKeyValue, HostInfo, HttpHostList, Put
from lentilrill.telemetry import NoMetrics

__all__ = ["main"]

CALLS = 300
COUNTED_CALLS = 20
CHANGES = 300
HOST_COUNTS = (50, 400, 4400)
READY_S = 20.0


class Relay:
    """Forwards connections to ``target`` and counts their bytes."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        host, _, port = self._target.rpartition(":")
        while True:
            client, _ = self._listener.accept()
            upstream = socket.create_connection((host, int(port)))
            for source, sink in ((client, upstream), (upstream, client)):
                threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self.count += len(data)
                sink.sendall(data)
        except OSError:
            pass


@contextmanager
def standin() -> Iterator[str]:
    """Run the platform's stand-in and yield its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    process = subprocess.Popen([sys.executable, "-m", "standins.platform", "--listen", address])
    try:
        _wait_for(address)
        yield address
    finally:
        process.terminate()
        process.wait()


def _wait_for(address: str) -> None:
    end = time.monotonic() + READY_S
    while time.monotonic() < end:
        try:
            urllib3.request("GET", f"http://{address}/standin/calls", retries=False)
            return
        except urllib3.exceptions.HTTPError:
            time.sleep(0.05)
    raise TimeoutError("the stand-in does not answer")


def settings(address: str) -> PlatformSettings:
    """Return settings with a call budget too large to matter here."""
    return PlatformSettings((address,), address, calls_per_s=1e6)


def calls(address: str) -> dict[str, Callable[[], object]]:
    """Return the calls to measure, by name."""
    kv = EtcdKeyValue(settings(address), NoMetrics())
    hosts = HttpHostList(settings(address), NoMetrics())
    for n in range(20):
        kv.commit((), (Put(f"state/zones/z{n}", b"x" * 1000),)).unwrap()
    kv.commit((), (Put("one", b"x" * 1000),)).unwrap()
    lease = kv.lease(3600).unwrap()
    return {
        "read 1 key of 1 KB": lambda: kv.read("one").unwrap(),
        "read 20 keys of 1 KB": lambda: kv.read("state/zones/").unwrap(),
        "newest of 20 keys": lambda: kv.newest("state/").unwrap(),
        "commit 1 KB": lambda: kv.commit((), (Put("k", b"x" * 1000),)).unwrap(),
        "commit 100 KB": lambda: kv.commit((), (Put("k", b"x" * 100_000),)).unwrap(),
        "keep_alive": lambda: kv.keep_alive(lease).unwrap(),
        "hosts": lambda: hosts.hosts().unwrap(),
    }


def put_hosts(address: str, count: int) -> None:
    """Replace the host list by one of ``count`` hosts."""
    listed = [
        HostInfo(HostId(f"h{n}"), f"10.0.{n >> 8}.{n & 255}:9000", ZoneId("z1"), RackId(f"r{n}"))
        for n in range(count)
    ]
    body = json.dumps(
        [{"id": h.id, "address": h.address, "zone": h.zone, "rack": h.rack} for h in listed]
    )
    urllib3.request("PUT", f"http://{address}/standin/hosts", body=body)


def print_figure(figure: str, call: str, value: float, unit: str) -> None:
    """Print one figure."""
    line = {"bench": "platform", "figure": figure, "call": call, "value": value, "unit": unit}
    print(json.dumps(line), flush=True)


def measure(name: str, call: Callable[[], object], count: int = CALLS) -> None:
    """Print processor time and latency of one call."""
    for _ in range(10):
        call()
    latencies = []
    began = time.thread_time()
    for _ in range(count):
        started = time.perf_counter()
        call()
        latencies.append(time.perf_counter() - started)
    used = time.thread_time() - began
    print_figure("client_cpu", name, round(used / count * 1e6, 1), "us/call")
    print_figure("latency_p50", name, round(median(latencies) * 1e3, 3), "ms")


def measure_bytes(name: str, call: Callable[[], object], relay: Relay) -> None:
    """Print the bytes of one call."""
    call()
    before = relay.count
    for _ in range(COUNTED_CALLS):
        call()
    print_figure("bytes", name, round((relay.count - before) / COUNTED_CALLS), "bytes/call")


def measure_watch(address: str) -> None:
    """Print the cost of a watch for its reader for each change of 1 KB."""
    relay = Relay(address)
    writer = EtcdKeyValue(settings(address), NoMetrics())
    reader = EtcdKeyValue(settings(relay.address), NoMetrics())
    start = writer.commit((), (Put("watched/0", b""),)).unwrap().revision
    watch = reader.watch("watched/", Revision(start))
    next(watch).unwrap()
    before, seen, began = relay.count, 0, time.thread_time()
    for n in range(CHANGES):
        writes = threading.Thread(
            target=writer.commit, args=((), (Put(f"watched/{n}", b"x" * 1000),))
        )
        writes.start()
        seen += len(next(watch).unwrap().items)
        writes.join()
    used = time.thread_time() - began
    watch.close()
    print_figure(
        "client_cpu", "watch 1 KB", round(used / seen * 1e6, 1), "us/change, thread start included"
    )
    print_figure("bytes", "watch 1 KB", round((relay.count - before) / seen), "bytes/change")


def main() -> None:
    """Run all measurements."""
    with standin() as address:
        relay = Relay(address)
        direct, counted = calls(address), calls(relay.address)
        for name in direct:
            if name == "hosts":
                continue
            measure(name, direct[name])
            measure_bytes(name, counted[name], relay)
        for count in HOST_COUNTS:
            put_hosts(address, count)
            measure(f"hosts, {count} listed", direct["hosts"], 30)
            measure_bytes(f"hosts, {count} listed", counted["hosts"], relay)
        measure_watch(address)


if __name__ == "__main__":
    main()
