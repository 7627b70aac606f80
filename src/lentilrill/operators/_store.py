"""Reads of the stored document, and commits of edits together with their audit records."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet import DOCUMENT_KEY
from lentilrill.ids import Revision
from lentilrill.operators._audit import AuditTrail, audit_writes
from lentilrill.operators._records import AuditRecord
from lentilrill.settings import Document
from lentilrill.store import Compare, KeyValue, Put, RangeAnswer

__all__ = ["DocumentStore", "Head"]

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


class Head(msgspec.Struct, frozen=True):
    """The stored document and its revision; 0 and an empty document before the first edit."""

    document: Document
    revision: Revision


class DocumentStore:
    """The document stored on the platform.

    :param resolve_timeout_s: how long to try to resolve the outcome of a write whose response was
        lost.
    """

    def __init__(
        self,
        kv: KeyValue,
        audit: AuditTrail,
        *,
        resolve_timeout_s: float = 6.0,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._kv = kv
        self._audit = audit
        self._resolve_timeout_s = resolve_timeout_s
        self._clock = clock
        self._pause = pause

    def head(self) -> Result[Head, Fault]:
        """Read the stored document."""
        return self._kv.read(DOCUMENT_KEY).bind(_decode_head)

    def commit(
        self, base: Revision, value: bytes, record: AuditRecord
    ) -> Result[Revision | None, Fault]:
        """Commit an edit and resolve its outcome.

        A write may take effect although its response was lost. If that were reported as a failure,
        the operator would repeat the edit or assume that the old configuration is in force. So the
        same transaction is sent again. If it succeeds now, the first attempt had not taken effect,
        and no longer can, because the document's revision has changed. If its comparison fails,
        the audit record with this edit's number shows whose edit it was: a number belongs to
        exactly one edit, and its record outlives later edits of the document.

        :return: the revision created, or ``None`` if another edit won; an ``AMBIGUOUS`` fault if
            the outcome can't be determined; any other fault if nothing was written.
        """
        compares = (Compare(DOCUMENT_KEY, base),)
        writes = (Put(DOCUMENT_KEY, value), *audit_writes(record))
        deadline = self._clock() + self._resolve_timeout_s
        backoff_s, ambiguous = INITIAL_BACKOFF_S, False
        while True:
            answer = self._kv.commit(compares, writes)
            if isinstance(answer, Success):
                if answer.unwrap().succeeded:
                    return Success(answer.unwrap().revision)
                resolved = self._resolve_from_audit(base, record)
                if isinstance(resolved, Success):
                    return resolved
                ambiguous, fault = True, resolved.failure()
            else:
                fault = answer.failure()
                ambiguous = ambiguous or fault.kind is FaultKind.AMBIGUOUS
            if not ambiguous:
                return Failure(fault)
            if self._clock() + backoff_s > deadline:
                return Failure(msgspec.structs.replace(fault, kind=FaultKind.AMBIGUOUS))
            self._pause(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _resolve_from_audit(
        self, base: Revision, record: AuditRecord
    ) -> Result[Revision | None, Fault]:
        """Return the revision created by this edit, or ``None`` if another edit has its number."""
        read = self._audit.accepted_edit(record.number)
        if isinstance(read, Failure):
            return read
        entry = read.unwrap()
        if entry is not None:
            return Success(entry.revision if entry.record.write_id == record.write_id else None)
        return self.head().bind(lambda head: _resolve_from_document(head, base, record))


def _resolve_from_document(
    head: Head, base: Revision, record: AuditRecord
) -> Result[Revision | None, Fault]:
    """Resolve the outcome of an edit from the document alone, if its audit record is missing.

    A lagging replica may lack the record of an edit that was committed, so a missing record proves
    nothing. A newer document with an edit number up to this edit's number proves that the edit was
    not committed: otherwise the document would be this edit's, or have a higher number.
    """
    if head.document.write_id == record.write_id:
        return Success(head.revision)
    if head.revision > base and head.document.edit <= record.number:
        return Success(None)
    reason = "the record of the edit can't be read yet"
    return Failure(Fault("operators.settle", DOCUMENT_KEY, FaultKind.AMBIGUOUS, reason))


def _decode_head(answer: RangeAnswer) -> Result[Head, Fault]:
    item = next((item for item in answer.items if item.key == DOCUMENT_KEY), None)
    if item is None or item.value is None:
        return Success(Head(Document(), Revision(0)))
    try:
        return Success(Head(msgspec.json.decode(item.value, type=Document), item.revision))
    except msgspec.MsgspecError as error:
        reason = f"the stored document can't be read: {error}"
        return Failure(Fault("operators.read", DOCUMENT_KEY, FaultKind.INVALID, reason))
