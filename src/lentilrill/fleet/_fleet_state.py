"""State of the fleet in one planning round: all recorded and listed hosts, by condition."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from lentilrill.fleet._budget import Commitment, commitments
from lentilrill.fleet._pool_state import HostCondition, PoolState
from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord
from lentilrill.ids import HostId, PoolId, StopId, ZoneId
from lentilrill.settings import Document, PlannedStop, Pool
from lentilrill.store import HostInfo, HostKind, HostListing, HostState

__all__ = ["FleetSnapshot", "FleetState", "PlanningHistory", "fits", "is_leaving"]

DEFAULT_STOP_S = 600.0
"""Assumed duration of a planned stop of one host until one has been completed."""
MISSING_TIMEOUT_S = 900.0
"""Seconds that a host must be missing from the list before it is withdrawn."""
CUT_OFF_MISSING_SHARE = 0.5
"""Share of missing hosts above which a zone is taken as cut off and keeps its hosts."""


class PlanningHistory:
    """Start times of conditions, kept between planning rounds; lost when the process ends.

    Times are seconds since the epoch, of the first round in which the condition held.
    """

    def __init__(self) -> None:
        self.short_since: dict[PoolId, float] = {}
        self.excess_since: dict[PoolId, float] = {}
        self.missing_since: dict[HostId, float] = {}

    def held_for_s(
        self, times: dict[PoolId, float], key: PoolId, is_true: bool, now: float
    ) -> float:
        """Record whether a condition of ``key`` holds now.

        :return: seconds for which it has held continuously; 0 if it does not hold.
        """
        if not is_true:
            times.pop(key, None)
            return 0.0
        return now - times.setdefault(key, now)


class FleetSnapshot(msgspec.Struct, frozen=True):
    """Input of one planning round.

    :param listing: the platform's host list.
    :param now: seconds since the epoch.
    :param ejected: hosts that schedulers have ejected or that are suspected to have failed.
    :param leaving: hosts whose endpoints announced that they leave.
    :param closable: withdrawing hosts that all gateways have acknowledged.
    """

    document: Document
    records: Mapping[PoolId, PoolRecord]
    listing: HostListing
    now: float
    ejected: frozenset[HostId] = frozenset()
    leaving: frozenset[HostId] = frozenset()
    closable: frozenset[HostId] = frozenset()


class FleetState:
    """Condition of every host in the records, with the host list and the declared stops."""

    def __init__(self, snapshot: FleetSnapshot, history: PlanningHistory) -> None:
        self.snapshot = snapshot
        self.history = history
        self.infos_by_id = {h.id: h for h in snapshot.listing.hosts if h.kind is HostKind.WORKER}
        self.stops_by_id: dict[StopId, PlannedStop] = {s.id: s for s in snapshot.document.stops}
        self.stops_by_host = _stops_by_host(snapshot.document.stops)
        self.states_by_pool: dict[PoolId, PoolState] = {}
        self.state_by_host: dict[HostId, PoolState] = {}
        self.duplicates: list[HostId] = []
        self.stop_duration_s = DEFAULT_STOP_S
        self._count_hosts()
        self._cut_off_zones = self._find_cut_off_zones()

    def pending_stop(self, entry: HostEntry) -> PlannedStop | None:
        """Return the first declared stop that the host has not completed."""
        stops = self.stops_by_host.get(entry.id)
        if stops is None:
            return None
        done = {d.stop for d in entry.done}
        return next((stop for stop in stops if stop.id not in done), None)

    def declared_stop(self, entry: HostEntry) -> PlannedStop | None:
        """Return the stop that the host is withdrawn for, if it is still declared."""
        stop = self.stops_by_id.get(entry.stop) if entry.stop else None
        return stop if stop is not None and stop in self.stops_by_host.get(entry.id, ()) else None

    def is_gone(self, host: HostId, zone: ZoneId) -> bool:
        """Return whether a host has been missing for long enough to be removed.

        Hosts are also missing for a while if the host list flaps or if the platform can't reach
        a zone; they must stay in their pools.
        """
        since = self.history.missing_since.get(host)
        return (
            since is not None
            and self.snapshot.listing.as_of - since >= MISSING_TIMEOUT_S
            and zone not in self._cut_off_zones
        )

    def _count_hosts(self) -> None:
        commitment_by_pool = commitments(self.snapshot.document)
        pools = self.snapshot.document.pools_by_id()
        for pool in sorted(pools.keys() | self.snapshot.records.keys()):
            commitment = commitment_by_pool.get(pool, Commitment())
            self.states_by_pool[pool] = PoolState(pool, pools.get(pool), commitment)
        targets: Counter[PoolId] = Counter()
        stop_times: list[float] = []
        for pool, record in self.snapshot.records.items():
            pool_state = self.states_by_pool[pool]
            for entry in record.hosts:
                if entry.id in self.state_by_host:
                    self.duplicates.append(entry.id)
                self.state_by_host[entry.id] = pool_state
                self._count_host(pool_state, entry)
                if entry.target is not None:
                    targets[entry.target] += 1
                if entry.done:
                    stop_times.extend(d.returned - d.proposed for d in entry.done)
            pool_state.hosts_by_condition = Counter(pool_state.condition_by_id.values())
        for target, count in targets.items():
            if target in self.states_by_pool:
                self.states_by_pool[target].incoming = count
        if stop_times:
            self.stop_duration_s = sum(stop_times) / len(stop_times)
        for host in self.history.missing_since.keys() - self.state_by_host.keys():
            del self.history.missing_since[host]

    def _count_host(self, pool_state: PoolState, entry: HostEntry) -> None:
        # Runs for every host in every round; most of them serve and are part of no stop.
        host = entry.id
        condition = self._condition(entry)
        pool_state.entries_by_id[host] = entry
        pool_state.condition_by_id[host] = condition
        if condition is HostCondition.AVAILABLE:
            pool_state.available_by_zone[entry.zone] += 1
            pool_state.retained += 1
        elif condition in (HostCondition.WITHDRAWING, HostCondition.STOPPED):
            pool_state.retained += self._will_return(entry)
        stops = self.stops_by_host.get(host)
        if stops is None or entry.phase is not HostPhase.SERVING:
            return
        pool_state.pending_stops += self.pending_stop(entry) is not None
        if condition is HostCondition.AVAILABLE and any(stop.retire for stop in stops):
            pool_state.retained -= 1
            pool_state.retiring.add(host)

    def _condition(self, entry: HostEntry) -> HostCondition:
        info = self.infos_by_id.get(entry.id)
        missing_since = self.history.missing_since
        if info is None:
            missing_since.setdefault(entry.id, self.snapshot.listing.as_of)
        elif missing_since:
            missing_since.pop(entry.id, None)
        if entry.phase is not HostPhase.SERVING:
            stopped = entry.phase is HostPhase.STOPPED
            return HostCondition.STOPPED if stopped else HostCondition.WITHDRAWING
        if info is None:
            return HostCondition.FAILED
        if is_leaving(entry, info) or entry.id in self.snapshot.leaving:
            return HostCondition.LEAVING
        return (
            HostCondition.UNHEALTHY
            if entry.id in self.snapshot.ejected
            else HostCondition.AVAILABLE
        )

    def _will_return(self, entry: HostEntry) -> bool:
        if entry.target is not None or entry.stop is None:
            return False
        stop = self.declared_stop(entry)
        return stop is None or not stop.retire

    def _find_cut_off_zones(self) -> frozenset[ZoneId]:
        missing: Counter[ZoneId] = Counter()
        for host in self.history.missing_since:
            entry = self.state_by_host[host].entries_by_id[host]
            missing[entry.zone] += entry.phase is not HostPhase.STOPPED
        listed = Counter(info.zone for info in self.infos_by_id.values()) if missing else missing
        return frozenset(
            zone
            for zone, count in missing.items()
            if count > CUT_OFF_MISSING_SHARE * (count + listed[zone])
        )


def is_leaving(entry: HostEntry, info: HostInfo) -> bool:
    """Return whether the platform removes the host, or lists another address or zone for it.

    A request to the recorded address could then reach another host, so a new address is recorded
    only after a withdrawal.
    """
    moved = info.address != entry.address or info.zone != entry.zone
    return moved or info.state is HostState.LEAVING


def fits(pool: Pool, host: HostInfo | HostEntry) -> bool:
    """Return whether a host is large enough for a pool."""
    return (
        host.cores >= pool.cores
        and host.memory_gb >= pool.memory_gb
        and host.accelerators >= pool.accelerators
    )


def _stops_by_host(stops: Iterable[PlannedStop]) -> dict[HostId, tuple[PlannedStop, ...]]:
    stops_by_host: dict[HostId, tuple[PlannedStop, ...]] = {}
    for stop in stops:
        for host in stop.hosts:
            stops_by_host[host] = (*stops_by_host.get(host, ()), stop)
    return stops_by_host
