"""Member records whose writes are carried out late."""

import msgspec
from testtools import TestCase

from lentilrill.ids import Incarnation, LeaseId, ZoneId
from lentilrill.ownership import MemberRecord
from lentilrill.ownership._registration import Registration
from tests.builders import an_owner_record
from tests.fakes import FakeKeyValue, LateWrites, lose_request

KEY = "m/n/h1"


class LateRecordsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.late_writes = LateWrites()
        self.registration = self.new_process(1)

    def new_process(self, incarnation: int) -> Registration:
        """Return the registration of a process of the one host."""
        me = an_owner_record(incarnation=Incarnation(incarnation))
        return Registration(self.kv, me, ZoneId("holyoke"), 1.0, lambda: 1.0, lambda: 100.0)

    def carry_out_late_write(self) -> None:
        self.assertEqual(1, len(self.late_writes.held))
        self.late_writes.carry_out()

    def member(self) -> tuple[Incarnation, LeaseId]:
        value = self.kv.items_by_key[KEY].value
        assert value is not None
        record = msgspec.json.decode(value, type=MemberRecord)
        return record.incarnation, record.lease

    def test_a_record_of_an_earlier_lease(self) -> None:
        """Guards against a host that is hidden once an older record in place of its own ends."""
        self.kv.commits.append(self.late_writes.hold)
        self.registration.register()
        self.assertIsNone(self.registration.lease)
        self.registration.register()
        self.carry_out_late_write()
        self.assertEqual((1, self.registration.lease), self.member())

    def test_a_record_of_the_previous_process(self) -> None:
        """Guards against a host that is shown as its former process, and then not at all."""
        self.kv.commits.append(self.late_writes.hold)
        self.registration.register()
        self.registration = self.new_process(2)
        self.registration.register()
        self.carry_out_late_write()
        self.assertEqual((2, self.registration.lease), self.member())

    def test_a_record_that_is_carried_out_before_the_next_one(self) -> None:
        """Guards against a host that never registers, as its own earlier record is in the way."""
        self.kv.commits.append(self.late_writes.hold)
        self.registration.register()
        self.kv.before_commit = self.carry_out_late_write
        for _ in range(2):
            self.registration.register()
        self.assertEqual((1, self.registration.lease), self.member())

    def test_the_record_of_a_previous_process_whose_lease_is_revoked(self) -> None:
        """Guards against a host that does not register again at once after a crash."""
        self.registration.register()
        after = self.new_process(2)
        after.register()
        self.assertEqual((2, after.lease), self.member())

    def test_an_address_that_another_host_has_got(self) -> None:
        """Guards against a host that can't register under the name of one that is gone."""
        self.registration.register()
        me = an_owner_record(inner="10.0.0.9:1", incarnation=Incarnation(2))
        other = Registration(self.kv, me, ZoneId("holyoke"), 1.0, lambda: 1.0, lambda: 100.0)
        other.register()
        self.assertEqual((2, other.lease), self.member())

    def test_a_store_that_cannot_be_read(self) -> None:
        """Guards against a host that waits for a read to register, though it may write."""
        self.kv.reads.append(lose_request)
        self.registration.register()
        self.assertEqual((1, self.registration.lease), self.member())
