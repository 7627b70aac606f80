"""Keys in the store that must end with the lease of their process."""

import msgspec
from returns.result import Result
from testtools import TestCase

from lentilrill.faults import Fault
from lentilrill.ids import Incarnation, LeaseId, ProcessId, Revision, ZoneId
from lentilrill.ownership import MemberRecord, OwnerRecord, Ownership, Shard
from lentilrill.ownership._claim_times import ENDED_OWNER_DELAY_S
from lentilrill.ownership._registration import Registration
from lentilrill.store import Put
from tests.execution.fakes import eventually
from tests.fakes import CallWrapper, FakeKeyValue
from tests.ownership.fakes import RecordingListener

NOTICES = Shard("notices")
BALLOTS = Shard("ballots")
ME = OwnerRecord(ProcessId("h1"), Incarnation(5), "10.0.0.1:1")
OTHER = OwnerRecord(ProcessId("h9"), Incarnation(1), "10.0.0.9:1")
SOON_S = 1.0
"""Longer than a host staggers its claims, shorter than it waits for an owner that has ended."""


class _LateKeyValue(FakeKeyValue):
    """Store whose answer to the next renewal takes so long that other things happen before."""

    def __init__(self) -> None:
        super().__init__()
        self.before_answer = lambda: None

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        answer = super().keep_alive(lease)
        happen, self.before_answer = self.before_answer, lambda: None
        happen()
        return answer


class KeysCase(TestCase):
    """A process whose renewals and rounds of claims take place when the test says so."""

    def setUp(self) -> None:
        super().setUp()
        self.kv = _LateKeyValue()
        self.now = 100.0
        self.shards = {NOTICES, BALLOTS}
        self.listener = RecordingListener()
        self.ownership = Ownership(
            self.kv,
            ME.process,
            ME.incarnation,
            ZoneId("holyoke"),
            ME.inner,
            lambda: self.shards,
            self.listener,
            clock=lambda: self.now,
        )
        self.registration = self.ownership._registration
        self.registration.register()
        self.read_all()

    def read_all(self) -> None:
        """Have the process read all records, as after a watch that has broken."""
        read = self.kv.read("m/").unwrap()
        self.ownership._follower.read_revision = read.revision
        self.ownership.on_replaced(read.items)

    def end_lease(self) -> None:
        """End the lease in the store, as when the host was suspended, and have renewals notice."""
        lease = self.registration.lease
        assert lease is not None
        self.kv.revoke(lease)
        self.ownership._renew_lease()

    def claim_round(self) -> None:
        for shard in sorted(self.shards):
            self.ownership._claim_if_due(shard)

    def claim_after(self, seconds: float) -> None:
        """Notice which shards have no owner, and claim them some time later."""
        self.claim_round()
        self.now += seconds
        self.claim_round()

    def owner_keys(self) -> dict[Shard, LeaseId | None]:
        """Return the leases of the keys that name the owners of shards."""
        return {
            Shard(key.removeprefix("m/o/")): item.lease
            for key, item in self.kv.items_by_key.items()
            if key.startswith("m/o/")
        }

    def an_owner_without_lease(self, shard: Shard, owner: OwnerRecord = OTHER) -> Revision:
        """Store an owner's key as hosts of an earlier version did after their lease had ended."""
        return self.kv.put(f"m/o/{shard}", msgspec.json.encode(owner))

    def a_member(self, owner: OwnerRecord, lease: LeaseId | None, **changes: object) -> None:
        """Store the member record of an owner's process."""
        record = MemberRecord(
            owner.process, owner.incarnation, ZoneId("holyoke"), owner.inner, lease or LeaseId(0)
        )
        record = msgspec.structs.replace(record, **changes)
        put = Put(f"m/n/{owner.process}", msgspec.json.encode(record), lease)
        self.kv.commit((), (put,)).unwrap()


class LateClaimsTest(KeysCase):
    def answer_late(self, happen: CallWrapper) -> None:
        self.kv.commits.append(happen)

    def test_claims_after_the_lease_has_ended_write_no_key(self) -> None:
        """Guards against owner keys without a lease, which a suspended host wrote on waking."""

        def suspend(call):  # type: ignore[no-untyped-def]
            answer = call()
            self.end_lease()
            return answer

        self.answer_late(suspend)
        self.claim_after(SOON_S)
        self.assertEqual({}, self.owner_keys())
        self.assertEqual({}, self.listener.tokens_by_shard)

    def test_a_lease_that_ends_between_the_check_and_the_write(self) -> None:
        """Guards against owner keys without a lease if a host is suspended as it sends a claim."""

        def suspend(call):  # type: ignore[no-untyped-def]
            self.end_lease()
            return call()

        self.shards = {NOTICES}
        self.answer_late(suspend)
        self.claim_round()
        self.assertEqual({}, self.owner_keys())

    def test_a_claim_whose_key_ended_before_its_answer_is_made_again(self) -> None:
        """Guards against a shard that looks owned by this host for good, though its key is gone."""

        def suspend(call):  # type: ignore[no-untyped-def]
            answer = call()
            self.end_lease()
            self.registration.register()
            self.read_all()
            return answer

        self.shards = {NOTICES}
        self.answer_late(suspend)
        self.claim_round()
        self.assertEqual({}, self.listener.tokens_by_shard)
        self.claim_after(SOON_S)
        self.assertEqual({NOTICES: self.registration.lease}, self.owner_keys())
        self.assertEqual({NOTICES}, set(self.listener.tokens_by_shard))

    def test_a_key_of_an_ended_lease_is_not_adopted(self) -> None:
        """Guards against acting on a claim without an answer whose key is about to be removed."""
        former = self.kv.lease(1.0).unwrap()
        put = Put(f"m/o/{NOTICES}", msgspec.json.encode(ME), former)
        self.kv.commit((), (put,)).unwrap()
        self.read_all()
        self.claim_round()
        self.assertNotIn(NOTICES, self.listener.tokens_by_shard)


class RemainingKeysTest(KeysCase):
    def setUp(self) -> None:
        super().setUp()
        self.shards = {NOTICES}

    def assert_claimed(self) -> None:
        """Check that the shard is claimed, but not as early as one whose key is gone."""
        self.read_all()
        self.claim_after(SOON_S)
        self.assertEqual({NOTICES: None}, self.owner_keys())
        self.now += ENDED_OWNER_DELAY_S
        self.claim_round()
        self.assertEqual({NOTICES: self.registration.lease}, self.owner_keys())
        self.assertEqual({NOTICES}, set(self.listener.tokens_by_shard))

    def test_the_key_of_an_owner_that_is_no_member(self) -> None:
        """Guards against a pool without an owner for good, once its key's owner has ended."""
        self.an_owner_without_lease(NOTICES)
        self.assert_claimed()

    def test_the_key_of_an_owner_that_has_started_again(self) -> None:
        """Guards against a pool that no host claims, since its key names a former process."""
        self.an_owner_without_lease(NOTICES)
        self.a_member(OTHER, self.kv.lease(1.0).unwrap(), incarnation=Incarnation(2))
        self.assert_claimed()

    def test_the_key_of_a_former_process_of_this_host(self) -> None:
        """Guards against a host that takes the key of its former process for another host's."""
        former = msgspec.structs.replace(ME, incarnation=Incarnation(1))
        self.an_owner_without_lease(NOTICES, former)
        self.assert_claimed()

    def test_the_key_of_an_owner_whose_member_record_has_no_lease(self) -> None:
        """Guards against a member that never leaves, as its record outlived its lease as well."""
        self.an_owner_without_lease(NOTICES)
        self.a_member(OTHER, None)
        self.assert_claimed()
        self.assertEqual([], self.ownership.peers)

    def test_an_owner_that_is_a_member_keeps_its_key(self) -> None:
        """Guards against taking a pool from a host of an earlier version that still acts on it."""
        self.an_owner_without_lease(NOTICES)
        self.a_member(OTHER, self.kv.lease(1.0).unwrap())
        self.read_all()
        self.claim_after(10 * ENDED_OWNER_DELAY_S)
        self.assertEqual({NOTICES: None}, self.owner_keys())

    def test_an_owner_that_registers_again_keeps_its_key(self) -> None:
        """Guards against taking a pool from a host whose lease has just been replaced."""
        self.an_owner_without_lease(NOTICES)
        self.read_all()
        self.claim_after(SOON_S)
        self.a_member(OTHER, self.kv.lease(1.0).unwrap())
        self.read_all()
        self.claim_after(10 * ENDED_OWNER_DELAY_S)
        self.assertEqual({NOTICES: None}, self.owner_keys())

    def test_a_key_that_changed_meanwhile_stays(self) -> None:
        """Guards against two owners: the claim holds only for the key that was seen."""
        self.an_owner_without_lease(NOTICES)
        self.read_all()
        self.claim_round()
        self.now += 2 * ENDED_OWNER_DELAY_S
        renewed = self.an_owner_without_lease(NOTICES)
        self.claim_round()
        self.assertEqual(renewed, self.kv.items_by_key["m/o/notices"].revision)
        self.assertEqual({}, self.listener.tokens_by_shard)

    def test_an_owner_that_registers_again_as_the_claim_is_sent(self) -> None:
        """Guards against taking a pool from a host by records that a pause has made old."""
        key = self.an_owner_without_lease(NOTICES)
        self.read_all()
        self.claim_round()
        self.now += 2 * ENDED_OWNER_DELAY_S
        self.a_member(OTHER, self.kv.lease(1.0).unwrap())
        self.claim_round()
        self.assertEqual(key, self.kv.items_by_key["m/o/notices"].revision)
        self.assertEqual({}, self.listener.tokens_by_shard)

    def test_a_running_host_claims_without_another_change(self) -> None:
        """Guards against an idle host that starts no round of claims for such a key."""
        self.an_owner_without_lease(NOTICES)
        self.ownership.start()
        self.addCleanup(self.ownership.close)
        self.assertTrue(eventually(lambda: self.ownership.owner_of(NOTICES) is not None))
        self.assertTrue(eventually(self.is_claimed_later))

    def is_claimed_later(self) -> bool:
        self.now += 0.2
        return NOTICES in self.listener.tokens_by_shard


class LateRenewalsTest(KeysCase):
    def test_a_late_answer_about_an_ended_lease_leaves_the_next_one(self) -> None:
        """Guards against losing all shards: one thread wiped the lease that another had got."""
        self.claim_after(SOON_S)
        self.kv.revoke(self.registration.lease)
        self.kv.before_answer = self.replace_lease
        self.assertTrue(self.registration.renew())
        self.assertIsNotNone(self.registration.lease)
        self.assertGreater(self.registration.valid_until, self.now)

    def replace_lease(self) -> None:
        self.ownership._renew_lease()
        self.registration.register()

    def test_a_late_renewal_does_not_extend_a_lease_that_has_ended(self) -> None:
        """Guards against orders without a lease after the answers to two renewals were swapped."""
        self.kv.before_answer = self.end_lease
        self.registration.renew()
        self.assertIsNone(self.registration.lease)
        self.assertEqual(0.0, self.registration.valid_until)

    def test_a_member_record_is_bound_to_the_lease_that_was_renewed(self) -> None:
        """Guards against a host that stays a member after its end, as its record has no lease."""
        pace = iter((1.0,))
        registration = Registration(
            self.kv, ME, ZoneId("holyoke"), 1.0, lambda: next(pace, 0.2), lambda: self.now
        )
        registration.register()
        lease = registration.lease
        assert lease is not None
        self.kv.before_answer = lambda: self.assertFalse(self.drop(registration, lease))
        registration.renew()
        self.assertNotIn(None, [item.lease for item in self.kv.items_by_key.values()])

    def drop(self, registration: Registration, lease: LeaseId) -> bool:
        self.kv.revoke(lease)
        return registration.renew()
