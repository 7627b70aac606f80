"""News that entry hosts tell each other."""

import threading
import time
from collections.abc import Callable

from lentilrill.clocks import RemoteClock
from lentilrill.entry._audience import TELL_EVERY_S, BriefTurn, brief, neighbours
from lentilrill.entry._books import ConfigurationBook
from lentilrill.entry._silence import FRESH_S, StoreSilence
from lentilrill.ids import Incarnation, PoolId, ProcessId
from lentilrill.inner import Batch, Configured, HostNews, Node, PoolPressure
from lentilrill.ownership import MemberRecord, boottime
from lentilrill.telemetry import run_and_log_errors

__all__ = ["NewsDesk"]

LOOK_EVERY_S = 0.1
"""Pause between two reckonings of what the own pools need."""
LOOK_SHARE = 0.05
"""Most of its time that a host spends on that."""
LATE_FRESH_S = 5.0
"""How long a peer's word that it takes over counts on a slowed host, which hears its peers late. If
that one has gone meanwhile, so has its lease, and the store refuses to write under that."""
RISE_HOSTS = 1.0
"""By how much a pool's need must have risen for news of it to go out before their turn."""
ASK_SILENT_S = 0.45
"""Silence of the store after which an owner asks all hosts whether they reach it: a renewal that
got no answer. By the time that the silence counts, their words are here."""
ASKED_S = 1.0
"""How long a host that might take a shard over is asked whether it can after it was last named."""
MOST_ASKED = 12
CLOCK_ERROR = 0.02
"""By how much a peer's clock may run slow."""


class NewsDesk(threading.Thread):
    """Tells peers this host's news, and keeps theirs.

    Each host tells only those who decide by it: the fleet's owner gets the whole pressure of each
    pool, all hosts get what they take jobs by, and whether a host reaches the store or can take a
    shard over is asked by those who want to know.

    :param pressures: pools that this host owns.
    :param store_silent_s: seconds since the store last answered this host.
    :param risen: called when a pool needs more hosts than was known before.
    :param takes_over: whether this host can take over a shard now.
    :param is_slowed: whether this host is slower than usual now.
    :param fleet_address: where the fleet's owner listens; empty if there is none.
    :param is_owner: whether this host owns any shard.
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
        fleet_address: Callable[[], str] = str,
        is_owner: Callable[[], bool] = lambda: False,
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
        self._fleet_address = fleet_address
        self._is_owner = is_owner
        self._brief = BriefTurn()
        self._fleet_told_at = 0.0
        self._asked_at = 0.0
        self._lock = threading.Lock()
        self._silence = StoreSilence()
        self._clock_by_process: dict[ProcessId, tuple[Incarnation, RemoteClock]] = {}
        self._pressure_by_pool: dict[PoolId, tuple[float, PoolPressure]] = {}
        self._takes_over_at: dict[ProcessId, float] = {}
        self._named_at: dict[ProcessId, float] = {}
        self._ended = threading.Event()
        node.on(HostNews, self._heard)
        node.on(Configured, self._configured)

    def run(self) -> None:
        """Tell news until closed."""
        pause_s = LOOK_EVERY_S
        while not self._ended.wait(pause_s):
            began = time.monotonic()
            run_and_log_errors("news", self._tell_if_due)
            took_s = time.monotonic() - began
            # Only what the own pools need has to be told between two turns.
            least_s = LOOK_EVERY_S if self._is_owner() else TELL_EVERY_S
            pause_s = min(TELL_EVERY_S, max(least_s, took_s / LOOK_SHARE))

    def _tell_if_due(self) -> None:
        """Tell each audience when it is its turn.

        Load pattern: a surge doubles within a second, and each tenth of a second by which its
        hosts come later is a tenth in which its jobs wait. So a rise goes out at once.
        """
        now = time.monotonic()
        pressures = self._pressures()
        rises = [self._note(pressure, now) for pressure in pressures]
        if pressures and (any(rises) or now - self._fleet_told_at >= TELL_EVERY_S):
            self._fleet_told_at = now
            self._send([self._fleet_address()], self._news(pressures))
        if self._brief.is_due(pressures, now):
            self._brief.told(pressures, now)
            self._tell(pressures)
        if now - self._asked_at >= TELL_EVERY_S:
            self._asked_at = now
            self._ask()

    def _tell(self, pressures: tuple[PoolPressure, ...]) -> None:
        """Tell all hosts of the own pools but the fleet's owner, which knows more.

        A host that owns none tells its neighbours only.
        """
        peers = self._peers()
        self._follow(peers)
        news = self._news(tuple(brief(pressure) for pressure in pressures))
        fleet = self._fleet_address()
        if pressures:
            told = [peer for peer in peers if peer.inner != fleet]
        else:
            told = neighbours(self._node.process, peers)
        self._send([peer.inner for peer in told], news)

    def _ask(self) -> None:
        """Ask for what this host is about to decide by."""
        now = time.monotonic()
        with self._lock:
            for process, named_at in list(self._named_at.items()):
                if now - named_at > ASKED_S:
                    del self._named_at[process]
            named = set(list(self._named_at)[:MOST_ASKED])
        everybody = self._store_silent_s() >= ASK_SILENT_S and self._is_owner()
        if everybody or named:
            asked = [p.inner for p in self._peers() if everybody or p.process in named]
            self._send(asked, self._news((), asks=True))

    def _follow(self, peers: list[MemberRecord]) -> None:
        """Note which hosts are registered."""
        now = time.monotonic()
        with self._lock:
            for peer in peers:
                self._silence.seen(peer.process, now)
            for process in self._clock_by_process.keys() - {peer.process for peer in peers}:
                del self._clock_by_process[process]

    def _news(self, pressures: tuple[PoolPressure, ...], *, asks: bool = False) -> HostNews:
        silent_s = round(self._store_silent_s(), 2)
        return HostNews(
            silent_s, self._book.version, pressures, self._takes_over(), asks, boottime()
        )

    def _send(self, addresses: list[str], news: HostNews) -> None:
        for address in addresses:
            if address and address != self._node.address:
                self._node.send(address, news)

    def close(self) -> None:
        """End the task soon."""
        self._ended.set()

    def pressure_of(self, pool: PoolId) -> PoolPressure | None:
        """Return the newest pressure of a pool, if it is fresh."""
        with self._lock:
            heard, pressure = self._pressure_by_pool.get(pool, (0.0, None))
        return pressure if time.monotonic() - heard < FRESH_S else None

    def takes_over(self, process: ProcessId) -> bool:
        """Whether another host has just said that it can take over a shard; it is asked if not."""
        with self._lock:
            self._named_at[process] = time.monotonic()
            said_at = self._takes_over_at.get(process, -LATE_FRESH_S)
        return time.monotonic() - said_at < (LATE_FRESH_S if self._is_slowed() else FRESH_S)

    def outage_everywhere(self) -> bool:
        """Whether the store is silent for all entry hosts that are heard, which are most."""
        with self._lock:
            return self._silence.is_everywhere(self._store_silent_s(), time.monotonic())

    def _heard(self, batch: Batch, news: HostNews) -> None:
        said_at = self._said_at(batch, news)
        with self._lock:
            self._silence.said(batch.sender, news.store_silent_s, said_at)
            if news.takes_over:
                self._takes_over_at[batch.sender] = said_at
            else:
                self._takes_over_at.pop(batch.sender, None)
        for pressure in news.pools:
            self._note(pressure, said_at)
        if news.version < self._book.version and self._book.value:
            self._node.send(batch.reply_to, Configured(self._book.version, self._book.value))
        if news.asks or news.version > self._book.version:
            self._node.send(batch.reply_to, self._news(()))

    def _said_at(self, batch: Batch, news: HostNews) -> float:
        """Return when news were sent, by this process's monotonic clock.

        Guard against old news that count as new: a busy host reads them seconds late. Suspended
        hosts' steady clocks stand still, so the other clock is used.
        """
        now = time.monotonic()
        if not news.sent_s:
            return now
        read_at = boottime()
        with self._lock:
            incarnation, clock = self._clock_by_process.get(batch.sender, (None, None))
            if clock is None or incarnation != batch.incarnation:
                clock = RemoteClock(CLOCK_ERROR)
                self._clock_by_process[batch.sender] = (batch.incarnation, clock)
            return now - max(0.0, read_at - clock.moment_of(news.sent_s, read_at))

    def _note(self, pressure: PoolPressure, said_at: float) -> bool:
        """Keep a pool's pressure; return whether the pool needs more hosts than before."""
        with self._lock:
            _, held = self._pressure_by_pool.get(pressure.pool, (0.0, None))
            if held is not None and held.token > pressure.token:
                return False
            self._pressure_by_pool[pressure.pool] = (said_at, pressure)
        has_risen = held is not None and pressure.need >= held.need + RISE_HOSTS
        if has_risen:
            self._risen()
        return has_risen

    def _configured(self, batch: Batch, message: Configured) -> None:
        del batch
        self._book.offer(message.value)
