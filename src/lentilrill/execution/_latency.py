"""Latencies of a pool's owner, which show whether it is overloaded."""

import threading
import time
from enum import Enum

from lentilrill.ids import PoolId, Revision
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["LatencyKind", "LatencyMonitor"]

REPORT_INTERVAL_S = 3.0


class LatencyKind(Enum):
    """Kind of a measured latency."""

    ROUND = "round"
    """Duration of a planning round."""
    WAKE_UP = "news"
    """Time from the first event that triggered a round to the start of the round."""
    START = "start"
    """Time from the placement of a run until its start order was sent."""
    POLL = "look"
    """Time between two poll answers of an endpoint while tasks run on it."""
    RENEWAL = "renewal"
    """Time between two renewals of the run lease at an endpoint, the first counted from the
    take-over."""


BOUND_S_BY_KIND = {
    LatencyKind.ROUND: 0.5,
    LatencyKind.WAKE_UP: 0.5,
    LatencyKind.START: 0.5,
    LatencyKind.POLL: 2.5,
    LatencyKind.RENEWAL: 2.5,
}
"""Upper bounds of a healthy owner's latencies. It pauses up to 0.1 s between two rounds, and a poll
waits up to 2 s. A run lease lasts 3.4 s from its renewal."""


class LatencyMonitor:
    """Records an owner's latencies as metrics, and logs the maxima if any exceeds its bound.

    Thread-safe.

    :param token: the owner's fencing token.
    """

    def __init__(self, pool: PoolId, token: Revision, metrics: Metrics) -> None:
        self._pool = pool
        self._token = token
        self._metrics = metrics
        self._lock = threading.Lock()
        self._worst_by_kind = dict.fromkeys(LatencyKind, 0.0)
        self._resent = 0
        self._reported_at = time.monotonic()
        self._processor_s = time.process_time()

    def record(self, kind: LatencyKind, seconds: float) -> None:
        """Record a latency."""
        self._metrics.timing(f"owner.{kind.value}.{self._pool}", seconds * 1000)
        with self._lock:
            self._worst_by_kind[kind] = max(self._worst_by_kind[kind], seconds)

    def record_resent(self) -> None:
        """Count a start order that is sent again because it got no answer."""
        self._metrics.incr(f"owner.resent.{self._pool}")
        with self._lock:
            self._resent += 1

    def report(self, now: float, jobs: int, endpoints: int) -> None:
        """Log the maxima since the last report, if any exceeds its bound.

        :param now: the monotonic clock.
        :param jobs: number of the pool's jobs that have not ended.
        :param endpoints: number of the pool's endpoints.
        """
        since_s = now - self._reported_at
        if since_s < REPORT_INTERVAL_S:
            return
        processor_s = time.process_time()
        cores = (processor_s - self._processor_s) / since_s
        with self._lock:
            worst_by_kind, self._worst_by_kind = self._worst_by_kind, dict.fromkeys(
                LatencyKind, 0.0
            )
            resent, self._resent = self._resent, 0
        self._reported_at, self._processor_s = now, processor_s
        if all(worst_by_kind[kind] <= bound_s for kind, bound_s in BOUND_S_BY_KIND.items()):
            return
        log(
            Event.OWNER_LATE,
            shard=self._pool,
            token=self._token,
            **{f"{kind.value}_s": round(s, 2) for kind, s in worst_by_kind.items()},
            resent=resent,
            cores=round(cores, 2),
            for_s=round(since_s, 1),
            jobs=jobs,
            endpoints=endpoints,
        )
