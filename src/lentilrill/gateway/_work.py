"""One accepted request, and how its run ended."""

import msgspec

from lentilrill.gateway._heading import Heading
from lentilrill.gateway._plans import Holder
from lentilrill.gateway._problems import Problem
from lentilrill.ids import RequestId

__all__ = ["Ending", "Refused", "Streamed", "Whole", "Work"]


class Work(msgspec.Struct, frozen=True):
    """One accepted request.

    :param body: the whole body; ``None`` if it is streamed, and so can be sent only once.
    :param prefix: first part of a streamed body, read before a slot was asked for.
    :param start_by: monotonic seconds by which the job must have started.
    :param answer_by: monotonic seconds by which the caller must be answered.
    :param forwarded: whether another zone's gateway sent it.
    :param claimed: whether its key, if it has one, is this request's.
    """

    request: RequestId
    holder: Holder
    heading: Heading
    idempotent: bool
    body: bytes | None
    prefix: bytes
    start_by: float
    answer_by: float
    forwarded: bool
    claimed: bool

    @property
    def repeatable(self) -> bool:
        """Whether the job may be sent again although it may have run."""
        return self.idempotent and self.body is not None


class Whole(msgspec.Struct, frozen=True):
    """The endpoint gave a whole answer, which is held here."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    length: int | None = None


class Streamed(msgspec.Struct, frozen=True):
    """The endpoint's answer went to the caller while it was read.

    :param whole: whether the endpoint's answer came to its end.
    """

    status: int
    content_type: str
    whole: bool


class Refused(msgspec.Struct, frozen=True):
    """There is no answer of the job."""

    problem: Problem


Ending = Whole | Streamed | Refused
