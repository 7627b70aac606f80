"""Configuration of one pool's scheduler, from the operators' document and the pool records."""

import msgspec

from lentilrill.fleet import FleetView, HostPhase
from lentilrill.ids import HostId, PlanId, PoolId, ZoneId
from lentilrill.settings import Document, Entitlement, Plan, Urgency

__all__ = ["DEFAULT_LIMITS", "PlanLimits", "PoolConfig", "pool_config"]


class PlanLimits(msgspec.Struct, frozen=True):
    """Limits of one plan in one zone; see :class:`~lentilrill.settings.Entitlement`.

    :param weight: relative share of the slots when several plans have queued jobs.
    :param urgency: rank of its urgency class, 0 first.
    """

    weight: float = 1.0
    rate_per_s: float = 0.0
    concurrency: int = 0
    queue: int = 200
    zones: tuple[ZoneId, ...] = ()
    urgency: int = Urgency.NORMAL.rank


DEFAULT_LIMITS = PlanLimits()
"""Limits of a plan that is not in this process's copy of the document yet."""


class PoolConfig(msgspec.Struct, frozen=True):
    """Hosts and limits of one pool in one zone.

    :param slots_by_host: slots of each host of the zone that serves the pool.
    :param unavailable: hosts of the pool in all zones that are being withdrawn or stopped.
    :param max_unavailable: limit of unavailable hosts, the lowest availability budget of the plans.
    """

    slots_by_host: dict[HostId, int]
    limits_by_plan: dict[PlanId, PlanLimits]
    unavailable: int = 0
    max_unavailable: int = 0


def pool_config(view: FleetView, pool: PoolId, zone: ZoneId) -> PoolConfig:
    """Return the configuration of ``pool`` in ``zone`` from the current state of ``view``."""
    document = view.document
    configured = document.pools_by_id().get(pool)
    slots = configured.slots_per_host if configured is not None else 0
    record, _ = view.pools_by_id.get(pool, (None, None))
    entries = record.hosts if record is not None else ()
    serving = [entry for entry in entries if entry.phase is HostPhase.SERVING]
    plans = _entitled_plans(document, pool)
    return PoolConfig(
        slots_by_host={entry.id: slots for entry in serving if entry.zone == zone},
        limits_by_plan={plan.id: _plan_limits(plan, entitled) for plan, entitled in plans},
        unavailable=len(entries) - len(serving),
        max_unavailable=min((plan.availability_budget for plan, _ in plans), default=0),
    )


def _entitled_plans(document: Document, pool: PoolId) -> list[tuple[Plan, Entitlement]]:
    plans_by_id = document.plans_by_id()
    return [
        (plans_by_id[entitlement.plan], entitlement)
        for entitlement in document.entitlements
        if pool in entitlement.pools and entitlement.plan in plans_by_id
    ]


def _plan_limits(plan: Plan, entitlement: Entitlement) -> PlanLimits:
    return PlanLimits(
        weight=float(max(1, plan.hosts_owed)),
        rate_per_s=entitlement.rate_per_s,
        concurrency=entitlement.concurrency,
        queue=entitlement.queue,
        zones=entitlement.zones,
        urgency=plan.urgency.rank,
    )
