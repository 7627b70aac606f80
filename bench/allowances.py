"""Ways to hold a workspace's cap over its pools, on a virtual clock.

Run as ``python -m bench.allowances``. The load passes from pool to pool as on the users' site: each
pool in its turn gets five times its mean, and a twentieth in between; workspaces differ in size.
Prints for each way and size how long tasks waited for an allowance, and its cost in the store.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import msgspec

from bench import figure
from lentilrill.ids import PoolId
from lentilrill.scheduling import (
    Allowances,
    Budget,
    KnownAllowances,
    PoolAllowance,
    Usage,
    next_allowance,
)
from lentilrill.workloads import Resources

__all__ = ["main"]

SIZES = ((20, 5), (48, 5), (48, 52), (480, 5), (1000, 5))
SECONDS = 30.0
ROUND_S = 0.05
WRITE_S = 0.008
WATCH_S = 0.3
TASK_S = 1.0
TASK = Resources(6000)
TASKS_PER_JOB = 8
JOBS_PER_S = 3.0
"""Mean jobs a second of a workspace of mean size."""
CAP_FACTORS = (1.9, 8.0)
"""Caps as multiples of a workspace's mean use: at the first it is often reached, at the second
never."""
TURN_S = 4.0
SWING = 0.05
PEAK = 5.0

Way = Callable[[Allowances, PoolId, Resources, Usage, float], PoolAllowance]


def equal_parts(pools: int) -> Way:
    """Return the way in which each pool always holds the same part."""

    def decide(
        allowances: Allowances, pool: PoolId, cap: Resources, usage: Usage, unchanged_s: float
    ) -> PoolAllowance:
        del allowances, pool, usage, unchanged_s
        return PoolAllowance(cap.divided(pools))

    return decide


def only_what_is_used(
    allowances: Allowances, pool: PoolId, cap: Resources, usage: Usage, unchanged_s: float
) -> PoolAllowance:
    """Take exactly what is needed, and return at once what is not."""
    del unchanged_s
    free = cap.minus(allowances.held_by_others(pool))
    needed = usage.used.plus(usage.lacking)
    first = usage.used.plus(usage.first)
    if usage.lacking == Resources():
        return PoolAllowance(usage.used)
    if first.fits(free):
        return PoolAllowance(needed.at_most(free).at_least(first))
    return PoolAllowance(usage.used, is_waiting=True)


class _Workspace:
    """One workspace in all pools, with the record in the store."""

    def __init__(self, pools: int, share: float, cap_factor: float, rng: random.Random) -> None:
        self.pools = [PoolId(str(number)) for number in range(pools)]
        self.share = share
        self.rng = rng
        mean_tasks = JOBS_PER_S * share * TASKS_PER_JOB * TASK_S
        self.cap = TASK.times(max(1, round(mean_tasks * cap_factor)))
        self.stored = Allowances()
        self.revision = 0
        self.writes = 0
        self.conflicts = 0
        self.bytes = 0
        self.waits: list[float] = []

    def play(self, way: Way) -> None:
        """Play the load with one way."""
        known = {pool: KnownAllowances() for pool in self.pools}
        waiting: dict[PoolId, list[float]] = {pool: [] for pool in self.pools}
        running: dict[PoolId, list[float]] = {pool: [] for pool in self.pools}
        changed_at = dict.fromkeys(self.pools, -60.0)
        busy_until = dict.fromkeys(self.pools, 0.0)
        seen_at = dict.fromkeys(self.pools, 0.0)
        arrivals = {pool: self._arrivals(index) for index, pool in enumerate(self.pools)}
        following = {pool: next(arrivals[pool], SECONDS) for pool in self.pools}
        rounds = [(self.rng.uniform(0.0, ROUND_S), pool) for pool in self.pools]
        heapq.heapify(rounds)
        while rounds:
            now, pool = heapq.heappop(rounds)
            if now >= SECONDS:
                continue
            heapq.heappush(rounds, (now + ROUND_S, pool))
            while following[pool] <= now:
                waiting[pool] += [following[pool]] * TASKS_PER_JOB
                following[pool] = next(arrivals[pool], SECONDS)
            running[pool] = [end for end in running[pool] if end > now]
            if now - seen_at[pool] >= WATCH_S:
                seen_at[pool] = now
                known[pool] = known[pool].on_read(self.stored, self.revision)
            if now < busy_until[pool]:
                continue
            used = TASK.times(len(running[pool]))
            budget = Budget(known[pool].stored, pool, self.cap, used)
            while waiting[pool] and budget.take(TASK, count=len(waiting[pool])):
                self.waits.append(now - waiting[pool].pop(0))
                running[pool].append(now + TASK_S)
            wanted = way(known[pool].stored, pool, self.cap, budget.usage, now - changed_at[pool])
            if wanted != known[pool].stored.of(pool):
                busy_until[pool] = now + WRITE_S
                changed_at[pool] = now
                known[pool] = self._write(known[pool], pool, wanted)
        for left in waiting.values():
            self.waits += [SECONDS - since for since in left]

    def _write(
        self, known: KnownAllowances, pool: PoolId, wanted: PoolAllowance
    ) -> KnownAllowances:
        self.writes += 1
        if known.revision == self.revision:
            self.stored = known.stored.replace(pool, wanted)
            self.revision += 1
            self.bytes += len(msgspec.msgpack.encode(self.stored))
        else:
            self.conflicts += 1
        return known.on_read(self.stored, self.revision)

    def _arrivals(self, index: int) -> Iterator[float]:
        """Yield the times of the jobs of one pool."""
        pools = len(self.pools)
        mean = JOBS_PER_S * self.share / pools
        at = 0.0
        for _ in itertools.count():
            at += self.rng.expovariate(mean * PEAK)
            turn = int(at / TURN_S) % min(pools, int(PEAK))
            is_turn = turn == index % min(pools, int(PEAK))
            if is_turn or self.rng.random() < SWING / PEAK:
                yield at
            if at >= SECONDS:
                return


def main() -> None:
    """Run and print the measurements."""
    for count, pools in SIZES:
        ways: dict[str, Way] = {
            "lent": next_allowance,
            "equal": equal_parts(pools),
            "exact": only_what_is_used,
        }
        for cap_factor, (name, way) in itertools.product(CAP_FACTORS, ways.items()):
            _measure(name, way, count, pools, cap_factor)


def _measure(name: str, way: Way, count: int, pools: int, cap_factor: float) -> None:
    weights = [1 / (rank + 1) ** 0.7 for rank in range(count)]
    shares = [weight * count / sum(weights) for weight in weights]
    workspaces = [
        _Workspace(pools, share, cap_factor, random.Random(n)) for n, share in enumerate(shares)
    ]
    for workspace in workspaces:
        workspace.play(way)
    waits = sorted(wait for workspace in workspaces for wait in workspace.waits)
    context = {"way": name, "workspaces": count, "pools": pools, "cap": cap_factor}
    writes = sum(workspace.writes for workspace in workspaces)
    figure("allowances", "wait_p50", round(waits[len(waits) // 2], 3), "s", **context)
    figure("allowances", "wait_p99", round(waits[int(len(waits) * 0.99)], 3), "s", **context)
    figure("allowances", "writes", round(writes / SECONDS, 1), "1/s", **context)
    written = sum(workspace.bytes for workspace in workspaces)
    figure("allowances", "bytes", round(written / SECONDS), "B/s", **context)
    conflicts = sum(workspace.conflicts for workspace in workspaces)
    figure("allowances", "conflicts", round(conflicts / max(1, writes), 3), "share", **context)


if __name__ == "__main__":
    main()
