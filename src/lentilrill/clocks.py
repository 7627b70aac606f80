"""Another process's clock, as far as it can be told from readings that come late."""

import math

__all__ = ["RemoteClock"]

LAG_HOLDS_S = 5.0
"""How long the least difference of two clocks counts as it was read: longer than most delays of a
busy reader, and so short that a slow clock makes a tenth of a second of it."""


class RemoteClock:
    """Tells when another clock showed a time, by this process's monotonic clock.

    The reading with the shortest delay tells how the clocks differ. Since the other one may run
    slow, the difference may grow once that reading is old.

    :param error: by how much the other clock may run slow, as a share.
    """

    def __init__(self, error: float) -> None:
        self._error = error
        self._lag_s = math.inf
        self._lag_read = 0.0

    def moment_of(self, shown_s: float, read_at: float) -> float:
        """Return when the other clock showed ``shown_s`` seconds.

        :param read_at: when this process read it, which is later by an unknown delay.
        """
        lag_s = read_at - shown_s
        age_s = max(0.0, read_at - self._lag_read - LAG_HOLDS_S)
        least_s = self._lag_s + self._error * age_s
        if lag_s <= least_s:
            self._lag_s, self._lag_read = lag_s, read_at
        return shown_s + min(lag_s, least_s)
