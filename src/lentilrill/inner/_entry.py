"""Messages between entry hosts: their status, accepted jobs, and queries about jobs."""

import secrets
from typing import Annotated

import msgspec

from lentilrill.ids import EndpointId, JobId, PoolId, QueueId, WorkspaceId

__all__ = [
    "MAX_STATUS_AGE_S",
    "Configured",
    "HostNews",
    "JobAccepted",
    "JobAsk",
    "JobCancelled",
    "JobDoubted",
    "JobTold",
    "PoolPressure",
    "ReleaseAsk",
    "ReleaseState",
    "ReleaseTold",
    "WorkspaceLoad",
    "WorkspaceLoads",
    "new_asker",
]

MAX_STATUS_AGE_S = 1.6
"""Time for which a host's status is valid: five send intervals, so that a few messages may be
lost."""
MAX_ID_CHARACTERS = 255
ASKER_BYTES = 8
"""Length of the random identity of what sends queries."""


def new_asker() -> str:
    """Return a random identity, which tells queries from those of a former process or owner."""
    return secrets.token_hex(ASKER_BYTES)


class WorkspaceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a pool by one workspace; integers, as they are encoded in the fewest bytes.

    :param owed: work of jobs within its rate that can meet their deadline, in tenths of a core
        second.
    :param beyond: the same of jobs beyond its rate.
    :param overdue: work of jobs that can no longer meet their deadline, in tenths of a core second.
    :param within_rate: decayed number of its jobs within its rate, in hundredths.
    """

    workspace: WorkspaceId
    owed: int = 0
    beyond: int = 0
    overdue: int = 0
    within_rate: int = 0


class WorkspaceLoads(msgspec.Struct, frozen=True, array_like=True):
    """Load of a pool by workspace, with the room that it has.

    :param is_short: whether jobs wait for room and not all of them can meet their deadline.
    :param present_cpu: capacity that serves now, in thousandths of a core.
    :param coming_cpu: capacity that is expected to arrive.
    :param listed: the workspaces with the most work and those with the most jobs.
    :param rest_owed: ``owed`` of all other workspaces together.
    """

    is_short: bool
    present_cpu: int
    coming_cpu: int
    listed: tuple[WorkspaceLoad, ...] = ()
    rest_owed: int = 0


class PoolPressure(msgspec.Struct, frozen=True, tag=True):
    """Load of a pool, as reported by its owner.

    :param wait_s: seconds of work queued ahead of a new job, at the rate of the whole pool.
    :param waiting_by_queue: number of accepted jobs of which no task has started; ``None`` if the
        owner may not know all accepted jobs.
    :param token: the owner's fencing token.
    :param need: hosts needed to meet the deadlines of the pool's current and forecast work.
    :param hosts: number of endpoints that accept tasks.
    :param idle: endpoints on which nothing has run for a while.
    :param late_wait_s: seconds of overdue work: work of jobs that can no longer meet their
        deadline.
    :param late: endpoints that run only overdue jobs.
    :param firm: as ``need``, without the forecast.
    :param light: endpoints beyond the pool's need that can be drained cheaply, since their tasks
        could run on other endpoints of the pool; the one that loses the least work first.
    :param workspaces: load by workspace; ``None`` if the deployment has no workspaces.
    """

    pool: Annotated[PoolId, msgspec.Meta(max_length=MAX_ID_CHARACTERS)]
    wait_s: float
    waiting_by_queue: dict[QueueId, int] | None
    token: int
    need: float = 0.0
    hosts: int = 0
    idle: tuple[EndpointId, ...] = ()
    late_wait_s: float = 0.0
    late: tuple[EndpointId, ...] = ()
    firm: float = 0.0
    light: tuple[EndpointId, ...] = ()
    workspaces: WorkspaceLoads | None = None


class HostNews(msgspec.Struct, frozen=True, tag=True):
    """Status of an entry host, which it sends to the other entry hosts.

    :param store_silent_s: seconds since the store last answered the sender.
    :param version: version of the sender's configuration.
    :param takes_over: whether the sender can take over a shard at the moment.
    :param asks: whether the receiver is to answer with its own status.
    :param sent_s: time of sending by the sender's clock; 0 if not given.
    """

    store_silent_s: float
    version: int
    pools: tuple[PoolPressure, ...] = ()
    takes_over: bool = False
    asks: bool = False
    sent_s: float = 0.0


class Configured(msgspec.Struct, frozen=True, tag=True):
    """A configuration as stored, sent to a host that has an older version."""

    version: int
    value: bytes


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """A committed job, sent to its pool's owner, which need not wait for its store watch."""

    pool: PoolId
    job: JobId
    value: bytes
    revision: int


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """A job whose cancellation was committed."""

    pool: PoolId
    job: JobId


class JobDoubted(msgspec.Struct, frozen=True, tag=True):
    """A job whose commit got no answer. It may be stored, so no host may reject it."""

    job: Annotated[JobId, msgspec.Meta(max_length=MAX_ID_CHARACTERS)]


class JobAsk(msgspec.Struct, frozen=True, tag=True):
    """Request to a pool's owner for a job's state.

    :param asker: random identity of the process that asks; numbers of requests begin anew in each.
    """

    ask: int
    pool: PoolId
    job: JobId
    asker: str = ""


class JobTold(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`JobAsk`.

    :param is_owner: whether the answering process owns the pool; if not, ``state`` has no meaning.
    :param state: name of the job's state; empty if the owner has no such job.
    :param workspace: workspace that the job belongs to; empty if none.
    :param cause: why the job failed; empty if it hasn't.
    :param asker: :attr:`JobAsk.asker`; empty if the owner runs an earlier version.
    """

    ask: int
    is_owner: bool
    state: str = ""
    workspace: str = ""
    cause: str = ""
    asker: str = ""


class ReleaseAsk(msgspec.Struct, frozen=True, tag=True):
    """Request to a pool's owner to drain an endpoint, so that its host can be removed.

    :param cancel: whether to cancel an earlier request, since the host is to stay.
    :param asker: random identity of the fleet's owner that asks; numbers of requests begin anew in
        each.
    """

    ask: int
    pool: PoolId
    endpoint: EndpointId
    cancel: bool = False
    asker: str = ""


class ReleaseState:
    """Values of :attr:`ReleaseTold.state`."""

    WAIT = "wait"
    BLOCKED = "blocked"
    """The pool can't spare the endpoint, which goes on getting tasks."""
    FREE = "free"
    NOT_OWNER = "not-owner"


class ReleaseTold(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`ReleaseAsk`.

    :param state: one of :class:`ReleaseState`.
    :param reason: what the release waits for.
    :param asker: :attr:`ReleaseAsk.asker`; empty if the owner runs an earlier version.
    """

    ask: int
    endpoint: EndpointId
    state: str
    reason: str = ""
    asker: str = ""
