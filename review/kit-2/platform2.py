"""Stand-in of the users' platform for the scripts of this review: store, minions, machine list.

Standard library only. It follows PROTOCOL.md; all servers run on one asyncio loop in a thread of
their own, on loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import random
import socket
import threading
import time
from urllib.parse import parse_qs, urlsplit

HOLD_MAX_S = 10.0
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
MAINTENANCE_S = 2.0
MOVE_S = 1.5
RESTORE_S = 0.1
HEARTBEAT_S = 1.5
STORE_S = 0.004
ENDS_AT_A_TIME = 500
PAGE_ITEMS = 500
TICK_S = 0.01

NO_ANSWER = object()
"""Result of a handler that gives no answer: the connection is closed."""


def free_network():
    """Return a prefix 127.N.M. whose addresses nobody listens on."""
    while True:
        prefix = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}."
        with socket.socket() as probe:
            try:
                probe.bind((prefix + "1", 8624))
                return prefix
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self._lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path):
        with self._lock:
            path.write_text("\n".join(self.lines) + "\n")


class Http:
    """A small HTTP/1.1 server; ``handle`` returns a status and a value, or ``NO_ANSWER``."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512)

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                answer = await self._handle(method, url.path, query, headers, body)
                if answer is NO_ANSWER:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The metadata store."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self._ids = itertools.count(77000)
        self._changed = asyncio.Condition()

    async def serve(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_S)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at_rev": self.revision})
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return await self._txn(json.loads(body))
        if path == "/kv-lease":
            lease, ttl_s = next(self._ids), json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        await self._end_lease(lease)
        return 200, {}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        size, items = 0, []
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if items and size > 1_000_000:
                break
            items.append(self.items[key])
        return {"items": items, "truncated": len(items) < len(keys), "at_rev": self.revision}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def events():
            found = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            return found[::-1]

        async with self._changed:
            while not (found := events()) and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return {"events": found, "at_rev": self.revision}

    async def _txn(self, txn):
        for row in txn["precondition"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items.get(row["key"]) for row in txn["precondition"]]
                return 412, {"items": [item for item in found if item is not None]}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in txn["writes"]):
            return 404, {}
        await self.apply(txn["writes"], txn["remove"])
        return 200, {"revision": self.revision}

    async def apply(self, writes, remove):
        self.revision += 1
        for write in writes:
            created = self.items.get(write["key"], {}).get("created", self.revision)
            item = {"lease": 0} | write | {"revision": self.revision, "created": created}
            self.items[write["key"]] = item
            self.history.append(item)
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "removed": True})
        async with self._changed:
            self._changed.notify_all()

    async def put(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([{"key": key, "value": data}], [])

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if lease and item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def tick(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if now > end]:
            await self._end_lease(lease)


class Run:
    """One start of a task on a minion, with what became of it."""

    def __init__(self, minion, task, number, checkpoint, began):
        self.minion, self.task, self.number, self.checkpoint = minion, task, number, checkpoint
        self.began = began
        self.ended = self.how = self.noted = None
        self.end_expires = None
        self.outdated = False
        self.base = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.works_from = began + (RESTORE_S if checkpoint else 0.0)
        self.stop_at = None

    @property
    def step(self):
        return self.task.rpartition(".")[0]


class Minion:
    """One life of a minion."""

    def __init__(self, world, name, address, machine, pool, zone, labels, cpu, mem_mb):
        self.world, self.name, self.machine, self.pool = world, name, machine, pool
        self.zone, self.labels, self.capacity = zone, labels, (cpu, mem_mb)
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running, self.ended = {}, []
        self.last_run = {}
        self.count = 0
        self.token = 0
        self.expires_ms = 0
        self.is_up = True
        self.changed = asyncio.Condition()
        self.http = Http(address, self.serve)
        self.seq = 0

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def entry(self):
        self.seq += 1
        cpu, mem_mb = self.capacity
        return {
            "service": self.pool,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
        }

    async def serve(self, method, path, query, headers, body):
        if not self.is_up:
            return NO_ANSWER
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if path == "/health":
            return 200, {}
        order = json.loads(body)
        header = {"clock_ms": self.clock_ms(), "born": self.born}
        if order.get("fencing_token", 0) < self.token:
            return 409, header | {"reason": "fence"}
        self.token = order.get("fencing_token", 0)
        if path == "/hold":
            return 200, await self._hold(order)
        if path == "/pace":
            return 200, header
        key = order["task"], order["run_id"]
        if path == "/run-stop":
            run = self.running.get(key)
            if run is not None and run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_S
            self.last_run[key[0]] = max(key[1], self.last_run.get(key[0], 0))
            return 200, header
        return self._start(order, key, header)

    def _start(self, order, key, header):
        if key in self.running:
            return 200, header
        if order["run_id"] <= self.last_run.get(order["task"], 0):
            self._extend(order)
            return 409, header | {"reason": "old"}
        if order["expires_ms"] <= self.clock_ms():
            return 409, header | {"reason": "late"}
        self._extend(order)
        run = Run(self, *key, order.get("checkpoint", ""), time.monotonic())
        self.running[key] = run
        self.world.on_start(run, order)
        return 200, header

    def _extend(self, order):
        most = self.clock_ms() + int(HOLD_MAX_S * 1000)
        self.expires_ms = max(self.expires_ms, min(most, order.get("expires_ms", 0)))

    async def _hold(self, order):
        if self.running:
            self._extend(order)
        acknowledged = order.get("ack_cursor", 0)
        for row, run in self.ended:
            if row[0] <= acknowledged:
                run.noted = time.monotonic()
        self.ended = [end for end in self.ended if end[0][0] > acknowledged]
        end = time.monotonic() + order.get("wait_ms", 0) / 1000
        async with self.changed:
            while not self.ended and self.is_up and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        running = [
            [run.task, run.number, self.world.saved(run), self.world.percent(run), 0]
            for run in self.running.values()
        ]
        return {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": [row for row, _ in self.ended[:ENDS_AT_A_TIME]],
        }

    async def tick(self):
        if not self.is_up:
            return
        now, ends = time.monotonic(), []
        lapsed = self.clock_ms() > self.expires_ms
        if lapsed:
            for _, run in self.ended:
                run.outdated = True
        for run in list(self.running.values()):
            how = "lapsed" if lapsed else self.world.end_of(run, now)
            if run.stop_at is not None and now >= run.stop_at:
                how = how or "stopped"
            if how:
                ends.append((run, how))
        for run, how in ends:
            self._end(run, how)
        if ends:
            async with self.changed:
                self.changed.notify_all()

    def _end(self, run, how):
        saved = self.world.saved(run)
        del self.running[run.task, run.number]
        self.last_run[run.task] = max(run.number, self.last_run.get(run.task, 0))
        run.ended, run.how = time.monotonic(), how
        self.count += 1
        self.ended.append(([self.count, run.task, run.number, how, saved], run))
        self.world.on_end(run, saved)

    def crash(self):
        """End without a trace; what runs here is gone."""
        self.is_up = False
        self.http.close()
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "gone"
            self.world.on_end(run, "")
        self.running = {}


class World:
    """The platform, its minions, and what they have seen.

    :ivar jobs: body of each job by id, as the client sent it.
    :ivar work_s: seconds of work of a task, by job id and step.
    """

    def __init__(self, record, prefix):
        self.record, self.prefix = record, prefix
        self.store = None
        self.minions = {}
        self.machines = {}
        self.jobs, self.work_s = {}, {}
        self.runs = []
        self.planned = {}
        self.upkeeps = []
        self._machine_tokens = {}
        self._gang_began = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._servers = []
        self._ids = itertools.count(1)
        self.store_address = f"{prefix}200:8621"
        self.cloud_address = f"{prefix}201:8621"
        self.advice_address = f"{prefix}202:8621"
        self.call(self._start())

    def call(self, coroutine):
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    async def _start(self):
        self.store = Store()
        for address, handle in (
            (self.store_address, self.store.serve),
            (self.cloud_address, self._serve_cloud),
            (self.advice_address, self._serve_advice),
        ):
            server = Http(address, handle)
            await server.start()
            self._servers.append(server)
        self._ticker = asyncio.ensure_future(self._tick())

    def close(self):
        async def stop():
            self._ticker.cancel()
            for server in self._servers + [m.http for m in self.minions.values()]:
                server.close()
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.call(stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _tick(self):
        beat_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            await self.store.tick()
            for minion in list(self.minions.values()):
                await minion.tick()
            if time.monotonic() > beat_at:
                beat_at = time.monotonic() + HEARTBEAT_S
                for minion in list(self.minions.values()):
                    if minion.is_up:
                        await self.store.put(f"servers/{minion.name}", minion.entry())

    async def _serve_cloud(self, method, path, query, headers, body):
        if method != "GET":
            return await self._order_machine(path, headers, json.loads(body))
        rows = [
            {
                "machine": machine,
                "pool": minion.pool,
                "state": self.planned.get(machine, "up" if minion.is_up else "down"),
                "zone": minion.zone,
                "labels": minion.labels,
                "capacity": {"cpu": minion.capacity[0], "mem_mb": minion.capacity[1], "gpu": 0},
                "id": minion.name if minion.is_up else "",
            }
            for machine, minion in self.machines.items()
        ]
        return 200, {"machines": rows, "next_token": None}

    async def _order_machine(self, path, headers, order):
        """Carry out a move or an upkeep: the minion ends at once, and a new one comes."""
        machine, token = order["machine"], int(headers["fencing-token"])
        self.record(f"CLOUD {path} {json.dumps(order)} by {headers['lease-holder']} token {token}")
        minion = self.machines.get(machine)
        if minion is None:
            return 400, {}
        if token < self._machine_tokens.get(machine, 0):
            return 409, {"reason": "fence"}
        self._machine_tokens[machine] = token
        if path == "/machine-upkeep" and (machine, order["wave"]) in self.upkeeps:
            return 200, {}
        if machine in self.planned or not minion.is_up:
            return 409, {"reason": "busy"}
        if path == "/machine-upkeep":
            self.upkeeps.append((machine, order["wave"]))
        pool = order.get("pool", minion.pool)
        self.planned[machine] = "upkeep" if path == "/machine-upkeep" else "moving"
        minion.crash()
        await self.store.apply([], [f"servers/{minion.name}"])
        asyncio.ensure_future(self._bring_back(minion, pool))
        return 200, {}

    async def _bring_back(self, minion, pool):
        await asyncio.sleep(MAINTENANCE_S if pool == minion.pool else MOVE_S)
        number = next(self._ids)
        new = Minion(
            self,
            f"i-{number:08x}",
            f"{self.prefix}{100 + number}:8080",
            minion.machine,
            pool,
            minion.zone,
            minion.labels,
            *minion.capacity,
        )
        await new.http.start()
        del self.minions[minion.name]
        self.minions[new.name] = self.machines[new.machine] = new
        del self.planned[new.machine]
        await self.store.put(f"servers/{new.name}", new.entry())

    async def _serve_advice(self, method, path, query, headers, body):
        return 200, {"good": [], "valid_ms": 3000}

    # Set-up

    def add_minion(self, pool, zone, cpu, mem_mb, rack="r1-1", name=""):
        async def add():
            number = next(self._ids)
            minion = Minion(
                self,
                name or f"i-{number:08x}",
                f"{self.prefix}{100 + number}:8080",
                f"m-{number:05x}",
                pool,
                zone,
                ["a", rack],
                cpu,
                mem_mb,
            )
            await minion.http.start()
            self.minions[minion.name] = self.machines[minion.machine] = minion
            await self.store.put(f"servers/{minion.name}", minion.entry())
            return minion

        return self.call(add())

    def crash_minion(self, minion):
        """Crash a minion; its entry goes after three heartbeats, unless it starts again before."""

        async def crash():
            minion.crash()
            self._loop.call_later(3 * HEARTBEAT_S, self._remove_entry, minion)

        self.record(f"DISRUPTION minion {minion.name} crashes")
        self.call(crash())

    def _remove_entry(self, minion):
        if self.minions[minion.name] is minion:
            asyncio.ensure_future(self.store.apply([], [f"servers/{minion.name}"]))

    def restart_minion(self, minion):
        """Start a minion again under the id and the address that it had."""

        async def restart():
            new = Minion(
                self,
                minion.name,
                minion.http.address,
                minion.machine,
                minion.pool,
                minion.zone,
                minion.labels,
                *minion.capacity,
            )
            await new.http.start()
            self.minions[new.name] = self.machines[new.machine] = new
            await self.store.put(f"servers/{new.name}", new.entry())
            return new

        self.record(f"minion {minion.name} starts again")
        return self.call(restart())

    def configure(self, version, services, routes, spare=None):
        """Write a configuration.

        :param routes: rows of name, prefix, service and max_attempts.
        :param spare: service that is on standby, if there is one.
        """
        value = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": "pule25.example",
                    "prefix": prefix,
                    "type": "non_idempotent",
                    "timeout_ms": 3000,
                    "latency_slo_ms": 600,
                    "priority": 0,
                    "service": service,
                    "max_attempts": attempts,
                    "stretch": 1.6,
                }
                for name, prefix, service, attempts in routes
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": False,
                    "standby": service == spare,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.call(self.store.put("op/config", value))

    def owner_of(self, shard):
        """Return the process that holds a shard, as the platform's store shows it."""
        value = self.store.value(f"m/o/{shard}")
        return None if value is None else value["process"]

    # What runs

    def spec_of(self, run):
        job, _, step, _ = run.task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_of(self, run):
        """Return the seconds of work of a run's task; a function of the run where tasks differ."""
        job, _, step, _ = run.task.split(".")
        work_s = self.work_s[job][int(step)]
        return work_s(run) if callable(work_s) else work_s

    def on_start(self, run, order):
        self.runs.append(run)
        self.record(
            f"START  {run.minion.name} {run.task} run {run.number} "
            f"checkpoint '{run.checkpoint}' token {order['fencing_token']}"
        )

    def on_end(self, run, saved):
        self.record(f"END    {run.minion.name} {run.task} run {run.number} {run.how} '{saved}'")

    def _members(self, run):
        return [r for r in self.runs if r.step == run.step and r.number == run.number]

    def _worked(self, run, now):
        """Return the seconds of work that a run stands at, including those it resumed from."""
        if not self.spec_of(run).get("gang"):
            return run.base + max(0.0, now - run.works_from)
        began = self._gang_began.get((run.step, run.number))
        return run.base + (max(0.0, now - began) if began is not None else 0.0)

    def saved(self, run):
        """Return the newest checkpoint of a run."""
        if not self.spec_of(run).get("checkpointing"):
            return ""
        worked = self._worked(run, time.monotonic())
        unit_ms = int(CHECKPOINT_S * 1000)
        ms = int(worked * 1000) // unit_ms * unit_ms
        return f"{ms:08x}{run.task[4:12]}" if ms else run.checkpoint

    def percent(self, run):
        if self.spec_of(run).get("long_running"):
            return 100 if time.monotonic() - run.began > 0.3 else 0
        return min(99, int(100 * self._worked(run, time.monotonic()) / self.work_of(run)))

    def end_of(self, run, now):
        spec = self.spec_of(run)
        if spec.get("long_running"):
            return None
        if spec.get("gang"):
            return self._end_of_member(run, spec["count"], now)
        return "done" if self._worked(run, now) >= self.work_of(run) else None

    def _end_of_member(self, run, count, now):
        """A gang works once all members of a run are present, which carry one checkpoint."""
        key, members = (run.step, run.number), self._members(run)
        ends = {member.how for member in members if member.how}
        if key in self._gang_began:
            if ends - {"done"}:
                return "broken"
            return "done" if "done" in ends or self._worked(run, now) >= self.work_of(run) else None
        present = [member for member in members if not member.how]
        if len(present) >= count and len({member.checkpoint for member in present}) == 1:
            restore_s = RESTORE_S if run.checkpoint else 0.0
            self._gang_began[key] = now + restore_s
            return None
        return "alone" if now - run.began >= GANG_TIMEOUT_S else None
