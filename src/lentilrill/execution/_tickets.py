"""Tickets of a policy service, without which endpoints refuse the tasks of some queues."""

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

__all__ = ["TicketOffice", "Want"]

MOST_AT_ONCE = 30
"""Endpoints asked about in one call. The service takes time for each, and one call at a time from
each host, so that longer calls would hold up other steps; it takes 100 at most."""
MARGIN_S = 0.4
"""By how much a ticket counts as run out before it does: a start is on its way for that long, with
one time-out. At most a quarter of what a ticket lasts."""
RETRY_S = 0.2
"""Pause after a call that failed or was refused for too many calls."""
KEPT_S = 30.0
"""How long a step's answers are kept after it was last wanted."""


class Want(msgspec.Struct, frozen=True):
    """Endpoints on which a step may run next, those with the most room first."""

    step: StepId
    endpoints: tuple[EndpointId, ...]


class _Answers:
    """What the service has said about one step."""

    __slots__ = ("barred", "ticket_by_endpoint", "wanted_at")

    def __init__(self, now: float) -> None:
        self.ticket_by_endpoint: dict[EndpointId, tuple[str, float]] = {}
        # Which endpoints may run a step does not change, so a refusal is asked for once.
        self.barred: set[EndpointId] = set()
        self.wanted_at = now

    def is_open(self, endpoint: EndpointId, now: float) -> bool:
        """Whether the service has to be asked about an endpoint."""
        _, until = self.ticket_by_endpoint.get(endpoint, ("", 0.0))
        return endpoint not in self.barred and now >= until


class TicketOffice:
    """Asks the policy service ahead of the starts that need its tickets.

    Load pattern: a surge brings many steps at once, and the service answers one call of a host
    after the other. So the steps that go first are asked for first, by the order of the last
    round, and each for no more endpoints than it can use soon.

    :param policy: calls to the service; ``None`` if there is none.
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
        """Return a ticket that holds for a while yet; ``None`` if there is none."""
        with self._lock:
            answers = self._answers_by_step.get(step)
            if answers is None:
                return None
            ticket, until = answers.ticket_by_endpoint.get(endpoint, ("", 0.0))
            return ticket if time.monotonic() < until else None

    def want(self, wants: list[Want]) -> None:
        """Say which steps need tickets now, the most urgent first, and no others."""
        now = time.monotonic()
        with self._lock:
            self._wants = wants
            for want in wants:
                self._answers_by_step.setdefault(want.step, _Answers(now)).wanted_at = now
            old = [s for s, a in self._answers_by_step.items() if now - a.wanted_at > KEPT_S]
            for step in old:
                del self._answers_by_step[step]
        if wants and self._policy is None:
            self._service.record_failure("no address in the settings")
        elif wants and self._thread is None:
            self._thread = threading.Thread(target=self._ask_on, name="tickets", daemon=True)
            self._thread.start()
        self._wake.set()

    def forget(self, step: StepId, endpoint: EndpointId) -> None:
        """Drop a ticket that an endpoint refused: it has begun another life, say."""
        with self._lock:
            answers = self._answers_by_step.get(step)
            if answers is not None:
                answers.ticket_by_endpoint.pop(endpoint, None)

    def close(self) -> None:
        """Ask no more."""
        self._ended.set()
        self._wake.set()

    def _ask_on(self) -> None:
        while not self._ended.is_set():
            want = self._next()
            if want is None:
                self._wake.wait()
                self._wake.clear()
            elif not run_and_log_errors(f"tickets of {want.step}", partial(self._ask, want)):
                self._ended.wait(RETRY_S)

    def _next(self) -> Want | None:
        """Return the most urgent step with endpoints that have to be asked about."""
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
        # The ticket counts from when it was made out, which is after this.
        asked = time.monotonic()
        result = self._policy.ask(want.step, want.endpoints)
        if isinstance(result, Failure):
            self._service.record_failure(result.failure().reason)
            self._ended.wait(RETRY_S)
            return
        self._service.record_success()
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
