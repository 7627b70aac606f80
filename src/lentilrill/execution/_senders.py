"""Tasks that send orders, shared by all endpoints of a pool."""

import heapq
import itertools
import threading
from collections.abc import Callable

from lentilrill.telemetry import run_and_log_errors

__all__ = ["Senders"]

MOST = 64
"""Tasks at most: more than a zone's endpoints of a large pool, each of which may hold one for the
time-out of an order while it is cut off."""
IDLE_S = 2.0
"""Time without an order after which a task ends."""


class Senders:
    """Runs calls side by side, the urgent ones first, on as many tasks as they need.

    Load pattern: a pool's owner has hundreds of endpoints, of which a few get orders at a time, in
    a surge or after a take-over all of them at once. Tasks of its own for each endpoint are idle
    nearly always; a fixed few for all of them wait for endpoints that do not answer.
    """

    def __init__(self, name: str = "orders", most: int = MOST) -> None:
        self._name = name
        self._most = most
        self._changed = threading.Condition()
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._turns = itertools.count()
        self._tasks = 0
        self._idle = 0
        self._ended = False

    def put(self, urgency: int, call: Callable[[], None]) -> None:
        """Run ``call`` soon, before those that wait and have a higher number in ``urgency``."""
        with self._changed:
            if self._ended:
                return
            heapq.heappush(self._calls, (urgency, next(self._turns), call))
            if len(self._calls) > self._idle and self._tasks < self._most:
                self._tasks += 1
                threading.Thread(target=self._run, name=self._name, daemon=True).start()
            else:
                self._changed.notify()

    def close(self) -> None:
        """End all tasks once what they do now is done."""
        with self._changed:
            self._ended = True
            self._calls.clear()
            self._changed.notify_all()

    def _run(self) -> None:
        while (call := self._next()) is not None:
            run_and_log_errors(self._name, call)

    def _next(self) -> Callable[[], None] | None:
        """Return what is to be run next; ``None`` if this task is to end."""
        with self._changed:
            if not self._calls and not self._ended:
                self._idle += 1
                self._changed.wait_for(lambda: self._calls or self._ended, IDLE_S)
                self._idle -= 1
            if self._calls:
                return heapq.heappop(self._calls)[-1]
            self._tasks -= 1
            return None
