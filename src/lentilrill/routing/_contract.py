"""What the request path needs of routing: slots to run jobs on, and a ledger of sends."""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import GrantId, HostId, PoolId, RequestId, ZoneId
from lentilrill.inner import Refusal, Verdict
from lentilrill.settings import Entitlement, Plan

__all__ = ["Decline", "Job", "Slot", "Slots", "Where"]


class Job(msgspec.Struct, frozen=True):
    """One accepted request that wants to run.

    :param deadline: monotonic seconds by which it must have started.
    :param run_s: run time in seconds that the caller declares; schedulers go by what they learn.
    :param answer_by: monotonic seconds until which it may run; 0 if unknown.
    :param avoid: hosts on which earlier attempts failed.
    :param spillable: whether another zone may run it; not set for a job that already spilled.
    """

    request: RequestId
    plan: Plan
    entitlement: Entitlement
    deadline: float
    run_s: float = 0.0
    answer_by: float = 0.0
    avoid: tuple[HostId, ...] = ()
    spillable: bool = True


class Where(Enum):
    """What stands behind a slot."""

    ENDPOINT = "endpoint"
    ZONE = "zone"
    """A gateway of another zone, which queues the job at its own scheduler."""


class Slot(msgspec.Struct, frozen=True):
    """Leave to send one job to ``address``, already entered in the ledger of sends.

    :param address: ``ip:port`` of the endpoint, or of another zone's gateway.
    :param send_by: monotonic seconds by which the job must be sent.
    """

    request: RequestId
    pool: PoolId
    where: Where
    address: str
    grant: GrantId
    host: HostId
    zone: ZoneId
    send_by: float


class Decline(msgspec.Struct, frozen=True):
    """Why there is no slot; the final answer to the caller.

    :param retry_after_s: seconds after which a new try makes sense; ``None`` for never.
    """

    refusal: Refusal
    reason: str
    retry_after_s: float | None = None


class Slots(Protocol):
    """Slots for jobs; each acquired slot is released exactly once."""

    def acquire(self, job: Job) -> Result[Slot, Decline]:
        """Wait for a slot, at most until the job's deadline or until it is abandoned."""

    def abandon(self, request: RequestId) -> None:
        """The caller is gone: make a waiting :meth:`acquire` return at once with a decline."""

    def start(self, slot: Slot) -> Result[None, Fault]:
        """Enter the send in the ledger; called directly before the first byte goes out.

        A fault means that the host is being withdrawn or the grant is past ``send_by``: nothing
        may be sent; release the slot with :attr:`Verdict.UNUSED` and acquire another.
        """

    def release(self, slot: Slot, verdict: Verdict, run_s: float) -> None:
        """Give the slot back; nothing of the job is on its way to the host any more."""
