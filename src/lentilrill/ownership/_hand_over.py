"""When an owner hands a shard to another entry host, and to which."""

from collections import Counter
from collections.abc import Callable, Collection

from lentilrill.ids import ProcessId, Revision
from lentilrill.ownership._members import MemberRecord, Shard, by_load

__all__ = ["HandOver"]

CLEAR_GAIN = 2.0
"""An owner hands a shard over if it has more than this many times the work for its strength that
the other host would have with the shard. A take-over makes callers wait; and two alike hosts, one
of which owns two shards, must not change places."""
LOOK_EVERY_S = 0.4
SETTLED_S = 2.0
"""How long another host must have been clearly better: one that has just come may go again."""
PAUSE_S = 3.0
"""Least time between two hand-overs of one owner, and between gaining a shard and handing it over:
callers of all shards must not wait for take-overs at once."""


class HandOver:
    """Decides when a process hands over one of its shards.

    :param me: the process.
    :param takes_over: whether another host says that it can take a shard over now.
    """

    def __init__(self, me: ProcessId, takes_over: Callable[[ProcessId], bool]) -> None:
        self._me = me
        self._takes_over = takes_over
        self._better_since: float | None = None
        self._changed_at = 0.0
        self._looked_at = 0.0

    def changed(self, now: float) -> None:
        """Note that a shard was gained or handed over."""
        self._changed_at = now
        self._better_since = None

    def due(
        self,
        now: float,
        tokens_by_shard: dict[Shard, Revision],
        members: Collection[MemberRecord],
        owners_by_shard: dict[Shard, ProcessId],
    ) -> tuple[Shard, MemberRecord] | None:
        """Return the shard to hand over now and the host that gets it, if any.

        :param tokens_by_shard: the own shards, at least one.
        :param members: all entry hosts, the own one too.
        """
        if now - self._looked_at < LOOK_EVERY_S:
            return None
        self._looked_at = now
        # The shard that was held longest: others may still be taken over.
        shard = min(tokens_by_shard, key=lambda each: tokens_by_shard[each])
        better = self._better(shard, members, owners_by_shard)
        if better is None:
            self._better_since = None
            return None
        if self._better_since is None:
            self._better_since = now
        if now - self._better_since < SETTLED_S or now - self._changed_at < PAUSE_S:
            return None
        return shard, better

    def _better(
        self,
        shard: Shard,
        members: Collection[MemberRecord],
        owners_by_shard: dict[Shard, ProcessId],
    ) -> MemberRecord | None:
        """Return the host that would carry a shard clearly better, and best."""
        owned = Counter(owners_by_shard.values())
        mine = next((member for member in members if member.process == self._me), None)
        if mine is None:
            return None
        work = owned[self._me] / mine.strength
        for member in by_load(shard, members, owners_by_shard):
            if work <= CLEAR_GAIN * (owned[member.process] + 1) / member.strength:
                return None
            if member.process != self._me and self._takes_over(member.process):
                return member
        return None
