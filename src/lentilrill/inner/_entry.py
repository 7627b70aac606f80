"""Messages between entry hosts: news of each other, accepted jobs, questions about jobs."""

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
    """How busy a pool is, from its owner.

    :param wait_s: seconds of work that goes before a new job, at the rate of the whole pool.
    :param waiting_by_queue: accepted jobs of which nothing has started.
    :param token: the owner's fencing token.
    :param need: hosts that its work needs to be done when it is due, also what is forecast.
    :param hosts: endpoints that take tasks.
    :param idle: endpoints on which nothing has run for a while.
    :param late_wait_s: seconds of work of jobs that can't be in time any more.
    :param late: endpoints on which only such jobs run.
    :param firm: as ``need``, without the forecast.
    :param light: endpoints beyond what the pool needs whose tasks could go on elsewhere in it, the
        one with the least to lose first.
    """

    pool: PoolId
    wait_s: float
    waiting_by_queue: dict[QueueId, int]
    token: int
    need: float = 0.0
    hosts: int = 0
    idle: tuple[EndpointId, ...] = ()
    late_wait_s: float = 0.0
    late: tuple[EndpointId, ...] = ()
    firm: float = 0.0
    light: tuple[EndpointId, ...] = ()


class HostNews(msgspec.Struct, frozen=True, tag=True):
    """What an entry host tells others of itself.

    :param store_silent_s: seconds since the store last answered it.
    :param version: version of the configuration in force there.
    :param takes_over: whether it can take over a shard now.
    :param asks: whether the receiver is to answer with its own news.
    :param sent_s: when it was sent, by the sender's clock; 0 if it does not say.
    """

    store_silent_s: float
    version: int
    pools: tuple[PoolPressure, ...] = ()
    takes_over: bool = False
    asks: bool = False
    sent_s: float = 0.0


class Configured(msgspec.Struct, frozen=True, tag=True):
    """A configuration as it stands in the store, for a host that has an older one."""

    version: int
    value: bytes


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """A job was committed; sent to the owner of its pool so that it needn't wait for its watch."""

    pool: PoolId
    job: JobId
    value: bytes
    revision: int


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """A job's cancelling was committed."""

    pool: PoolId
    job: JobId


class JobDoubted(msgspec.Struct, frozen=True, tag=True):
    """A job's commit got no answer: it may be stored, so that no host may refuse it."""

    job: JobId


class JobAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks a pool's owner for a job's state."""

    ask: int
    pool: PoolId
    job: JobId


class JobTold(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`JobAsk`.

    :param is_owner: whether the answering process owns the pool; if not, the rest says nothing.
    :param state: the state's name; empty if the owner knows no such job.
    """

    ask: int
    is_owner: bool
    state: str = ""


class ReleaseAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks a pool's owner to empty an endpoint, so that its host can be taken away.

    :param cancel: the host is not to be taken away after all.
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
    :param reason: what it waits for.
    """

    ask: int
    endpoint: EndpointId
    state: str
    reason: str = ""
