"""Scheduler of one pool in one zone: grants slots to queued asks."""

import random
from collections.abc import Callable

from lentilrill.ids import GrantId, HostId, PlanId, PoolId, RequestId, ZoneId
from lentilrill.inner import (
    Ask,
    Done,
    Granted,
    HeldGrants,
    PoolLoad,
    Refusal,
    Refused,
    Verdict,
)
from lentilrill.routing._admission import Admission, Reply
from lentilrill.routing._grants import Grant, GrantTable
from lentilrill.routing._health import Health, log_health
from lentilrill.routing._hosts import HostSlots
from lentilrill.routing._pool_config import DEFAULT_LIMITS, PoolConfig
from lentilrill.routing._queue import AskKey, AskQueue, FairShares, GatewayInstance, QueuedAsk
from lentilrill.routing._reserve import Reserve
from lentilrill.routing._run_times import RunTimes
from lentilrill.routing._spill import OtherZones
from lentilrill.routing._waits import WaitEstimate
from lentilrill.telemetry import Event, log

__all__ = ["PoolScheduler", "Reply"]

START_WITHIN_S = 2.0
REBUILD_TIMEOUT_S = 2.0
MAX_SKIPPED = 8
SWEEP_INTERVAL_S = 1.0
START_MARGIN_S = 0.005


class PoolScheduler:
    """Grants the slots of one pool in one zone. Not thread-safe.

    Methods return the replies that their caller must send.

    :param epoch: makes the ids of grants unique among all schedulers.
    :param awaited_gateways: gateways whose held grants must be known before the first grant.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        pool: PoolId,
        zone: ZoneId,
        epoch: int,
        awaited_gateways: set[str],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.pool = pool
        self.zone = zone
        self.epoch = epoch
        self.violations = 0
        self.hosts = HostSlots()
        self._clock = clock
        self._awaited_gateways = set(awaited_gateways)
        self._rebuild_deadline = clock() + REBUILD_TIMEOUT_S
        self._config = PoolConfig({}, {})
        self._shares = FairShares()
        self._queue = AskQueue(self._shares)
        self._grants = GrantTable()
        self._run_times = RunTimes()
        self._wait_estimate = WaitEstimate(self._queue, self._grants, self.hosts, self._run_times)
        self._reserve = Reserve(self._grants, self.hosts, self._run_times)
        self._other_zones = OtherZones()
        self._admission = Admission(
            pool, self._queue, self.hosts, self._wait_estimate, self._other_zones, clock, rng
        )
        self._ask_count = 0
        self._grant_count = 0
        self._swept_at = clock()
        self._alive_gateways: set[GatewayInstance] = set()

    @property
    def waiting(self) -> int:
        """Number of queued asks."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of outstanding grants."""
        return len(self._grants)

    def occupies(self, host: HostId) -> bool:
        """Return whether a job granted here may still run on ``host``, or may be granted.

        When a gateway is killed, its job keeps running on the endpoint, and no process reports
        its end. So that the host is not stopped under such a job, a withdrawal is not
        acknowledged while a grant on the host is outstanding nor, after a gateway ended without
        a report, until the job's maximum run time is over.
        """
        return self.hosts.is_tracked(host) or self._grants.has_orphan(host, self._clock())

    @property
    def holders(self) -> set[GatewayInstance]:
        """Gateways that hold grants."""
        return {grant.gateway for grant in self._grants}

    @property
    def awaited_gateways(self) -> frozenset[str]:
        """Gateways whose held grants are still unknown; empty once grants can be made."""
        if self._awaited_gateways and self._clock() >= self._rebuild_deadline:
            self._awaited_gateways.clear()
        return frozenset(self._awaited_gateways)

    def configure(self, config: PoolConfig) -> list[Reply]:
        """Apply a configuration of hosts, plans and limits."""
        self._config = config
        self._reserve.configure(config)
        self._admission.configure(config)
        self._log_demoted(self.hosts.configure(config.slots_by_host, self._max_ejected()))
        plans = set(config.limits_by_plan)
        self._shares.retain_plans(plans)
        self._run_times.retain_plans(plans)
        self.hosts.health.retain_plans(plans)
        return self._grant_free([])

    def ask(self, ask: Ask, gateway: GatewayInstance) -> list[Reply]:
        """Grant a slot, queue the ask, or refuse it."""
        key = AskKey(gateway.address, ask.request)
        existing = self._grants.find_by_ask(key)
        if existing is not None:
            return [self._granted_reply(existing, ask.request)]
        if self._queue.get(key) is not None:
            return []
        replies: list[Reply] = []
        refused = self._admission.refusal_for(ask, replies)
        if refused is not None:
            replies.append(Reply(gateway.address, refused))
            return replies
        self._ask_count += 1
        now = self._clock()
        # In an overload the earliest deadline is always about to pass. A job granted at the last
        # moment would start too late, and waste slot time that another job could use.
        deadline = now + ask.wait_s - START_MARGIN_S
        self._queue.add(
            QueuedAsk(
                key,
                gateway,
                ask.plan,
                ask.urgency,
                deadline,
                self._ask_count,
                now,
                now + ask.answer_s,
                ask.avoid,
            )
        )
        return self._grant_free(replies)

    def cancel(self, request: RequestId, gateway: GatewayInstance) -> list[Reply]:
        """Remove an ask from the queue, or free the grant that answered it."""
        key = AskKey(gateway.address, request)
        if self._queue.remove(key) is not None:
            return []
        grant = self._grants.find_by_ask(key)
        return self._end_grant(grant.id, Verdict.UNUSED, 0.0) if grant is not None else []

    def on_done(self, done: Done) -> list[Reply]:
        """Free the slot of a grant that is over, and grant it to the next ask."""
        return self._end_grant(done.grant, done.verdict, done.run_s)

    def on_held_grants(self, report: HeldGrants, gateway: GatewayInstance) -> list[Reply]:
        """Apply a gateway's report of the grants that it holds."""
        now = self._clock()
        for item in report.grants:
            if item.grant not in self._grants and not self._grants.has_ended(item.grant):
                expected_s = self._run_times.expected_s(item.plan)
                self._add_grant(
                    Grant(
                        item.grant,
                        item.host,
                        item.plan,
                        gateway,
                        None,
                        now,
                        expected_s,
                        now + item.answer_s,
                    )
                )
        replies: list[Reply] = []
        for grant in self._grants.find_unreported(gateway, report.grants, now):
            self._reclaim(grant, "missing from its gateway's reports", replies)
        self._awaited_gateways.discard(gateway.address)
        return self._grant_free(replies)

    def on_pool_load(self, load: PoolLoad) -> None:
        """Record the load of the pool in another zone."""
        self._other_zones.update(load, self._clock())
        self._log_demoted(self.hosts.set_max_ejected(self._max_ejected()))

    def load(self) -> PoolLoad:
        """Return the load of the pool in this zone."""
        ejected = len(self.hosts.health.hosts_with(Health.EJECTED))
        free = 0 if self._queue or self.awaited_gateways else self.hosts.free
        return PoolLoad(self.pool, self.zone, free, self._wait_estimate.drain_s(), ejected)

    def tick(
        self, alive: set[GatewayInstance], is_gone: Callable[[GatewayInstance], bool]
    ) -> list[Reply]:
        """Refuse asks past their deadline, and free the grants of ended gateways."""
        now = self._clock()
        replies: list[Reply] = []
        for queued in self._queue.pop_expired(now):
            replies.append(self._admission.refuse(queued, Refusal.TOO_LATE))
        if now - self._swept_at >= SWEEP_INTERVAL_S or alive != self._alive_gateways:
            self._swept_at, self._alive_gateways = now, alive
            self._sweep(alive, is_gone, now, replies)
        return self._grant_free(replies)

    def _sweep(
        self,
        alive: set[GatewayInstance],
        is_gone: Callable[[GatewayInstance], bool],
        now: float,
        replies: list[Reply],
    ) -> None:
        # A slot granted to a gateway that is not live would stay unused. If the gateway comes
        # back, it repeats the ask with the same deadline and regains its place in the queue.
        for queued in self._queue:
            if queued.gateway not in alive:
                self._queue.remove(queued.key)
        for grant in self._grants.find_orphans(alive, is_gone, now):
            self._grants.record_orphan(grant, now)
            self._reclaim(grant, "its gateway ended", replies)
        self._reserve.update(now)
        self._check()

    def close(self) -> list[Reply]:
        """Empty the queue; the refusals make the gateways ask the pool's next scheduler."""
        replies = [self._admission.refuse(queued, Refusal.NOT_SCHEDULER) for queued in self._queue]
        for reply in replies:
            assert isinstance(reply.message, Refused)
            self._queue.remove(AskKey(reply.address, reply.message.request))
        return replies

    # Choice of the next ask and its host

    def _grant_free(self, replies: list[Reply]) -> list[Reply]:
        if self.awaited_gateways or not self._queue:
            return replies
        now = self._clock()
        skipped: list[QueuedAsk] = []
        while len(skipped) < MAX_SKIPPED and self.hosts.pick((), now) is not None:
            queued = self._queue.pop_next(self._may_run)
            if queued is None:
                break
            if queued.deadline <= now:
                replies.append(self._admission.refuse(queued, Refusal.TOO_LATE))
                continue
            host = self._host_for(queued, now)
            if host is None:
                skipped.append(queued)
            else:
                replies.append(self._grant(queued, host, now))
        for queued in skipped:
            self._queue.add(queued)
        return replies

    def _host_for(self, queued: QueuedAsk, now: float) -> HostId | None:
        host = self.hosts.pick(queued.avoid, now)
        if host is None and self.hosts.all_avoided(queued.avoid):
            return self.hosts.pick((), now)
        return host

    def _may_run(self, plan: PlanId) -> bool:
        limit = self._config.limits_by_plan.get(plan, DEFAULT_LIMITS).concurrency
        if limit and self._grants.running(plan) >= limit:
            return False
        return self._reserve.permits(plan)

    def _grant(self, queued: QueuedAsk, host: HostId, now: float) -> Reply:
        self._grant_count += 1
        grant = Grant(
            GrantId(f"{self.epoch:x}.{self._grant_count:x}"),
            host,
            queued.plan,
            queued.gateway,
            queued.key,
            now,
            self._run_times.expected_s(queued.plan),
            queued.answer_by,
        )
        self._add_grant(grant)
        return self._granted_reply(grant, queued.key.request)

    def _granted_reply(self, grant: Grant, request: RequestId) -> Reply:
        granted = Granted(request, self.pool, grant.id, grant.host, self.epoch, START_WITHIN_S)
        return Reply(grant.gateway.address, granted)

    def _add_grant(self, grant: Grant) -> None:
        self._grants.add(grant)
        self.hosts.add_grant(grant.host)
        self._shares.charge(grant.plan, grant.expected_s, self._weight(grant.plan))

    def _end_grant(self, grant: GrantId, verdict: Verdict, run_s: float) -> list[Reply]:
        ended = self._grants.end(grant)
        if ended is None:
            return []
        if not self.hosts.remove_grant(ended.host):
            self._report_violation(f"grant on {ended.host} ended, but the host has no slot in use")
        self._shares.charge(ended.plan, run_s - ended.expected_s, self._weight(ended.plan))
        if verdict is Verdict.OK:
            self._run_times.add(ended.plan, run_s)
        if self.hosts.record_verdict(ended.host, ended.plan, verdict, self._clock()):
            log_health(self.pool, ended.host, self.hosts.health.health(ended.host))
        return self._grant_free([])

    def _log_demoted(self, hosts: tuple[HostId, ...]) -> None:
        for host in hosts:
            log_health(self.pool, host, Health.LAST_RESORT)

    def _reclaim(self, grant: Grant, reason: str, replies: list[Reply]) -> None:
        process_id = grant.gateway.process
        log(
            Event.GRANT_RECLAIMED, pool=self.pool, grant=grant.id, gateway=process_id, reason=reason
        )
        replies.extend(self._end_grant(grant.id, Verdict.UNUSED, 0.0))

    def _weight(self, plan: PlanId) -> float:
        return self._config.limits_by_plan.get(plan, DEFAULT_LIMITS).weight

    # Limits and consistency checks

    def _max_ejected(self) -> int:
        return max(
            0, self._config.max_unavailable - self._config.unavailable - self._other_zones.ejected()
        )

    def _check(self) -> None:
        for inconsistency in (self._queue.find_inconsistency(), self.hosts.find_inconsistency()):
            if inconsistency:
                self._report_violation(inconsistency)
        if self.hosts.used != len(self._grants):
            self._report_violation(
                f"{self.hosts.used} slots in use, but {len(self._grants)} grants"
            )

    def _report_violation(self, reason: str) -> None:
        self.violations += 1
        log(Event.ROUTING_INVARIANT, pool=self.pool, zone=self.zone, reason=reason)
