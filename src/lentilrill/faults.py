"""The error value that travels in a ``returns`` result.

Exceptions stay inside the function that met them; what crosses a package is a :class:`Fault`.
"""

from enum import Enum

import msgspec

__all__ = ["Fault", "FaultKind"]


class FaultKind(Enum):
    """What a caller of the failed step can do about it."""

    UNAVAILABLE = "unavailable"
    """The peer did not answer, or answered that it can't now; a later try may help."""
    AMBIGUOUS = "ambiguous"
    """The request may have taken effect, but its answer was lost."""
    CONFLICT = "conflict"
    """Another writer or a newer revision won."""
    INVALID = "invalid"
    """The input is wrong and stays wrong."""
    REFUSED = "refused"
    """A limit, budget or rule forbids it now."""
    EXHAUSTED = "exhausted"
    """The deadline or the call budget ran out before the step began."""


class Fault(msgspec.Struct, frozen=True):
    """One failed step.

    :param step: the step that failed, as ``package.verb``, such as ``platform.txn``.
    :param peer: the address or process at the other end; empty where there is none.
    :param kind: what can be done about it.
    :param reason: one line for people.
    :param retry_after_s: seconds after which another try makes sense; ``None`` if unknown.
    :param unsent: whether nothing of the request left this process: it surely has no effect.
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
