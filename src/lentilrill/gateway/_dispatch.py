"""Dispatch of one accepted job: slot, connection, exchange and retries."""

import time
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager
from typing import Protocol

from returns.result import Failure
from urllib3.exceptions import HTTPError
from urllib3.util.request import SKIP_HEADER

from lentilrill.gateway._accepted_job import (
    AcceptedJob,
    BufferedResponse,
    JobResult,
    ProblemResponse,
    StreamedResponse,
)
from lentilrill.gateway._caller import BodyError, Caller, MinimumRate
from lentilrill.gateway._connections import ConnectionCache, EndpointConnection
from lentilrill.gateway._exchange import Exchange, ExchangeError, ExchangeTimeoutError, ResponseHead
from lentilrill.gateway._forwarding import FORWARDED_HEADER, ForwardingSigner, ForwardingToken
from lentilrill.gateway._limits import MAX_ATTEMPTS
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind
from lentilrill.gateway._refusals import (
    body_problem,
    declined_problem,
    timeout_problem,
    unreachable_problem,
    withdrawn_problem,
    zone_failure,
)
from lentilrill.gateway._request_head import end_to_end_headers
from lentilrill.gateway._response_times import ResponseTimes
from lentilrill.gateway._retry_state import NotSent, ResponseLost, RetryState
from lentilrill.ids import RequestId
from lentilrill.inner import Verdict
from lentilrill.routing import Job, RetryBudget, Slot, Slots, SlotTarget
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["DisconnectWatcher", "Dispatcher"]

MAX_UNSTARTED_ATTEMPTS = 16
"""Slots withdrawn before the job was sent, after which the job is refused."""
FORWARD_MARGIN_S = 0.5
REPLACED_HEADERS = frozenset(
    (
        "authorization",
        "content-length",
        "customer",
        "expect",
        FORWARDED_HEADER,
        "plan",
        "request-id",
    )
)


class DisconnectWatcher(Protocol):
    """Detects callers that disconnect while they wait."""

    def watching(self, caller: Caller, request: RequestId) -> AbstractContextManager[None]:
        """Abandon ``request`` if its caller disconnects within the context."""


class Dispatcher:
    """Sends jobs to endpoints and returns their complete responses."""

    def __init__(
        self,
        slots: Slots,
        connections: ConnectionCache,
        forwarder: ForwardingSigner,
        budget: RetryBudget,
        watcher: DisconnectWatcher,
        metrics: Metrics,
    ) -> None:
        self._slots = slots
        self._connections = connections
        self._forwarder = forwarder
        self._budget = budget
        self._watcher = watcher
        self._metrics = metrics
        self._response_times = ResponseTimes()

    def run(self, job: AcceptedJob, caller: Caller) -> JobResult:
        """Run the job; retry it if it did not run, or if it may run twice."""
        state = RetryState(job)
        while True:
            acquired = self._acquire(state, caller)
            if isinstance(acquired, Problem):
                return ProblemResponse(state.final_problem(acquired))
            result = self._attempt(state, acquired, caller)
            if isinstance(result, BufferedResponse | StreamedResponse | ProblemResponse):
                if not isinstance(result, ProblemResponse) and result.status < 500:
                    self._budget.succeeded()
                return result
            state.record_failure(result, acquired)
            if not self._may_retry(state, result, caller):
                return ProblemResponse(state.final_problem(result.problem))
            self._metrics.incr("request.retry")

    def _acquire(self, state: RetryState, caller: Caller) -> Slot | Problem:
        job = state.job
        slot_request = Job(
            request=job.request,
            plan=job.access.plan,
            entitlement=job.access.entitlement,
            deadline=job.start_by,
            answer_by=job.answer_by,
            avoid=tuple(state.avoid),
            spillable=state.spillable,
            is_abandoned=lambda: caller.disconnected,
        )
        with self._watcher.watching(caller, job.request):
            result = self._slots.acquire(slot_request)
        if isinstance(result, Failure):
            return declined_problem(result.failure())
        return result.unwrap()

    def _may_retry(self, state: RetryState, result: NotSent | ResponseLost, caller: Caller) -> bool:
        if caller.disconnected or caller.response_started or time.monotonic() >= state.job.start_by:
            return False
        if state.attempts >= MAX_ATTEMPTS or state.unstarted >= MAX_UNSTARTED_ATTEMPTS:
            return False
        if isinstance(result, ResponseLost):
            return state.job.repeatable and (result.budget_charged or self._budget.take())
        return not state.body_consumed and (not result.costs_budget or self._budget.take())

    def _attempt(
        self, state: RetryState, slot: Slot, caller: Caller
    ) -> JobResult | NotSent | ResponseLost:
        """Make one attempt with the slot, and release the slot exactly once."""
        verdict, started_at = Verdict.UNUSED, time.monotonic()
        try:
            connection = self._open_connection(state.job, slot)
            if connection is None:
                verdict = Verdict.UNREACHABLE
                state.attempts += 1
                return NotSent(unreachable_problem(slot))
            started = self._slots.start(slot)
            if isinstance(started, Failure):
                self._connections.return_connection(connection)
                state.unstarted += 1
                return NotSent(withdrawn_problem(), costs_budget=False)
            state.attempts += 1
            started_at = time.monotonic()
            # From here on, bytes of the job may have been sent.
            verdict = Verdict.BROKEN
            result, verdict = self._exchange(state, slot, connection, caller)
            if isinstance(result, BufferedResponse):
                self._response_times.record(slot.pool, time.monotonic() - started_at)
            return result
        finally:
            self._slots.release(slot, verdict, time.monotonic() - started_at)

    def _open_connection(self, job: AcceptedJob, slot: Slot) -> EndpointConnection | None:
        left_s = min(slot.send_by, job.answer_by) - time.monotonic()
        try:
            return self._connections.acquire(
                slot.address, job.idempotent, left_s, to_gateway=slot.target is SlotTarget.ZONE
            )
        except (OSError, HTTPError) as error:
            log(Event.ENDPOINT_UNREACHABLE, host=slot.host, at=slot.address, error=repr(error))
            return None

    def _exchange(
        self, state: RetryState, slot: Slot, connection: EndpointConnection, caller: Caller
    ) -> tuple[JobResult | NotSent | ResponseLost, Verdict]:
        job = state.job
        exchange = Exchange(connection, job.request)
        keep = False
        try:
            self._send(state, slot, exchange, caller)
            if self._should_retry_elsewhere(state, slot, exchange):
                return ResponseLost(timeout_problem(slot), budget_charged=True), Verdict.BROKEN
            head = exchange.read_head(job.request_head.method, self._remaining_s(state, slot))
            result, verdict = self._read_response(state, slot, exchange, head, caller)
            keep = exchange.complete and not head.leaving
            return result, verdict
        except BodyError as error:
            return ProblemResponse(body_problem(error)), Verdict.UNUSED
        except ExchangeError as error:
            log(Event.EXCHANGE_BROKEN, request=job.request, host=slot.host, error=str(error))
            kind = (
                ProblemKind.SILENT if isinstance(error, ExchangeTimeoutError) else ProblemKind.LOST
            )
            return ResponseLost(Problem(kind, str(error), Outcome.UNKNOWN)), Verdict.BROKEN
        finally:
            # A connection with an abandoned exchange is never reused: a late response would be
            # read as that of the next job.
            if keep:
                self._connections.return_connection(connection)
            else:
                self._connections.discard(connection)

    def _send(self, state: RetryState, slot: Slot, exchange: Exchange, caller: Caller) -> None:
        job = state.job
        if job.request_head.key is not None and not job.claimed:
            # Invariant: a keyed job is sent only with its claim; otherwise a repeated request
            # with the key could run the job twice.
            log(Event.INVARIANT_BROKEN, rule="claimed_before_dispatch", request=job.request)
            raise RuntimeError("a keyed job was about to be sent without its claim")
        state.sent = True
        body: bytes | Iterable[bytes] | None = job.body or None
        if job.body is None:
            state.body_consumed = True
            body = _streamed_body(job, caller)
        headers = self._headers(job, slot)
        left_s = max(0.001, job.answer_by - time.monotonic())
        exchange.send(job.request_head.method, job.request_head.target, headers, body, left_s)

    def _headers(self, job: AcceptedJob, slot: Slot) -> dict[str, str]:
        request_head, plan = job.request_head, job.access.plan
        headers = end_to_end_headers(request_head.headers, REPLACED_HEADERS)
        # Keeps urllib3 from adding headers that the caller did not send.
        for name in ("accept-encoding", "user-agent"):
            headers.setdefault(name, SKIP_HEADER)
        headers["request-id"] = job.request
        length = request_head.length if job.body is None else len(job.body)
        if length or "content-length" in request_head.headers:
            headers["content-length"] = str(length)
        if slot.target is SlotTarget.ZONE:
            now = time.monotonic()
            forwarding_token = ForwardingToken(job.request, job.start_by - now, job.answer_by - now)
            headers["authorization"] = request_head.headers["authorization"]
            headers[FORWARDED_HEADER] = self._forwarder.sign(
                forwarding_token, request_head.method, request_head.target
            )
        else:
            headers["customer"] = plan.customer
            headers["plan"] = plan.id
        return headers

    def _should_retry_elsewhere(self, state: RetryState, slot: Slot, exchange: Exchange) -> bool:
        """Return whether to retry a repeatable job on another host; charge the retry budget."""
        timeout_s = self._response_times.timeout_s(slot.pool)
        if timeout_s is None or state.attempts > 1 or slot.target is SlotTarget.ZONE:
            return False
        if not state.job.repeatable or timeout_s >= self._remaining_s(state, slot):
            return False
        return not exchange.wait_for_response(timeout_s) and self._budget.take()

    def _remaining_s(self, state: RetryState, slot: Slot) -> float:
        margin_s = FORWARD_MARGIN_S if slot.target is SlotTarget.ZONE else 0.0
        return state.job.answer_by + margin_s - time.monotonic()

    def _read_response(
        self, state: RetryState, slot: Slot, exchange: Exchange, head: ResponseHead, caller: Caller
    ) -> tuple[JobResult | NotSent | ResponseLost, Verdict]:
        body, complete = exchange.read_buffered(head, state.job.answer_by + FORWARD_MARGIN_S)
        if head.gateway_problem and slot.target is SlotTarget.ZONE:
            return zone_failure(head, body), Verdict.UNUSED
        if head.leaving and head.status == 503:
            # The endpoint reports that it did not start the job, so even a job that must not
            # run twice may be sent to another host.
            return NotSent(withdrawn_problem(), costs_budget=False), Verdict.LEAVING
        verdict = _verdict(head)
        if complete:
            length = head.length if head.bodiless else None
            return BufferedResponse(head.status, head.headers, body, length), verdict
        relayed = _relay(exchange, head, body, caller)
        content_type = dict(head.headers).get("Content-Type", "")
        # A caller's disconnect is not the host's fault. Counted as broken exchanges, many
        # disconnects at once would eject a healthy host.
        is_hosts_fault = not relayed and not caller.disconnected
        return StreamedResponse(head.status, content_type, relayed), (
            Verdict.BROKEN if is_hosts_fault else verdict
        )


def _streamed_body(job: AcceptedJob, caller: Caller) -> Iterator[bytes]:
    yield job.body_prefix
    yield from caller.stream_body((job.request_head.length or 0) - len(job.body_prefix))


def _relay(exchange: Exchange, head: ResponseHead, first: bytes, caller: Caller) -> bool:
    """Stream a long response to the caller; return whether it was relayed completely."""
    rate = MinimumRate()
    caller.start_response(head.status, head.headers, head.length)
    try:
        caller.write(first)
        for part in exchange.stream_rest():
            caller.write(part)
            rate.add(len(part))
    except ExchangeError:
        caller.abort()
        return False
    except OSError:
        caller.disconnected = True
        caller.abort()
        return False
    return True


def _verdict(head: ResponseHead) -> Verdict:
    if head.leaving:
        return Verdict.LEAVING
    return Verdict.ERROR if head.status >= 500 else Verdict.OK
