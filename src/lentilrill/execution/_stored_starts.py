"""Starts of placed runs, some of which are sent only after the job's progress is stored."""

from collections.abc import Iterable, Mapping

from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._tracking import Run
from lentilrill.ids import EndpointId
from lentilrill.workloads import StepId, TaskId

__all__ = ["StoredStarts"]


class StoredStarts:
    """Starts that a later owner has to know of, so that they are stored before they are sent.

    All methods are called under the lock of the pool's owner.
    """

    def __init__(self, crashes: CrashBook) -> None:
        self._crashes = crashes
        self._waiting: list[tuple[EndpointLink, Run, int]] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def orders_of(
        self, placed: Iterable[tuple[EndpointId, Run]], links: Mapping[EndpointId, EndpointLink]
    ) -> list[tuple[EndpointLink, Order]]:
        """Track placed runs; return the starts that may be sent, those of earlier rounds too."""
        runs = []
        unstored = set()
        for endpoint, run in placed:
            link = links[endpoint]
            link.runs_by_key[run.key] = run
            run.zone = link.entry.zone
            runs.append((link, run))
            if self._prepare_start(link, run):
                unstored.add(_start_of(run))
        orders = []
        for link, run in runs:
            if _start_of(run) in unstored:
                self._waiting.append((link, run, run.task.step.tracked_job.version))
            else:
                orders.append((link, Order.for_run(OrderKind.START, run)))
        return orders + self._stored()

    def _prepare_start(self, link: EndpointLink, run: Run) -> bool:
        """Note what a later owner has to know of a start.

        :return: whether the record of its job has to be written before it is sent.
        """
        tracked_job = run.task.step.tracked_job
        if run.task.is_stored_first:
            self._crashes.record_attempt(link, run.task)
        is_permitted = tracked_job.start_zones.permits(run.zone)
        if not is_permitted:
            tracked_job.start_zones.is_awaited = True
            tracked_job.mark_dirty()
        return run.task.is_stored_first or not is_permitted

    def _stored(self) -> list[tuple[EndpointLink, Order]]:
        waiting, self._waiting = self._waiting, []
        orders = []
        for link, run, version in waiting:
            if run.key not in link.runs_by_key:
                continue
            if run.task.step.tracked_job.stored_version >= version:
                orders.append((link, Order.for_run(OrderKind.START, run)))
            else:
                self._waiting.append((link, run, version))
        return orders


def _start_of(run: Run) -> tuple[StepId | TaskId, int]:
    """Return what is started together: a run, or all members of a gang."""
    step = run.task.step
    return (step.id if step.spec.gang else run.task.id), run.number
