"""Decides when an owner hands a shard over to another entry host, and to which one."""

from collections import Counter
from collections.abc import Callable, Collection

import msgspec

from lentilrill.ids import ProcessId, Revision
from lentilrill.ownership._members import MemberRecord, Shard, claim_order

__all__ = ["HandOverPolicy"]

CHECK_INTERVAL_S = 0.2


class Thresholds(msgspec.Struct, frozen=True):
    """Conditions under which a hand-over is worth its cost: callers wait during the take-over.

    :param min_load_ratio: minimum ratio of the owner's load (shards per strength) to the load that
        the other host would have with the shard.
    :param min_better_s: seconds for which another host must have been better, since a host that has
        just joined may leave again.
    :param min_interval_s: minimum time between two hand-overs of one owner, and between acquiring a
        shard and handing it over, so that callers of all shards don't wait at once.
    """

    min_load_ratio: float
    min_better_s: float
    min_interval_s: float


DEFAULT_THRESHOLDS = Thresholds(min_load_ratio=2.0, min_better_s=2.0, min_interval_s=3.0)
"""The ratio keeps a shard from moving back and forth between two equal hosts, one of which owns two
shards."""
SLOWED_THRESHOLDS = Thresholds(min_load_ratio=1.25, min_better_s=1.0, min_interval_s=1.0)
"""Lower limits on a slowed host: its callers already wait at each step of their jobs."""


class HandOverPolicy:
    """Decides when a process hands over one of its shards.

    :param me: this process.
    :param can_take_over: whether another host has reported that it can take over a shard now.
    :param is_slowed: whether this host currently runs below its usual speed.
    """

    def __init__(
        self,
        me: ProcessId,
        can_take_over: Callable[[ProcessId], bool],
        is_slowed: Callable[[], bool],
    ) -> None:
        self._me = me
        self._can_take_over = can_take_over
        self._is_slowed = is_slowed
        self._better_since: float | None = None
        self._changed_at = 0.0
        self._checked_at = 0.0

    def record_change(self, now: float) -> None:
        """Record that a shard was acquired or handed over."""
        self._changed_at = now
        self._better_since = None

    def next_hand_over(
        self,
        now: float,
        tokens_by_shard: dict[Shard, Revision],
        members: Collection[MemberRecord],
        owners_by_shard: dict[Shard, ProcessId],
    ) -> tuple[Shard, MemberRecord] | None:
        """Return the shard to hand over now and its new owner, if any.

        :param tokens_by_shard: shards that this process owns, at least one.
        :param members: all entry hosts, including this one.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return None
        self._checked_at = now
        thresholds = SLOWED_THRESHOLDS if self._is_slowed() else DEFAULT_THRESHOLDS
        # The longest-owned shard: the take-over of the others may still be in progress.
        shard = min(tokens_by_shard, key=lambda each: tokens_by_shard[each])
        better = self._find_better(shard, members, owners_by_shard, thresholds.min_load_ratio)
        if better is None:
            self._better_since = None
            return None
        if self._better_since is None:
            self._better_since = now
        if (
            now - self._better_since < thresholds.min_better_s
            or now - self._changed_at < thresholds.min_interval_s
        ):
            return None
        return shard, better

    def _find_better(
        self,
        shard: Shard,
        members: Collection[MemberRecord],
        owners_by_shard: dict[Shard, ProcessId],
        min_load_ratio: float,
    ) -> MemberRecord | None:
        """Return the least loaded host that passes ``min_load_ratio`` and can take over, if any."""
        shards_by_process = Counter(owners_by_shard.values())
        own_record = next((member for member in members if member.process == self._me), None)
        if own_record is None:
            return None
        own_load = shards_by_process[self._me] / own_record.strength
        for member in claim_order(shard, members, owners_by_shard):
            if (
                own_load
                <= min_load_ratio * (shards_by_process[member.process] + 1) / member.strength
            ):
                return None
            if member.process != self._me and self._can_take_over(member.process):
                return member
        return None
