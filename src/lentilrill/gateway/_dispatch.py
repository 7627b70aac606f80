"""Dispatch of one accepted job: slot, connection, exchange and retries."""

import time
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager
from typing import Protocol

from returns.result import Failure
from urllib3.exceptions import HTTPError
from urllib3.util.request import SKIP_HEADER

from lentilrill.gateway._caller import BodyError, Caller, Pace
from lentilrill.gateway._endpoints import EndpointConnections, Link
from lentilrill.gateway._exchange import BrokenError, Exchange, Head, SilentError
from lentilrill.gateway._forwarding import FORWARDED, Forwarder, Mark
from lentilrill.gateway._heading import passed_on
from lentilrill.gateway._limits import ATTEMPTS
from lentilrill.gateway._patience import RunTimes
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind
from lentilrill.gateway._refusals import (
    bad_body,
    declined,
    silent,
    unreachable,
    withdrawn,
    zone_refused,
)
from lentilrill.gateway._run import Lost, NotSent, Run
from lentilrill.gateway._work import Ending, Refused, Streamed, Whole, Work
from lentilrill.ids import RequestId
from lentilrill.inner import Verdict
from lentilrill.routing import Job, RetryBudget, Slot, Slots, Where
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Dispatcher", "Watcher"]

UNSTARTED_TRIES = 16
"""Slots withdrawn before the job was sent, after which the job is refused."""
FORWARD_MARGIN_S = 0.5
REPLACED = frozenset(
    (
        "authorization",
        "content-length",
        "customer",
        "expect",
        FORWARDED,
        "plan",
        "request-id",
    )
)


class Watcher(Protocol):
    """Detects callers that disconnect while they wait."""

    def watching(self, caller: Caller, request: RequestId) -> AbstractContextManager[None]:
        """Abandon ``request`` if its caller disconnects within the context."""


class Dispatcher:
    """Sends jobs to endpoints and returns their complete responses."""

    def __init__(
        self,
        slots: Slots,
        connections: EndpointConnections,
        forwarder: Forwarder,
        budget: RetryBudget,
        watcher: Watcher,
        metrics: Metrics,
    ) -> None:
        self._slots = slots
        self._connections = connections
        self._forwarder = forwarder
        self._budget = budget
        self._watcher = watcher
        self._metrics = metrics
        self._run_times = RunTimes()

    def run(self, work: Work, caller: Caller) -> Ending:
        """Run the job; retry it if it did not run, or if it may run twice."""
        run = Run(work)
        while True:
            acquired = self._acquire(run, caller)
            if isinstance(acquired, Problem):
                return Refused(run.final(acquired))
            result = self._attempt(run, acquired, caller)
            if isinstance(result, Whole | Streamed | Refused):
                if not isinstance(result, Refused) and result.status < 500:
                    self._budget.succeeded()
                return result
            run.note(result, acquired)
            if not self._may_retry(run, result, caller):
                return Refused(run.final(result.problem))
            self._metrics.incr("request.retry")

    def _acquire(self, run: Run, caller: Caller) -> Slot | Problem:
        work = run.work
        job = Job(
            request=work.request,
            plan=work.holder.plan,
            entitlement=work.holder.entitlement,
            deadline=work.start_by,
            answer_by=work.answer_by,
            avoid=tuple(run.avoid),
            spillable=run.spillable,
        )
        with self._watcher.watching(caller, work.request):
            result = self._slots.acquire(job)
        if isinstance(result, Failure):
            return declined(result.failure())
        return result.unwrap()

    def _may_retry(self, run: Run, result: NotSent | Lost, caller: Caller) -> bool:
        if caller.gone or caller.answered or time.monotonic() >= run.work.start_by:
            return False
        if run.attempts >= ATTEMPTS or run.unstarted >= UNSTARTED_TRIES:
            return False
        if isinstance(result, Lost):
            return run.work.repeatable and (result.paid or self._budget.take())
        return not run.body_used and (not result.costs_budget or self._budget.take())

    def _attempt(self, run: Run, slot: Slot, caller: Caller) -> Ending | NotSent | Lost:
        """Make one attempt with the slot, and release the slot exactly once."""
        verdict, began = Verdict.UNUSED, time.monotonic()
        try:
            link = self._connect(run.work, slot)
            if link is None:
                verdict = Verdict.UNREACHABLE
                run.attempts += 1
                return NotSent(unreachable(slot))
            started = self._slots.start(slot)
            if isinstance(started, Failure):
                self._connections.give_back(link)
                run.unstarted += 1
                return NotSent(withdrawn(), costs_budget=False)
            run.attempts += 1
            began = time.monotonic()
            # From here on, bytes of the job may have been sent.
            verdict = Verdict.BROKEN
            result, verdict = self._exchange(run, slot, link, caller)
            if isinstance(result, Whole):
                self._run_times.note(slot.pool, time.monotonic() - began)
            return result
        finally:
            self._slots.release(slot, verdict, time.monotonic() - began)

    def _connect(self, work: Work, slot: Slot) -> Link | None:
        left_s = min(slot.send_by, work.answer_by) - time.monotonic()
        try:
            return self._connections.take(
                slot.address, work.idempotent, left_s, to_gateway=slot.where is Where.ZONE
            )
        except (OSError, HTTPError) as error:
            log(Event.ENDPOINT_UNREACHABLE, host=slot.host, at=slot.address, error=repr(error))
            return None

    def _exchange(
        self, run: Run, slot: Slot, link: Link, caller: Caller
    ) -> tuple[Ending | NotSent | Lost, Verdict]:
        work = run.work
        exchange = Exchange(link, work.request)
        keep = False
        try:
            self._send(run, slot, exchange, caller)
            if self._is_silent(run, slot, exchange):
                return Lost(silent(slot), paid=True), Verdict.BROKEN
            head = exchange.head(work.heading.method, self._patience_s(run, slot))
            result, verdict = self._take(run, slot, exchange, head, caller)
            keep = exchange.whole and not head.leaving
            return result, verdict
        except BodyError as error:
            return Refused(bad_body(error)), Verdict.UNUSED
        except BrokenError as error:
            log(Event.EXCHANGE_BROKEN, request=work.request, host=slot.host, error=str(error))
            kind = ProblemKind.SILENT if isinstance(error, SilentError) else ProblemKind.LOST
            return Lost(Problem(kind, str(error), Outcome.UNKNOWN)), Verdict.BROKEN
        finally:
            # A connection with an abandoned exchange is never reused: a late response would be
            # read as that of the next job.
            if keep:
                self._connections.give_back(link)
            else:
                self._connections.drop(link)

    def _send(self, run: Run, slot: Slot, exchange: Exchange, caller: Caller) -> None:
        work = run.work
        if work.heading.key is not None and not work.claimed:
            # Invariant: a keyed job is sent only with its claim; otherwise a repeated request
            # with the key could run the job twice.
            log(Event.INVARIANT_BROKEN, rule="claimed_before_dispatch", request=work.request)
            raise RuntimeError("a keyed job was about to be sent without its claim")
        run.sent = True
        body: bytes | Iterable[bytes] | None = work.body or None
        if work.body is None:
            run.body_used = True
            body = _streamed_body(work, caller)
        headers = self._headers(work, slot)
        left_s = max(0.001, work.answer_by - time.monotonic())
        exchange.send(work.heading.method, work.heading.target, headers, body, left_s)

    def _headers(self, work: Work, slot: Slot) -> dict[str, str]:
        heading, plan = work.heading, work.holder.plan
        headers = passed_on(heading.headers, REPLACED)
        # Keeps urllib3 from adding headers that the caller did not send.
        for name in ("accept-encoding", "user-agent"):
            headers.setdefault(name, SKIP_HEADER)
        headers["request-id"] = work.request
        length = heading.length if work.body is None else len(work.body)
        if length or "content-length" in heading.headers:
            headers["content-length"] = str(length)
        if slot.where is Where.ZONE:
            now = time.monotonic()
            mark = Mark(work.request, work.start_by - now, work.answer_by - now)
            headers["authorization"] = heading.headers["authorization"]
            headers[FORWARDED] = self._forwarder.sign(mark, heading.method, heading.target)
        else:
            headers["customer"] = plan.customer
            headers["plan"] = plan.id
        return headers

    def _is_silent(self, run: Run, slot: Slot, exchange: Exchange) -> bool:
        """Return whether to retry a repeatable job on another host; charge the retry budget."""
        patience_s = self._run_times.patience_s(slot.pool)
        if patience_s is None or run.attempts > 1 or slot.where is Where.ZONE:
            return False
        if not run.work.repeatable or patience_s >= self._patience_s(run, slot):
            return False
        return not exchange.answers_within(patience_s) and self._budget.take()

    def _patience_s(self, run: Run, slot: Slot) -> float:
        margin_s = FORWARD_MARGIN_S if slot.where is Where.ZONE else 0.0
        return run.work.answer_by + margin_s - time.monotonic()

    def _take(
        self, run: Run, slot: Slot, exchange: Exchange, head: Head, caller: Caller
    ) -> tuple[Ending | NotSent | Lost, Verdict]:
        body, complete = exchange.read_small(head, run.work.answer_by + FORWARD_MARGIN_S)
        if head.gateway_problem and slot.where is Where.ZONE:
            return zone_refused(head, body), Verdict.UNUSED
        if head.leaving and head.status == 503:
            # The endpoint reports that it did not start the job, so even a job that must not
            # run twice may be sent to another host.
            return NotSent(withdrawn(), costs_budget=False), Verdict.LEAVING
        verdict = _verdict(head)
        if complete:
            length = head.length if head.bodiless else None
            return Whole(head.status, head.headers, body, length), verdict
        whole = _relay(exchange, head, body, caller)
        content_type = dict(head.headers).get("Content-Type", "")
        # A caller's disconnect is not the host's fault. Counted as broken exchanges, many
        # disconnects at once would eject a healthy host.
        is_hosts_fault = not whole and not caller.gone
        return Streamed(head.status, content_type, whole), (
            Verdict.BROKEN if is_hosts_fault else verdict
        )


def _streamed_body(work: Work, caller: Caller) -> Iterator[bytes]:
    yield work.prefix
    yield from caller.stream((work.heading.length or 0) - len(work.prefix))


def _relay(exchange: Exchange, head: Head, first: bytes, caller: Caller) -> bool:
    """Stream a long response to the caller; return whether it was relayed completely."""
    pace = Pace()
    caller.begin(head.status, head.headers, head.length)
    try:
        caller.write(first)
        for part in exchange.rest():
            caller.write(part)
            pace.moved(len(part))
    except BrokenError:
        caller.abort()
        return False
    except OSError:
        caller.gone = True
        caller.abort()
        return False
    return True


def _verdict(head: Head) -> Verdict:
    if head.leaving:
        return Verdict.LEAVING
    return Verdict.ERROR if head.status >= 500 else Verdict.OK
