"""State of the fleet in one planning round: all recorded and listed hosts, by condition."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from lentilrill.fleet._budget import Promise, promises
from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord
from lentilrill.fleet._tally import Standing, Tally
from lentilrill.ids import HostId, PoolId, StopId, ZoneId
from lentilrill.settings import Document, PlannedStop, Pool
from lentilrill.store import HostInfo, HostKind, HostListing, HostState

__all__ = ["Census", "Memory", "Sight", "fits", "leaves"]

STOP_S = 600.0
"""Assumed duration of a planned stop of one host until one has been completed."""
FLAP_S = 900.0
"""Seconds that a host must be missing from the list before it is withdrawn."""
MISSING_ZONE_SHARE = 0.5
"""Share of missing hosts above which a zone is taken as cut off and keeps its hosts."""


class Memory:
    """Start times of conditions, kept between planning rounds; lost when the process ends.

    Times are seconds since the epoch, of the first round in which the condition held.
    """

    def __init__(self) -> None:
        self.short_since: dict[PoolId, float] = {}
        self.excess_since: dict[PoolId, float] = {}
        self.missing_since: dict[HostId, float] = {}

    def keep(self, times: dict[PoolId, float], key: PoolId, holds: bool, now: float) -> float:
        """Record whether a condition of ``key`` holds now.

        :return: seconds for which it has held continuously; 0 if it does not hold.
        """
        if not holds:
            times.pop(key, None)
            return 0.0
        return now - times.setdefault(key, now)


class Sight(msgspec.Struct, frozen=True):
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


class Census:
    """Condition of every host in the records, with the host list and the declared stops."""

    def __init__(self, sight: Sight, memory: Memory) -> None:
        self.sight = sight
        self.memory = memory
        self.infos_by_id = {h.id: h for h in sight.listing.hosts if h.kind is HostKind.WORKER}
        self.stops_by_id: dict[StopId, PlannedStop] = {s.id: s for s in sight.document.stops}
        self.stops_by_host = _stops_by_host(sight.document.stops)
        self.tallies_by_pool: dict[PoolId, Tally] = {}
        self.tally_by_host: dict[HostId, Tally] = {}
        self.doubled: list[HostId] = []
        self.stop_s = STOP_S
        self._count()
        self._cut_zones = self._find_cut_zones()

    def pending_stop(self, entry: HostEntry) -> PlannedStop | None:
        """Return the first declared stop that the host has not completed."""
        stops = self.stops_by_host.get(entry.id)
        if stops is None:
            return None
        done = {d.stop for d in entry.done}
        return next((stop for stop in stops if stop.id not in done), None)

    def declared(self, entry: HostEntry) -> PlannedStop | None:
        """Return the stop that the host is withdrawn for, if it is still declared."""
        stop = self.stops_by_id.get(entry.stop) if entry.stop else None
        return stop if stop is not None and stop in self.stops_by_host.get(entry.id, ()) else None

    def gone(self, host: HostId, zone: ZoneId) -> bool:
        """Return whether a host has been missing for long enough to be removed.

        Hosts are also missing for a while if the host list flaps or if the platform can't reach
        a zone; they must stay in their pools.
        """
        since = self.memory.missing_since.get(host)
        return (
            since is not None
            and self.sight.listing.as_of - since >= FLAP_S
            and zone not in self._cut_zones
        )

    def _count(self) -> None:
        promise_by_pool = promises(self.sight.document)
        pools = self.sight.document.pools_by_id()
        for pool in sorted(pools.keys() | self.sight.records.keys()):
            promise = promise_by_pool.get(pool, Promise())
            self.tallies_by_pool[pool] = Tally(pool, pools.get(pool), promise)
        targets: Counter[PoolId] = Counter()
        stop_times: list[float] = []
        for pool, record in self.sight.records.items():
            tally = self.tallies_by_pool[pool]
            for entry in record.hosts:
                if entry.id in self.tally_by_host:
                    self.doubled.append(entry.id)
                self.tally_by_host[entry.id] = tally
                self._count_host(tally, entry)
                if entry.target is not None:
                    targets[entry.target] += 1
                if entry.done:
                    stop_times.extend(d.returned - d.proposed for d in entry.done)
            tally.hosts_by_standing = Counter(tally.standing_by_id.values())
        for target, count in targets.items():
            if target in self.tallies_by_pool:
                self.tallies_by_pool[target].incoming = count
        if stop_times:
            self.stop_s = sum(stop_times) / len(stop_times)
        for host in self.memory.missing_since.keys() - self.tally_by_host.keys():
            del self.memory.missing_since[host]

    def _count_host(self, tally: Tally, entry: HostEntry) -> None:
        # Runs for every host in every round; most of them serve and are part of no stop.
        host = entry.id
        standing = self._standing(entry)
        tally.entries_by_id[host] = entry
        tally.standing_by_id[host] = standing
        if standing is Standing.AVAILABLE:
            tally.available_by_zone[entry.zone] += 1
            tally.lasting += 1
        elif standing in (Standing.WITHDRAWING, Standing.STOPPED):
            tally.lasting += self._comes_back(entry)
        stops = self.stops_by_host.get(host)
        if stops is None or entry.phase is not HostPhase.SERVING:
            return
        tally.pending_stops += self.pending_stop(entry) is not None
        if standing is Standing.AVAILABLE and any(stop.retire for stop in stops):
            tally.lasting -= 1
            tally.retiring.add(host)

    def _standing(self, entry: HostEntry) -> Standing:
        info = self.infos_by_id.get(entry.id)
        missing_since = self.memory.missing_since
        if info is None:
            missing_since.setdefault(entry.id, self.sight.listing.as_of)
        elif missing_since:
            missing_since.pop(entry.id, None)
        if entry.phase is not HostPhase.SERVING:
            stopped = entry.phase is HostPhase.STOPPED
            return Standing.STOPPED if stopped else Standing.WITHDRAWING
        if info is None:
            return Standing.FAILED
        if leaves(entry, info) or entry.id in self.sight.leaving:
            return Standing.LEAVING
        return Standing.TROUBLED if entry.id in self.sight.ejected else Standing.AVAILABLE

    def _comes_back(self, entry: HostEntry) -> bool:
        if entry.target is not None or entry.stop is None:
            return False
        stop = self.declared(entry)
        return stop is None or not stop.retire

    def _find_cut_zones(self) -> frozenset[ZoneId]:
        missing: Counter[ZoneId] = Counter()
        for host in self.memory.missing_since:
            entry = self.tally_by_host[host].entries_by_id[host]
            missing[entry.zone] += entry.phase is not HostPhase.STOPPED
        listed = Counter(info.zone for info in self.infos_by_id.values()) if missing else missing
        return frozenset(
            zone
            for zone, count in missing.items()
            if count > MISSING_ZONE_SHARE * (count + listed[zone])
        )


def leaves(entry: HostEntry, info: HostInfo) -> bool:
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
