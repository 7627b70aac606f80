"""Cache of policy service tickets, which endpoints require for the tasks of some queues."""

import threading
import time
from collections.abc import Callable
from functools import partial

import msgspec
from returns.result import Failure

from lentilrill.execution._contract import PolicyCalls
from lentilrill.ids import EndpointId
from lentilrill.telemetry import Dependency, Event, guarded, log
from lentilrill.workloads import StepId

__all__ = ["TicketOffice", "Want"]

MOST_AT_ONCE = 30
"""Endpoints per call. The service takes time for each endpoint and serves one call at a time from
each host, so longer calls would delay other steps. Its own limit is 100."""
MARGIN_S = 0.4
"""Time before its expiry at which a ticket counts as expired: the delivery time of a start order,
including one timeout. Limited to a quarter of the ticket's validity."""
RETRY_S = 0.2
"""Pause after a failed or rate-limited call."""
KEPT_S = 30.0
"""How long a step's tickets are kept after the last request for them."""


class Want(msgspec.Struct, frozen=True):
    """Request for tickets of a step on endpoints, those with the most free capacity first."""

    step: StepId
    endpoints: tuple[EndpointId, ...]


class _Answers:
    """Cached answers of the service about one step."""

    __slots__ = ("barred", "ticket_by_endpoint", "wanted_at")

    def __init__(self, now: float) -> None:
        self.ticket_by_endpoint: dict[EndpointId, tuple[str, float]] = {}
        # Whether an endpoint may run a step never changes, so a refusal is kept for good.
        self.barred: set[EndpointId] = set()
        self.wanted_at = now

    def is_open(self, endpoint: EndpointId, now: float) -> bool:
        """Whether a ticket for an endpoint has to be requested."""
        _, until = self.ticket_by_endpoint.get(endpoint, ("", 0.0))
        return endpoint not in self.barred and now >= until


class TicketOffice:
    """Requests tickets from the policy service ahead of the starts that need them.

    A surge brings many steps at once, and the service processes the calls of a host one by one.
    Therefore tickets are requested in the order of the last planning round, and for no more
    endpoints at once than a step can use soon.

    :param policy: calls to the service; ``None`` if none is configured.
    :param changed: called after each answer.
    """

    def __init__(self, policy: PolicyCalls | None, changed: Callable[[], None]) -> None:
        self._policy = policy
        self._changed = changed
        self._lock = threading.Lock()
        self._answers_by_step: dict[StepId, _Answers] = {}
        self._wants: list[Want] = []
        self._service = Dependency("policy service")
        self._wake = threading.Event()
        self._ended = threading.Event()
        self._thread: threading.Thread | None = None

    def ticket(self, step: StepId, endpoint: EndpointId) -> str | None:
        """Return a valid ticket, or ``None`` if there is none."""
        with self._lock:
            answers = self._answers_by_step.get(step)
            if answers is None:
                return None
            ticket, until = answers.ticket_by_endpoint.get(endpoint, ("", 0.0))
            return ticket if time.monotonic() < until else None

    def want(self, wants: list[Want]) -> None:
        """Replace the list of steps that need tickets, the most urgent first."""
        now = time.monotonic()
        with self._lock:
            self._wants = wants
            for want in wants:
                self._answers_by_step.setdefault(want.step, _Answers(now)).wanted_at = now
            old = [s for s, a in self._answers_by_step.items() if now - a.wanted_at > KEPT_S]
            for step in old:
                del self._answers_by_step[step]
        if wants and self._policy is None:
            self._service.failed("no address in the settings")
        elif wants and self._thread is None:
            self._thread = threading.Thread(target=self._ask_on, name="tickets", daemon=True)
            self._thread.start()
        self._wake.set()

    def forget(self, step: StepId, endpoint: EndpointId) -> None:
        """Drop a ticket that an endpoint refused, for example after its restart."""
        with self._lock:
            answers = self._answers_by_step.get(step)
            if answers is not None:
                answers.ticket_by_endpoint.pop(endpoint, None)

    def close(self) -> None:
        """Stop requesting tickets."""
        self._ended.set()
        self._wake.set()

    def _ask_on(self) -> None:
        while not self._ended.is_set():
            want = self._next()
            if want is None:
                self._wake.wait()
                self._wake.clear()
            elif not guarded(f"tickets of {want.step}", partial(self._ask, want)):
                self._ended.wait(RETRY_S)

    def _next(self) -> Want | None:
        """Return the next request: the most urgent step with endpoints that lack a ticket."""
        now = time.monotonic()
        with self._lock:
            for want in self._wants:
                answers = self._answers_by_step[want.step]
                open_ = tuple(e for e in want.endpoints if answers.is_open(e, now))
                if open_:
                    return Want(want.step, open_[:MOST_AT_ONCE])
        return None

    def _ask(self, want: Want) -> None:
        assert self._policy is not None
        # A ticket's validity begins when it is issued, which is after this time.
        asked = time.monotonic()
        result = self._policy.ask(want.step, want.endpoints)
        if isinstance(result, Failure):
            self._service.failed(result.failure().reason)
            self._ended.wait(RETRY_S)
            return
        self._service.succeeded()
        told = result.unwrap()
        until = asked + told.valid_s - min(MARGIN_S, told.valid_s / 4)
        with self._lock:
            answers = self._answers_by_step.setdefault(want.step, _Answers(asked))
            for endpoint in want.endpoints:
                if endpoint in told.ticket_by_endpoint:
                    answers.ticket_by_endpoint[endpoint] = (
                        told.ticket_by_endpoint[endpoint],
                        until,
                    )
                else:
                    answers.barred.add(endpoint)
        log(
            Event.STEP_ADVISED,
            job=want.step.job,
            step=want.step,
            asked=len(want.endpoints),
            may_run=len(told.ticket_by_endpoint),
            valid_s=told.valid_s,
            took_s=round(time.monotonic() - asked, 3),
        )
        self._changed()
