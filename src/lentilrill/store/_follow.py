"""Following all keys below a prefix: a full read, then a watch, with retries."""

import random
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.store._contract import Item, KeyValue, WatchStream
from lentilrill.telemetry import Event, log, run_and_log_errors

__all__ = ["Follower"]

INITIAL_RETRY_PAUSE_S = 0.1
NEED_CHECK_INTERVAL_S = 1.0
"""Interval of checking whether the keys are needed again, unless the thread is woken earlier."""
MAX_RETRY_PAUSE_S = 1.0
"""Maximum pause after a failed call. Pauses have full jitter, so that hosts that lost the store at
the same time do not all call it at the moment of its return."""


class _Listener(Protocol):
    def on_replaced(self, items: tuple[Item, ...]) -> None:
        """Process a full read, which replaces all items."""

    def on_changed(self, items: tuple[Item, ...]) -> None:
        """Process changes; a deleted key has no value."""


class Follower(threading.Thread):
    """Thread that passes the items below ``prefix`` and their changes to a listener.

    No change is missed: a watch that ends for any reason is continued from the last revision,
    and if the history is already compacted, all items are read again.

    :param pause_s: minimum seconds between two watch calls, so that a burst of changes costs one
        call per pause instead of one per change.
    :param is_needed: whether the items are needed now; if not, nothing is read or watched, and the
        listener is left without items, since these are outdated once they are needed again.
    :ivar read_revision: the store's revision at the last full read.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        listener: _Listener,
        pause_s: float = 0.0,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(name=f"follow-{prefix}", daemon=True)
        self._kv = kv
        self._prefix = prefix
        self._listener = listener
        self._pause_s = pause_s
        self._is_needed = is_needed
        self._ended = threading.Event()
        self._wake_event = threading.Event()
        self._watch: WatchStream | None = None
        self._random = random.Random()
        self.initial_read_done = threading.Event()
        self.last_update = time.monotonic()
        self.read_revision = Revision(0)
        self._holds_items = False
        self._failing_since: float | None = None

    def run(self) -> None:
        """Follow until closed."""
        revision: Revision | None = None
        failures = 0
        while not self._ended.is_set():
            if not self._is_needed():
                self._withdraw()
                revision = None
                self._wake_event.wait(NEED_CHECK_INTERVAL_S)
                self._wake_event.clear()
                continue
            if revision is None:
                revision = self._read(failures)
            if revision is not None:
                revision, failures = self._follow_changes(revision, failures)
            else:
                failures += 1
            if not failures:
                self._failing_since = None
            elif self._failing_since is None:
                self._failing_since = time.monotonic()
            if failures:
                max_pause_s = min(MAX_RETRY_PAUSE_S, INITIAL_RETRY_PAUSE_S * 2.0**failures)
                self._ended.wait(self._random.uniform(0.0, max_pause_s))

    @property
    def failing_s(self) -> float:
        """Seconds for which every call has failed, so that changes are missing; 0 if none has."""
        since = self._failing_since
        return time.monotonic() - since if since is not None else 0.0

    def wake(self) -> None:
        """Check now whether the items are needed."""
        self._wake_event.set()

    def close(self) -> None:
        """Stop the thread; do not wait for its end."""
        self._ended.set()
        self._wake_event.set()
        if self._watch is not None:
            self._watch.close()

    def _withdraw(self) -> None:
        """Leave the listener without items."""
        if self._holds_items:
            self._holds_items = False
            run_and_log_errors(f"follow {self._prefix}", partial(self._listener.on_replaced, ()))

    def _read(self, failures: int) -> Revision | None:
        result = self._kv.read(self._prefix)
        if isinstance(result, Failure):
            self._log_fault(result.failure(), failures)
            return None
        answer = result.unwrap()
        self._failing_since = None
        self.read_revision = answer.revision
        self._holds_items = True
        run_and_log_errors(
            f"follow {self._prefix}", partial(self._listener.on_replaced, answer.items)
        )
        self.last_update = time.monotonic()
        self.initial_read_done.set()
        return answer.revision

    def _follow_changes(self, after: Revision, failures: int) -> tuple[Revision | None, int]:
        """Watch until a fault.

        :return: the revision to continue from, or ``None`` to read again, and the number of
            consecutive failures.
        """
        self._watch = self._kv.watch(self._prefix, after)
        for result in self._watch:
            if self._ended.is_set() or not self._is_needed():
                break
            if isinstance(result, Failure):
                fault = result.failure()
                self._log_fault(fault, failures)
                return (None if fault.kind is FaultKind.CONFLICT else after), failures + 1
            batch = result.unwrap()
            after, failures = batch.revision, 0
            self._failing_since = None
            self.last_update = time.monotonic()
            if batch.items:
                run_and_log_errors(
                    f"follow {self._prefix}", partial(self._listener.on_changed, batch.items)
                )
                self._ended.wait(self._pause_s)
        return after, failures

    def _log_fault(self, fault: Fault, failures: int) -> None:
        # One log line per outage, however long it lasts and however often calls are retried.
        if failures:
            return
        log(Event.WATCH_BROKEN, prefix=self._prefix, kind=fault.kind.value, reason=fault.reason)
