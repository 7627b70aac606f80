"""The fleet task end to end on a fake platform: first assignment, stops, moves."""

import time

from testtools import TestCase

from lentilrill.fleet import HostPhase
from lentilrill.ids import HostId, Revision, StopId, ZoneId
from lentilrill.membership import ZoneStatus
from lentilrill.settings import Document, PlannedStop
from tests.builders import a_plan, a_pool
from tests.fleet.world import World


def two_pools(**changes) -> Document:
    values = {
        "plans": (a_plan("ballots"), a_plan("desk")),
        "pools": (a_pool("ballots"), a_pool("desk", spare=True)),
    }
    return Document(**values | changes)


def a_stop(*hosts: str, name: str = "s1", **changes) -> PlannedStop:
    return PlannedStop(StopId(name), tuple(HostId(h) for h in hosts), **changes)


class FleetTaskTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World(two_pools())
        for n in range(1, 7):
            self.world.host(f"h{n}", rack=f"r{n % 2}")
        self.controller = self.world.controller()

    def test_new_hosts_are_assigned_where_they_are_owed(self) -> None:
        self.world.run(2)
        self.assertEqual(2, len(self.world.entries("ballots")))
        self.assertEqual(4, len(self.world.entries("desk")))
        racks = {entry.rack for entry in self.world.entries("ballots").values()}
        self.assertEqual({"r0", "r1"}, racks)

    def test_a_planned_stop_runs_through(self) -> None:
        self.world.run(2)
        entries = self.world.entries("ballots")
        host, other = sorted(entries, key=lambda h: entries[h].rack)
        self.world.change(stops=(a_stop(host, other),))
        self.world.run(1, acks=False)
        self.assertEqual([host], self.world.in_phase("ballots", HostPhase.WITHDRAWING))
        self.world.run(2)
        self.assertEqual([host], self.world.in_phase("ballots", HostPhase.STOPPED))
        stop = self.controller.task.current_report().stops[0]
        self.assertIn("2 are owed with 1 allowed away", stop.waits[0].reason)
        self.world.now += 100
        self.world.reboot(host)
        self.world.run(4)
        self.assertEqual([other], self.world.in_phase("ballots", HostPhase.STOPPED))
        self.world.now += 100
        self.world.reboot(other)
        self.world.run(3)
        self.assertEqual(sorted([host, other]), self.world.in_phase("ballots", HostPhase.SERVING))
        wave = self.controller.task.current_report().stops[0].wave
        self.assertTrue(200 < wave.actual_s < 220, wave)

    def test_a_host_ejected_in_another_zone_spends_budget(self) -> None:
        # A host of another zone fails all its jobs and is ejected there, but the platform lists
        # it as live. A controller without that information then grants a planned stop of the
        # other host of the pool, and the plan is left with no host at all.
        self.world.run(2)
        ejected, other = sorted(self.world.entries("ballots"))
        zone_status = ZoneStatus(
            ZoneId("z2"),
            time.monotonic(),
            frozenset(),
            Revision(1),
            ejected=frozenset({ejected}),
        )
        self.controller.membership.reported_statuses = (zone_status,)
        self.world.change(stops=(a_stop(other),))
        self.world.run(3)
        self.assertEqual([], self.world.in_phase("ballots", HostPhase.WITHDRAWING))
        self.controller.membership.reported_statuses = ()
        self.world.run(3, acks=False)
        self.assertEqual([other], self.world.in_phase("ballots", HostPhase.WITHDRAWING))

    def test_a_lasting_shortage_is_ended_by_the_spare_pool(self) -> None:
        self.world.run(2)
        lost = sorted(self.world.entries("ballots"))
        for host in lost:
            del self.world.hosts.infos_by_id[host]
        self.world.run(20)
        self.assertEqual(2, len(self.world.entries("ballots")))
        self.world.run(50)
        serving = set(self.world.entries("ballots")) - set(lost)
        self.assertEqual(2, len(serving))
