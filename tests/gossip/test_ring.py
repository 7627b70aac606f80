"""The ring of zones: a zone's status reaches every zone over few connections."""

from testtools import TestCase

from lentilrill.gossip._ring import OtherZones
from lentilrill.ids import Revision, ZoneId
from lentilrill.membership import Member, Role, RosterView, ZoneNews, ZoneRecord
from tests import builders

ZONES = 11


def controller(zone: int) -> Member:
    name = f"ct-{zone}"
    return builders.a_member(
        name, role=Role.CONTROLLER, zone=ZoneId(f"z{zone:02d}"), inner=f"10.0.{zone}.1:7"
    )


class RingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.members = [controller(zone) for zone in range(ZONES)]
        self.records = {m.zone: (ZoneRecord(m.zone, (m,)), Revision(1)) for m in self.members}

    def zones_of(self, me: Member, hears: bool = True) -> OtherZones:
        roster = RosterView(me, lambda: self.records, 2.0, 5.0, lambda: 0.0)
        if hears:
            roster.hear_zones(ZoneNews(m.zone, 0.0, frozenset(), Revision(1)) for m in self.members)
        roster.refresh()
        return OtherZones(roster, me.zone, ())

    def test_news_of_every_zone_is_everywhere_in_a_few_beats(self) -> None:
        peers = {m.inner: self.zones_of(m).peers(1, ()) for m in self.members}
        self.assertEqual({2}, {len(told) for told in peers.values()})
        for member in self.members:
            knowing = {member.inner}
            for _ in range(4):
                knowing |= {told for teller in knowing for told in peers[teller]}
            self.assertEqual(ZONES, len(knowing))

    def test_a_zone_that_hears_nobody_still_tries(self) -> None:
        # A network partition separates a zone from all others, and each side considers the other
        # silent. Afterwards one side has to send first, or they stay separated for good.
        alone = self.zones_of(self.members[0], hears=False)
        tried = {address for beat in range(100) for address in alone.peers(beat, ())}
        self.assertEqual({m.inner for m in self.members[1:]}, tried)

    def test_a_member_that_is_no_head_tells_nobody(self) -> None:
        gateway = builders.a_member("gw", zone=self.members[0].zone)
        self.assertEqual([], self.zones_of(gateway).peers(0, ()))
