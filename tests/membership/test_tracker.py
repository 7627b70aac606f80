"""Silent members are distinguished from those that have provably ended."""

import msgspec
from testtools import TestCase

from lentilrill.ids import Revision, ZoneId
from lentilrill.membership import (
    Liveness,
    Member,
    MembershipTracker,
    Role,
    ZoneRecord,
    ZoneStatus,
    rendezvous,
)
from lentilrill.membership._tracker import MAX_ENDED_MEMBERS
from tests import builders

SUSPECT_AFTER_S = 2.0
ZONE_SILENT_AFTER_S = 5.0
HERE, THERE = ZoneId("z1"), ZoneId("z2")


class TrackerCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.zones: dict[ZoneId, tuple[ZoneRecord, Revision]] = {}
        self.me = builders.a_member("gw-me")
        self.register(HERE, self.me)
        self.tracker = MembershipTracker(
            self.me, lambda: self.zones, SUSPECT_AFTER_S, ZONE_SILENT_AFTER_S, lambda: self.now
        )

    def register(self, zone: ZoneId, *members: Member) -> None:
        revision = self.zones[zone][1] + 1 if zone in self.zones else 1
        self.zones[zone] = (ZoneRecord(zone, members), Revision(revision))

    def heartbeat(self, member: Member) -> bool:
        return self.tracker.record_heartbeat(member, Revision(1), True)

    def alive(self, zone: ZoneId | None = None) -> tuple[Member, ...]:
        self.tracker.refresh()
        return self.tracker.alive(Role.GATEWAY, zone)


class TrackerTest(TrackerCase):
    def test_a_silent_member_is_suspect_and_never_gone(self) -> None:
        # A gateway is paused for minutes between its check and its send. It must get no new work.
        # If it counted as gone, a host could be released before the gateway resumes and sends.
        peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, peer)
        self.heartbeat(peer)
        self.assertEqual((self.me, peer), self.alive(HERE))
        self.now += 3600
        self.assertEqual((self.me,), self.alive(HERE))
        self.assertIs(Liveness.SUSPECT, self.tracker.liveness(peer))

    def test_gone_after_its_leave(self) -> None:
        peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, peer)
        self.heartbeat(peer)
        self.tracker.record_leave(peer)
        self.assertIs(Liveness.GONE, self.tracker.liveness(peer))
        self.assertEqual((self.me,), self.alive(HERE))

    def test_a_delayed_heartbeat_does_not_revive_a_member_that_left(self) -> None:
        # A gateway's Leave is received before a heartbeat that it sent earlier. If the heartbeat
        # counted, work sent to the ended process would fail until it is suspect.
        peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, peer)
        self.tracker.record_leave(peer)
        self.assertFalse(self.heartbeat(peer))
        self.assertIs(Liveness.GONE, self.tracker.liveness(peer))

    def test_gone_by_a_newer_incarnation(self) -> None:
        # An entry host is replaced by one with the same process name. A delayed heartbeat of the
        # old incarnation must not be attributed to the new one.
        old, new = builders.a_member("gw-peer"), builders.a_member("gw-peer")
        self.register(HERE, self.me, old)
        self.heartbeat(new)
        self.assertFalse(self.heartbeat(old))
        self.assertIs(Liveness.GONE, self.tracker.liveness(old))
        self.assertIs(Liveness.ALIVE, self.tracker.liveness(new))

    def test_gone_when_removed_from_the_record(self) -> None:
        peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, peer)
        self.heartbeat(peer)
        self.alive()
        self.register(HERE, self.me)
        self.assertIs(Liveness.GONE, self.tracker.liveness(peer))

    def test_an_unregistered_gateway_gets_no_work(self) -> None:
        # A new gateway sends heartbeats before it is in the zone's record. If it got work, it
        # could send to a host whose withdrawal does not require its acknowledgement.
        new_gateway = builders.a_member("gw-new")
        self.heartbeat(new_gateway)
        self.assertEqual((self.me,), self.alive(HERE))
        self.register(HERE, self.me, new_gateway)
        self.assertEqual((self.me, new_gateway), self.alive(HERE))

    def test_another_zone_is_alive_by_its_controllers_status(self) -> None:
        # A network partition separates two zones. After a few seconds without a status of the
        # other zone no job may be spilled to it, but its members are only suspect, not gone.
        one = builders.a_member("gw-a", zone=THERE)
        two = builders.a_member("gw-b", zone=THERE)
        self.register(THERE, one, two)
        self.assertEqual((), self.alive(THERE))
        status = ZoneStatus(THERE, self.now, frozenset({two.process}), Revision(1))
        self.tracker.record_zone_statuses([status])
        self.assertEqual((one,), self.alive(THERE))
        self.assertEqual((one, self.me), self.alive())
        self.now += ZONE_SILENT_AFTER_S + 1
        self.assertEqual((), self.alive(THERE))
        self.assertIs(Liveness.SUSPECT, self.tracker.liveness(one))

    def test_an_older_status_of_a_zone_is_dropped(self) -> None:
        one = builders.a_member("gw-a", zone=THERE)
        self.register(THERE, one)
        self.tracker.record_zone_statuses([ZoneStatus(THERE, self.now, frozenset(), Revision(1))])
        stale = ZoneStatus(THERE, self.now - 1, frozenset({one.process}), Revision(1))
        self.tracker.record_zone_statuses([stale])
        self.assertEqual((one,), self.alive(THERE))

    def test_the_number_of_ended_members_is_limited(self) -> None:
        # Entry hosts are replaced under new names for months. Without a limit on the ended ones,
        # the process would eventually run out of memory.
        for n in range(MAX_ENDED_MEMBERS + 100):
            self.register(HERE, self.me, builders.a_member(f"gw-{n}"))
            self.tracker.refresh()
        self.register(HERE, self.me)
        self.tracker.refresh()
        self.tracker.forget(0.0)
        kept = self.tracker._registered_by_process
        self.assertEqual(MAX_ENDED_MEMBERS + 1, len(kept))

    def test_listeners_are_called_only_after_changes(self) -> None:
        calls: list[int] = []
        self.tracker.subscribe(lambda: calls.append(1))
        peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, peer)
        self.heartbeat(peer)
        self.tracker.refresh()
        self.assertEqual([1], calls)

    def test_my_own_former_incarnation_is_gone(self) -> None:
        former = msgspec.structs.replace(self.me, incarnation=self.me.incarnation - 1)
        self.assertIs(Liveness.GONE, self.tracker.liveness(former))


class RendezvousTest(TestCase):
    def test_only_keys_of_an_ended_member_move(self) -> None:
        members = [builders.a_member(f"gw-{n}") for n in range(5)]
        keys = [f"pool-{n}" for n in range(200)]
        before = {key: rendezvous(key, members) for key in keys}
        after = {key: rendezvous(key, members[:-1]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual({key for key in keys if before[key] == members[-1]}, moved)

    def test_no_members_give_none(self) -> None:
        self.assertIsNone(rendezvous("pool", []))


class HeadsTest(TrackerCase):
    """A member relies on its zone's heads for members whose heartbeats it does not receive."""

    def setUp(self) -> None:
        super().setUp()
        self.controllers = [builders.a_member(f"ct-{n}", role=Role.CONTROLLER) for n in range(4)]
        self.peer = builders.a_member("gw-peer")
        self.register(HERE, self.me, self.peer, *self.controllers)

    def heads(self) -> tuple[Member, ...]:
        self.tracker.refresh()
        return self.tracker.heads()

    def report(self, *suspects: Member) -> ZoneStatus:
        processes = frozenset(member.process for member in suspects)
        return ZoneStatus(HERE, self.now, processes, Revision(1))

    def test_a_head_that_does_not_answer_is_replaced(self) -> None:
        first, second = self.heads()
        self.tracker.record_probe(first)
        self.heartbeat(second)
        self.now += SUSPECT_AFTER_S + 0.1
        self.heartbeat(second)
        self.assertEqual(second, self.heads()[0])
        self.assertNotIn(first, self.heads())

    def test_a_silent_head_is_restored_by_another_heads_report(self) -> None:
        first, second = self.heads()
        self.tracker.record_probe(first)
        self.now += SUSPECT_AFTER_S + 0.1
        self.tracker.record_head_report(second.process, self.report())
        self.assertEqual((first, second), self.heads())

    def test_a_peer_is_alive_only_by_a_recent_report_of_a_head(self) -> None:
        # Gateways receive heartbeats only from the heads. When a gateway fails, the heads' next
        # report lists it as suspect; when the heads fall silent, an old report must expire.
        head = self.heads()[0]
        self.tracker.record_head_report(head.process, self.report())
        self.assertEqual((self.me, self.peer), self.alive(HERE))
        self.tracker.record_head_report(head.process, self.report(self.peer))
        self.assertEqual((self.me,), self.alive(HERE))
        self.assertIs(Liveness.SUSPECT, self.tracker.liveness(self.peer))
        self.tracker.record_head_report(head.process, self.report())
        self.now += SUSPECT_AFTER_S + 0.1
        self.assertEqual((self.me,), self.alive(HERE))

    def test_one_heads_report_is_enough(self) -> None:
        one, two = self.heads()
        self.tracker.record_head_report(one.process, self.report(self.peer))
        self.tracker.record_head_report(two.process, self.report())
        self.assertEqual((self.me, self.peer), self.alive(HERE))
