"""What the request path needs of claims of idempotency keys."""

from typing import Protocol

import msgspec

from lentilrill.ids import PlanId, RequestId
from lentilrill.inner import ClaimState

__all__ = ["Claim", "ClaimResult", "Claims", "Recorded"]


class Claim(msgspec.Struct, frozen=True):
    """A key that a request wants for itself.

    :param fingerprint: digest of method, path and body, by which another job under the same key
        is told apart.
    """

    request: RequestId
    plan: PlanId
    key: str
    fingerprint: str


class Recorded(msgspec.Struct, frozen=True):
    """The kept answer of a keyed job; ``body`` is ``None`` if it was too large to keep."""

    status: int
    content_type: str
    body: bytes | None


class ClaimResult(msgspec.Struct, frozen=True):
    """What became of a claim; only ``CLAIMED`` permits a dispatch."""

    state: ClaimState
    recorded: Recorded | None = None
    retry_after_s: float | None = None


class Claims(Protocol):
    """At most one dispatch for each key within its retention."""

    def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim the key with its shard's owner; without an answer in time: ``UNAVAILABLE``."""

    def record(self, claim: Claim, recorded: Recorded) -> None:
        """Keep the job's answer for repeats of the key."""

    def release(self, claim: Claim) -> None:
        """Give the key back: no byte of the job reached an endpoint."""
