"""Replication of the platform's state keys into the mirror and to the zone's members."""

import threading

from returns.result import Failure

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.inner import Node, StateItems
from lentilrill.membership import MembershipTracker
from lentilrill.store import Item, KeyValue, Mirror, Priority, WatchBatch, WatchStream
from lentilrill.telemetry import Event, Metrics, log, run_and_log_errors

__all__ = ["STATE", "Watcher"]

STATE = "state/"
RETRY_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 2.0
"""Interval at which the watch is compared with the store's newest change, and at which a
controller without a watch checks whether the platform is reachable."""


class Watcher:
    """Watch of the platform by one controller of each zone, which sends changes to the others.

    The first of the zone's heads that reaches the platform watches; if none reaches it, all
    controllers try. Two simultaneous watchers do no harm beyond an extra call.
    """

    def __init__(
        self,
        kv: KeyValue,
        mirror: Mirror,
        membership: MembershipTracker,
        node: Node,
        metrics: Metrics,
    ) -> None:
        self._kv = kv
        self._mirror = mirror
        self._membership = membership
        self._node = node
        self._metrics = metrics
        self._reachable = False
        self._behind = Revision(0)
        """Newest revision of the store if the mirror was behind it in the last check, else 0."""
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._stream: WatchStream | None = None
        self._thread = threading.Thread(target=self._run, name="watcher", daemon=True)
        self._checker = threading.Thread(target=self._check_watch, name="watch-check", daemon=True)

    @property
    def platform_ok(self) -> bool:
        """Whether the platform answered the last call."""
        return self._reachable

    def start(self) -> None:
        """Start watching."""
        self._thread.start()
        self._checker.start()

    def close(self) -> None:
        """Stop watching."""
        self._stopping.set()
        self._end_stream()
        self._checker.join()
        self._thread.join()

    def publish(self, items: tuple[Item, ...]) -> None:
        """Apply this process's own committed writes, and send them to the zone at once."""
        if self._mirror.merge(items):
            self._send_to_zone(items, self._mirror.complete_to, self._mirror.complete_to)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not run_and_log_errors("watcher", self._follow):
                self._stopping.wait(RETRY_INTERVAL_S)

    def _follow(self) -> None:
        if not self._should_watch():
            self._stopping.wait(RETRY_INTERVAL_S)
            return
        fault = self._read_all() or self._watch()
        if fault is not None and not self._stopping.is_set():
            self._metrics.incr("platform.watch_ended")
            self._stopping.wait(RETRY_INTERVAL_S)

    def _should_watch(self) -> bool:
        me = self._membership.me
        with_platform = {
            heartbeat.member
            for heartbeat in self._membership.last_heartbeats()
            if heartbeat.platform
        }
        candidates = [
            head for head in self._membership.heads() if head == me or head in with_platform
        ]
        return not candidates or candidates[0] == me

    def _read_all(self) -> Fault | None:
        result = self._kv.read(STATE)
        if isinstance(result, Failure):
            self._record_result(result.failure())
            return result.failure()
        self._record_result(None)
        answer = result.unwrap()
        before = self._mirror.complete_to
        if self._mirror.replace(answer.items, answer.revision):
            items, complete_to = self._mirror.changes_since(before)
            self._send_to_zone(items, before, complete_to)
        return None

    def _watch(self) -> Fault | None:
        stream = self._kv.watch(STATE, self._mirror.complete_to)
        with self._lock:
            self._stream = stream
        try:
            # close() may have run before self._stream was set; it could not end this stream.
            if self._stopping.is_set():
                return None
            for result in stream:
                if isinstance(result, Failure):
                    self._record_result(result.failure())
                    return result.failure()
                self._record_result(None)
                self._apply(result.unwrap())
                if self._stopping.is_set() or not self._should_watch():
                    return None
        finally:
            self._end_stream()
        return None

    def _end_stream(self) -> None:
        with self._lock:
            stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()

    def _apply(self, batch: WatchBatch) -> None:
        before = self._mirror.complete_to
        # The batch's revision may be ahead of events still to come, so the items' is used.
        newest = max((item.revision for item in batch.items), default=before)
        # An item of this process's own write is already in the mirror, but its batch shows that
        # nothing is missing up to it. Without this message, peers would get that only with the
        # next heartbeat.
        if self._mirror.merge(batch.items, newest) or newest > before:
            self._send_to_zone(batch.items, before, newest)

    def _send_to_zone(
        self, items: tuple[Item, ...], after: Revision, complete_to: Revision
    ) -> None:
        me = self._membership.me
        message = StateItems(items, after, complete_to)
        for member in self._membership.registered_in(me.zone):
            if member != me:
                self._node.send(member.inner, message)

    def _check_watch(self) -> None:
        """Detect a watch that stays silent although its connection is open, and restart it.

        If the store's newest change is later than the mirror's in two successive checks, the
        watch has missed it. The check costs one cheap read every few seconds.
        """
        while not self._stopping.wait(CHECK_INTERVAL_S):
            run_and_log_errors("watch-check", self._check_newest)

    def _check_newest(self) -> None:
        if not self._should_watch() and self._reachable:
            return
        result = self._kv.newest(STATE, Priority.LATER)
        if isinstance(result, Failure):
            if result.failure().kind is not FaultKind.EXHAUSTED:
                self._record_result(result.failure())
            return
        self._record_result(None)
        newest = result.unwrap()
        if newest > self._mirror.complete_to and self._behind > 0:
            log(Event.WATCH_SILENT, newest=newest, complete_to=self._mirror.complete_to)
            self._end_stream()
            self._behind = Revision(0)
        else:
            self._behind = newest if newest > self._mirror.complete_to else Revision(0)

    def _record_result(self, fault: Fault | None) -> None:
        self._reachable = fault is None
