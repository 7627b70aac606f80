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


commit_fates = st.lists(
    st.sampled_from(("usual", "lose_answer", "lose_request", "refuse", "racer", "racer_then_lose")),
    max_size=4,
)
read_fates = st.lists(st.sampled_from(("usual", "usual", "refuse", "stale")), max_size=5)
steps = st.lists(
    st.tuples(
        st.sampled_from(("apply", "apply_stale", "apply_again", "declare", "cancel")),
        commit_fates,
        read_fates,
    ),
    min_size=1,
    max_size=8,
)


class World:
    """A platform, an editor whose calls get faults, and a second editor without faults."""

    def __init__(self) -> None:
        self.kv = FakeKeyValue()
        self.audit = AuditTrail(self.kv)
        self.now_s = 0.0
        store = DocumentStore(
            self.kv, self.audit, settle_s=0.3, clock=lambda: self.now_s, pause=self._pause
        )
        self.editor = Editor(store, self.audit)
        self.other = Editor(DocumentStore(self.kv, self.audit), self.audit)
        self.owed = 2
        self.snapshot = (dict(self.kv.items_by_key), self.kv.revision)
        self.told: list[EditOutcome] = []
        self.last: tuple[Document, Revision, str] | None = None
        self.name = 0

    def run(self, action: str, commits: list[str], reads: list[str]) -> EditOutcome:
        """Make one edit whose platform calls behave as given."""
        base = self.kv.items_by_key.get(DOCUMENT_KEY)
        revision = base.revision if base is not None else Revision(0)
        self.kv.commits.extend(self._commit_fate(name) for name in commits)
        self.kv.reads.extend(self._read_fate(name) for name in reads)
        outcome = self._edit(action, revision)
        self.kv.commits.clear()
        self.kv.reads.clear()
        self.snapshot = (dict(self.kv.items_by_key), self.kv.revision)
        self.told.append(outcome)
        return outcome

    def stored(self) -> Document:
        """Return the stored document."""
        return msgspec.json.decode(self.kv.items_by_key[DOCUMENT_KEY].value, type=Document)

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the accepted edits in the audit trail."""
        items = self.kv.items_by_key
        numbers = range(1, 1 + sum(key.startswith("audit/edits/") for key in items))
        return tuple(self.audit.entry(number).unwrap() for number in numbers)

    def _edit(self, action: str, revision: Revision) -> EditOutcome:
        if action == "declare":
            stop = PlannedStop(StopId(f"s{len(self.told) % 3}"), (HostId("h1"),))
            return self.editor.declare("asha", stop)
        if action == "cancel":
            return self.editor.cancel("asha", StopId(f"s{len(self.told) % 3}"))
        if action == "apply_again" and self.last is not None:
            return self.editor.apply("asha", *self.last)
        base = revision if action != "apply_stale" else Revision(max(0, revision - 2))
        self.name += 1
        self.last = (self._lists(), base, f"edit-name-{self.name}")
        return self.editor.apply("asha", *self.last)

    def _lists(self) -> Document:
        self.owed += 1
        document = a_document("schools", "spare")
        return msgspec.structs.replace(
            document, plans=(a_plan(hosts_owed=self.owed), a_plan("spare"))
        )

    def _race(self) -> None:
        with self._undisturbed():
            held = self.kv.items_by_key.get(DOCUMENT_KEY)
            revision = held.revision if held is not None else Revision(0)
            outcome = self.other.apply("ben", self._lists(), revision)
            assert outcome.verdict is EditVerdict.ACCEPTED
            self.told.append(outcome)

    @contextmanager
    def _undisturbed(self):
        commits, reads = list(self.kv.commits), list(self.kv.reads)
        self.kv.commits.clear()
        self.kv.reads.clear()
        yield
        self.kv.commits.extend(commits)
        self.kv.reads.extend(reads)

    def _commit_fate(self, name: str) -> Callable:
        def racer(call: Callable[[], Result]) -> Result:
            self._race()
            return call()

        def racer_then_lose(call: Callable[[], Result]) -> Result:
            lost = lose_answer(call)
            self._race()
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

    def _read_fate(self, name: str) -> Callable:
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


class TruthTest(TestCase):
    @settings(derandomize=True, max_examples=400, database=None, deadline=None)
    @given(steps)
    def test_told_and_true_agree(self, steps) -> None:
        # Lost, late or stale responses could make an edit that is not in force be reported as
        # accepted, or one that is in force as refused.
        world = World()
        for step in steps:
            world.run(*step)
        entries = world.entries()
        by_write: dict[str, list[Revision]] = {}
        for entry in entries:
            by_write.setdefault(entry.record.write_id, []).append(entry.revision)
        numbers = [entry.record.number for entry in entries]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        if entries:
            document = world.stored()
            self.assertEqual(entries[-1].record.write_id, document.write_id)
        for outcome in world.told:
            made = by_write.get(outcome.write_id, [])
            self.assertLessEqual(len(made), 1, "an edit was made twice")
            if outcome.verdict is EditVerdict.ACCEPTED:
                self.assertEqual([outcome.revision], made)
            elif outcome.verdict is not EditVerdict.UNAVAILABLE or not _sent_again(world, outcome):
                self.assertTrue(outcome.verdict not in NOT_WRITTEN or not made, outcome)


def _sent_again(world: World, outcome: EditOutcome) -> bool:
    """Return whether the edit was sent repeatedly, so that another attempt may be accepted."""
    return sum(told.write_id == outcome.write_id for told in world.told) > 1
