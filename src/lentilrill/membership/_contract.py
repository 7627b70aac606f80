"""What other packages need to know of the members."""

import hashlib
from collections.abc import Callable, Sequence
from typing import Protocol

from lentilrill.ids import ZoneId
from lentilrill.membership._records import Liveness, Member, Role, ZoneNews

__all__ = ["Roster", "ranked", "rendezvous"]


class Roster(Protocol):
    """Members as this process believes them to be."""

    @property
    def me(self) -> Member:
        """This process."""

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return members heard of late (this process too), sorted by process id."""

    def liveness(self, member: Member) -> Liveness:
        """Return what is believed of one incarnation of a process."""

    def news(self) -> tuple[ZoneNews, ...]:
        """Return what the controllers of other zones last said of them, sorted by zone."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a member's liveness changed."""


def rendezvous(key: str, members: Sequence[Member]) -> Member | None:
    """Return the member responsible for ``key``: the highest of all hashes of key and member.

    Processes that believe in the same members choose the same one, and a member that joins or
    ends moves only the keys that it gains or loses.
    """
    return max(members, key=lambda member: (_weight(key, member), member.process), default=None)


def ranked(key: str, members: Sequence[Member]) -> list[Member]:
    """Return ``members`` in the order in which they are responsible for ``key``."""
    return sorted(members, key=lambda member: (_weight(key, member), member.process), reverse=True)


def _weight(key: str, member: Member) -> bytes:
    return hashlib.blake2b(f"{key}\0{member.process}".encode(), digest_size=8).digest()
