"""Who is in the system: members, and the record of each zone's members on the platform."""

from enum import Enum

import msgspec

from lentilrill.ids import EntryHostId, HostId, Incarnation, ProcessId, ZoneId

__all__ = ["Liveness", "Member", "Role", "ZoneRecord", "zone_key"]


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
    """Members registered in one zone: exactly those that may send to its hosts.

    :param unclean: members that ended without leaving, whose peers may not have been told yet.
    """

    zone: ZoneId
    members: tuple[Member, ...] = ()
    unclean: tuple[Member, ...] = ()
    suspect_hosts: tuple[HostId, ...] = ()


def zone_key(zone: ZoneId) -> str:
    """Return the state key of a zone's record, below the system's prefix."""
    return f"state/zones/{zone}"
