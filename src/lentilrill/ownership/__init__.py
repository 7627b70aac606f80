"""Ownership of shards by entry hosts, based on leases in the store."""

from lentilrill.ownership._clock import boottime
from lentilrill.ownership._members import OWNER_PREFIX, MemberRecord, OwnerRecord, Shard
from lentilrill.ownership._ownership import Ownership
from lentilrill.ownership._pace import PaceMonitor
from lentilrill.ownership._registration import LEASE_TTL_S

__all__ = [
    "LEASE_TTL_S",
    "OWNER_PREFIX",
    "MemberRecord",
    "OwnerRecord",
    "Ownership",
    "PaceMonitor",
    "Shard",
    "boottime",
]
