"""Decides when an owner hands a shard over to another entry host, and to which one."""

from collections import Counter
from collections.abc import Callable, Collection

import msgspec

from lentilrill.ids import ProcessId, Revision
from lentilrill.ownership._members import MemberRecord, Shard, by_load

__all__ = ["HandOver"]

LOOK_EVERY_S = 0.2


class Terms(msgspec.Struct, frozen=True):
    """Conditions under which a hand-over is worth its cost: callers wait during the take-over.

    :param gain: minimum ratio of the owner's load (shards per strength) to the load that the other
        host would have with the shard.
    :param settled_s: seconds for which another host must have been better, since a host that has
        just joined may leave again.
    :param pause_s: minimum time between two hand-overs of one owner, and between acquiring a shard
        and handing it over, so that callers of all shards don't wait for take-overs at once.
    """

    gain: float
    settled_s: float
    pause_s: float


USUAL_TERMS = Terms(gain=2.0, settled_s=2.0, pause_s=3.0)
"""The ratio keeps a shard from moving back and forth between two equal hosts, one of which owns two
shards."""
SLOWED_TERMS = Terms(gain=1.25, settled_s=1.0, pause_s=1.0)
"""Lower limits on a slowed host: its callers already wait at each step of their jobs."""


class HandOver:
    """Decides when a process hands over one of its shards.

    :param me: this process.
    :param takes_over: whether another host has reported that it can take over a shard now.
    :param is_slowed: whether this host currently runs below its usual speed.
    """

    def __init__(
        self,
        me: ProcessId,
        takes_over: Callable[[ProcessId], bool],
        is_slowed: Callable[[], bool],
    ) -> None:
        self._me = me
        self._takes_over = takes_over
        self._is_slowed = is_slowed
        self._better_since: float | None = None
        self._changed_at = 0.0
        self._looked_at = 0.0

    def changed(self, now: float) -> None:
        """Record that a shard was acquired or handed over."""
        self._changed_at = now
        self._better_since = None

    def due(
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
        if now - self._looked_at < LOOK_EVERY_S:
            return None
        self._looked_at = now
        terms = SLOWED_TERMS if self._is_slowed() else USUAL_TERMS
        # The longest-owned shard: the take-over of the others may still be in progress.
        shard = min(tokens_by_shard, key=lambda each: tokens_by_shard[each])
        better = self._better(shard, members, owners_by_shard, terms.gain)
        if better is None:
            self._better_since = None
            return None
        if self._better_since is None:
            self._better_since = now
        if now - self._better_since < terms.settled_s or now - self._changed_at < terms.pause_s:
            return None
        return shard, better

    def _better(
        self,
        shard: Shard,
        members: Collection[MemberRecord],
        owners_by_shard: dict[Shard, ProcessId],
        gain: float,
    ) -> MemberRecord | None:
        """Return the best host whose load with the shard would be lower by the ratio ``gain``."""
        owned = Counter(owners_by_shard.values())
        mine = next((member for member in members if member.process == self._me), None)
        if mine is None:
            return None
        work = owned[self._me] / mine.strength
        for member in by_load(shard, members, owners_by_shard):
            if work <= gain * (owned[member.process] + 1) / member.strength:
                return None
            if member.process != self._me and self._takes_over(member.process):
                return member
        return None
