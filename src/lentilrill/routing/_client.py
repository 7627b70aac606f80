"""Client of the pool schedulers: acquires slots for this gateway's jobs."""

import itertools
import random
import threading
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault
from lentilrill.fleet import FleetView, HostPhase
from lentilrill.ids import GrantId, HostId, PlanId, PoolId, RequestId, ZoneId
from lentilrill.inner import (
    Ask,
    Cancel,
    Done,
    Granted,
    Message,
    Node,
    Refusal,
    Refused,
    Verdict,
)
from lentilrill.membership import Member
from lentilrill.routing._contract import Decline, Job, Slot, SlotTarget
from lentilrill.routing._ledger import SendLedger
from lentilrill.routing._local_grants import LocalGrant, LocalGrants
from lentilrill.routing._placement import Placement, instance_of
from lentilrill.routing._schedulers import LocalSchedulers
from lentilrill.routing._waiters import PoolZones, Waiter, answer_s, decline

__all__ = ["SlotClient"]

ASK_INTERVAL_S = 1.0
MAX_ASK_INTERVAL_S = 8.0
REDIRECT_PAUSE_S = 0.1
INSIST_AFTER_S = 2.0
NO_HOSTS_RETRY_S = 5.0
LATE_RETRY_S = 1.0


class SlotClient:
    """Implements :class:`~lentilrill.routing.Slots` for a gateway.

    Each call of :meth:`acquire` blocks its thread. A scheduler in this process is called
    directly. Messages may be lost and schedulers replaced, so an unanswered ask is repeated with
    exponential backoff, and at once when the scheduler changes.
    """

    def __init__(
        self,
        node: Node,
        view: FleetView,
        placement: Placement,
        ledger: SendLedger,
        schedulers: LocalSchedulers,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._view = view
        self._placement = placement
        self._ledger = ledger
        self._schedulers = schedulers
        self._clock = clock
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._attempts = itertools.count(1)
        self._waiters_by_ask: dict[RequestId, Waiter] = {}
        self._waiters_by_request: dict[RequestId, Waiter] = {}
        self._local_grants = LocalGrants(node, placement, schedulers, clock)
        self._pool_zones = PoolZones(view)
        schedulers.on_answer = self._on_answer
        node.on(Granted, lambda batch, granted: self._on_answer(batch.reply_to, granted))
        node.on(Refused, lambda batch, refused: self._on_answer(batch.reply_to, refused))

    # Interface to the request path

    def acquire(self, job: Job) -> Result[Slot, Decline]:
        """Wait for a slot, at most until the job's deadline or until it is abandoned."""
        if not self._ledger.may_send:
            return Failure(decline(Refusal.NO_HOSTS, self._jittered(NO_HOSTS_RETRY_S)))
        zone = self._placement.me.zone
        zones_by_pool = self._pool_zones.serving()
        allowed = set(job.entitlement.zones)
        for pool in job.entitlement.pools:
            zones = zones_by_pool.get(pool, set())
            if zone in zones and (not allowed or zone in allowed):
                return self._wait(job, pool)
        for pool in job.entitlement.pools if job.spillable else ():
            zones = zones_by_pool.get(pool, set()) - {zone}
            for other in sorted(zones & allowed if allowed else zones):
                spilled = self._zone_slot(job, pool, other)
                if spilled is not None:
                    return Success(spilled)
        return Failure(decline(Refusal.NO_HOSTS, self._jittered(NO_HOSTS_RETRY_S)))

    def abandon(self, request: RequestId) -> None:
        """Make a waiting :meth:`acquire` return a decline at once: the caller disconnected.

        A request that doesn't wait yet is declined when it begins to, see :class:`Job`.
        """
        with self._lock:
            waiter = self._waiters_by_request.get(request)
            if waiter is None:
                return
            self._complete(waiter, Failure(decline(Refusal.TOO_LATE, None)))
        self._send(waiter.scheduler_address, Cancel(waiter.ask, waiter.pool))

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Register the send; call this directly before the first byte is sent."""
        return self._ledger.start(slot)

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Release the slot. No bytes of the job may be in transit to the host any more."""
        self._ledger.release(slot)
        if slot.target is SlotTarget.ZONE:
            return
        self._local_grants.release(slot, verdict, run_s)

    @property
    def waiting(self) -> int:
        """Number of jobs of this gateway that wait for a slot."""
        with self._lock:
            return len(self._waiters_by_ask)

    # Changes of membership, and periodic work

    def refresh(self) -> None:
        """Apply a membership change: ask new schedulers, and report the held grants to them."""
        with self._lock:
            waiters = list(self._waiters_by_ask.values())
        for waiter in waiters:
            scheduler = self._placement.scheduler(waiter.pool)
            if scheduler is not None and scheduler.inner != waiter.scheduler_address:
                waiter.woken.set()
        self._local_grants.report_all()

    def tick(self) -> None:
        """Report the held grants if the report interval is over."""
        self._local_grants.tick()

    # Waiting for an answer

    def _wait(self, job: Job, pool: PoolId) -> Result[Slot, Decline]:
        waiter = Waiter(job, pool, RequestId(f"{job.request}.{next(self._attempts)}"))
        with self._lock:
            self._waiters_by_ask[waiter.ask] = waiter
            self._waiters_by_request[job.request] = waiter
            if job.is_abandoned():
                self._complete(waiter, Failure(decline(Refusal.TOO_LATE, None)))
        if waiter.answer is not None:
            return waiter.answer
        pause_s = ASK_INTERVAL_S
        while True:
            self._send_ask(waiter)
            left_s = max(0.0, job.deadline - self._clock())
            woken = waiter.woken.wait(min(left_s, pause_s))
            # Cleared before the answer is checked: clearing afterwards could discard the wake-up
            # of an answer that arrived in between, until the ask is repeated.
            waiter.woken.clear()
            if waiter.answer is not None:
                return waiter.answer
            if not woken and left_s <= pause_s:
                return self._expire(waiter)
            if woken:
                self._pause_if_redirected(waiter, left_s)
            else:
                pause_s = min(2.0 * pause_s, MAX_ASK_INTERVAL_S)

    def _pause_if_redirected(self, waiter: Waiter, left_s: float) -> None:
        # Two processes may each take the other for the scheduler until their membership lists
        # agree. Asking again without a pause would loop between them.
        scheduler = self._placement.scheduler(waiter.pool)
        if scheduler is not None and scheduler.inner == waiter.scheduler_address:
            waiter.woken.wait(min(left_s, REDIRECT_PAUSE_S))

    def _send_ask(self, waiter: Waiter) -> None:
        scheduler = self._placement.scheduler(waiter.pool)
        if scheduler is None:
            return
        job, previous = waiter.job, waiter.scheduler_address
        now = self._clock()
        ask = Ask(
            waiter.ask,
            waiter.pool,
            job.plan.id,
            job.plan.urgency.rank,
            job.deadline - now,
            self._node.address,
            job.avoid,
            answer_s(job, now),
            job.spillable,
            waiter.redirected_at is not None and now - waiter.redirected_at > INSIST_AFTER_S,
        )
        waiter.scheduler_address = scheduler.inner
        if previous and previous != scheduler.inner:
            waiter.redirected_at = None
            self._send(previous, Cancel(waiter.ask, waiter.pool))
        self._send(scheduler.inner, ask)

    def _expire(self, waiter: Waiter) -> Result[Slot, Decline]:
        with self._lock:
            if waiter.answer is not None:
                return waiter.answer
            declined = decline(Refusal.TOO_LATE, self._jittered(LATE_RETRY_S))
            self._complete(waiter, Failure(declined))
        self._send(waiter.scheduler_address, Cancel(waiter.ask, waiter.pool))
        return Failure(declined)

    def _complete(self, waiter: Waiter, answer: Result[Slot, Decline]) -> None:
        waiter.answer = answer
        del self._waiters_by_ask[waiter.ask]
        if self._waiters_by_request.get(waiter.job.request) is waiter:
            del self._waiters_by_request[waiter.job.request]
        waiter.woken.set()

    # Answers

    def _on_answer(self, sender: str, message: Granted | Refused) -> None:
        if isinstance(message, Granted):
            if not self._accept_grant(sender, message):
                unused = Done(
                    message.pool,
                    message.grant,
                    message.host,
                    PlanId(""),
                    Verdict.UNUSED,
                    0.0,
                )
                self._send(sender, unused)
        else:
            self._on_refused(sender, message)

    def _accept_grant(self, sender: str, granted: Granted) -> bool:
        """Return ``False`` if the grant is late or unexpected and must be returned.

        A grant is accepted only for an ask that still waits, and only from the scheduler asked
        last. A late grant is returned unused, or its slot would stay occupied.
        """
        with self._lock:
            if self._local_grants.has(granted.pool, granted.grant):
                return True
            waiter = self._waiters_by_ask.get(granted.request)
            if waiter is None or waiter.scheduler_address != sender:
                return False
            pool, entry = self._view.hosts_by_id.get(granted.host, (None, None))
            if entry is None or pool != granted.pool or entry.phase is not HostPhase.SERVING:
                waiter.woken.set()
                return False
            local_grant = LocalGrant(granted.grant, granted.host, waiter.job)
            self._local_grants.add(granted.pool, local_grant)
            slot = Slot(
                waiter.job.request,
                granted.pool,
                SlotTarget.ENDPOINT,
                entry.address,
                granted.grant,
                granted.host,
                entry.zone,
                self._clock() + granted.start_within_s,
            )
            self._complete(waiter, Success(slot))
        return True

    def _on_refused(self, sender: str, refused: Refused) -> None:
        with self._lock:
            waiter = self._waiters_by_ask.get(refused.request)
            if waiter is None or waiter.scheduler_address != sender:
                return
            if refused.refusal is Refusal.NOT_SCHEDULER:
                waiter.redirected_at = waiter.redirected_at or self._clock()
                waiter.woken.set()
                return
            if refused.spill is not None and waiter.job.spillable:
                spilled = self._zone_slot(waiter.job, waiter.pool, refused.spill)
                if spilled is not None:
                    self._complete(waiter, Success(spilled))
                    return
            declined = decline(refused.refusal, refused.retry_after_s)
            self._complete(waiter, Failure(declined))

    def _zone_slot(self, job: Job, pool: PoolId, zone: ZoneId) -> Slot | None:
        gateways: tuple[Member, ...] = self._placement.gateways(zone)
        if not gateways:
            return None
        gateway = self._rng.choice(gateways)
        none = GrantId("")
        return Slot(
            job.request, pool, SlotTarget.ZONE, gateway.http, none, HostId(""), zone, job.deadline
        )

    def _send(self, address: str, message: Message) -> None:
        if address != self._node.address:
            if address:
                self._node.send(address, message)
            return
        me = instance_of(self._placement.me)
        match message:
            case Ask():
                self._schedulers.on_ask(message, me)
            case Cancel():
                self._schedulers.on_cancel(message, me)
            case Done():
                self._schedulers.on_done(message)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(1.0, 1.5)
