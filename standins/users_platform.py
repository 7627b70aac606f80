"""Stand-in for the users' platform: its store, endpoints that run tasks, and the list of hosts.

For tests and bench; follows the published protocol of the platform. Everything runs in threads
of one process, and every run is recorded so that tests can check it.
"""

import base64
import itertools
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins._caps import CapChange, JobUse, find_excess
from standins._http import Call, Server
from standins._users_store import UsersStore

__all__ = ["JobUse", "RunRecord", "UsersPlatform"]

THREADS = 64
TICK_INTERVAL_S = 0.02
ENDPOINT_CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
HOST_DOWN_S = 0.5
TICKET_VALIDITY_S = 1.5


class RunRecord(msgspec.Struct):
    """One run of a task on an endpoint; ``ended`` is 0.0 while it runs.

    :param end_kind: how it ended, as a value of the platform's protocol.
    :param acknowledged: when its end was acknowledged; 0.0 if it has not been.
    :param lapsed: when its endpoint's lease first expired after its end and before the
        acknowledgement; 0.0 if it did not.
    """

    endpoint: str
    task: str
    number: int
    began: float
    ended: float = 0.0
    end_kind: str = ""
    acknowledged: float = 0.0
    lapsed: float = 0.0


class _Endpoint:
    """One instance of an endpoint; each task takes ``task_s`` seconds.

    :param may_start: returns whether an endpoint may start a task with a ticket.
    :param loses_answer: returns whether the answer to the current call is lost after its execution.
    """

    def __init__(
        self,
        name: str,
        records: list[RunRecord],
        task_s: float,
        may_start: Callable[[str, str, str], bool],
        loses_answer: Callable[[], bool],
    ) -> None:
        self.name = name
        self._may_start = may_start
        self._loses_answer = loses_answer
        self._last_finished_run: dict[str, int] = {}
        self.closed = False
        self._records = records
        self._task_s = task_s
        self._changed = threading.Condition()
        self._started_ms = int(time.time() * 1000)
        self._token = 0
        self._expires_ms = 0
        self._running: dict[tuple[str, int], RunRecord] = {}
        self._ended: list[list[Any]] = []
        self._unacknowledged: dict[int, RunRecord] = {}
        self._cursor = 0
        self._server = Server("127.0.0.1:0", self._serve, 8)
        self._server.start()
        self.address = self._server.address

    def close(self) -> None:
        with self._changed:
            for record in self._running.values():
                record.ended, record.end_kind = time.monotonic(), "gone"
            self._running.clear()
            self.closed = True
        self._server.close()

    def tick(self) -> None:
        """End the runs that are complete or whose lease has expired."""
        with self._changed:
            self._expire_lease()
            now = time.monotonic()
            for (task, number), record in list(self._running.items()):
                if now - record.began >= self._task_s:
                    self._end(task, number, "done")

    def _expire_lease(self) -> None:
        """End all runs if the lease has expired, and record that on ends not acknowledged yet."""
        if self._clock_ms() <= self._expires_ms:
            return
        for record in self._unacknowledged.values():
            record.lapsed = record.lapsed or time.monotonic()
        for task, number in list(self._running):
            self._end(task, number, "lapsed")

    def _clock_ms(self) -> int:
        return int(time.time() * 1000) - self._started_ms

    def _end(self, task: str, number: int, end_kind: str) -> None:
        record = self._running.pop((task, number), None)
        if record is None:
            return
        record.ended, record.end_kind = time.monotonic(), end_kind
        self._last_finished_run[task] = max(number, self._last_finished_run.get(task, 0))
        self._cursor += 1
        self._unacknowledged[self._cursor] = record
        self._ended.append([self._cursor, task, number, end_kind, ""])
        self._changed.notify_all()

    def _serve(self, call: Call, address: str) -> None:
        del address
        if call.header("Expect-Instance") != self.name:
            call.answer(421, b"")
            return
        body = msgspec.json.decode(call.body)
        with self._changed:
            if self.closed:
                call.disconnect(reset=True)
                return
            if body["fencing_token"] < self._token:
                call.answer_json({"clock_ms": self._clock_ms(), "reason": "fence"}, 409)
                return
            self._token = body["fencing_token"]
            self._expire_lease()
            self._expires_ms = max(self._expires_ms, body.get("expires_ms", 0))
            ticket = body.get("ticket", "")
            if call.path == "/run-start" and not self._may_start(self.name, body["task"], ticket):
                call.answer_json({"clock_ms": self._clock_ms(), "reason": "ticket"}, 409)
                return
            if call.path == "/run-start" and self._is_finished(body["task"], body["run_id"]):
                call.answer_json({"clock_ms": self._clock_ms(), "reason": "old"}, 409)
                return
            answer = self._execute(call.path, body)
        if self._loses_answer():
            call.disconnect(reset=True)
            return
        call.answer_json({"clock_ms": self._clock_ms(), "born": self._started_ms} | answer)

    def _is_finished(self, task: str, number: int) -> bool:
        """Return whether this run of a task, or a later one, has ended or was stopped here."""
        return number <= self._last_finished_run.get(task, 0)

    def _execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if path == "/hold":
            return self._poll(body)
        key = (body["task"], body["run_id"])
        if path == "/run-start" and key not in self._running:
            record = RunRecord(self.name, *key, time.monotonic())
            self._running[key] = record
            self._records.append(record)
        elif path == "/run-stop":
            self._end(*key, "stopped")
            self._last_finished_run[key[0]] = max(key[1], self._last_finished_run.get(key[0], 0))
        return {}

    def _poll(self, body: dict[str, Any]) -> dict[str, Any]:
        acknowledged = body.get("ack_cursor", 0)
        self._ended = [end for end in self._ended if end[0] > acknowledged]
        for cursor in [cursor for cursor in self._unacknowledged if cursor <= acknowledged]:
            self._unacknowledged.pop(cursor).acknowledged = time.monotonic()
        if not self._ended:
            self._changed.wait(body.get("wait_ms", 0) / 1000)
        now = time.monotonic()
        running = [
            [task, number, "", min(99, int((now - record.began) / self._task_s * 100)), 0]
            for (task, number), record in self._running.items()
        ]
        return {"running": running, "ended": self._ended}


class _Policy:
    """The policy service, which decides where a step may run and issues tickets for it.

    :ivar blocked: endpoints that may not run any task.
    :ivar tickets_required: whether endpoints require a ticket to start a task.
    """

    def __init__(self) -> None:
        self.blocked: set[str] = set()
        self.tickets_required = False
        self._expiry_by_ticket: dict[str, float] = {}
        self._count = itertools.count(1)

    def serve(self, call: Call) -> None:
        body = msgspec.json.decode(call.body)
        allowed = []
        for endpoint in body["workers"]:
            if endpoint not in self.blocked:
                ticket = f"{body['step']}/{endpoint}/{next(self._count)}"
                self._expiry_by_ticket[ticket] = time.monotonic() + TICKET_VALIDITY_S
                allowed.append([endpoint, ticket])
        call.answer_json({"good": allowed, "valid_ms": int(TICKET_VALIDITY_S * 1000)})

    def may_start(self, endpoint: str, task: str, ticket: str) -> bool:
        if not self.tickets_required:
            return True
        step = task.rpartition(".")[0]
        matches = ticket.startswith(f"{step}/{endpoint}/")
        return matches and time.monotonic() < self._expiry_by_ticket.get(ticket, 0.0)


class UsersPlatform:
    """The whole platform: one store, hosts with an endpoint each, and orders to hosts.

    :param task_s: seconds that each task takes.
    :ivar policy: the policy service.
    :ivar records: every run that was started.
    :ivar use_by_job: workspace and use of the jobs that :meth:`excess_starts` judges.
    :ivar max_down: maximum number of hosts that were down for upkeep at the same time.
    :ivar lose_every_nth: the answer to every n-th call that endpoints execute is lost; 0 for none.
    """

    def __init__(self, task_s: float = 0.2) -> None:
        self.store = UsersStore()
        self.policy = _Policy()
        self.lose_every_nth = 0
        self._call_numbers = itertools.count(1)
        self.records: list[RunRecord] = []
        self.use_by_job: dict[str, JobUse] = {}
        self._cap_changes: list[CapChange] = []
        self.max_down = 0
        self._task_s = task_s
        self._lock = threading.RLock()
        self._names = itertools.count(1)
        self._hosts: dict[str, dict[str, Any]] = {}
        self._endpoints: dict[str, _Endpoint] = {}
        self._fencing_tokens: dict[str, int] = {}
        self._closed = threading.Event()
        self._servers = [
            Server("127.0.0.1:0", lambda call, _: self.store.serve(call), THREADS),
            Server("127.0.0.1:0", lambda call, _: self._serve_hosts(call), 8),
            Server("127.0.0.1:0", lambda call, _: self.policy.serve(call), 8),
        ]
        self.store_address, self.hosts_address, self.policy_address = (
            server.address for server in self._servers
        )
        for server in self._servers:
            server.start()
        self._ticker = threading.Thread(target=self._tick, daemon=True)
        self._ticker.start()

    def close(self) -> None:
        """Stop all threads, endpoints and servers."""
        self._closed.set()
        self._ticker.join()
        for endpoint in list(self._endpoints.values()):
            if not endpoint.closed:
                endpoint.close()
        for server in self._servers:
            server.close()

    def add_host(self, pool: str, zone: str = "holyoke") -> str:
        """Add a host; in the pool ``standby`` it has no endpoint."""
        host = f"m-{next(self._names)}"
        self._hosts[host] = {"machine": host, "pool": pool, "state": "up", "zone": zone, "id": ""}
        self._start_endpoint(host)
        return host

    def configure(
        self,
        version: int,
        queues: dict[str, str],
        *,
        advised: bool = False,
        workspaces: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Write a configuration to the store.

        :param queues: pool of each queue, by the path prefix of the queue.
        :param advised: whether starts need tickets of the policy service.
        :param workspaces: keys, weight and cap of each workspace, as the platform spells them;
            ``None`` if callers need no keys.
        """
        self.policy.tickets_required = advised
        advice = {"decide_ms": 1, "period_ms": 1, "valid_ms": int(TICKET_VALIDITY_S * 1000)}
        routes = [
            {"name": f"r{prefix}", "host": "braille.example", "prefix": prefix, "service": pool}
            | {"max_attempts": 3, "stretch": 1.6, "latency_slo_ms": 600, "priority": 0}
            | ({"advice": advice} if advised else {})
            for prefix, pool in queues.items()
        ]
        pools: list[dict[str, Any]] = [{"name": pool} for pool in sorted(set(queues.values()))]
        pools.append({"name": "standby", "standby": True})
        value = {"version": version, "routes": routes, "services": pools, "limits": {}}
        if workspaces is not None:
            value["tenants"] = [{"name": name} | rest for name, rest in workspaces.items()]
            caps = {name: rest.get("cap", {}).get("cpu", 0) for name, rest in workspaces.items()}
            self._cap_changes.append(CapChange(time.monotonic(), caps))
        self.store.put("op/config", msgspec.json.encode(value))

    def excess_starts(self) -> list[str]:
        """Return a line for each start that brought a workspace above its cap."""
        return find_excess(self.records, self.use_by_job, self._cap_changes)

    def declare_wave(self, number: int, hosts: list[str], cap: int) -> None:
        """Write a wave that requests the upkeep of hosts."""
        value = {"wave": number, "machines": hosts, "within_s": 20, "cap": cap}
        self.store.put(f"op/wave/{number}", msgspec.json.encode(value))

    def value(self, key: str) -> dict[str, Any] | None:
        """Return the decoded value of a key, or ``None`` if it is absent."""
        item = self.store.items.get(key)
        return msgspec.json.decode(base64.b64decode(item["value"])) if item is not None else None

    def hosts_of(self, pool: str) -> list[str]:
        """Return the hosts of a pool."""
        return [name for name, host in self._hosts.items() if host["pool"] == pool]

    def endpoint_of(self, host: str) -> str:
        """Return the name of the endpoint on a host."""
        return self._endpoints[host].name

    def _loses_answer(self) -> bool:
        return bool(self.lose_every_nth) and next(self._call_numbers) % self.lose_every_nth == 0

    def _tick(self) -> None:
        while not self._closed.wait(TICK_INTERVAL_S):
            self.store.expire_leases()
            for endpoint in list(self._endpoints.values()):
                if not endpoint.closed:
                    endpoint.tick()

    def _start_endpoint(self, host: str) -> None:
        """Start a new endpoint on a host, unless the host is in the standby pool."""
        entry = self._hosts[host]
        entry["state"] = "up"
        if entry["pool"] == "standby":
            return
        name = f"i-{next(self._names)}"
        endpoint = _Endpoint(
            name, self.records, self._task_s, self.policy.may_start, self._loses_answer
        )
        self._endpoints[host] = endpoint
        entry["id"] = name
        value = {"service": entry["pool"], "address": endpoint.address, "state": "ready"}
        value |= {
            "zone": entry["zone"],
            "capacity": ENDPOINT_CAPACITY,
            "labels": ["a", "r1"],
            "machine": host,
        }
        self.store.put(f"servers/{name}", msgspec.json.encode(value))

    def _serve_hosts(self, call: Call) -> None:
        if call.method == "GET":
            with self._lock:
                rows = [dict(host) for host in self._hosts.values()]
            call.answer_json({"machines": rows, "next_token": None})
            return
        body = msgspec.json.decode(call.body)
        host, token = body["machine"], int(call.header("Fencing-Token"))
        with self._lock:
            if token < self._fencing_tokens.get(host, 0):
                call.answer_json({"reason": "fence"}, 409)
                return
            self._fencing_tokens[host] = token
            if self._hosts[host]["state"] != "up":
                call.answer_json({"reason": "busy"}, 409)
                return
            self._take_down(host, body.get("pool", ""))
        call.answer_json({})

    def _take_down(self, host: str, pool: str) -> None:
        entry = self._hosts[host]
        entry["state"] = "moving" if pool else "upkeep"
        entry["pool"] = pool or entry["pool"]
        down = sum(1 for other in self._hosts.values() if other["state"] == "upkeep")
        self.max_down = max(self.max_down, down)
        self.store.remove(f"servers/{entry['id']}")
        entry["id"] = ""
        endpoint = self._endpoints.pop(host, None)
        threading.Thread(target=self._bring_up, args=(host, endpoint), daemon=True).start()

    def _bring_up(self, host: str, endpoint: _Endpoint | None) -> None:
        if endpoint is not None:
            endpoint.close()
        if not self._closed.wait(HOST_DOWN_S):
            with self._lock:
                self._start_endpoint(host)
