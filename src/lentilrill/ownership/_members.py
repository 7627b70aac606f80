"""Records of entry hosts and shard owners in the store, and the order of claims."""

import zlib
from collections import Counter
from collections.abc import Collection
from typing import NewType

import msgspec

from lentilrill.ids import Incarnation, LeaseId, ProcessId, ZoneId

__all__ = [
    "MEMBER_PREFIX",
    "OWNER_PREFIX",
    "RECORD_PREFIX",
    "MemberRecord",
    "OwnerRecord",
    "Shard",
    "claim_order",
    "claim_rank",
]

RECORD_PREFIX = "m/"
MEMBER_PREFIX = "m/n/"
OWNER_PREFIX = "m/o/"

Shard = NewType("Shard", str)
"""A unit of work with at most one owner at a time: a pool, or the fleet as a whole."""


class MemberRecord(msgspec.Struct, frozen=True):
    """A registered entry host; the record is bound to its lease.

    :param inner: address on which it listens for other entry hosts.
    :param lease: the lease to which all of its keys are bound.
    :param strength: its capacity for control work, in reference cores.
    :param records_starts: whether as an owner it stores a record before the first start of a job.
    """

    process: ProcessId
    incarnation: Incarnation
    zone: ZoneId
    inner: str
    lease: LeaseId
    strength: float = 1.0
    records_starts: bool = False


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a shard; the revision of its key is the fencing token."""

    process: ProcessId
    incarnation: Incarnation
    inner: str


def claim_order(
    shard: Shard, members: Collection[MemberRecord], owners_by_shard: dict[Shard, ProcessId]
) -> list[MemberRecord]:
    """Return the members in the order in which they should claim ``shard``.

    Members with the lowest load for their strength come first: entry hosts differ by a factor of
    four in processor time and of twenty in bandwidth, and a pool in a surge keeps one host busy. A
    weak owner answers endpoints too late, and after a take-over may never finish reading the
    pool's jobs. Ties go to the zone with the fewest owned shards, so that losing a zone affects
    few owners, and then to a hash of shard and member, so that hosts that start together don't
    all claim the same shard.
    """
    shards_by_process = Counter(owners_by_shard.values())
    zone_by_process = {member.process: member.zone for member in members}
    shards_by_zone = Counter(zone_by_process.get(process) for process in owners_by_shard.values())

    def sort_key(member: MemberRecord) -> tuple[float, int, int]:
        load = (shards_by_process[member.process] + 1) / member.strength
        tie_break = zlib.crc32(f"{shard}/{member.process}".encode())
        return load, shards_by_zone[member.zone], tie_break

    return sorted(members, key=sort_key)


def claim_rank(
    shard: Shard,
    me: ProcessId,
    members: Collection[MemberRecord],
    owners_by_shard: dict[Shard, ProcessId],
) -> int:
    """Return the number of members that should claim ``shard`` before ``me``."""
    ordered = [member.process for member in claim_order(shard, members, owners_by_shard)]
    return ordered.index(me) if me in ordered else len(ordered)
