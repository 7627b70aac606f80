"""Shares of workspaces in a pool's capacity, and how long their work waits for its share."""

import itertools
import math
from collections.abc import Iterable, Mapping

import msgspec

from lentilrill.ids import WorkspaceId
from lentilrill.scheduling._demand import LEAD_S

__all__ = [
    "CapacityOutlook",
    "ExpectedHosts",
    "fair_shares",
    "usable_weight",
    "work_before",
]

MIN_WEIGHT, MAX_WEIGHT = 1e-6, 1e6
"""Positive weights outside these bounds count as the bound, so that sums and quotients of weights
are exact enough."""
MAX_LACK_S = 2 * LEAD_S
"""Time without a further host after which a pool that lacks hosts is not expected to get any."""


def usable_weight(weight: float) -> float:
    """Return a weight by which can be divided if it isn't 0.

    A weight that is not positive, or not a number, is 0: such a workspace gets only what the
    others leave.
    """
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT) if weight > 0 else 0.0


def fair_shares(
    capacity: float,
    demand_by_id: Mapping[WorkspaceId, float],
    weight_by_id: Mapping[WorkspaceId, float],
) -> dict[WorkspaceId, float]:
    """Return the weighted max-min fair shares of ``capacity``.

    When all want more than there is, each gets capacity in proportion to its weight. What one
    doesn't want goes to the others in proportion to theirs. Workspaces of weight 0 share equally
    what is left then.
    """
    weights = {id: usable_weight(weight_by_id.get(id, 0.0)) for id in demand_by_id}
    with_weight = {id: demand for id, demand in demand_by_id.items() if weights[id]}
    without = {id: demand for id, demand in demand_by_id.items() if not weights[id]}
    shares = _fill(capacity, with_weight, weights)
    left = max(0.0, capacity - sum(shares.values()))
    return shares | _fill(left, without, dict.fromkeys(without, 1.0))


def _fill(
    capacity: float, demand_by_id: Mapping[WorkspaceId, float], weights: Mapping[WorkspaceId, float]
) -> dict[WorkspaceId, float]:
    """Share capacity by weight, those first that want the least for their weight."""
    shares: dict[WorkspaceId, float] = {}
    left = max(0.0, capacity)
    ordered = sorted(demand_by_id, key=lambda id: demand_by_id[id] / weights[id])
    # Sums instead of differences: a tiny weight vanishes in the difference of larger ones.
    sums = list(itertools.accumulate(weights[id] for id in reversed(ordered)))
    for id, weight_left in zip(ordered, reversed(sums), strict=True):
        shares[id] = min(max(0.0, demand_by_id[id]), left * (weights[id] / weight_left))
        left = max(0.0, left - shares[id])
    return shares


def work_before(work: float, weight: float, others: Iterable[tuple[float, float]]) -> float:
    """Return the work that a fair schedule completes before one workspace's work is done.

    While a workspace gets its work done, each other one gets at most the same amount for its
    weight, and no more than it has.

    :param work: work of the workspace itself.
    :param weight: its weight; with 0 all work of those with a weight goes first.
    :param others: work and weight of each other workspace.
    """
    weight = usable_weight(weight)
    total = work
    for other_work, other_weight in others:
        other_weight = usable_weight(other_weight)
        if weight:
            total += min(other_work, work / weight * other_weight)
        else:
            total += other_work if other_weight else min(other_work, work)
    return total


class CapacityOutlook(msgspec.Struct, frozen=True):
    """Capacity of a pool, now and once the hosts on their way have arrived.

    :param present: cores of the hosts that serve now.
    :param coming: cores of the hosts on their way.
    """

    present: float
    coming: float = 0.0

    def seconds_for(self, work: float) -> float:
        """Return how long a pool takes for ``work`` core seconds; infinite without hosts."""
        if work <= 0:
            return 0.0
        before_arrival = self.present * LEAD_S
        if work <= before_arrival:
            return work / self.present
        later = self.present + self.coming
        return LEAD_S + (work - before_arrival) / later if later else math.inf


class ExpectedHosts:
    """Estimates how many hosts are on their way to a pool, from what its owner sees.

    In a surge a pool asks for hosts, and these arrive after seconds, one after the other. Work that
    they will do in time must not be refused. If the site has no more hosts, none arrives.
    """

    def __init__(self) -> None:
        self._present = 0
        self._lacks_since: float | None = None

    def observe(self, need: float, present: int, now: float) -> int:
        """Return the number of hosts that are expected to arrive.

        :param need: hosts that the pool needs and has asked for.
        :param present: hosts that serve now.
        """
        missing = max(0, math.ceil(need) - present)
        if not missing:
            self._lacks_since = None
        elif self._lacks_since is None or present > self._present:
            self._lacks_since = now
        self._present = present
        if self._lacks_since is None or now - self._lacks_since > MAX_LACK_S:
            return 0
        return missing
