"""Records of entry hosts and owners in the store, and who claims a shard that has none."""

import zlib
from collections import Counter
from typing import NewType

import msgspec

from lentilrill.ids import Incarnation, ProcessId, ZoneId

__all__ = ["MemberRecord", "OwnerRecord", "Shard", "rank"]

Shard = NewType("Shard", str)
"""A part of the work that has one owner at a time: a pool, or the fleet as a whole."""


class MemberRecord(msgspec.Struct, frozen=True):
    """An entry host that takes part, kept under its lease.

    :param inner: address on which it listens for other hosts.
    :param lease: the lease under which all its keys are.
    """

    process: ProcessId
    incarnation: Incarnation
    zone: ZoneId
    inner: str
    lease: int


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a shard; the key's revision is its fencing token."""

    process: ProcessId
    incarnation: Incarnation
    inner: str


def rank(
    shard: Shard, me: ProcessId, members: list[ProcessId], owners_by_shard: dict[Shard, ProcessId]
) -> int:
    """Return how many members should claim ``shard`` before ``me`` does.

    Who owns the fewest shards goes first, so that the work spreads; among equals a hash of
    shard and member decides, so that hosts that start together don't all run for one shard.
    """
    owned = Counter(owners_by_shard.values())

    def order(member: ProcessId) -> tuple[int, int]:
        return owned[member], zlib.crc32(f"{shard}/{member}".encode())

    mine = order(me)
    return sum(1 for member in members if member != me and order(member) < mine)
