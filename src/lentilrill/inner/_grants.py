"""Messages between gateways and pool schedulers."""

from enum import Enum

import msgspec

from lentilrill.ids import GrantId, HostId, PlanId, PoolId, RequestId, ZoneId

__all__ = [
    "Ask",
    "Cancel",
    "Done",
    "GrantCopy",
    "Granted",
    "Held",
    "HeldAsk",
    "HeldGrants",
    "PoolLoad",
    "Refusal",
    "Refused",
    "Verdict",
]

MAX_JOB_RUN_S = 900.0


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Request to a pool's scheduler for one slot.

    Idempotent: a repeated request keeps its place in the queue, or gets the same grant again.

    :param urgency: rank of the urgency class, 0 first.
    :param wait_s: seconds from now within which the job must start.
    :param reply_to: inner address of the asking gateway.
    :param avoid: hosts on which earlier attempts failed.
    :param answer_s: seconds from now within which the job must finish.
    :param spillable: whether a gateway of another zone may take the job instead.
    :param insist: whether to serve the request even if the receiver is not the pool's scheduler.
        Set after the receiver answered ``NOT_SCHEDULER`` and the sender found no other scheduler.
    """

    request: RequestId
    pool: PoolId
    plan: PlanId
    urgency: int
    wait_s: float
    reply_to: str
    avoid: tuple[HostId, ...] = ()
    answer_s: float = MAX_JOB_RUN_S
    spillable: bool = True
    insist: bool = False


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancellation of a request, since the caller disconnected or the gateway gave up.

    The scheduler removes the request from its queue, or frees its unused grant.
    """

    request: RequestId
    pool: PoolId


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """Grant of one slot of ``host``, which the request holds until its gateway sends ``Done``.

    :param epoch: identifies this run of the scheduler; grants of earlier runs are reconciled
        from the gateways' reports.
    :param start_within_s: seconds after receipt within which the job must be sent.
    """

    request: RequestId
    pool: PoolId
    grant: GrantId
    host: HostId
    epoch: int
    start_within_s: float


class Refusal(Enum):
    """Reason why no slot is granted."""

    QUEUE_FULL = "queue_full"
    PLAN_LIMIT = "plan_limit"
    TOO_LATE = "too_late"
    """The job could not start within its wait."""
    NO_HOSTS = "no_hosts"
    """The pool has no host in this zone that may take the job."""
    NOT_SCHEDULER = "not_scheduler"
    """The receiver does not schedule this pool; ask another process."""


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Final negative answer to a request for a slot.

    :param retry_after_s: seconds after which a retry may succeed; ``None`` for never.
    :param spill: another zone in which the pool has free slots, if any.
    """

    request: RequestId
    pool: PoolId
    refusal: Refusal
    retry_after_s: float | None = None
    spill: ZoneId | None = None


class Verdict(Enum):
    """How a granted job ended, in the detail that the scheduler needs."""

    OK = "ok"
    """The endpoint gave a complete answer with a status below 500."""
    ERROR = "error"
    """The endpoint answered with a status of 500 or above."""
    UNREACHABLE = "unreachable"
    """No connection could be opened; nothing was sent."""
    BROKEN = "broken"
    """The connection failed after part of the request was sent."""
    LEAVING = "leaving"
    """The endpoint answered that it is leaving."""
    UNUSED = "unused"
    """The grant was not used."""


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The end of a grant.

    :param run_s: seconds from sending the request to receiving the complete answer.
    """

    pool: PoolId
    grant: GrantId
    host: HostId
    plan: PlanId
    verdict: Verdict
    run_s: float


class Held(msgspec.Struct, frozen=True):
    """One grant that a gateway holds.

    :param answer_s: seconds from now within which its job must finish.
    """

    grant: GrantId
    host: HostId
    plan: PlanId
    answer_s: float = MAX_JOB_RUN_S


class HeldAsk(msgspec.Struct, frozen=True, tag="held_ask"):
    """Request of a new scheduler to a gateway for the grants of the pool that the gateway holds."""

    pool: PoolId
    reply_to: str


class HeldGrants(msgspec.Struct, frozen=True, tag="held_grants"):
    """All grants of a pool that the sender holds, sent to a new scheduler and periodically.

    If an old grant is not listed, it has ended and its ``Done`` message was lost. A scheduler that
    took over grants a host's slots only once every living gateway of the zone has reported, or
    its rebuild time has passed.
    """

    pool: PoolId
    grants: tuple[Held, ...]


class GrantCopy(msgspec.Struct, frozen=True, tag="grant_copy"):
    """Copy of a scheduler's own grants, sent to the process that would succeed it.

    :param held: new grants, or all grants if ``whole``.
    :param ended: grants that have ended.
    :param whole: whether ``held`` is complete, so that grants missing from it have ended.
    """

    pool: PoolId
    held: tuple[Held, ...] = ()
    ended: tuple[GrantId, ...] = ()
    whole: bool = False


class PoolLoad(msgspec.Struct, frozen=True, tag="pool_load"):
    """Load of a pool in the sender's zone, sent to its schedulers in other zones.

    :param free: free slots for which no request waits.
    :param wait_s: expected wait of a new request in seconds.
    :param ejected: hosts that the sender's scheduler has ejected.
    """

    pool: PoolId
    zone: ZoneId
    free: int
    wait_s: float
    ejected: int
