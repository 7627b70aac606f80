"""Decides when this process claims a shard without an owner."""

from lentilrill.ids import ProcessId
from lentilrill.ownership._members import Shard, claim_rank
from lentilrill.ownership._registration import LEASE_TTL_S
from lentilrill.ownership._stored_records import StoredRecords

__all__ = ["ClaimTimes"]

CLAIM_STAGGER_S = 0.15
"""Delay between the claims of one member and the next. A claim takes a few milliseconds, so races,
which cost a call, are rare."""
ENDED_OWNER_DELAY_S = 2 * LEASE_TTL_S
"""Additional delay for a shard whose key remains though its owner isn't a member: an owner that
lives registers again within this time, and its key is taken from it only if it doesn't."""


class ClaimTimes:
    """Times since which shards have no owner, and the delays of claims that follow from them.

    :param me: this process.
    """

    def __init__(self, me: ProcessId) -> None:
        self._me = me
        self._unowned_since: dict[Shard, float] = {}

    @property
    def has_pending(self) -> bool:
        """Whether a shard without an owner was seen and not claimed yet."""
        return bool(self._unowned_since)

    def reset(self, shard: Shard) -> None:
        """Count the time of ``shard`` without an owner from the next check on."""
        self._unowned_since.pop(shard, None)

    def is_due(self, shard: Shard, records: StoredRecords, now: float) -> bool:
        """Whether to claim ``shard``, which has no owner, now.

        After an outage in which all leases expired, the first host to return sees no other member
        and would rank first for each shard. So the delay also grows with the shards that this
        process owns.
        """
        since = self._unowned_since.setdefault(shard, now)
        process_by_shard = records.process_by_shard()
        members = list(records.members_by_process.values())
        owned_count = sum(process == self._me for process in process_by_shard.values())
        rank = claim_rank(shard, self._me, members, process_by_shard)
        delay_s = ENDED_OWNER_DELAY_S if shard in records.owners_by_shard else 0.0
        return now - since >= delay_s + max(owned_count, rank) * CLAIM_STAGGER_S
