"""One endpoint as its pool's owner sees it, and the tasks that talk to it."""

import heapq
import itertools
import threading
import time
from enum import Enum
from functools import partial
from typing import Protocol

from lentilrill.clocks import RemoteClock
from lentilrill.execution._book import Run
from lentilrill.execution._contract import EndpointCalls, Look, OrderAnswer, StartOrder, Verdict
from lentilrill.execution._senders import Senders
from lentilrill.telemetry import run_and_log_errors
from lentilrill.workloads import EndpointEntry, TaskId

__all__ = ["HOLD_S", "EndpointLink", "Order", "OrderKind"]

HOLD_S = 3.4
"""Length of the lease given to what runs on an endpoint: longer than the take-over from an owner
that died (a look's age of 0.8 s, the owner's lease of 1.6 s, a claim and a look), and short, since
what runs where nobody can look is started elsewhere only when it has lapsed."""
CLOCK_ERROR = 0.02
"""By how much an endpoint's clock may run slow."""
LAPSE_SLACK_S = 0.3
"""Added to a lease's end before it counts as surely over: a stop at its end takes up to 0.2 s."""
BUSY_WAIT_MS = 800
"""How long a look waits for an end while something runs. Renews the lease four times over."""
IDLE_WAIT_MS = 2000
"""The same on an idle endpoint: finds out that it is gone or was born again."""
GATHER_S = 0.1
"""Pause after a look that brought ends. A look doesn't wait while ends are unacknowledged, which
takes a commit; and ends that come close together cost one look."""
ORDERS_AT_ONCE = 3
"""Orders on their way to one endpoint. With one, an order without an answer held up all others for
its time-out. Orders about one run may overtake each other: a stop that comes first makes the start
refused."""
RETRY_S = 0.15
"""Pause after a call without an answer."""


class OrderKind(Enum):
    """What an order does."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


URGENCY_BY_KIND = {OrderKind.STOP: 0, OrderKind.PACE: 1, OrderKind.START: 1}
"""Place in the queue. Stops have to be carried out in time, and give the room back that starts
need; those of a late owner's queue may take seconds."""


class Order:
    """An order that waits to be sent, about one run of a task.

    :param run: the run as the owner knows it; ``None`` for a stray one that is to be stopped.
    """

    __slots__ = ("kind", "number", "pace", "run", "task")

    def __init__(
        self, kind: OrderKind, task: TaskId, number: int, run: Run | None = None, pace: int = 100
    ) -> None:
        self.kind = kind
        self.task = task
        self.number = number
        self.run = run
        self.pace = pace

    @classmethod
    def of(cls, kind: OrderKind, run: Run, pace: int = 100) -> "Order":
        """Return an order about a run that the owner knows."""
        return cls(kind, run.task.id, run.number, run, pace)


class _Owner(Protocol):
    @property
    def token(self) -> int:
        """Fencing token of all orders."""

    def may_order(self) -> bool:
        """Whether this process still owns the pool."""

    def looked(self, link: "EndpointLink", look: Look, sent: float) -> None:
        """Take over what a look found; ``sent`` is when it was sent."""

    def start_for(self, link: "EndpointLink", run: Run) -> StartOrder | None:
        """Return the order of a start, or ``None`` if it is not wanted any more."""

    def answered(self, link: "EndpointLink", order: Order, answer: OrderAnswer) -> None:
        """Take over an order's answer."""


class EndpointLink:
    """An endpoint's state, the task that looks at it, and its orders.

    :param senders: send the orders, those to other endpoints too.
    :ivar strays_by_key: runs of jobs that the owner does not know, by when they were first seen.
    :ivar told_at: when the endpoint gave its newest look, as far as its clock tells, which is
        earlier than this process read it by the delay of links and of this process.
    :ivar lease_end: when all leases ever given to this endpoint have surely ended, by this
        process's monotonic clock; 0 if none was given.
    """

    def __init__(
        self,
        owner: _Owner,
        entry: EndpointEntry,
        calls: EndpointCalls,
        senders: Senders | None = None,
    ) -> None:
        self.entry = entry
        self.runs_by_key: dict[tuple[TaskId, int], Run] = {}
        self.strays_by_key: dict[tuple[TaskId, int], float] = {}
        self.looked_once = False
        self.reachable = False
        self.registered = True
        self.released = False
        self.release_began = 0.0
        self.release_asked = 0.0
        self.since = time.monotonic()
        self.busy_at = self.since
        self.heard = 0.0
        self.told_at = 0.0
        self.seen_cursor = 0
        self.stored_cursor = 0
        self.born_ms = 0
        self.failures = 0
        self.probe_at = 0.0
        self.lease_end = 0.0
        self.pace = 100
        self.paced_at = 0.0
        self._clock_ms = 0
        self._clock_read = 0.0
        self._clock = RemoteClock(CLOCK_ERROR)
        self._latest_expiry_ms = 0
        self._owner = owner
        self._calls = calls
        self._senders = senders or Senders()
        self._orders_lock = threading.Lock()
        self._waiting: list[tuple[int, int, Order]] = []
        self._turns = itertools.count()
        self._under_way = 0
        self._answers = True
        self._ended = threading.Event()
        self._nudge = threading.Event()
        self._looks = threading.Thread(target=self._look_on, name=f"look-{entry.id}", daemon=True)

    def start(self) -> None:
        """Begin to look."""
        self._looks.start()

    def close(self) -> None:
        """End the looks soon; no order is sent any more."""
        self._ended.set()
        self._nudge.set()

    @property
    def closed(self) -> bool:
        """Whether the link was closed."""
        return self._ended.is_set()

    def order(self, order: Order) -> None:
        """Queue an order, before those that wait and are less urgent."""
        with self._orders_lock:
            entry = (URGENCY_BY_KIND[order.kind], next(self._turns), order)
            heapq.heappush(self._waiting, entry)
            self._send_next()

    def _send_next(self) -> None:
        """Hand orders that wait to the senders, as many as may be on their way.

        One that does not answer gets one order at a time, so that it keeps one sender only.
        """
        most = ORDERS_AT_ONCE if self._answers else 1
        while self._waiting and self._under_way < most and not self._ended.is_set():
            urgency, _, order = heapq.heappop(self._waiting)
            self._under_way += 1
            self._senders.put(urgency, partial(self._send_one, order))

    def _send_one(self, order: Order) -> None:
        try:
            if not self._ended.is_set():
                self._carry_out(order)
        finally:
            with self._orders_lock:
                self._under_way -= 1
                self._send_next()

    def nudge(self) -> None:
        """Cut a pause between two looks short."""
        self._nudge.set()

    def inherit_lease(self, now: float) -> None:
        """Count a lease that an earlier owner gave, of which only the longest length is known.

        Guard against a task that waits for ever: its endpoint is lost between the look that found
        its run and the first lease of this owner's.
        """
        self.lease_end = max(self.lease_end, now + HOLD_S / (1 - CLOCK_ERROR) + LAPSE_SLACK_S)

    def note_clock(self, clock_ms: int, read_at: float) -> None:
        """Note the endpoint's clock as read at a moment of this process's monotonic clock."""
        if clock_ms:
            self.told_at = self.moment_of(clock_ms, read_at)
            self._clock_ms, self._clock_read = clock_ms, read_at
            self._reckon_lease_end()

    def moment_of(self, clock_ms: int, read_at: float) -> float:
        """Return when the endpoint's clock showed a time, by this process's monotonic clock.

        :param read_at: when this process read it, which is later by an unknown delay.
        """
        return self._clock.moment_of(clock_ms / 1000, read_at)

    def reborn(self, born_ms: int) -> None:
        """Forget what belonged to the endpoint's former life."""
        self.born_ms = born_ms
        self.released = False
        self.seen_cursor = self.stored_cursor = 0
        self._latest_expiry_ms = 0
        self._clock = RemoteClock(CLOCK_ERROR)
        self.lease_end = 0.0

    def expiry_ms(self, hold_s: float = HOLD_S) -> int:
        """Return the end of a lease given now, on the endpoint's clock, and keep note of it."""
        since_ms = (time.monotonic() - self._clock_read) * 1000
        expiry = int(self._clock_ms + since_ms + hold_s * 1000)
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry)
        self._reckon_lease_end()
        return expiry

    @property
    def clock_known(self) -> bool:
        """Whether the endpoint's clock has been read."""
        return self._clock_read > 0

    def _reckon_lease_end(self) -> None:
        left_s = (self._latest_expiry_ms - self._clock_ms) / 1000
        if left_s > 0:
            self.lease_end = self._clock_read + left_s / (1 - CLOCK_ERROR) + LAPSE_SLACK_S

    def _look_on(self) -> None:
        while not self._ended.is_set():
            if not run_and_log_errors(f"look {self.entry.id}", self._look):
                self._pause(RETRY_S)
        self._calls.close()

    def _look(self) -> None:
        if not self._owner.may_order():
            self._pause(RETRY_S)
            return
        # The first look only fences, reads the clock, and finds what an earlier owner left.
        first = not self.looked_once
        # Nothing is renewed out of sight: if the endpoint is lost, its tasks wait for the end of
        # the last lease that it may have got, which must not move on for ever.
        renews = self.reachable and not first and bool(self.runs_by_key)
        expiry = self.expiry_ms() if renews else None
        wait_ms = 0 if first else BUSY_WAIT_MS if self.runs_by_key else IDLE_WAIT_MS
        sent = time.monotonic()
        look = self._calls.look(self._owner.token, self.stored_cursor, expiry, wait_ms)
        if self._ended.is_set():
            return
        had = self.seen_cursor
        self._owner.looked(self, look, sent)
        if look.verdict is not Verdict.DONE:
            self._pause(RETRY_S)
        elif self.seen_cursor > had or self.seen_cursor > self.stored_cursor:
            self._ended.wait(GATHER_S)

    def _pause(self, seconds: float) -> None:
        self._nudge.wait(seconds)
        self._nudge.clear()

    def _carry_out(self, order: Order) -> None:
        # A right that pauses is no answer of the endpoint's: what was placed there stays placed.
        while not self._owner.may_order():
            if self._ended.wait(RETRY_S):
                return
        answer = self._send(order)
        if answer is not None:
            self._answers = answer.verdict not in (Verdict.UNKNOWN, Verdict.UNREACHED)
        if answer is not None and not self._ended.is_set():
            self._owner.answered(self, order, answer)

    def _send(self, order: Order) -> OrderAnswer | None:
        run = order.run
        if run is not None and run.key not in self.runs_by_key:
            return None
        if order.kind is OrderKind.START:
            assert run is not None
            start = self._owner.start_for(self, run)
            return None if start is None else self._calls.start(start)
        if order.kind is OrderKind.STOP:
            return self._calls.stop(order.task, order.number, self._owner.token)
        return self._calls.pace(order.task, order.number, order.pace, self._owner.token)
