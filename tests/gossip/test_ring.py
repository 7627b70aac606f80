"""The ring of zones: a zone's status reaches every zone over few connections."""

from testtools import TestCase

from lentilrill.gossip._ring import ZoneRing
from lentilrill.ids import Revision, ZoneId
from lentilrill.membership import Member, MembershipTracker, Role, ZoneRecord, ZoneStatus
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

    def ring_of(self, me: Member, has_statuses: bool = True) -> ZoneRing:
        membership = MembershipTracker(me, lambda: self.records, 2.0, 5.0, lambda: 0.0)
        if has_statuses:
            membership.record_zone_statuses(
                ZoneStatus(m.zone, 0.0, frozenset(), Revision(1)) for m in self.members
            )
        membership.refresh()
        return ZoneRing(membership, me.zone, ())

    def test_every_status_reaches_all_zones_in_a_few_heartbeats(self) -> None:
        peers = {m.inner: self.ring_of(m).peers(1, ()) for m in self.members}
        self.assertEqual({2}, {len(sent_to) for sent_to in peers.values()})
        for member in self.members:
            informed = {member.inner}
            for _ in range(4):
                informed |= {sent_to for sender in informed for sent_to in peers[sender]}
            self.assertEqual(ZONES, len(informed))

    def test_an_isolated_zone_keeps_sending_to_other_zones(self) -> None:
        # A network partition separates a zone from all others, and each side considers the other
        # silent. Afterwards one side has to send first, or they stay separated for good.
        isolated = self.ring_of(self.members[0], has_statuses=False)
        tried = {address for beat in range(100) for address in isolated.peers(beat, ())}
        self.assertEqual({m.inner for m in self.members[1:]}, tried)

    def test_a_member_that_is_not_a_head_sends_to_no_other_zone(self) -> None:
        gateway = builders.a_member("gw", zone=self.members[0].zone)
        self.assertEqual([], self.ring_of(gateway).peers(0, ()))
