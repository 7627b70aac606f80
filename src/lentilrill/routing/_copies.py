"""Copies of the grants that the processes of other schedulers hold for their own jobs."""

import threading
import time
from collections.abc import Callable

from lentilrill.ids import GrantId, HostId, PoolId
from lentilrill.inner import GrantCopy
from lentilrill.routing._queue import GatewayInstance

__all__ = ["GrantCopies"]

STALE_AFTER_S = 10.0
"""Age at which the copies of a live holder are dropped; it sends a full copy every 2 s."""

_CopiesByGrant = dict[GrantId, tuple[HostId, float]]


class GrantCopies:
    """Grants that other schedulers of the zone hold for their own jobs. Thread-safe.

    A gateway that sent a job may be killed while it is also the scheduler that tracked the grant.
    Without a copy at the next scheduler, the host would be released under the running job.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._copies_by_holder: dict[tuple[PoolId, GatewayInstance], _CopiesByGrant] = {}
        self._received_at_by_holder: dict[tuple[PoolId, GatewayInstance], float] = {}

    def update(self, copy: GrantCopy, gateway: GatewayInstance) -> None:
        """Apply a full copy, or a change, from a scheduler's process."""
        now = self._clock()
        holder = (copy.pool, gateway)
        with self._lock:
            copies = {} if copy.whole else self._copies_by_holder.get(holder, {})
            for grant in copy.ended:
                copies.pop(grant, None)
            for held in copy.held:
                copies[held.grant] = (held.host, now + held.answer_s)
            self._copies_by_holder[holder] = copies
            self._received_at_by_holder[holder] = now

    def occupies(self, host: HostId) -> bool:
        """Return whether the job of a copied grant may still run on ``host``."""
        now = self._clock()
        with self._lock:
            return any(
                host == copied_host and until > now
                for copies in self._copies_by_holder.values()
                for copied_host, until in copies.values()
            )

    def tick(self, alive: set[GatewayInstance]) -> None:
        """Remove expired copies, and those that a live holder no longer sends to this process."""
        now = self._clock()
        with self._lock:
            for holder, copies in list(self._copies_by_holder.items()):
                _, gateway = holder
                is_stale = (
                    gateway in alive and now - self._received_at_by_holder[holder] > STALE_AFTER_S
                )
                if is_stale or all(until <= now for _, until in copies.values()):
                    del self._copies_by_holder[holder]
                    del self._received_at_by_holder[holder]
