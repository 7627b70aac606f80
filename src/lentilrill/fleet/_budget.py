"""Hosts that pools owe to plans, and how many may be unavailable at once."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from lentilrill.ids import PlanId, PoolId, ZoneId
from lentilrill.settings import Document, Plan

__all__ = ["Commitment", "Floor", "commitments"]


class Floor(msgspec.Struct, frozen=True):
    """Minimum number of available hosts that satisfies the availability budgets of some plans.

    :param zones: zones whose hosts count; empty for all zones.
    """

    zones: frozenset[ZoneId]
    hosts: int


class Commitment(msgspec.Struct, frozen=True):
    """Hosts that one pool owes to all its plans together.

    :param owed: sum of the hosts owed to the plans.
    :param budget: hosts that may be unavailable at once: the smallest budget of any plan.
    :param floors: one for each set of zones that plans of the pool are limited to, and one for
        all zones.
    """

    owed: int = 0
    budget: int = 0
    floors: tuple[Floor, ...] = ()

    def slack(self, available_by_zone: Counter[ZoneId], zone: ZoneId) -> int:
        """Return how many more hosts of ``zone`` may become unavailable; negative if overspent."""
        margins = [
            _available_hosts(available_by_zone, floor.zones) - floor.hosts
            for floor in self.floors
            if not floor.zones or zone in floor.zones
        ]
        total_available = available_by_zone.total()
        return min(margins, default=total_available)

    def is_overspent(self, available_by_zone: Counter[ZoneId]) -> bool:
        """Return whether the budget of some plan is overspent."""
        return any(
            _available_hosts(available_by_zone, floor.zones) < floor.hosts for floor in self.floors
        )


def commitments(document: Document) -> dict[PoolId, Commitment]:
    """Return the hosts that each pool of the document owes, by pool id."""
    plans_by_pool: dict[PoolId, list[Plan]] = {pool.id: [] for pool in document.pools}
    zones_by_plan = {e.plan: frozenset(e.zones) for e in document.entitlements}
    pool_by_plan = _owing_pool_by_plan(document)
    for plan in document.plans:
        home = pool_by_plan.get(plan.id)
        if home is not None:
            plans_by_pool[home].append(plan)
    return {pool: _commitment(plans, zones_by_plan) for pool, plans in plans_by_pool.items()}


def _owing_pool_by_plan(document: Document) -> dict[PlanId, PoolId]:
    """Return the pool that owes hosts to each plan: the first entitled pool of its service."""
    pools = document.pools_by_id()
    by_service: dict[str, list[PoolId]] = {}
    for pool in document.pools:
        by_service.setdefault(pool.service, []).append(pool.id)
    entitlements = document.entitlements_by_plan()
    pool_by_plan: dict[PlanId, PoolId] = {}
    for plan in document.plans:
        entitlement = entitlements.get(plan.id)
        entitled = [p for p in entitlement.pools if p in pools] if entitlement else []
        of_service = [p for p in entitled if pools[p].service == plan.service]
        choice = of_service or by_service.get(plan.service, []) or entitled
        if choice:
            pool_by_plan[plan.id] = choice[0]
    return pool_by_plan


def _commitment(plans: list[Plan], zones_by_plan: dict[PlanId, frozenset[ZoneId]]) -> Commitment:
    owing = [plan for plan in plans if plan.hosts_owed > 0]
    if not owing:
        return Commitment()
    no_zones: frozenset[ZoneId] = frozenset()
    confined = {zones_by_plan.get(plan.id, no_zones) for plan in owing}
    floors = []
    for zones in sorted(confined | {no_zones}, key=sorted):
        covered = [
            plan
            for plan in owing
            if not zones
            or (zones_by_plan.get(plan.id, no_zones) and zones_by_plan[plan.id] <= zones)
        ]
        floors.append(Floor(zones, _min_available(covered)))
    owed = sum(plan.hosts_owed for plan in owing)
    return Commitment(owed, min(plan.availability_budget for plan in owing), tuple(floors))


def _min_available(plans: Iterable[Plan]) -> int:
    """Return how many hosts must be available.

    A missing host may belong to any of the plans, so the smallest budget applies to the sum.
    """
    covered_plans = list(plans)
    owed = sum(plan.hosts_owed for plan in covered_plans)
    return max(0, owed - min(plan.availability_budget for plan in covered_plans))


def _available_hosts(available_by_zone: Counter[ZoneId], zones: frozenset[ZoneId]) -> int:
    if not zones:
        return available_by_zone.total()
    return sum(available_by_zone[zone] for zone in zones)
