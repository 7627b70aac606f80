"""Rounds of a task that must go on whatever one of them meets."""

from collections.abc import Callable

from lentilrill.telemetry._events import Event, log

__all__ = ["guarded"]


def guarded(task: str, round_: Callable[[], object]) -> bool:
    """Run one round of a task; return whether it ended without an unexpected error.

    Guard against a task that is gone for good: an error that nobody foresaw would end its thread
    without a trace, and whatever it looked after would stand still. It is logged, and the caller
    goes on with the next round.
    """
    try:
        round_()
    except Exception as error:
        log(Event.TASK_FAILED, task=task, error=repr(error))
        return False
    return True
