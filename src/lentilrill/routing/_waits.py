"""Estimate of the queueing delay."""

from lentilrill.ids import PlanId
from lentilrill.inner import Ask
from lentilrill.routing._grants import GrantTable
from lentilrill.routing._hosts import HostSlots
from lentilrill.routing._pool_config import DEFAULT_LIMITS, PoolConfig
from lentilrill.routing._queue import AskQueue
from lentilrill.routing._run_times import RunTimes
from lentilrill.settings import Urgency

__all__ = ["WaitEstimate"]

LEAST_URGENT = Urgency.PATIENT.rank


class WaitEstimate:
    """Estimates queueing delays from the queued work and measured run times.

    Estimates are deliberately low: refusing an ask that could have started is worse than
    queueing one that can't start in time, as the latter is refused at its deadline.
    """

    def __init__(
        self, queue: AskQueue, grants: GrantTable, hosts: HostSlots, run_times: RunTimes
    ) -> None:
        self._queue = queue
        self._grants = grants
        self._hosts = hosts
        self._run_times = run_times

    def wait_s(self, ask: Ask, now: float, config: PoolConfig) -> float:
        """Return the estimated seconds until ``ask`` would start."""
        if not self._queue and self._hosts.free:
            return 0.0
        slots = max(1, self._hosts.capacity)
        ahead_s = sum(self._class_work_s(rank) for rank in range(ask.urgency))
        wait_s = (ahead_s + self._own_class_work_s(ask, now, config)) / slots
        if self._hosts.free < 1:
            wait_s += self._run_times.mean_s / slots
        limit = config.limits_by_plan.get(ask.plan, DEFAULT_LIMITS).concurrency
        if limit and self._grants.running(ask.plan) >= limit:
            own_ahead = self._queue.count_ahead(ask.plan, ask.urgency, now + ask.wait_s)
            wait_s = max(wait_s, own_ahead * self._run_times.expected_s(ask.plan) / limit)
        return wait_s

    def drain_s(self, urgency: int = LEAST_URGENT) -> float:
        """Return the estimated seconds until all queued asks of that urgency or above start."""
        work_s = sum(self._class_work_s(rank) for rank in range(urgency + 1))
        return work_s / max(1, self._hosts.capacity)

    def plan_drain_s(self, plan: PlanId) -> float:
        """Return the estimated seconds until all queued asks of a plan start, without others."""
        work_s = self._queue.count(plan) * self._run_times.expected_s(plan)
        return work_s / max(1, self._hosts.capacity)

    def _class_work_s(self, rank: int) -> float:
        counts = self._queue.counts_by_plan(rank).items()
        return sum(count * self._run_times.expected_s(plan) for plan, count in counts)

    def _own_class_work_s(self, ask: Ask, now: float, config: PoolConfig) -> float:
        counts = self._queue.counts_by_plan(ask.urgency)
        counts[ask.plan] = self._queue.count_ahead(ask.plan, ask.urgency, now + ask.wait_s)
        weights = {plan: config.limits_by_plan.get(plan, DEFAULT_LIMITS).weight for plan in counts}
        own_s = counts[ask.plan] * self._run_times.expected_s(ask.plan)
        by_share_s = own_s * sum(weights.values()) / weights[ask.plan]
        all_s = sum(n * self._run_times.expected_s(plan) for plan, n in counts.items())
        return min(by_share_s, all_s)
