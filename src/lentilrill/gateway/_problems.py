"""Problem documents (RFC 9457), sent to callers in place of an endpoint's response."""

import math
import random
from enum import Enum

import msgspec

__all__ = ["CONTENT_TYPE", "Outcome", "Problem", "ProblemKind", "decode_outcome"]

CONTENT_TYPE = "application/problem+json"
URN_PREFIX = "urn:lentilrill:problem:"
RETRY_AFTER_JITTER = 0.25
"""Maximum random increase of Retry-After, as a fraction, so that retries are spread out."""


class Outcome(Enum):
    """Whether the job ran."""

    NOT_RUN = "not_run"
    """No byte of the job reached an endpoint."""
    UNKNOWN = "unknown"
    RAN = "ran"
    """The job ran and was answered before; the response was not kept and can't be replayed."""


class ProblemKind(Enum):
    """Kinds of problems: the last part of the URN, the HTTP status and the title."""

    MALFORMED = ("malformed", 400, "The request is malformed")
    TOKEN = ("token", 401, "The bearer token names no plan")
    SERVICE = ("service", 403, "The plan is not for this service")
    NO_SERVICE = ("no-service", 404, "There is no such service")
    METHOD = ("method", 405, "The method is not served")
    SLOW = ("slow", 408, "The request body did not arrive in time")
    IN_PROGRESS = ("in-progress", 409, "A request with this key is in progress")
    NOT_KEPT = ("answer-not-kept", 409, "The answer to this key was too large to keep")
    LENGTH = ("length", 411, "A long body needs a Content-Length")
    TOO_LARGE = ("too-large", 413, "The request is larger than the plan allows")
    MISMATCH = ("key-mismatch", 422, "The key was used for another request")
    PLAN_LIMIT = ("plan-limit", 429, "The plan's limit is reached")
    INTERNAL = ("internal", 500, "The gateway failed")
    LOST = ("lost", 502, "The endpoint gave no whole answer")
    UNREACHABLE = ("unreachable", 503, "No endpoint could be reached")
    BUSY = ("busy", 503, "The job can't start in time")
    CLAIM = ("claim", 503, "The key can't be claimed now")
    NOT_READY = ("not-ready", 503, "This entry host does not take jobs now")
    SILENT = ("silent", 504, "The endpoint did not answer in time")

    @property
    def urn(self) -> str:
        """The URN that identifies the problem type."""
        return URN_PREFIX + self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]

    @property
    def title(self) -> str:
        """The title of the problem type."""
        return self.value[2]


class Problem(msgspec.Struct, frozen=True):
    """A refusal or failure that is reported to a caller.

    :param retry_after_s: value of Retry-After before jitter; ``None`` to send no such header.
    """

    kind: ProblemKind
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the problem document."""
        return msgspec.json.encode(
            {
                "type": self.kind.urn,
                "title": self.kind.title,
                "status": self.kind.status,
                "detail": self.detail,
                "outcome": self.outcome.value,
            }
        )

    def headers(self) -> list[tuple[str, str]]:
        """Return the content type and, if set, Retry-After with jitter."""
        headers = [("Content-Type", CONTENT_TYPE)]
        if self.kind is ProblemKind.TOKEN:
            headers.append(("WWW-Authenticate", "Bearer"))
        if self.retry_after_s is not None:
            spread = self.retry_after_s * (1 + random.random() * RETRY_AFTER_JITTER)
            headers.append(("Retry-After", str(max(1, math.ceil(spread)))))
        return headers


class _Document(msgspec.Struct, frozen=True):
    outcome: Outcome


def decode_outcome(body: bytes) -> Outcome:
    """Return the outcome in another gateway's problem document; ``UNKNOWN`` if it has none."""
    try:
        return msgspec.json.decode(body, type=_Document).outcome
    except msgspec.MsgspecError:
        return Outcome.UNKNOWN
