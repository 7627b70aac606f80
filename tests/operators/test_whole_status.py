"""The status that a controller shows, from its membership, fleet view and last report."""

from types import SimpleNamespace

import msgspec
from testtools import TestCase

from lentilrill._status import status
from lentilrill.fleet import (
    DOCUMENT_KEY,
    FleetReport,
    FleetView,
    HostPhase,
    PoolRecord,
    pool_key,
)
from lentilrill.fleet._records import DoneStop
from lentilrill.ids import ProcessId, Revision, StopId, ZoneId
from lentilrill.membership import Liveness, Member, Role, ZoneRecord, zone_key
from lentilrill.operators import StopState, propagation_of
from lentilrill.settings import PlannedStop
from lentilrill.store import Item, Mirror
from tests.builders import a_document, a_member, an_entry


class FakeMembershipTracker:
    """A fake membership tracker that returns the values set by the test."""

    def __init__(self, me: Member, view: FleetView) -> None:
        self.me = me
        self.view = view
        self.reported_statuses: list = []
        self.heartbeats: list = []
        self.suspects: set[str] = set()

    def zones(self) -> tuple[ZoneId, ...]:
        return tuple(sorted(self.view.zones_by_id))

    def registered_in(self, zone: ZoneId) -> tuple[Member, ...]:
        return self.view.zones_by_id[zone][0].members

    def last_heartbeats(self) -> tuple:
        return tuple(self.heartbeats)

    def zone_statuses(self) -> tuple:
        return tuple(self.reported_statuses)

    def latest_head_report(self) -> None:
        return None

    def liveness(self, member: Member) -> Liveness:
        if member.process == self.me.process:
            return Liveness.ALIVE if member == self.me else Liveness.GONE
        return Liveness.SUSPECT if member.process in self.suspects else Liveness.ALIVE


class StatusTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.view = FleetView(Mirror())
        self.me = a_member("ct-1", role=Role.CONTROLLER)
        self.membership = FakeMembershipTracker(self.me, self.view)
        self.put(DOCUMENT_KEY, a_document("schools", "spare"), 5)

    def put(self, key: str, value: object, revision: int) -> None:
        item = Item(key, msgspec.json.encode(value), Revision(revision))
        self.view.mirror.merge((item,), Revision(revision))

    def zone(self, name: str, *members: Member) -> None:
        self.put(zone_key(ZoneId(name)), ZoneRecord(ZoneId(name), members), 4)

    def status(self, report: FleetReport = FleetReport()):  # noqa: B008
        return status(self.membership, self.view, report, False)

    def test_paused_gateway_of_another_zone_counts_as_unheard(self) -> None:
        # A gateway of another zone is paused during an edit. Its zone reports it as suspect, and
        # reports one revision for the processes whose heartbeats it gets. Applied to the whole
        # zone, that showed the edit as in force everywhere, while the resumed gateway served the
        # old one.
        self.zone("z2", a_member("gw-2", zone=ZoneId("z2")), a_member("gw-3", zone=ZoneId("z2")))
        self.membership.suspects = {"gw-2"}
        self.membership.reported_statuses = [
            SimpleNamespace(
                zone=ZoneId("z2"),
                suspects=frozenset({ProcessId("gw-2")}),
                complete_to=Revision(9),
                drained=frozenset(),
            )
        ]
        propagation = propagation_of(self.status(), Revision(5))
        self.assertFalse(propagation.is_complete)
        self.assertEqual(("gw-2",), propagation.unheard)
        self.assertIn("gw-3", propagation.reached)

    def test_a_controller_restarted_in_an_outage_shows_itself_and_its_pools(self) -> None:
        # The zone's record still has the incarnation before the restart, and there is no fleet
        # report yet: the controller showed itself as gone, and no pools.
        before = a_member("ct-1", role=Role.CONTROLLER)
        self.zone("z1", before)
        hosts = (an_entry("h1"), an_entry("h2", phase=HostPhase.WITHDRAWING))
        self.put(pool_key("schools"), PoolRecord("schools", hosts), 3)
        shown = self.status()
        self.assertEqual([Liveness.ALIVE], [member.liveness for member in shown.members])
        schools = shown.pools[0]
        self.assertEqual(
            (2, 1, 1, 0), (schools.owed, schools.serving, schools.withdrawing, schools.missing)
        )

    def test_a_report_older_than_the_document(self) -> None:
        # A stop is cancelled, and status is requested before the next fleet report: the report
        # still contains the stop, which caused an internal error.
        report = FleetReport(stops=(SimpleNamespace(stop=StopId("june")),))
        self.assertEqual((), self.status(report).stops)

    def test_state_of_a_stop(self) -> None:
        # Operators restart hosts when the state of a stop is "stopped". Shown while a host still
        # runs jobs, or after all hosts were restarted, it would make them restart at a wrong time.
        stop = StopId("june")
        free = an_entry("h1", phase=HostPhase.STOPPED, stop=stop)
        leaving = an_entry("h2", phase=HostPhase.WITHDRAWING, stop=stop)
        back = an_entry("h3", done=(DoneStop(stop, 1.0, 2.0),))
        cases = {
            StopState.WAITING: (an_entry("h2"), an_entry("h1")),
            StopState.WITHDRAWING: (free, leaving, back),
            StopState.STOPPED: (free, back),
            StopState.DONE: (back,),
        }
        for n, (state, hosts) in enumerate(cases.items()):
            names = tuple(host.id for host in hosts)
            document = a_document("schools", "spare")
            stops = (PlannedStop(stop, names),)
            self.put(DOCUMENT_KEY, msgspec.structs.replace(document, stops=stops), 10 + n)
            self.put(pool_key("schools"), PoolRecord("schools", hosts), 10 + n)
            (shown,) = self.status().stops
            self.assertEqual(state, shown.state)
        unknown = msgspec.structs.replace(document, stops=(PlannedStop(stop, ("x",)),))
        self.put(DOCUMENT_KEY, unknown, 20)
        (shown,) = self.status().stops
        self.assertEqual((StopState.WAITING, "in no pool: x"), (shown.state, shown.why))
