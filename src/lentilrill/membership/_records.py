"""Who is in the system: members, and the record of each zone's members on the platform."""

from enum import Enum

import msgspec

from lentilrill.ids import EntryHostId, HostId, Incarnation, ProcessId, Revision, ZoneId

__all__ = ["Liveness", "Member", "Role", "ZoneNews", "ZoneRecord", "zone_key"]


class Role(Enum):
    """What a process does."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Liveness(Enum):
    """What this process believes of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Silent. Enough to stop sending work; never enough to take over what it owns."""
    GONE = "gone"
    """Proved to have ended: it left, was replaced by a newer incarnation, or its host ended."""


class Member(msgspec.Struct, frozen=True):
    """One incarnation of one process.

    :param inner: address of its inner socket.
    :param http: address for callers (gateway) or operators (controller).
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

    Only a registered gateway sends to the zone's hosts, so these are all that a withdrawal has to
    hear from.
    """

    zone: ZoneId
    members: tuple[Member, ...] = ()


class ZoneNews(msgspec.Struct, frozen=True):
    """What the controllers of another zone last said of it; ``at`` in monotonic seconds."""

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
