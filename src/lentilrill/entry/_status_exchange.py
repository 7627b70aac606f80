"""Exchange of status messages between entry hosts."""

import threading
import time
from collections.abc import Callable

from lentilrill.bounded_maps import keep_newest
from lentilrill.clocks import RemoteClock
from lentilrill.entry._caches import ConfigurationCache
from lentilrill.entry._recipients import SEND_INTERVAL_S, BroadcastSchedule, neighbours, summarize
from lentilrill.entry._store_outage import StoreOutageDetector
from lentilrill.ids import Incarnation, PoolId, ProcessId
from lentilrill.inner import MAX_STATUS_AGE_S, Batch, Configured, HostNews, Node, PoolPressure
from lentilrill.ownership import MemberRecord, boottime
from lentilrill.telemetry import run_and_log_errors

__all__ = ["StatusExchange"]

CHECK_INTERVAL_S = 0.1
"""Pause between two calculations of the need of this host's pools."""
MAX_CHECK_SHARE = 0.05
"""Maximum share of its time that a host spends on these calculations."""
SLOWED_MAX_STATUS_AGE_S = 5.0
"""Time for which a peer's report that it can take over is valid on a slowed host, which handles
messages late. If the peer has ended meanwhile, so has its lease, and the store refuses a write
under it."""
NEED_RISE_HOSTS = 1.0
"""Rise of a pool's need, in hosts, that is sent at once instead of at the next interval."""
QUERY_AFTER_SILENT_S = 0.45
"""Time without an answer from the store after which an owner queries all hosts about it: one lease
renewal. Their answers arrive before the time is long enough to count as an outage."""
CANDIDATE_QUERY_S = 1.0
"""Time for which a take-over candidate is queried after the last interest in it."""
MAX_QUERIED_CANDIDATES = 12
MAX_POOLS = 2048
MAX_SENDERS = 1024
"""Maximum number of pools and hosts of which the newest status is kept: several times those of the
largest site."""
MAX_CLOCK_ERROR = 0.02
"""Share by which a peer's clock may run slow."""


class StatusExchange(threading.Thread):
    """Sends this host's status to its peers, and keeps theirs.

    Status goes only to hosts that use it: the fleet's owner gets the full pressure of each pool,
    all hosts get what they need to accept jobs, and hosts that need to know whether a peer reaches
    the store or can take over a shard query it.

    :param pressures: returns the pressure of the pools that this host owns.
    :param store_silent_s: returns the seconds since the store last answered this host.
    :param on_need_rise: called when a pool's need has risen since its last report.
    :param can_take_over: whether this host can take over a shard now.
    :param is_slowed: whether this host currently runs below its usual speed.
    :param fleet_address: returns the address of the fleet's owner; empty if there is none.
    :param is_owner: whether this host owns any shard.
    """

    def __init__(
        self,
        node: Node,
        peers: Callable[[], list[MemberRecord]],
        configuration: ConfigurationCache,
        pressures: Callable[[], tuple[PoolPressure, ...]],
        store_silent_s: Callable[[], float],
        on_need_rise: Callable[[], None] = lambda: None,
        can_take_over: Callable[[], bool] = lambda: False,
        is_slowed: Callable[[], bool] = lambda: False,
        fleet_address: Callable[[], str] = str,
        is_owner: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(name="news", daemon=True)
        self._node = node
        self._peers = peers
        self._configuration = configuration
        self._pressures = pressures
        self._store_silent_s = store_silent_s
        self._on_need_rise = on_need_rise
        self._can_take_over = can_take_over
        self._is_slowed = is_slowed
        self._fleet_address = fleet_address
        self._is_owner = is_owner
        self._broadcast_schedule = BroadcastSchedule()
        self._fleet_sent_at = 0.0
        self._queried_at = 0.0
        self._lock = threading.Lock()
        self._store_outage = StoreOutageDetector()
        self._clock_by_process: dict[ProcessId, tuple[Incarnation, RemoteClock]] = {}
        self._pressure_by_pool: dict[PoolId, tuple[float, PoolPressure]] = {}
        self._can_take_over_at: dict[ProcessId, float] = {}
        self._candidate_used_at: dict[ProcessId, float] = {}
        self._ended = threading.Event()
        node.on(HostNews, self._on_host_status)
        node.on(Configured, self._on_configured)

    def run(self) -> None:
        """Send status messages until closed."""
        pause_s = CHECK_INTERVAL_S
        while not self._ended.wait(pause_s):
            started_at = time.monotonic()
            run_and_log_errors("news", self._send_if_due)
            took_s = time.monotonic() - started_at
            # Only a risen need of own pools has to be sent between two regular sends.
            min_pause_s = CHECK_INTERVAL_S if self._is_owner() else SEND_INTERVAL_S
            pause_s = min(SEND_INTERVAL_S, max(min_pause_s, took_s / MAX_CHECK_SHARE))

    def _send_if_due(self) -> None:
        """Send to each group of recipients when it is due.

        A risen need is sent at once: a surge doubles within a second, and its jobs wait for as long
        as its additional hosts are delayed.
        """
        now = time.monotonic()
        pressures = self._pressures()
        rises = [self._record_pressure(pressure, now) for pressure in pressures]
        if pressures and (any(rises) or now - self._fleet_sent_at >= SEND_INTERVAL_S):
            self._fleet_sent_at = now
            self._send([self._fleet_address()], self._status(pressures))
        if self._broadcast_schedule.is_due(pressures, now):
            self._broadcast_schedule.record_sent(pressures, now)
            self._broadcast(pressures)
        if now - self._queried_at >= SEND_INTERVAL_S:
            self._queried_at = now
            self._query_peers()

    def _broadcast(self, pressures: tuple[PoolPressure, ...]) -> None:
        """Send the reduced pressure of own pools to all hosts but the fleet's owner.

        The fleet's owner gets the full one. A host that owns no pool sends to its neighbours only.
        """
        peers = self._peers()
        self._update_members(peers)
        status = self._status(tuple(summarize(pressure) for pressure in pressures))
        fleet_address = self._fleet_address()
        if pressures:
            recipients = [peer for peer in peers if peer.inner != fleet_address]
        else:
            recipients = neighbours(self._node.process, peers)
        self._send([peer.inner for peer in recipients], status)

    def _query_peers(self) -> None:
        """Query hosts whose status this host needs for a decision."""
        now = time.monotonic()
        with self._lock:
            for process, used_at in list(self._candidate_used_at.items()):
                if now - used_at > CANDIDATE_QUERY_S:
                    del self._candidate_used_at[process]
            candidates = set(list(self._candidate_used_at)[:MAX_QUERIED_CANDIDATES])
        query_all = self._store_silent_s() >= QUERY_AFTER_SILENT_S and self._is_owner()
        if query_all or candidates:
            recipients = [p.inner for p in self._peers() if query_all or p.process in candidates]
            self._send(recipients, self._status((), asks=True))

    def _update_members(self, peers: list[MemberRecord]) -> None:
        """Record which hosts are registered."""
        now = time.monotonic()
        with self._lock:
            for peer in peers:
                self._store_outage.record_registered(peer.process, now)
            for process in self._clock_by_process.keys() - {peer.process for peer in peers}:
                del self._clock_by_process[process]

    def _status(self, pressures: tuple[PoolPressure, ...], *, asks: bool = False) -> HostNews:
        silent_s = round(self._store_silent_s(), 2)
        return HostNews(
            silent_s,
            self._configuration.version,
            pressures,
            self._can_take_over(),
            asks,
            boottime(),
        )

    def _send(self, addresses: list[str], status: HostNews) -> None:
        for address in addresses:
            if address and address != self._node.address:
                self._node.send(address, status)

    def close(self) -> None:
        """Stop the thread soon."""
        self._ended.set()

    def pressure_of(self, pool: PoolId) -> PoolPressure | None:
        """Return the newest pressure of a pool, if it is recent enough."""
        with self._lock:
            sent_at, pressure = self._pressure_by_pool.get(pool, (0.0, None))
        return pressure if time.monotonic() - sent_at < MAX_STATUS_AGE_S else None

    def newest_pressures(self) -> dict[PoolId, tuple[float, PoolPressure]]:
        """Return the newest pressure of each pool, however old, with the time of its sending."""
        with self._lock:
            return dict(self._pressure_by_pool)

    def can_take_over(self, process: ProcessId) -> bool:
        """Whether another host has recently reported that it can take over a shard.

        The host is queried for some time after each call.
        """
        with self._lock:
            self._candidate_used_at[process] = time.monotonic()
            sent_at = self._can_take_over_at.get(process, -SLOWED_MAX_STATUS_AGE_S)
        return time.monotonic() - sent_at < (
            SLOWED_MAX_STATUS_AGE_S if self._is_slowed() else MAX_STATUS_AGE_S
        )

    def is_store_outage(self) -> bool:
        """Whether no reporting host reaches the store, and these hosts are a majority."""
        with self._lock:
            return self._store_outage.is_outage(self._store_silent_s(), time.monotonic())

    def _on_host_status(self, batch: Batch, status: HostNews) -> None:
        sent_at = self._sent_at(batch, status)
        with self._lock:
            self._store_outage.record_report(batch.sender, status.store_silent_s, sent_at)
            if status.takes_over:
                keep_newest(self._can_take_over_at, batch.sender, sent_at, MAX_SENDERS)
            else:
                self._can_take_over_at.pop(batch.sender, None)
        for pressure in status.pools:
            self._record_pressure(pressure, sent_at)
        if status.version < self._configuration.version and self._configuration.value:
            self._node.send(
                batch.reply_to, Configured(self._configuration.version, self._configuration.value)
            )
        if status.asks or status.version > self._configuration.version:
            self._node.send(batch.reply_to, self._status(()))

    def _sent_at(self, batch: Batch, status: HostNews) -> float:
        """Return when a status was sent, by this process's monotonic clock.

        A busy host handles messages seconds late, and must not take an old status for a new one.
        The sender's time is its time since boot, as monotonic clocks stop on a suspended host.
        """
        now = time.monotonic()
        if not status.sent_s:
            return now
        received_at = boottime()
        with self._lock:
            incarnation, clock = self._clock_by_process.get(batch.sender, (None, None))
            if clock is None or incarnation != batch.incarnation:
                clock = RemoteClock(MAX_CLOCK_ERROR)
                entry = (batch.incarnation, clock)
                keep_newest(self._clock_by_process, batch.sender, entry, MAX_SENDERS)
            return now - max(0.0, received_at - clock.local_time_of(status.sent_s, received_at))

    def _record_pressure(self, pressure: PoolPressure, sent_at: float) -> bool:
        """Record a pool's pressure; return whether its need has risen."""
        with self._lock:
            _, previous = self._pressure_by_pool.get(pressure.pool, (0.0, None))
            if previous is not None and previous.token > pressure.token:
                return False
            keep_newest(self._pressure_by_pool, pressure.pool, (sent_at, pressure), MAX_POOLS)
        has_risen = previous is not None and pressure.need >= previous.need + NEED_RISE_HOSTS
        if has_risen:
            self._on_need_rise()
        return has_risen

    def _on_configured(self, batch: Batch, message: Configured) -> None:
        del batch
        self._configuration.apply_if_newer(message.value)
