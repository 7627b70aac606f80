"""The records on the platform that say which pool a host belongs to."""

import zlib
from enum import Enum

import msgspec

from lentilrill.ids import HostId, PoolId, RackId, Revision, StopId, ZoneId

__all__ = [
    "ASSIGNED_SHARDS",
    "AssignedRecord",
    "DoneStop",
    "HostEntry",
    "HostPhase",
    "PoolRecord",
    "assigned_key",
    "assigned_shard",
    "pool_key",
]

ASSIGNED_SHARDS = 16
"""Fixed: a host's shard follows from its id alone. 16 keep a shard of 4,400 hosts near 6 KB."""


class HostPhase(Enum):
    """Where a host of a pool is in its life there."""

    SERVING = "serving"
    WITHDRAWING = "withdrawing"
    """No process may begin a job on it; jobs in flight finish."""
    STOPPED = "stopped"
    """Released to the platform for a planned stop; it comes back as serving."""


class DoneStop(msgspec.Struct, frozen=True):
    """A planned stop that a host has been through, while the document still declares it.

    :param proposed: when the withdrawal was proposed, in seconds since the epoch.
    :param returned: when the host came back into its pool.
    """

    stop: StopId
    proposed: float
    returned: float


class HostEntry(msgspec.Struct, frozen=True):
    """One host of a pool.

    :param address: ``ip:port`` of its endpoint.
    :param target: pool that the host moves to when it is withdrawn; ``None`` if it stops.
    :param stop: planned stop that the host is withdrawn for; ``None`` if it moves, leaves or
        failed.
    :param proposed: seconds since the epoch at which the withdrawal was proposed.
    :param after: revision of the record on which the withdrawal was proposed; an
        acknowledgement counts only if it names a later one.
    :param since: when the platform had last started the host as the withdrawal was closed.
    :param done: declared stops that the host has been through already.
    """

    id: HostId
    address: str
    zone: ZoneId
    rack: RackId
    phase: HostPhase = HostPhase.SERVING
    target: PoolId | None = None
    stop: StopId | None = None
    proposed: float = 0.0
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    after: Revision = Revision(0)
    since: float = 0.0
    done: tuple[DoneStop, ...] = ()


class PoolRecord(msgspec.Struct, frozen=True):
    """Hosts that belong to a pool. A host stands in exactly one record."""

    pool: PoolId
    hosts: tuple[HostEntry, ...] = ()

    def hosts_by_id(self) -> dict[HostId, HostEntry]:
        """Return the hosts by id."""
        return {host.id: host for host in self.hosts}


class AssignedRecord(msgspec.Struct, frozen=True):
    """Hosts of one shard that stand in some pool's record.

    Written in the same transaction as the pool record that first takes a host in or finally
    drops it; a move between pools leaves it as it is.
    """

    hosts: tuple[HostId, ...] = ()


def pool_key(pool: PoolId) -> str:
    """Return the state key of a pool's record, below the system's prefix."""
    return f"state/pools/{pool}"


def assigned_key(shard: int) -> str:
    """Return the key of a shard of assigned hosts; outside the mirrored state."""
    return f"assigned/{shard:02d}"


def assigned_shard(host: HostId) -> int:
    """Return the shard that a host belongs to for good."""
    return zlib.crc32(host.encode()) % ASSIGNED_SHARDS
