"""The task of a controller that looks after the fleet."""

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
LOOK_EVERY_S_PER_HOST = 0.005
"""The same for large fleets. A look takes some 5 us a host, so that these take 0.1 % of a core."""
"""Time between two looks while nothing has changed, for what follows from time alone."""
MEMORY_LASTS_S = 60.0
"""Time without a look after which what earlier ones saw says nothing of the time between."""
SECOND_LOOKS_EVERY_S = 15.0
"""Time between two looks of a zone's second controller."""
CORE_SHARE = 0.01
"""Part of a core that looking may take; news that comes faster is looked at together."""
SHORTEST_PAUSE_S = 0.05


class _Inner(Protocol):
    """What the task needs of the inner protocol's node."""

    def on(self, kind: type, handler: Callable[[Batch, Any], None]) -> None:
        """Call ``handler`` for each received message of a type."""


class FleetTask:
    """Keeps pools as the document wants them, one look at a time.

    Every controller may act: whatever one decides, rightly or on an old view, goes through
    compare-and-swap. :class:`Turns` only saves them from doing the same work.

    :param clock: seconds since the epoch.
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
        """The fleet at this process's last look; see :meth:`look` for a new one."""
        return self._report

    def start(self) -> None:
        """Look at the fleet every ``plan_every_s`` seconds from now on."""
        self._thread.start()

    def close(self) -> None:
        """End the task after the step it is in."""
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join()

    def round(self) -> None:
        """Look at everything once, and do what it calls for and is this process's turn."""
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
        """Return the fleet as of now, also from a process that does not act on it."""
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
            except Exception as error:  # the task must outlive any one look
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
            # An old list hides failures, which spend budget: begin nothing by it.
            actions = [a for a in actions if isinstance(a, Close | Return)]
        hosts = self._view.hosts_by_id
        zones_by_host = {a.host: hosts[a.host][1].zone for a in actions if a.host in hosts}
        mine = self._turns.mine(actions, zones_by_host, self._clock())
        if not self._writer.write(decision.census.sight.document, mine, basis):
            self._look_due = 0.0

    def _decide(self, listing: HostListing) -> tuple[Decision, Basis]:
        view = self._view
        # The revision first: if a newer document comes in between, the comparison fails. The
        # other way round, actions of the older one would be written under the newer revision.
        document_revision = view.document_revision
        document = view.document
        records, zones = view.pools_by_id, view.zones_by_id
        now = self._clock()
        pool_records = {pool: record for pool, (record, _) in records.items()}
        zone_records = {zone: record for zone, (record, _) in zones.items()}
        closable, unacknowledged = self._acks.closable(pool_records.values(), zone_records)
        ejected, leaving = self._troubles.everywhere(now)
        # Guard against moves without settling: a process that looked once, long ago, and becomes
        # the one that looks, would take what is so now for having been so ever since.
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
        """Return the actions without those that would break a promise, which are logged."""
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
        """Return what gateways of this zone told of their hosts: ejected, and leaving ones."""
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
    """Return whether a message speaks for the process that sent it, and for no other."""
    return (batch.sender, batch.incarnation) == (member.process, member.incarnation)
