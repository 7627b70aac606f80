"""Starts of which a copy may still reach a later process of their endpoint."""

import time

import msgspec

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._run_leases import MAX_ORDER_DELAY_S
from lentilrill.execution._tracking import Run
from lentilrill.ids import EndpointId
from lentilrill.workloads import TaskId

__all__ = ["LateStarts"]

STOP_INTERVAL_S = 0.5
"""Interval at which a stop is sent until it is answered."""


class _LateStart(msgspec.Struct):
    """A start of a run that is over.

    :param started_ms: start time of the process that knows that the run is over; 0 if none does.
    :param until: monotonic time until which a copy may be carried out.
    """

    number: int
    started_ms: int
    until: float
    stop_sent_at: float = 0.0


class LateStarts:
    """Has an endpoint's new process refuse late copies of the starts that its previous one got.

    A process refuses a start whose run was stopped or has ended there. The next one under the same
    id knows of no run, so the owner stops there what it must not start any more.

    All methods are called under the lock of the pool's owner.
    """

    def __init__(self) -> None:
        self._by_task_by_endpoint: dict[EndpointId, dict[TaskId, _LateStart]] = {}

    def on_restart(self, link: EndpointLink, listed: set[tuple[TaskId, int]]) -> list[Order]:
        """Return stops of the tracked runs that must not begin in a new process.

        They count as runs until the process has answered.

        :param listed: runs that the new process has begun.
        """
        runs = [run for run in link.runs_by_key.values() if run.key not in listed]
        pending = [run for run in runs if run.may_start_late]
        for run in pending:
            run.confirmed_at = None
        return [Order.stop(run) for run in pending]

    def on_over(self, link: EndpointLink, run: Run) -> None:
        """Remember a run that is over, if a copy of its start got no answer."""
        if not run.may_start_late:
            return
        self._remove_expired(time.monotonic())
        by_task = self._by_task_by_endpoint.setdefault(link.entry.id, {})
        known = by_task.get(run.task.id)
        if known is not None and known.number > run.number:
            return
        started_ms = link.started_ms if run.confirmed_at is not None else 0
        by_task[run.task.id] = _LateStart(run.number, started_ms, run.sent_at + MAX_ORDER_DELAY_S)

    def stops(self, link: EndpointLink) -> list[Order]:
        """Return stops of runs that are over, but unknown to the endpoint's present process."""
        by_task = self._by_task_by_endpoint.get(link.entry.id)
        if not by_task:
            return []
        now = time.monotonic()
        stops = []
        for task, late in by_task.items():
            is_known = late.started_ms == link.started_ms
            if is_known or now >= late.until or now < late.stop_sent_at + STOP_INTERVAL_S:
                continue
            late.stop_sent_at = now
            stops.append(Order(OrderKind.STOP, task, late.number))
        return stops

    def on_stopped(self, link: EndpointLink, order: Order) -> None:
        """Note that the endpoint's present process refuses a start from now on."""
        late = self._by_task_by_endpoint.get(link.entry.id, {}).get(order.task)
        if late is not None and late.number <= order.number:
            late.started_ms = link.started_ms

    def _remove_expired(self, now: float) -> None:
        for endpoint, by_task in list(self._by_task_by_endpoint.items()):
            for task in [task for task, late in by_task.items() if now >= late.until]:
                del by_task[task]
            if not by_task:
                del self._by_task_by_endpoint[endpoint]
