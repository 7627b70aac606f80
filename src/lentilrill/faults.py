"""The error value of a ``returns`` result.

Exceptions are caught in the function that calls the failing code; packages report errors to each
other as a :class:`Fault`.
"""

from enum import Enum

import msgspec

__all__ = ["Fault", "FaultKind"]


class FaultKind(Enum):
    """Kind of a failure, by what the caller of the failed step can do about it."""

    UNAVAILABLE = "unavailable"
    """The peer did not answer, or is temporarily unable to; a retry may succeed."""
    AMBIGUOUS = "ambiguous"
    """The request may have taken effect, but its answer was lost."""
    CONFLICT = "conflict"
    """Another writer or a newer revision won."""
    INVALID = "invalid"
    """The input is invalid; a retry can't succeed."""
    REFUSED = "refused"
    """A limit, budget or rule currently forbids the step."""
    EXHAUSTED = "exhausted"
    """The deadline or the call budget ran out before the step began."""


class Fault(msgspec.Struct, frozen=True):
    """One failed step.

    :param step: the step that failed, as ``package.verb``, such as ``platform.txn``.
    :param peer: address or name of the peer process; empty if there is none.
    :param kind: what the caller can do about it.
    :param reason: human-readable description, in one line.
    :param retry_after_s: seconds after which a retry may succeed; ``None`` if unknown.
    :param unsent: whether no part of the request was sent, so that it can't have taken effect.
    """

    step: str
    peer: str
    kind: FaultKind
    reason: str
    retry_after_s: float | None = None
    unsent: bool = False

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {self.reason} ({self.kind.value})"
