"""Actions that the planner decides on; each is one step for one host."""

import msgspec

from lentilrill.ids import HostId, PoolId, StopId
from lentilrill.store import HostInfo

__all__ = ["Action", "Assign", "Close", "Drop", "Return", "Withdraw"]


class Assign(msgspec.Struct, frozen=True):
    """Add a host that no pool record contains to a pool."""

    host: HostId
    pool: PoolId
    info: HostInfo
    reason: str


class Withdraw(msgspec.Struct, frozen=True):
    """Propose that a host leaves its pool.

    :param target: pool to move to; ``None`` if the host stops.
    :param stop: planned stop that the host is withdrawn for, if any.
    """

    host: HostId
    pool: PoolId
    reason: str
    target: PoolId | None = None
    stop: StopId | None = None


class Close(msgspec.Struct, frozen=True):
    """End an acknowledged withdrawal: the host moves or is released.

    :param since: when the platform last started the host.
    """

    host: HostId
    pool: PoolId
    reason: str
    target: PoolId | None = None
    since: float = 0.0


class Return(msgspec.Struct, frozen=True):
    """Let a stopped or withdrawing host serve in its pool again.

    :param info: current entry in the host list; ``None`` keeps the recorded values.
    :param done: whether the host has completed its planned stop.
    """

    host: HostId
    pool: PoolId
    reason: str
    info: HostInfo | None = None
    done: bool = False


class Drop(msgspec.Struct, frozen=True):
    """Remove a stopped host from the record of its pool."""

    host: HostId
    pool: PoolId
    reason: str


Action = Assign | Withdraw | Close | Return | Drop
