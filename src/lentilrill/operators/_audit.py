"""The audit trail: who changed what, when, and with which verdict.

The record of an accepted edit is written in the transaction that stores the document, so the trail
holds exactly the edits that took effect, in order, keyed by edit number. Refused edits are
recorded on a best-effort basis in a separate value of bounded size.
"""

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault
from lentilrill.ids import Revision
from lentilrill.operators._records import AuditEntry, AuditRecord
from lentilrill.operators._refusals import Refusals
from lentilrill.store import DeleteRange, Item, KeyValue, Put, RangeAnswer

__all__ = ["MAX_AUDIT_LIMIT", "AuditTrail", "audit_writes"]

MAX_AUDIT_LIMIT = 1000
"""Maximum number of edits in one answer."""
EDITS_PREFIX = "audit/edits/"
MAX_RETAINED_EDITS = 5000
NUMBER_DIGITS = 12
PAGE_DIGITS = 2
"""Digits cut from a key to form the prefix of a page, which holds up to 100 records."""


def audit_writes(record: AuditRecord) -> tuple[Put | DeleteRange, ...]:
    """Return the writes that store the record of an accepted edit and delete the oldest ones."""
    put = Put(_edit_key(record.number), msgspec.json.encode(record))
    oldest_retained = record.number - MAX_RETAINED_EDITS + 1
    if oldest_retained <= 1:
        return (put,)
    return put, DeleteRange(_edit_key(0), _edit_key(oldest_retained))


class AuditTrail:
    """The audit trail stored on the platform."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._refusals = Refusals(kv)

    @property
    def dropped(self) -> int:
        """Number of refused edits whose record was lost."""
        return self._refusals.dropped

    def start(self) -> None:
        """Start writing records of refused edits."""
        self._refusals.start()

    def stop(self) -> None:
        """Write pending records of refused edits if the platform answers, and stop."""
        self._refusals.stop()

    def record_refused(self, record: AuditRecord) -> None:
        """Record a refused edit on a best-effort basis."""
        self._refusals.add(record)

    def accepted_edit(self, number: int) -> Result[AuditEntry | None, Fault]:
        """Return the accepted edit ``number``, or ``None`` if it has no record."""
        return self._kv.read(_edit_key(number)).bind(_decode_first)

    def edits_since(
        self, revision: Revision, newest_number: int, limit: int
    ) -> Result[tuple[AuditEntry, ...] | None, Fault]:
        """Return the accepted edits after ``revision``, oldest first.

        :param newest_number: number of the newest accepted edit.
        :param limit: maximum number of edits to return.
        :return: ``None`` if there are more, or if the trail no longer holds all of them.
        """
        read = self._newest_accepted(newest_number, limit + 1)
        if isinstance(read, Failure):
            return read
        entries = read.unwrap()
        later = tuple(e for e in entries if e.revision is not None and e.revision > revision)
        first_number = later[0].record.number if later else newest_number + 1
        complete = first_number == 1 or len(later) < len(entries)
        return Success(later if complete and len(later) <= limit else None)

    def newest_edits(self, newest_number: int, limit: int) -> Result[tuple[AuditEntry, ...], Fault]:
        """Return the newest edits, accepted and refused, oldest first.

        :param newest_number: number of the newest accepted edit.
        """
        accepted = self._newest_accepted(newest_number, limit)
        refused = self._refusals.read()
        if isinstance(accepted, Failure):
            return accepted
        if isinstance(refused, Failure):
            return Failure(refused.failure())
        entries = accepted.unwrap() + tuple(AuditEntry(r, None) for r in refused.unwrap())
        return Success(tuple(sorted(entries, key=lambda entry: entry.record.at))[-limit:])

    def _newest_accepted(
        self, newest_number: int, limit: int
    ) -> Result[tuple[AuditEntry, ...], Fault]:
        pages: list[tuple[AuditEntry, ...]] = []
        number, count = newest_number, 0
        while number > 0 and count < limit:
            read = self._kv.read(_edit_key(number)[:-PAGE_DIGITS])
            if isinstance(read, Failure):
                return read
            page = tuple(e for e in map(_decode_item, read.unwrap().items) if e is not None)
            if not page:
                break
            pages.insert(0, page)
            count += len(page)
            number = number // 10**PAGE_DIGITS * 10**PAGE_DIGITS - 1
        entries = tuple(entry for page in pages for entry in page)
        return Success(entries[-limit:])


def _edit_key(number: int) -> str:
    return f"{EDITS_PREFIX}{number:0{NUMBER_DIGITS}d}"


def _decode_item(item: Item) -> AuditEntry | None:
    try:
        return AuditEntry(msgspec.json.decode(item.value or b"", type=AuditRecord), item.revision)
    except msgspec.MsgspecError:
        return None


def _decode_first(answer: RangeAnswer) -> Result[AuditEntry | None, Fault]:
    return Success(_decode_item(answer.items[0]) if answer.items else None)
