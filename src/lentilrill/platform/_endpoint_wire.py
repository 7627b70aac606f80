"""What endpoints send and receive, decoded into the product's types."""

from typing import Any

import msgspec

from lentilrill.execution import EndKind, PollResult, ReportedRun, RunEnd, Verdict
from lentilrill.ids import JobId
from lentilrill.store import ODD
from lentilrill.workloads import TaskId

__all__ = ["Clock", "decode_clock", "decode_look", "refusal", "task_name"]

CHECKED = (*ODD, ValueError, TypeError, IndexError)

VERDICT_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OUTDATED,
    "late": Verdict.LEASE_EXPIRED,
    "room": Verdict.NO_CAPACITY,
    "ticket": Verdict.NO_TICKET,
}
KIND_BY_WORD = {kind.value: kind for kind in EndKind}


class Clock(msgspec.Struct):
    """Head of each answer.

    :param reason: why an order was refused.
    """

    clock_ms: int = 0
    born: int = 0
    reason: str = ""


class _Lists(msgspec.Struct):
    clock_ms: int = 0
    # Start of the endpoint's life, in milliseconds since the epoch.
    born: int = 0
    # Rows of task, run number, checkpoint, percent, and a rough load.
    running: list[list[Any]] = []
    # Rows of a cursor, task, run number, how it ended, checkpoint.
    ended: list[list[Any]] = []


def task_name(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def _task(name: object) -> TaskId:
    job, occurrence, step, index = str(name).split(".")
    return TaskId(JobId(job), int(occurrence), int(step), int(index))


def decode_clock(data: bytes) -> Clock:
    """Return the head of an answer; an empty one if there is none that can be read."""
    try:
        return msgspec.json.decode(data, type=Clock)
    except CHECKED:
        return Clock()


def refusal(status: int, data: bytes) -> Verdict:
    """Return what an answer with an error status means."""
    if status == 409:
        return VERDICT_BY_REASON.get(decode_clock(data).reason, Verdict.INVALID)
    if status == 421:
        return Verdict.WRONG_INSTANCE
    if status in (429, 503):
        return Verdict.BUSY
    return Verdict.INVALID if 400 <= status < 500 else Verdict.UNKNOWN


def decode_look(data: bytes) -> PollResult:
    """Return what a look found; ``UNKNOWN`` if its body can't be read.

    Guard against rows that were cut or garbled: one that can't be read makes the whole look
    worthless, since a run that is left out would count as ended.
    """
    try:
        lists = msgspec.json.decode(data, type=_Lists)
        running = tuple(_seen(row) for row in lists.running)
        ended = tuple(_end(row) for row in lists.ended)
    except CHECKED as error:
        return PollResult(Verdict.UNKNOWN, reason=f"odd answer: {error}")
    return PollResult(Verdict.DONE, lists.clock_ms, lists.born, running, ended)


def _seen(row: list[Any]) -> ReportedRun:
    load = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return ReportedRun(_task(row[0]), int(row[1]), str(row[2] or ""), int(row[3]), load)


def _end(row: list[Any]) -> RunEnd:
    kind = KIND_BY_WORD.get(str(row[3]), EndKind.UNEXPECTED)
    return RunEnd(int(row[0]), _task(row[1]), int(row[2]), kind, str(row[4] or ""))
