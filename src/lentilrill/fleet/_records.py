"""Records on the platform that assign hosts to pools."""

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
"""Must not change, since the shard of a host is derived from its id alone.

With 4,400 hosts, 16 shards keep each record near 6 KB.
"""


class HostPhase(Enum):
    """Life-cycle phase of a host in its pool."""

    SERVING = "serving"
    WITHDRAWING = "withdrawing"
    """No process may start a job on the host; running jobs finish."""
    STOPPED = "stopped"
    """Released to the platform for a planned stop; the host returns as serving."""


class DoneStop(msgspec.Struct, frozen=True):
    """A planned stop that a host has completed, kept while the document declares it.

    :param proposed: time at which the withdrawal was proposed, in seconds since the epoch.
    :param returned: time at which the host returned to its pool.
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
    :param since: last start of the host that the platform listed when the withdrawal was
        closed.
    :param done: declared stops that the host has completed.
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
    """Hosts of a pool. Each host is in exactly one pool record."""

    pool: PoolId
    hosts: tuple[HostEntry, ...] = ()

    def hosts_by_id(self) -> dict[HostId, HostEntry]:
        """Return the hosts by id."""
        return {host.id: host for host in self.hosts}


class AssignedRecord(msgspec.Struct, frozen=True):
    """Hosts of one shard that are in any pool record.

    Written in the same transaction as the pool record that adds a new host or drops a host; a
    move between pools does not change it.
    """

    hosts: tuple[HostId, ...] = ()


def pool_key(pool: PoolId) -> str:
    """Return the key of a pool record, relative to the system's prefix."""
    return f"state/pools/{pool}"


def assigned_key(shard: int) -> str:
    """Return the key of a shard of assigned hosts, which is not part of the mirrored state."""
    return f"assigned/{shard:02d}"


def assigned_shard(host: HostId) -> int:
    """Return the permanent shard of a host."""
    return zlib.crc32(host.encode()) % ASSIGNED_SHARDS
