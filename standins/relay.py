"""Stand-in for the network between zones: forwards connections and simulates partitions.

Each route listens on the advertised address of a process and forwards connections to its actual
address. The zone of either end is the third octet of its loopback address. A partition is silent:
connections are accepted or stay open, but no data passes until it ends, as with lost packets.
"""

import argparse
import contextlib
import socket
import threading
import time
from pathlib import Path

import msgspec

from standins._http import Call, Server
from standins._signals import stop_event

__all__ = ["Faults", "Relay", "Route", "main"]

CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 2.0
CONTROL_THREADS = 2


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Forwards connections from ``listen`` to ``target``."""

    listen: str
    target: str


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the network that are active.

    :param cut: pairs of zones that cannot reach each other.
    :param late_s: seconds by which data between zones is delayed.
    """

    cut: tuple[tuple[int, int], ...] = ()
    late_s: float = 0.0


class Relay:
    """Forwards the connections of all routes of a site."""

    def __init__(self, routes: list[Route], control: str) -> None:
        self.faults = Faults()
        self._routes = routes
        self._closed = threading.Event()
        self._server = Server(control, self._handle_control, CONTROL_THREADS)
        self._listeners: list[socket.socket] = []

    def start(self) -> None:
        """Listen on every route."""
        for route in self._routes:
            listener = socket.create_server(_parse_address(route.listen))
            self._listeners.append(listener)
            threading.Thread(target=self._accept, args=(listener, route), daemon=True).start()
        self._server.start()

    def close(self) -> None:
        """Stop listening; open connections end with the process."""
        self._closed.set()
        for listener in self._listeners:
            listener.close()
        self._server.close()

    def _handle_control(self, call: Call, _address: str) -> None:
        if call.method == "POST":
            self.faults = msgspec.json.decode(call.body, type=Faults)
        call.answer_json(self.faults)

    def _accept(self, listener: socket.socket, route: Route) -> None:
        while not self._closed.is_set():
            try:
                client, (source, _) = listener.accept()
            except OSError:
                return
            zones = (_zone_of(source), _zone_of(route.listen))
            threading.Thread(target=self._forward, args=(client, route, zones), daemon=True).start()

    def _forward(self, client: socket.socket, route: Route, zones: tuple[int, int]) -> None:
        self._wait_until_reachable(zones)
        try:
            upstream = socket.create_connection(_parse_address(route.target), CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        backward = threading.Thread(target=self._pump, args=(upstream, client, zones), daemon=True)
        backward.start()
        self._pump(client, upstream, zones)

    def _pump(self, source: socket.socket, sink: socket.socket, zones: tuple[int, int]) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if zones[0] != zones[1] and self.faults.late_s:
                    time.sleep(self.faults.late_s)
                self._wait_until_reachable(zones)
                sink.sendall(data)
        except OSError:
            pass
        self._wait_until_reachable(zones)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _wait_until_reachable(self, zones: tuple[int, int]) -> None:
        while not self._closed.is_set():
            if zones not in self.faults.cut and zones[::-1] not in self.faults.cut:
                return
            time.sleep(POLL_INTERVAL_S)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _zone_of(address: str) -> int:
    return int(address.split(".")[2])


def main() -> None:
    """Run the relay until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--routes", type=Path, required=True, help="JSON list of {listen, target}")
    parser.add_argument("--control", required=True, metavar="IP:PORT")
    arguments = parser.parse_args()
    routes = msgspec.json.decode(arguments.routes.read_bytes(), type=list[Route])
    relay = Relay(routes, arguments.control)
    relay.start()
    stop_event().wait()
    relay.close()


if __name__ == "__main__":
    main()
