"""What the system needs of the platform's list of hosts."""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, ZoneId

__all__ = ["HostCalls", "HostOrder", "HostRow", "HostState"]


class HostState(Enum):
    """What the platform says of a host."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class HostRow(msgspec.Struct, frozen=True):
    """One host.

    :param endpoint: the endpoint that lives on it; empty if there is none now.
    """

    id: HostId
    pool: PoolId
    state: HostState
    zone: ZoneId = ZoneId("")
    endpoint: EndpointId = EndpointId("")


class HostOrder(Enum):
    """What became of an order to a host."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    """It is not up, or is leaving."""
    REFUSED = "refused"
    """It can't be: no such host, or not of that wave."""
    LATER = "later"
    """Too many calls; nothing was done."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be yet."""


class HostCalls(Protocol):
    """Calls to the platform's list of hosts."""

    def hosts(self) -> Result[tuple[HostRow, ...], Fault]:
        """Read the whole list."""

    def move(self, host: HostId, pool: PoolId, holder: ProcessId, token: int) -> HostOrder:
        """Move a host into another pool; everything on it ends at once."""

    def upkeep(self, host: HostId, wave: int, holder: ProcessId, token: int) -> HostOrder:
        """Send a host into upkeep; everything on it ends at once."""
