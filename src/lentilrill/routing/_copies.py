"""Copies of the grants that the pools' schedulers hold themselves."""

import threading
import time
from collections.abc import Callable

from lentilrill.ids import GrantId, HostId, PoolId
from lentilrill.inner import GrantCopy
from lentilrill.routing._queue import Caller

__all__ = ["GrantCopies"]

STALE_S = 10.0
"""Silence of a living holder after which its copies are dropped; it sends all every 2 s."""

Copies = dict[GrantId, tuple[HostId, float]]


class GrantCopies:
    """Grants that other schedulers of the zone hold for their own jobs. Safe for threads.

    Guard against a host that is released under a running job: the gateway that ran it is killed,
    and was the scheduler that counted its grant. Nobody else would hold the host until the job's
    time is over.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._copies_by_holder: dict[tuple[PoolId, Caller], Copies] = {}
        self._heard_by_holder: dict[tuple[PoolId, Caller], float] = {}

    def hear(self, copy: GrantCopy, caller: Caller) -> None:
        """Take over what a scheduler holds, or what changed."""
        now = self._clock()
        holder = (copy.pool, caller)
        with self._lock:
            copies = {} if copy.whole else self._copies_by_holder.get(holder, {})
            for grant in copy.ended:
                copies.pop(grant, None)
            for held in copy.held:
                copies[held.grant] = (held.host, now + held.answer_s)
            self._copies_by_holder[holder] = copies
            self._heard_by_holder[holder] = now

    def occupies(self, host: HostId) -> bool:
        """Return whether the job of a copied grant may still run on ``host``."""
        now = self._clock()
        with self._lock:
            return any(
                host == on and until > now
                for copies in self._copies_by_holder.values()
                for on, until in copies.values()
            )

    def tick(self, alive: set[Caller]) -> None:
        """Forget what is over, and what a living holder no longer tells to this process."""
        now = self._clock()
        with self._lock:
            for holder, copies in list(self._copies_by_holder.items()):
                _, caller = holder
                is_stale = caller in alive and now - self._heard_by_holder[holder] > STALE_S
                if is_stale or all(until <= now for _, until in copies.values()):
                    del self._copies_by_holder[holder]
                    del self._heard_by_holder[holder]
