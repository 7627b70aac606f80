"""The record of each pool on the platform: its hosts and what is being withdrawn."""

from enum import Enum

import msgspec

from lentilrill.ids import HostId, PoolId, RackId, StopId, ZoneId

__all__ = ["HostEntry", "HostPhase", "PoolRecord", "pool_key"]


class HostPhase(Enum):
    """Where a host of a pool is in its life there."""

    SERVING = "serving"
    WITHDRAWING = "withdrawing"
    """No process may begin a job on it; jobs in flight finish."""
    STOPPED = "stopped"
    """Released to the platform for a planned stop; it comes back as serving."""


class HostEntry(msgspec.Struct, frozen=True):
    """One host of a pool.

    :param address: ``ip:port`` of its endpoint.
    :param target: pool that the host moves to when it is withdrawn; ``None`` if it stops.
    :param stop: planned stop that the host is withdrawn for.
    :param proposed: seconds since the epoch at which the withdrawal was proposed.
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


class PoolRecord(msgspec.Struct, frozen=True):
    """Hosts that belong to a pool. A host stands in exactly one record."""

    pool: PoolId
    hosts: tuple[HostEntry, ...] = ()

    def hosts_by_id(self) -> dict[HostId, HostEntry]:
        """Return the hosts by id."""
        return {host.id: host for host in self.hosts}


def pool_key(pool: PoolId) -> str:
    """Return the state key of a pool's record, below the system's prefix."""
    return f"state/pools/{pool}"
