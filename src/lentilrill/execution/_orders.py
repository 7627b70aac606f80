"""Orders about runs, which wait in the queue of their endpoint's link."""

import time
from enum import Enum

from lentilrill.execution._tracking import Run, RunPhase
from lentilrill.telemetry import Event, log
from lentilrill.workloads import TaskId

__all__ = ["URGENCY_BY_KIND", "Order", "OrderKind"]


class OrderKind(Enum):
    """Kind of an order."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


URGENCY_BY_KIND = {OrderKind.STOP: 0, OrderKind.PACE: 1, OrderKind.START: 1}
"""Position in the queue, lowest first. Stops are time-critical and free the capacity that starts
need; behind the starts of an overloaded owner they would wait for seconds."""


class Order:
    """A queued order about one run of a task.

    :param run: the tracked run; ``None`` for a stop of an unknown run.
    :ivar sent_to_ms: start time of the endpoint's process that was known as it was last sent;
        ``None`` if it was not sent yet.
    """

    __slots__ = ("created_at", "kind", "number", "pace", "run", "sent_to_ms", "task")

    def __init__(
        self, kind: OrderKind, task: TaskId, number: int, run: Run | None = None, pace: int = 100
    ) -> None:
        self.kind = kind
        self.task = task
        self.number = number
        self.run = run
        self.pace = pace
        self.created_at = time.monotonic()
        self.sent_to_ms: int | None = None

    @classmethod
    def for_run(cls, kind: OrderKind, run: Run, pace: int = 100) -> "Order":
        """Return an order about a tracked run."""
        return cls(kind, run.task.id, run.number, run, pace)

    @classmethod
    def stop(cls, run: Run) -> "Order":
        """Return a stop of a tracked run, which counts as stopping from now on."""
        if run.phase is not RunPhase.STOPPING:
            _log_stop(run)
        run.phase = RunPhase.STOPPING
        run.give_up_start()
        run.stop_ordered_at = time.monotonic()
        return cls.for_run(OrderKind.STOP, run)


def _log_stop(run: Run) -> None:
    task = run.task
    log(
        Event.RUN_STOPPED,
        job=task.id.job,
        job_state=task.step.tracked_job.state.value,
        task=task.id,
        run=run.number,
        endpoint=run.endpoint,
    )
