"""Stand-in for the platform: its key-value service and its host list in one process.

The key-value service answers like etcd's HTTP/JSON gateway. Faults are set in the process by
:meth:`PlatformStandin.set_faults` or by ``POST /standin/faults``; omitted fields keep their
value. Each ``--listen`` address can be made unreachable on its own, so that a zone with its own
address can be isolated from the platform.
"""

import argparse
import gzip
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from lentilrill.store import HostInfo
from standins import _etcd_http
from standins._http import Call, Server
from standins._signals import stop_event
from standins._store import Store, StoreError
from standins._watch import Watch

__all__ = ["Faults", "PlatformStandin", "main"]

THREADS = 64
CONTROL_THREADS = 4
PROGRESS_INTERVAL_S = 1.0
MAX_HOST_LISTS = 1000
GZIP_LEVEL = 4
WRITE_PATHS = {"/v3/kv/put", "/v3/kv/deleterange", "/v3/kv/txn"}
WATCH_PATH = "/v3/watch"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the stand-in that are active.

    :param down: closes the connections of calls and watches, without an answer or an effect.
    :param slow_s: seconds by which each answer is delayed.
    :param lose_answers: number of next writes that take effect and whose connection is then closed.
    :param stale: serves reads and the host list from the state at the time this was set.
    :param host_list_lag_s: age of the host list.
    :param silent_watch: keeps watches open without sending anything.
    :param cut: listening addresses that accept calls but neither execute nor answer them.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    host_list_lag_s: float = 0.0
    silent_watch: bool = False
    cut: tuple[str, ...] = ()


class PlatformStandin:
    """The platform's two services.

    :param addresses: ``ip:port`` to listen on; port 0 selects a free one.
    :param control: another address for ``/standin/`` calls, which answers under every fault.
    :param threads: calls served at once by each address; an open watch occupies one.
    :param progress_s: seconds between two progress notices of an idle watch.
    :param clock: monotonic clock in seconds, used for the expiry of leases.
    :param now: clock in seconds since the epoch, used for the age of the host list.
    """

    def __init__(
        self,
        *addresses: str,
        control: str = "",
        threads: int = THREADS,
        progress_s: float = PROGRESS_INTERVAL_S,
        clock: Callable[[], float] = time.monotonic,
        now: Callable[[], float] = time.time,
    ) -> None:
        self.store = Store(clock)
        self.faults = Faults()
        self.watches_waiting = 0
        self._control_address = control
        self._threads = threads
        self._progress_s = progress_s
        self._wall_clock = now
        self._lock = threading.Lock()
        self._calls_by_kind: Counter[str] = Counter()
        self._stale_store = self.store
        self._stale_hosts: tuple[float, tuple[HostInfo, ...]] | None = None
        self._host_lists: deque[tuple[float, tuple[HostInfo, ...]]] = deque(
            [(0.0, ())], MAX_HOST_LISTS
        )
        self._closed = threading.Event()
        self._servers: list[Server] = []
        self.addresses = addresses or ("127.0.0.1:0",)

    @property
    def address(self) -> str:
        """The first address that the stand-in listens on."""
        return self.addresses[0]

    def start(self) -> None:
        """Start serving. May be called again after :meth:`close`; the state is kept."""
        self._closed.clear()
        self._servers = [Server(a, self._serve, self._threads) for a in self.addresses]
        self.addresses = tuple(server.address for server in self._servers)
        if self._control_address:
            self._servers.append(Server(self._control_address, self._serve, CONTROL_THREADS))
        for server in self._servers:
            server.start()

    def close(self) -> None:
        """Stop serving; later connections are refused."""
        self._closed.set()
        for server in self._servers:
            server.close()
        self._servers = []

    def set_faults(self, **changes: Any) -> None:
        """Set some of the fields of :class:`Faults`."""
        with self._lock:
            before = self.faults
            merged = msgspec.to_builtins(before) | changes
            self.faults = msgspec.convert(merged, Faults)
            if self.faults.stale and not before.stale:
                self._stale_store = self.store.copy()
                self._stale_hosts = self._lagged_hosts()

    def set_hosts(self, hosts: tuple[HostInfo, ...]) -> None:
        """Replace the host list."""
        with self._lock:
            self._host_lists.append((self._wall_clock(), hosts))

    def change_host(self, host: str, **changes: Any) -> None:
        """Change fields of one host in the list."""
        with self._lock:
            hosts = self._host_lists[-1][1]
        self.set_hosts(
            tuple(
                msgspec.convert(msgspec.to_builtins(h) | changes, HostInfo) if h.id == host else h
                for h in hosts
            )
        )

    def remove_host(self, host: str) -> None:
        """Remove one host from the list."""
        self.set_hosts(tuple(h for h in self._host_lists[-1][1] if h.id != host))

    def calls(self) -> dict[str, Any]:
        """Return the number of calls by path, and the number of open watches."""
        with self._lock:
            return {"by_kind": dict(self._calls_by_kind), "watches_waiting": self.watches_waiting}

    def _serve(self, call: Call, address: str) -> None:
        if call.path.startswith("/standin/"):
            self._handle_control(call)
            return
        with self._lock:
            self._calls_by_kind[call.path] += 1
        if self._is_unreachable(address):
            call.block_while(lambda: self._is_unreachable(address))
            call.disconnect()
        elif self.faults.down:
            call.disconnect()
        else:
            self._closed.wait(self.faults.slow_s)
            self._answer(call, address)

    def _answer(self, call: Call, address: str) -> None:
        if call.path == WATCH_PATH:
            self._watch(call, address)
        elif call.path == "/hosts":
            self._answer_hosts(call)
        else:
            self._answer_key_value(call)

    def _answer_key_value(self, call: Call) -> None:
        try:
            if len(call.body) > _etcd_http.MAX_REQUEST_BYTES:
                raise StoreError(3, "etcdserver: request is too large")
            reads = self._stale_store if self.faults.stale else self.store
            before = self.store.revision
            request = msgspec.json.decode(call.body, type=dict)
            response = _etcd_http.execute(self.store, reads, call.path, request)
        except StoreError as error:
            _answer_error(call, error)
            return
        except (msgspec.DecodeError, ValueError, KeyError) as error:
            _answer_error(call, StoreError(3, f"malformed request: {error}"))
            return
        if (
            call.path in WRITE_PATHS
            and self.store.revision > before
            and self._consume_lost_answer()
        ):
            call.disconnect()
            return
        call.answer_json(response)

    def _consume_lost_answer(self) -> bool:
        with self._lock:
            remaining = self.faults.lose_answers
            self.faults = msgspec.structs.replace(self.faults, lose_answers=max(0, remaining - 1))
            return remaining > 0

    def _watch(self, call: Call, address: str) -> None:
        create = msgspec.json.decode(call.body, type=dict)["create_request"]
        with self._lock:
            self.watches_waiting += 1
        try:
            call.begin(200, {"Content-Type": "application/json"})
            Watch(
                self.store,
                call,
                create,
                self._progress_s,
                self._should_end_watches,
                lambda: self.faults.silent_watch or self._is_unreachable(address),
            ).run()
        except OSError:
            pass  # the client closed the connection
        finally:
            with self._lock:
                self.watches_waiting -= 1
        call.disconnect()

    def _should_end_watches(self) -> bool:
        return self._closed.is_set() or self.faults.down

    def _is_unreachable(self, address: str) -> bool:
        return address in self.faults.cut and not self._closed.is_set()

    def _lagged_hosts(self) -> tuple[float, tuple[HostInfo, ...]]:
        at = self._wall_clock() - self.faults.host_list_lag_s
        hosts = next((hosts for set_at, hosts in reversed(self._host_lists) if set_at <= at), ())
        return at, hosts

    def _answer_hosts(self, call: Call) -> None:
        with self._lock:
            stale = self._stale_hosts if self.faults.stale else None
            as_of, hosts = stale or self._lagged_hosts()
        body = msgspec.json.encode({"as_of": as_of, "hosts": hosts})
        headers = {"Content-Type": "application/json"}
        if "gzip" in call.header("Accept-Encoding"):
            body, headers["Content-Encoding"] = gzip.compress(body, GZIP_LEVEL), "gzip"
        call.answer(200, body, headers)

    def _handle_control(self, call: Call) -> None:
        _, _, resource, *rest = call.path.split("/")
        controls: dict[tuple[str, str], Callable[[], Any]] = {
            ("POST", "faults"): lambda: self.set_faults(**msgspec.json.decode(call.body)),
            ("GET", "faults"): lambda: self.faults,
            ("GET", "calls"): self.calls,
            ("PUT", "hosts"): lambda: self.set_hosts(
                msgspec.json.decode(call.body, type=tuple[HostInfo, ...])
            ),
            ("PATCH", "hosts"): lambda: self.change_host(rest[0], **msgspec.json.decode(call.body)),
            ("DELETE", "hosts"): lambda: self.remove_host(rest[0]),
        }
        control = controls.get((call.method, resource))
        if control is None:
            call.answer_json({"error": "no such control"}, 404)
            return
        try:
            call.answer_json(control())
        except (msgspec.MsgspecError, TypeError) as error:
            call.answer_json({"error": str(error)}, 400)


def _answer_error(call: Call, error: StoreError) -> None:
    body = {"error": error.message, "code": error.code, "message": error.message}
    call.answer_json(body, _etcd_http.HTTP_STATUS_BY_CODE.get(error.code, 500))


def main() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--listen", action="append", required=True, metavar="IP:PORT")
    parser.add_argument("--control", default="", metavar="IP:PORT")
    parser.add_argument("--threads", type=int, default=THREADS)
    parser.add_argument("--progress-s", type=float, default=PROGRESS_INTERVAL_S)
    arguments = parser.parse_args()
    standin = PlatformStandin(
        *arguments.listen,
        control=arguments.control,
        threads=arguments.threads,
        progress_s=arguments.progress_s,
    )
    standin.start()
    stop_event().wait()
    standin.close()


if __name__ == "__main__":
    main()
