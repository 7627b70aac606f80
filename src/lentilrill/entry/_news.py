"""News that entry hosts tell each other a few times a second."""

import threading
import time
from collections.abc import Callable

from lentilrill.entry._books import ConfigurationBook
from lentilrill.entry._silence import FRESH_S, StoreSilence
from lentilrill.ids import PoolId, ProcessId
from lentilrill.inner import Batch, Configured, HostNews, Node, PoolPressure
from lentilrill.ownership import MemberRecord
from lentilrill.telemetry import guarded

__all__ = ["NewsDesk"]

TELL_EVERY_S = 0.3
LOOK_EVERY_S = 0.1
"""Pause between two reckonings of what the own pools need."""
LOOK_SHARE = 0.05
"""Most of its time that a host spends on that."""
LATE_FRESH_S = 5.0
"""How long a peer's word that it takes over counts on a slowed host, which hears its peers late. If
that one has gone meanwhile, so has its lease, and the store refuses to write under that."""
RISE_HOSTS = 1.0
"""By how much a pool's need must have risen for news of it to go out before their turn."""


class NewsDesk(threading.Thread):
    """Tells all peers this host's news, and keeps theirs.

    :param pressures: pools that this host owns.
    :param store_silent_s: seconds since the store last answered this host.
    :param risen: called when a pool needs more hosts than was known before.
    :param takes_over: whether this host can take over a shard now.
    :param is_slowed: whether this host is slower than usual now.
    """

    def __init__(
        self,
        node: Node,
        peers: Callable[[], list[MemberRecord]],
        book: ConfigurationBook,
        pressures: Callable[[], tuple[PoolPressure, ...]],
        store_silent_s: Callable[[], float],
        risen: Callable[[], None] = lambda: None,
        takes_over: Callable[[], bool] = lambda: False,
        is_slowed: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(name="news", daemon=True)
        self._node = node
        self._peers = peers
        self._book = book
        self._pressures = pressures
        self._store_silent_s = store_silent_s
        self._risen = risen
        self._takes_over = takes_over
        self._is_slowed = is_slowed
        self._told_at = 0.0
        self._lock = threading.Lock()
        self._silence = StoreSilence()
        self._pressure_by_pool: dict[PoolId, tuple[float, PoolPressure]] = {}
        self._takes_over_at: dict[ProcessId, float] = {}
        self._ended = threading.Event()
        node.on(HostNews, self._heard)
        node.on(Configured, self._configured)

    def run(self) -> None:
        """Tell news until closed."""
        pause_s = LOOK_EVERY_S
        while not self._ended.wait(pause_s):
            began = time.monotonic()
            guarded("news", self._tell_if_due)
            took_s = time.monotonic() - began
            pause_s = min(TELL_EVERY_S, max(LOOK_EVERY_S, took_s / LOOK_SHARE))

    def _tell_if_due(self) -> None:
        """Tell news when it is time, or at once if a pool needs more hosts.

        Load pattern: a surge doubles within a second, and each tenth of a second by which its
        hosts come later is a tenth in which its jobs wait.
        """
        now = time.monotonic()
        pressures = self._pressures()
        rises = [self._note(pressure) for pressure in pressures]
        if any(rises) or now - self._told_at >= TELL_EVERY_S:
            self._told_at = now
            self._tell(pressures)

    def _tell(self, pressures: tuple[PoolPressure, ...]) -> None:
        silent_s = round(self._store_silent_s(), 2)
        news = HostNews(silent_s, self._book.version, pressures, self._takes_over())
        for peer in self._peers():
            with self._lock:
                self._silence.seen(peer.process, time.monotonic())
            self._node.send(peer.inner, news)

    def close(self) -> None:
        """End the task soon."""
        self._ended.set()

    def pressure_of(self, pool: PoolId) -> PoolPressure | None:
        """Return the newest pressure of a pool, if it is fresh."""
        with self._lock:
            heard, pressure = self._pressure_by_pool.get(pool, (0.0, None))
        return pressure if time.monotonic() - heard < FRESH_S else None

    def takes_over(self, process: ProcessId) -> bool:
        """Whether another host has just said that it can take over a shard."""
        with self._lock:
            said_at = self._takes_over_at.get(process, -LATE_FRESH_S)
        return time.monotonic() - said_at < (LATE_FRESH_S if self._is_slowed() else FRESH_S)

    def outage_everywhere(self) -> bool:
        """Whether the store is silent for all entry hosts that are heard, which are most."""
        with self._lock:
            return self._silence.is_everywhere(self._store_silent_s(), time.monotonic())

    def _heard(self, batch: Batch, news: HostNews) -> None:
        with self._lock:
            self._silence.said(batch.sender, news.store_silent_s, time.monotonic())
            if news.takes_over:
                self._takes_over_at[batch.sender] = time.monotonic()
            else:
                self._takes_over_at.pop(batch.sender, None)
        for pressure in news.pools:
            self._note(pressure)
        if news.version < self._book.version and self._book.value:
            self._node.send(batch.reply_to, Configured(self._book.version, self._book.value))

    def _note(self, pressure: PoolPressure) -> bool:
        """Keep a pool's pressure; return whether the pool needs more hosts than before."""
        with self._lock:
            _, held = self._pressure_by_pool.get(pressure.pool, (0.0, None))
            if held is not None and held.token > pressure.token:
                return False
            self._pressure_by_pool[pressure.pool] = (time.monotonic(), pressure)
        has_risen = held is not None and pressure.need >= held.need + RISE_HOSTS
        if has_risen:
            self._risen()
        return has_risen

    def _configured(self, batch: Batch, message: Configured) -> None:
        del batch
        self._book.offer(message.value)
