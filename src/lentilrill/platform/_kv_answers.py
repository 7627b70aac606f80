"""What the store's answers show: when it last answered, and how long an answer takes."""

import time
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.platform._kv_wire import OK, fault_of
from lentilrill.store import DECODE_ERRORS

__all__ = ["StoreAnswers"]

LATENCY_DECAY = 0.9
"""Factor by which the expected latency decays with each faster answer."""

A = TypeVar("A", bound=msgspec.Struct)


class StoreAnswers:
    """Decodes answers of the store and keeps their times.

    :ivar expected_latency_s: latency to expect of the next call.
    """

    def __init__(self) -> None:
        self._last_answer = time.monotonic()
        self.expected_latency_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds since the store last answered a call or a watch successfully."""
        return time.monotonic() - self._last_answer

    def record_answer(self) -> None:
        """Record that the store has just answered."""
        self._last_answer = time.monotonic()

    def record_latency(self, started: float) -> None:
        """Update the expected latency with the latency of an answer."""
        self.expected_latency_s = max(
            time.monotonic() - started, self.expected_latency_s * LATENCY_DECAY
        )

    def decode(
        self, step: str, status: int, data: bytes, peer: str, kind: type[A]
    ) -> Result[A, Fault]:
        """Return a decoded answer, or the fault that its status or its body shows."""
        if status != OK:
            return Failure(fault_of(step, status, peer))
        try:
            answer = msgspec.json.decode(data, type=kind)
        except DECODE_ERRORS as error:
            return Failure(Fault(step, peer, FaultKind.INVALID, f"malformed answer: {error}"))
        self.record_answer()
        return Success(answer)
