"""Commits of many callers in one call of the store."""

import queue
import threading
import time
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.faults import FaultKind
from lentilrill.ids import Revision
from lentilrill.store import Compare, KeyValue, Put
from lentilrill.telemetry import Event, guarded, log

__all__ = ["Committed", "GroupCommit"]

WRITES_A_COMMIT = 16
"""The store takes 32 entries a call: a condition and a write for each job."""
LONGEST_S = 2.2
"""How long a caller is held for its commit; most wait 3 s for an answer."""


class Committed(msgspec.Struct, frozen=True):
    """What became of one write.

    :param known: whether it is in the store, written now or before; ``None``: it may be, or may
        be written yet.
    :param sent: whether the write was handed to the store; one that was not never happens.
    :param revision: of the commit; 0 if it was there before.
    """

    known: bool | None
    sent: bool = True
    revision: Revision = Revision(0)


class _Wish:
    __slots__ = ("done", "outcome", "put", "until")

    def __init__(self, put: Put, until: float) -> None:
        self.put = put
        self.until = until
        self.done = threading.Event()
        self.outcome = Committed(None)


class GroupCommit:
    """Creates keys; what arrives while a commit is under way goes into the next one.

    Load pattern: callers come in bursts, and the store counts calls, not jobs. A burst of sixteen
    costs one call, and a lone caller waits for nobody.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._wishes: queue.SimpleQueue[_Wish | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="intake-commit", daemon=True)

    def start(self) -> None:
        """Begin to commit."""
        self._thread.start()

    def close(self) -> None:
        """End after what is queued."""
        self._wishes.put(None)

    def create(self, key: str, value: bytes) -> Committed:
        """Write ``key`` unless it exists, and wait for the outcome."""
        wish = _Wish(Put(key, value), time.monotonic() + LONGEST_S)
        self._wishes.put(wish)
        if not wish.done.wait(LONGEST_S + 0.3):
            return Committed(None)
        return wish.outcome

    def _run(self) -> None:
        while (wish := self._wishes.get()) is not None:
            batch = {wish.put.key: [wish]}
            while len(batch) < WRITES_A_COMMIT:
                try:
                    more = self._wishes.get_nowait()
                except queue.Empty:
                    break
                if more is None:
                    self._wishes.put(None)
                    break
                batch.setdefault(more.put.key, []).append(more)
            groups = [wishes for wishes in batch.values() if _in_time(wishes)]
            guarded("intake commit", partial(self._commit, groups))

    def _commit(self, groups: list[list[_Wish]]) -> None:
        if not groups:
            return
        compares = tuple(Compare(group[0].put.key, Revision(0)) for group in groups)
        result = self._kv.commit(compares, tuple(group[0].put for group in groups))
        if isinstance(result, Failure):
            fault = result.failure()
            sent = fault.kind is FaultKind.AMBIGUOUS
            log(Event.COMMIT_FAILED, jobs=len(groups), sent=sent, reason=fault.reason)
            outcome = Committed(None if sent else False, sent)
        elif result.unwrap().succeeded:
            outcome = Committed(True, revision=result.unwrap().revision)
        elif len(groups) == 1:
            outcome = Committed(True)
        else:
            # Some of the keys exist: each on its own tells which.
            for group in groups:
                self._commit([group])
            return
        for group in groups:
            _tell(group, outcome)


def _in_time(wishes: list[_Wish]) -> bool:
    """Refuse what has waited for so long that its caller has gone: it was never sent."""
    if time.monotonic() <= max(wish.until for wish in wishes):
        return True
    _tell(wishes, Committed(False, sent=False))
    return False


def _tell(wishes: list[_Wish], outcome: Committed) -> None:
    for wish in wishes:
        wish.outcome = outcome
        wish.done.set()
