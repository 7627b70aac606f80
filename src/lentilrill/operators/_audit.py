"""The audit trail: who changed what, when, and with which verdict.

An accepted edit's record is written in the transaction that stores the document, so the trail
holds exactly the edits that took effect, in order, under the edit's number. Refused edits are
recorded best-effort in one bounded value of their own.
"""

import queue
import threading
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.operators._diff import Difference
from lentilrill.platform import Compare, DeleteRange, Item, KeyValue, Priority, Put
from lentilrill.telemetry import Event, log

__all__ = ["Action", "AuditEntry", "AuditRecord", "AuditTrail", "EditVerdict", "bounded"]

EDITS = "audit/edits/"
REFUSED = "audit/refused"
RETAINED_EDITS = 5000
RETAINED_REFUSED = 100
MAX_DIFFERENCES = 50
MAX_PENDING = 100
NUMBER_DIGITS = 12
PAGE_DIGITS = 2
"""Digits left off a key to read it with its neighbours: a page holds up to 100 records."""
TRIES = 5


class Action(Enum):
    """What an operator asked for."""

    APPLY = "apply"
    DECLARE_STOP = "declare_stop"
    CANCEL_STOP = "cancel_stop"


class EditVerdict(Enum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    """The document already says so; nothing was written."""
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    """The platform could not be reached; nothing was written."""
    UNKNOWN = "unknown"
    """The write may or may not have taken effect, and the platform can't be asked."""


class AuditRecord(msgspec.Struct, frozen=True):
    """One edit, as stored.

    :param at: seconds since the epoch at the controller that handled the edit.
    :param base: revision of the document that the edit was made from.
    :param message: why it was refused; empty if it was accepted.
    :param more: differences left out to keep the record small.
    """

    at: float
    who: str
    action: Action
    verdict: EditVerdict
    base: Revision
    write_id: str = ""
    number: int = 0
    differences: tuple[Difference, ...] = ()
    more: int = 0
    message: str = ""


class AuditEntry(msgspec.Struct, frozen=True):
    """A record and the revision it made; ``None`` for an edit that made none."""

    record: AuditRecord
    revision: Revision | None


class _Refusals(msgspec.Struct, frozen=True):
    """The stored value of the refused edits, oldest first."""

    records: tuple[AuditRecord, ...] = ()


def bounded(differences: tuple[Difference, ...]) -> tuple[tuple[Difference, ...], int]:
    """Return the differences that a record keeps, and the count of the others."""
    return differences[:MAX_DIFFERENCES], max(0, len(differences) - MAX_DIFFERENCES)


def accepted_writes(record: AuditRecord) -> tuple[Put | DeleteRange, ...]:
    """Return the writes that store an accepted edit's record and trim the oldest ones."""
    put = Put(_edit_key(record.number), msgspec.json.encode(record))
    oldest_kept = record.number - RETAINED_EDITS + 1
    if oldest_kept <= 1:
        return (put,)
    return put, DeleteRange(_edit_key(0), _edit_key(oldest_kept))


class AuditTrail:
    """Reads the trail, and records refused edits in the background.

    A refusal is answered at once; its record must not make the operator wait for a platform that
    is slow or away. So it goes into a bounded queue, and a thread writes what is there in one go.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._pending: queue.Queue[AuditRecord | None] = queue.Queue(MAX_PENDING)
        self._thread = threading.Thread(target=self._write_refusals, name="audit", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Begin to write refused edits."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Write what is pending, then end the thread."""
        if not self._thread.is_alive():
            return
        self._pending.put(None)
        self._thread.join(timeout_s)

    def note_refused(self, record: AuditRecord) -> None:
        """Record a refused edit, best-effort."""
        try:
            self._pending.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def entry(self, number: int) -> Result[AuditEntry | None, Fault]:
        """Read the accepted edit ``number``; ``None`` if no record of it is there."""
        return self._kv.read(_edit_key(number)).bind(_first_entry)

    def since(
        self, revision: Revision, newest: int, limit: int
    ) -> Result[tuple[AuditEntry, ...] | None, Fault]:
        """Return the accepted edits after ``revision``, oldest first.

        :param newest: number of the newest edit.
        :param limit: most edits to return.
        :return: ``None`` if there are more, or the trail doesn't reach back so far.
        """
        found = self._newest_edits(newest, limit + 1)
        if isinstance(found, Failure):
            return found
        entries = found.unwrap()
        later = tuple(e for e in entries if e.revision is not None and e.revision > revision)
        first_number = later[0].record.number if later else newest + 1
        reaches_back = first_number == 1 or len(later) < len(entries)
        return Success(later if reaches_back and len(later) <= limit else None)

    def newest(self, newest: int, limit: int) -> Result[tuple[AuditEntry, ...], Fault]:
        """Return the newest edits, accepted and refused, oldest first."""
        accepted = self._newest_edits(newest, limit)
        refused = self._refusals()
        if isinstance(accepted, Failure):
            return accepted
        if isinstance(refused, Failure):
            return Failure(refused.failure())
        records, _ = refused.unwrap()
        entries = accepted.unwrap() + tuple(AuditEntry(record, None) for record in records)
        return Success(tuple(sorted(entries, key=lambda entry: entry.record.at))[-limit:])

    def _newest_edits(self, newest: int, limit: int) -> Result[tuple[AuditEntry, ...], Fault]:
        pages: list[tuple[AuditEntry, ...]] = []
        number, found = newest, 0
        while number > 0 and found < limit:
            read = self._kv.read(_edit_key(number)[:-PAGE_DIGITS])
            if isinstance(read, Failure):
                return read
            page = tuple(e for e in map(_entry, read.unwrap().items) if e is not None)
            if not page:
                break
            pages.insert(0, page)
            found += len(page)
            number = number // 10**PAGE_DIGITS * 10**PAGE_DIGITS - 1
        entries = tuple(entry for page in pages for entry in page)
        return Success(entries[-limit:])

    def _refusals(self) -> Result[tuple[tuple[AuditRecord, ...], Revision], Fault]:
        return self._kv.read(REFUSED, Priority.LATER).bind(
            lambda answer: Success(_decoded_refusals(answer.items))
        )

    def _write_refusals(self) -> None:
        while True:
            batch = [self._pending.get()]
            while not self._pending.empty():
                batch.append(self._pending.get())
            records = tuple(record for record in batch if record is not None)
            if records and not self._append(records):
                self.dropped += len(records)
                log(Event.AUDIT_DROPPED, refused_edits=len(records))
            if None in batch:
                return

    def _append(self, records: tuple[AuditRecord, ...]) -> bool:
        """Add to the refused edits by compare-and-swap, since other controllers do so too."""
        for _ in range(TRIES):
            read = self._refusals()
            if isinstance(read, Failure):
                return False
            held, revision = read.unwrap()
            kept = _Refusals((held + records)[-RETAINED_REFUSED:])
            put = Put(REFUSED, msgspec.json.encode(kept))
            done = self._kv.commit((Compare(REFUSED, revision),), (put,), Priority.LATER)
            if isinstance(done, Failure):
                return done.failure().kind is FaultKind.AMBIGUOUS
            if done.unwrap().succeeded:
                return True
        return False


def _edit_key(number: int) -> str:
    return f"{EDITS}{number:0{NUMBER_DIGITS}d}"


def _entry(item: Item) -> AuditEntry | None:
    try:
        return AuditEntry(msgspec.json.decode(item.value or b"", type=AuditRecord), item.revision)
    except msgspec.MsgspecError:
        return None


def _first_entry(answer: object) -> Result[AuditEntry | None, Fault]:
    items = getattr(answer, "items", ())
    return Success(_entry(items[0]) if items else None)


def _decoded_refusals(items: tuple[Item, ...]) -> tuple[tuple[AuditRecord, ...], Revision]:
    item = next((item for item in items if item.key == REFUSED), None)
    if item is None or item.value is None:
        return (), Revision(0)
    try:
        return msgspec.json.decode(item.value, type=_Refusals).records, item.revision
    except msgspec.MsgspecError:
        return (), item.revision
