"""Decoding of the answers of endpoints into the product's types."""

from typing import Any

import msgspec

from lentilrill.execution import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.ids import JobId
from lentilrill.store import DECODE_ERRORS
from lentilrill.workloads import TaskId

__all__ = ["AnswerHeader", "decode_header", "decode_poll", "encode_task", "refusal_verdict"]

ANSWER_ERRORS = (*DECODE_ERRORS, ValueError, TypeError, IndexError)

VERDICT_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OUTDATED,
    "late": Verdict.LEASE_EXPIRED,
    "room": Verdict.NO_CAPACITY,
    "ticket": Verdict.NO_TICKET,
}
MAX_LISTED_ENDS = 500
"""Ends that an endpoint lists in one answer; more are listed once these are acknowledged."""
END_KIND_BY_VALUE = {kind.value: kind for kind in EndKind}


class AnswerHeader(msgspec.Struct):
    """Fields that all answers have.

    :param reason: reason of a refused order.
    """

    clock_ms: int = 0
    born: int = 0
    reason: str = ""


class _PollAnswer(msgspec.Struct):
    clock_ms: int = 0
    # Start time of the endpoint, in milliseconds since the epoch.
    born: int = 0
    # Rows: task, run number, checkpoint, percent, approximate load.
    running: list[list[Any]] = []
    # Rows: cursor, task, run number, kind of end, checkpoint.
    ended: list[list[Any]] = []


def encode_task(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def _decode_task(name: object) -> TaskId:
    job, occurrence, step, index = str(name).split(".")
    return TaskId(JobId(job), int(occurrence), int(step), int(index))


def decode_header(data: bytes) -> AnswerHeader:
    """Return the common fields of an answer; defaults if it is malformed."""
    try:
        return msgspec.json.decode(data, type=AnswerHeader)
    except ANSWER_ERRORS:
        return AnswerHeader()


def refusal_verdict(status: int, data: bytes) -> Verdict:
    """Return the verdict for an answer with an error status."""
    if status == 409:
        return VERDICT_BY_REASON.get(decode_header(data).reason, Verdict.INVALID)
    if status == 421:
        return Verdict.WRONG_INSTANCE
    if status in (429, 503):
        return Verdict.BUSY
    return Verdict.INVALID if 400 <= status < 500 else Verdict.UNKNOWN


def decode_poll(data: bytes) -> PollResult:
    """Return the result of a poll; its verdict is ``UNKNOWN`` if the body is malformed.

    One malformed row invalidates the whole result, because a run that is missing from the list
    counts as ended.
    """
    try:
        answer = msgspec.json.decode(data, type=_PollAnswer)
        running = tuple(_decode_run(row) for row in answer.running)
        ended = tuple(_decode_end(row) for row in answer.ended)
    except ANSWER_ERRORS as error:
        return PollResult(Verdict.UNKNOWN, reason=f"malformed answer: {error}")
    return PollResult(
        Verdict.DONE,
        answer.clock_ms,
        answer.born,
        running,
        ended,
        is_complete=len(ended) < MAX_LISTED_ENDS,
    )


def _decode_run(row: list[Any]) -> ReportedRun:
    load = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return ReportedRun(_decode_task(row[0]), int(row[1]), str(row[2] or ""), int(row[3]), load)


def _decode_end(row: list[Any]) -> RunEnd:
    kind = END_KIND_BY_VALUE.get(str(row[3]), EndKind.UNEXPECTED)
    return RunEnd(int(row[0]), _decode_task(row[1]), int(row[2]), kind, str(row[4] or ""))
