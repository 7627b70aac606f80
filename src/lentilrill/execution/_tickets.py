"""Cache of policy service tickets, which endpoints require for the tasks of some queues."""

import threading
import time
from collections.abc import Callable
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.execution._contract import PolicyCalls
from lentilrill.ids import EndpointId
from lentilrill.telemetry import Dependency, Event, log, run_and_log_errors
from lentilrill.workloads import StepId

__all__ = ["TicketCache", "TicketRequest"]

MAX_ENDPOINTS_PER_CALL = 30
"""Endpoints per call. The service takes time for each endpoint and serves one call at a time from
each host, so longer calls would delay other steps. Its own limit is 100."""
EXPIRY_MARGIN_S = 0.4
"""Time before its expiry at which a ticket counts as expired: the delivery time of a start order,
including one timeout. Limited to a quarter of the ticket's validity."""
RETRY_S = 0.2
"""Pause after a failed or rate-limited call."""
RETENTION_S = 30.0
"""How long a step's tickets are kept after the last request for them."""


class TicketRequest(msgspec.Struct, frozen=True):
    """Request for tickets of a step on endpoints, those with the most free capacity first."""

    step: StepId
    endpoints: tuple[EndpointId, ...]


class _StepTickets:
    """Cached answers of the service about one step."""

    __slots__ = ("denied", "requested_at", "ticket_by_endpoint")

    def __init__(self, now: float) -> None:
        self.ticket_by_endpoint: dict[EndpointId, tuple[str, float]] = {}
        # Whether an endpoint may run a step doesn't change, so a refusal is kept until it restarts.
        self.denied: set[EndpointId] = set()
        self.requested_at = now

    def needs_ticket(self, endpoint: EndpointId, now: float) -> bool:
        """Whether a ticket for an endpoint has to be requested."""
        _, until = self.ticket_by_endpoint.get(endpoint, ("", 0.0))
        return endpoint not in self.denied and now >= until


class TicketCache:
    """Requests tickets from the policy service ahead of the starts that need them.

    A surge brings many steps at once, and the service processes the calls of a host one by one.
    Therefore tickets are requested in the order of the last planning round, and for no more
    endpoints at once than a step can use soon.

    :param policy: calls to the service; ``None`` if none is configured.
    :param on_changed: called after each answer.
    """

    def __init__(self, policy: PolicyCalls | None, on_changed: Callable[[], None]) -> None:
        self._policy = policy
        self._on_changed = on_changed
        self._lock = threading.Lock()
        self._tickets_by_step: dict[StepId, _StepTickets] = {}
        self._restarted_at: dict[EndpointId, float] = {}
        self._requests: list[TicketRequest] = []
        self._service = Dependency("policy service")
        self._wake = threading.Event()
        self._ended = threading.Event()
        self._thread: threading.Thread | None = None

    def ticket(self, step: StepId, endpoint: EndpointId) -> str | None:
        """Return a valid ticket, or ``None`` if there is none."""
        with self._lock:
            step_tickets = self._tickets_by_step.get(step)
            if step_tickets is None:
                return None
            ticket, until = step_tickets.ticket_by_endpoint.get(endpoint, ("", 0.0))
            return ticket if time.monotonic() < until else None

    def request(self, requests: list[TicketRequest]) -> None:
        """Replace the list of steps that need tickets, the most urgent first."""
        now = time.monotonic()
        with self._lock:
            self._requests = requests
            for request in requests:
                self._tickets_by_step.setdefault(request.step, _StepTickets(now)).requested_at = now
            old = [
                step
                for step, step_tickets in self._tickets_by_step.items()
                if now - step_tickets.requested_at > RETENTION_S
            ]
            for step in old:
                del self._tickets_by_step[step]
        if requests and self._policy is None:
            self._service.record_failure("no address in the settings")
        elif requests and self._thread is None:
            self._thread = threading.Thread(target=self._request_loop, name="tickets", daemon=True)
            self._thread.start()
        self._wake.set()

    def forget(self, step: StepId, endpoint: EndpointId) -> None:
        """Drop a ticket that an endpoint refused, for example after its restart."""
        with self._lock:
            step_tickets = self._tickets_by_step.get(step)
            if step_tickets is not None:
                step_tickets.ticket_by_endpoint.pop(endpoint, None)

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop all answers about an endpoint that has restarted, possibly as another kind."""
        now = time.monotonic()
        with self._lock:
            recent = {id: at for id, at in self._restarted_at.items() if now - at < RETENTION_S}
            self._restarted_at = recent | {endpoint: now}
            for step_tickets in self._tickets_by_step.values():
                step_tickets.ticket_by_endpoint.pop(endpoint, None)
                step_tickets.denied.discard(endpoint)

    def close(self) -> None:
        """Stop requesting tickets."""
        self._ended.set()
        self._wake.set()

    def _request_loop(self) -> None:
        while not self._ended.is_set():
            request = self._next()
            if request is None:
                self._wake.wait()
                self._wake.clear()
            elif not run_and_log_errors(
                f"tickets of {request.step}", partial(self._call_service, request)
            ):
                self._ended.wait(RETRY_S)

    def _next(self) -> TicketRequest | None:
        """Return the next request: the most urgent step with endpoints that lack a ticket."""
        now = time.monotonic()
        with self._lock:
            for request in self._requests:
                step_tickets = self._tickets_by_step[request.step]
                missing = tuple(e for e in request.endpoints if step_tickets.needs_ticket(e, now))
                if missing:
                    return TicketRequest(request.step, missing[:MAX_ENDPOINTS_PER_CALL])
        return None

    def _call_service(self, request: TicketRequest) -> None:
        assert self._policy is not None
        # A ticket's validity begins when it is issued, which is after this time.
        called_at = time.monotonic()
        result = self._policy.request_tickets(request.step, request.endpoints)
        if isinstance(result, Failure):
            self._service.record_failure(result.failure().reason)
            self._ended.wait(RETRY_S)
            return
        self._service.record_success()
        answer = result.unwrap()
        until = called_at + answer.valid_s - min(EXPIRY_MARGIN_S, answer.valid_s / 4)
        with self._lock:
            step_tickets = self._tickets_by_step.setdefault(request.step, _StepTickets(called_at))
            for endpoint in request.endpoints:
                if self._restarted_at.get(endpoint, 0.0) >= called_at:
                    # The answer is about its previous process.
                    continue
                if endpoint in answer.ticket_by_endpoint:
                    step_tickets.ticket_by_endpoint[endpoint] = (
                        answer.ticket_by_endpoint[endpoint],
                        until,
                    )
                else:
                    step_tickets.denied.add(endpoint)
        log(
            Event.STEP_ADVISED,
            job=request.step.job,
            step=request.step,
            asked=len(request.endpoints),
            may_run=len(answer.ticket_by_endpoint),
            valid_s=answer.valid_s,
            took_s=round(time.monotonic() - called_at, 3),
        )
        self._on_changed()
