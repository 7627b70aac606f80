"""Edits of the operators' document: validation, compare-and-swap, and the reported verdict.

Each edit is one transaction that compares the document's revision and stores the new document
with the audit record. An edit reported as accepted is in the store. An edit reported as refused is
not, and never will be. In any other case the verdict is unknown.
"""

import hashlib
import re
import time
import uuid
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision, StopId
from lentilrill.operators import _outcomes as outcomes
from lentilrill.operators._audit import AuditTrail
from lentilrill.operators._diff import Change, Difference, diff_documents
from lentilrill.operators._outcomes import EditOutcome
from lentilrill.operators._records import Action, AuditEntry, AuditRecord, EditVerdict
from lentilrill.operators._store import DocumentStore, Head
from lentilrill.settings import Document, Finding, PlannedStop, Severity, check, errors_of
from lentilrill.telemetry import Event, log

__all__ = ["MAX_DOCUMENT_BYTES", "Editor"]

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform's size limit for a value."""
MAX_EDITS_SEARCHED = 1000
MAX_STOP_ATTEMPTS = 8
DIGEST_CHARS = 12
WRITE_ID_PATTERN = re.compile(r"[A-Za-z0-9-]{8,80}")
INVALID_WRITE_ID = "write_id must be 8 to 80 letters, digits or '-'"

StopChange = Callable[[Document, PlannedStop], Result[Document, Finding]]


class Editor:
    """Applies operators' edits to the stored document.

    :param on_accepted: called with the stored bytes and their revision, so that this process's
        copy is updated without waiting for its watch.
    """

    def __init__(
        self,
        store: DocumentStore,
        audit: AuditTrail,
        *,
        on_accepted: Callable[[bytes, Revision], None] = lambda _value, _revision: None,
        now: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._audit = audit
        self._on_accepted = on_accepted
        self._now = now

    def apply(self, who: str, lists: Document, base: Revision, write_id: str = "") -> EditOutcome:
        """Replace plans, pools, entitlements and objective; planned stops stay as they are.

        :param base: revision that the lists were edited from.
        :param write_id: idempotency key chosen by the caller. An edit that is retried with the
            same key after a lost response is not applied twice.
        """
        write_id = write_id or _new_write_id()
        if not WRITE_ID_PATTERN.fullmatch(write_id):
            outcome = outcomes.invalid("", base, (), INVALID_WRITE_ID)
        else:
            outcome = self._apply(who, lists, base, f"{write_id}-{_digest(lists)}")
        return self._record_outcome(who, Action.APPLY, outcome)

    def declare_stop(self, who: str, stop: PlannedStop) -> EditOutcome:
        """Add a planned stop; the verdict is ``UNCHANGED`` if an equal one exists."""
        outcome = self._edit_stop(who, Action.DECLARE_STOP, stop, _with_stop)
        return self._record_outcome(who, Action.DECLARE_STOP, outcome)

    def cancel_stop(self, who: str, stop_id: StopId) -> EditOutcome:
        """Remove a planned stop; the edit is invalid if no such stop exists."""
        outcome = self._edit_stop(who, Action.CANCEL_STOP, PlannedStop(stop_id, ()), _without_stop)
        return self._record_outcome(who, Action.CANCEL_STOP, outcome)

    def _apply(self, who: str, lists: Document, base: Revision, write_id: str) -> EditOutcome:
        read = self._store.head()
        if isinstance(read, Failure):
            return outcomes.unavailable(write_id, base, read.failure())
        head = read.unwrap()
        since_result = self._edits_since(base, head)
        if isinstance(since_result, Failure):
            return outcomes.unavailable(write_id, base, since_result.failure())
        since = since_result.unwrap()
        earlier = _earlier_attempt(head, since, write_id)
        if earlier is not None:
            return earlier
        candidate = _with_lists(head.document, lists)
        if not diff_documents(head.document, candidate):
            return outcomes.unchanged(head, write_id)
        if head.revision != base and not _only_stop_edits(since):
            differences = diff_documents(head.document, candidate)
            return outcomes.conflict(write_id, base, head, differences, since)
        outcome = self._write(who, Action.APPLY, head, candidate, write_id)
        if outcome.verdict is EditVerdict.CONFLICT:
            return self._describe_conflict(outcome, candidate)
        return outcome

    def _edit_stop(
        self, who: str, action: Action, stop: PlannedStop, change: StopChange
    ) -> EditOutcome:
        """Apply an edit of one stop, retrying after a conflict.

        A retry is safe because an edit of one stop can't undo a concurrent edit.
        """
        write_id = _new_write_id()
        outcome = outcomes.lost_race(write_id, Revision(0))
        for _ in range(MAX_STOP_ATTEMPTS):
            read = self._store.head()
            if isinstance(read, Failure):
                unavailable = outcomes.unavailable(write_id, Revision(0), read.failure())
                return msgspec.structs.replace(
                    unavailable, differences=_intended_difference(action, stop)
                )
            head = read.unwrap()
            changed = change(head.document, stop)
            if isinstance(changed, Failure):
                return outcomes.invalid(write_id, head.revision, (changed.failure(),))
            if changed.unwrap() == head.document:
                return outcomes.unchanged(head, write_id)
            outcome = self._write(who, action, head, changed.unwrap(), write_id)
            if outcome.verdict is not EditVerdict.CONFLICT:
                return outcome
        return outcome

    def _write(
        self, who: str, action: Action, head: Head, candidate: Document, write_id: str
    ) -> EditOutcome:
        number = head.document.edit + 1
        document = msgspec.structs.replace(candidate, write_id=write_id, edit=number)
        value = msgspec.json.encode(document)
        findings = check(candidate) + _size_findings(len(value))
        if errors_of(findings):
            return outcomes.invalid(write_id, head.revision, findings)
        outcome = EditOutcome(
            EditVerdict.ACCEPTED,
            write_id,
            number=number,
            base=head.revision,
            differences=diff_documents(head.document, candidate),
            findings=findings,
        )
        record = outcomes.audit_record(outcome, self._now(), who, action)
        return self._commit(head, value, record, outcome)

    def _commit(
        self, head: Head, value: bytes, record: AuditRecord, outcome: EditOutcome
    ) -> EditOutcome:
        committed = self._store.commit(head.revision, value, record)
        if isinstance(committed, Failure):
            fault = committed.failure()
            if fault.kind is FaultKind.AMBIGUOUS:
                return outcomes.unknown(outcome, fault)
            return outcomes.unavailable(outcome.write_id, head.revision, fault)
        revision = committed.unwrap()
        if revision is None:
            return outcomes.lost_race(outcome.write_id, head.revision)
        self._on_accepted(value, revision)
        return msgspec.structs.replace(outcome, revision=revision)

    def _describe_conflict(self, outcome: EditOutcome, candidate: Document) -> EditOutcome:
        """Add the winning edits and the differences to a conflict, if they can be read."""
        read = self._store.head()
        if isinstance(read, Failure):
            return outcome
        head = read.unwrap()
        differences = diff_documents(head.document, _with_lists(head.document, candidate))
        since = self._edits_since(outcome.base, head).value_or(())
        return outcomes.conflict(outcome.write_id, outcome.base, head, differences, since)

    def _edits_since(self, base: Revision, head: Head) -> Result[tuple[AuditEntry, ...], Fault]:
        """Return the accepted edits after ``base``; empty if the trail doesn't hold them all.

        A trail that can't be read is a fault, not an empty result: otherwise an edit that is in
        force and is retried after a lost response would be reported as a conflict.
        """
        if head.revision == base:
            return Success(())
        read = self._audit.edits_since(base, head.document.edit, MAX_EDITS_SEARCHED)
        return read.map(lambda entries: entries or ())

    def _record_outcome(self, who: str, action: Action, outcome: EditOutcome) -> EditOutcome:
        """Log an outcome, and record an edit that was not accepted in the audit trail."""
        log(
            _EVENT_BY_VERDICT[outcome.verdict],
            who=who,
            action=action.value,
            verdict=outcome.verdict.value,
            revision=outcome.revision,
            write_id=outcome.write_id,
        )
        if outcome.verdict not in (EditVerdict.ACCEPTED, EditVerdict.UNCHANGED):
            self._audit.record_refused(outcomes.audit_record(outcome, self._now(), who, action))
        return outcome


_EVENT_BY_VERDICT = {
    EditVerdict.ACCEPTED: Event.EDIT_ACCEPTED,
    EditVerdict.UNCHANGED: Event.EDIT_ACCEPTED,
    EditVerdict.CONFLICT: Event.EDIT_REFUSED,
    EditVerdict.INVALID: Event.EDIT_REFUSED,
    EditVerdict.UNAVAILABLE: Event.EDIT_REFUSED,
    EditVerdict.UNKNOWN: Event.EDIT_UNKNOWN,
}


def _new_write_id() -> str:
    return str(uuid.uuid4())


def _digest(lists: Document) -> str:
    """Return a digest that makes edits with the same write id but other lists distinct."""
    return hashlib.sha256(msgspec.json.encode(lists)).hexdigest()[:DIGEST_CHARS]


def _with_lists(document: Document, lists: Document) -> Document:
    return msgspec.structs.replace(
        document,
        plans=lists.plans,
        pools=lists.pools,
        entitlements=lists.entitlements,
        objective=lists.objective,
    )


def _earlier_attempt(
    head: Head, since: tuple[AuditEntry, ...], write_id: str
) -> EditOutcome | None:
    """Return the outcome of an earlier attempt at the same edit whose response was lost."""
    for entry in since:
        if entry.record.write_id == write_id:
            return outcomes.already_accepted(entry, entry.record.number)
    if head.document.write_id == write_id:
        record = AuditRecord(0.0, "", Action.APPLY, EditVerdict.ACCEPTED, head.revision, write_id)
        return outcomes.already_accepted(AuditEntry(record, head.revision), head.document.edit)
    return None


def _intended_difference(action: Action, stop: PlannedStop) -> tuple[Difference, ...]:
    """Return the intended change of a stop, for use when the document can't be read."""
    change = Change.ADDED if action is Action.DECLARE_STOP else Change.REMOVED
    return (Difference("stops", stop.id, change),)


def _only_stop_edits(since: tuple[AuditEntry, ...]) -> bool:
    """Return whether all edits since the base were of stops, which are no part of the lists."""
    return bool(since) and all(entry.record.action is not Action.APPLY for entry in since)


def _with_stop(document: Document, stop: PlannedStop) -> Result[Document, Finding]:
    existing = next((existing for existing in document.stops if existing.id == stop.id), None)
    if existing is None:
        return Success(msgspec.structs.replace(document, stops=(*document.stops, stop)))
    if existing == stop:
        return Success(document)
    message = f"stop {stop.id!r} is declared already, otherwise; cancel it or take another id"
    return Failure(Finding(Severity.ERROR, "id", message))


def _without_stop(document: Document, stop: PlannedStop) -> Result[Document, Finding]:
    stops = tuple(existing for existing in document.stops if existing.id != stop.id)
    if len(stops) == len(document.stops):
        return Failure(Finding(Severity.ERROR, "id", f"no stop {stop.id!r} is declared"))
    return Success(msgspec.structs.replace(document, stops=stops))


def _size_findings(size_bytes: int) -> tuple[Finding, ...]:
    if size_bytes <= MAX_DOCUMENT_BYTES:
        return ()
    message = f"{size_bytes} bytes are more than the {MAX_DOCUMENT_BYTES} of the platform's values"
    return (Finding(Severity.ERROR, "document", message),)
