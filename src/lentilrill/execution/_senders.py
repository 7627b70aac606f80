"""Thread pool that sends orders, shared by all endpoints of a pool."""

import heapq
import itertools
import threading
from collections.abc import Callable

from lentilrill.telemetry import run_and_log_errors

__all__ = ["Senders"]

MAX_THREADS = 64
"""Maximum number of threads: more than a large pool has endpoints in one zone, since during a
partition each of those may block a thread for the timeout of an order."""
IDLE_TIMEOUT_S = 2.0
"""Time without an order after which a thread ends."""


class Senders:
    """Runs calls concurrently by urgency, on a number of threads that follows the demand.

    A pool's owner has hundreds of endpoints. Normally a few of them get orders at a time; in a
    surge or after a take-over all of them do. Dedicated threads for each endpoint would be idle
    nearly always, and a small fixed number would be blocked by unresponsive endpoints.
    """

    def __init__(self, name: str = "orders", max_threads: int = MAX_THREADS) -> None:
        self._name = name
        self._max_threads = max_threads
        self._changed = threading.Condition()
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._threads = 0
        self._idle_threads = 0
        self._ended = False

    def put(self, urgency: int, call: Callable[[], None]) -> None:
        """Schedule ``call`` ahead of queued calls with a higher value of ``urgency``."""
        with self._changed:
            if self._ended:
                return
            heapq.heappush(self._calls, (urgency, next(self._sequence), call))
            if len(self._calls) > self._idle_threads and self._threads < self._max_threads:
                self._threads += 1
                threading.Thread(target=self._run, name=self._name, daemon=True).start()
            else:
                self._changed.notify()

    def close(self) -> None:
        """Discard queued calls and end all threads after their current calls."""
        with self._changed:
            self._ended = True
            self._calls.clear()
            self._changed.notify_all()

    def _run(self) -> None:
        while (call := self._next()) is not None:
            run_and_log_errors(self._name, call)

    def _next(self) -> Callable[[], None] | None:
        """Return the next call, or ``None`` if this thread is to end."""
        with self._changed:
            if not self._calls and not self._ended:
                self._idle_threads += 1
                self._changed.wait_for(lambda: self._calls or self._ended, IDLE_TIMEOUT_S)
                self._idle_threads -= 1
            if self._calls:
                return heapq.heappop(self._calls)[-1]
            self._threads -= 1
            return None
