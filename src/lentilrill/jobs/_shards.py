"""Shards of idempotency keys and their owners."""

import hashlib

from lentilrill.ids import PlanId
from lentilrill.membership import Member, MembershipList, Role, rendezvous

__all__ = ["owner_of", "shard_of"]


def shard_of(plan: PlanId, key: str, shards: int) -> int:
    """Return the shard of a plan's key."""
    digest = hashlib.blake2b(f"{plan}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def owner_of(shard: int, membership: MembershipList) -> Member | None:
    """Return the gateway that owns ``shard`` by this process's membership list."""
    return rendezvous(f"claims/{shard}", membership.alive(Role.GATEWAY))
