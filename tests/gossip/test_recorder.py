"""Members are removed from the zone's record only when they have provably ended."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success
from testtools import TestCase

from lentilrill.faults import Fault, FaultKind
from lentilrill.gossip import ZoneRecorder, next_record
from lentilrill.ids import EntryHostId, HostId, RackId, Revision, ZoneId
from lentilrill.membership import Member, MembershipTracker, Role, ZoneRecord
from lentilrill.store import (
    HostInfo,
    HostKind,
    HostListing,
    Item,
    TxnAnswer,
)
from lentilrill.telemetry import NoMetrics
from tests import builders

ZONE = ZoneId("z1")
LAG_S = 10.0


def never(member: Member) -> bool:
    return False


class NextRecordTest(TestCase):
    def test_a_silent_member_stays(self) -> None:
        # A gateway is paused while a host is being withdrawn. If it were removed from the record,
        # its acknowledgement would not be required, and it could resume and send to a host that
        # was released meanwhile.
        silent = builders.a_member("gw-silent")
        record = ZoneRecord(ZONE, (silent,))
        self.assertEqual(record, next_record(record, (), never))

    def test_a_newcomer_replaces_only_a_former_incarnation_that_is_gone(self) -> None:
        old, new = builders.a_member("gw-1"), builders.a_member("gw-1")
        record = ZoneRecord(ZONE, (old,))
        self.assertEqual(record, next_record(record, (new,), never))
        self.assertEqual((new,), next_record(record, (new,), lambda m: m == old).members)


class FakeStore:
    """Store whose commits succeed unless ``fault`` is set."""

    def __init__(self) -> None:
        self.fault: Fault | None = None
        self.revision = 0

    def commit(self, compares, writes, priority=None) -> Result[TxnAnswer, Fault]:
        if self.fault is not None:
            return Failure(self.fault)
        self.revision += 1
        return Success(TxnAnswer(True, Revision(self.revision)))


class FakeHostList:
    def __init__(self) -> None:
        self.listing = HostListing((), 0.0)

    def hosts(self) -> Result[HostListing, Fault]:
        return Success(self.listing)


class RecorderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zones: dict[ZoneId, tuple[ZoneRecord, Revision]] = {}
        self.me = builders.a_member("ct-me", role=Role.CONTROLLER)
        self.membership = MembershipTracker(self.me, lambda: self.zones, 2.0, 5.0, lambda: 0.0)
        self.store, self.hosts = FakeStore(), FakeHostList()
        self.recorder = ZoneRecorder(
            self.store,  # type: ignore[arg-type]
            self.hosts,
            self.membership,
            lambda: self.zones,
            self.publish,
            LAG_S,
            NoMetrics(),
        )

    def publish(self, items: tuple[Item, ...]) -> None:
        for item in items:
            record = msgspec.json.decode(item.value or b"", type=ZoneRecord)
            self.zones[record.zone] = (record, item.revision)

    def members(self) -> tuple[str, ...]:
        return tuple(member.process for member in self.zones[ZONE][0].members)

    def run_once(self) -> Callable[[], tuple[str, ...]]:
        self.membership.refresh()
        self.recorder.run_once()
        return self.members

    def test_newcomers_are_recorded(self) -> None:
        self.membership.record_heartbeat(builders.a_member("gw-1"), Revision(0), True)
        self.assertEqual(("ct-me", "gw-1"), self.run_once()())

    def test_nothing_is_written_without_a_change(self) -> None:
        self.run_once()
        self.run_once()
        self.assertEqual(1, self.store.revision)

    def test_an_outage_changes_nothing(self) -> None:
        self.run_once()
        self.store.fault = Fault("platform.txn", "p", FaultKind.UNAVAILABLE, "down")
        self.membership.record_heartbeat(builders.a_member("gw-1"), Revision(0), True)
        self.assertEqual(("ct-me",), self.run_once()())

    def test_a_silent_member_is_removed_only_by_a_recent_host_list(self) -> None:
        # An entry host's processes fall silent. The last host list is older than that, and lacks
        # the host only because the list lagged when the host started. Only a list that is newer
        # than the start of the silence by more than its lag proves that the host has ended.
        peer = builders.a_member("gw-1", entry_host=EntryHostId("entry-1"))
        self.zones[ZONE] = (ZoneRecord(ZONE, (self.me, peer)), Revision(1))
        self.hosts.listing = HostListing((), 1.0)
        self.assertEqual(("ct-me", "gw-1"), self.run_once()())
        since = self.recorder._silent_since[peer]
        self.recorder._listing = HostListing((), since + LAG_S - 1)
        self.assertEqual(("ct-me", "gw-1"), self.run_once()())
        listed = HostInfo(HostId("entry-1"), "", ZONE, RackId("r"), HostKind.ENTRY)
        self.recorder._listing = HostListing((listed,), since + LAG_S + 1)
        self.assertEqual(("ct-me", "gw-1"), self.run_once()())
        self.recorder._listing = HostListing((), since + LAG_S + 1)
        self.assertEqual(("ct-me",), self.run_once()())
