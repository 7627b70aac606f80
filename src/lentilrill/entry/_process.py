"""Assembles the parts of an entry host."""

import threading
import time
from typing import Any

import msgspec

from lentilrill.entry._caches import ConfigurationCache, EndpointDirectory
from lentilrill.entry._status_exchange import StatusExchange
from lentilrill.entry._workspace_metrics import set_submission_gauges, set_workspace_gauges
from lentilrill.execution import NO_HOST_SOURCE, EndpointCalls, HostReader, PoolOwner
from lentilrill.ids import Incarnation, PoolId, Revision
from lentilrill.inner import (
    Batch,
    JobAccepted,
    JobAsk,
    JobCancelled,
    JobDoubted,
    JobTold,
    Node,
    PoolPressure,
    ReleaseAsk,
    ReleaseState,
    ReleaseTold,
)
from lentilrill.intake import MAX_STORE_SILENT_S, Intake, WaitingCounts, WorkspaceAdmission
from lentilrill.ownership import OWNER_PREFIX, Ownership, PaceMonitor, Shard
from lentilrill.platform import (
    ENDPOINTS_PREFIX,
    OPERATORS_PREFIX,
    HttpEndpoint,
    Ingress,
    PlatformHosts,
    PlatformKeyValue,
    PlatformPolicy,
    encode_wave_state,
    plain_text_server,
    wave_state_key,
)
from lentilrill.settings import EntrySettings
from lentilrill.store import Follower
from lentilrill.telemetry import ScrapedMetrics
from lentilrill.upkeep import FLEET, EndpointDrainer, FleetOwner, HostOrders, Mover, Waves
from lentilrill.workloads import EndpointEntry, PoolEntry, PoolUse, WorkspaceReport

__all__ = ["EntryProcess"]

WORKSPACES_PATH = "/workspaces"
ENDPOINTS_PATH = "/endpoints"
MAX_BATCH_BYTES = 4 * 1024 * 1024
"""Four times the longest value of the store, which a message may hold."""
DRAIN_NOTICE_S = 2.4
"""Time for which a draining host still serves callers: the load balancer checks readiness once a
second, and stops sending after two failed checks."""
ENDPOINT_WATCH_PAUSE_S = 0.3
"""Pause between two watch calls for endpoints, each of which writes about once a second. One call
gets all changes made during the pause; a host moved into a pool waits no longer than this."""
SERVER_STOP_TIMEOUT_S = 1.2
"""Timeout for stopping a server, which gives its requests one second to finish."""
FLEET_STOP_TIMEOUT_S = 1.1
"""Timeout for the last order of the fleet's owner before its key is handed over. An order without
an answer is given up after 1 s."""
MAX_GRACE_SHARE = 0.75
"""Share of the grace period after which a draining host ends even with requests in flight."""


class EntryProcess:
    """One entry host: its servers for callers, its shards, and its exchange with other hosts."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.metrics = ScrapedMetrics()
        self.metrics.add_source(lambda gauges: set_workspace_gauges(gauges, self._workspace_use()))
        self.metrics.add_source(
            lambda gauges: set_submission_gauges(gauges, self._workspaces.submissions())
        )
        self._kv = PlatformKeyValue(settings.store, self.metrics)
        self._incarnation = Incarnation(time.time_ns())
        self._node = Node(
            settings.process,
            self._incarnation,
            settings.inner,
            None,
            self.metrics,
            max_batch_bytes=MAX_BATCH_BYTES,
            max_connections=settings.inner_connections,
        )
        self._policy = PlatformPolicy(settings.advice, self.metrics) if settings.advice else None
        hosts_api = settings.hosts_api
        self._host_reader = HostReader(PlatformHosts(hosts_api)) if hosts_api else None
        self._configuration = ConfigurationCache()
        self._endpoint_directory = EndpointDirectory()
        self._lock = threading.Lock()
        self._owners_by_pool: dict[PoolId, PoolOwner] = {}
        self._fleet: FleetOwner | None = None
        self._draining = False
        self._pace = PaceMonitor(self.metrics, is_owner=lambda: self._ownership.is_owner)
        self._ownership = Ownership(
            self._kv,
            settings.process,
            self._incarnation,
            settings.zone,
            settings.inner,
            self._shards,
            self,
            lambda: self._status_exchange.is_store_outage(),
            settings.limits.strength,
            lambda: self._pace.value,
            can_take_over=lambda process: self._status_exchange.can_take_over(process),
        )
        self._status_exchange = StatusExchange(
            self._node,
            lambda: self._ownership.peers,
            self._configuration,
            self._pressures,
            lambda: self._kv.silent_s,
            self._wake_fleet,
            lambda: self.ready,
            lambda: self._pace.is_slowed,
            lambda: self._address_of(FLEET),
            lambda: self._ownership.is_owner,
        )
        self._workspaces = WorkspaceAdmission(
            lambda: self._configuration.current, self._status_exchange.newest_pressures
        )
        self._intake = Intake(
            self._kv,
            self._node,
            self._owners_by_pool.get,
            lambda pool: self._ownership.owner_of(Shard(pool)),
            self._status_exchange.pressure_of,
            self._configuration.former_pools,
            lambda: [peer.inner for peer in self._ownership.peers],
            lambda: self._kv.silent_s,
            self._workspaces,
        )
        self._ingress = Ingress(
            settings.callers,
            settings.threads,
            self._intake,
            WaitingCounts(
                lambda: self._configuration.owned_pools,
                self._status_exchange.newest_pressures,
                lambda: self._configuration.configured_at,
            ).count,
            lambda: self._configuration.current,
            lambda: self._draining,
            self.metrics,
            lambda: self._kv.silent_s >= MAX_STORE_SILENT_S,
            settings.limits.caller_connections,
            settings.limits.caller_bytes,
        )
        self._plain_servers = [
            plain_text_server(settings.readiness, self._readiness, "readiness"),
            plain_text_server(settings.metrics, self._show, "metrics"),
        ]
        self._endpoint_follower = Follower(
            self._kv,
            ENDPOINTS_PREFIX,
            self._endpoint_directory,
            pause_s=ENDPOINT_WATCH_PAUSE_S,
            is_needed=lambda: bool(self._owners_by_pool),
        )
        self._followers = [
            Follower(self._kv, OPERATORS_PREFIX, self._configuration),
            self._endpoint_follower,
        ]
        self._node.on(JobAccepted, self._on_job_accepted)
        self._node.on(JobCancelled, self._on_job_cancelled)
        self._node.on(JobDoubted, self._intake.on_job_doubted)
        self._node.on(JobAsk, self._on_job_ask)
        self._node.on(JobTold, self._intake.on_job_told)
        self._node.on(ReleaseAsk, self._on_release_ask)
        self._node.on(ReleaseTold, self._on_release_told)

    def start(self) -> None:
        """Start serving."""
        self._node.start()
        for follower in self._followers:
            follower.start()
        self._intake.start()
        if self._host_reader is not None:
            self._host_reader.start()
        self._pace.start()
        self._ownership.start()
        self._status_exchange.start()
        servers: list[Any] = [self._ingress, *self._plain_servers]
        for server in servers:
            server.prepare()
            threading.Thread(target=server.serve, name="serve", daemon=True).start()

    def drain(self) -> None:
        """Release all shards, let callers move to other hosts, finish open requests, and stop."""
        started_at = time.monotonic()
        self._draining = True
        self._ownership.leave()
        time.sleep(min(DRAIN_NOTICE_S, self._settings.grace_s * MAX_GRACE_SHARE / 2))
        self._stop([self._ingress])
        self._intake.close()
        for follower in self._followers:
            follower.close()
        self._status_exchange.close()
        if self._host_reader is not None:
            self._host_reader.close()
        self._pace.close()
        self._ownership.close()
        # Stop these servers too: threads of a running server keep the interpreter alive, and the
        # process would be killed at the end of its grace period.
        self._stop(self._plain_servers)
        remaining_s = self._settings.grace_s * MAX_GRACE_SHARE - (time.monotonic() - started_at)
        self._node.close(linger_s=max(0.1, min(0.5, remaining_s)))

    def _stop(self, servers: list[Any]) -> None:
        """Stop servers concurrently, since each takes up to a second."""
        stops = [threading.Thread(target=server.stop, daemon=True) for server in servers]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join(SERVER_STOP_TIMEOUT_S)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        return (
            not self._draining
            and self._configuration.current is not None
            and self._kv.silent_s < MAX_STORE_SILENT_S
        )

    def _readiness(self, path: str) -> tuple[int, bytes]:
        del path
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _show(self, path: str) -> tuple[int, bytes]:
        """Return the metrics, or what workspaces use and submit here, or what endpoints do."""
        if path == WORKSPACES_PATH:
            report = WorkspaceReport(tuple(self._workspace_use()), self._workspaces.submissions())
            return 200, msgspec.json.encode([report])
        if path == ENDPOINTS_PATH:
            speeds = [speed for owner in self._owners() for speed in owner.endpoint_speeds()]
            return 200, msgspec.json.encode(speeds)
        return 200, self.metrics.render()

    def _workspace_use(self) -> list[PoolUse]:
        return [owner.workspace_use() for owner in self._owners()]

    def _owners(self) -> list[PoolOwner]:
        with self._lock:
            return list(self._owners_by_pool.values())

    def _shards(self) -> set[Shard]:
        if self._configuration.current is None:
            return set()
        return {FLEET} | {Shard(pool) for pool in self._configuration.owned_pools}

    def _pressures(self) -> tuple[PoolPressure, ...]:
        with self._lock:
            owners = list(self._owners_by_pool.values())
        pressures = [owner.pressure() for owner in owners]
        return tuple(pressure for pressure in pressures if pressure is not None)

    # Shards

    def on_gained(self, shard: Shard, token: Revision) -> None:
        """Start acting as the owner of ``shard``."""
        if shard == FLEET:
            self._fleet = self._create_fleet_owner(token)
            self._fleet.start()
            return
        owner = PoolOwner(
            self._kv,
            PoolId(shard),
            token,
            OWNER_PREFIX + shard,
            lambda: self._configuration.current,
            self._endpoint_directory.of_pool,
            self._connect,
            lambda: self._ownership.may_order(shard),
            lambda: self._ownership.holds(shard),
            lambda reason: self._ownership.give_up(shard, token, reason),
            lambda: self._configuration.key,
            lambda: self._ownership.records_since,
            self._policy,
            self.metrics,
            self._host_reader or NO_HOST_SOURCE,
            self._settings.max_run_lease_ms / 1000,
        )
        with self._lock:
            previous = self._owners_by_pool.get(PoolId(shard))
            self._owners_by_pool[PoolId(shard)] = owner
        self._endpoint_follower.wake()
        if previous is not None:
            previous.close()
        owner.start()

    def on_lost(self, shard: Shard, *, flush: bool = False) -> None:
        """Stop acting as the owner of ``shard``.

        :param flush: whether to store unsaved state first, as no other process can own it yet.
        """
        if shard == FLEET:
            if self._fleet is not None:
                self._fleet.close()
                if flush or self._pace.is_slowed:
                    # Wait for a round in progress, since its orders must not overlap with those of
                    # the next owner. A slowed host hands over without a flush but waits as well.
                    self._fleet.join(FLEET_STOP_TIMEOUT_S)
            return
        with self._lock:
            owner = self._owners_by_pool.pop(PoolId(shard), None)
        if owner is not None:
            owner.close(flush=flush)

    def _create_fleet_owner(self, token: Revision) -> FleetOwner:
        hosts = PlatformHosts(self._settings.hosts_api)
        drainer = EndpointDrainer(self._node, lambda pool: self._ownership.owner_of(Shard(pool)))
        process = self._settings.process
        orders = HostOrders(self._settings.host_orders_per_s)

        def may_order() -> bool:
            return self._ownership.may_order_as(FLEET, token)

        def on_fenced(reason: str) -> None:
            self._ownership.give_up(FLEET, token, reason)

        waves = Waves(
            self._kv,
            hosts,
            drainer,
            process,
            token,
            OWNER_PREFIX + FLEET,
            lambda: dict(self._configuration.waves_by_number),
            self._load_of,
            may_order,
            on_fenced,
            wave_state_key,
            lambda completed: encode_wave_state(completed=completed),
            orders,
        )
        mover = Mover(
            hosts,
            drainer,
            process,
            token,
            self._pools,
            self._status_exchange.pressure_of,
            on_fenced,
            may_order,
            orders,
        )
        return FleetOwner(hosts, waves, mover, drainer, may_order)

    def _pools(self) -> tuple[PoolEntry, ...]:
        configuration = self._configuration.current
        return configuration.pools if configuration is not None else ()

    def _load_of(self, pool: PoolId) -> float:
        """Return a pool's need as a share of its hosts, as reported by its owner; 0 if unknown."""
        pressure = self._status_exchange.pressure_of(pool)
        return pressure.need / max(1, pressure.hosts) if pressure is not None else 0.0

    def _address_of(self, shard: Shard) -> str:
        record = self._ownership.owner_of(shard)
        return record.inner if record is not None else ""

    def _connect(self, entry: EndpointEntry) -> EndpointCalls:
        return HttpEndpoint(entry, self.metrics)

    # Messages from other hosts

    def _on_job_accepted(self, batch: Batch, message: JobAccepted) -> None:
        del batch
        owner = self._owners_by_pool.get(message.pool)
        if owner is not None:
            owner.add_job(message.value, Revision(message.revision))

    def _on_job_cancelled(self, batch: Batch, message: JobCancelled) -> None:
        del batch
        owner = self._owners_by_pool.get(message.pool)
        if owner is not None:
            owner.cancel(message.job)

    def _on_job_ask(self, batch: Batch, message: JobAsk) -> None:
        owner = self._owners_by_pool.get(message.pool)
        if owner is None or not owner.may_order():
            answer = JobTold(message.ask, False, asker=message.asker)
        else:
            found = owner.find(message.job)
            answer = JobTold(message.ask, True, asker=message.asker)
            if found is not None:
                answer = msgspec.structs.replace(
                    answer,
                    state=found.state.value,
                    workspace=found.workspace,
                    cause=found.cause.value,
                )
        self._node.send(batch.reply_to, answer)

    def _on_release_ask(self, batch: Batch, message: ReleaseAsk) -> None:
        owner = self._owners_by_pool.get(message.pool)
        if owner is None or not owner.may_order():
            state, reason = ReleaseState.NOT_OWNER, "another host owns the pool"
        else:
            state, reason = owner.release(message.endpoint, cancel=message.cancel)
        answer = ReleaseTold(message.ask, message.endpoint, state, reason, message.asker)
        self._node.send(batch.reply_to, answer)

    def _wake_fleet(self) -> None:
        if self._fleet is not None:
            self._fleet.wake()

    def _on_release_told(self, batch: Batch, message: ReleaseTold) -> None:
        del batch
        if self._fleet is not None:
            self._fleet.on_release_told(message)
