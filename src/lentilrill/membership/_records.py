"""Members of the system, and the record of each zone's members on the platform."""

from enum import Enum

import msgspec

from lentilrill.ids import EntryHostId, HostId, Incarnation, ProcessId, Revision, ZoneId

__all__ = ["Liveness", "Member", "Role", "ZoneRecord", "ZoneStatus", "zone_key"]


class Role(Enum):
    """Role of a process."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Liveness(Enum):
    """Liveness of a peer in this process's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Silent. It gets no new work, but what it owns must not be taken over."""
    GONE = "gone"
    """Provably ended: it left, was replaced by a newer incarnation, or its host ended."""


class Member(msgspec.Struct, frozen=True):
    """One incarnation of one process.

    :param inner: address for the inner protocol.
    :param http: HTTP address for callers (gateway) or operators (controller).
    """

    process: ProcessId
    incarnation: Incarnation
    role: Role
    zone: ZoneId
    entry_host: EntryHostId
    inner: str
    http: str


class ZoneRecord(msgspec.Struct, frozen=True):
    """Members registered in one zone.

    Only a registered gateway sends to the zone's hosts, so a withdrawal needs no acknowledgement
    from any other.
    """

    zone: ZoneId
    members: tuple[Member, ...] = ()


class ZoneStatus(msgspec.Struct, frozen=True):
    """Last status of a zone that its controllers reported.

    :param at: time of the report in monotonic seconds.
    """

    zone: ZoneId
    at: float
    suspects: frozenset[ProcessId]
    complete_to: Revision
    drained: frozenset[ProcessId] = frozenset()
    ejected: frozenset[HostId] = frozenset()
    leaving: frozenset[HostId] = frozenset()


def zone_key(zone: ZoneId) -> str:
    """Return the state key of a zone's record, below the system's prefix."""
    return f"state/zones/{zone}"
