"""What the request path needs of retries."""

import threading
from typing import Protocol

__all__ = ["RetryBudget", "ShareBudget"]

SHARE = 0.1
RESERVE = 10.0


class RetryBudget(Protocol):
    """Bounds retries to a share of the requests, so that they can't multiply an overload."""

    def deposit(self) -> None:
        """Count a request that is tried for the first time."""

    def withdraw(self) -> bool:
        """Return whether one more retry is allowed, and count it."""


class ShareBudget:
    """Retries as a share of first tries, with a small reserve for quiet times."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = RESERVE

    def deposit(self) -> None:
        """Count a request that is tried for the first time."""
        with self._lock:
            self._tokens = min(RESERVE, self._tokens + SHARE)

    def withdraw(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
