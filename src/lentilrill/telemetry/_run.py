"""Running one iteration of a task that must survive unexpected errors."""

from collections.abc import Callable

from lentilrill.telemetry._events import Event, log

__all__ = ["run_and_log_errors"]


def run_and_log_errors(task: str, iteration: Callable[[], object]) -> bool:
    """Run one iteration of a task; return whether it ended without an exception.

    An exception is logged and the caller continues with the next iteration. Otherwise an
    unexpected error would silently end the thread, and the work of the task would stop for good.
    """
    try:
        iteration()
    except Exception as error:
        log(Event.TASK_FAILED, task=task, error=repr(error))
        return False
    return True
