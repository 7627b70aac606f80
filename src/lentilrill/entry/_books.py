"""What an entry host knows from records of operators and endpoints."""

import threading
from collections.abc import Callable

from lentilrill.ids import EndpointId, PoolId
from lentilrill.platform import (
    CONFIGURATION_KEY,
    WAVES_PREFIX,
    decode_configuration,
    decode_endpoint,
    decode_wave,
)
from lentilrill.store import Item
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Configuration, EndpointEntry, Wave

__all__ = ["ConfigurationBook", "EndpointBook"]


class ConfigurationBook:
    """The newest configuration seen, and the waves of upkeep.

    Guard against a configuration that reverts: whatever comes late, from a stale read or from a
    peer, has a lower version than the one in force, and is dropped.
    """

    def __init__(self, changed: Callable[[], None] = lambda: None) -> None:
        self._lock = threading.Lock()
        self._changed = changed
        self.current: Configuration | None = None
        self.value = b""
        self.waves_by_number: dict[int, Wave] = {}

    @property
    def version(self) -> int:
        """The version in force; -1 if there is none yet."""
        return self.current.version if self.current is not None else -1

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Take over a full read."""
        with self._lock:
            self.waves_by_number = {}
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Take over changes."""
        for item in items:
            if item.value is None:
                continue
            if item.key == CONFIGURATION_KEY:
                self.offer(item.value)
            elif item.key.startswith(WAVES_PREFIX):
                wave = decode_wave(item.key, item.value)
                if wave is not None:
                    self.waves_by_number[wave.number] = wave

    def offer(self, value: bytes) -> None:
        """Put a configuration in force if it is newer."""
        offered = decode_configuration(value)
        if offered is None:
            return
        with self._lock:
            if offered.version <= self.version:
                return
            self.current, self.value = offered, value
        log(
            Event.CONFIGURATION_IN_FORCE,
            version=offered.version,
            queues=len(offered.queues),
            pools=len(offered.pools),
        )
        self._changed()


class EndpointBook:
    """Endpoints that are registered in the store, by pool."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[str, EndpointEntry] = {}

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Take over a full read."""
        with self._lock:
            self._by_key = {}
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Take over changes."""
        with self._lock:
            for item in items:
                entry = None
                if item.value is not None:
                    entry = decode_endpoint(item.key, item.value)
                if entry is None:
                    self._by_key.pop(item.key, None)
                else:
                    self._by_key[item.key] = entry

    def of_pool(self, pool: PoolId) -> dict[EndpointId, EndpointEntry]:
        """Return a pool's endpoints by id."""
        with self._lock:
            return {entry.id: entry for entry in self._by_key.values() if entry.pool == pool}
