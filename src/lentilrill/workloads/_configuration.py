"""What operators have configured: queues, pools, limits, and waves of upkeep."""

import msgspec

from lentilrill.ids import EndpointId, HostId, PoolId, QueueId, RackId, ZoneId
from lentilrill.workloads._job import Resources

__all__ = ["Advice", "Configuration", "EndpointEntry", "Limits", "PoolEntry", "Queue", "Wave"]


class Advice(msgspec.Struct, frozen=True):
    """A queue's policy service, which says which endpoints may run a step.

    :param decide_ms: time of one answer.
    :param per_endpoint_ms: time added for each endpoint asked about.
    :param valid_ms: how long a ticket holds.
    """

    decide_ms: int = 0
    per_endpoint_ms: int = 0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """One queue of jobs.

    :param host: value of the ``Host`` header that selects it, without a port.
    :param prefix: path prefix that selects it.
    :param priority: 0 goes first.
    :param objective_ms: latency objective, on top of the stretched work.
    :param stretch: how many times its longest chain of work a job may take.
    """

    id: QueueId
    host: str
    prefix: str
    pool: PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0
    advice: Advice | None = None


class PoolEntry(msgspec.Struct, frozen=True):
    """One pool of hosts.

    :param standby: its hosts are off, and free of charge, until they are moved.
    :param guarded: its endpoints refuse what does not fit.
    """

    id: PoolId
    standby: bool = False
    guarded: bool = False


class Limits(msgspec.Struct, frozen=True):
    """Limits for callers."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, in full.

    :param version: rises with each change, in uneven steps.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolEntry, ...]
    limits: Limits = Limits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request: same host, longest prefix of ``path``."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue(self, queue_id: QueueId) -> Queue | None:
        """Return a queue by its id."""
        return next((queue for queue in self.queues if queue.id == queue_id), None)

    def pool(self, pool_id: PoolId) -> PoolEntry | None:
        """Return a pool by its id."""
        return next((pool for pool in self.pools if pool.id == pool_id), None)


class EndpointEntry(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in the store.

    :param draining: it leaves soon and takes no new task.
    :param host: host on which it lives; empty if it does not say.
    :param born_ms: start of this life, in milliseconds since the epoch; 0 if it does not say.
    :param leaves_in_ms: least time left while it drains; 0 if it does not say.
    """

    id: EndpointId
    pool: PoolId
    address: str
    zone: ZoneId
    room: Resources = Resources()
    labels: tuple[str, ...] = ()
    draining: bool = False
    host: HostId = HostId("")
    born_ms: int = 0
    leaves_in_ms: int = 0

    @property
    def rack(self) -> RackId:
        """The rack's label, which comes last."""
        return RackId(self.labels[-1] if self.labels else "")


class Wave(msgspec.Struct, frozen=True):
    """Hosts that are due for upkeep.

    :param within_s: seconds in which the wave is to be through.
    :param most_at_once: hosts that may be down for this wave at the same time.
    """

    number: int
    hosts: tuple[HostId, ...]
    within_s: float
    most_at_once: int
