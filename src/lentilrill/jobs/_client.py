"""The gateway's side of claims: asks the shard's owner, and tells it the outcomes."""

import queue
import threading
import time

import msgspec

from lentilrill.ids import RequestId
from lentilrill.inner import (
    Batch,
    ClaimAnswer,
    ClaimAsk,
    ClaimState,
    Node,
    OutcomeAck,
    OutcomeNote,
)
from lentilrill.jobs._contract import Claim, ClaimResult, Recorded
from lentilrill.jobs._shards import owner_of, shard_of
from lentilrill.membership import MembershipList
from lentilrill.telemetry import Event, log

__all__ = ["ClaimClient"]

ASK_AGAIN_S = 0.25
NOTE_AGAIN_S = 0.5
LAST_NOTES_S = 3.0
NOTES = 20_000
"""Outcomes that wait for an owner; the oldest is dropped, and its key stays in progress."""
UNAVAILABLE_RETRY_S = 2.0


class _Pending(msgspec.Struct):
    note: OutcomeNote
    next_s: float
    until_s: float


class ClaimClient:
    """Claims keys with their owners, over a protocol whose messages may be lost.

    :param shards: how many shards the keys are spread over; the same in every process.
    :param retention_s: seconds for which telling an outcome is tried.
    """

    def __init__(self, node: Node, roster: MembershipList, shards: int, retention_s: float) -> None:
        self._node = node
        self._roster = roster
        self._shards = shards
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._acked = threading.Condition(self._lock)
        self._answers_by_request: dict[RequestId, queue.SimpleQueue[ClaimAnswer]] = {}
        self._pending_by_request: dict[RequestId, _Pending] = {}
        self._closed = threading.Event()
        self._task = threading.Thread(target=self._resend, name="claim-notes", daemon=True)

    def start(self) -> None:
        """Begin to hear answers and to repeat what was not acknowledged."""
        self._node.on(ClaimAnswer, self._on_answer)
        self._node.on(OutcomeAck, self._on_ack)
        self._task.start()

    def close(self) -> None:
        """Wait a moment until all outcomes are acknowledged, then end the task.

        Guard against a planned stop that leaves the keys of the last jobs in progress for
        hours: their outcomes are on their way when the last caller is answered.
        """
        with self._acked:
            self._acked.wait_for(lambda: not self._pending_by_request, LAST_NOTES_S)
        self._closed.set()
        if self._task.is_alive():
            self._task.join()

    @property
    def untold(self) -> int:
        """Outcomes whose owner did not acknowledge them yet."""
        return len(self._pending_by_request)

    def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim the key with its shard's owner; without an answer in time: ``UNAVAILABLE``."""
        answers: queue.SimpleQueue[ClaimAnswer] = queue.SimpleQueue()
        with self._lock:
            self._answers_by_request[claim.request] = answers
        try:
            answer = self._ask(claim, answers, time.monotonic() + timeout_s)
        finally:
            with self._lock:
                del self._answers_by_request[claim.request]
        if answer is None or answer.state in (ClaimState.UNAVAILABLE, ClaimState.NOT_OWNER):
            # The claim may be committed although its answer was lost. The job is not sent, so
            # the key is given back, or its owner would call it in progress for hours.
            self.release(claim)
            after_s = (answer and answer.retry_after_s) or UNAVAILABLE_RETRY_S
            return ClaimResult(ClaimState.UNAVAILABLE, retry_after_s=after_s)
        recorded = None
        if answer.state is ClaimState.RECORDED:
            recorded = Recorded(answer.status, answer.content_type, answer.body)
        return ClaimResult(answer.state, recorded, answer.retry_after_s)

    def record(self, claim: Claim, recorded: Recorded) -> None:
        """Keep the job's answer for repeats of the key."""
        self._tell(
            OutcomeNote(
                request=claim.request,
                shard=self._shard(claim),
                plan=claim.plan,
                key=claim.key,
                ran=True,
                status=recorded.status,
                content_type=recorded.content_type,
                body=recorded.body,
            )
        )

    def release(self, claim: Claim) -> None:
        """Give the key back: no byte of the job reached an endpoint."""
        shard = self._shard(claim)
        self._tell(OutcomeNote(claim.request, shard, claim.plan, claim.key, ran=False))

    def _shard(self, claim: Claim) -> int:
        return shard_of(claim.plan, claim.key, self._shards)

    def _ask(
        self, claim: Claim, answers: "queue.SimpleQueue[ClaimAnswer]", until_s: float
    ) -> ClaimAnswer | None:
        shard = self._shard(claim)
        ask = ClaimAsk(
            claim.request, shard, claim.plan, claim.key, claim.fingerprint, self._node.address
        )
        last = None
        while (left_s := until_s - time.monotonic()) > 0:
            owner = owner_of(shard, self._roster)
            if owner is not None:
                self._node.send(owner.inner, ask)
            try:
                last = answers.get(timeout=min(left_s, ASK_AGAIN_S))
            except queue.Empty:
                continue
            if last.state is not ClaimState.NOT_OWNER:
                return last
            # The asked process believes in another owner: they agree once both have heard of
            # the same members.
            self._closed.wait(min(left_s, ASK_AGAIN_S))
        return last

    def _tell(self, note: OutcomeNote) -> None:
        now = time.monotonic()
        with self._lock:
            if len(self._pending_by_request) >= NOTES:
                dropped = next(iter(self._pending_by_request))
                del self._pending_by_request[dropped]
                log(Event.OUTCOME_DROPPED, request=dropped)
            self._pending_by_request[note.request] = _Pending(
                note, now + NOTE_AGAIN_S, now + self._retention_s
            )
        self._send(note)

    def _send(self, note: OutcomeNote) -> None:
        owner = owner_of(note.shard, self._roster)
        if owner is not None:
            self._node.send(owner.inner, note)

    def _resend(self) -> None:
        while not self._closed.wait(NOTE_AGAIN_S):
            now = time.monotonic()
            for pending in self._due(now):
                self._send(pending.note)

    def _due(self, now: float) -> list[_Pending]:
        due: list[_Pending] = []
        with self._lock:
            for request, pending in list(self._pending_by_request.items()):
                if now >= pending.until_s:
                    del self._pending_by_request[request]
                    log(Event.OUTCOME_DROPPED, request=request)
                elif now >= pending.next_s:
                    pending.next_s = now + NOTE_AGAIN_S
                    due.append(pending)
        return due

    def _on_answer(self, batch: Batch, answer: ClaimAnswer) -> None:
        with self._lock:
            answers = self._answers_by_request.get(answer.request)
        if answers is not None:
            answers.put(answer)

    def _on_ack(self, batch: Batch, ack: OutcomeAck) -> None:
        with self._lock:
            self._pending_by_request.pop(ack.request, None)
            if not self._pending_by_request:
                self._acked.notify_all()
