"""Report of the fleet for status output."""

from collections import Counter
from enum import Enum

import msgspec

from lentilrill.fleet._fleet_state import FleetState
from lentilrill.fleet._planner import Decision
from lentilrill.fleet._pool_state import HostCondition, PoolState
from lentilrill.fleet._records import DoneStop, HostEntry, HostPhase
from lentilrill.fleet._waves import StopDelay, expected_duration_s
from lentilrill.ids import EntryHostId, HostId, PoolId, StopId
from lentilrill.settings import Document, PlannedStop
from lentilrill.store import HostKind, HostListing

__all__ = ["FleetReport", "PoolReport", "StopReport", "StopState", "WaveReport", "report"]


class StopState(Enum):
    """Progress of a planned stop."""

    WAITING = "waiting"
    """None of its hosts has been withdrawn yet."""
    ROLLING = "rolling"
    PAUSED = "paused"
    """Some hosts are done; budgets allow no other withdrawal now."""
    DONE = "done"


class PoolReport(msgspec.Struct, frozen=True):
    """Numbers of hosts of one pool.

    :param budget: hosts that may be unavailable at once.
    :param lost: hosts that failed, are ejected or suspect, or leave without a withdrawal.
    :param missing: hosts that the pool lacks; negative if it has a surplus.
    :param is_overspent: whether more hosts are unavailable than the budget of some plan allows.
    """

    pool: PoolId
    owed: int
    budget: int
    hosts: int
    serving: int
    withdrawing: int
    stopped: int
    lost: int
    missing: int
    is_overspent: bool


class WaveReport(msgspec.Struct, frozen=True):
    """Duration of one planned stop.

    :param started: time of the first proposed withdrawal, in seconds since the epoch; 0 if none.
    :param predicted_s: predicted seconds from the first withdrawal to the last return.
    :param actual_s: measured seconds; ``None`` until the stop is done.
    """

    stop: StopId
    started: float
    predicted_s: float
    actual_s: float | None


class StopReport(msgspec.Struct, frozen=True):
    """One planned stop.

    :param unknown: named hosts that are in no pool: entry hosts, retired hosts, or misspelt names.
    :param waits: why hosts have to wait, and for how long.
    """

    stop: StopId
    state: StopState
    waiting: int
    withdrawing: tuple[HostId, ...]
    stopped: tuple[HostId, ...]
    done: int
    unknown: tuple[HostId, ...]
    waits: tuple[StopDelay, ...]
    wave: WaveReport


class FleetReport(msgspec.Struct, frozen=True):
    """State of the fleet in one planning round of a controller.

    :param now: time of the round, in seconds since the epoch.
    :param list_age_s: age of the host list.
    :param unacknowledged: by host, which acknowledgement its withdrawal still needs.
    :param entry_hosts_to_stop: entry hosts that a planned stop names.
    """

    now: float = 0.0
    list_age_s: float = 0.0
    pools: tuple[PoolReport, ...] = ()
    stops: tuple[StopReport, ...] = ()
    unacknowledged: dict[HostId, str] = {}
    entry_hosts_to_stop: tuple[EntryHostId, ...] = ()


def report(decision: Decision, unacknowledged: dict[HostId, str]) -> FleetReport:
    """Return the report of one planning round."""
    fleet = decision.fleet
    snapshot = fleet.snapshot
    return FleetReport(
        now=snapshot.now,
        list_age_s=snapshot.now - snapshot.listing.as_of,
        pools=tuple(_pool(pool_state) for pool_state in fleet.states_by_pool.values()),
        stops=tuple(_stop(fleet, stop, decision.waiting) for stop in snapshot.document.stops),
        unacknowledged=unacknowledged,
        entry_hosts_to_stop=_entry_hosts(snapshot.document, snapshot.listing),
    )


def _pool(pool_state: PoolState) -> PoolReport:
    return PoolReport(
        pool_state.pool,
        pool_state.commitment.owed,
        pool_state.commitment.budget,
        len(pool_state.entries_by_id),
        pool_state.hosts_by_condition[HostCondition.AVAILABLE],
        pool_state.hosts_by_condition[HostCondition.WITHDRAWING],
        pool_state.hosts_by_condition[HostCondition.STOPPED],
        pool_state.lost,
        pool_state.missing,
        pool_state.is_overspent,
    )


def _stop(fleet: FleetState, stop: PlannedStop, waiting: tuple[StopDelay, ...]) -> StopReport:
    found = _hosts_of_stop(fleet, stop)
    done = [d for _, entry in found for d in entry.done if d.stop == stop.id]
    completed = {entry.id for _, entry in found if any(d.stop == stop.id for d in entry.done)}
    in_progress = [entry for _, entry in found if entry.stop == stop.id]
    waits = tuple(w for w in waiting if w.stop == stop.id)
    known = {entry.id for _, entry in found}
    state = _state(len(found) - len(completed), len(in_progress), len(done), bool(waits))
    return StopReport(
        stop.id,
        state,
        len(found) - len(completed) - len(in_progress),
        tuple(e.id for e in in_progress if e.phase is HostPhase.WITHDRAWING),
        tuple(e.id for e in in_progress if e.phase is HostPhase.STOPPED),
        len(completed),
        tuple(host for host in stop.hosts if host not in known),
        waits,
        _wave(fleet, stop, found, done),
    )


def _hosts_of_stop(fleet: FleetState, stop: PlannedStop) -> list[tuple[PoolState, HostEntry]]:
    return [
        (pool_state, pool_state.entries_by_id[host])
        for host in stop.hosts
        for pool_state in (fleet.state_by_host.get(host),)
        if pool_state is not None
    ]


def _state(remaining: int, in_progress: int, done: int, waits: bool) -> StopState:
    if not remaining:
        return StopState.DONE
    if in_progress:
        return StopState.ROLLING
    if done and waits:
        return StopState.PAUSED
    return StopState.ROLLING if done else StopState.WAITING


def _wave(
    fleet: FleetState,
    stop: PlannedStop,
    found: list[tuple[PoolState, HostEntry]],
    done: list[DoneStop],
) -> WaveReport:
    hosts_by_pool = Counter(pool_state.pool for pool_state, _ in found)
    predicted = max(
        (expected_duration_s(fleet, fleet.states_by_pool[p], n) for p, n in hosts_by_pool.items()),
        default=0.0,
    )
    starts = [d.proposed for d in done]
    starts += [entry.proposed for _, entry in found if entry.stop == stop.id]
    started = min(starts, default=0.0)
    finished = len(done) == len(found) and bool(done)
    actual = max(d.returned for d in done) - started if finished else None
    return WaveReport(stop.id, started, predicted, actual)


def _entry_hosts(document: Document, listing: HostListing) -> tuple[EntryHostId, ...]:
    entry_hosts = {info.id for info in listing.hosts if info.kind is HostKind.ENTRY}
    named = {host for stop in document.stops for host in stop.hosts}
    return tuple(EntryHostId(host) for host in sorted(named & entry_hosts))
