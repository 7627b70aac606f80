"""Rates of workspaces: which of a workspace's jobs are within its rate."""

import math
from collections.abc import Mapping
from typing import Generic, TypeVar

import msgspec

from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.scheduling._shares import usable_weight

__all__ = ["DECAY_S", "DecayingCounts", "PoolRates", "RateBook", "max_count"]

DECAY_S = 2.0
"""Time constant of the counts. A workspace may send about this many seconds of its rate at once,
so that jobs that arrive at random at the rate itself are seldom beyond it."""
FORGET_AFTER_S = 10 * DECAY_S
"""Age at which an accepted job no longer matters to a count."""
MAX_OWN_JOBS = 5_000
"""Accepted jobs that a host remembers until their pools' owners report them."""

_Key = TypeVar("_Key")


def max_count(rate: float) -> float:
    """Return the count of jobs up to which a workspace is within its rate.

    It is the count that jobs at equal intervals of ``1 / rate`` seconds approach, so these are
    always within the rate, also if the rate is far below or above one job per second. A count that
    is filled again and again admits ``rate`` jobs per second.

    :param rate: jobs per second; 0 or less, or not a number, allows none.
    """
    rate = usable_weight(rate)
    if not rate:
        return 0.0
    return 1.0 / -math.expm1(-1.0 / (rate * DECAY_S))


class DecayingCounts(Generic[_Key]):
    """Counts of events by key, in which an event's weight decays with time.

    Unlike token buckets such counts can be added: the sum of the counts of several pools is the
    count of all their events.
    """

    def __init__(self) -> None:
        self._count_by_key: dict[_Key, tuple[float, float]] = {}

    def add(self, key: _Key, at: float, now: float) -> None:
        """Add an event that happened at ``at``."""
        self._count_by_key[key] = (self.count(key, now) + _decay(now - at), now)

    def count(self, key: _Key, now: float) -> float:
        """Return the count of a key."""
        count, at = self._count_by_key.get(key, (0.0, now))
        return count * _decay(now - at)

    def counts(self, now: float, least: float) -> dict[_Key, float]:
        """Return all counts of at least ``least``, and forget the smaller ones."""
        counts = {key: self.count(key, now) for key in self._count_by_key}
        for key, count in counts.items():
            if count < least:
                del self._count_by_key[key]
        return {key: count for key, count in counts.items() if count >= least}


class PoolRates(msgspec.Struct, frozen=True):
    """What a pool's owner has reported of the jobs that it knows.

    :param sent_at: when the report was sent, by the reader's clock.
    :param counts: decayed number of jobs within their workspace's rate at that time.
    """

    sent_at: float
    counts: Mapping[WorkspaceId, float]


class _OwnJob(msgspec.Struct):
    at: float
    pool: PoolId
    workspace: WorkspaceId
    committed_at: float = math.inf


class RateBook:
    """Decides on one entry host whether a workspace's next job is within its rate.

    A workspace sends far more than its rate, through all entry hosts and into all pools. Each
    pool's owner reports the decayed number of jobs within the rate that it knows; a host adds up
    the reports of all pools and the jobs that it accepted since. Jobs beyond the rate don't count,
    so a workspace that sends several times its rate still has its rate within it.

    A report that is old, lost or missing only makes the count too low, since an old count has
    decayed, so errors are in favour of the workspace. They are bounded: a host always counts what
    it accepted itself, so ``n`` hosts that hear nothing of each other, as in a network partition,
    count at most ``n * (max_count(rate) + rate * t)`` jobs as within the rate in ``t`` seconds.
    Whenever a host that goes by a report of age ``a`` takes a job as within the rate, the true
    count exceeds :func:`max_count` by at most what the other hosts accepted in these ``a`` seconds.
    """

    def __init__(self) -> None:
        self._rates_by_pool: dict[PoolId, PoolRates] = {}
        self._own_by_job: dict[JobId, _OwnJob] = {}

    def update(self, pool: PoolId, rates: PoolRates) -> None:
        """Record a pool's report, unless it is already known or a newer one is."""
        if self.reported_at(pool) < rates.sent_at:
            self._rates_by_pool[pool] = rates

    def reported_at(self, pool: PoolId) -> float:
        """Return when a pool's newest report was sent; minus infinity if there is none."""
        rates = self._rates_by_pool.get(pool)
        return rates.sent_at if rates is not None else -math.inf

    def is_beyond(self, workspace: WorkspaceId, rate: float, now: float) -> bool:
        """Return whether a workspace's next job is beyond its rate.

        :param rate: jobs per second.
        """
        return self.count(workspace, now) + 1.0 > max_count(rate) * (1 + 1e-9)

    def count(self, workspace: WorkspaceId, now: float) -> float:
        """Return the decayed number of a workspace's jobs within its rate, over all pools."""
        self._forget(now)
        reported = (
            rates.counts.get(workspace, 0.0) * _decay(now - rates.sent_at)
            for rates in self._rates_by_pool.values()
        )
        own = (_decay(now - o.at) for o in self._own_by_job.values() if o.workspace == workspace)
        return sum(reported) + sum(own)

    def add(self, job: JobId, pool: PoolId, workspace: WorkspaceId, now: float) -> None:
        """Record a job within the rate that this host is about to accept."""
        if len(self._own_by_job) >= MAX_OWN_JOBS:
            del self._own_by_job[next(iter(self._own_by_job))]
        self._own_by_job.setdefault(job, _OwnJob(now, pool, workspace))

    def commit(self, job: JobId, now: float) -> None:
        """Record that a job was committed, so that its pool's owner reports it from now on."""
        own = self._own_by_job.get(job)
        if own is not None:
            own.committed_at = now

    def remove_uncommitted(self, job: JobId) -> None:
        """Remove a job that was not accepted after all."""
        own = self._own_by_job.get(job)
        if own is not None and own.committed_at == math.inf:
            del self._own_by_job[job]

    def _forget(self, now: float) -> None:
        """Forget jobs that their pool's owner has reported, and old ones."""
        for job, own in list(self._own_by_job.items()):
            if now - own.at > FORGET_AFTER_S or own.committed_at <= self.reported_at(own.pool):
                del self._own_by_job[job]


def _decay(age_s: float) -> float:
    return math.exp(-max(0.0, age_s) / DECAY_S)
