"""The header that marks and authenticates jobs forwarded to another zone's gateway."""

import hashlib
import hmac
import time
from collections.abc import Callable

import msgspec

from lentilrill.ids import RequestId

__all__ = ["FORWARDED", "GATEWAY_PROBLEM", "Forwarder", "Mark"]

FORWARDED = "gateway-forwarded"
GATEWAY_PROBLEM = "gateway-problem"
"""Marks a problem document created by a gateway; removed from the responses of endpoints."""
CONTEXT = b"lentilrill forwarded job\0"
SKEW_S = 120.0
"""Maximum age of a mark, including the clock difference of the two hosts."""


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """Data about a forwarded job that one gateway sends to another.

    :param start_within_s: seconds left until the job must have started.
    :param answer_within_s: seconds left until the caller must be answered.
    """

    request: RequestId
    start_within_s: float
    answer_within_s: float


class Forwarder:
    """Signs and verifies marks with the system's inner secret key.

    A job with a mark is accepted without a claim of its key, so a caller must not be able to
    forge one: only processes of the system have the secret. The mark is bound to the request's
    method and target, and is refused once it is too old.
    """

    def __init__(self, secret: str, clock: Callable[[], float] = time.time) -> None:
        self._key = hashlib.sha256(CONTEXT + secret.encode()).digest()
        self._clock = clock

    def sign(self, mark: Mark, method: str, target: str) -> str:
        """Return the signed value of the header."""
        text = f"{int(self._clock())};{msgspec.json.encode(mark).decode()}"
        return f"{self._mac(text, method, target)};{text}"

    def check(self, value: str, method: str, target: str) -> Mark | None:
        """Return the mark; ``None`` if its signature is invalid or it is too old."""
        mac, _, text = value.partition(";")
        known = self._mac(text, method, target)
        if not hmac.compare_digest(known.encode(), mac.encode("latin-1", "replace")):
            return None
        at, _, encoded = text.partition(";")
        if abs(self._clock() - int(at)) > SKEW_S:
            return None
        return msgspec.json.decode(encoded, type=Mark)

    def _mac(self, text: str, method: str, target: str) -> str:
        message = f"{method}\n{target}\n{text}".encode("latin-1", "replace")
        return hmac.new(self._key, message, hashlib.sha256).hexdigest()
