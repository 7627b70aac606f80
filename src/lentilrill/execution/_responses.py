"""Processing of endpoints' answers to polls and orders."""

import threading
import time
from collections.abc import Callable

from lentilrill.execution._contract import OrderAnswer, PollResult, StartOrder, Verdict
from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._latency import LatencyKind, LatencyMonitor
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._orders import Order, OrderKind
from lentilrill.execution._reconcile import Reconciler
from lentilrill.execution._tickets import TicketCache
from lentilrill.execution._tracking import Run, RunPhase
from lentilrill.ids import Revision
from lentilrill.telemetry import Event, log
from lentilrill.workloads import Resources, StepId

__all__ = ["ResponseHandler"]

RESEND_PAUSE_S = 0.05
"""Pause before an unanswered order is sent again."""


class ResponseHandler:
    """Applies the answers of a pool's endpoints to the tracked jobs.

    Its methods are called by the threads of the links, and acquire the owner's lock.

    :param token: the owner's fencing token.
    :param may_order: whether the owner may give orders now.
    :param may_poll: whether this process still owns the pool.
    :param processes_reports: whether the owner has loaded the pool's records and is not handing
        over.
    :param on_fenced: called when an endpoint reports a newer fencing token.
    :param on_ends: called when there are ends to be stored, with whether a release or
        the next page of ends waits for that.
    :param wake: triggers a planning round; called under the owner's lock.
    :param update_links: updates the links from the registered endpoints; called under the owner's
        lock.
    """

    def __init__(
        self,
        token: Revision,
        lock: threading.RLock,
        links: PoolLinks,
        reconciler: Reconciler,
        crashes: CrashBook,
        tickets: TicketCache,
        latency: LatencyMonitor,
        may_order: Callable[[], bool],
        may_poll: Callable[[], bool],
        processes_reports: Callable[[], bool],
        on_fenced: Callable[[str], None],
        on_ends: Callable[[bool], None],
        wake: Callable[[], None],
        update_links: Callable[[], None],
    ) -> None:
        self.token = token
        self._lock = lock
        self._links = links
        self._reconciler = reconciler
        self._crashes = crashes
        self._tickets = tickets
        self._latency = latency
        self._may_order = may_order
        self._may_poll = may_poll
        self._processes_reports = processes_reports
        self._on_fenced = on_fenced
        self._on_ends = on_ends
        self._wake = wake
        self._update_links = update_links

    def may_order(self) -> bool:
        """Whether orders may be given now."""
        return self._may_order()

    def may_poll(self) -> bool:
        """Whether this process still owns the pool, also while it takes over or hands over."""
        return self._may_poll()

    def processes_reports(self) -> bool:
        """Whether the owner has loaded the pool's records and is not handing over."""
        return self._processes_reports()

    def on_renewal_answer(self, link: EndpointLink, result: PollResult) -> None:
        """Process the answer to a poll that only renews the run lease."""
        if result.verdict is Verdict.FENCED:
            self._on_fenced(f"endpoint {link.entry.id} has accepted a newer owner")
        elif result.verdict is Verdict.DONE:
            # Without the lock, which is held while the records are decoded. Until a report is
            # processed, only the link's own thread uses this state.
            if not link.was_polled and result.started_ms != link.started_ms:
                link.reset(result.started_ms)
            if result.started_ms == link.started_ms:
                link.update_clock(result.clock_ms, time.monotonic())
        else:
            log(
                Event.RENEWAL_UNANSWERED,
                endpoint=link.entry.id,
                verdict=result.verdict.value,
                reason=result.reason,
            )

    def on_poll(self, link: EndpointLink, result: PollResult, sent: float) -> None:
        """Process the result of a poll."""
        if self._handle_refusal(link, result.verdict):
            return
        with self._lock:
            if link.closed:
                # The result was read before the link was closed, and processed after.
                return
            if result.verdict is not Verdict.DONE:
                if link.reachable:
                    log(
                        Event.ENDPOINT_LOST,
                        endpoint=link.entry.id,
                        verdict=result.verdict.value,
                        reason=result.reason,
                        runs=len(link.runs_by_key),
                        unanswered=link.unanswered_starts,
                        started_ms=link.started_ms,
                        entry_started_ms=link.entry.started_ms,
                        is_registered=link.registered,
                    )
                    self._crashes.on_silent(link)
                    link.unreachable_since = time.monotonic()
                    link.host_shows_end = False
                link.reachable = False
                return
            now = time.monotonic()
            if not link.reachable:
                log(Event.ENDPOINT_BACK, endpoint=link.entry.id, running=len(result.running))
            elif link.runs_by_key:
                self._latency.record(LatencyKind.POLL, now - link.answered_at)
            link.reachable = True
            link.was_polled = True
            had_ends = bool(result.ended)
            previous_ms = link.started_ms
            for order in self._reconciler.apply_poll(link, result, sent):
                link.order(order)
            if result.is_complete:
                self._links.unpolled.discard(link.entry.id)
            if previous_ms and link.started_ms != previous_ms:
                self._tickets.forget_endpoint(link.entry.id)
            # Only now: whether a run may have crashed the endpoint goes by the answer before.
            link.answered_at = now
            self._crashes.on_answer(link)
            self._wake()
        if had_ends:
            # The next page is listed once this one is acknowledged.
            self._on_ends(link.released or link.has_unread_ends)

    def on_renewal(self, seconds: float) -> None:
        """Record the time between two renewals of the run lease at an endpoint."""
        self._latency.record(LatencyKind.RENEWAL, seconds)

    def _handle_refusal(self, link: EndpointLink, verdict: Verdict) -> bool:
        """Handle an answer after which the endpoint takes no more orders.

        :return: whether it was such an answer.
        """
        if verdict is Verdict.FENCED:
            self._on_fenced(f"endpoint {link.entry.id} has accepted a newer owner")
            return True
        if verdict is Verdict.WRONG_INSTANCE:
            with self._lock:
                self._drop_endpoint(link)
            return True
        return False

    def _drop_endpoint(self, link: EndpointLink) -> None:
        """Drop the runs of an endpoint whose address is served by another instance."""
        log(Event.ENDPOINT_GONE, endpoint=link.entry.id, address=link.entry.address)
        self._crashes.on_process_ended(link)
        for run in list(link.runs_by_key.values()):
            self._reconciler.drop(link, run, "its endpoint has ended")
        link.reachable = False
        link.close()
        self._links.unpolled.discard(link.entry.id)
        self._wake()

    def start_order(self, link: EndpointLink, run: Run) -> StartOrder | None:
        """Return the start order of a run, or ``None`` if the run is no longer needed."""
        with self._lock:
            tracked_job = run.task.step.tracked_job
            if run.key not in link.runs_by_key:
                return None
            # The order may have waited in its queue, and rounds may be delayed.
            if not self._links.entries_are_fresh:
                self._update_links()
            # A copy that waited behind the stops to a lost endpoint would reach its next process.
            is_too_late = run.is_unconfirmed and not link.reachable
            if run.is_unsent and link.has_newer_process:
                self._reconciler.drop(link, run, "its endpoint has started again")
                return None
            is_over = tracked_job.state.is_final or run.task.done
            is_needless = is_over or run.phase is RunPhase.STOPPING
            if is_needless or is_too_late or link.entry.draining:
                if run.is_unconfirmed:
                    link.order(Order.stop(run))
                else:
                    self._reconciler.drop(link, run, "no longer needed")
                return None
            if run.phase is RunPhase.ORDERED and not _fits(link):
                if run.send_count:
                    # An earlier copy may still be carried out, or has been.
                    link.order(Order.stop(run))
                else:
                    self._reconciler.drop(link, run, "its endpoint's capacity has shrunk")
                return None
            if run.send_count:
                self._latency.record_resent()
            else:
                self._latency.record(LatencyKind.START, time.monotonic() - run.placed_at)
            run.send_count += 1
            run.sent_at = time.monotonic()
            expires_ms = run.expiry_ms(link.started_ms, link.new_expiry_ms)
            # If its ticket expired in the queue, the endpoint refuses the start.
            ticket = self._tickets.ticket(run.task.step.id, link.entry.id) or ""
            return StartOrder(
                run.task.id,
                run.number,
                tracked_job.job.spec,
                expires_ms,
                self.token,
                run.task.checkpoint,
                ticket,
            )

    def on_answer(self, link: EndpointLink, order: Order, answer: OrderAnswer) -> None:
        """Process the answer to an order."""
        if self._handle_refusal(link, answer.verdict):
            return
        with self._lock:
            if order.kind is OrderKind.START and answer.verdict is not Verdict.UNREACHABLE:
                assert order.run is not None
                is_answered = answer.verdict is not Verdict.UNKNOWN
                link.on_called(order.run.expires_at_started_ms, is_answered=is_answered)
            is_resent_start = order.kind is OrderKind.START and _is_unconfirmed(order)
            if answer.verdict is Verdict.UNKNOWN and not is_resent_start:
                log(
                    Event.ORDER_UNANSWERED,
                    job=order.task.job,
                    task=order.task,
                    run=order.number,
                    kind=order.kind.value,
                    endpoint=link.entry.id,
                    reason=answer.reason,
                )
            if answer.verdict is Verdict.NO_TICKET:
                self._tickets.forget(StepId(*order.task[:3]), link.entry.id)
            link.note_process(answer)
            # The clock of another process of the endpoint can't be compared with this one's.
            clock_ms = answer.clock_ms if answer.started_ms == link.started_ms else 0
            next_order = self._reconciler.apply_answer(link, order, answer.verdict, clock_ms)
            self._wake()
        if next_order is not None:
            time.sleep(RESEND_PAUSE_S)
            link.order(next_order)


def _is_unconfirmed(order: Order) -> bool:
    """Whether an earlier copy of a start got no answer, which has been logged."""
    return order.run is not None and order.run.is_unconfirmed


def _fits(link: EndpointLink) -> bool:
    """Whether all runs on an endpoint, also those being stopped, fit its present capacity."""
    free = link.entry.capacity
    for run in link.runs_by_key.values():
        free = free.minus(run.reserved)
    return Resources().fits(free)
