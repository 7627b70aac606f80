"""Planned stops: which hosts to withdraw next, and why and how long the others wait."""

import math
from collections.abc import Iterator

import msgspec

from lentilrill.fleet._actions import Withdraw
from lentilrill.fleet._census import Census
from lentilrill.fleet._records import HostEntry, HostPhase
from lentilrill.fleet._tally import Standing, Tally
from lentilrill.ids import PoolId, StopId
from lentilrill.settings import PlannedStop

__all__ = ["FAILURE_RESERVE", "Waiting", "expected_s", "stops", "width"]

FAILURE_RESERVE = 1
"""Hosts of a budget of two or more that a wave does not use.

One failure within the wave then does not overspend the budget; a stopped host can't be recalled.
"""


class Waiting(msgspec.Struct, frozen=True):
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


def stops(census: Census, waiting: list[Waiting]) -> Iterator[Withdraw]:
    """Yield the withdrawals that declared stops need and budgets allow.

    All pools empty racks in the same order, starting with racks already begun, so that whole
    racks become free as early as budgets allow.

    :param waiting: list that an entry is appended to for each stop and pool that has to wait.
    """
    for tally in census.tallies_by_pool.values():
        if not tally.pending_stops:
            continue
        begun = {
            tally.entries_by_id[host].rack
            for host, standing in tally.standing_by_id.items()
            if standing in (Standing.WITHDRAWING, Standing.STOPPED)
        }
        asked = sorted(
            (
                (entry.rack not in begun, entry.zone, entry.rack, entry.id, entry, stop)
                for host, entry in tally.entries_by_id.items()
                if entry.phase is HostPhase.SERVING
                and tally.standing_by_id[host] is not Standing.WITHDRAWING
                and (stop := census.pending_stop(entry)) is not None
            ),
            key=lambda item: item[:4],
        )
        held: dict[StopId, list[str]] = {}
        for *_, entry, stop in asked:
            reason = _refusal(tally, entry, stop)
            if reason:
                held.setdefault(stop.id, []).append(reason)
                continue
            tally.mark_withdrawn(entry.id, lasts=not stop.retire)
            yield Withdraw(entry.id, tally.pool, f"planned stop {stop.id}", stop=stop.id)
        waiting.extend(_note(census, tally, stop, reasons) for stop, reasons in held.items())


def width(tally: Tally) -> int:
    """Return how many hosts of a pool one wave withdraws at once if no host has failed."""
    if not tally.promise.owed:
        return max(1, tally.lasting)
    return max(1, _grantable(tally.lasting - tally.promise.owed + tally.promise.budget))


def expected_s(census: Census, tally: Tally, hosts: int) -> float:
    """Return the expected seconds for stopping ``hosts`` hosts of a pool."""
    return math.ceil(hosts / width(tally)) * census.stop_s


def _grantable(slack: int) -> int:
    return slack - FAILURE_RESERVE if slack > FAILURE_RESERVE else slack


def _refusal(tally: Tally, entry: HostEntry, stop: PlannedStop) -> str:
    """Return why a host can't be withdrawn for a stop now; empty if it can be."""
    kept = tally.lasting + len(tally.retiring - {entry.id})
    if stop.retire and kept < tally.promise.owed:
        owed = tally.promise.owed
        return f"retiring needs a replacement: the pool would keep {kept} of the {owed} hosts owed"
    if not tally.available(entry.id):
        return ""
    slack = tally.slack(entry.zone)
    reserve = FAILURE_RESERVE if tally.out and tally.promise.owed else 0
    if slack > reserve:
        return ""
    serving = tally.available_by_zone.total()
    return (
        f"{serving} hosts serve, {tally.promise.owed} are owed with {tally.promise.budget}"
        f" allowed away; {tally.out} withdrawn, {tally.lost} failed or in trouble"
    )


def _note(census: Census, tally: Tally, stop: StopId, reasons: list[str]) -> Waiting:
    within = expected_s(census, tally, len(reasons)) if tally.out or tally.incoming else None
    return Waiting(stop, tally.pool, len(reasons), reasons[0], within)
