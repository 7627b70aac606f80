"""Reported verdicts agree with the stored document under any faults of platform calls.

Random sequences of edits by two operators, with lost responses, lost requests, stale reads,
rejected calls and concurrent edits by another controller.
"""

from collections.abc import Callable
from contextlib import contextmanager

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result
from testtools import TestCase

from lentilrill.fleet import DOCUMENT_KEY
from lentilrill.ids import HostId, Revision, StopId
from lentilrill.operators import (
    AuditEntry,
    AuditTrail,
    DocumentStore,
    Editor,
    EditOutcome,
    EditVerdict,
)
from lentilrill.settings import Document, PlannedStop
from tests.builders import a_document, a_plan
from tests.fakes import FakeKeyValue, lose_answer, lose_request, refuse

NOT_WRITTEN = {EditVerdict.CONFLICT, EditVerdict.INVALID, EditVerdict.UNAVAILABLE}


commit_behaviors = st.lists(
    st.sampled_from(("usual", "lose_answer", "lose_request", "refuse", "racer", "racer_then_lose")),
    max_size=4,
)
read_behaviors = st.lists(st.sampled_from(("usual", "usual", "refuse", "stale")), max_size=5)
steps = st.lists(
    st.tuples(
        st.sampled_from(("apply", "apply_stale", "apply_again", "declare", "cancel")),
        commit_behaviors,
        read_behaviors,
    ),
    min_size=1,
    max_size=8,
)


class FaultySystem:
    """A platform, an editor whose calls get faults, and a second editor without faults."""

    def __init__(self) -> None:
        self.kv = FakeKeyValue()
        self.audit = AuditTrail(self.kv)
        self.now_s = 0.0
        store = DocumentStore(
            self.kv, self.audit, resolve_timeout_s=0.3, clock=lambda: self.now_s, pause=self._pause
        )
        self.editor = Editor(store, self.audit)
        self.other = Editor(DocumentStore(self.kv, self.audit), self.audit)
        self.owed = 2
        self.snapshot = (dict(self.kv.items_by_key), self.kv.revision)
        self.outcomes: list[EditOutcome] = []
        self.last: tuple[Document, Revision, str] | None = None
        self.edit_count = 0

    def run(self, action: str, commits: list[str], reads: list[str]) -> EditOutcome:
        """Make one edit whose platform calls behave as given."""
        base = self.kv.items_by_key.get(DOCUMENT_KEY)
        revision = base.revision if base is not None else Revision(0)
        self.kv.commits.extend(self._commit_behavior(name) for name in commits)
        self.kv.reads.extend(self._read_behavior(name) for name in reads)
        outcome = self._edit(action, revision)
        self.kv.commits.clear()
        self.kv.reads.clear()
        self.snapshot = (dict(self.kv.items_by_key), self.kv.revision)
        self.outcomes.append(outcome)
        return outcome

    def stored(self) -> Document:
        """Return the stored document."""
        return msgspec.json.decode(self.kv.items_by_key[DOCUMENT_KEY].value, type=Document)

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the accepted edits in the audit trail."""
        items = self.kv.items_by_key
        numbers = range(1, 1 + sum(key.startswith("audit/edits/") for key in items))
        return tuple(self.audit.accepted_edit(number).unwrap() for number in numbers)

    def _edit(self, action: str, revision: Revision) -> EditOutcome:
        if action == "declare":
            stop = PlannedStop(StopId(f"s{len(self.outcomes) % 3}"), (HostId("h1"),))
            return self.editor.declare_stop("asha", stop)
        if action == "cancel":
            return self.editor.cancel_stop("asha", StopId(f"s{len(self.outcomes) % 3}"))
        if action == "apply_again" and self.last is not None:
            return self.editor.apply("asha", *self.last)
        base = revision if action != "apply_stale" else Revision(max(0, revision - 2))
        self.edit_count += 1
        self.last = (self._lists(), base, f"edit-name-{self.edit_count}")
        return self.editor.apply("asha", *self.last)

    def _lists(self) -> Document:
        self.owed += 1
        document = a_document("schools", "spare")
        return msgspec.structs.replace(
            document, plans=(a_plan(hosts_owed=self.owed), a_plan("spare"))
        )

    def _commit_concurrent_edit(self) -> None:
        with self._without_faults():
            stored = self.kv.items_by_key.get(DOCUMENT_KEY)
            revision = stored.revision if stored is not None else Revision(0)
            outcome = self.other.apply("ben", self._lists(), revision)
            assert outcome.verdict is EditVerdict.ACCEPTED
            self.outcomes.append(outcome)

    @contextmanager
    def _without_faults(self):
        commits, reads = list(self.kv.commits), list(self.kv.reads)
        self.kv.commits.clear()
        self.kv.reads.clear()
        yield
        self.kv.commits.extend(commits)
        self.kv.reads.extend(reads)

    def _commit_behavior(self, name: str) -> Callable:
        def racer(call: Callable[[], Result]) -> Result:
            self._commit_concurrent_edit()
            return call()

        def racer_then_lose(call: Callable[[], Result]) -> Result:
            lost = lose_answer(call)
            self._commit_concurrent_edit()
            return lost

        named = {
            "usual": lambda call: call(),
            "lose_answer": lose_answer,
            "lose_request": lose_request,
            "refuse": refuse,
            "racer": racer,
            "racer_then_lose": racer_then_lose,
        }
        return named[name]

    def _read_behavior(self, name: str) -> Callable:
        def stale(call: Callable[[], Result]) -> Result:
            now = (self.kv.items_by_key, self.kv.revision)
            self.kv.items_by_key, self.kv.revision = self.snapshot
            try:
                return call()
            finally:
                self.kv.items_by_key, self.kv.revision = now

        return {"usual": lambda call: call(), "refuse": refuse, "stale": stale}[name]

    def _pause(self, seconds: float) -> None:
        self.now_s += seconds


class VerdictTest(TestCase):
    @settings(derandomize=True, max_examples=400, database=None, deadline=None)
    @given(steps)
    def test_reported_verdicts_match_the_stored_edits(self, steps) -> None:
        # Lost, late or stale responses could make an edit that is not in force be reported as
        # accepted, or one that is in force as refused.
        system = FaultySystem()
        for step in steps:
            system.run(*step)
        entries = system.entries()
        revisions_by_write_id: dict[str, list[Revision]] = {}
        for entry in entries:
            revisions_by_write_id.setdefault(entry.record.write_id, []).append(entry.revision)
        numbers = [entry.record.number for entry in entries]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        if entries:
            document = system.stored()
            self.assertEqual(entries[-1].record.write_id, document.write_id)
        for outcome in system.outcomes:
            revisions = revisions_by_write_id.get(outcome.write_id, [])
            self.assertLessEqual(len(revisions), 1, "an edit was made twice")
            if outcome.verdict is EditVerdict.ACCEPTED:
                self.assertEqual([outcome.revision], revisions)
            elif outcome.verdict is not EditVerdict.UNAVAILABLE or not _sent_again(system, outcome):
                self.assertTrue(outcome.verdict not in NOT_WRITTEN or not revisions, outcome)


def _sent_again(system: FaultySystem, outcome: EditOutcome) -> bool:
    """Return whether the edit was sent repeatedly, so that another attempt may be accepted."""
    return sum(each.write_id == outcome.write_id for each in system.outcomes) > 1
