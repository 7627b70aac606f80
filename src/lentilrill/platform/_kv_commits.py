"""Commits to the platform's store, sent again if that is safe and no answer came."""

import time

from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.platform._kv_answers import StoreAnswers
from lentilrill.platform._kv_wire import (
    NO_EFFECT_STATUSES,
    OK,
    PRECONDITION_FAILED,
    Committed,
    decode_found,
    encode_txn,
)
from lentilrill.store import (
    CallGuard,
    Compare,
    DeleteRange,
    Effect,
    Item,
    Priority,
    Put,
    Transport,
    TxnAnswer,
)

__all__ = ["CALL_TIMEOUT_S", "Commits"]

CALL_TIMEOUT_S = 0.7
"""Timeout of one call: almost three times the latency of a slow store, 0.25 s."""
FIRST_COMMIT_TIMEOUT_S = 0.35
"""Timeout of a commit that can safely be sent again: slightly above a slow store's latency."""


class Commits:
    """Sends transactions, once or, if a repetition has no further effect, twice."""

    def __init__(self, transport: Transport, guard: CallGuard, answers: StoreAnswers) -> None:
        self._transport = transport
        self._guard = guard
        self._answers = answers

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold; ``AMBIGUOUS`` if the answer was lost."""
        body = encode_txn(compares, writes)
        if not _fails_if_repeated(compares, writes):
            return self._commit(body, priority, CALL_TIMEOUT_S)[0]
        # The timeout follows the latency, so that a slow store does not get each commit twice.
        first_timeout_s = min(
            CALL_TIMEOUT_S, max(FIRST_COMMIT_TIMEOUT_S, 2 * self._answers.expected_latency_s)
        )
        first, was_answered = self._commit(body, priority, first_timeout_s)
        if was_answered or _fault_kind(first) is not FaultKind.AMBIGUOUS:
            return first
        again, _ = self._commit(body, priority, CALL_TIMEOUT_S)
        if isinstance(again, Failure):
            return first
        answer = again.unwrap()
        if answer.succeeded:
            return again
        revision = _stored_revision(compares, writes, answer.found)
        return Success(TxnAnswer(True, revision)) if revision else first

    def _commit(
        self, body: bytes, priority: Priority, timeout_s: float
    ) -> tuple[Result[TxnAnswer, Fault], bool]:
        """Send a commit once; return its result and whether the store answered."""
        was_answered = False

        def attempt(remaining_s: float) -> Result[TxnAnswer, Fault]:
            nonlocal was_answered
            started = time.monotonic()
            response = self._transport.request(
                "store.commit", Effect.ONCE, "POST", "/kv-txn", body, min(timeout_s, remaining_s)
            )
            was_answered = not isinstance(response, Failure)
            if isinstance(response, Failure):
                return response
            self._answers.record_latency(started)
            status, data, peer = response.unwrap()
            if status == PRECONDITION_FAILED:
                self._answers.record_answer()
                return Success(TxnAnswer(False, Revision(0), decode_found(data)))
            decoded = self._answers.decode("store.commit", status, data, peer, Committed)
            if isinstance(decoded, Failure) and (status == OK or status not in NO_EFFECT_STATUSES):
                # The commit may have taken effect despite an error status or a malformed answer.
                fault = decoded.failure()
                return Failure(Fault(fault.step, peer, FaultKind.AMBIGUOUS, fault.reason))
            return decoded.map(lambda done: TxnAnswer(True, Revision(done.revision)))

        result = self._guard.call("store.commit", Effect.ONCE, priority, attempt)
        return result, was_answered


def _fault_kind(result: Result[TxnAnswer, Fault]) -> FaultKind | None:
    return result.failure().kind if isinstance(result, Failure) else None


def _fails_if_repeated(
    compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...]
) -> bool:
    """Return whether a repeated transaction fails, because it writes only keys that it compares."""
    compared = {compare.key for compare in compares}
    return bool(writes) and all(
        isinstance(write, Put) and write.key in compared for write in writes
    )


def _stored_revision(
    compares: tuple[Compare, ...], writes: tuple[Put | DeleteRange, ...], found: tuple[Item, ...]
) -> Revision:
    """Return the revision at which all ``writes`` were stored together; 0 if they were not."""
    item_by_key = {item.key: item for item in found}
    before_by_key = {compare.key: compare.revision for compare in compares}
    revisions = set()
    for write in writes:
        item = item_by_key.get(write.key)
        if item is None or isinstance(write, DeleteRange) or item.value != write.value:
            return Revision(0)
        if item.revision <= before_by_key[write.key]:
            return Revision(0)
        revisions.add(item.revision)
    return revisions.pop() if len(revisions) == 1 else Revision(0)
