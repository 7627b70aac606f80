"""Connection of a pool's owner to one endpoint: polls, orders and the run lease."""

import heapq
import itertools
import math
import threading
import time
from functools import partial
from typing import Protocol

from lentilrill.execution._contract import (
    EndpointCalls,
    OrderAnswer,
    PollResult,
    StartOrder,
    Verdict,
)
from lentilrill.execution._host_view import HostView
from lentilrill.execution._orders import URGENCY_BY_KIND, Order, OrderKind
from lentilrill.execution._run_leases import (
    MAX_CLOCK_ERROR,
    MAX_LEASE_S,
    NEVER,
    RUN_LEASE_S,
    RunLeases,
    carried_out_until,
    longest_run_s,
)
from lentilrill.execution._senders import Senders
from lentilrill.execution._tracking import Run
from lentilrill.scheduling import Speed
from lentilrill.telemetry import Event, log
from lentilrill.workloads import EndpointEntry, TaskId

__all__ = ["EndpointLink", "lease_end_of_report"]

BUSY_POLL_WAIT_MS = 800
"""How long a poll waits for an end while tasks run. Renews the run lease four times before it would
expire."""
IDLE_POLL_WAIT_MS = 2000
"""How long a poll of an idle endpoint waits; it detects a lost or restarted endpoint."""
GATHER_PAUSE_S = 0.1
"""Pause after a poll that returned ends. Polls do not wait while ends are unacknowledged, and
acknowledging takes a commit. The pause also gathers ends that come close together in one poll."""
MAX_ORDERS_IN_FLIGHT = 3
"""Orders in flight to one endpoint. With a single one, an unanswered order blocked all others for
its timeout. Orders about one run may overtake each other: a stop that arrives first makes the
endpoint refuse the start."""
RETRY_S = 0.15
"""Pause after an unanswered call."""
RENEWAL_PAUSE_S = 0.8
"""Pause between two renewals while the owner doesn't process reports."""


def lease_end_of_report(reported_at: float) -> float:
    """Return the time by which the leases of runs have expired that a previous owner renewed.

    :param reported_at: monotonic time of the poll that listed them, after which only the new owner
        renews leases.
    """
    return reported_at + longest_run_s(RUN_LEASE_S)


class _Owner(Protocol):
    @property
    def token(self) -> int:
        """Fencing token of all orders."""

    def may_order(self) -> bool:
        """Whether this process may give orders as the owner of the pool."""

    def may_poll(self) -> bool:
        """Whether this process still owns the pool, also while it takes over or hands over."""

    def processes_reports(self) -> bool:
        """Whether the owner has loaded the pool's records and is not handing over."""

    def on_renewal_answer(self, link: "EndpointLink", result: PollResult) -> None:
        """Process the answer to a poll that only renews the run lease."""

    def on_poll(self, link: "EndpointLink", result: PollResult, sent: float) -> None:
        """Process the result of a poll that was sent at ``sent``."""

    def on_renewal(self, seconds: float) -> None:
        """Record the time between two renewals of the run lease at an endpoint."""

    def start_order(self, link: "EndpointLink", run: Run) -> StartOrder | None:
        """Return the start order of a run, or ``None`` if the run is no longer needed."""

    def on_answer(self, link: "EndpointLink", order: Order, answer: OrderAnswer) -> None:
        """Process the answer to an order."""


class EndpointLink:
    """State of one endpoint, the thread that polls it, and its order queue.

    :param senders: threads that send the orders, shared with other endpoints.
    :param max_lease_s: longest lease that endpoints grant.
    :ivar opened_entry: the endpoint's entry when the link was opened; ``entry`` is the newest one.
    :ivar unknown_since_by_key: time of the first report of each unknown run (one whose job the
        owner does not track).
    :ivar reported_at: when the endpoint sent its newest answer, derived from its clock; earlier
        than the time of reading by the delays of the network and of this process.
    :ivar freed_at: when its owner last answered that it is free.
    :ivar alive_at: when the newest poll was sent that the known process has answered.
    :ivar has_unread_ends: whether the endpoint has more ends than its last answer listed.
    :ivar renewed_at: when the last poll that renewed the run lease was sent; ``None`` if no runs
        are assigned to the endpoint.
    :ivar capacity_share: share of its capacity that it has in effect at its speed.
    :ivar leases: leases that it was given.
    :ivar unreachable_since: when the first of its calls without an answer ended.
    :ivar host_view: what the list of hosts shows of its host since.
    :ivar others_called_until: monotonic time until which previous owners may have called it.
    :ivar settled_started_ms: start time of the process that no call to a former one reaches any
        more; 0 if unknown.
    """

    def __init__(
        self,
        owner: _Owner,
        entry: EndpointEntry,
        calls: EndpointCalls,
        senders: Senders | None = None,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.entry = self.opened_entry = entry
        self.runs_by_key: dict[tuple[TaskId, int], Run] = {}
        self.unknown_since_by_key: dict[tuple[TaskId, int], float] = {}
        self.was_polled = False
        self.reachable = False
        self.registered = True
        self.released = False
        self.release_started_at = 0.0
        self.release_requested_at = 0.0
        self.freed_at = -math.inf
        self.opened_at = time.monotonic()
        self.last_busy_at = self.opened_at
        self.answered_at = 0.0
        self.alive_at = 0.0
        self.reported_at = 0.0
        self.seen_cursor = 0
        self.stored_cursor = 0
        self.started_ms = 0
        self.has_unread_ends = False
        self.failures = 0
        self.probe_at = 0.0
        self.renewed_at: float | None = None
        self.leases = RunLeases(max_lease_s)
        self.others_called_until = NEVER
        self.settled_started_ms = 0
        self._other_has_answered = False
        self._lag_s = 0.0
        """By how much answers since the last poll are behind the known clock: they were read late,
        or come from another process, which adds this to each lease."""
        self._refuted_started_ms = 0
        self.unreachable_since = 0.0
        self.host_view = HostView()
        self.speed = Speed.NORMAL
        self.capacity_share = 1.0
        self.pace = 100
        self.paced_at = 0.0
        self._owner = owner
        self._calls = calls
        self._senders = senders or Senders()
        self._orders_lock = threading.Lock()
        self._waiting: list[tuple[int, int, Order]] = []
        self._sequence = itertools.count()
        self._in_flight = 0
        self._is_responsive = True
        self._reports_runs = False
        self._ended = threading.Event()
        self._woken = threading.Event()
        self._poll_thread = threading.Thread(
            target=self._poll_loop, name=f"look-{entry.id}", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._poll_thread.start()

    def close(self) -> None:
        """Stop polling and send no further orders."""
        self._ended.set()
        self._woken.set()

    @property
    def closed(self) -> bool:
        """Whether the link was closed."""
        return self._ended.is_set()

    def order(self, order: Order) -> None:
        """Queue an order ahead of less urgent ones."""
        with self._orders_lock:
            entry = (URGENCY_BY_KIND[order.kind], next(self._sequence), order)
            heapq.heappush(self._waiting, entry)
            self._send_next()

    def _send_next(self) -> None:
        """Pass queued orders to the senders, up to the limit of orders in flight.

        An unresponsive endpoint gets one order at a time, so that it blocks one sender only.
        """
        limit = MAX_ORDERS_IN_FLIGHT if self._is_responsive else 1
        while self._waiting and self._in_flight < limit and not self._ended.is_set():
            urgency, _, order = heapq.heappop(self._waiting)
            self._in_flight += 1
            self._senders.put(urgency, partial(self._send_one, order))

    def _send_one(self, order: Order) -> None:
        try:
            if not self._ended.is_set():
                self._execute(order)
        finally:
            with self._orders_lock:
                self._in_flight -= 1
                self._send_next()

    def wake(self) -> None:
        """Interrupt the pause between two polls."""
        self._woken.set()

    def assume_previous_lease(self, now: float) -> None:
        """Assume a full run lease from a previous owner, whose actual expiry is unknown.

        Without it, a task would wait forever if its endpoint were lost between the poll that
        found its run and the first lease given by this owner.
        """
        self.leases.assume(lease_end_of_report(now))

    @property
    def lease_end(self) -> float:
        """Monotonic time at which all leases given to the known process of this endpoint have
        expired, clock error included; 0 if none was given."""
        end = self.leases.end
        lag_s = self._lag_s / (1 - MAX_CLOCK_ERROR)
        return max(end + lag_s if end else end, self._end_by_others)

    def lease_end_of(self, run: Run) -> float:
        """Return the time at which a run's lease has expired, whichever process carries it out."""
        end = self.lease_end
        late_until = carried_out_until(run.sent_at)
        # A newer process that takes a copy without an answer need not have shown itself.
        may_start_late = run.may_start_late and self.alive_at < late_until
        if may_start_late:
            end = max(end, self.leases.end_of_longest(late_until))
        if may_start_late or (self.has_newer_process and not run.is_listed):
            end = max(end, self.leases.end_of_calls, self._end_of_calls_by_others)
        return end

    @property
    def unanswered_starts(self) -> int:
        """Number of runs with a copy of their start that got no answer."""
        return sum(run.may_start_late for run in self.runs_by_key.values())

    @property
    def has_newer_process(self) -> bool:
        """Whether the endpoint has started again, by its entry or by an answer, and its present
        process has not been polled yet."""
        known_ms = max(self.started_ms, self._refuted_started_ms)
        return self._other_has_answered or self.entry.started_ms > known_ms > 0

    def note_process(self, answer: OrderAnswer) -> None:
        """Note whether an answer to an order comes from a newer process."""
        now = time.monotonic()
        is_newer = answer.started_ms > self.started_ms > 0
        is_other = self.leases.is_other_clock(answer.clock_ms, now)
        if answer.clock_ms and self.clock_known and not is_other:
            self._lag_s = max(self._lag_s, self.leases.lag_s(answer.clock_ms, now))
        if self._other_has_answered or not (is_newer or (answer.clock_ms and is_other)):
            return
        self._other_has_answered = True
        log(Event.ENDPOINT_ANSWERS_ANEW, endpoint=self.entry.id, clock_ms=answer.clock_ms)

    def on_called(self, started_ms: int, *, is_answered: bool) -> None:
        """Note the end of a call that carried an expiry.

        :param started_ms: start time of the process by whose clock the expiry was reckoned.
        """
        is_former = started_ms != self.started_ms
        self.leases.on_call_ended(time.monotonic(), is_answered=is_answered, is_former=is_former)

    def update_clock(self, clock_ms: int, read_at: float) -> None:
        """Update the estimate of the endpoint's clock with a reading at a monotonic time."""
        if clock_ms:
            self.reported_at = self.leases.update_clock(clock_ms, read_at)

    def local_time_of(self, clock_ms: int, read_at: float) -> float:
        """Convert a time of the endpoint's clock to this process's monotonic clock.

        :param read_at: when this process read it, which is later by an unknown delay.
        """
        return self.leases.local_time_of(clock_ms, read_at)

    def reset(self, started_ms: int) -> None:
        """Reset the state that belongs to the endpoint's previous process."""
        self.started_ms = started_ms
        self.seen_cursor = self.stored_cursor = 0
        self.has_unread_ends = self._other_has_answered = False
        self._lag_s = 0.0
        self.leases.reset()

    @property
    def _end_by_others(self) -> float:
        """Monotonic time at which the leases have expired that calls of previous owners to former
        processes gave to the known one; 0 if it is settled, which may be read after its first
        poll."""
        if not self.started_ms or self.started_ms == self.settled_started_ms:
            return 0.0
        return self._end_of_calls_by_others

    @property
    def _end_of_calls_by_others(self) -> float:
        """The end of the longest lease that a call of a previous owner may give to any process."""
        return self.leases.end_of_longest(carried_out_until(self.others_called_until))

    def has_own_leases_only(self, now: float) -> bool:
        """Whether all leases are by the known process's clock, and none by a former one is to come.

        :param now: the monotonic clock.
        """
        return self.was_polled and now > max(self.leases.end_of_former, self._end_by_others)

    def new_expiry_ms(self) -> int:
        """Return and record the expiry of a lease given now, on the endpoint's clock."""
        return self.leases.new_expiry_ms()

    @property
    def clock_known(self) -> bool:
        """Whether the endpoint's clock has been read."""
        return self.leases.clock_known

    def _poll_loop(self) -> None:
        is_failing = False
        while not self._ended.is_set():
            try:
                self._poll()
                is_failing = False
            except Exception as error:
                if not is_failing:
                    log(Event.TASK_FAILED, task=f"look {self.entry.id}", error=repr(error))
                is_failing = True
                self._pause(RETRY_S)
        self._calls.close()

    def _poll(self) -> None:
        if not self._owner.may_poll():
            self._pause(RETRY_S)
        elif self._owner.processes_reports():
            self._poll_reports()
        else:
            self._renew()

    def _poll_reports(self) -> None:
        # The first poll only sets the fencing token, reads the clock and finds runs in progress.
        first = not self.was_polled
        # Leases of an unreachable endpoint are not renewed: its tasks are started elsewhere after
        # the last lease that it may have received, and renewals would postpone that forever.
        renews = self.reachable and not first and bool(self.runs_by_key)
        renews = renews and not self.has_newer_process
        expiry = self.new_expiry_ms() if renews else None
        wait_ms = IDLE_POLL_WAIT_MS
        if self.runs_by_key:
            # The renewal that follows must not wait for this poll.
            wait_ms = BUSY_POLL_WAIT_MS if renews else 0
        elif not self.reachable or self.has_newer_process:
            # What it was told meanwhile, late, is to be seen at once.
            wait_ms = 0
        sent = time.monotonic()
        # An endpoint that was silent may have restarted: the cursor of its previous process would
        # acknowledge ends of the new one that nobody has seen.
        is_known = self.reachable and not self.has_newer_process
        cursor = self.stored_cursor if is_known else 0
        result = self._send_poll(cursor, expiry, wait_ms)
        if self._ended.is_set():
            return
        self._reports_runs = result.verdict is Verdict.DONE and bool(result.running)
        previous_cursor = self.seen_cursor
        self._owner.on_poll(self, result, sent)
        if result.verdict is Verdict.DONE:
            self._note_poll_of_runs(sent, renewed=renews)
        if result.verdict is not Verdict.DONE:
            self._pause(RETRY_S)
        elif self.seen_cursor > previous_cursor or self.seen_cursor > self.stored_cursor:
            self._ended.wait(GATHER_PAUSE_S)

    def _renew(self) -> None:
        """Renew the lease of the runs that the endpoint reports, without processing the report.

        A new owner that is still reading the pool's records, or a previous one that is storing its
        progress, would otherwise let the leases of all tasks lapse. The ends in the report stay
        unacknowledged, so the endpoint lists them again.
        """
        renews = self._reports_runs
        expiry = self.new_expiry_ms() if renews else None
        sent = time.monotonic()
        cursor = self.stored_cursor if self._reports_runs else 0
        result = self._send_poll(cursor, expiry, 0)
        if self._ended.is_set():
            return
        self._owner.on_renewal_answer(self, result)
        # By the clock of a former process, a renewal would give the longest lease.
        is_known = result.verdict is Verdict.DONE and result.started_ms == self.started_ms
        self._reports_runs = is_known and bool(result.running)
        if self._reports_runs and renews:
            self._report_renewal(sent)
        if renews or not self._reports_runs:
            self._pause(RENEWAL_PAUSE_S)

    def _send_poll(self, cursor: int, expiry: int | None, wait_ms: int) -> PollResult:
        started_ms, registered_ms = self.started_ms, self.entry.started_ms
        other_has_answered, lag_s = self._other_has_answered, self._lag_s
        result = self._calls.poll(self._owner.token, cursor, expiry, wait_ms)
        if result.verdict is Verdict.DONE and result.started_ms == started_ms:
            # The known process has answered a call that was sent after these signs of another one.
            self._refuted_started_ms = max(self._refuted_started_ms, registered_ms)
            self._other_has_answered &= not other_has_answered
            if self._lag_s == lag_s:
                self._lag_s = 0.0
        if expiry is not None:
            self.on_called(started_ms, is_answered=result.verdict is not Verdict.UNKNOWN)
        return result

    def _report_renewal(self, sent: float) -> None:
        """Report the time since the runs' lease was last renewed."""
        if self.renewed_at is not None:
            self._owner.on_renewal(sent - self.renewed_at)
        self.renewed_at = sent

    def _note_poll_of_runs(self, sent: float, *, renewed: bool) -> None:
        """Report a poll that renewed the lease, or that there is nothing to renew."""
        if not self.runs_by_key:
            self.renewed_at = None
        elif renewed:
            self._report_renewal(sent)

    def _pause(self, seconds: float) -> None:
        self._woken.wait(seconds)
        self._woken.clear()

    def _execute(self, order: Order) -> None:
        # A suspended right to give orders says nothing about the endpoint: its runs stay placed.
        while not self._owner.may_order():
            if self._ended.wait(RETRY_S):
                return
        answer = self._send_or_log(order)
        if answer is not None:
            self._is_responsive = answer.verdict not in (Verdict.UNKNOWN, Verdict.UNREACHABLE)
        if answer is not None and not self._ended.is_set():
            self._owner.on_answer(self, order, answer)

    def _send_or_log(self, order: Order) -> OrderAnswer | None:
        """Send an order; an unexpected error counts as no answer, so that it is sent again."""
        try:
            return self._send(order)
        except Exception as error:
            log(Event.TASK_FAILED, task=f"order to {self.entry.id}", error=repr(error))
            return OrderAnswer(Verdict.UNKNOWN, reason=repr(error))

    def _send(self, order: Order) -> OrderAnswer | None:
        run = order.run
        if run is not None and run.key not in self.runs_by_key:
            return None
        if order.kind is OrderKind.START:
            assert run is not None
            start = self._owner.start_order(self, run)
            return None if start is None else self._calls.start(start)
        order.sent_to_ms = self.started_ms
        if order.kind is OrderKind.STOP:
            return self._calls.stop(order.task, order.number, self._owner.token)
        return self._calls.pace(order.task, order.number, order.pace, self._owner.token)
