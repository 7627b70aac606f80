"""Reads of the stored document, and commits of edits together with their audit records."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet import DOCUMENT_KEY
from lentilrill.ids import Revision
from lentilrill.operators._audit import AuditTrail, accepted_writes
from lentilrill.operators._records import AuditRecord
from lentilrill.settings import Document
from lentilrill.store import Compare, KeyValue, Put, RangeAnswer

__all__ = ["DocumentStore", "Head"]

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5


class Head(msgspec.Struct, frozen=True):
    """The stored document and its revision; 0 and an empty document before the first edit."""

    document: Document
    revision: Revision


class DocumentStore:
    """The document stored on the platform.

    :param settle_s: seconds to keep trying to resolve the outcome of a write whose response was
        lost.
    """

    def __init__(
        self,
        kv: KeyValue,
        audit: AuditTrail,
        *,
        settle_s: float = 6.0,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._kv = kv
        self._audit = audit
        self._settle_s = settle_s
        self._clock = clock
        self._pause = pause

    def head(self) -> Result[Head, Fault]:
        """Read the stored document."""
        return self._kv.read(DOCUMENT_KEY).bind(_head)

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
        writes = (Put(DOCUMENT_KEY, value), *accepted_writes(record))
        give_up_at = self._clock() + self._settle_s
        pause_s, ambiguous = FIRST_PAUSE_S, False
        while True:
            answer = self._kv.commit(compares, writes)
            if isinstance(answer, Success):
                if answer.unwrap().succeeded:
                    return Success(answer.unwrap().revision)
                settled = self._whose(base, record)
                if isinstance(settled, Success):
                    return settled
                ambiguous, fault = True, settled.failure()
            else:
                fault = answer.failure()
                ambiguous = ambiguous or fault.kind is FaultKind.AMBIGUOUS
            if not ambiguous:
                return Failure(fault)
            if self._clock() + pause_s > give_up_at:
                return Failure(msgspec.structs.replace(fault, kind=FaultKind.AMBIGUOUS))
            self._pause(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    def _whose(self, base: Revision, record: AuditRecord) -> Result[Revision | None, Fault]:
        """Return the revision created by this edit, or ``None`` if another edit has its number."""
        read = self._audit.entry(record.number)
        if isinstance(read, Failure):
            return read
        entry = read.unwrap()
        if entry is not None:
            return Success(entry.revision if entry.record.write_id == record.write_id else None)
        return self.head().bind(lambda head: _decide_by_head(head, base, record))


def _decide_by_head(
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


def _head(answer: RangeAnswer) -> Result[Head, Fault]:
    item = next((item for item in answer.items if item.key == DOCUMENT_KEY), None)
    if item is None or item.value is None:
        return Success(Head(Document(), Revision(0)))
    try:
        return Success(Head(msgspec.json.decode(item.value, type=Document), item.revision))
    except msgspec.MsgspecError as error:
        reason = f"the stored document can't be read: {error}"
        return Failure(Fault("operators.read", DOCUMENT_KEY, FaultKind.INVALID, reason))
