"""Stand-in for the users' platform: its store, endpoints that run tasks, and the list of hosts.

For tests and bench; follows the published protocol of the platform. Everything runs in threads
of one process, and every run is recorded so that tests can check it.
"""

import base64
import functools
import itertools
import random
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins import _cancel_judges, _crash_judges, _room_judges, _run_judges
from standins._caps import CapChange, JobUse, find_excess
from standins._gangs import Gangs
from standins._http import Call, Server
from standins._order_faults import OrderFault, OrderFaults
from standins._platform_records import Amounts, Crash, Listing, RunRecord, SeenJob, SeenStep, Span
from standins._users_endpoint import CrashPlan, UsersEndpoint
from standins._users_store import UsersStore
from standins.loopback import LoopbackNetwork

__all__ = ["Amounts", "CrashPlan", "JobUse", "RunRecord", "SeenJob", "Span", "UsersPlatform"]

THREADS = 64
FIRST_PORT = 10_000
TICK_INTERVAL_S = 0.02
ENDPOINT_CAPACITY = Amounts(16000, 32768)
HEARTBEAT_S = 0.4
SILENCE_S = 3 * HEARTBEAT_S
"""Time after which the entry of a silent endpoint is removed."""
HOST_DOWN_S = 0.5
TICKET_VALIDITY_S = 1.5

_ports = itertools.count(FIRST_PORT)


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

    :param task_s: seconds that each task takes whose job does not say otherwise.
    :ivar policy: the policy service.
    :ivar records: every run that was started.
    :ivar crashes: every crash of an endpoint.
    :ivar cut_ends: monotonic times at which partitions of endpoints end.
    :ivar listings: every change of an entry of an endpoint in the store.
    :ivar crash_plan: returns how the start of a task with a spec crashes its endpoint; ``None`` if
        it does not.
    :ivar cut_plan: returns the seconds for which the start of a task with a spec cuts its endpoint
        off; 0.0 if it does not.
    :ivar unheard: hosts whose endpoints do not reach the store; others reach them.
    :ivar failing: hosts whose endpoints fail everything they start.
    :ivar clocks_ms: what the clocks of the next processes of endpoints show at their start.
    :ivar max_clock_ms: the most that the clocks of the processes after these show at their start.
    :ivar jobs_by_id: the jobs that callers submitted, as far as they said so; only the tasks of
        these are known to last.
    :ivar use_by_job: workspace and use of the jobs that :meth:`excess_starts` judges.
    :ivar max_down: maximum number of hosts that were down for upkeep at the same time.
    :ivar ignores_stops: whether orders to stop a run are neither answered nor executed.
    :ivar leases_lapse: whether runs end once their endpoint's lease has expired.
    :ivar lose_every_nth: the answer to every n-th call that endpoints execute is lost; 0 for none.
    :ivar order_faults: what happens to starts and stops.
    :ivar disruptions: spans in which the site was disturbed: those of partitions and crashes of
        endpoints, and what the test adds.
    """

    def __init__(self, task_s: float = 0.2) -> None:
        self.store = UsersStore()
        self.policy = _Policy()
        self.ignores_stops = False
        self.leases_lapse = True
        self.lose_every_nth = 0
        self.order_faults = OrderFaults()
        self.disruptions: list[Span] = []
        self._gangs = Gangs()
        self._call_numbers = itertools.count(1)
        self.records: list[RunRecord] = []
        self.crashes: list[Crash] = []
        self.cut_ends: list[float] = []
        self.listings: list[Listing] = []
        self.crash_plan: Callable[[str, str], CrashPlan | None] = lambda task, spec: None
        self.cut_plan: Callable[[str, str], float] = lambda task, spec: 0.0
        self.unheard: set[str] = set()
        self.failing: set[str] = set()
        self.clocks_ms: list[int] = []
        self.max_clock_ms = 0
        self.jobs_by_id: dict[str, SeenJob] = {}
        self.use_by_job: dict[str, JobUse] = {}
        self._cap_changes: list[CapChange] = []
        self.max_down = 0
        self.task_s = task_s
        self._lock = threading.RLock()
        self._names = itertools.count(1)
        self._hosts: dict[str, dict[str, Any]] = {}
        self._endpoints: dict[str, UsersEndpoint] = {}
        self._capacities: dict[str, Amounts] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._cut_off: set[str] = set()
        self._heard_at: dict[str, float] = {}
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
        with self._lock:
            endpoints = list(self._endpoints.values())
        for endpoint in endpoints:
            if not endpoint.closed:
                endpoint.close()
        for server in self._servers:
            server.close()

    def add_host(self, pool: str, zone: str = "holyoke") -> str:
        """Add a host; in the pool ``standby`` it has no endpoint."""
        host = f"m-{next(self._names)}"
        with self._lock:
            self._hosts[host] = {"machine": host, "pool": pool, "zone": zone}
            self._capacities[host] = ENDPOINT_CAPACITY
            self._start_endpoint(host)
        return host

    def crash_endpoint(
        self, host: str, back_s: float | None = 1.0, *, renamed: bool = False
    ) -> None:
        """Crash the endpoint of a host.

        :param back_s: seconds after which it starts again; ``None`` if it never does.
        :param renamed: whether it then has another id, at the same address.
        """
        with self._lock:
            endpoint = self._endpoints.get(host)
        if endpoint is not None:
            endpoint.crash(CrashPlan(back_s=back_s, renamed=renamed))

    def restart_endpoint(self, host: str, dark_s: float) -> None:
        """Let the endpoint of a host end, and start again under its id some seconds later.

        Its connections stay open, and what was sent to its former process gets no answer.
        """
        with self._lock:
            endpoint = self._endpoints.get(host)
        if endpoint is not None:
            endpoint.restart(dark_s)

    def cut_endpoint(self, host: str, for_s: float) -> None:
        """Cut the endpoint of a host off from all others for some seconds; it works on."""
        with self._lock:
            endpoint = self._endpoints.get(host)
        if endpoint is not None:
            endpoint.cut_off(for_s)

    def carry_out_held(self, host: str) -> None:
        """Let the endpoint of a host execute the orders that were held."""
        with self._lock:
            endpoint = self._endpoints[host]
        endpoint.carry_out_held()

    def set_capacity(self, host: str, capacity: Amounts) -> None:
        """Change the capacity that the endpoint of a host has; runs that exceed it continue."""
        with self._lock:
            self._capacities[host] = capacity
            if host in self._endpoints:
                self._publish(host)

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

    def wrong_starts(self) -> list[str]:
        """Return a line for each start that exceeds a capacity, or repeats a crash too often."""
        repeats = _crash_judges.find_repeats(self.records, self.crashes)
        return repeats + _room_judges.find_overfull(self._observation())

    def wrong_failures(self) -> list[str]:
        """Return a line for each job that is shown as failed and should not be."""
        jobs, runs = self.jobs_by_id.values(), list(self.records)
        unfounded = _crash_judges.find_unfounded_failures(jobs, runs, self.crashes)
        return unfounded or _crash_judges.find_bystanders_given_up(jobs, runs, self.crashes)

    def idle_tasks(self, since: float, until: float, *, in_traffic: bool = False) -> list[str]:
        """Return a line for each task that waited beside free room, while the platform was calm.

        :param in_traffic: whether callers still submitted jobs meanwhile.
        """
        return _room_judges.find_idle(self._observation(), since, until, in_traffic=in_traffic)

    def uncancelled_runs(self, until: float) -> list[str]:
        """Return a line for each run of a cancelled job that went on, or began, in calm time."""
        jobs = list(self.jobs_by_id.values())
        return _cancel_judges.find_uncancelled(jobs, list(self.records), self.disruptions, until)

    def cancelled_at_work(self) -> int:
        """Return how many jobs had a run in progress as their cancel was acknowledged."""
        return _cancel_judges.count_at_work(list(self.jobs_by_id.values()), list(self.records))

    def doubled_tasks(self) -> list[str]:
        """Return a line for each task that was done twice, or ran twice at the same time."""
        copied = {
            run.task
            for run in list(self.records)
            if (step := self._step_of(run.task)) is not None and step.copied
        }
        return _run_judges.find_doubled(list(self.records), list(self.listings), copied)

    def _observation(self) -> _room_judges.Observation:
        return _room_judges.Observation(
            list(self.records), dict(self.jobs_by_id), list(self.listings), list(self.crashes)
        )

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
        with self._lock:
            return [name for name, host in self._hosts.items() if host["pool"] == pool]

    def endpoint_of(self, host: str) -> str:
        """Return the name of the endpoint on a host."""
        return self._endpoints[host].name

    # What the endpoints ask

    def may_start(self, endpoint: str, task: str, ticket: str) -> bool:
        """Return whether an endpoint may start a task with a ticket."""
        return self.policy.may_start(endpoint, task, ticket)

    def loses_answer(self) -> bool:
        """Return whether the answer to the current call is lost after its execution."""
        return bool(self.lose_every_nth) and next(self._call_numbers) % self.lose_every_nth == 0

    def order_fault(self, path: str) -> OrderFault:
        """Return what happens to a call."""
        return self.order_faults.draw(path)

    def loses_orders(self) -> bool:
        """Return whether orders are lost at present."""
        return self.order_faults.are_on

    def on_start(self, run: RunRecord) -> None:
        """Take note of the start of a run."""
        self.records.append(run)
        self._gangs.add(run)

    def work_end(self, run: RunRecord) -> str:
        """Return how a run ends by itself now; an empty string if it continues."""
        step, now = self._step_of(run.task), time.monotonic()
        if step is not None and step.lasts:
            return ""
        if step is not None and step.gang:
            return self._gangs.end_of(run, step.count, self.work_s(run.task), now)
        return "done" if now - run.began >= self.work_s(run.task) else ""

    def work_s(self, task: str) -> float:
        """Return the seconds that a task takes that does not last."""
        step = self._step_of(task)
        return (step.work_s if step is not None else 0.0) or self.task_s

    def lasts(self, task: str) -> bool:
        """Return whether a task runs until it is stopped."""
        step = self._step_of(task)
        return step is not None and step.lasts

    def _step_of(self, task: str) -> SeenStep | None:
        job = self.jobs_by_id.get(task.split(".")[0])
        return job.step_of(task) if job is not None else None

    def fails(self, endpoint: str) -> bool:
        """Return whether an endpoint fails everything it starts."""
        failing = [self._endpoints.get(host) for host in tuple(self.failing)]
        return any(other is not None and other.name == endpoint for other in failing)

    def plan_crash(self, task: str, spec: str) -> CrashPlan | None:
        """Return how the start of a task crashes its endpoint, or ``None`` if it does not."""
        return self.crash_plan(task, spec)

    def plan_cut(self, task: str, spec: str) -> float:
        """Return the seconds for which the start of a task cuts its endpoint off; 0.0 if not."""
        return self.cut_plan(task, spec)

    def next_clock_ms(self) -> int:
        """Return what the clock of an endpoint's next process shows at its start."""
        return self.clocks_ms.pop(0) if self.clocks_ms else random.randint(0, self.max_clock_ms)

    def on_restart(self, endpoint: UsersEndpoint) -> None:
        """Take note of an endpoint that has ended, and is about to start again under its id."""
        now = time.monotonic()
        self.crashes.append(Crash(endpoint.name, now, ""))
        with self._lock:
            host = self._host_of(endpoint)
            if host:
                self._record_listing(endpoint.name, self._hosts[host]["pool"], None)
                self._cut_off.add(endpoint.name)
        self.disruptions.append(Span(now, now + SILENCE_S))

    def on_cut(self, endpoint: UsersEndpoint) -> None:
        """Take note of the beginning of a partition."""
        with self._lock:
            host = self._host_of(endpoint)
            if host:
                self.cut_ends.append(endpoint.cut_until)
                self.disruptions.append(Span(endpoint.cut_since, endpoint.cut_until))
                self._record_listing(endpoint.name, self._hosts[host]["pool"], None)
                self._cut_off.add(endpoint.name)

    def on_crash(self, endpoint: UsersEndpoint, plan: CrashPlan) -> None:
        """Take note of a crash, and start the endpoint again as planned."""
        restart = threading.Thread(target=self._restart, args=(endpoint, plan), daemon=True)
        down_s = SILENCE_S if plan.back_s is None else plan.back_s
        self.disruptions.append(Span(endpoint.down_since, endpoint.down_since + down_s))
        with self._lock:
            host = self._host_of(endpoint)
            if host:
                self._hosts[host] |= {"state": "down", "id": ""}
                self._record_listing(endpoint.name, self._hosts[host]["pool"], None)
        restart.start()

    def _restart(self, endpoint: UsersEndpoint, plan: CrashPlan) -> None:
        endpoint.close()
        self._closed.wait(SILENCE_S if plan.back_s is None else plan.back_s)
        with self._lock:
            host = self._host_of(endpoint)
            if not host or self._closed.is_set():
                return
            if plan.back_s is None:
                self._lose(host)
                return
            name = self._new_name() if plan.renamed else endpoint.name
            self._start_endpoint(host, name, endpoint.address)
        if plan.renamed and not self._closed.wait(SILENCE_S):
            with self._lock:
                self._withdraw(endpoint.name)

    def _lose(self, host: str) -> None:
        """Remove a host for good."""
        self._withdraw(self._endpoints.pop(host).name)
        del self._hosts[host]

    def _host_of(self, endpoint: UsersEndpoint) -> str:
        """Return the host on which an endpoint is, or an empty string if it is on none."""
        hosts = (host for host, other in self._endpoints.items() if other is endpoint)
        return next(hosts, "")

    # Endpoints and their entries

    def _tick(self) -> None:
        while not self._closed.wait(TICK_INTERVAL_S):
            self.store.expire_leases()
            for endpoint in list(self._endpoints.values()):
                if not endpoint.closed:
                    endpoint.tick()
            with self._lock:
                for host in self._endpoints:
                    self._publish(host)

    def _start_endpoint(self, host: str, name: str = "", address: str = "") -> None:
        """Start an endpoint on a host, unless the host is in the standby pool.

        :param name: id of the endpoint; a new one by default.
        :param address: address of the endpoint; a new one by default.
        """
        entry = self._hosts[host]
        entry |= {"state": "up", "id": ""}
        if entry["pool"] == "standby":
            return
        entry["id"] = name or self._new_name()
        self._endpoints[host] = UsersEndpoint(entry["id"], address or _new_address(), self)
        self._publish(host)

    def _new_name(self) -> str:
        return f"i-{next(self._names)}"

    def _publish(self, host: str) -> None:
        """Bring the entry of a host's endpoint up to date, as far as the store can be reached."""
        endpoint = self._endpoints[host]
        if endpoint.closed:
            if time.monotonic() > endpoint.down_since + SILENCE_S:
                self._withdraw(endpoint.name)
            return
        if host in self.unheard:
            if time.monotonic() > self._heard_at.get(host, 0.0) + SILENCE_S:
                self._withdraw(endpoint.name)
            return
        self._heard_at[host] = time.monotonic()
        if endpoint.is_starting:
            return
        if endpoint.is_cut_off:
            if time.monotonic() > endpoint.cut_since + SILENCE_S:
                self._withdraw(endpoint.name)
            return
        if endpoint.name in self._cut_off:
            self._cut_off.discard(endpoint.name)
            pool = self._hosts[host]["pool"]
            self._record_listing(endpoint.name, pool, self._capacities[host])
        entry = self._entry(host, endpoint)
        written = self._entries.get(endpoint.name, {})
        if self.store.down or written | {"seq": 0} == entry | {"seq": 0}:
            return
        is_same_life = written.get("born") == entry["born"]
        entry["seq"] = written["seq"] + 1 if is_same_life else 1
        self._entries[endpoint.name] = entry
        self.store.put(f"servers/{endpoint.name}", msgspec.json.encode(entry))
        self._record_listing(endpoint.name, entry["service"], self._capacities[host])

    def _entry(self, host: str, endpoint: UsersEndpoint) -> dict[str, Any]:
        return {
            "service": self._hosts[host]["pool"],
            "address": endpoint.address,
            "state": "ready",
            "zone": self._hosts[host]["zone"],
            "capacity": msgspec.structs.asdict(self._capacities[host]),
            "labels": ["a", "r1"],
            "machine": host,
            "born": endpoint.started_ms,
        }

    def _withdraw(self, name: str) -> None:
        if self._entries.pop(name, None) is not None:
            self.store.remove(f"servers/{name}")

    def _record_listing(self, name: str, pool: str, capacity: Amounts | None) -> None:
        self.listings.append(Listing(time.monotonic(), name, pool, capacity))

    # Hosts

    def _serve_hosts(self, call: Call) -> None:
        if call.method == "GET":
            with self._lock:
                rows = [self._host_row(host) for host in self._hosts]
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

    def _host_row(self, host: str) -> dict[str, Any]:
        return self._hosts[host] | {"capacity": msgspec.structs.asdict(self._capacities[host])}

    def _take_down(self, host: str, pool: str) -> None:
        entry = self._hosts[host]
        former_pool = entry["pool"]
        entry["state"] = "moving" if pool else "upkeep"
        entry["pool"] = pool or entry["pool"]
        down = sum(1 for other in self._hosts.values() if other["state"] == "upkeep")
        self.max_down = max(self.max_down, down)
        entry["id"] = ""
        endpoint = self._endpoints.pop(host, None)
        if endpoint is not None:
            self._withdraw(endpoint.name)
            self._record_listing(endpoint.name, former_pool, None)
        threading.Thread(target=self._bring_up, args=(host, endpoint), daemon=True).start()

    def _bring_up(self, host: str, endpoint: UsersEndpoint | None) -> None:
        if endpoint is not None:
            endpoint.close()
        self._closed.wait(HOST_DOWN_S)
        with self._lock:
            if not self._closed.is_set():
                self._start_endpoint(host)


def _new_address() -> str:
    return _network().address(1, 1, next(_ports))


@functools.cache
def _network() -> LoopbackNetwork:
    return LoopbackNetwork()
