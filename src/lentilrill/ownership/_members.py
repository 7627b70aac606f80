"""Records of entry hosts and owners in the store, and who claims a shard that has none."""

import zlib
from collections import Counter
from collections.abc import Collection
from typing import NewType

import msgspec

from lentilrill.ids import Incarnation, ProcessId, ZoneId

__all__ = ["MemberRecord", "OwnerRecord", "Shard", "by_load", "rank"]

Shard = NewType("Shard", str)
"""A part of the work that has one owner at a time: a pool, or the fleet as a whole."""


class MemberRecord(msgspec.Struct, frozen=True):
    """An entry host that takes part, kept under its lease.

    :param inner: address on which it listens for other hosts.
    :param lease: the lease under which all its keys are.
    :param strength: how much control work it can carry, in usual cores.
    """

    process: ProcessId
    incarnation: Incarnation
    zone: ZoneId
    inner: str
    lease: int
    strength: float = 1.0


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a shard; the key's revision is its fencing token."""

    process: ProcessId
    incarnation: Incarnation
    inner: str


def by_load(
    shard: Shard, members: Collection[MemberRecord], owners_by_shard: dict[Shard, ProcessId]
) -> list[MemberRecord]:
    """Return the members in the order in which they should claim ``shard``.

    Load pattern: entry hosts differ by factors of four in processor time and of twenty in
    bandwidth, and a pool in its surge keeps one of them busy. A weak one that owns it answers
    endpoints too late, and after a take-over may never get through its jobs. So who would have the
    least work for its strength goes first. Among equals goes the one in whose zone the fewest
    shards are owned, so that a zone that is cut off takes few owners along, then by a hash of shard
    and member, so that hosts that start together don't all run for one shard.
    """
    owned = Counter(owners_by_shard.values())
    zone_by_process = {member.process: member.zone for member in members}
    owned_in_zone = Counter(zone_by_process.get(process) for process in owners_by_shard.values())

    def order(member: MemberRecord) -> tuple[float, int, int]:
        work = (owned[member.process] + 1) / member.strength
        tie = zlib.crc32(f"{shard}/{member.process}".encode())
        return work, owned_in_zone[member.zone], tie

    return sorted(members, key=order)


def rank(
    shard: Shard,
    me: ProcessId,
    members: Collection[MemberRecord],
    owners_by_shard: dict[Shard, ProcessId],
) -> int:
    """Return how many members should claim ``shard`` before ``me`` does."""
    in_line = [member.process for member in by_load(shard, members, owners_by_shard)]
    return in_line.index(me) if me in in_line else len(in_line)
