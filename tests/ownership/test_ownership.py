"""Claiming shards under leases."""

import msgspec
from testtools import TestCase

from lentilrill.ids import Incarnation, LeaseId, ProcessId, Revision, ZoneId
from lentilrill.ownership import MemberRecord, OwnerRecord, Ownership, Shard
from lentilrill.ownership._members import claim_rank
from lentilrill.store import Put
from tests.execution.fakes import eventually
from tests.fakes import FakeKeyValue, lose_answer
from tests.ownership.fakes import RecordingListener

NOTICES = Shard("notices")


def a_record(name: str, zone: str = "holyoke", strength: float = 1.0) -> MemberRecord:
    return MemberRecord(
        ProcessId(name), Incarnation(1), ZoneId(zone), "10.0.0.1:1", LeaseId(1), strength
    )


class OwnershipTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.now = 100.0
        self.outage = False

        self.shards = {NOTICES}

    def member(self, name: str = "h1", incarnation: int = 1) -> tuple[Ownership, RecordingListener]:
        listener = RecordingListener()
        ownership = Ownership(
            self.kv,
            ProcessId(name),
            Incarnation(incarnation),
            ZoneId("holyoke"),
            f"10.0.0.1:{name[-1]}",
            lambda: self.shards,
            listener,
            lambda: self.outage,
            clock=lambda: self.now,
        )
        ownership.start()
        self.addCleanup(ownership.close)
        return ownership, listener

    def owning(self) -> tuple[Ownership, RecordingListener]:
        ownership, listener = self.member()
        self.assertTrue(eventually(lambda: ownership.registered))
        self.now += 1.0
        self.assertTrue(eventually(lambda: NOTICES in listener.tokens_by_shard))
        return ownership, listener

    def test_one_owner_at_a_time(self) -> None:
        first, listener = self.owning()
        other, other_listener = self.member("h2")
        self.assertTrue(eventually(lambda: other.registered))
        self.now += 1.0
        self.assertTrue(eventually(lambda: other.owner_of(NOTICES) is not None))
        self.assertEqual({}, other_listener.tokens_by_shard)
        first.leave()
        self.assertEqual([NOTICES], listener.losses)
        self.assertTrue(eventually(lambda: NOTICES in other_listener.tokens_by_shard))

    def test_the_first_host_back_does_not_take_everything(self) -> None:
        """After an outage one host owned all five pools and the fleet, and fell behind.

        All leases had expired. The first host to return saw no other member and claimed each shard
        within a few milliseconds, before the others had registered.
        """
        self.shards = {Shard(name) for name in ("a", "b", "c")}
        ownership, listener = self.member()
        self.now += 1.0
        self.assertTrue(eventually(lambda: bool(listener.tokens_by_shard)))
        for shard in self.shards:
            ownership._claim_if_due(shard)
        self.assertEqual(1, len(listener.tokens_by_shard))
        for owned in (2, 3):
            self.now += owned * 0.15
            self.assertTrue(eventually(lambda owned=owned: len(listener.tokens_by_shard) == owned))

    def test_an_owner_may_not_order_after_its_lease(self) -> None:
        """A suspended owner went on giving orders after another host had taken over.

        The clock for the lease must count the time spent suspended.
        """
        ownership, _ = self.owning()
        self.kv.down = True
        self.assertTrue(eventually(lambda: self.kv.calls["keep_alive"] > 0))
        self.now += 5.0
        self.assertFalse(ownership.may_order(NOTICES))

    def test_an_owner_keeps_acting_in_a_store_outage(self) -> None:
        """In a store outage every task of every pool was killed.

        Owners could not renew their own leases and stopped renewing the run leases of their tasks.
        While most hosts report that the store does not answer, no host can claim, so owners may
        go on.
        """
        ownership, _ = self.owning()
        self.kv.down = self.outage = True
        self.now += 5.0
        self.assertTrue(ownership.may_order(NOTICES))

    def test_a_key_that_was_taken_away_ends_ownership(self) -> None:
        ownership, listener = self.owning()
        token = listener.tokens_by_shard[NOTICES]
        self.kv.put("m/o/notices", b'{"process":"h9","incarnation":1,"inner":"10.0.0.9:1"}')
        self.assertTrue(eventually(lambda: listener.losses == [NOTICES]))
        self.assertNotEqual(token, listener.tokens_by_shard.get(NOTICES))
        self.assertFalse(ownership.may_order(NOTICES))

    def test_what_began_under_an_earlier_token_does_not_touch_the_present_one(self) -> None:
        """Guards against a pool that loses its owner once more, and against orders to hosts with a
        lower token after a higher one: a host lost a shard and owned it again while a call of its
        earlier ownership was under way."""
        ownership, listener = self.owning()
        earlier = listener.tokens_by_shard[NOTICES]
        ownership.give_up(NOTICES, earlier, "refused")
        self.assertTrue(eventually(lambda: self.owns_again(listener, earlier)))
        present = listener.tokens_by_shard[NOTICES]
        ownership.give_up(NOTICES, earlier, "refused late")
        self.assertEqual([NOTICES], listener.losses)
        self.assertTrue(ownership.may_order_as(NOTICES, present))
        self.assertFalse(ownership.may_order_as(NOTICES, earlier))

    def owns_again(self, listener: RecordingListener, earlier: Revision) -> bool:
        self.now += 0.05
        return listener.tokens_by_shard.get(NOTICES, earlier) > earlier

    def test_a_claim_whose_answer_was_lost_is_acted_on(self) -> None:
        """A claim took effect but its answer was lost, so the owner did not act and jobs stalled.

        The watch shows the owner its own key.
        """
        ownership, listener = self.member()
        self.assertTrue(eventually(lambda: ownership.registered))
        self.kv.commits.append(lose_answer)
        self.now += 1.0
        self.assertTrue(eventually(lambda: NOTICES in listener.tokens_by_shard))
        item = self.kv.items_by_key["m/o/notices"]
        self.assertEqual(item.revision, listener.tokens_by_shard[NOTICES])

    def test_a_restarted_host_ends_its_previous_lease(self) -> None:
        """After a crash a pool waited for its owner's lease to expire, although the host was back.

        The new process listens on the address of the old one, which proves that the old one ended.
        """
        lease = self.kv.lease(9.0).unwrap()
        previous = MemberRecord(
            ProcessId("h1"), Incarnation(1), ZoneId("holyoke"), "10.0.0.1:1", lease
        )
        owner = OwnerRecord(ProcessId("h1"), Incarnation(1), "10.0.0.1:1")
        self.kv.commit(
            (),
            (
                Put("m/n/h1", msgspec.json.encode(previous), lease),
                Put("m/o/notices", msgspec.json.encode(owner), lease),
            ),
        )
        ownership, listener = self.member("h1", incarnation=2)
        self.assertTrue(eventually(lambda: ownership.registered))
        self.now += 1.0
        self.assertTrue(eventually(lambda: NOTICES in listener.tokens_by_shard))


class RankTest(TestCase):
    def test_the_host_with_the_fewest_shards_claims_first(self) -> None:
        members = [a_record("h1"), a_record("h2")]
        owners = {Shard("ballots"): ProcessId("h1")}
        self.assertEqual(0, claim_rank(NOTICES, ProcessId("h2"), members, owners))
        self.assertEqual(1, claim_rank(NOTICES, ProcessId("h1"), members, owners))

    def test_strong_hosts_own_shards_before_weak_ones(self) -> None:
        """Half of a pool's jobs were answered after half a minute, others never.

        The owner had a quarter of the other hosts' processor time, and a link on which reading the
        stored jobs took longer than the timeout of a read, so it never loaded all of them.
        """
        members = [a_record("weak", strength=0.25), a_record("strong", strength=2.0)]
        owners: dict[Shard, ProcessId] = {}
        for owned in range(4):
            self.assertEqual(0, claim_rank(NOTICES, ProcessId("strong"), members, owners), owned)
            owners[Shard(f"pool-{owned}")] = ProcessId("strong")

    def test_owners_spread_over_zones(self) -> None:
        """A network partition of one zone took away the owners of three of four pools at once."""
        members = [
            a_record(name, zone=zone) for name, zone in (("a1", "a"), ("a2", "a"), ("b1", "b"))
        ]
        owners = {Shard("ballots"): ProcessId("a1")}
        self.assertEqual(0, claim_rank(NOTICES, ProcessId("b1"), members, owners))
        self.assertEqual(1, claim_rank(NOTICES, ProcessId("a2"), members, owners))
