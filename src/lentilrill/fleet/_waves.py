"""Planned stops: which hosts to withdraw next, and why and how long the others wait."""

import math
from collections.abc import Iterator

import msgspec

from lentilrill.fleet._actions import Withdraw
from lentilrill.fleet._fleet_state import FleetState
from lentilrill.fleet._pool_state import HostCondition, PoolState
from lentilrill.fleet._records import HostEntry, HostPhase
from lentilrill.ids import PoolId, StopId
from lentilrill.settings import PlannedStop

__all__ = ["FAILURE_RESERVE", "StopDelay", "expected_duration_s", "stop_withdrawals", "wave_size"]

FAILURE_RESERVE = 1
"""Hosts of a budget of two or more that a wave does not use.

One failure within the wave then does not overspend the budget; a stopped host can't be recalled.
"""


class StopDelay(msgspec.Struct, frozen=True):
    """Hosts of one pool that can't be withdrawn for a planned stop yet.

    :param hosts: number of hosts.
    :param reason: human-readable reason.
    :param within_s: expected seconds until the last of them can be withdrawn; ``None`` if no
        withdrawal or move in progress will make room.
    """

    stop: StopId
    pool: PoolId
    hosts: int
    reason: str
    within_s: float | None


def stop_withdrawals(fleet: FleetState, waiting: list[StopDelay]) -> Iterator[Withdraw]:
    """Yield the withdrawals that declared stops need and budgets allow.

    All pools empty racks in the same order, starting with racks already begun, so that whole
    racks become free as early as budgets allow.

    :param waiting: list that an entry is appended to for each stop and pool that has to wait.
    """
    for pool_state in fleet.states_by_pool.values():
        if not pool_state.pending_stops:
            continue
        begun_racks = {
            pool_state.entries_by_id[host].rack
            for host, condition in pool_state.condition_by_id.items()
            if condition in (HostCondition.WITHDRAWING, HostCondition.STOPPED)
        }
        candidates = sorted(
            (
                (entry.rack not in begun_racks, entry.zone, entry.rack, entry.id, entry, stop)
                for host, entry in pool_state.entries_by_id.items()
                if entry.phase is HostPhase.SERVING
                and pool_state.condition_by_id[host] is not HostCondition.WITHDRAWING
                and (stop := fleet.pending_stop(entry)) is not None
            ),
            key=lambda item: item[:4],
        )
        reasons_by_stop: dict[StopId, list[str]] = {}
        for *_, entry, stop in candidates:
            reason = _blocking_reason(pool_state, entry, stop)
            if reason:
                reasons_by_stop.setdefault(stop.id, []).append(reason)
                continue
            pool_state.count_withdrawal(entry.id, returns=not stop.retire)
            yield Withdraw(entry.id, pool_state.pool, f"planned stop {stop.id}", stop=stop.id)
        waiting.extend(
            _stop_delay(fleet, pool_state, stop, reasons)
            for stop, reasons in reasons_by_stop.items()
        )


def wave_size(pool_state: PoolState) -> int:
    """Return how many hosts of a pool one wave withdraws at once if no host has failed."""
    if not pool_state.commitment.owed:
        return max(1, pool_state.retained)
    return max(
        1,
        _grantable(pool_state.retained - pool_state.commitment.owed + pool_state.commitment.budget),
    )


def expected_duration_s(fleet: FleetState, pool_state: PoolState, hosts: int) -> float:
    """Return the expected seconds for stopping ``hosts`` hosts of a pool."""
    return math.ceil(hosts / wave_size(pool_state)) * fleet.stop_duration_s


def _grantable(slack: int) -> int:
    return slack - FAILURE_RESERVE if slack > FAILURE_RESERVE else slack


def _blocking_reason(pool_state: PoolState, entry: HostEntry, stop: PlannedStop) -> str:
    """Return why a host can't be withdrawn for a stop now; empty if it can be."""
    remaining = pool_state.retained + len(pool_state.retiring - {entry.id})
    if stop.retire and remaining < pool_state.commitment.owed:
        owed = pool_state.commitment.owed
        return (
            "retiring needs a replacement: the pool would keep"
            f" {remaining} of the {owed} hosts owed"
        )
    if not pool_state.is_available(entry.id):
        return ""
    slack = pool_state.slack(entry.zone)
    reserve = FAILURE_RESERVE if pool_state.withdrawn and pool_state.commitment.owed else 0
    if slack > reserve:
        return ""
    serving = pool_state.available_by_zone.total()
    return (
        f"{serving} hosts serve, {pool_state.commitment.owed} are owed"
        f" with {pool_state.commitment.budget} allowed away;"
        f" {pool_state.withdrawn} withdrawn, {pool_state.lost} failed or in trouble"
    )


def _stop_delay(
    fleet: FleetState, pool_state: PoolState, stop: StopId, reasons: list[str]
) -> StopDelay:
    within_s = (
        expected_duration_s(fleet, pool_state, len(reasons))
        if pool_state.withdrawn or pool_state.incoming
        else None
    )
    return StopDelay(stop, pool_state.pool, len(reasons), reasons[0], within_s)
