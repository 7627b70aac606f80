"""Number of a queue's jobs that wait, over all pools in which the queue has jobs."""

import time
from collections.abc import Callable, Collection, Mapping

from lentilrill.ids import PoolId
from lentilrill.inner import MAX_STATUS_AGE_S, PoolPressure
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Queue

__all__ = ["WaitingCounts"]

SETTLED_S = 15.0
"""Time after a change of the configuration in which jobs may still get into pools that their queues
had before: by hosts that don't have it yet, and by writes that are carried out late."""


class WaitingCounts:
    """Counts waiting jobs by what the owners of the pools report.

    Jobs stay in the pool that accepted them when their queue is sent to another one, and this
    process may not know which pools a queue had. So each pool counts.

    :param pools: returns the pools that need an owner.
    :param pressures: returns the newest report of each pool, however old, and the monotonic time of
        its sending.
    :param configured_at: returns the monotonic time at which the configuration came in force here.
    """

    def __init__(
        self,
        pools: Callable[[], Collection[PoolId]],
        pressures: Callable[[], Mapping[PoolId, tuple[float, PoolPressure]]],
        configured_at: Callable[[], float],
    ) -> None:
        self._pools = pools
        self._pressures = pressures
        self._configured_at = configured_at

    def count(self, queue: Queue) -> int | None:
        """Return how many accepted jobs of a queue have not started; ``None`` if unknown."""
        pressures = self._pressures()
        configured = {queue.pool, *self._pools()}
        counts = [
            self._count_in(pool, queue, pressures.get(pool), is_configured=pool in configured)
            for pool in {*configured, *pressures}
        ]
        known = [count for count in counts if count is not None]
        return sum(known) if len(known) == len(counts) else None

    def _count_in(
        self,
        pool: PoolId,
        queue: Queue,
        dated: tuple[float, PoolPressure] | None,
        *,
        is_configured: bool,
    ) -> int | None:
        """Return how many jobs of a queue wait in a pool by its newest report, if that tells."""
        if dated is None:
            log(Event.PENDING_UNKNOWN, queue=queue.id, pool=pool)
            return None
        sent_at, pressure = dated
        age_s = time.monotonic() - sent_at
        if pressure.waiting_by_queue is not None:
            waiting = pressure.waiting_by_queue.get(queue.id, 0)
            gets_none = not is_configured or self._is_settled(queue, pool, sent_at)
            if age_s < MAX_STATUS_AGE_S or (gets_none and not waiting):
                return waiting
        log(Event.PENDING_UNKNOWN, queue=queue.id, pool=pool, report_age_s=round(age_s, 1))
        return None

    def _is_settled(self, queue: Queue, pool: PoolId, sent_at: float) -> bool:
        """Whether a pool can't have got jobs of a queue since its report."""
        return pool != queue.pool and sent_at >= self._configured_at() + SETTLED_S
