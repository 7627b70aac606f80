"""Slots reserved for urgent and short jobs."""

from lentilrill.ids import PlanId
from lentilrill.routing._grants import GrantTable
from lentilrill.routing._hosts import HostSlots
from lentilrill.routing._pool_config import DEFAULT_LIMITS, PoolConfig
from lentilrill.routing._run_times import RunTimes
from lentilrill.settings import Urgency

__all__ = ["Reserve"]

LONG_RUN_S = 2.0
RESERVED_DIVISOR = 8
LEAST_URGENT = Urgency.PATIENT.rank


class Reserve:
    """Keeps an eighth of the slots free of long jobs that are not of the most urgent class.

    This prevents head-of-line blocking by running jobs: running jobs are never preempted, so once
    jobs of an hour occupy every slot, the order of the queue no longer helps an urgent job. Short
    jobs may use the reserved slots, so the reserve costs no throughput. A plan counts as long
    until a job of it has ended, whatever run time its callers declare.
    """

    def __init__(self, grants: GrantTable, hosts: HostSlots, run_times: RunTimes) -> None:
        self._grants = grants
        self._hosts = hosts
        self._run_times = run_times
        self._long_plans: set[PlanId] = set()
        self._config = PoolConfig({}, {})
        self._top_urgency = LEAST_URGENT

    def configure(self, config: PoolConfig) -> None:
        """Apply the urgency classes of the plans."""
        self._config = config
        self._top_urgency = min(
            (limits.urgency for limits in config.limits_by_plan.values()), default=LEAST_URGENT
        )

    def update(self, now: float) -> None:
        """Update which plans have occupied their slots for a long time."""
        self._long_plans = self._grants.plans_with_old_grants(now - LONG_RUN_S)

    def permits(self, plan: PlanId) -> bool:
        """Return whether one more job of ``plan`` may start without using a reserved slot."""
        if not self._is_long(plan):
            return True
        slots = self._hosts.capacity
        reserved = max(1, slots // RESERVED_DIVISOR) if slots > 1 else 0
        long = sum(self._grants.running(p) for p in self._grants.plans() if self._is_long(p))
        return long < slots - reserved

    def _is_long(self, plan: PlanId) -> bool:
        if self._config.limits_by_plan.get(plan, DEFAULT_LIMITS).urgency <= self._top_urgency:
            return False
        if plan in self._long_plans or not self._run_times.is_measured(plan):
            return True
        return self._run_times.expected_s(plan) > LONG_RUN_S
