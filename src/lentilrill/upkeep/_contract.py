"""Interface to the platform's list of hosts."""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from lentilrill.faults import Fault
from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, ZoneId

__all__ = ["HostCalls", "HostOrderResult", "HostRow", "HostState"]


class HostState(Enum):
    """State of a host as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class HostRow(msgspec.Struct, frozen=True):
    """One host in the platform's list.

    :param endpoint: the endpoint that runs on it; empty if there is none now.
    """

    id: HostId
    pool: PoolId
    state: HostState
    zone: ZoneId = ZoneId("")
    endpoint: EndpointId = EndpointId("")


class HostOrderResult(Enum):
    """Result of an order to a host."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    """The host isn't up, or is leaving."""
    REFUSED = "refused"
    """The order is invalid: there is no such host, or it isn't part of that wave."""
    LATER = "later"
    """The platform's rate limit was exceeded; nothing was done."""
    UNKNOWN = "unknown"
    """No answer: the order may have been carried out, or may still be."""


class HostCalls(Protocol):
    """Calls to the platform's list of hosts."""

    def hosts(self) -> Result[tuple[HostRow, ...], Fault]:
        """Return the whole list of hosts."""

    def move(self, host: HostId, pool: PoolId, holder: ProcessId, token: int) -> HostOrderResult:
        """Move a host to another pool; everything on it ends at once."""

    def upkeep(self, host: HostId, wave: int, holder: ProcessId, token: int) -> HostOrderResult:
        """Start the upkeep of a host; everything on it ends at once."""
