"""Records of refused edits, written in the background.

A refusal is answered immediately, without waiting for a platform that may be slow or down. The
records are held in a bounded queue, which a background thread writes in batches.
"""

import threading
from collections import deque

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.operators._records import AuditRecord
from lentilrill.store import Compare, Item, KeyValue, Priority, Put, RangeAnswer
from lentilrill.telemetry import Event, log

__all__ = ["Refusals"]

REFUSED_KEY = "audit/refused"
MAX_RETAINED = 100
MAX_PENDING = 100
MAX_ATTEMPTS = 5
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0


class StoredRefusals(msgspec.Struct, frozen=True):
    """The stored value: records of refused edits, oldest first."""

    records: tuple[AuditRecord, ...] = ()


class Refusals:
    """The newest refused edits of all controllers, in one platform value of bounded size.

    :ivar dropped: number of records that were lost.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._pending: deque[AuditRecord] = deque()
        self._condition = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="audit", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Try once more to write the pending records, then stop the thread."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def add(self, record: AuditRecord) -> None:
        """Queue a record for writing; if the queue is full, the oldest record is dropped."""
        with self._condition:
            if len(self._pending) == MAX_PENDING:
                self._pending.popleft()
                self.dropped += 1
            self._pending.append(record)
            self._condition.notify_all()

    def read(self) -> Result[tuple[AuditRecord, ...], Fault]:
        """Return the stored records, oldest first."""
        return self._read_stored().map(lambda stored: stored[0])

    def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            batch, stopping = self._next_batch()
            if batch and self._append(batch):
                self._remove_pending(batch)
                backoff_s = INITIAL_BACKOFF_S
            elif batch and not stopping:
                self._wait(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            if stopping:
                self._drop_pending()
                return

    def _next_batch(self) -> tuple[tuple[AuditRecord, ...], bool]:
        with self._condition:
            while not self._pending and not self._stopping:
                self._condition.wait()
            return tuple(self._pending), self._stopping

    def _wait(self, backoff_s: float) -> None:
        with self._condition:
            self._condition.wait_for(lambda: self._stopping, backoff_s)

    def _remove_pending(self, batch: tuple[AuditRecord, ...]) -> None:
        with self._condition:
            written = set(map(id, batch))
            self._pending = deque(r for r in self._pending if id(r) not in written)

    def _drop_pending(self) -> None:
        with self._condition:
            self.dropped += len(self._pending)
            self._pending.clear()
        if self.dropped:
            log(Event.AUDIT_DROPPED, refused_edits=self.dropped)

    def _append(self, records: tuple[AuditRecord, ...]) -> bool:
        """Append to the stored records by compare-and-swap, as other controllers write them too.

        A write whose response was lost is retried; records that are already stored are skipped.
        """
        for _ in range(MAX_ATTEMPTS):
            read = self._read_stored()
            if isinstance(read, Failure):
                return False
            stored, revision = read.unwrap()
            new = tuple(record for record in records if record not in stored)
            if not new:
                return True
            put = Put(
                REFUSED_KEY, msgspec.json.encode(StoredRefusals((stored + new)[-MAX_RETAINED:]))
            )
            committed = self._kv.commit((Compare(REFUSED_KEY, revision),), (put,), Priority.LATER)
            if isinstance(committed, Success):
                if committed.unwrap().succeeded:
                    return True
            elif committed.failure().kind is not FaultKind.AMBIGUOUS:
                return False
        return False

    def _read_stored(self) -> Result[tuple[tuple[AuditRecord, ...], Revision], Fault]:
        return self._kv.read(REFUSED_KEY, Priority.LATER).map(_decode)


def _decode(answer: RangeAnswer) -> tuple[tuple[AuditRecord, ...], Revision]:
    item: Item | None = next((item for item in answer.items if item.key == REFUSED_KEY), None)
    if item is None or item.value is None:
        return (), Revision(0)
    try:
        return msgspec.json.decode(item.value, type=StoredRefusals).records, item.revision
    except msgspec.MsgspecError:
        return (), item.revision
