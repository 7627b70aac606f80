"""Messages between gateways and the owners of idempotency-key shards."""

from enum import Enum

import msgspec

from lentilrill.ids import PlanId, RequestId

__all__ = ["ClaimAnswer", "ClaimAsk", "ClaimState", "OutcomeAck", "OutcomeNote"]


class ClaimState(Enum):
    """State of a key at its owner."""

    CLAIMED = "claimed"
    """The request holds the claim: it alone may dispatch the job."""
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    MISMATCH = "mismatch"
    """The key was used with another request body or path."""
    UNAVAILABLE = "unavailable"
    """The owner can't make claims at the moment; nothing ran."""
    NOT_OWNER = "not_owner"


class ClaimAsk(msgspec.Struct, frozen=True, tag="claim_ask"):
    """Request to a shard's owner to claim a key. Idempotent for the same request.

    :param fingerprint: digest of method, path and body.
    """

    request: RequestId
    shard: int
    plan: PlanId
    key: str
    fingerprint: str
    reply_to: str


class ClaimAnswer(msgspec.Struct, frozen=True, tag="claim_answer"):
    """Result of a claim.

    :param status: recorded HTTP status, when ``state`` is ``RECORDED``.
    :param body: recorded body; ``None`` if it was too large to keep.
    """

    request: RequestId
    state: ClaimState
    retry_after_s: float | None = None
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class OutcomeNote(msgspec.Struct, frozen=True, tag="outcome_note"):
    """Outcome of a claimed job.

    :param ran: whether any byte reached an endpoint; ``False`` releases the key.
    """

    request: RequestId
    shard: int
    plan: PlanId
    key: str
    ran: bool
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class OutcomeAck(msgspec.Struct, frozen=True, tag="outcome_ack"):
    """Acknowledgement that an outcome was committed, or that its claim no longer exists."""

    request: RequestId
