"""The controller task that plans for the fleet and writes the actions."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from lentilrill.fleet._acks import Acknowledgements
from lentilrill.fleet._actions import Action, Close, Return
from lentilrill.fleet._coordination import ActionCoordinator, ControllerRank
from lentilrill.fleet._fleet_state import FleetSnapshot, PlanningHistory
from lentilrill.fleet._listing import HostListReader
from lentilrill.fleet._planner import Decision, overspending_withdrawals, plan
from lentilrill.fleet._record_store import Basis
from lentilrill.fleet._records import HostPhase
from lentilrill.fleet._report import FleetReport, report
from lentilrill.fleet._trouble_reports import TroubleReports
from lentilrill.fleet._view import FleetView
from lentilrill.fleet._writer import ActionWriter
from lentilrill.ids import HostId, PoolId, StopId
from lentilrill.inner import Batch, HostTrouble, WithdrawalAck
from lentilrill.membership import Member, MembershipList
from lentilrill.settings import ControllerSettings
from lentilrill.store import HostList, HostListing, KeyValue
from lentilrill.telemetry import Event, Metrics, log, run_and_log_errors

__all__ = ["FleetTask"]

REPLAN_INTERVAL_S = 5.0
"""Seconds between two planning rounds without new input, for what depends on time alone."""
REPLAN_INTERVAL_S_PER_HOST = 0.005
"""The same per host, for large fleets.

A round takes some 5 us a host, so rounds without new input use 0.1 % of a core.
"""
HISTORY_MAX_GAP_S = 60.0
"""Gap between two planning rounds after which the history of conditions is discarded."""
BACKUP_INTERVAL_S = 15.0
"""Seconds between two planning rounds of the backup controller of a zone."""
MAX_CORE_SHARE = 0.01
"""Limit of the share of a core that planning may use; updates that arrive faster are batched."""
MIN_PAUSE_S = 0.05


class _Inner(Protocol):
    """Part of the inner protocol's node that the task uses."""

    def on(self, kind: type, handler: Callable[[Batch, Any], None]) -> None:
        """Register ``handler`` for received messages of a type."""


class FleetTask:
    """Task that reconciles the pools with the document in planning rounds.

    Every controller may act: each write is a compare-and-swap, which fails if it was planned on
    an old view. :class:`ActionCoordinator` only avoids that several controllers do the same work.

    :param clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostList,
        view: FleetView,
        membership: MembershipList,
        settings: ControllerSettings,
        node: _Inner,
        metrics: Metrics,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._view = view
        self._membership = membership
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._writer = ActionWriter(kv, view.mirror, metrics, clock)
        self._acks = Acknowledgements()
        self._coordinator = ActionCoordinator(membership)
        self._history = PlanningHistory()
        self._planned_at = 0.0
        self._trouble_reports = TroubleReports(membership)
        self._plan_lock = threading.Lock()
        self._list_reader = HostListReader(hosts, settings)
        self._planned_inputs: tuple = ()
        self._replan_due = 0.0
        self._backup_due = 0.0
        self._logged_reasons: dict[tuple[StopId, PoolId], str] = {}
        self._report = FleetReport()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)
        self._wake = threading.Event()
        view.subscribe(self._wake.set)
        node.on(WithdrawalAck, self._on_withdrawal_ack)
        node.on(HostTrouble, self._on_host_trouble)

    @property
    def report(self) -> FleetReport:
        """Report of the last planning round; :meth:`current_report` computes a new one."""
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

    def run_once(self) -> None:
        """Run one planning round and write the actions that are assigned to this process."""
        if not self._view.ready or not self._is_active():
            return
        with self._plan_lock:
            listing = self._list_reader.read(self._clock())
            if listing is not None and self._is_planning_due(listing):
                self._plan_and_write(listing)

    def _is_active(self) -> bool:
        rank, now = self._coordinator.rank(), self._clock()
        if rank is ControllerRank.BACKUP and now >= self._backup_due:
            self._backup_due = now + BACKUP_INTERVAL_S
            return True
        return rank is ControllerRank.PRIMARY

    def current_report(self) -> FleetReport:
        """Plan without writing, and return the report. Works in controllers that don't act, too."""
        with self._plan_lock:
            listing = self._list_reader.read(self._clock())
            if self._view.ready and listing is not None:
                self._plan(listing)
        return self._report

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            started = time.thread_time()
            run_and_log_errors("fleet", self.run_once)
            cpu_s = time.thread_time() - started
            self._stopping.wait(max(MIN_PAUSE_S, cpu_s / MAX_CORE_SHARE))
            self._wake.wait(self._settings.plan_every_s * random.uniform(0.8, 1.2))

    def _is_planning_due(self, listing: HostListing) -> bool:
        now = self._clock()
        inputs = (
            self._view.mirror.complete_to,
            self._view.document_revision,
            self._view.pools_by_id,
            listing,
            self._acks.changes,
            self._trouble_reports.in_all_zones(now),
        )
        if inputs == self._planned_inputs and now < self._replan_due:
            return False
        self._planned_inputs = inputs
        self._replan_due = now + max(
            REPLAN_INTERVAL_S, len(listing.hosts) * REPLAN_INTERVAL_S_PER_HOST
        )
        return True

    def _plan_and_write(self, listing: HostListing) -> None:
        decision, basis = self._plan(listing)
        actions = self._without_violations(decision)
        if not self._list_reader.is_fresh(self._clock()):
            # An old list hides failures, which use budget, so no new withdrawal may start from it.
            actions = [a for a in actions if isinstance(a, Close | Return)]
        hosts = self._view.hosts_by_id
        zones_by_host = {a.host: hosts[a.host][1].zone for a in actions if a.host in hosts}
        own_actions = self._coordinator.own_actions(actions, zones_by_host, self._clock())
        if not self._writer.write(decision.fleet.snapshot.document, own_actions, basis):
            self._replan_due = 0.0

    def _plan(self, listing: HostListing) -> tuple[Decision, Basis]:
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
        ejected, leaving = self._trouble_reports.in_all_zones(now)
        # A process that planned long ago and becomes active again would otherwise assume that a
        # condition lasted for the whole gap, and move hosts without waiting for ``settle_s``.
        if now - self._planned_at > HISTORY_MAX_GAP_S:
            self._history = PlanningHistory()
        self._planned_at = now
        snapshot = FleetSnapshot(document, pool_records, listing, now, ejected, leaving, closable)
        decision = plan(snapshot, self._history)
        self._report = report(decision, unacknowledged)
        self._log_waiting(decision)
        basis = Basis(
            document_revision,
            dict(records),
            {zone: revision for zone, (_, revision) in zones.items()},
            frozenset(stop.id for stop in document.stops),
            now,
        )
        return decision, basis

    def _without_violations(self, decision: Decision) -> list[Action]:
        """Return the actions, without those that violate an invariant, and log the violations."""
        fleet = decision.fleet
        counts = Counter(action.host for action in decision.actions)
        repeated = {host for host, count in counts.items() if count > 1}
        invalid = set(fleet.duplicates) | repeated
        valid = tuple(action for action in decision.actions if action.host not in invalid)
        overspending = overspending_withdrawals(fleet.snapshot, valid)
        for what, hosts in (
            ("host in two records", set(fleet.duplicates)),
            ("two steps of one host", repeated),
            ("budget overspent", overspending.keys()),
        ):
            for host in sorted(hosts):
                self._metrics.incr("fleet.invariant")
                log(Event.FLEET_INVARIANT, what=what, host=host)
        return [action for action in valid if action.host not in overspending]

    def _log_waiting(self, decision: Decision) -> None:
        reasons = {(w.stop, w.pool): w.reason for w in decision.waiting}
        for (stop, pool), reason in reasons.items():
            if self._logged_reasons.get((stop, pool)) != reason:
                log(Event.STOP_WAITS, stop=stop, pool=pool, reason=reason)
        self._logged_reasons = reasons

    def zone_trouble(self, now: float) -> tuple[frozenset[HostId], frozenset[HostId]]:
        """Return the ejected and the leaving hosts that gateways of this zone reported."""
        return self._trouble_reports.in_zone(now)

    def _on_withdrawal_ack(self, batch: Batch, ack: WithdrawalAck) -> None:
        if not _is_sender(batch, ack.member):
            return
        zone = ack.member.zone
        withdrawing = {
            item.host
            for item in ack.barred
            for _, entry in (self._view.hosts_by_id.get(item.host, (None, None)),)
            if entry is not None and entry.phase is HostPhase.WITHDRAWING and entry.zone == zone
        }
        if self._acks.record(ack.member, ack.barred, withdrawing):
            self._wake.set()

    def _on_host_trouble(self, batch: Batch, trouble: HostTrouble) -> None:
        if _is_sender(batch, trouble.member):
            self._trouble_reports.record(trouble, self._clock())


def _is_sender(batch: Batch, member: Member) -> bool:
    """Return whether the member that a message names is the process that sent it."""
    return (batch.sender, batch.incarnation) == (member.process, member.incarnation)
