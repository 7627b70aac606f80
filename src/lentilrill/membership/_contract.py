"""The interface through which other packages see the members."""

import hashlib
from collections.abc import Callable, Sequence
from typing import Protocol

from lentilrill.ids import ZoneId
from lentilrill.membership._records import Liveness, Member, Role, ZoneStatus

__all__ = ["MembershipList", "ranked", "rendezvous"]


class MembershipList(Protocol):
    """Members of the system, with their liveness in this process's view."""

    @property
    def me(self) -> Member:
        """This process."""

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return the living members, including this process, sorted by process id."""

    def liveness(self, member: Member) -> Liveness:
        """Return the liveness of one incarnation of a process."""

    def zone_statuses(self) -> tuple[ZoneStatus, ...]:
        """Return the last status received from each other zone's controllers, sorted by zone."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a member's liveness changed."""


def rendezvous(key: str, members: Sequence[Member]) -> Member | None:
    """Return the member responsible for ``key``, by rendezvous hashing; ``None`` without members.

    Processes with the same list of members choose the same one. A member that joins or ends moves
    only the keys that it gains or loses.
    """
    return max(members, key=lambda member: (_weight(key, member), member.process), default=None)


def ranked(key: str, members: Sequence[Member]) -> list[Member]:
    """Return ``members`` in the order of their responsibility for ``key``."""
    return sorted(members, key=lambda member: (_weight(key, member), member.process), reverse=True)


def _weight(key: str, member: Member) -> bytes:
    return hashlib.blake2b(f"{key}\0{member.process}".encode(), digest_size=8).digest()
