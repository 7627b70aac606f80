"""Puts an entry host's parts together."""

import threading
import time
from typing import Any

from lentilrill.entry._books import ConfigurationBook, EndpointBook
from lentilrill.entry._news import NewsDesk
from lentilrill.execution import EndpointCalls, PoolOwner
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
from lentilrill.intake import SILENT_STORE_S, Intake
from lentilrill.ownership import Ownership, Pace, Shard
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
from lentilrill.upkeep import FLEET, Emptying, FleetOwner, HostOrders, Mover, Waves
from lentilrill.workloads import EndpointEntry, PoolEntry

__all__ = ["EntryProcess"]

NOTICE_S = 2.4
"""How long a stopping host goes on taking callers: the balancer asks once a second, and sends none
after two refusals."""
OWNER_KEYS = "m/o/"
ENDPOINTS_PAUSE_S = 0.3
"""Pause between two watch calls for endpoints, which write there every second or so each: one call
for all changes of the pause, and a host that was moved in is used as soon."""
STOP_S = 1.2
"""Wait for a server to stop: it lets the requests under way finish for a second."""
FLEET_STOP_S = 1.1
"""Wait for the last order of a fleet's owner before its key changes hands; an order without an
answer is given up after 1 s."""
GRACE_SHARE = 0.75
"""Share of the grace after which a stopping host ends, whatever is still in flight."""


class EntryProcess:
    """One entry host: callers, shards, and its part in what all hosts know."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.metrics = ScrapedMetrics()
        self._kv = PlatformKeyValue(settings.store, self.metrics)
        self._incarnation = Incarnation(time.time_ns())
        self._node = Node(settings.process, self._incarnation, settings.inner, None, self.metrics)
        self._policy = PlatformPolicy(settings.advice, self.metrics) if settings.advice else None
        self._configuration = ConfigurationBook()
        self._endpoints = EndpointBook()
        self._lock = threading.Lock()
        self._pools_by_id: dict[PoolId, PoolOwner] = {}
        self._fleet: FleetOwner | None = None
        self._leaving = False
        self._pace = Pace(self.metrics, is_owner=lambda: self._ownership.is_owner)
        self._ownership = Ownership(
            self._kv,
            settings.process,
            self._incarnation,
            settings.zone,
            settings.inner,
            self._shards,
            self,
            lambda: self._news.outage_everywhere(),
            settings.limits.strength,
            lambda: self._pace.value,
            takes_over=lambda process: self._news.takes_over(process),
        )
        self._news = NewsDesk(
            self._node,
            lambda: self._ownership.peers,
            self._configuration,
            self._pressures,
            lambda: self._kv.silent_s,
            self._hurry_fleet,
            lambda: self.ready,
            lambda: self._pace.is_slowed,
            lambda: self._address_of(FLEET),
            lambda: self._ownership.is_owner,
        )
        self._intake = Intake(
            self._kv,
            self._node,
            self._pools_by_id.get,
            lambda pool: self._ownership.owner_of(Shard(pool)),
            self._news.pressure_of,
            self._pool_ids,
            lambda: [peer.inner for peer in self._ownership.peers],
            lambda: self._kv.silent_s,
        )
        self._ingress = Ingress(
            settings.callers,
            settings.threads,
            self._intake,
            lambda: self._configuration.current,
            lambda: self._leaving,
            self.metrics,
        )
        self._plain = [
            plain_text_server(settings.readiness, self._readiness),
            plain_text_server(settings.metrics, lambda path: (200, self.metrics.render())),
        ]
        self._endpoint_follower = Follower(
            self._kv,
            ENDPOINTS_PREFIX,
            self._endpoints,
            pause_s=ENDPOINTS_PAUSE_S,
            is_needed=lambda: bool(self._pools_by_id),
        )
        self._followers = [
            Follower(self._kv, OPERATORS_PREFIX, self._configuration),
            self._endpoint_follower,
        ]
        self._node.on(JobAccepted, self._accepted)
        self._node.on(JobCancelled, self._cancelled)
        self._node.on(JobDoubted, self._intake.doubted)
        self._node.on(JobAsk, self._asked)
        self._node.on(JobTold, self._intake.told)
        self._node.on(ReleaseAsk, self._release_asked)
        self._node.on(ReleaseTold, self._release_told)

    def start(self) -> None:
        """Begin to serve."""
        self._node.start()
        for follower in self._followers:
            follower.start()
        self._intake.start()
        self._pace.start()
        self._ownership.start()
        self._news.start()
        servers: list[Any] = [self._ingress, *self._plain]
        for server in servers:
            server.prepare()
            threading.Thread(target=server.serve, name="serve", daemon=True).start()

    def drain(self) -> None:
        """Hand over what this host owns, let callers go elsewhere, finish, and end."""
        began = time.monotonic()
        self._leaving = True
        self._ownership.leave()
        time.sleep(min(NOTICE_S, self._settings.grace_s * GRACE_SHARE / 2))
        self._stop([self._ingress])
        self._intake.close()
        for follower in self._followers:
            follower.close()
        self._news.close()
        self._pace.close()
        self._ownership.close()
        # Guard against a process that is killed at the end of its grace although it is through: a
        # server that was not stopped keeps threads, and these keep the interpreter.
        self._stop(self._plain)
        left_s = self._settings.grace_s * GRACE_SHARE - (time.monotonic() - began)
        self._node.close(linger_s=max(0.1, min(0.5, left_s)))

    def _stop(self, servers: list[Any]) -> None:
        """Stop servers side by side: each takes up to a second."""
        stops = [threading.Thread(target=server.stop, daemon=True) for server in servers]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join(STOP_S)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self._leaving
            and self._configuration.current is not None
            and self._kv.silent_s < SILENT_STORE_S
        )

    def _readiness(self, path: str) -> tuple[int, bytes]:
        del path
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _shards(self) -> set[Shard]:
        configuration = self._configuration.current
        if configuration is None:
            return set()
        used = {queue.pool for queue in configuration.queues}
        # A standby pool has nothing to run, unless a queue names it.
        pools = {pool.id for pool in configuration.pools if not pool.standby or pool.id in used}
        return {FLEET} | {Shard(pool) for pool in pools}

    def _pool_ids(self) -> list[PoolId]:
        return [pool.id for pool in self._pools()]

    def _pressures(self) -> tuple[PoolPressure, ...]:
        with self._lock:
            owners = list(self._pools_by_id.values())
        told = [owner.pressure() for owner in owners]
        return tuple(pressure for pressure in told if pressure is not None)

    # Shards

    def gained(self, shard: Shard, token: Revision) -> None:
        """Begin to act as owner of a shard."""
        if shard == FLEET:
            self._fleet = self._fleet_owner(token)
            self._fleet.start()
            return
        owner = PoolOwner(
            self._kv,
            PoolId(shard),
            token,
            OWNER_KEYS + shard,
            lambda: self._configuration.current,
            self._endpoints.of_pool,
            self._dial,
            lambda: self._ownership.may_order(shard),
            lambda reason: self._ownership.give_up(shard, reason),
            self._policy,
            self.metrics,
        )
        with self._lock:
            former = self._pools_by_id.get(PoolId(shard))
            self._pools_by_id[PoolId(shard)] = owner
        self._endpoint_follower.wake()
        if former is not None:
            former.close()
        owner.start()

    def lost(self, shard: Shard, *, flush: bool = False) -> None:
        """Stop acting as owner of a shard.

        :param flush: nobody can own it yet, and there is time to store what is known.
        """
        if shard == FLEET:
            if self._fleet is not None:
                self._fleet.close()
                if flush or self._pace.is_slowed:
                    # Its round may be in the midst of orders, which the next owner's must not meet.
                    # A slowed host hands over without a flush.
                    self._fleet.join(FLEET_STOP_S)
            return
        with self._lock:
            owner = self._pools_by_id.pop(PoolId(shard), None)
        if owner is not None:
            owner.close(flush=flush)

    def _fleet_owner(self, token: Revision) -> FleetOwner:
        hosts = PlatformHosts(self._settings.hosts_api)
        emptying = Emptying(self._node, lambda pool: self._address_of(Shard(pool)))
        process = self._settings.process
        orders = HostOrders(self._settings.host_orders_per_s)

        def may_order() -> bool:
            return self._ownership.may_order(FLEET)

        def refused(reason: str) -> None:
            self._ownership.give_up(FLEET, reason)

        waves = Waves(
            self._kv,
            hosts,
            emptying,
            process,
            token,
            OWNER_KEYS + FLEET,
            lambda: dict(self._configuration.waves_by_number),
            self._load_of,
            may_order,
            refused,
            wave_state_key,
            lambda completed: encode_wave_state(completed=completed),
            orders,
        )
        mover = Mover(
            hosts,
            emptying,
            process,
            token,
            self._pools,
            self._news.pressure_of,
            refused,
            may_order,
            orders,
        )
        return FleetOwner(hosts, waves, mover, emptying, may_order)

    def _pools(self) -> tuple[PoolEntry, ...]:
        configuration = self._configuration.current
        return configuration.pools if configuration is not None else ()

    def _load_of(self, pool: PoolId) -> float:
        """Return the share of a pool's hosts that its work fills, as its owner says."""
        said = self._news.pressure_of(pool)
        return said.need / max(1, said.hosts) if said is not None else 0.0

    def _address_of(self, shard: Shard) -> str:
        record = self._ownership.owner_of(shard)
        return record.inner if record is not None else ""

    def _dial(self, entry: EndpointEntry) -> EndpointCalls:
        return HttpEndpoint(entry, self.metrics)

    # Messages of other hosts

    def _accepted(self, batch: Batch, message: JobAccepted) -> None:
        del batch
        owner = self._pools_by_id.get(message.pool)
        if owner is not None:
            owner.take_job(message.value, Revision(message.revision))

    def _cancelled(self, batch: Batch, message: JobCancelled) -> None:
        del batch
        owner = self._pools_by_id.get(message.pool)
        if owner is not None:
            owner.cancel(message.job)

    def _asked(self, batch: Batch, message: JobAsk) -> None:
        owner = self._pools_by_id.get(message.pool)
        if owner is None or not owner.may_order():
            told = JobTold(message.ask, False)
        else:
            state = owner.state_of(message.job)
            told = JobTold(message.ask, True, state.value if state is not None else "")
        self._node.send(batch.reply_to, told)

    def _release_asked(self, batch: Batch, message: ReleaseAsk) -> None:
        owner = self._pools_by_id.get(message.pool)
        if owner is None or not owner.may_order():
            state, reason = ReleaseState.NOT_OWNER, "another host owns the pool"
        else:
            state, reason = owner.release(message.endpoint, cancel=message.cancel)
        told = ReleaseTold(message.ask, message.endpoint, state, reason)
        self._node.send(batch.reply_to, told)

    def _hurry_fleet(self) -> None:
        if self._fleet is not None:
            self._fleet.hurry()

    def _release_told(self, batch: Batch, message: ReleaseTold) -> None:
        del batch
        if self._fleet is not None:
            self._fleet.told(message)
