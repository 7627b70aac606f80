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
SILENCE_TO_OPEN_S = 0.5
"""Minimum time without any answer: calls run concurrently, so some consecutive failures are not an
outage."""
FIRST_OPEN_S = 0.5
LONGEST_OPEN_S = 2.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
MAX_ATTEMPTS = 4
LEAST_ATTEMPT_S = 0.05

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
        self._size = max(2.0, calls_per_s * BURST_S)
        self._tokens = self._size
        self._filled = clock()
        self._clock = clock
        self._lock = threading.Lock()

    def take(self, priority: Priority) -> float:
        """Take one token, if one is available to calls of ``priority``.

        :return: 0 if a token was taken, else the seconds until one will be available.
        """
        kept = self._size / 2 if priority is Priority.LATER else 0.0
        with self._lock:
            now = self._clock()
            self._tokens = min(self._size, self._tokens + (now - self._filled) * self._rate)
            self._filled = now
            missing = kept + 1.0 - self._tokens
            if missing > 0:
                return missing / self._rate
            self._tokens -= 1.0
            return 0.0


class CircuitBreaker:
    """Circuit breaker: rejects calls while the service fails, except one probe at a time.

    Without it, each caller would wait for its full deadline during an outage. After several
    consecutive failures calls fail immediately, and periodic probes detect the recovery.
    """

    def __init__(self, peer: str, clock: Clock, chance: random.Random) -> None:
        self._peer = peer
        self._clock = clock
        self._chance = chance
        self._lock = threading.Lock()
        self._failures = 0
        self._probes_failed = 0
        self._open_until: float | None = None
        self._answered = float("-inf")

    @property
    def open(self) -> bool:
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
            self._open_until = now + self._open_s()
            return 0.0

    def succeeded(self) -> None:
        """Record that the service answered."""
        with self._lock:
            was_open = self._open_until is not None
            self._answered = self._clock()
            self._failures = 0
            self._probes_failed = 0
            self._open_until = None
        if was_open:
            log(Event.PLATFORM_BACK, peer=self._peer)

    def failed(self) -> None:
        """Record that the service did not answer."""
        with self._lock:
            self._failures += 1
            if self._open_until is not None:
                self._probes_failed += 1
                self._open_until = self._clock() + self._open_s()
                return
            if self._failures < FAILURES_TO_OPEN:
                return
            if self._clock() - self._answered < SILENCE_TO_OPEN_S:
                return
            self._open_until = self._clock() + self._open_s()
        log(Event.PLATFORM_LOST, peer=self._peer, failures=FAILURES_TO_OPEN)

    def _open_s(self) -> float:
        longest = min(LONGEST_OPEN_S, FIRST_OPEN_S * 2.0 ** min(self._probes_failed, 10))
        return longest * (0.5 + self._chance.random() / 2)


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
        chance: random.Random | None = None,
        wait: Callable[[float], None] = time.sleep,
    ) -> None:
        self._peer = peer
        self._deadline_s = deadline_s
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._chance = chance or random.Random()
        self._wait = wait
        self.breaker = CircuitBreaker(peer, clock, self._chance)

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
        for tried in range(1, MAX_ATTEMPTS + 1):
            refused = self.admit(step, priority)
            if refused is not None:
                return Failure(refused)
            result = attempt(max(LEAST_ATTEMPT_S, end - self._clock()))
            self.report(step, result)
            if not _may_repeat(result, effect) or tried == MAX_ATTEMPTS:
                return result
            pause_s = self.backoff_s(tried)
            if self._clock() + pause_s + LEAST_ATTEMPT_S >= end:
                return result
            self._wait(pause_s)
        return result

    def admit(self, step: str, priority: Priority) -> Fault | None:
        """Request permission for one exchange; an admitted one is counted and must be reported.

        :return: ``None`` if admitted, else the fault.
        """
        held_s = self.breaker.admit()
        if held_s > 0:
            self._metrics.incr("platform.held")
            reason = "the service does not answer; the circuit breaker is open"
            return Fault(step, self._peer, FaultKind.UNAVAILABLE, reason, held_s)
        short_s = self._budget.take(priority)
        if short_s > 0:
            self._metrics.incr("platform.over_budget")
            reason = f"the call budget for priority {priority.value!r} is used up"
            return Fault(step, self._peer, FaultKind.EXHAUSTED, reason, short_s)
        self._metrics.incr(f"{step}.calls")
        return None

    def report(self, step: str, result: Result[T, Fault]) -> None:
        """Report the outcome of an admitted exchange."""
        if not isinstance(result, Failure):
            self.breaker.succeeded()
            return
        fault = result.failure()
        self._metrics.incr(f"{step}.failed.{fault.kind.value}")
        if fault.kind not in (FaultKind.UNAVAILABLE, FaultKind.AMBIGUOUS):
            self.breaker.succeeded()
            return
        self.breaker.failed()
        log(Event.PLATFORM_CALL_FAILED, step=step, peer=fault.peer, reason=fault.reason)

    def backoff_s(self, tried: int) -> float:
        """Return the seconds before the next attempt: exponential backoff with full jitter."""
        bound = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (tried - 1))
        return self._chance.uniform(0.0, bound)


def _may_repeat(result: Result[T, Fault], effect: Effect) -> bool:
    if not isinstance(result, Failure):
        return False
    kind = result.failure().kind
    if kind is FaultKind.AMBIGUOUS:
        # Repeating a write could execute it twice. After a lost answer the caller has to read
        # the value back; only idempotent calls are repeated.
        return effect is Effect.REPEATABLE
    return kind is FaultKind.UNAVAILABLE
