"""Token buckets for plan rates, and the retry budget."""

import threading

__all__ = ["RetryBudget", "TokenBucket"]

RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class TokenBucket:
    """Allows ``rate_per_s`` events a second, and bursts of ``burst``. Not thread-safe."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next token."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate_per_s)
        self._refilled_at = now


class RetryBudget:
    """Limits retries to a share of successes, so that they don't amplify an overload.

    This prevents a retry storm: when most attempts fail, each job would cost several attempts
    and use up the pool's capacity. Each success earns a fraction of a token and each retry
    costs one token, so while no job succeeds only the burst is retried.

    :param ratio: retries allowed for each success.
    :param burst: retries allowed before the first success; also the maximum of saved tokens.
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self._lock = threading.Lock()

    def succeeded(self) -> None:
        """Record a job that succeeded."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Use one token for a retry; return whether one was available."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
