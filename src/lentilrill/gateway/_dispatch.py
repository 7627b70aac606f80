"""Runs one accepted request: slot, connection, exchange, retries."""

import time
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager
from typing import Protocol

import msgspec
from returns.result import Failure
from urllib3.exceptions import HTTPError

from lentilrill.gateway._caller import BodyError, BodyTrouble, Caller, Pace
from lentilrill.gateway._endpoints import EndpointConnections, Link
from lentilrill.gateway._exchange import BrokenError, Exchange, Head, SilentError
from lentilrill.gateway._forwarding import FORWARDED, Forwarder, Mark
from lentilrill.gateway._heading import passed_on
from lentilrill.gateway._limits import ATTEMPTS
from lentilrill.gateway._patience import RunTimes
from lentilrill.gateway._problems import Outcome, Problem, ProblemKind, outcome_of
from lentilrill.gateway._work import Ending, Refused, Streamed, Whole, Work
from lentilrill.ids import HostId, RequestId
from lentilrill.inner import Refusal, Verdict
from lentilrill.routing import Decline, Job, RetryBudget, Slot, Slots, Where
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Dispatcher", "Watcher"]

UNSTARTED_TRIES = 16
"""Slots in a row that were withdrawn before the send, after which the job is refused."""
RETRY_AFTER_S = 1.0
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

KINDS_BY_REFUSAL = {
    Refusal.QUEUE_FULL: ProblemKind.BUSY,
    Refusal.PLAN_LIMIT: ProblemKind.PLAN_LIMIT,
    Refusal.TOO_LATE: ProblemKind.BUSY,
    Refusal.NO_HOSTS: ProblemKind.UNREACHABLE,
    Refusal.NOT_SCHEDULER: ProblemKind.BUSY,
}


class Watcher(Protocol):
    """Notices callers that leave while they wait."""

    def watching(self, caller: Caller, request: RequestId) -> AbstractContextManager[None]:
        """Abandon ``request`` if its caller leaves within the context."""


class _NotSent(msgspec.Struct, frozen=True):
    """Nothing of the job reached an endpoint, or the endpoint did not begin it."""

    problem: Problem
    costs_budget: bool = True


class _Lost(msgspec.Struct, frozen=True):
    """Bytes of the job went out, and there is no whole answer.

    :param paid: whether the retry was already taken from the budget.
    """

    problem: Problem
    paid: bool = False


class Dispatcher:
    """Takes jobs to endpoints, and their whole answers back."""

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
        """Run the job, with retries where it can't run twice by them or may."""
        run = _Run(work)
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

    def _acquire(self, run: "_Run", caller: Caller) -> Slot | Problem:
        work = run.work
        job = Job(
            request=work.request,
            plan=work.holder.plan,
            entitlement=work.holder.entitlement,
            deadline=work.start_by,
            avoid=tuple(run.avoid),
            spillable=run.spillable,
        )
        with self._watcher.watching(caller, work.request):
            result = self._slots.acquire(job)
        if isinstance(result, Failure):
            return _declined(result.failure())
        return result.unwrap()

    def _may_retry(self, run: "_Run", result: _NotSent | _Lost, caller: Caller) -> bool:
        if caller.gone or caller.answered or time.monotonic() >= run.work.start_by:
            return False
        if run.attempts >= ATTEMPTS or run.unstarted >= UNSTARTED_TRIES:
            return False
        if isinstance(result, _Lost):
            return run.work.repeatable and (result.paid or self._budget.take())
        return not run.body_used and (not result.costs_budget or self._budget.take())

    def _attempt(self, run: "_Run", slot: Slot, caller: Caller) -> Ending | _NotSent | _Lost:
        """Use the slot for one try, and release it exactly once."""
        verdict, began = Verdict.UNUSED, time.monotonic()
        try:
            link = self._connect(run.work, slot)
            if link is None:
                verdict = Verdict.UNREACHABLE
                run.attempts += 1
                return _NotSent(_unreachable(slot))
            started = self._slots.start(slot)
            if isinstance(started, Failure):
                self._connections.give_back(link)
                run.unstarted += 1
                return _NotSent(_withdrawn(), costs_budget=False)
            run.attempts += 1
            began = time.monotonic()
            # From here on bytes may have gone out, whatever happens.
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
        self, run: "_Run", slot: Slot, link: Link, caller: Caller
    ) -> tuple[Ending | _NotSent | _Lost, Verdict]:
        work = run.work
        exchange = Exchange(link, work.request)
        keep = False
        try:
            self._send(run, slot, exchange, caller)
            if self._is_silent(run, slot, exchange):
                return _Lost(_silent(slot), paid=True), Verdict.BROKEN
            head = exchange.head(work.heading.method, self._patience_s(run, slot))
            result, verdict = self._take(run, slot, exchange, head, caller)
            keep = exchange.whole and not head.leaving
            return result, verdict
        except BodyError as error:
            return Refused(_bad_body(error)), Verdict.UNUSED
        except BrokenError as error:
            log(Event.EXCHANGE_BROKEN, request=work.request, host=slot.host, error=str(error))
            kind = ProblemKind.SILENT if isinstance(error, SilentError) else ProblemKind.LOST
            return _Lost(Problem(kind, str(error), Outcome.UNKNOWN)), Verdict.BROKEN
        finally:
            # A connection with an abandoned exchange is never used again: its late answer
            # would be taken for the next job's.
            if keep:
                self._connections.give_back(link)
            else:
                self._connections.drop(link)

    def _send(self, run: "_Run", slot: Slot, exchange: Exchange, caller: Caller) -> None:
        work = run.work
        if work.heading.key is not None and not work.claimed:
            # Invariant: no dispatch without a claim, or a repeated key could run twice.
            log(Event.INVARIANT_BROKEN, rule="claimed_before_dispatch", request=work.request)
            raise RuntimeError("a keyed job was about to be sent without its claim")
        run.sent = True
        body: bytes | Iterable[bytes] | None = work.body
        if work.body is None:
            run.body_used = True
            body = _streamed_body(work, caller)
        headers = self._headers(work, slot)
        left_s = max(0.001, work.answer_by - time.monotonic())
        exchange.send(work.heading.method, work.heading.target, headers, body, left_s)

    def _headers(self, work: Work, slot: Slot) -> dict[str, str]:
        heading, plan = work.heading, work.holder.plan
        headers = passed_on(heading.headers, REPLACED)
        headers.setdefault("accept-encoding", "identity")
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

    def _is_silent(self, run: "_Run", slot: Slot, exchange: Exchange) -> bool:
        """Return whether a repeatable job is to be tried elsewhere, and take the retry for it."""
        patience_s = self._run_times.patience_s(slot.pool)
        if patience_s is None or run.attempts > 1 or slot.where is Where.ZONE:
            return False
        if not run.work.repeatable or patience_s >= self._patience_s(run, slot):
            return False
        return not exchange.answers_within(patience_s) and self._budget.take()

    def _patience_s(self, run: "_Run", slot: Slot) -> float:
        margin_s = FORWARD_MARGIN_S if slot.where is Where.ZONE else 0.0
        return run.work.answer_by + margin_s - time.monotonic()

    def _take(
        self, run: "_Run", slot: Slot, exchange: Exchange, head: Head, caller: Caller
    ) -> tuple[Ending | _NotSent | _Lost, Verdict]:
        body, complete = exchange.read_small(head, run.work.answer_by + FORWARD_MARGIN_S)
        if head.gateway_problem and slot.where is Where.ZONE:
            return _zone_refused(head, body), Verdict.UNUSED
        if head.leaving and head.status == 503:
            # The endpoint says that it did not begin the job, so that even one that must not
            # run twice may go elsewhere.
            return _NotSent(_withdrawn(), costs_budget=False), Verdict.LEAVING
        verdict = _verdict(head)
        if complete:
            length = head.length if head.bodiless else None
            return Whole(head.status, head.headers, body, length), verdict
        whole = _relay(exchange, head, body, caller)
        content_type = dict(head.headers).get("Content-Type", "")
        return Streamed(head.status, content_type, whole), verdict if whole else Verdict.BROKEN


class _Run:
    """What is known of a job's tries so far."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.avoid: list[HostId] = []
        self.attempts = 0
        self.unstarted = 0
        self.spillable = not work.forwarded
        self.sent = False
        """Whether a byte of the job may have gone out in a try that did not prove otherwise."""
        self.body_used = False
        self._lost: Problem | None = None

    def note(self, result: _NotSent | _Lost, slot: Slot) -> None:
        """Remember a try that failed."""
        if isinstance(result, _Lost):
            self._lost = result.problem
        else:
            self.sent = self._lost is not None
        if slot.where is Where.ZONE:
            self.spillable = False
        else:
            self.avoid.append(slot.host)

    def final(self, problem: Problem) -> Problem:
        """Return what the caller must be told when the last try ended with ``problem``.

        A retry that was not run proves nothing of an earlier try that was lost.
        """
        if problem.outcome is Outcome.UNKNOWN:
            return problem
        if self._lost is None:
            return self._proved(problem)
        return msgspec.structs.replace(
            self._lost, detail=f"{self._lost.detail}; then: {problem.detail}"
        )

    def _proved(self, problem: Problem) -> Problem:
        if not self.sent:
            return problem
        # Invariant: "not_run" is never said after a byte may have reached an endpoint.
        log(Event.INVARIANT_BROKEN, rule="not_run_after_send", request=self.work.request)
        return msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)


def _streamed_body(work: Work, caller: Caller) -> Iterator[bytes]:
    yield work.prefix
    yield from caller.stream((work.heading.length or 0) - len(work.prefix))


def _relay(exchange: Exchange, head: Head, first: bytes, caller: Caller) -> bool:
    """Stream a long answer to the caller; return whether the endpoint's came to its end."""
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


def _zone_refused(head: Head, body: bytes) -> Ending | _NotSent | _Lost:
    outcome = outcome_of(body)
    after = dict(head.headers).get("Retry-After", "")
    kind = ProblemKind.BUSY if outcome is Outcome.NOT_RUN else ProblemKind.LOST
    problem = Problem(
        kind,
        f"another zone answered {head.status}",
        outcome,
        float(after) if after.isdecimal() else None,
    )
    return _NotSent(problem) if outcome is Outcome.NOT_RUN else _Lost(problem)


def _declined(decline: Decline) -> Problem:
    kind = KINDS_BY_REFUSAL[decline.refusal]
    return Problem(kind, decline.reason, retry_after_s=decline.retry_after_s)


def _unreachable(slot: Slot) -> Problem:
    detail = f"host {slot.host} could not be reached"
    return Problem(ProblemKind.UNREACHABLE, detail, retry_after_s=RETRY_AFTER_S)


def _withdrawn() -> Problem:
    detail = "the chosen hosts are leaving"
    return Problem(ProblemKind.BUSY, detail, retry_after_s=RETRY_AFTER_S)


def _silent(slot: Slot) -> Problem:
    detail = f"host {slot.host} did not answer in time"
    return Problem(ProblemKind.SILENT, detail, Outcome.UNKNOWN)


def _bad_body(error: BodyError) -> Problem:
    slow = error.trouble is BodyTrouble.SLOW
    kind = ProblemKind.SLOW if slow else ProblemKind.MALFORMED
    return Problem(kind, str(error), Outcome.UNKNOWN)
