"""Conversion of another process's clock, from readings that arrive with unknown delays."""

import math

__all__ = ["RemoteClock"]

DRIFT_FREE_S = 5.0
"""Time for which the smallest difference of two clocks is used without a correction for drift.
It is longer than most delays of a busy reader; a slow clock drifts by a tenth of a second in it."""


class RemoteClock:
    """Converts another process's clock to this process's monotonic clock.

    The reading with the shortest delay gives the difference of the clocks. The other clock may run
    slow, so the difference is allowed to grow once that reading is old.

    :param error: maximum rate error of the other clock, as a fraction.
    """

    def __init__(self, error: float) -> None:
        self._rate_error = error
        self._offset_s = math.inf
        self._offset_read_at = 0.0

    def local_time_of(self, shown_s: float, read_at: float) -> float:
        """Return the local time at which the other clock showed ``shown_s`` seconds.

        :param read_at: local time at which this process read it, after an unknown delay.
        """
        offset_s = read_at - shown_s
        age_s = max(0.0, read_at - self._offset_read_at - DRIFT_FREE_S)
        min_offset_s = self._offset_s + self._rate_error * age_s
        if offset_s <= min_offset_s:
            self._offset_s, self._offset_read_at = offset_s, read_at
        return shown_s + min(offset_s, min_offset_s)
