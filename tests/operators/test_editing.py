"""Edits of the document: races, lost responses, an unreachable platform."""

import msgspec
from testtools import TestCase

from lentilrill.fleet import DOCUMENT_KEY
from lentilrill.ids import HostId, Revision, StopId
from lentilrill.operators import (
    AuditTrail,
    DocumentStore,
    Editor,
    EditOutcome,
    EditVerdict,
)
from lentilrill.settings import Document, PlannedStop
from lentilrill.store import Compare, Put
from tests.builders import a_document, a_plan
from tests.fakes import FakeKeyValue, lose_answer, lose_request, refuse


class FakeClock:
    """A fake clock that advances only by ``pause``."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s

    def pause(self, seconds: float) -> None:
        self.now_s += seconds


class EditingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.audit = AuditTrail(self.kv)
        self.asha, self.ben = self.editor(), self.editor()
        self.first = self.asha.apply("asha", a_document("schools", "spare"), Revision(0))
        self.assertEqual(EditVerdict.ACCEPTED, self.first.verdict)
        self.base = self.first.revision

    def editor(self) -> Editor:
        clock = FakeClock()
        store = DocumentStore(self.kv, self.audit, clock=clock, pause=clock.pause)
        return Editor(store, self.audit)

    def stored(self) -> Document:
        (item,) = self.kv.read(DOCUMENT_KEY).unwrap().items
        return msgspec.json.decode(item.value, type=Document)

    def trail(self) -> list[tuple[str, int | None]]:
        entries = self.audit.newest_edits(self.stored().edit, 100).unwrap()
        return [(entry.record.who, entry.revision) for entry in entries]

    def lists_owing(self, hosts: int) -> Document:
        return msgspec.structs.replace(
            a_document("schools", "spare"),
            plans=(a_plan(hosts_owed=hosts), a_plan("spare")),
        )

    def test_conflict_reports_the_differences(self) -> None:
        # Two operators edit lists of the same revision. Without the comparison of revisions the
        # second would silently undo the first one's change. Instead it gets the winner's name and
        # revision, and the differences that its own lists would still make.
        won = self.asha.apply("asha", self.lists_owing(4), self.base)
        lost = self.ben.apply("ben", self.lists_owing(6), self.base)
        self.assertEqual(EditVerdict.CONFLICT, lost.verdict)
        self.assertEqual(won.revision, lost.revision)
        self.assertIn("asha", lost.message)
        (differs,) = lost.differences
        self.assertEqual(("plans", "schools"), (differs.list, differs.id))
        self.assertEqual([("hosts_owed", "4", "6")], [_plain(f) for f in differs.fields])
        self.assertEqual(4, self.stored().plans[0].hosts_owed)

    def test_race_between_read_and_write_is_a_conflict(self) -> None:
        # Two controllers read the same document, then both write. The comparison in the store
        # decides, not the one in the controller.
        def ben_first(call):
            self.ben.apply("ben", self.lists_owing(6), self.base)
            return call()

        self.kv.commits.append(ben_first)
        lost = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.CONFLICT, lost.verdict)
        self.assertIn("ben", lost.message)
        self.assertEqual(6, self.stored().plans[0].hosts_owed)

    def test_lost_response_of_a_committed_edit(self) -> None:
        # The platform stores the edit and the response is lost. Reporting a failure would be
        # wrong, because the change is in force.
        self.kv.commits.append(lose_answer)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
        self.assertEqual(self.kv.revision, outcome.revision)
        self.assertEqual(4, self.stored().plans[0].hosts_owed)
        self.assertEqual(2, len(self.trail()))

    def test_lost_response_followed_by_another_edit(self) -> None:
        # The edit takes effect, the response is lost, and another edit follows before the
        # controller reads back. The document now holds the write id of the other edit; a conflict
        # would make the first operator repeat an applied change. The audit trail has its record.
        def lost_then_ben(call):
            lost = lose_answer(call)
            other = self.ben.apply("ben", self.lists_owing(6), self.kv.revision)
            self.assertEqual(EditVerdict.ACCEPTED, other.verdict)
            return lost

        self.kv.commits.append(lost_then_ben)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
        self.assertEqual(self.base + 1, outcome.revision)
        self.assertEqual(6, self.stored().plans[0].hosts_owed)
        self.assertEqual(["asha", "asha", "ben"], [who for who, _ in self.trail()])

    def test_lost_request_followed_by_another_edit(self) -> None:
        # The request is lost, which looks the same as a lost response, and another operator's edit
        # is accepted under its number: the verdict is a conflict, not an acceptance.
        def lost_then_ben(call):
            self.ben.apply("ben", self.lists_owing(6), self.base)
            return lose_request(call)

        self.kv.commits.append(lost_then_ben)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.CONFLICT, outcome.verdict)
        self.assertEqual(6, self.stored().plans[0].hosts_owed)

    def test_lost_request_is_retried(self) -> None:
        # The request never reached the platform: it is retried and takes effect once.
        self.kv.commits.append(lose_request)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
        self.assertEqual(2, self.stored().edit)

    def test_unresolvable_write_is_unknown(self) -> None:
        # The platform applies the edit and then stops answering. The controller can't determine
        # the outcome, so it reports "unknown" and how to resolve it.
        def lost_for_good(call):
            lost = lose_answer(call)
            self.kv.down = True
            return lost

        self.kv.commits.append(lost_for_good)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.assertEqual(EditVerdict.UNKNOWN, outcome.verdict)
        self.assertIsNone(outcome.revision)
        self.assertIn(outcome.write_id, outcome.message)
        self.assertIn("audit", outcome.message)
        self.kv.down = False
        again = self.ben.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.assertEqual((EditVerdict.ACCEPTED, 2), (again.verdict, again.number))
        self.assertEqual(2, self.stored().edit)

    def test_retried_edit_after_another_edit(self) -> None:
        # The controller's response is lost, another edit follows, and lentilrillctl sends the same
        # edit to the next controller. The retry must neither undo the other edit nor be reported
        # as a conflict: it was accepted.
        first = self.asha.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.ben.apply("ben", self.lists_owing(6), first.revision)
        again = self.ben.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.assertEqual((EditVerdict.ACCEPTED, first.revision), (again.verdict, again.revision))
        self.assertEqual(6, self.stored().plans[0].hosts_owed)

    def test_unreadable_trail_is_not_a_conflict(self) -> None:
        # The edit was accepted but the response lost, another edit followed, and the edit is
        # retried while reads of the trail fail. A conflict would mean that it had been refused.
        first = self.asha.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.ben.apply("ben", self.lists_owing(6), first.revision)
        self.kv.reads.extend([lambda call: call(), refuse])
        again = self.ben.apply("asha", self.lists_owing(4), self.base, "caller-write-1")
        self.assertEqual(EditVerdict.UNAVAILABLE, again.verdict)

    def test_reused_write_id_with_other_lists_is_another_edit(self) -> None:
        # A script uses the same write id for all its edits. The second one, with other lists, must
        # not be reported as accepted because the first one was.
        self.asha.apply("asha", self.lists_owing(4), self.base, "my-script")
        other = self.asha.apply("asha", self.lists_owing(6), self.base, "my-script")
        self.assertEqual(EditVerdict.CONFLICT, other.verdict)

    def test_stale_read_does_not_turn_an_accepted_edit_into_a_conflict(self) -> None:
        # The edit took effect but the response was lost, and reads come from a lagging replica
        # without it. The missing record proves nothing: a conflict would tell the operator that a
        # change which is in force was refused.
        before = {prefix: self.kv.read(prefix) for prefix in ("audit/edits/000000000002",)}
        old_head = self.kv.read(DOCUMENT_KEY)
        self.kv.commits.append(lose_answer)
        self.kv.reads.extend(
            [
                lambda call: call(),
                lambda _call: before["audit/edits/000000000002"],
                lambda _call: old_head,
            ]
        )
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)

    def test_platform_down_changes_nothing(self) -> None:
        # The platform is down before the edit is sent: the verdict says that nothing was changed,
        # and the lists can be applied again.
        for calls in (self.kv.reads, self.kv.commits):
            calls.append(refuse)
            outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
            self.assertEqual(EditVerdict.UNAVAILABLE, outcome.verdict)
            self.assertEqual(1, self.stored().edit)

    def test_an_oversized_document_is_refused(self) -> None:
        # Values of the platform are limited to one megabyte. A larger document would be rejected
        # there with an obscure error, possibly only after the lists had grown for years.
        zones = tuple(f"z{n}" for n in range(200_000))
        lists = self.lists_owing(4)
        wide = msgspec.structs.replace(lists.entitlements[0], zones=zones)
        large = msgspec.structs.replace(lists, entitlements=(wide, *lists.entitlements[1:]))
        outcome = self.asha.apply("asha", large, self.base)
        self.assertEqual(EditVerdict.INVALID, outcome.verdict)
        self.assertIn("1000000", str(outcome.findings[-1]))
        self.assertEqual(1, self.stored().edit)

    def test_applying_lists_keeps_a_stop_declared_meanwhile(self) -> None:
        # One operator edits the lists while another declares a stop. If the edit replaced the whole
        # document, the stop would be lost and a host rebooted under running jobs. Stops are not
        # part of the lists, so there is no conflict either.
        self.declare("stop-1", "h1")
        outcome = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
        self.assertEqual(["stop-1"], [stop.id for stop in self.stored().stops])

    def test_lists_changed_and_a_stop_declared_is_a_conflict(self) -> None:
        self.asha.apply("asha", self.lists_owing(4), self.base)
        self.declare("stop-1", "h1")
        lost = self.ben.apply("ben", self.lists_owing(6), self.base)
        self.assertEqual(EditVerdict.CONFLICT, lost.verdict)

    def test_stops_declared_concurrently_are_both_stored(self) -> None:
        # Two operators declare stops concurrently. One loses the race in the store; as stops can't
        # undo each other, it is retried on the new document instead of refused.
        def other_first(call):
            self.declare("stop-2", "h2")
            return call()

        self.kv.commits.append(other_first)
        outcome = self.declare("stop-1", "h1")
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)
        self.assertEqual({"stop-1", "stop-2"}, {stop.id for stop in self.stored().stops})

    def test_a_stop_is_declared_once_and_cancelled_once(self) -> None:
        self.declare("stop-1", "h1")
        self.assertEqual(EditVerdict.UNCHANGED, self.declare("stop-1", "h1").verdict)
        self.assertEqual(EditVerdict.INVALID, self.declare("stop-1", "h2").verdict)
        cancel = self.asha.cancel_stop("asha", StopId("stop-1"))
        self.assertEqual(EditVerdict.ACCEPTED, cancel.verdict)
        self.assertEqual((), self.stored().stops)
        again = self.asha.cancel_stop("asha", StopId("stop-1"))
        self.assertEqual(EditVerdict.INVALID, again.verdict)

    def test_document_written_outside_the_editor(self) -> None:
        # The document's key was restored by hand, so the trail has no record of that write. An
        # edit that races with it gets a conflict, and later edits are accepted.
        def restored(call):
            value = msgspec.json.encode(self.lists_owing(9))
            self.kv.commit((Compare(DOCUMENT_KEY, self.base),), (Put(DOCUMENT_KEY, value),))
            return call()

        self.kv.commits.append(restored)
        lost = self.asha.apply("asha", self.lists_owing(4), self.base)
        self.assertEqual(EditVerdict.CONFLICT, lost.verdict)
        self.assertEqual(9, self.stored().plans[0].hosts_owed)
        outcome = self.asha.apply("asha", self.lists_owing(4), self.kv.revision)
        self.assertEqual(EditVerdict.ACCEPTED, outcome.verdict)

    def test_on_accepted_receives_the_stored_document(self) -> None:
        seen = []
        store = DocumentStore(self.kv, self.audit)
        editor = Editor(store, self.audit, on_accepted=lambda v, r: seen.append((v, r)))
        outcome = editor.apply("asha", self.lists_owing(4), self.base)
        (item,) = self.kv.read(DOCUMENT_KEY).unwrap().items
        self.assertEqual([(item.value, outcome.revision)], seen)

    def declare(self, stop: str, host: str) -> EditOutcome:
        return self.ben.declare_stop("ben", PlannedStop(StopId(stop), (HostId(host),)))


class InvalidListsTest(TestCase):
    def test_invalid_lists_name_every_error(self) -> None:
        kv = FakeKeyValue()
        audit = AuditTrail(kv)
        editor = Editor(DocumentStore(kv, audit), audit)
        bad = a_document("schools", "spare", hosts_owed=-1, start_within_s=0.0)
        outcome = editor.apply("asha", bad, Revision(0))
        self.assertEqual(EditVerdict.INVALID, outcome.verdict)
        paths = {finding.path for finding in outcome.findings}
        self.assertIn("plans[0].hosts_owed", paths)
        self.assertIn("plans[0].start_within_s", paths)
        self.assertEqual(0, kv.revision)
        self.assertEqual(a_plan().id, bad.plans[0].id)


def _plain(change) -> tuple[str, str, str]:
    return change.field, change.before, change.after
