"""Allowances: the parts of a workspace's cap that its pools may use.

A workspace's cap holds for all pools together, and each pool has an owner of its own. One record a
workspace tells how much each pool holds; a pool starts tasks only within what it holds. The record
is changed by compare-and-swap, so that the parts never add up to more than the cap, whichever
owners are lost or delayed. A part belongs to the pool, not to its owner: the next owner reads it.

Load patterns: most workspaces stay far below their caps, and a pool then takes more than it needs
at once, so that starts cost no writes. Near its cap a workspace's demand passes from pool to pool,
and each pool takes and keeps only what it uses.
"""

from collections.abc import Iterable

import msgspec

from lentilrill.ids import PoolId
from lentilrill.workloads import Resources

__all__ = ["Allowances", "Budget", "KnownAllowances", "PoolAllowance", "Usage", "next_allowance"]

UNLIMITED = 1 << 48
NOTHING = Resources()
EVERYTHING = Resources(UNLIMITED, UNLIMITED, UNLIMITED)
SPARE_PARTS = 32
"""One of so many parts of the cap is taken beyond a pool's need while less than half of the cap is
held."""
RETURN_DELAY_S = 0.3
"""Time after which a pool returns what it doesn't use while another one waits: longer than between
the end of one task and the start of the next, so that each of these doesn't cost a write."""
CONTENDED_DELAY_S = 0.15
"""Time between two writes of a pool while another one waits: with many pools, most writes would
fail because another pool's came first."""
SURPLUS_DELAY_S = 1.0
"""Time after which a pool returns what it doesn't use while no other one waits."""


class PoolAllowance(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What one pool holds of a workspace's cap.

    :param is_waiting: whether the pool has tasks that wait for more.
    :param is_assumed: whether ``held`` is only the most that the pool may use already, since the
        record was unreadable. It allows no start: no cap was compared when it was written.
    """

    held: Resources = NOTHING
    is_waiting: bool = False
    is_assumed: bool = False


NO_ALLOWANCE = PoolAllowance()


class Allowances(msgspec.Struct, frozen=True):
    """What the pools hold of one workspace's cap, as stored."""

    by_pool: dict[PoolId, PoolAllowance] = {}

    def of(self, pool: PoolId) -> PoolAllowance:
        """Return what a pool holds."""
        return self.by_pool.get(pool, NO_ALLOWANCE)

    def held_by_others(self, pool: PoolId) -> Resources:
        """Return what all other pools hold together."""
        total = NOTHING
        for other, allowance in self.by_pool.items():
            if other != pool:
                total = total.plus(allowance.held)
        return total

    def others_wait(self, pool: PoolId) -> bool:
        """Whether another pool waits for more than it holds."""
        return any(a.is_waiting for other, a in self.by_pool.items() if other != pool)

    def replace(self, pool: PoolId, allowance: PoolAllowance) -> "Allowances":
        """Return the record with another allowance for one pool."""
        by_pool = {other: a for other, a in self.by_pool.items() if a != NO_ALLOWANCE}
        if allowance != NO_ALLOWANCE:
            by_pool[pool] = allowance
        else:
            by_pool.pop(pool, None)
        return Allowances(by_pool)


class Usage(msgspec.Struct, frozen=True):
    """What a pool uses of a workspace's cap, and what it lacks.

    :param used: resources of all runs that are or may be in progress, including stopping ones.
    :param lacking: resources of the tasks that could start now if the pool held more.
    :param first: resources of those of them that start first.
    :param is_gang: whether ``first`` are several tasks that only start together.
    """

    used: Resources = NOTHING
    lacking: Resources = NOTHING
    first: Resources = NOTHING
    is_gang: bool = False


class KnownAllowances(msgspec.Struct, frozen=True):
    """What a pool's owner knows of one workspace's record.

    :param revision: revision of ``stored``; 0 if there is no record.
    :param unresolved: writes of this owner against ``revision`` that have no answer yet. Each may
        still take effect, until the record has a newer revision.
    :param is_unreadable: whether the record can't be decoded; ``stored`` is an earlier one.
    """

    stored: Allowances = Allowances()
    revision: int = 0
    unresolved: tuple[PoolAllowance, ...] = ()
    is_unreadable: bool = False

    def certain(self, pool: PoolId) -> Allowances:
        """Return the record with the least that the pool holds, whichever writes take effect."""
        current = self.stored.of(pool)
        if not self.unresolved and not current.is_assumed:
            return self.stored
        held = NOTHING if current.is_assumed else current.held
        for allowance in self.unresolved:
            held = held.at_most(allowance.held)
        return self.stored.replace(pool, PoolAllowance(held, current.is_waiting))

    def on_sent(self, allowance: PoolAllowance) -> "KnownAllowances":
        """Return the state once a write is sent."""
        return msgspec.structs.replace(self, unresolved=(*self.unresolved, allowance))

    def on_not_sent(self, allowance: PoolAllowance) -> "KnownAllowances":
        """Return the state once a write is certain never to take effect."""
        unresolved = list(self.unresolved)
        if allowance in unresolved:
            unresolved.remove(allowance)
        return msgspec.structs.replace(self, unresolved=tuple(unresolved))

    def on_read(self, stored: Allowances, revision: int) -> "KnownAllowances":
        """Return the state once the record was read, or written by this owner."""
        if revision <= self.revision:
            return self
        return KnownAllowances(stored, revision)

    def on_unreadable(self, revision: int) -> "KnownAllowances":
        """Return the state once the record was read and could not be decoded."""
        if revision <= self.revision:
            return self
        return KnownAllowances(self.stored, revision, is_unreadable=True)

    def assuming_most(self, pools: Iterable[PoolId]) -> "KnownAllowances":
        """Return the state in which an unreadable record stands for the most that it could hold.

        Each pool counts as holding everything until its owner has written what it uses. Nothing
        starts before, so that the cap holds, whatever the record was.

        :param pools: all pools that may hold something, besides those of the earlier record.
        """
        if not self.is_unreadable:
            return self
        assumed = PoolAllowance(EVERYTHING, is_assumed=True)
        by_pool = dict.fromkeys({*pools, *self.stored.by_pool}, assumed)
        return msgspec.structs.replace(self, stored=Allowances(by_pool))


class Budget:
    """What a pool may start for one workspace in one planning round.

    A pool that uses more than its fair part starts nothing while another pool waits.

    :param allowances: the newest known record, with the pool's own part as it surely is stored.
    :param used: what the pool uses already.
    :ivar usage: what the pool uses and lacks after the starts of this round.
    """

    def __init__(
        self, allowances: Allowances, pool: PoolId, cap: Resources, used: Resources
    ) -> None:
        total = _amounts(cap)
        others = allowances.held_by_others(pool)
        self._held = allowances.of(pool).held
        # What others hold may exceed the rest of a cap that was lowered.
        self._rest = total.minus(others)
        self._fair = _fair_part(allowances, pool, total) if allowances.others_wait(pool) else None
        self._half = total.divided(2)
        self._others = others
        self.usage = Usage(used)

    def allows(self, needs: Resources) -> bool:
        """Whether the pool may start a task with these needs."""
        used = self.usage.used
        after = used.plus(needs)
        return after.fits(self._held) and self._may_use(used, after)

    def take(self, needs: Resources, *, count: int = 1, is_gang: bool = False) -> bool:
        """Take what the next task needs, if the pool may start it, or record what it lacks.

        :param needs: resources of the task, or of all members of a gang.
        :param count: number of equal tasks that wait, recorded if none of them may start.
        """
        used = self.usage.used
        if self.allows(needs):
            self.usage = msgspec.structs.replace(self.usage, used=used.plus(needs))
            return True
        lacking = self.usage.lacking.plus(needs.times(count))
        first, is_first_gang = self.usage.first, self.usage.is_gang
        if first == NOTHING:
            first, is_first_gang = needs, is_gang
        self.usage = Usage(used, lacking, first, is_first_gang)
        return False

    def _may_use(self, used: Resources, after: Resources) -> bool:
        # A task that is larger than the fair part would never start if it counted for a pool that
        # uses nothing.
        if self._fair is not None and used != NOTHING and not after.fits(self._fair):
            return False
        return after.fits(self._rest) or self._others.plus(used).fits(self._half)


def next_allowance(
    allowances: Allowances, pool: PoolId, cap: Resources, usage: Usage, since_write_s: float
) -> PoolAllowance:
    """Return what a pool should hold.

    :param since_write_s: seconds since the pool last wrote the record, or tried to.
    """
    current = allowances.of(pool)
    total = _amounts(cap)
    others = allowances.held_by_others(pool)
    free = total.minus(others)
    if current.is_assumed:
        is_unknown = current.held.fits(usage.used)
        return current if is_unknown else PoolAllowance(usage.used, usage.lacking != NOTHING)
    if usage.lacking != NOTHING:
        return _raised(allowances, pool, total, usage, since_write_s)
    held = current.held.at_least(usage.used)
    if not held.fits(free):
        return PoolAllowance(usage.used)
    if allowances.others_wait(pool):
        return PoolAllowance(usage.used if since_write_s >= RETURN_DELAY_S else held)
    # What is kept unused here is missing elsewhere only once more than half of the cap is held.
    is_half_unused = usage.used.times(2).fits(held)
    is_tight = not _is_below_half(total, others.plus(held))
    if is_tight and is_half_unused and since_write_s >= SURPLUS_DELAY_S:
        return PoolAllowance(usage.used)
    return PoolAllowance(held)


def _raised(
    allowances: Allowances, pool: PoolId, total: Resources, usage: Usage, since_write_s: float
) -> PoolAllowance:
    """Return the allowance of a pool that lacks something."""
    current = allowances.of(pool)
    others = allowances.held_by_others(pool)
    free = total.minus(others)
    needed = usage.used.plus(usage.lacking)
    spare = needed.at_most(total.divided(SPARE_PARTS))
    if _is_below_half(total, others.plus(needed).plus(spare)):
        return PoolAllowance(needed.plus(spare).at_least(current.held))
    first = usage.used.plus(usage.first)
    if first.fits(free):
        if allowances.others_wait(pool) and since_write_s < CONTENDED_DELAY_S:
            return PoolAllowance(current.held.at_least(usage.used), current.is_waiting)
        most = needed.at_most(free).at_least(first)
        if allowances.others_wait(pool):
            most = most.at_most(_fair_part(allowances, pool, total)).at_least(first)
        return PoolAllowance(most)
    # A single task that is larger than the rest starts all the same while the workspace uses less
    # than half of its cap, or it might never start.
    if not usage.is_gang and _is_below_half(total, others.plus(usage.used)):
        return PoolAllowance(first)
    if current.is_waiting and since_write_s < RETURN_DELAY_S:
        return PoolAllowance(current.held.at_least(usage.used), is_waiting=True)
    return PoolAllowance(usage.used, is_waiting=True)


def _fair_part(allowances: Allowances, pool: PoolId, total: Resources) -> Resources:
    claimants = 1 + sum(1 for other in allowances.by_pool if other != pool)
    return total.divided(claimants)


def _amounts(cap: Resources) -> Resources:
    """Return a cap in which 0 does not stand for no limit."""
    return Resources(
        cap.cpu or UNLIMITED, cap.memory_mb or UNLIMITED, cap.accelerators or UNLIMITED
    )


def _is_below_half(total: Resources, amounts: Resources) -> bool:
    return amounts.times(2).fits(total)
