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

LONGEST_RUN_S = 900.0


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Asks the pool's scheduler for one slot.

    Idempotent: the same request asked again keeps its place, or has its grant repeated.

    :param urgency: rank of the urgency class, 0 first.
    :param wait_s: seconds from now within which the job must start.
    :param reply_to: inner address of the asking gateway.
    :param avoid: hosts on which earlier attempts failed.
    :param answer_s: seconds from now until which the job may run.
    :param spillable: whether a gateway of another zone may take the job instead.
    :param insist: the asked process said before that it does not schedule the pool, but the
        sender finds no other; serve it all the same.
    """

    request: RequestId
    pool: PoolId
    plan: PlanId
    urgency: int
    wait_s: float
    reply_to: str
    avoid: tuple[HostId, ...] = ()
    answer_s: float = LONGEST_RUN_S
    spillable: bool = True
    insist: bool = False


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """The caller left or the gateway gave up: forget the ask, or free its grant unused."""

    request: RequestId
    pool: PoolId


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """One slot of ``host`` is the request's until its gateway reports it done.

    :param epoch: names this run of the scheduler; grants of another are reconciled by reports.
    :param start_within_s: seconds after receipt within which the job must be sent.
    """

    request: RequestId
    pool: PoolId
    grant: GrantId
    host: HostId
    epoch: int
    start_within_s: float


class Refusal(Enum):
    """Why no slot is given."""

    QUEUE_FULL = "queue_full"
    PLAN_LIMIT = "plan_limit"
    TOO_LATE = "too_late"
    """The job could not start within its wait."""
    NO_HOSTS = "no_hosts"
    """The pool has no host here that may take it."""
    NOT_SCHEDULER = "not_scheduler"
    """The asked process does not schedule this pool; ask again."""


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The final answer to an ask.

    :param retry_after_s: seconds after which a new try makes sense; ``None`` for never.
    :param spill: zone that has free slots of the pool, if any.
    """

    request: RequestId
    pool: PoolId
    refusal: Refusal
    retry_after_s: float | None = None
    spill: ZoneId | None = None


class Verdict(Enum):
    """How a granted job ended, as far as the scheduler needs to know."""

    OK = "ok"
    """The endpoint gave a whole answer, whatever its status below 500."""
    ERROR = "error"
    """The endpoint answered with a status of 500 or above."""
    UNREACHABLE = "unreachable"
    """No connection could be opened; nothing was sent."""
    BROKEN = "broken"
    """The exchange broke after bytes went out."""
    LEAVING = "leaving"
    """The endpoint said that it is leaving."""
    UNUSED = "unused"
    """The grant was not used."""


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The grant is over.

    :param run_s: seconds from sending to the whole answer.
    """

    pool: PoolId
    grant: GrantId
    host: HostId
    plan: PlanId
    verdict: Verdict
    run_s: float


class Held(msgspec.Struct, frozen=True):
    """One grant that a gateway still holds.

    :param answer_s: seconds from now until which its job may run.
    """

    grant: GrantId
    host: HostId
    plan: PlanId
    answer_s: float = LONGEST_RUN_S


class HeldAsk(msgspec.Struct, frozen=True, tag="held_ask"):
    """A new scheduler asks a gateway for the grants of the pool that it holds."""

    pool: PoolId
    reply_to: str


class HeldGrants(msgspec.Struct, frozen=True, tag="held_grants"):
    """All grants of a pool that the sender holds; told to a new scheduler, and now and then.

    A grant that a gateway does not list, although it was given long ago, ended without its
    report arriving. A scheduler that took over grants a host's slots only after it heard from
    every living gateway of the zone, or after its rebuild time.
    """

    pool: PoolId
    grants: tuple[Held, ...]


class GrantCopy(msgspec.Struct, frozen=True, tag="grant_copy"):
    """Grants that a scheduler's process holds itself, told to the next process in line.

    :param held: grants that began, or all of them.
    :param ended: grants that are over.
    :param whole: whether grants that are not in ``held`` are over.
    """

    pool: PoolId
    held: tuple[Held, ...] = ()
    ended: tuple[GrantId, ...] = ()
    whole: bool = False


class PoolLoad(msgspec.Struct, frozen=True, tag="pool_load"):
    """How busy a pool is in the sender's zone, told to its schedulers in other zones.

    :param free: slots that nothing waits for.
    :param wait_s: seconds until an ask of now would start.
    :param ejected: hosts that the sender's scheduler has ejected.
    """

    pool: PoolId
    zone: ZoneId
    free: int
    wait_s: float
    ejected: int
