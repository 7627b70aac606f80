"""The controller task that plans for the fleet and writes the actions."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from lentilrill.fleet._acks import Acknowledgements
from lentilrill.fleet._actions import Action, Close, Return
from lentilrill.fleet._census import Memory, Sight
from lentilrill.fleet._ledger import Basis
from lentilrill.fleet._listing import ListReader
from lentilrill.fleet._planner import Decision, overspending, plan
from lentilrill.fleet._records import HostPhase
from lentilrill.fleet._report import FleetReport, report
from lentilrill.fleet._troubles import Troubles
from lentilrill.fleet._turns import Place, Turns
from lentilrill.fleet._view import FleetView
from lentilrill.fleet._writer import Writer
from lentilrill.ids import HostId, PoolId, StopId
from lentilrill.inner import Batch, HostTrouble, WithdrawalAck
from lentilrill.membership import Member, Roster
from lentilrill.settings import ControllerSettings
from lentilrill.store import HostList, HostListing, KeyValue
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["FleetTask"]

LOOK_EVERY_S = 5.0
"""Seconds between two planning rounds without new input, for what depends on time alone."""
LOOK_EVERY_S_PER_HOST = 0.005
"""The same per host, for large fleets.

A round takes some 5 us a host, so rounds without new input use 0.1 % of a core.
"""
MEMORY_LASTS_S = 60.0
"""Gap between two planning rounds after which the history of conditions is discarded."""
SECOND_LOOKS_EVERY_S = 15.0
"""Seconds between two planning rounds of the second controller of a zone."""
CORE_SHARE = 0.01
"""Limit of the share of a core that planning may use; updates that arrive faster are batched."""
SHORTEST_PAUSE_S = 0.05


class _Inner(Protocol):
    """Part of the inner protocol's node that the task uses."""

    def on(self, kind: type, handler: Callable[[Batch, Any], None]) -> None:
        """Register ``handler`` for received messages of a type."""


class FleetTask:
    """Task that reconciles the pools with the document in planning rounds.

    Every controller may act: each write is a compare-and-swap, which fails if it was planned on
    an old view. :class:`Turns` only avoids that several controllers do the same work.

    :param clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostList,
        view: FleetView,
        roster: Roster,
        settings: ControllerSettings,
        node: _Inner,
        metrics: Metrics,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._view = view
        self._roster = roster
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._writer = Writer(kv, view.mirror, metrics, clock)
        self._acks = Acknowledgements()
        self._turns = Turns(roster)
        self._memory = Memory()
        self._looked_at = 0.0
        self._troubles = Troubles(roster)
        self._round_lock = threading.Lock()
        self._list = ListReader(hosts, settings)
        self._seen: tuple = ()
        self._look_due = 0.0
        self._second_due = 0.0
        self._reasons: dict[tuple[StopId, PoolId], str] = {}
        self._report = FleetReport()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)
        self._wake = threading.Event()
        view.subscribe(self._wake.set)
        node.on(WithdrawalAck, self._on_ack)
        node.on(HostTrouble, self._on_trouble)

    @property
    def report(self) -> FleetReport:
        """Report of the last planning round of this process; :meth:`look` computes a new one."""
        return self._report

    def start(self) -> None:
        """Start the thread that plans every ``plan_every_s`` seconds or when woken."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after its current round."""
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join()

    def round(self) -> None:
        """Run one planning round and write the actions that are assigned to this process."""
        if not self._view.ready or not self._is_in_turn():
            return
        with self._round_lock:
            listing = self._list.read(self._clock())
            if listing is not None and self._look_is_due(listing):
                self._act(listing)

    def _is_in_turn(self) -> bool:
        place, now = self._turns.place(), self._clock()
        if place is Place.SECOND and now >= self._second_due:
            self._second_due = now + SECOND_LOOKS_EVERY_S
            return True
        return place is Place.FIRST

    def look(self) -> FleetReport:
        """Plan without writing, and return the report. Works in controllers that don't act, too."""
        with self._round_lock:
            listing = self._list.read(self._clock())
            if self._view.ready and listing is not None:
                self._decide(listing)
        return self._report

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            started = time.thread_time()
            try:
                self.round()
            except Exception as error:  # an error in one round must not end the task
                log(Event.TASK_FAILED, task="fleet", error=repr(error))
            spent = time.thread_time() - started
            self._stopping.wait(max(SHORTEST_PAUSE_S, spent / CORE_SHARE))
            self._wake.wait(self._settings.plan_every_s * random.uniform(0.8, 1.2))

    def _look_is_due(self, listing: HostListing) -> bool:
        now = self._clock()
        seen = (
            self._view.mirror.complete_to,
            self._view.document_revision,
            self._view.pools_by_id,
            listing,
            self._acks.changes,
            self._troubles.everywhere(now),
        )
        if seen == self._seen and now < self._look_due:
            return False
        self._seen = seen
        self._look_due = now + max(LOOK_EVERY_S, len(listing.hosts) * LOOK_EVERY_S_PER_HOST)
        return True

    def _act(self, listing: HostListing) -> None:
        decision, basis = self._decide(listing)
        actions = self._checked(decision)
        if not self._list.fresh(self._clock()):
            # An old list hides failures, which use budget, so no new withdrawal may start from it.
            actions = [a for a in actions if isinstance(a, Close | Return)]
        hosts = self._view.hosts_by_id
        zones_by_host = {a.host: hosts[a.host][1].zone for a in actions if a.host in hosts}
        mine = self._turns.mine(actions, zones_by_host, self._clock())
        if not self._writer.write(decision.census.sight.document, mine, basis):
            self._look_due = 0.0

    def _decide(self, listing: HostListing) -> tuple[Decision, Basis]:
        view = self._view
        # Read the revision first: if a newer document arrives in between, the comparison fails.
        # In the other order, actions planned on the older document would pass the comparison.
        document_revision = view.document_revision
        document = view.document
        records, zones = view.pools_by_id, view.zones_by_id
        now = self._clock()
        pool_records = {pool: record for pool, (record, _) in records.items()}
        zone_records = {zone: record for zone, (record, _) in zones.items()}
        closable, unacknowledged = self._acks.closable(pool_records.values(), zone_records)
        ejected, leaving = self._troubles.everywhere(now)
        # A process that planned long ago and becomes active again would otherwise assume that a
        # condition lasted for the whole gap, and move hosts without waiting for ``settle_s``.
        if now - self._looked_at > MEMORY_LASTS_S:
            self._memory = Memory()
        self._looked_at = now
        sight = Sight(document, pool_records, listing, now, ejected, leaving, closable)
        decision = plan(sight, self._memory)
        self._report = report(decision, unacknowledged)
        self._tell_waiting(decision)
        basis = Basis(
            document_revision,
            dict(records),
            {zone: revision for zone, (_, revision) in zones.items()},
            frozenset(stop.id for stop in document.stops),
            now,
        )
        return decision, basis

    def _checked(self, decision: Decision) -> list[Action]:
        """Return the actions, without those that violate an invariant, and log the violations."""
        census = decision.census
        steps = Counter(action.host for action in decision.actions)
        twice = {host for host, count in steps.items() if count > 1}
        over = overspending(census.sight, decision.actions)
        for what, hosts in (
            ("host in two records", set(census.doubled)),
            ("two steps of one host", twice),
            ("budget overspent", over.keys()),
        ):
            for host in sorted(hosts):
                self._metrics.incr("fleet.invariant")
                log(Event.FLEET_INVARIANT, what=what, host=host)
        barred = over.keys() | set(census.doubled) | twice
        return [action for action in decision.actions if action.host not in barred]

    def _tell_waiting(self, decision: Decision) -> None:
        reasons = {(w.stop, w.pool): w.reason for w in decision.waiting}
        for (stop, pool), reason in reasons.items():
            if self._reasons.get((stop, pool)) != reason:
                log(Event.STOP_WAITS, stop=stop, pool=pool, reason=reason)
        self._reasons = reasons

    def zone_trouble(self, now: float) -> tuple[frozenset[HostId], frozenset[HostId]]:
        """Return the ejected and the leaving hosts that gateways of this zone reported."""
        return self._troubles.of_zone(now)

    def _on_ack(self, batch: Batch, ack: WithdrawalAck) -> None:
        if not _is_sender(batch, ack.member):
            return
        zone = ack.member.zone
        withdrawing = {
            item.host
            for item in ack.barred
            for _, entry in (self._view.hosts_by_id.get(item.host, (None, None)),)
            if entry is not None and entry.phase is HostPhase.WITHDRAWING and entry.zone == zone
        }
        if self._acks.note(ack.member, ack.barred, withdrawing):
            self._wake.set()

    def _on_trouble(self, batch: Batch, trouble: HostTrouble) -> None:
        if _is_sender(batch, trouble.member):
            self._troubles.note(trouble, self._clock())


def _is_sender(batch: Batch, member: Member) -> bool:
    """Return whether the member that a message names is the process that sent it."""
    return (batch.sender, batch.incarnation) == (member.process, member.incarnation)
