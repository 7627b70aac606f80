"""An accepted job and its possible results."""

import msgspec

from lentilrill.gateway._plans import PlanAccess
from lentilrill.gateway._problems import Problem
from lentilrill.gateway._request_head import RequestHead
from lentilrill.ids import RequestId

__all__ = ["AcceptedJob", "BufferedResponse", "JobResult", "ProblemResponse", "StreamedResponse"]


class AcceptedJob(msgspec.Struct, frozen=True):
    """A job that was accepted from a caller or from another zone's gateway.

    :param body: the complete body; ``None`` if it is streamed and can be sent only once.
    :param body_prefix: first part of a streamed body, read before a slot is requested.
    :param start_by: deadline for the start of the job, in monotonic seconds.
    :param answer_by: deadline for the answer to the caller, in monotonic seconds.
    :param forwarded: whether another zone's gateway sent it.
    :param claimed: whether this request holds the claim of its idempotency key, if it has one.
    """

    request: RequestId
    access: PlanAccess
    request_head: RequestHead
    idempotent: bool
    body: bytes | None
    body_prefix: bytes
    start_by: float
    answer_by: float
    forwarded: bool
    claimed: bool

    @property
    def repeatable(self) -> bool:
        """Whether the job may be sent again even if it may have run already."""
        return self.idempotent and self.body is not None


class BufferedResponse(msgspec.Struct, frozen=True):
    """A complete response of the endpoint, held in memory."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    length: int | None = None


class StreamedResponse(msgspec.Struct, frozen=True):
    """A response that was relayed to the caller while it was read from the endpoint.

    :param complete: whether the endpoint's response was read to its end.
    """

    status: int
    content_type: str
    complete: bool


class ProblemResponse(msgspec.Struct, frozen=True):
    """There is no response of an endpoint; the caller gets a problem document."""

    problem: Problem


JobResult = BufferedResponse | StreamedResponse | ProblemResponse
