"""News that entry hosts tell each other a few times a second."""

import threading
import time
from collections.abc import Callable

from lentilrill.entry._books import ConfigurationBook
from lentilrill.ids import PoolId, ProcessId
from lentilrill.inner import Batch, Configured, HostNews, Node, PoolPressure
from lentilrill.ownership import MemberRecord
from lentilrill.telemetry import guarded

__all__ = ["NewsDesk"]

TELL_EVERY_S = 0.3
FRESH_S = 1.6
"""How long news count: five rounds, so that some lost messages change nothing."""
SILENT_S = 0.9
"""Silence of the store after which a host counts it as away: two renewals without an answer."""


class NewsDesk(threading.Thread):
    """Tells all peers this host's news, and keeps theirs.

    :param pressures: pools that this host owns.
    :param store_silent_s: seconds since the store last answered this host.
    """

    def __init__(
        self,
        node: Node,
        peers: Callable[[], list[MemberRecord]],
        book: ConfigurationBook,
        pressures: Callable[[], tuple[PoolPressure, ...]],
        store_silent_s: Callable[[], float],
    ) -> None:
        super().__init__(name="news", daemon=True)
        self._node = node
        self._peers = peers
        self._book = book
        self._pressures = pressures
        self._store_silent_s = store_silent_s
        self._lock = threading.Lock()
        self._news_by_process: dict[ProcessId, tuple[float, HostNews]] = {}
        self._pressure_by_pool: dict[PoolId, tuple[float, PoolPressure]] = {}
        self._ended = threading.Event()
        node.on(HostNews, self._heard)
        node.on(Configured, self._configured)

    def run(self) -> None:
        """Tell news until closed."""
        while not self._ended.wait(TELL_EVERY_S):
            guarded("news", self._tell)

    def _tell(self) -> None:
        pressures = self._pressures()
        for pressure in pressures:
            self._note(pressure)
        news = HostNews(round(self._store_silent_s(), 2), self._book.version, pressures)
        for peer in self._peers():
            self._node.send(peer.inner, news)

    def close(self) -> None:
        """End the task soon."""
        self._ended.set()

    def pressure_of(self, pool: PoolId) -> PoolPressure | None:
        """Return the newest pressure of a pool, if it is fresh."""
        with self._lock:
            heard, pressure = self._pressure_by_pool.get(pool, (0.0, None))
        return pressure if time.monotonic() - heard < FRESH_S else None

    def outage_everywhere(self) -> bool:
        """Whether most entry hosts, this one among them, say that the store is silent.

        Guard against two owners of one shard: while most hosts can't reach the store, hardly any
        can claim; a host that is cut off on its own hears no such majority.
        """
        if self._store_silent_s() < SILENT_S:
            return False
        now = time.monotonic()
        with self._lock:
            silent = sum(
                1
                for heard, news in self._news_by_process.values()
                if now - heard < FRESH_S and news.store_silent_s >= SILENT_S
            )
        return (silent + 1) * 2 > len(self._peers()) + 1

    def _heard(self, batch: Batch, news: HostNews) -> None:
        with self._lock:
            self._news_by_process[batch.sender] = (time.monotonic(), news)
        for pressure in news.pools:
            self._note(pressure)
        if news.version < self._book.version and self._book.value:
            self._node.send(batch.reply_to, Configured(self._book.version, self._book.value))

    def _note(self, pressure: PoolPressure) -> None:
        with self._lock:
            _, held = self._pressure_by_pool.get(pressure.pool, (0.0, None))
            if held is None or held.token <= pressure.token:
                self._pressure_by_pool[pressure.pool] = (time.monotonic(), pressure)

    def _configured(self, batch: Batch, message: Configured) -> None:
        del batch
        self._book.offer(message.value)
