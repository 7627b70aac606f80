"""The header that marks and authenticates jobs forwarded to another zone's gateway."""

import hashlib
import hmac
import time
from collections.abc import Callable

import msgspec

from lentilrill.ids import RequestId

__all__ = ["FORWARDED_HEADER", "GATEWAY_PROBLEM_HEADER", "ForwardingSigner", "ForwardingToken"]

FORWARDED_HEADER = "gateway-forwarded"
GATEWAY_PROBLEM_HEADER = "gateway-problem"
"""Set on a problem document created by a gateway; removed from the responses of endpoints."""
KEY_CONTEXT = b"lentilrill forwarded job\0"
MAX_AGE_S = 120.0
"""Maximum age of a token, including the clock difference of the two hosts."""


class ForwardingToken(msgspec.Struct, frozen=True, array_like=True):
    """Data about a forwarded job that one gateway sends to another.

    :param start_within_s: seconds left until the job must have started.
    :param answer_within_s: seconds left until the caller must be answered.
    """

    request: RequestId
    start_within_s: float
    answer_within_s: float


class ForwardingSigner:
    """Signs and verifies forwarding tokens with the system's inner secret key.

    A job with a valid token is accepted without a claim of its key, so a caller must not be able to
    forge one: only processes of the system have the secret. The token is bound to the request's
    method and target, and is refused once it is too old.
    """

    def __init__(self, secret: str, clock: Callable[[], float] = time.time) -> None:
        self._key = hashlib.sha256(KEY_CONTEXT + secret.encode()).digest()
        self._clock = clock

    def sign(self, forwarding_token: ForwardingToken, method: str, target: str) -> str:
        """Return the signed value of the header."""
        payload = f"{int(self._clock())};{msgspec.json.encode(forwarding_token).decode()}"
        return f"{self._mac(payload, method, target)};{payload}"

    def verify(self, value: str, method: str, target: str) -> ForwardingToken | None:
        """Return the token; ``None`` if its signature is invalid or it is too old."""
        mac, _, payload = value.partition(";")
        expected = self._mac(payload, method, target)
        if not hmac.compare_digest(expected.encode(), mac.encode("latin-1", "replace")):
            return None
        signed_at, _, encoded = payload.partition(";")
        if abs(self._clock() - int(signed_at)) > MAX_AGE_S:
            return None
        return msgspec.json.decode(encoded, type=ForwardingToken)

    def _mac(self, payload: str, method: str, target: str) -> str:
        message = f"{method}\n{target}\n{payload}".encode("latin-1", "replace")
        return hmac.new(self._key, message, hashlib.sha256).hexdigest()
