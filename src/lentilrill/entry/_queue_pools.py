"""Pools that queues had in the configurations that this process has seen."""

import threading

from lentilrill.ids import PoolId, QueueId
from lentilrill.workloads import Configuration

__all__ = ["QueuePools"]

MAX_POOLS = 4
"""Maximum number of pools kept for one queue, the newest ones."""
MAX_REMOVED_QUEUES = 4096

_Address = tuple[str, str]
"""Host and path prefix of a queue: its callers' requests keep these when its id changes."""


class QueuePools:
    """Remembers in which pools jobs of a queue may have been accepted.

    That saves queries and refusals a read of the store where the queue's pool has changed. What
    this process hasn't seen is missing, so nothing may depend on it but that.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools_by_address: dict[_Address, tuple[PoolId, ...]] = {}

    def record(self, configuration: Configuration) -> None:
        """Record the pools of a configuration that came in force."""
        with self._lock:
            by_address = self._pools_by_address
            current = set()
            for queue in configuration.queues:
                address = (queue.host, queue.prefix)
                current.add(address)
                former = (pool for pool in by_address.get(address, ()) if pool != queue.pool)
                by_address[address] = (queue.pool, *former)[:MAX_POOLS]
            removed = [address for address in by_address if address not in current]
            for address in removed[: max(0, len(removed) - MAX_REMOVED_QUEUES)]:
                del by_address[address]

    def former(self, configuration: Configuration | None, queue_id: QueueId) -> tuple[PoolId, ...]:
        """Return the pools that a queue had before the one that it has now."""
        queue = configuration.queue(queue_id) if configuration is not None else None
        if queue is None:
            return ()
        with self._lock:
            pools = self._pools_by_address.get((queue.host, queue.prefix), ())
        return tuple(pool for pool in pools if pool != queue.pool)
