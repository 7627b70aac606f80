"""State and liveness are replicated between real nodes without the platform."""

import threading
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilrill.fleet import DOCUMENT_KEY, FleetView
from lentilrill.gossip import Heartbeats
from lentilrill.ids import EntryHostId, Incarnation, ProcessId, Revision, ZoneId
from lentilrill.inner import Node, StateItems
from lentilrill.membership import Liveness, Member, MembershipTracker, Role, ZoneRecord, zone_key
from lentilrill.settings import InnerKeys, ProcessSettings
from lentilrill.store import Item, Mirror
from lentilrill.telemetry import NoMetrics
from tests import builders

WAIT_S = 20.0


class Peer:
    """The heartbeats of one process over a real node."""

    def __init__(
        self,
        name: str,
        keys: InnerKeys,
        seeds: tuple[str, ...] = (),
        zone: str = "z1",
        role: Role = Role.CONTROLLER,
    ) -> None:
        self.address = builders.an_address()
        incarnation = Incarnation(1)
        self.settings = ProcessSettings(
            process=ProcessId(name),
            entry_host=EntryHostId(name),
            zone=ZoneId(zone),
            inner=self.address,
            keys=keys,
            seeds=seeds,
            heartbeat_s=0.05,
            suspect_after_s=1.0,
        )
        self.member = Member(
            ProcessId(name),
            incarnation,
            role,
            ZoneId(zone),
            EntryHostId(name),
            self.address,
            "",
        )
        self.node = Node(ProcessId(name), incarnation, self.address, keys)
        self.mirror = Mirror()
        self.view = FleetView(self.mirror)
        self.membership = MembershipTracker(self.member, lambda: self.view.zones_by_id, 1.0, 2.0)
        self.heartbeats = Heartbeats(
            self.settings, self.node, self.mirror, self.membership, NoMetrics()
        )
        self.changed = threading.Event()
        self.mirror.subscribe(lambda items: self.changed.set())
        self.membership.subscribe(self.changed.set)
        self.node.start()
        self.heartbeats.start()

    def until(self, condition) -> bool:
        for _ in range(int(WAIT_S / 0.05)):
            if condition():
                return True
            self.changed.wait(0.05)
            self.changed.clear()
        return False

    def other(self, members: list[Member]) -> Member:
        return next(member for member in members if member != self.member)

    def close(self) -> None:
        self.heartbeats.close()
        self.node.close(0.1)


class HeartbeatsTest(TestCase):
    def a_peer(self, *args, **kwargs) -> Peer:
        peer = Peer(*args, **kwargs)
        self.addCleanup(peer.close)
        return peer

    def test_a_restarted_process_gets_state_from_its_peers_in_an_outage(self) -> None:
        # The platform is down and an entry host is replaced. Its new process has no state and
        # can't read the platform. Without its peers it could serve nothing, or only by an
        # old document.
        keys = builders.inner_keys()
        old = self.a_peer("ct-1", keys)
        old.mirror.replace((Item(DOCUMENT_KEY, b"{}", Revision(5)),), Revision(7))
        new = self.a_peer("ct-2", keys, seeds=(old.address,))
        self.assertTrue(new.until(lambda: new.view.document_revision == 5))
        self.assertTrue(new.until(lambda: new.mirror.complete_to == 7))

    def test_heartbeats_outlive_an_unexpected_error(self) -> None:
        """Guards against a process that its peers take for lost, since one round of heartbeats
        raised an error that nobody expected."""
        keys = builders.inner_keys()
        one = self.a_peer("one", keys)
        with patch.object(one.membership, "refresh", side_effect=RuntimeError) as refresh:
            self.assertTrue(one.until(lambda: refresh.call_count > 1))
        two = self.a_peer("two", keys, seeds=(one.address,))
        self.assertTrue(two.until(lambda: len(two.membership.last_heartbeats()) > 0))

    def test_a_change_crosses_zones_without_the_platform(self) -> None:
        keys = builders.inner_keys()
        here = self.a_peer("ct-1", keys, zone="z1")
        there = self.a_peer("ct-2", keys, seeds=(here.address,), zone="z2")
        here.mirror.replace((Item(DOCUMENT_KEY, b"{}", Revision(5)),), Revision(7))
        self.assertTrue(there.until(lambda: there.view.document_revision == 5))

    def test_state_after_a_gap_does_not_advance_complete_to(self) -> None:
        # A peer sends two changes and the first message is lost. If the second message advanced
        # complete_to, this process would never request the first change.
        keys = builders.inner_keys()
        peer = self.a_peer("ct-1", keys)
        sender = self.a_peer("ct-2", keys)
        item = Item("state/pools/b", b"{}", Revision(9))
        sender.node.send(peer.address, StateItems((item,), Revision(8), Revision(9)))
        self.assertTrue(peer.until(lambda: peer.mirror.get("state/pools/b") is not None))
        self.assertEqual(0, peer.mirror.complete_to)

    def test_a_clean_leave_is_recorded_at_once(self) -> None:
        keys = builders.inner_keys()
        stays = self.a_peer("ct-1", keys)
        leaves = Peer("ct-2", keys, seeds=(stays.address,))
        self.assertTrue(
            stays.until(lambda: stays.membership.liveness(leaves.member) is Liveness.ALIVE)
        )
        leaves.close()
        self.assertTrue(
            stays.until(lambda: stays.membership.liveness(leaves.member) is Liveness.GONE)
        )

    def test_a_process_that_abandons_jobs_does_not_send_leave(self) -> None:
        # A gateway is stopped, and a long job still runs when its drain time ends. If it sent
        # Leave, a planned stop of the job's host would be granted at once and abort the job.
        keys = builders.inner_keys()
        stays = self.a_peer("ct-1", keys)
        ends = Peer("ct-2", keys, seeds=(stays.address,))
        self.assertTrue(
            stays.until(lambda: stays.membership.liveness(ends.member) is Liveness.ALIVE)
        )
        ends.heartbeats.close(is_clean=False)
        ends.node.close(0.1)
        self.assertTrue(
            stays.until(lambda: stays.membership.liveness(ends.member) is Liveness.SUSPECT)
        )

    def test_gateways_detect_each_other_through_heads(self) -> None:
        keys = builders.inner_keys()
        heads = [self.a_peer("ct-1", keys)]
        heads.append(self.a_peer("ct-2", keys, seeds=(heads[0].address,)))
        seeds = tuple(head.address for head in heads)
        gateways = [self.a_peer(f"gw-{n}", keys, seeds, role=Role.GATEWAY) for n in (1, 2)]
        self.register(heads + gateways)
        one, two = gateways
        self.assertTrue(one.until(lambda: two.member in one.membership.alive(Role.GATEWAY)))
        self.assertTrue(one.until(lambda: one.membership.latest_head_report() is not None))

    def test_gateways_detect_each_other_without_any_head(self) -> None:
        # A faulty release crashes every controller of a zone. The gateways must still detect each
        # other; otherwise each would schedule every pool and all slots would be granted several
        # times.
        keys = builders.inner_keys()
        head = Peer("ct-1", keys)
        gateways = [
            self.a_peer(f"gw-{n}", keys, (head.address,), role=Role.GATEWAY) for n in (1, 2)
        ]
        self.register([head, *gateways])
        one, two = gateways
        self.assertTrue(one.until(lambda: one.membership.latest_head_report() is not None))
        head.node.close(0.0)
        self.addCleanup(head.heartbeats.close)
        self.assertTrue(one.until(lambda: one.membership.latest_head_report() is None))
        alive = [two.member, one.member]
        for peer in gateways:
            self.assertTrue(
                peer.until(lambda p=peer: p.membership.last_heartbeat(p.other(alive)) is not None)
            )
        self.assertTrue(one.until(lambda: two.member in one.membership.alive(Role.GATEWAY)))

    def register(self, peers: list[Peer]) -> None:
        record = ZoneRecord(ZoneId("z1"), tuple(peer.member for peer in peers))
        item = Item(zone_key(ZoneId("z1")), msgspec.json.encode(record), Revision(3))
        for peer in peers:
            peer.mirror.replace((item,), Revision(3))
