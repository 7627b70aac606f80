"""Configuration by operators: queues, pools, limits, and waves of upkeep."""

import msgspec

from lentilrill.ids import EndpointId, HostId, PoolId, QueueId, RackId, ZoneId
from lentilrill.workloads._job import QueueTerms, Resources
from lentilrill.workloads._workspaces import Workspaces

__all__ = ["Advice", "Configuration", "EndpointEntry", "Limits", "PoolEntry", "Queue", "Wave"]


class Advice(msgspec.Struct, frozen=True):
    """Properties of a queue's policy service, which decides which endpoints may run a step.

    :param decide_ms: time for one decision.
    :param per_endpoint_ms: additional time for each endpoint in the request.
    :param valid_ms: how long a ticket is valid.
    """

    decide_ms: int = 0
    per_endpoint_ms: int = 0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """One queue of jobs.

    :param host: value of the ``Host`` header that selects it, without a port.
    :param prefix: path prefix that selects it.
    :param priority: 0 is the highest priority.
    :param objective_ms: latency objective, in addition to the stretched critical path.
    :param stretch: factor on the duration of a job's critical path that a job may take.
    :param public: whether callers need no key; its jobs belong to no workspace.
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
    public: bool = False

    @property
    def terms(self) -> QueueTerms:
        """What a job of this queue keeps of it."""
        return QueueTerms(
            self.host,
            self.prefix,
            self.priority,
            self.stretch,
            self.objective_ms,
            self.advice is not None,
        )


class PoolEntry(msgspec.Struct, frozen=True):
    """One pool of hosts.

    :param standby: whether its hosts are off, and free of charge, until they are moved.
    :param rejects_overload: whether its endpoints reject tasks that don't fit.
    """

    id: PoolId
    standby: bool = False
    rejects_overload: bool = False


class Limits(msgspec.Struct, frozen=True):
    """Limits for callers."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, in full.

    :param version: increases with each change, not necessarily by one.
    :param workspaces: ``None`` if the deployment has none, so that callers need no keys.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolEntry, ...]
    limits: Limits = Limits()
    workspaces: Workspaces | None = None

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with this host and the longest matching prefix of ``path``."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue(self, queue_id: QueueId) -> Queue | None:
        """Return the queue with this id, or ``None``."""
        return next((queue for queue in self.queues if queue.id == queue_id), None)

    @property
    def owned_pools(self) -> frozenset[PoolId]:
        """The pools that need an owner: a standby pool does only if a queue uses it."""
        used = {queue.pool for queue in self.queues}
        return frozenset(pool.id for pool in self.pools if not pool.standby or pool.id in used)

    def pool(self, pool_id: PoolId) -> PoolEntry | None:
        """Return the pool with this id, or ``None``."""
        return next((pool for pool in self.pools if pool.id == pool_id), None)


class EndpointEntry(msgspec.Struct, frozen=True):
    """Record that an endpoint registers in the store.

    :param capacity: total capacity for tasks.
    :param draining: whether it will leave soon and accepts no new tasks.
    :param host: host that it runs on; empty if not reported.
    :param started_ms: time of its last start, in milliseconds since the epoch; 0 if not reported.
    :param leaves_in_ms: minimum time until it leaves while draining; 0 if not reported.
    """

    id: EndpointId
    pool: PoolId
    address: str
    zone: ZoneId
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    draining: bool = False
    host: HostId = HostId("")
    started_ms: int = 0
    leaves_in_ms: int = 0

    @property
    def rack(self) -> RackId:
        """The rack of the endpoint, which is its last label."""
        return RackId(self.labels[-1] if self.labels else "")


class Wave(msgspec.Struct, frozen=True):
    """Hosts scheduled for upkeep together.

    :param within_s: seconds within which the wave should be completed.
    :param max_down: maximum hosts that may be down for this wave at the same time.
    """

    number: int
    hosts: tuple[HostId, ...]
    within_s: float
    max_down: int
