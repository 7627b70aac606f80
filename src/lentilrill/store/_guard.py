"""Call budget, deadline, retries and circuit breaker of all platform calls."""

import random
import threading
import time
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from returns.result import Failure, Result

from lentilrill.faults import Fault, FaultKind
from lentilrill.store._contract import Priority
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["CallBudget", "CallGuard", "CircuitBreaker", "Effect"]

BURST_S = 1.0
FAILURES_TO_OPEN = 5
MIN_SILENCE_TO_OPEN_S = 0.5
"""Minimum time without any answer: calls run concurrently, so some consecutive failures are not an
outage."""
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 2.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_ATTEMPTS = 4
MIN_ATTEMPT_S = 0.05

T = TypeVar("T")
Clock = Callable[[], float]


class Effect(Enum):
    """Whether a call may be repeated."""

    REPEATABLE = "repeatable"
    """The call is idempotent."""
    ONCE = "once"
    """The call may be repeated only if it certainly did not reach the service."""


class CallBudget:
    """Token bucket of a process's platform calls.

    Without it, a burst of some calls would overload the platform and starve the others, and
    configuration would wait behind statistics. Calls of ``Priority.LATER`` cannot use the last
    half of the bucket, which is reserved for ``Priority.FIRST``.

    :param calls_per_s: sustained rate of calls.
    """

    def __init__(self, calls_per_s: float, clock: Clock = time.monotonic) -> None:
        self._rate = calls_per_s
        self._capacity = max(2.0, calls_per_s * BURST_S)
        self._tokens = self._capacity
        self._refilled = clock()
        self._clock = clock
        self._lock = threading.Lock()

    def take(self, priority: Priority) -> float:
        """Take one token, if one is available to calls of ``priority``.

        :return: 0 if a token was taken, else the seconds until one will be available.
        """
        reserved = self._capacity / 2 if priority is Priority.LATER else 0.0
        with self._lock:
            now = self._clock()
            self._tokens = min(self._capacity, self._tokens + (now - self._refilled) * self._rate)
            self._refilled = now
            missing = reserved + 1.0 - self._tokens
            if missing > 0:
                return missing / self._rate
            self._tokens -= 1.0
            return 0.0


class CircuitBreaker:
    """Circuit breaker: rejects calls while the service fails, except one probe at a time.

    Without it, each caller would wait for its full deadline during an outage. After several
    consecutive failures calls fail immediately, and periodic probes detect the recovery.
    """

    def __init__(self, peer: str, clock: Clock, rng: random.Random) -> None:
        self._peer = peer
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._failures = 0
        self._failed_probes = 0
        self._open_until: float | None = None
        self._last_answer = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether calls are rejected."""
        return self._open_until is not None

    def admit(self) -> float:
        """Request permission for a call; the outcome of an admitted call must be reported.

        :return: 0 if admitted, else the seconds until the next probe.
        """
        with self._lock:
            if self._open_until is None:
                return 0.0
            now = self._clock()
            if now < self._open_until:
                return self._open_until - now
            # This call is the probe. The next probe is scheduled as if this one had failed, so
            # that a probe whose caller dies does not keep the breaker open forever.
            self._open_until = now + self._open_duration_s()
            return 0.0

    def record_success(self) -> None:
        """Record that the service answered."""
        with self._lock:
            was_open = self._open_until is not None
            self._last_answer = self._clock()
            self._failures = 0
            self._failed_probes = 0
            self._open_until = None
        if was_open:
            log(Event.PLATFORM_BACK, peer=self._peer)

    def record_failure(self) -> None:
        """Record that the service did not answer."""
        with self._lock:
            self._failures += 1
            if self._open_until is not None:
                self._failed_probes += 1
                self._open_until = self._clock() + self._open_duration_s()
                return
            if self._failures < FAILURES_TO_OPEN:
                return
            if self._clock() - self._last_answer < MIN_SILENCE_TO_OPEN_S:
                return
            self._open_until = self._clock() + self._open_duration_s()
        log(Event.PLATFORM_LOST, peer=self._peer, failures=FAILURES_TO_OPEN)

    def _open_duration_s(self) -> float:
        max_open_s = min(MAX_OPEN_S, INITIAL_OPEN_S * 2.0 ** min(self._failed_probes, 10))
        return max_open_s * (0.5 + self._rng.random() / 2)


class CallGuard:
    """Runs the calls to one service of the platform.

    :param peer: name of the service in faults.
    :param deadline_s: maximum duration of a call with its retries, in seconds.
    :param wait: function that sleeps for the given seconds.
    """

    def __init__(
        self,
        peer: str,
        deadline_s: float,
        budget: CallBudget,
        metrics: Metrics,
        clock: Clock = time.monotonic,
        rng: random.Random | None = None,
        wait: Callable[[float], None] = time.sleep,
    ) -> None:
        self._peer = peer
        self._deadline_s = deadline_s
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._rng = rng or random.Random()
        self._wait = wait
        self.breaker = CircuitBreaker(peer, clock, self._rng)

    def call(
        self,
        step: str,
        effect: Effect,
        priority: Priority,
        attempt: Callable[[float], Result[T, Fault]],
    ) -> Result[T, Fault]:
        """Run ``attempt`` until it succeeds, fails permanently or the deadline is reached.

        :param attempt: function that makes one exchange within the given seconds. For
            :attr:`Effect.ONCE`, ``UNAVAILABLE`` means that the request certainly had no effect.
        """
        end = self._clock() + self._deadline_s
        for attempts in range(1, MAX_ATTEMPTS + 1):
            rejection = self.admit(step, priority)
            if rejection is not None:
                return Failure(rejection)
            result = attempt(max(MIN_ATTEMPT_S, end - self._clock()))
            self.report(step, result)
            if not _may_repeat(result, effect) or attempts == MAX_ATTEMPTS:
                return result
            pause_s = self.backoff_s(attempts)
            if self._clock() + pause_s + MIN_ATTEMPT_S >= end:
                return result
            self._wait(pause_s)
        return result

    def admit(self, step: str, priority: Priority) -> Fault | None:
        """Request permission for one exchange; an admitted one is counted and must be reported.

        :return: ``None`` if admitted, else the fault.
        """
        breaker_wait_s = self.breaker.admit()
        if breaker_wait_s > 0:
            self._metrics.incr("platform.held")
            reason = "the service does not answer; the circuit breaker is open"
            return Fault(step, self._peer, FaultKind.UNAVAILABLE, reason, breaker_wait_s)
        budget_wait_s = self._budget.take(priority)
        if budget_wait_s > 0:
            self._metrics.incr("platform.over_budget")
            reason = f"the call budget for priority {priority.value!r} is used up"
            return Fault(step, self._peer, FaultKind.EXHAUSTED, reason, budget_wait_s)
        self._metrics.incr(f"{step}.calls")
        return None

    def report(self, step: str, result: Result[T, Fault]) -> None:
        """Report the outcome of an admitted exchange."""
        if not isinstance(result, Failure):
            self.breaker.record_success()
            return
        fault = result.failure()
        self._metrics.incr(f"{step}.failed.{fault.kind.value}")
        if fault.kind not in (FaultKind.UNAVAILABLE, FaultKind.AMBIGUOUS):
            self.breaker.record_success()
            return
        self.breaker.record_failure()
        log(Event.PLATFORM_CALL_FAILED, step=step, peer=fault.peer, reason=fault.reason)

    def backoff_s(self, attempts: int) -> float:
        """Return the seconds before the next attempt: exponential backoff with full jitter."""
        max_backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (attempts - 1))
        return self._rng.uniform(0.0, max_backoff_s)


def _may_repeat(result: Result[T, Fault], effect: Effect) -> bool:
    if not isinstance(result, Failure):
        return False
    kind = result.failure().kind
    if kind is FaultKind.AMBIGUOUS:
        # Repeating a write could execute it twice. After a lost answer the caller has to read
        # the value back; only idempotent calls are repeated.
        return effect is Effect.REPEATABLE
    return kind is FaultKind.UNAVAILABLE
