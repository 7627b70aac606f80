"""Admission control of a pool's scheduler: which asks are refused, and when to retry them."""

import random
from collections.abc import Callable

import msgspec

from lentilrill.ids import PlanId, PoolId
from lentilrill.inner import Ask, Message, Refusal, Refused
from lentilrill.routing._hosts import HostSlots
from lentilrill.routing._limits import TokenBucket
from lentilrill.routing._pool_config import DEFAULT_LIMITS, PlanLimits, PoolConfig
from lentilrill.routing._queue import AskQueue, QueuedAsk
from lentilrill.routing._spill import OtherZones
from lentilrill.routing._waits import WaitEstimate

__all__ = ["Admission", "Reply"]

MAX_QUEUE = 20_000
SPILL_WAIT_S = 0.25
NO_HOSTS_RETRY_S = 5.0
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0
RATE_BURST_S = 1.0
RETRY_DRAIN_SHARE = 0.5


class Reply(msgspec.Struct, frozen=True):
    """A message to send to the process at ``address``."""

    address: str
    message: Message


class Admission:
    """Decides whether an ask may be queued, by plan limits, queue size and estimated wait."""

    def __init__(
        self,
        pool: PoolId,
        queue: AskQueue,
        hosts: HostSlots,
        wait_estimate: WaitEstimate,
        other_zones: OtherZones,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._hosts = hosts
        self._wait_estimate = wait_estimate
        self._other_zones = other_zones
        self._clock = clock
        self._rng = rng
        self._config = PoolConfig({}, {})
        self._buckets_by_plan: dict[PlanId, TokenBucket] = {}

    def configure(self, config: PoolConfig) -> None:
        """Apply the limits of the plans."""
        self._config = config
        for plan in self._buckets_by_plan.keys() - config.limits_by_plan.keys():
            del self._buckets_by_plan[plan]

    def refusal_for(self, ask: Ask, replies: list[Reply]) -> Refused | None:
        """Return the refusal of ``ask``, or ``None`` if it may be queued.

        :param replies: receives the refusal of a queued ask that is evicted in favor of ``ask``.
        """
        now = self._clock()
        limits = self._config.limits_by_plan.get(ask.plan, DEFAULT_LIMITS)
        if not self._hosts.usable:
            return self._refused(ask, Refusal.NO_HOSTS, NO_HOSTS_RETRY_S, spill=True)
        if self._queue.count(ask.plan) >= limits.queue:
            after_s = self._retry_delay_s(self._wait_estimate.plan_drain_s(ask.plan))
            return self._refused(ask, Refusal.PLAN_LIMIT, after_s, spill=False)
        wait_s = self._wait_estimate.wait_s(ask, now, self._config)
        if wait_s > ask.wait_s:
            return self._refused(ask, Refusal.TOO_LATE, self._retry_delay_s(wait_s), spill=True)
        if ask.spillable and wait_s > SPILL_WAIT_S:
            zone = self._other_zones.claim(limits.zones, now)
            if zone is not None:
                return Refused(ask.request, self._pool, Refusal.TOO_LATE, wait_s, zone)
        limited_s = self._rate_limit_delay_s(ask.plan, limits, now)
        if limited_s > 0.0:
            return self._refused(ask, Refusal.PLAN_LIMIT, limited_s, spill=False)
        if len(self._queue) >= MAX_QUEUE:
            evicted = self._queue.evict_below(ask.urgency)
            if evicted is None:
                after_s = self._retry_delay_s(self._wait_estimate.drain_s(ask.urgency))
                return self._refused(ask, Refusal.QUEUE_FULL, after_s, spill=True)
            replies.append(self.refuse(evicted, Refusal.QUEUE_FULL))
        return None

    def refuse(self, queued: QueuedAsk, refusal: Refusal) -> Reply:
        """Return the refusal of an ask that was queued."""
        drain_s = self._wait_estimate.drain_s(queued.urgency)
        after_s = self._jittered_delay_s(self._retry_delay_s(drain_s))
        refused = Refused(queued.key.request, self._pool, refusal, after_s)
        return Reply(queued.key.address, refused)

    def _rate_limit_delay_s(self, plan: PlanId, limits: PlanLimits, now: float) -> float:
        if limits.rate_per_s <= 0.0:
            return 0.0
        bucket = self._buckets_by_plan.get(plan)
        if bucket is None or bucket.rate_per_s != limits.rate_per_s:
            burst = max(1.0, limits.rate_per_s * RATE_BURST_S)
            bucket = self._buckets_by_plan[plan] = TokenBucket(limits.rate_per_s, burst, now)
        return 0.0 if bucket.take(now) else bucket.wait_s(now)

    def _refused(self, ask: Ask, refusal: Refusal, after_s: float, spill: bool) -> Refused:
        zone = None
        if spill and ask.spillable:
            limits = self._config.limits_by_plan.get(ask.plan, DEFAULT_LIMITS)
            zone = self._other_zones.claim(limits.zones, self._clock())
        return Refused(ask.request, self._pool, refusal, self._jittered_delay_s(after_s), zone)

    def _retry_delay_s(self, drain_s: float) -> float:
        # Half of the time to drain the queue: by then a job could start well within its
        # permitted wait if no more jobs arrived. Waiting only for the excess over the permitted
        # wait is too short, since more jobs keep arriving during a surge.
        return drain_s * RETRY_DRAIN_SHARE

    def _jittered_delay_s(self, after_s: float) -> float:
        # Without jitter, all callers refused in one surge would retry at the same time.
        delay_s = max(MIN_RETRY_S, after_s) * self._rng.uniform(1.0, 1.5)
        return min(delay_s, MAX_RETRY_S)
