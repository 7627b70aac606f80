"""Messages between entry hosts: their status, accepted jobs, and queries about jobs."""

import msgspec

from lentilrill.ids import EndpointId, JobId, PoolId, QueueId

__all__ = [
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
]


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
    """

    pool: PoolId
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

    job: JobId


class JobAsk(msgspec.Struct, frozen=True, tag=True):
    """Request to a pool's owner for a job's state."""

    ask: int
    pool: PoolId
    job: JobId


class JobTold(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`JobAsk`.

    :param is_owner: whether the answering process owns the pool; if not, ``state`` has no meaning.
    :param state: name of the job's state; empty if the owner has no such job.
    :param workspace: workspace that the job belongs to; empty if none.
    :param cause: why the job failed; empty if it hasn't.
    """

    ask: int
    is_owner: bool
    state: str = ""
    workspace: str = ""
    cause: str = ""


class ReleaseAsk(msgspec.Struct, frozen=True, tag=True):
    """Request to a pool's owner to drain an endpoint, so that its host can be removed.

    :param cancel: whether to cancel an earlier request, since the host is to stay.
    """

    ask: int
    pool: PoolId
    endpoint: EndpointId
    cancel: bool = False


class ReleaseState:
    """Values of :attr:`ReleaseTold.state`."""

    WAIT = "wait"
    FREE = "free"
    NOT_OWNER = "not-owner"


class ReleaseTold(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`ReleaseAsk`.

    :param state: one of :class:`ReleaseState`.
    :param reason: what the release waits for.
    """

    ask: int
    endpoint: EndpointId
    state: str
    reason: str = ""
