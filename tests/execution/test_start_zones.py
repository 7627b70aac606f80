"""Availability zones of a job's starts, which tell a new owner what it need not wait for."""

import copy
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple
from unittest import mock

from msgspec.structs import replace
from returns.result import Result
from testtools import TestCase

from lentilrill.execution import EndKind, _links
from lentilrill.execution._host_reader import HostListing
from lentilrill.execution._start_zones import UNKNOWN_ZONE, StartZones, Zones
from lentilrill.execution._tracking import Run, TrackedJob
from lentilrill.faults import Fault
from lentilrill.ids import EndpointId, HostId, JobId, Revision, ZoneId
from lentilrill.store import Put
from lentilrill.workloads import Job
from tests.builders import a_host_row, a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually
from tests.fakes import refuse

EAST = ZoneId("east")
WEST = ZoneId("west")
FOREVER_S = 1000.0


class StartZonesTest(TestCase):
    def test_a_job_is_held_back_only_by_zones_of_its_record(self) -> None:
        zones = StartZones()
        zones.restore([EAST])
        self.assertTrue(zones.may_run_in(frozenset({EAST, WEST})))
        self.assertFalse(zones.may_run_in(frozenset({WEST})))
        self.assertFalse(zones.may_run_in(frozenset()))
        zones.forget_inherited()
        self.assertFalse(zones.may_run_in(frozenset({EAST})))

    def test_a_record_without_zones_tells_nothing(self) -> None:
        """A task ran twice, as its record was written by a version that stored no zones."""
        zones = StartZones()
        zones.restore(None)
        self.assertTrue(zones.may_run_in(frozenset({WEST})))
        self.assertIsNone(zones.to_store([EAST], is_started=True))

    def test_an_endpoint_in_an_unknown_zone_holds_back_what_was_started(self) -> None:
        """A task ran twice, as the zone of an endpoint that didn't answer was not known."""
        zones = StartZones()
        zones.restore([EAST])
        self.assertTrue(zones.may_run_in(frozenset({UNKNOWN_ZONE})))
        self.assertIsNone(zones.to_store([UNKNOWN_ZONE], is_started=True))

    def test_zones_of_a_previous_owner_stay_until_its_runs_are_known(self) -> None:
        """A task ran twice, as the second of two new owners no longer knew of a start."""
        zones = StartZones()
        zones.restore([EAST])
        self.assertEqual([EAST, WEST], zones.to_store([WEST], is_started=True))
        zones.forget_inherited()
        self.assertEqual([WEST], zones.to_store([WEST], is_started=True))

    def test_a_job_between_two_steps_keeps_its_zones(self) -> None:
        zones = StartZones()
        zones.restore([EAST])
        zones.forget_inherited()
        self.assertEqual([EAST], zones.to_store([], is_started=True))


class _Run(NamedTuple):
    zone: ZoneId
    phase: str  # "waits" for a commit, is "in" one, or was "sent"


class _World(NamedTuple):
    """One owner, the record in the store, and the commits that may still change it."""

    zones: StartZones
    stored: Zones
    runs: tuple[_Run, ...]
    in_flight: tuple[Zones, bool] | None  # what is written, and whether it has taken effect
    late: tuple[Zones, ...]  # commits without an answer that may still take effect

    @property
    def key(self) -> tuple[object, ...]:
        return self.zones._permitted, self.zones._inherited, *self[1:]


def _as_zones(zones: list[ZoneId] | None) -> Zones:
    return None if zones is None else frozenset(zones)


def _next_worlds(world: _World) -> Iterator[_World]:
    def changed(**values: object) -> _World:
        return world._replace(**({"zones": copy.deepcopy(world.zones)} | values))

    for zone in (EAST, WEST):
        if len(world.runs) < 2:
            run = _Run(zone, "sent" if world.zones.permits(zone) else "waits")
            yield changed(runs=(*world.runs, run))
    for run in set(world.runs):
        if run.phase == "sent":
            rest = list(world.runs)
            rest.remove(run)
            yield changed(runs=tuple(rest))
    if world.in_flight is None:
        after = changed()
        to_store = after.zones.to_store([run.zone for run in world.runs], is_started=True)
        after.zones.on_commit(to_store)
        runs = tuple(r._replace(phase="in") if r.phase == "waits" else r for r in world.runs)
        yield after._replace(in_flight=(_as_zones(to_store), False), runs=runs)
    else:
        written, is_done = world.in_flight
        if not is_done:
            # A commit compares the record's revision, so those before it can't take effect.
            yield changed(stored=written, in_flight=(written, True), late=())
        else:
            after = changed(in_flight=None)
            after.zones.on_stored(None if written is None else sorted(written))
            runs = tuple(r._replace(phase="sent") if r.phase == "in" else r for r in world.runs)
            yield after._replace(runs=runs)
        runs = tuple(r._replace(phase="waits") if r.phase == "in" else r for r in world.runs)
        late = world.late if is_done or written in world.late else (*world.late, written)
        yield changed(in_flight=None, runs=runs, late=late)
    for written in world.late:
        yield changed(stored=written, late=())


def explore(zones: StartZones) -> tuple[int, _World | None]:
    """Return the number of states, and one in which a start runs outside the stored zones."""
    first = _World(zones, frozenset(), (), None, ())
    seen = {first.key}
    waiting = deque([first])
    while waiting:
        world = waiting.popleft()
        sent = {run.zone for run in world.runs if run.phase == "sent"}
        if world.stored is not None and not sent <= world.stored:
            return len(seen), world
        for after in _next_worlds(world):
            if after.key not in seen:
                seen.add(after.key)
                waiting.append(after)
    return len(seen), None


class _IgnoresCommits(StartZones):
    """Broken: permits what the stored version has, whatever is being written."""

    __slots__ = ()

    def on_commit(self, zones: list[ZoneId] | None) -> None:
        pass


class _ForgetsWaiting(StartZones):
    """Broken: permits a zone as soon as a commit with it is sent."""

    __slots__ = ()

    def on_commit(self, zones: list[ZoneId] | None) -> None:
        self.on_stored(zones)


class ExplorerTest(TestCase):
    """Every order of starts, ends, commits, lost answers and commits that take effect late."""

    def test_each_start_is_in_the_record(self) -> None:
        """A task ran twice, as its start was not in the record that the next owner read."""
        zones = StartZones()
        zones.restore([])
        zones.forget_inherited()
        states, broken = explore(zones)
        self.assertIsNone(broken)
        self.assertGreater(states, 300)

    def test_broken_copies_are_found(self) -> None:
        for broken_type in (_IgnoresCommits, _ForgetsWaiting):
            zones = broken_type()
            zones.restore([])
            zones.forget_inherited()
            self.assertIsNotNone(explore(zones)[1])


class TakeOverOfZonesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        # Nothing that may run in a zone out of reach starts in these tests.
        patched = mock.patch.object(_links, "PREVIOUS_CALLS_S", FOREVER_S)
        patched.start()
        self.addCleanup(patched.stop)
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.east = replace(an_endpoint("e1", host="host-e1", started_ms=1), zone=EAST)
        self.west = replace(an_endpoint("e2", host="host-e2", started_ms=1), zone=WEST)

    def started(self, endpoint: str) -> set[JobId]:
        return {task.job for task, _ in self.pool.endpoints[endpoint].starts}

    def start_in_both_zones(self) -> tuple[Job, Job]:
        """Let an owner start one job in each zone; each has a second step of one task."""
        jobs = tuple(a_job(name, a_step(1), a_step(1, after=(0,))) for name in "ab")
        self.first = self.pool.take_over()
        for job, entry in zip(jobs, (self.east, self.west), strict=True):
            self.pool.entries.clear()
            self.pool.register(entry)
            self.pool.submit(self.first, job)
            self.assertTrue(eventually(lambda e=entry.id, j=job: j.id in self.started(e)))
        self.pool.register(self.east)
        self.assertTrue(eventually(lambda: self.record_is_narrow(jobs[1])))
        return jobs[0], jobs[1]

    def record_is_narrow(self, job: Job) -> bool:
        item = self.pool.kv.get(f"p/notices/{job.id}").unwrap()
        return item is not None and b'"zones":["west"]' in (item.value or b"")

    def cut_off_east(self) -> None:
        self.first.close()
        self.pool.endpoints["e1"].silent = True

    def test_jobs_of_other_zones_go_on_at_once(self) -> None:
        """All jobs of a pool waited 5 s after a zone was cut off with the pool's owner."""
        in_east, in_west = self.start_in_both_zones()
        self.cut_off_east()
        self.pool.take_over()
        west = self.pool.endpoints["e2"]
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(west.starts) == 2))
        self.assertEqual({in_west.id}, self.started("e2"))
        self.assertNotIn(in_east.id, self.started("e2"))

    def test_a_cut_off_endpoint_without_a_record_gets_its_zone_from_the_list_of_hosts(self) -> None:
        """All jobs of a pool waited 5 s, as the entries of the zone had lapsed already."""
        self.start_in_both_zones()
        self.cut_off_east()
        del self.pool.entries[EndpointId("e1")]
        rows = [
            a_host_row(HostId("host-e1"), zone=EAST, endpoint=EndpointId("e1")),
            a_host_row(HostId("host-e2"), zone=WEST, endpoint=EndpointId("e2")),
        ]
        listing = HostListing({row.id: row for row in rows}, FOREVER_S * FOREVER_S)
        self.pool.hosts = mock.Mock(latest=listing)
        self.pool.take_over()
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: len(self.pool.endpoints["e2"].starts) == 2))

    def test_a_gang_waits_for_the_record_as_a_whole(self) -> None:
        """A member of a gang started alone again and again while the other waited for a record."""
        owner = self.pool.new_owner()
        tracked_job = TrackedJob(a_job("a", a_step(2, gang=True)), Revision(1), 0.0)
        tracked_job.open_occurrences(0)
        tracked_job.start_zones.restore([WEST])
        links = {entry.id: owner._connect(entry) for entry in (self.east, self.west)}
        step = tracked_job.steps_by_occurrence[0][0]
        runs = [Run(t, 7, e, a_step().needs) for t, e in zip(step.tasks, links, strict=True)]
        placed = [(run.endpoint, run) for run in runs]
        self.assertEqual([], owner._starts.orders_of(placed, links))
        tracked_job.stored_version = tracked_job.version
        self.assertEqual(2, len(owner._starts.orders_of([], links)))

    def test_a_start_in_another_zone_waits_for_the_record(self) -> None:
        """A task ran twice, as its owner was lost before its start in a second zone was stored."""
        _, in_west = self.start_in_both_zones()
        commit = self.pool.kv.commit

        def without_east(compares: object, writes: tuple[Put, ...], *rest: object) -> Result:
            if any(b'"east"' in getattr(put, "value", b"") for put in writes):
                refused: Result[object, Fault] = refuse(lambda: commit(compares, writes, *rest))
                return refused
            return commit(compares, writes, *rest)

        self.pool.kv.commit = without_east  # type: ignore[method-assign]
        del self.pool.entries[EndpointId("e2")]
        west = self.pool.endpoints["e2"]
        for task, number in list(west.running):
            west.end(task, number, EndKind.DONE)
        polls = self.pool.endpoints["e1"].polls
        self.assertTrue(eventually(lambda: self.pool.endpoints["e1"].polls > polls + 20))
        self.assertNotIn(in_west.id, self.started("e1"))
        self.pool.kv.commit = commit  # type: ignore[method-assign]
        self.assertTrue(eventually(lambda: in_west.id in self.started("e1")))
