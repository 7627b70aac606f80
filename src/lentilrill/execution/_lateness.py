"""How late a pool's owner is, so that one that can't carry its pool is told from a well one."""

import threading
import time
from enum import Enum

from lentilrill.ids import PoolId, Revision
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Late", "Lateness"]

REPORT_EVERY_S = 3.0


class Late(Enum):
    """What may come late."""

    ROUND = "round"
    """A round, by how long it took."""
    NEWS = "news"
    """A round, by how long the first of its news waited for it."""
    START = "start"
    """A start, by how long it waited after its placement until it was sent."""
    LOOK = "look"
    """A look's answer, by the time since the one before while tasks run on its endpoint."""


BOUND_S_BY_KIND = {Late.ROUND: 0.5, Late.NEWS: 0.5, Late.START: 0.5, Late.LOOK: 2.5}
"""Times that a well owner stays under: it pauses up to 0.1 s between two rounds, and a look waits
up to 2 s."""


class Lateness:
    """Gathers an owner's times for the metrics, and logs the longest ones if they are too long.

    Called by all of an owner's tasks.

    :param token: the owner's fencing token.
    """

    def __init__(self, pool: PoolId, token: Revision, metrics: Metrics) -> None:
        self._pool = pool
        self._token = token
        self._metrics = metrics
        self._lock = threading.Lock()
        self._worst_by_kind = dict.fromkeys(Late, 0.0)
        self._resent = 0
        self._reported_at = time.monotonic()
        self._processor_s = time.process_time()

    def note(self, kind: Late, seconds: float) -> None:
        """Note how long something took or waited."""
        self._metrics.timing(f"owner.{kind.value}.{self._pool}", seconds * 1000)
        with self._lock:
            self._worst_by_kind[kind] = max(self._worst_by_kind[kind], seconds)

    def resent(self) -> None:
        """Note that a start is sent again, since it got no answer."""
        self._metrics.incr(f"owner.resent.{self._pool}")
        with self._lock:
            self._resent += 1

    def report(self, now: float, jobs: int, endpoints: int) -> None:
        """Log the longest times since the last report, if one was too long.

        :param now: the monotonic clock.
        :param jobs: jobs of the pool that have not ended.
        :param endpoints: endpoints of the pool.
        """
        since_s = now - self._reported_at
        if since_s < REPORT_EVERY_S:
            return
        processor_s = time.process_time()
        cores = (processor_s - self._processor_s) / since_s
        with self._lock:
            worst_by_kind, self._worst_by_kind = self._worst_by_kind, dict.fromkeys(Late, 0.0)
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
