"""Interface between the request path and routing: slots to run jobs on."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import GrantId, HostId, PoolId, RequestId, ZoneId
from lentilrill.inner import Refusal, Verdict
from lentilrill.settings import Entitlement, Plan

__all__ = ["Decline", "Job", "Slot", "SlotTarget", "Slots"]


class Job(msgspec.Struct, frozen=True):
    """One accepted request that needs a slot to run.

    :param deadline: monotonic seconds by which it must have started.
    :param run_s: run time in seconds that the caller declares; schedulers use measured run times.
    :param answer_by: monotonic seconds until which it may run; 0 if unknown.
    :param avoid: hosts on which earlier attempts failed.
    :param spillable: whether another zone may run it; false for a job that another zone forwarded.
    :param is_abandoned: whether its caller has disconnected, which may happen before
        :meth:`Slots.acquire` begins to wait.
    """

    request: RequestId
    plan: Plan
    entitlement: Entitlement
    deadline: float
    run_s: float = 0.0
    answer_by: float = 0.0
    avoid: tuple[HostId, ...] = ()
    spillable: bool = True
    is_abandoned: Callable[[], bool] = lambda: False


class SlotTarget(Enum):
    """Kind of process that a slot's job is sent to."""

    ENDPOINT = "endpoint"
    ZONE = "zone"
    """A gateway of another zone, which queues the job at its own scheduler."""


class Slot(msgspec.Struct, frozen=True):
    """Permission to send one job to ``address``.

    :param address: ``ip:port`` of the endpoint, or of another zone's gateway.
    :param send_by: monotonic seconds by which the job must be sent.
    """

    request: RequestId
    pool: PoolId
    target: SlotTarget
    address: str
    grant: GrantId
    host: HostId
    zone: ZoneId
    send_by: float


class Decline(msgspec.Struct, frozen=True):
    """Reason why a job gets no slot; the final answer to the caller.

    :param retry_after_s: seconds after which the caller may retry; ``None`` for never.
    """

    refusal: Refusal
    reason: str
    retry_after_s: float | None = None


class Slots(Protocol):
    """Slots for jobs; each acquired slot is released exactly once."""

    def acquire(self, job: Job) -> Result[Slot, Decline]:
        """Wait for a slot, at most until the job's deadline or until it is abandoned."""

    def abandon(self, request: RequestId) -> None:
        """Make a waiting :meth:`acquire` return a decline at once: the caller disconnected."""

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Register the send; call this directly before the first byte is sent.

        A fault means that the host is being withdrawn or the grant is past ``send_by``. Then
        send nothing, release the slot with :attr:`Verdict.UNUSED` and acquire another.
        """

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Release the slot. No bytes of the job may be in transit to the host any more."""
