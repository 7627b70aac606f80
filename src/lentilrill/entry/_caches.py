"""In-memory copies of the records of operators and endpoints."""

import threading
import time
from collections.abc import Callable

from lentilrill.entry._queue_pools import QueuePools
from lentilrill.ids import EndpointId, PoolId, QueueId
from lentilrill.platform import (
    CONFIGURATION_KEY,
    WAVES_PREFIX,
    decode_configuration,
    decode_endpoint,
    decode_wave,
)
from lentilrill.store import Compare, Item
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Configuration, EndpointEntry, Wave

__all__ = ["ConfigurationCache", "EndpointDirectory"]

MAX_LEFT_OUT_POOLS = 32
"""Maximum number of pools of earlier configurations that keep an owner, the newest ones."""


class ConfigurationCache:
    """The newest configuration received, and the upkeep waves.

    A configuration with a lower version than the one in force comes from a stale read or a late
    message of a peer, and is ignored, so that the configuration never reverts.

    :ivar key: key and revision of the configuration in force; ``None`` if it came from a peer,
        which doesn't know the revision.
    :ivar configured_at: monotonic time at which it came in force; 0 if there is none yet.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._lock = threading.Lock()
        self._on_change = on_change
        self._queue_pools = QueuePools()
        self._left_out_pools: tuple[PoolId, ...] = ()
        self.current: Configuration | None = None
        self.value = b""
        self.key: Compare | None = None
        self.configured_at = 0.0
        self.waves_by_number: dict[int, Wave] = {}

    @property
    def version(self) -> int:
        """The version in force; -1 if there is none yet."""
        return self.current.version if self.current is not None else -1

    @property
    def owned_pools(self) -> set[PoolId]:
        """The pools that need an owner.

        Those of earlier configurations are among them, as far as known: their accepted jobs still
        have to be run.
        """
        current = self.current.owned_pools if self.current is not None else frozenset()
        return {*current, *self._left_out_pools}

    def _record_left_out(self, configuration: Configuration) -> None:
        needed = configuration.owned_pools
        before = self.current.owned_pools if self.current is not None else frozenset()
        left_out = [*self._left_out_pools, *sorted(before - needed)]
        kept = tuple(pool for pool in left_out if pool not in needed)
        self._left_out_pools = kept[-MAX_LEFT_OUT_POOLS:]

    def former_pools(self, queue: QueueId) -> tuple[PoolId, ...]:
        """Return the pools that a queue had in earlier configurations, as far as known."""
        return self._queue_pools.former(self.current, queue)

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Replace the cached records by a full read."""
        with self._lock:
            self.waves_by_number = {}
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Apply changed records."""
        for item in items:
            if item.value is None:
                continue
            if item.key == CONFIGURATION_KEY:
                self.apply_if_newer(item.value, Compare(item.key, item.revision))
            elif item.key.startswith(WAVES_PREFIX):
                wave = decode_wave(item.key, item.value)
                if wave is not None:
                    self.waves_by_number[wave.number] = wave

    def apply_if_newer(self, value: bytes, key: Compare | None = None) -> None:
        """Put an encoded configuration in force if it is newer than the current one.

        :param key: its key and revision, if known.
        """
        configuration = decode_configuration(value)
        if configuration is None:
            return
        with self._lock:
            if configuration.version == self.version and key is not None:
                self.key = key
            if configuration.version <= self.version:
                return
            self._queue_pools.record(configuration)
            self._record_left_out(configuration)
            self.current, self.value, self.key = configuration, value, key
            self.configured_at = time.monotonic()
        log(
            Event.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            queues=len(configuration.queues),
            pools=len(configuration.pools),
        )
        self._on_change()


class EndpointDirectory:
    """Endpoints registered in the store."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[str, EndpointEntry] = {}
        self._odd_keys: set[str] = set()
        """Keys of entries that can't be used, each of which is logged once."""

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Replace the cached records by a full read."""
        with self._lock:
            self._by_key = {}
            self._odd_keys &= {item.key for item in items}
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Apply changed records."""
        with self._lock:
            for item in items:
                self._by_key.pop(item.key, None)
                if item.value is None:
                    self._odd_keys.discard(item.key)
                    continue
                entry = decode_endpoint(item.key, item.value, self._report_odd)
                if entry is not None:
                    self._by_key[item.key] = entry
                    self._odd_keys.discard(item.key)

    def _report_odd(self, key: str, reason: str) -> None:
        if key not in self._odd_keys:
            self._odd_keys.add(key)
            log(Event.RECORD_ODD, key=key, reason=reason)

    def of_pool(self, pool: PoolId) -> dict[EndpointId, EndpointEntry]:
        """Return the endpoints of a pool by id."""
        with self._lock:
            return {entry.id: entry for entry in self._by_key.values() if entry.pool == pool}
