"""Simulation of a fleet for the planner's benchmark: failures, restarts and planned stops."""

import math
import random
from collections import Counter

import msgspec

from lentilrill.fleet import DOCUMENT_KEY, HostPhase, PoolRecord, WaveReport
from lentilrill.fleet._actions import Action, Close
from lentilrill.fleet._budget import commitments
from lentilrill.fleet._fleet_state import FleetSnapshot, PlanningHistory
from lentilrill.fleet._planner import plan
from lentilrill.fleet._record_store import Basis, PoolRecordStore
from lentilrill.fleet._records import HostEntry
from lentilrill.fleet._report import report
from lentilrill.ids import HostId, PoolId, RackId, Revision, StopId, ZoneId
from lentilrill.settings import Document, Objective, PlannedStop
from lentilrill.store import HostInfo, HostListing, Mirror
from tests.builders import a_plan, a_pool
from tests.fakes import FakeKeyValue

__all__ = ["Fleet", "Sample", "Site"]

DAY_S = 86_400.0
DRAIN_S = 30.0
MAINTENANCE_S = 600.0
RESTART_S = 300.0
REPAIR_S = 4 * 3600.0
RACK_REPAIR_S = 2 * 3600.0
ZONE_REPAIR_S = 3600.0
TARGET_HOSTS = 4_400.0
FAILURES_PER_DAY = 51 / TARGET_HOSTS
RESTARTS_PER_DAY = 550 / TARGET_HOSTS
RACK_FAILURES_PER_DAY = 1 / 7 / (TARGET_HOSTS / 4)
ZONE_FAILURES_PER_DAY = 4 / 365 / 11


class Site(msgspec.Struct, frozen=True):
    """Size of a fleet and what it owes.

    :param owed: hosts that each pool owes; the spare pool owes ``spare_owed``.
    :param days: length of the run; a 35th of the racks is maintained each day.
    :param failures: factor on the host failure rate of the target fleet.
    """

    name: str
    pools: int
    hosts_per_pool: int
    zones: int
    owed: int
    spare_owed: int
    budget: int
    days: float
    objective: Objective
    step_s: float = 300.0
    failures: float = 1.0
    repair_s: float = REPAIR_S

    def document(self) -> Document:
        """Return the document of the site, without planned stops."""
        names = [f"p{n:02d}" for n in range(self.pools)]
        plans = tuple(
            a_plan(
                name,
                hosts_owed=self.owed if n else self.spare_owed,
                availability_budget=self.budget,
            )
            for n, name in enumerate(names)
        )
        pools = tuple(a_pool(name, spare=n == 0) for n, name in enumerate(names))
        return Document(plans, pools, objective=self.objective)

    def host_infos(self) -> list[HostInfo]:
        """Return the hosts of the site, four to a rack."""
        host_infos = []
        for n in range(self.pools * self.hosts_per_pool):
            zone = ZoneId(f"z{n // 4 % self.zones:02d}")
            name, rack = HostId(f"h{n:04d}"), RackId(f"r{n // 4:04d}")
            host_infos.append(HostInfo(name, f"10.0.0.1:{n}", zone, rack, since=1.0))
        return host_infos


class Sample(msgspec.Struct, frozen=True):
    """State of the pools at one time, with the moves since the last sample."""

    at: float
    available: dict[PoolId, int]
    moved_in: dict[PoolId, int]
    moved_out: dict[PoolId, int]
    pool_by_host: dict[HostId, PoolId]


class Fleet:
    """One simulated run of a site; each step plans, writes the actions and advances the clock."""

    def __init__(self, site: Site, seed: int = 1) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.now = 0.0
        self.document = site.document()
        self.kv = FakeKeyValue()
        self.record_store = PoolRecordStore(self.kv, Mirror())
        self.history = PlanningHistory()
        self.infos_by_id = {info.id: info for info in site.host_infos()}
        self.returns_at: dict[HostId, float] = {}
        self.records: dict[PoolId, tuple[PoolRecord, Revision]] = {}
        self.moves = 0
        self.plan_s: list[float] = []
        self.waves_by_stop: dict[StopId, WaveReport] = {}
        self.samples_over_budget = 0
        self.steps = 0
        self.samples: list[Sample] = []
        self._moved_in: Counter[PoolId] = Counter()
        self._moved_out: Counter[PoolId] = Counter()
        self._declare()
        self.commitments = commitments(self.document)

    def run(self, sample_every_s: float) -> None:
        """Run the site for the configured number of days."""
        for _ in range(3):
            self._step(without_failures=True)
        self.moves = 0
        next_sample, next_day, wave = self.now, self.now, 0
        end = self.now + self.site.days * DAY_S
        racks = sorted({info.rack for info in self.infos_by_id.values()})
        while self.now < end:
            if self.now >= next_day:
                self._stop_racks(racks, wave)
                wave, next_day = wave + 1, next_day + DAY_S
            self._step(without_failures=False)
            if self.now >= next_sample:
                self._sample()
                self._record_waves()
                next_sample += sample_every_s

    def run_one_stop(self, limit_s: float) -> tuple[float, float, float]:
        """Stop every host once with a single planned stop.

        :return: predicted seconds, seconds until 99 % of the hosts were done, and seconds until
            all were done; infinite if this exceeds the limit.
        """
        self.assign_all()
        stop = PlannedStop(StopId("all"), tuple(self.infos_by_id))
        self.document = msgspec.structs.replace(self.document, stops=(stop,))
        self._declare()
        predicted, nearly_all_s = 0.0, math.inf
        end = self.now + limit_s
        while self.now < end:
            self._step(without_failures=False)
            self._sample()
            stop_report = report(self.last, {}).stops[0]
            wave = stop_report.wave
            if stop_report.done >= 0.99 * len(stop.hosts):
                nearly_all_s = min(nearly_all_s, self.now - wave.started)
            predicted = predicted or wave.predicted_s
            if wave.actual_s is not None:
                return predicted, nearly_all_s, wave.actual_s
        return predicted, nearly_all_s, math.inf

    def assign_all(self) -> None:
        """Run without failures until all hosts are assigned to pools."""
        for _ in range(3):
            self._step(without_failures=True)

    def snapshot(self) -> FleetSnapshot:
        """Return the current input of the planner."""
        hosts = tuple(i for h, i in self.infos_by_id.items() if h not in self.returns_at)
        records = {pool: record for pool, (record, _) in self.records.items()}
        closable = frozenset(
            entry.id
            for record in records.values()
            for entry in record.hosts
            if entry.phase is HostPhase.WITHDRAWING and self.now - entry.proposed >= DRAIN_S
        )
        listing = HostListing(hosts, self.now)
        return FleetSnapshot(self.document, records, listing, self.now, closable=closable)

    def _declare(self) -> None:
        self.document_revision = self.kv.put(DOCUMENT_KEY, msgspec.json.encode(self.document))

    def _stop_racks(self, racks: list[RackId], wave: int) -> None:
        first, last = (round(len(racks) * part / 35) for part in (wave, wave + 1))
        chosen = set(racks[first:last])
        hosts = tuple(i.id for i in self.infos_by_id.values() if i.rack in chosen)
        if not hosts:
            return
        stop = PlannedStop(StopId(f"day{wave}"), hosts)
        recent = self.document.stops[-1:]
        self.document = msgspec.structs.replace(self.document, stops=(*recent, stop))
        self._declare()

    def _step(self, without_failures: bool) -> None:
        self.now += self.site.step_s
        self.steps += 1
        if not without_failures:
            self._inject_failures()
        for host in [h for h, at in self.returns_at.items() if at <= self.now]:
            del self.returns_at[host]
            info = self.infos_by_id[host]
            self.infos_by_id[host] = msgspec.structs.replace(info, since=self.now)
        decision = plan(self.snapshot(), self.history)
        self.last = decision
        self._write(decision.actions)
        self._start_maintenance()

    def _inject_failures(self) -> None:
        days = self.site.step_s / DAY_S
        failures_per_day = FAILURES_PER_DAY * self.site.failures
        for host, info in self.infos_by_id.items():
            draw = self.random.random()
            if draw < failures_per_day * days:
                self._fail_host(host, self.site.repair_s)
            elif draw < (failures_per_day + RESTARTS_PER_DAY) * days:
                self._fail_host(host, RESTART_S)
            elif draw < (failures_per_day + RESTARTS_PER_DAY + RACK_FAILURES_PER_DAY / 4) * days:
                self._fail_group("rack", info.rack, RACK_REPAIR_S)
        for zone in {info.zone for info in self.infos_by_id.values()}:
            if self.random.random() < ZONE_FAILURES_PER_DAY * days:
                self._fail_group("zone", zone, ZONE_REPAIR_S)

    def _fail_group(self, attribute: str, name: str, seconds: float) -> None:
        for host, info in self.infos_by_id.items():
            if getattr(info, attribute) == name:
                self._fail_host(host, seconds)

    def _fail_host(self, host: HostId, seconds: float) -> None:
        self.returns_at[host] = max(self.returns_at.get(host, 0.0), self.now + seconds)

    def _start_maintenance(self) -> None:
        for record, _ in self.records.values():
            for entry in record.hosts:
                restarted = self.infos_by_id[entry.id].since > entry.since
                if entry.phase is HostPhase.STOPPED and not restarted:
                    self.returns_at.setdefault(entry.id, self.now + MAINTENANCE_S)

    def _write(self, actions: tuple[Action, ...]) -> None:
        basis = Basis(
            self.document_revision,
            self.records,
            {},
            frozenset(stop.id for stop in self.document.stops),
            self.now,
        )
        self.record_store.create([pool.id for pool in self.document.pools], basis).unwrap()
        actions_by_pool: dict[PoolId, list[Action]] = {}
        hosts_by_move: dict[tuple[PoolId, PoolId], list[HostId]] = {}
        for action in actions:
            if isinstance(action, Close) and action.target is not None:
                hosts_by_move.setdefault((action.pool, action.target), []).append(action.host)
            else:
                actions_by_pool.setdefault(action.pool, []).append(action)
        for (pool, target), hosts in hosts_by_move.items():
            self.record_store.move(pool, target, hosts, basis).unwrap()
            self.moves += len(hosts)
            self._moved_out[pool] += len(hosts)
            self._moved_in[target] += len(hosts)
        for pool, pool_actions in actions_by_pool.items():
            self.record_store.apply(pool, pool_actions, basis).unwrap()

    def _sample(self) -> None:
        available: Counter[PoolId] = Counter()
        pool_by_host: dict[HostId, PoolId] = {}
        for pool, (record, _) in self.records.items():
            for entry in record.hosts:
                if self._available(entry):
                    available[pool] += 1
                    pool_by_host[entry.id] = pool
        self.samples_over_budget += any(
            available[pool] < max((f.hosts for f in commitment.floors), default=0)
            for pool, commitment in self.commitments.items()
        )
        counts = {pool: available[pool] for pool in self.records}
        moved = dict(self._moved_in), dict(self._moved_out)
        self.samples.append(Sample(self.now, counts, *moved, pool_by_host))
        self._moved_in.clear()
        self._moved_out.clear()

    def _record_waves(self) -> None:
        for stop in report(self.last, {}).stops:
            first = self.waves_by_stop.setdefault(stop.stop, stop.wave)
            self.waves_by_stop[stop.stop] = msgspec.structs.replace(
                stop.wave, predicted_s=first.predicted_s
            )

    def _available(self, entry: HostEntry) -> bool:
        return entry.phase is HostPhase.SERVING and entry.id not in self.returns_at
