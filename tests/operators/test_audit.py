"""The audit trail: bounded, complete for accepted edits, best-effort for refused ones."""

import threading
from unittest import mock

import msgspec
from testtools import TestCase

from lentilrill.ids import Revision
from lentilrill.operators import (
    Action,
    AuditRecord,
    AuditTrail,
    Change,
    Difference,
    DocumentStore,
    Editor,
    EditVerdict,
    FieldChange,
    _audit,
    _refusals,
)
from lentilrill.operators._records import truncate_differences
from tests.builders import a_document
from tests.fakes import FakeKeyValue, lose_answer, refuse


def refused(at: float, who: str = "asha") -> AuditRecord:
    return AuditRecord(at, who, Action.APPLY, EditVerdict.CONFLICT, Revision(1))


class AuditTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.trail = AuditTrail(self.kv)
        self.editor = Editor(DocumentStore(self.kv, self.trail), self.trail)

    def edit(self, times: int) -> None:
        base = self.kv.revision
        for n in range(times):
            lists = a_document("schools", "spare", hosts_owed=2 + n % 2)
            outcome = self.editor.apply("asha", lists, base)
            self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
            base = outcome.revision

    def write_refusals(self, trail: AuditTrail, *records: AuditRecord) -> None:
        for record in records:
            trail.record_refused(record)
        trail.start()
        trail.stop()

    def test_adding_an_edit_trims_the_oldest(self) -> None:
        # Thousands of edits a day would fill the platform over the years, so the transaction that
        # adds a record deletes the oldest one.
        with mock.patch.object(_audit, "MAX_RETAINED_EDITS", 5):
            self.edit(12)
        numbers = [entry.record.number for entry in self.trail.newest_edits(12, 100).unwrap()]
        self.assertEqual([8, 9, 10, 11, 12], numbers)

    def test_newest_edits_across_pages(self) -> None:
        self.edit(230)
        for limit in (1, 31, 150, 1000):
            numbers = [e.record.number for e in self.trail.newest_edits(230, limit).unwrap()]
            self.assertEqual(list(range(max(1, 231 - limit), 231)), numbers)

    def test_edits_since_a_revision(self) -> None:
        self.edit(230)
        later = self.trail.edits_since(Revision(225), 230, 10).unwrap()
        self.assertEqual([226, 227, 228, 229, 230], [e.record.number for e in later])
        self.assertIsNone(self.trail.edits_since(Revision(1), 230, 10).unwrap())
        self.assertEqual(230, len(self.trail.edits_since(Revision(0), 230, 300).unwrap()))

    def test_edits_since_a_trimmed_revision_are_not_returned(self) -> None:
        # The edits just after the base have been trimmed. If an incomplete list were returned, an
        # edit with an old base could be accepted as if only planned stops had changed since.
        with mock.patch.object(_audit, "MAX_RETAINED_EDITS", 5):
            self.edit(12)
        self.assertIsNone(self.trail.edits_since(Revision(3), 12, 100).unwrap())
        self.assertEqual(4, len(self.trail.edits_since(Revision(8), 12, 100).unwrap()))

    def test_refused_edits_are_bounded(self) -> None:
        # A broken script may send invalid edits all night: only the newest records are kept.
        with mock.patch.object(_refusals, "MAX_RETAINED", 3):
            self.write_refusals(self.trail, *(refused(float(n)) for n in range(10)))
        times = [entry.record.at for entry in self.trail.newest_edits(0, 100).unwrap()]
        self.assertEqual([7.0, 8.0, 9.0], times)

    def test_refused_edits_of_any_size_fit_into_a_value(self) -> None:
        # Repeated refusals of large edits, recorded with all their differences, would exceed the
        # platform's size limit for a value, and no further refusal could be recorded.
        fields = tuple(FieldChange(f"field-{n}", "x" * 200, "y" * 200) for n in range(8))
        changes = tuple(Difference("plans", f"p{n}", Change.CHANGED, fields) for n in range(60))
        kept, more = truncate_differences(changes)
        self.assertEqual(60, len(kept) + more)
        self.assertLess(len(kept), 2)
        few = tuple(Difference("plans", f"p{n}", Change.ADDED) for n in range(60))
        self.assertEqual((few[:50], 10), truncate_differences(few))
        records = [
            msgspec.structs.replace(refused(float(n)), differences=kept, message="m" * 1000)
            for n in range(100)
        ]
        self.write_refusals(self.trail, *records)
        self.assertLess(len(self.kv.items_by_key["audit/refused"].value), 1_000_000)

    def test_two_controllers_record_refusals_concurrently(self) -> None:
        # Two controllers append to the refused edits concurrently. Without compare-and-swap one
        # would overwrite the record of the other.
        def other_first(call):
            self.write_refusals(AuditTrail(self.kv), refused(1.0, "ben"))
            return call()

        self.kv.commits.append(other_first)
        self.write_refusals(self.trail, refused(2.0))
        who = [entry.record.who for entry in self.trail.newest_edits(0, 100).unwrap()]
        self.assertEqual(["ben", "asha"], who)

    def test_refusals_are_written_after_an_outage(self) -> None:
        # An edit whose outcome is unknown because the platform went down needs its audit record:
        # it is written once the platform is reachable again.
        tried = threading.Event()

        def unavailable(call):
            tried.set()
            return refuse(call)

        self.kv.reads.append(unavailable)
        self.trail.record_refused(refused(1.0))
        with mock.patch.object(_refusals, "INITIAL_BACKOFF_S", 0.01):
            self.trail.start()
            self.assertTrue(tried.wait(20))
            self.trail.stop()
        self.assertEqual(1, len(self.trail.newest_edits(0, 100).unwrap()))
        self.assertEqual(0, self.trail.dropped)

    def test_a_refusal_with_a_lost_response_is_stored_once(self) -> None:
        self.kv.commits.append(lose_answer)
        self.write_refusals(self.trail, refused(1.0))
        self.assertEqual(1, len(self.trail.newest_edits(0, 100).unwrap()))

    def test_dropped_refusals_are_counted(self) -> None:
        # During a long platform outage edits are still refused, the newest records are queued in
        # bounded memory, and records missing from the trail are counted and logged.
        self.kv.down = True
        for n in range(_refusals.MAX_PENDING + 5):
            self.trail.record_refused(refused(float(n)))
        self.assertEqual(5, self.trail.dropped)
        self.trail.start()
        self.trail.stop()
        self.assertEqual(_refusals.MAX_PENDING + 5, self.trail.dropped)
