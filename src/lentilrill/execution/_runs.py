"""Runs of tasks, as tracked by a pool's owner."""

import time
from enum import Enum
from typing import TYPE_CHECKING

from lentilrill.execution._start_zones import UNKNOWN_ZONE
from lentilrill.ids import EndpointId
from lentilrill.workloads import Resources, TaskId

if TYPE_CHECKING:
    from lentilrill.execution._tracking import TrackedTask

__all__ = ["FULL_PACE_PERCENT", "MAX_REPORT_AGE_S", "Run", "RunPhase"]

FULL_PACE_PERCENT = 100
MAX_REPORT_AGE_S = 1.6
"""Age of an endpoint's report of a run up to which the run counts as at work: twice the wait of a
poll."""


class RunPhase(Enum):
    """Phase of a run, as last reported to the owner."""

    ORDERED = "ordered"
    """Its start order is queued, in flight or unanswered; the run may be in progress."""
    IN_PROGRESS = "under-way"
    STOPPING = "stopping"


class Run:
    """One start of a task on one endpoint, which reserves capacity there until its end is known.

    :ivar started_at: when the endpoint executed the start order; ``None`` for an adopted run and
        for one that resumes from a checkpoint, since their durations are not representative.
    :ivar progressed_at: time of the last observed progress, derived from the endpoint's clock.
    :ivar reported_at: when its endpoint last reported it, derived from the endpoint's clock.
    :ivar expires_ms: expiry of the lease in its start order, on the endpoint's clock. Resent
        start orders carry the same expiry, so that none can be executed after it.
    :ivar placed_at: when the run was placed.
    :ivar sent_at: when its start was last sent; 0 if never.
    :ivar stop_ordered_at: when it was last ordered to stop; 0 if never.
    :ivar send_count: number of times the start order was sent.
    :ivar answer_count: number of these that were answered.
    :ivar zone: availability zone of the endpoint.
    :ivar is_unconfirmed: a start order got no answer, so it may have been executed or may still be.
    :ivar is_noted_late: its start was noted only once its endpoint fell silent.
    :ivar finished_task: whether this run finished its task; false for a later one.
    :ivar confirmed_at: when the start order was confirmed as executed, or a stop order as
        preventing the run. A poll sent later that does not list the run proves that it has ended.
    """

    __slots__ = (
        "answer_count",
        "confirmed_at",
        "endpoint",
        "expires_ms",
        "finished_task",
        "is_noted_late",
        "is_unconfirmed",
        "load",
        "number",
        "pace",
        "percent",
        "phase",
        "placed_at",
        "progressed_at",
        "reported_at",
        "reserved",
        "send_count",
        "sent_at",
        "started_at",
        "stop_ordered_at",
        "task",
        "zone",
    )

    def __init__(
        self, task: "TrackedTask", number: int, endpoint: EndpointId, reserved: Resources
    ) -> None:
        self.task = task
        self.number = number
        self.endpoint = endpoint
        self.zone = UNKNOWN_ZONE
        self.reserved = reserved
        self.phase = RunPhase.ORDERED
        self.placed_at = self.progressed_at = self.reported_at = time.monotonic()
        self.send_count = self.answer_count = 0
        self.confirmed_at: float | None = None
        self.started_at: float | None = None
        self.percent = 0
        self.load = 0.0
        self.pace = FULL_PACE_PERCENT
        self.is_unconfirmed = self.is_noted_late = self.finished_task = False
        self.expires_ms = 0
        self.sent_at = 0.0
        self.stop_ordered_at = 0.0

    def give_up_start(self) -> None:
        """Note that its start, if not confirmed, has failed, so that its gang can't be complete."""
        if self.confirmed_at is None:
            self.task.step.given_up_number = self.number

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and run number, which identify the run on its endpoint."""
        return self.task.id, self.number

    @property
    def is_unsent(self) -> bool:
        """Whether its start order has not been sent; never sent once the run was stopped."""
        return not self.send_count and self.confirmed_at is None

    @property
    def was_found(self) -> bool:
        """Whether this owner knows of it by a report alone: a previous owner has started it."""
        return not self.send_count and self.confirmed_at is not None

    @property
    def may_start_late(self) -> bool:
        """Whether a copy of its start got no answer, and so may be carried out later."""
        return self.send_count > self.answer_count

    @property
    def began_at(self) -> float:
        """When it began, or when its start was sent, found or placed, whichever is known."""
        return self.started_at or self.sent_at or self.confirmed_at or self.placed_at

    def is_at_work(self, now: float) -> bool:
        """Whether the run has started up and is not being stopped, by a recent report.

        An endpoint reports a run that is being stopped as working until it has ended. An older
        report proves nothing: the owner or the endpoint is late, and the run may have ended since.

        :param now: the monotonic clock.
        """
        is_recent = now - self.reported_at <= MAX_REPORT_AGE_S
        return is_recent and self.phase is RunPhase.IN_PROGRESS and self.percent >= 100
