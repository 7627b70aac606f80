"""Token buckets: plan rates and the retry budget."""

import threading

__all__ = ["RetryBudget", "TokenBucket"]

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


class TokenBucket:
    """Permits ``rate_per_s`` events a second, and ``burst`` at once. Not thread-safe."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._as_of = now

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
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
        elapsed = max(0.0, now - self._as_of)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate_per_s)
        self._as_of = now


class RetryBudget:
    """Permits retries as a share of successes, so that they can't multiply an overload.

    Guard against a retry storm: when most attempts fail, each job would cost several attempts
    and the pool would do nothing else. Successes earn tokens, a retry costs one, so with
    nothing succeeding only the burst is ever retried.

    :param share: retries permitted for each success.
    :param burst: retries permitted before any success, and the most that can be saved.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._lock = threading.Lock()

    def succeeded(self) -> None:
        """Count a job that ended well."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Return whether one more retry may be made, and count it."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
