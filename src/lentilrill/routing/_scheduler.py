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
from lentilrill.routing._grants import Grant, GrantBook
from lentilrill.routing._health import Health, log_health
from lentilrill.routing._hosts import HostSlots
from lentilrill.routing._queue import AskKey, AskQueue, Caller, FairShares, Waiting
from lentilrill.routing._reserve import Reserve
from lentilrill.routing._run_times import RunTimes
from lentilrill.routing._spill import OtherZones
from lentilrill.routing._terms import DEFAULT_TERMS, PoolTerms
from lentilrill.routing._waits import WaitEstimate
from lentilrill.telemetry import Event, log

__all__ = ["PoolScheduler", "Reply"]

START_WITHIN_S = 2.0
REBUILD_S = 2.0
MOST_ASIDE = 8
SWEEP_S = 1.0
START_MARGIN_S = 0.005


class PoolScheduler:
    """Grants the slots of one pool in one zone. Not thread-safe.

    Methods return the replies that their caller must send.

    :param epoch: makes the ids of grants unique among all schedulers.
    :param awaited: gateways whose held grants must be known before the first grant.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        pool: PoolId,
        zone: ZoneId,
        epoch: int,
        awaited: set[str],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.pool = pool
        self.zone = zone
        self.epoch = epoch
        self.violations = 0
        self.hosts = HostSlots()
        self._clock = clock
        self._awaited = set(awaited)
        self._rebuilt_by = clock() + REBUILD_S
        self._terms = PoolTerms({}, {})
        self._shares = FairShares()
        self._queue = AskQueue(self._shares)
        self._grants = GrantBook()
        self._run_times = RunTimes()
        self._waits = WaitEstimate(self._queue, self._grants, self.hosts, self._run_times)
        self._reserve = Reserve(self._grants, self.hosts, self._run_times)
        self._others = OtherZones()
        self._admission = Admission(
            pool, self._queue, self.hosts, self._waits, self._others, clock, rng
        )
        self._asks = 0
        self._granted = 0
        self._swept = clock()
        self._alive: set[Caller] = set()

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
        return self.hosts.knows(host) or self._grants.orphaned(host, self._clock())

    @property
    def holders(self) -> set[Caller]:
        """Gateways that hold grants."""
        return {grant.caller for grant in self._grants}

    @property
    def awaited(self) -> frozenset[str]:
        """Gateways whose held grants are still unknown; empty once grants can be made."""
        if self._awaited and self._clock() >= self._rebuilt_by:
            self._awaited.clear()
        return frozenset(self._awaited)

    def configure(self, terms: PoolTerms) -> list[Reply]:
        """Apply a configuration of hosts, plans and limits."""
        self._terms = terms
        self._reserve.configure(terms)
        self._admission.configure(terms)
        self.hosts.configure(terms.slots_by_host, self._allowance())
        kept = set(terms.plans_by_id)
        self._shares.keep(kept)
        self._run_times.keep(kept)
        self.hosts.health.keep(kept)
        return self._grant_free([])

    def ask(self, ask: Ask, caller: Caller) -> list[Reply]:
        """Grant a slot, queue the ask, or refuse it."""
        key = AskKey(caller.address, ask.request)
        given = self._grants.of_ask(key)
        if given is not None:
            return [self._granted_reply(given, ask.request)]
        if self._queue.get(key) is not None:
            return []
        out: list[Reply] = []
        refused = self._admission.objection(ask, out)
        if refused is not None:
            out.append(Reply(caller.address, refused))
            return out
        self._asks += 1
        now = self._clock()
        # In an overload the earliest deadline is always about to pass. A job granted at the last
        # moment would start too late, and waste slot time that another job could use.
        deadline = now + ask.wait_s - START_MARGIN_S
        self._queue.add(
            Waiting(
                key,
                caller,
                ask.plan,
                ask.urgency,
                deadline,
                self._asks,
                now,
                now + ask.answer_s,
                ask.avoid,
            )
        )
        return self._grant_free(out)

    def cancel(self, request: RequestId, caller: Caller) -> list[Reply]:
        """Remove an ask from the queue, or free the grant that answered it."""
        key = AskKey(caller.address, request)
        if self._queue.remove(key) is not None:
            return []
        grant = self._grants.of_ask(key)
        return self._end(grant.id, Verdict.UNUSED, 0.0) if grant is not None else []

    def done(self, done: Done) -> list[Reply]:
        """Free the slot of a grant that is over, and grant it to the next ask."""
        return self._end(done.grant, done.verdict, done.run_s)

    def held(self, report: HeldGrants, caller: Caller) -> list[Reply]:
        """Apply a gateway's report of the grants that it holds."""
        now = self._clock()
        for item in report.grants:
            if item.grant not in self._grants and not self._grants.has_ended(item.grant):
                expected_s = self._run_times.expected_s(item.plan)
                self._enter(
                    Grant(
                        item.grant,
                        item.host,
                        item.plan,
                        caller,
                        None,
                        now,
                        expected_s,
                        now + item.answer_s,
                    )
                )
        out: list[Reply] = []
        for grant in self._grants.unreported(caller, report.grants, now):
            self._reclaim(grant, "missing from its gateway's reports", out)
        self._awaited.discard(caller.address)
        return self._grant_free(out)

    def hear(self, load: PoolLoad) -> None:
        """Record the load of the pool in another zone."""
        self._others.hear(load, self._clock())
        self.hosts.allow(self._allowance())

    def load(self) -> PoolLoad:
        """Return the load of the pool in this zone."""
        ejected = len(self.hosts.health.hosts(Health.EJECTED))
        free = 0 if self._queue or self.awaited else self.hosts.free
        return PoolLoad(self.pool, self.zone, free, self._waits.drain_s(), ejected)

    def tick(self, alive: set[Caller], is_gone: Callable[[Caller], bool]) -> list[Reply]:
        """Refuse asks past their deadline, and free the grants of ended gateways."""
        now = self._clock()
        out: list[Reply] = []
        for waiting in self._queue.expired(now):
            out.append(self._admission.refuse(waiting, Refusal.TOO_LATE))
        if now - self._swept >= SWEEP_S or alive != self._alive:
            self._swept, self._alive = now, alive
            self._sweep(alive, is_gone, now, out)
        return self._grant_free(out)

    def _sweep(
        self,
        alive: set[Caller],
        is_gone: Callable[[Caller], bool],
        now: float,
        out: list[Reply],
    ) -> None:
        # A slot granted to a gateway that is not live would stay unused. If the gateway comes
        # back, it repeats the ask with the same deadline and regains its place in the queue.
        for waiting in self._queue:
            if waiting.caller not in alive:
                self._queue.remove(waiting.key)
        for grant in self._grants.orphans(alive, is_gone, now):
            self._grants.note_orphan(grant, now)
            self._reclaim(grant, "its gateway ended", out)
        self._reserve.sweep(now)
        self._check()

    def resign(self) -> list[Reply]:
        """Empty the queue; the refusals make the gateways ask the pool's next scheduler."""
        out = [self._admission.refuse(waiting, Refusal.NOT_SCHEDULER) for waiting in self._queue]
        for reply in out:
            assert isinstance(reply.message, Refused)
            self._queue.remove(AskKey(reply.address, reply.message.request))
        return out

    # Choice of the next ask and its host

    def _grant_free(self, out: list[Reply]) -> list[Reply]:
        if self.awaited or not self._queue:
            return out
        now = self._clock()
        aside: list[Waiting] = []
        while len(aside) < MOST_ASIDE and self.hosts.pick((), now) is not None:
            waiting = self._queue.take(self._may_run)
            if waiting is None:
                break
            if waiting.deadline <= now:
                out.append(self._admission.refuse(waiting, Refusal.TOO_LATE))
                continue
            host = self._host_for(waiting, now)
            if host is None:
                aside.append(waiting)
            else:
                out.append(self._grant(waiting, host, now))
        for waiting in aside:
            self._queue.add(waiting)
        return out

    def _host_for(self, waiting: Waiting, now: float) -> HostId | None:
        host = self.hosts.pick(waiting.avoid, now)
        if host is None and self.hosts.all_avoided(waiting.avoid):
            return self.hosts.pick((), now)
        return host

    def _may_run(self, plan: PlanId) -> bool:
        limit = self._terms.plans_by_id.get(plan, DEFAULT_TERMS).concurrency
        if limit and self._grants.running(plan) >= limit:
            return False
        return self._reserve.permits(plan)

    def _grant(self, waiting: Waiting, host: HostId, now: float) -> Reply:
        self._granted += 1
        grant = Grant(
            GrantId(f"{self.epoch:x}.{self._granted:x}"),
            host,
            waiting.plan,
            waiting.caller,
            waiting.key,
            now,
            self._run_times.expected_s(waiting.plan),
            waiting.answer_by,
        )
        self._enter(grant)
        return self._granted_reply(grant, waiting.key.request)

    def _granted_reply(self, grant: Grant, request: RequestId) -> Reply:
        granted = Granted(request, self.pool, grant.id, grant.host, self.epoch, START_WITHIN_S)
        return Reply(grant.caller.address, granted)

    def _enter(self, grant: Grant) -> None:
        self._grants.add(grant)
        self.hosts.take(grant.host)
        self._shares.charge(grant.plan, grant.expected_s, self._weight(grant.plan))

    def _end(self, grant: GrantId, verdict: Verdict, run_s: float) -> list[Reply]:
        ended = self._grants.end(grant)
        if ended is None:
            return []
        if not self.hosts.release(ended.host):
            self._violated(f"grant on {ended.host} ended, but the host has no slot in use")
        self._shares.charge(ended.plan, run_s - ended.expected_s, self._weight(ended.plan))
        if verdict is Verdict.OK:
            self._run_times.learn(ended.plan, run_s)
        if self.hosts.note(ended.host, ended.plan, verdict, self._clock()):
            log_health(self.pool, ended.host, self.hosts.health.health(ended.host))
        return self._grant_free([])

    def _reclaim(self, grant: Grant, reason: str, out: list[Reply]) -> None:
        gateway = grant.caller.process
        log(Event.GRANT_RECLAIMED, pool=self.pool, grant=grant.id, gateway=gateway, reason=reason)
        out.extend(self._end(grant.id, Verdict.UNUSED, 0.0))

    def _weight(self, plan: PlanId) -> float:
        return self._terms.plans_by_id.get(plan, DEFAULT_TERMS).weight

    # Limits and consistency checks

    def _allowance(self) -> int:
        return max(0, self._terms.budget - self._terms.away - self._others.ejected())

    def _check(self) -> None:
        for contradiction in (self._queue.contradiction(), self.hosts.contradiction()):
            if contradiction:
                self._violated(contradiction)
        if self.hosts.used != len(self._grants):
            self._violated(f"{self.hosts.used} slots in use, but {len(self._grants)} grants")

    def _violated(self, reason: str) -> None:
        self.violations += 1
        log(Event.ROUTING_INVARIANT, pool=self.pool, zone=self.zone, reason=reason)
