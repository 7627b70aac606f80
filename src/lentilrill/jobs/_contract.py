"""Interface of the request path to claims of idempotency keys."""

from typing import Protocol

import msgspec

from lentilrill.ids import PlanId, RequestId
from lentilrill.inner import ClaimState

__all__ = ["Claim", "ClaimResult", "Claims", "RecordedResponse"]


class Claim(msgspec.Struct, frozen=True):
    """A request's claim of an idempotency key.

    :param fingerprint: digest of method, path and body, which detects the use of one key for
        different jobs.
    """

    request: RequestId
    plan: PlanId
    key: str
    fingerprint: str


class RecordedResponse(msgspec.Struct, frozen=True):
    """The recorded response of a keyed job; ``body`` is ``None`` if it was too large to keep."""

    status: int
    content_type: str
    body: bytes | None


class ClaimResult(msgspec.Struct, frozen=True):
    """Result of a claim; only ``CLAIMED`` permits a dispatch."""

    state: ClaimState
    recorded: RecordedResponse | None = None
    retry_after_s: float | None = None


class Claims(Protocol):
    """Claims keys, so that each is dispatched at most once within its retention time."""

    def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim the key at its shard's owner; return ``UNAVAILABLE`` without a timely answer."""

    def record(self, claim: Claim, recorded: RecordedResponse) -> None:
        """Record the job's response for repeats of the key."""

    def release(self, claim: Claim) -> None:
        """Release the key of a job of which no byte reached an endpoint."""
