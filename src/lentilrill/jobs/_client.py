"""The gateway's side of claims: sends claims and outcomes to the owners of the shards."""

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
from lentilrill.jobs._contract import Claim, ClaimResult, RecordedResponse
from lentilrill.jobs._shards import owner_of, shard_of
from lentilrill.membership import MembershipList
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["ClaimClient"]

CLAIM_RESEND_S = 0.25
OUTCOME_RESEND_S = 0.5
CLOSE_TIMEOUT_S = 3.0
MAX_PENDING_OUTCOMES = 20_000
"""Maximum of unacknowledged outcomes; above it the oldest is dropped, and its key stays claimed."""
UNAVAILABLE_RETRY_S = 2.0


class _PendingOutcome(msgspec.Struct):
    outcome: OutcomeNote
    resend_at: float
    expires_at: float


class ClaimClient:
    """Claims keys at their owners, over a protocol whose messages may be lost.

    :param shards: number of shards of the keys; the same in every process.
    :param retention_s: seconds for which an outcome is sent again until it is acknowledged.
    """

    def __init__(
        self, node: Node, membership: MembershipList, shards: int, retention_s: float
    ) -> None:
        self._node = node
        self._membership = membership
        self._shards = shards
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._all_acknowledged = threading.Condition(self._lock)
        self._answers_by_request: dict[RequestId, queue.SimpleQueue[ClaimAnswer]] = {}
        self._pending_by_request: dict[RequestId, _PendingOutcome] = {}
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._resend_loop, name="claim-notes", daemon=True)

    def start(self) -> None:
        """Register the message handlers and start to resend unacknowledged outcomes."""
        self._node.on(ClaimAnswer, self._on_answer)
        self._node.on(OutcomeAck, self._on_ack)
        self._thread.start()

    def close(self) -> None:
        """Wait a limited time until all outcomes are acknowledged, then stop the thread.

        The outcomes of the last jobs are not acknowledged yet when the last caller is answered.
        If a planned stop lost them, their keys would stay in progress for hours.
        """
        with self._all_acknowledged:
            self._all_acknowledged.wait_for(lambda: not self._pending_by_request, CLOSE_TIMEOUT_S)
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join()

    @property
    def unacknowledged_outcomes(self) -> int:
        """Number of outcomes that were not acknowledged yet."""
        return len(self._pending_by_request)

    def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim the key at its shard's owner; return ``UNAVAILABLE`` without a timely answer."""
        answers: queue.SimpleQueue[ClaimAnswer] = queue.SimpleQueue()
        with self._lock:
            self._answers_by_request[claim.request] = answers
        try:
            answer = self._request_claim(claim, answers, time.monotonic() + timeout_s)
        finally:
            with self._lock:
                del self._answers_by_request[claim.request]
        if answer is None or answer.state in (ClaimState.UNAVAILABLE, ClaimState.NOT_OWNER):
            # The claim may be committed although its answer was lost. The job is not sent, so
            # the key is released; otherwise it would stay in progress for hours.
            self.release(claim)
            after_s = (answer and answer.retry_after_s) or UNAVAILABLE_RETRY_S
            return ClaimResult(ClaimState.UNAVAILABLE, retry_after_s=after_s)
        recorded = None
        if answer.state is ClaimState.RECORDED:
            recorded = RecordedResponse(answer.status, answer.content_type, answer.body)
        return ClaimResult(answer.state, recorded, answer.retry_after_s)

    def record(self, claim: Claim, recorded: RecordedResponse) -> None:
        """Record the job's response for repeats of the key."""
        self._queue_outcome(
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
        """Release the key of a job of which no byte reached an endpoint."""
        shard = self._shard(claim)
        self._queue_outcome(OutcomeNote(claim.request, shard, claim.plan, claim.key, ran=False))

    def _shard(self, claim: Claim) -> int:
        return shard_of(claim.plan, claim.key, self._shards)

    def _request_claim(
        self, claim: Claim, answers: "queue.SimpleQueue[ClaimAnswer]", deadline: float
    ) -> ClaimAnswer | None:
        shard = self._shard(claim)
        ask = ClaimAsk(
            claim.request, shard, claim.plan, claim.key, claim.fingerprint, self._node.address
        )
        last_answer = None
        while (left_s := deadline - time.monotonic()) > 0:
            owner = owner_of(shard, self._membership)
            if owner is not None:
                self._node.send(owner.inner, ask)
            try:
                last_answer = answers.get(timeout=min(left_s, CLAIM_RESEND_S))
            except queue.Empty:
                continue
            if last_answer.state is not ClaimState.NOT_OWNER:
                return last_answer
            # The receiver computed another owner of the shard: both agree once they have
            # received the same membership.
            self._closed.wait(min(left_s, CLAIM_RESEND_S))
        return last_answer

    def _queue_outcome(self, outcome: OutcomeNote) -> None:
        now = time.monotonic()
        with self._lock:
            if len(self._pending_by_request) >= MAX_PENDING_OUTCOMES:
                dropped = next(iter(self._pending_by_request))
                del self._pending_by_request[dropped]
                log(Event.OUTCOME_DROPPED, request=dropped)
            self._pending_by_request[outcome.request] = _PendingOutcome(
                outcome, now + OUTCOME_RESEND_S, now + self._retention_s
            )
        self._send_outcome(outcome)

    def _send_outcome(self, outcome: OutcomeNote) -> None:
        owner = owner_of(outcome.shard, self._membership)
        if owner is not None:
            self._node.send(owner.inner, outcome)

    def _resend_loop(self) -> None:
        while not self._closed.wait(OUTCOME_RESEND_S):
            run_and_log_errors("claim-notes", self._resend_due)

    def _resend_due(self) -> None:
        for pending in self._take_due(time.monotonic()):
            self._send_outcome(pending.outcome)

    def _take_due(self, now: float) -> list[_PendingOutcome]:
        due: list[_PendingOutcome] = []
        with self._lock:
            for request, pending in list(self._pending_by_request.items()):
                if now >= pending.expires_at:
                    del self._pending_by_request[request]
                    log(Event.OUTCOME_DROPPED, request=request)
                elif now >= pending.resend_at:
                    pending.resend_at = now + OUTCOME_RESEND_S
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
                self._all_acknowledged.notify_all()
