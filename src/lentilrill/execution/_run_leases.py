"""Leases that were given to an endpoint, and the time by which all of them have expired."""

import math
import time

from lentilrill.clocks import RemoteClock

__all__ = [
    "MAX_CLOCK_ERROR",
    "MAX_LEASE_S",
    "MAX_ORDER_DELAY_S",
    "NEVER",
    "RUN_LEASE_S",
    "RunLeases",
    "carried_out_until",
    "longest_run_s",
]

RUN_LEASE_S = 3.4
"""Run lease in seconds. Longer than the take-over from a crashed owner (age of its last poll 0.8 s,
its own lease 1.6 s, a claim and a poll), so that tasks survive it; short, because tasks on an
unreachable endpoint are started elsewhere only after it has expired."""
MAX_LEASE_S = 10.0
"""Longest lease that an endpoint grants, unless the settings say otherwise."""
MAX_CLOCK_ERROR = 0.02
"""Share by which an endpoint's clock may run slow."""
LEASE_MARGIN_S = 0.3
"""Margin added to a lease's expiry, since an endpoint takes up to 0.2 s to stop an expired run."""
MAX_ORDER_DELAY_S = 15.0
"""Time for which a call without an answer may still be carried out."""
MAX_READING_DELAY_S = 10.0
"""Delay with which an answer's clock may be read, also by a process that was suspended for a while.
The clocks of two processes usually differ by much more."""
NEVER = -math.inf


def carried_out_until(sent_at: float) -> float:
    """Return until when a call without an answer may be carried out.

    :param sent_at: when it was sent.
    """
    return sent_at + MAX_ORDER_DELAY_S


def longest_run_s(lease_s: float) -> float:
    """Return the longest time for which runs go on under a lease that isn't renewed."""
    return lease_s / (1 - MAX_CLOCK_ERROR) + LEASE_MARGIN_S


class RunLeases:
    """Leases of one endpoint.

    An expiry is a time of the endpoint's clock, which each process of the endpoint starts anew. A
    call can't name the process that it is meant for, only the endpoint. So one with an expiry of a
    former process's clock may reach the present one, where it gives everything the longest lease
    that the endpoint grants.

    :param max_lease_s: longest lease that the endpoint grants.
    """

    def __init__(self, max_lease_s: float = MAX_LEASE_S) -> None:
        self._max_lease_s = max_lease_s
        self._given_end = 0.0
        self._former_calls_until = NEVER
        self._calls_until = NEVER
        self._clock_ms = 0
        self._clock_read = 0.0
        self._clock = RemoteClock(MAX_CLOCK_ERROR)
        self._latest_expiry_ms = 0

    @property
    def end(self) -> float:
        """Monotonic time at which all leases of the known process have expired, clock error
        included; 0 if none was given."""
        return max(self._given_end, self.end_of_former)

    @property
    def end_of_former(self) -> float:
        """Monotonic time at which the leases have expired that calls to former processes gave to
        the known one; 0 if there were none."""
        return self.end_of_longest(self._former_calls_until)

    @property
    def end_of_calls(self) -> float:
        """Monotonic time at which the leases have expired that calls to the known process or a
        former one may give to one that was not polled yet; 0 if there were none."""
        return self.end_of_longest(self.calls_until)

    @property
    def calls_until(self) -> float:
        """Monotonic time until which calls with an expiry may still be carried out."""
        return max(self._calls_until, self._former_calls_until)

    @property
    def given_end(self) -> float:
        """As :attr:`end`, but only of leases by the known process's own clock."""
        return self._given_end

    def is_other_clock(self, clock_ms: int, read_at: float) -> bool:
        """Whether a reading can't come from the known process's clock.

        :param read_at: monotonic time at which this process read it.
        """
        if not self.clock_known:
            return False
        passed_ms = (read_at - self._clock_read) * 1000
        tolerance_ms = MAX_READING_DELAY_S * 1000 + MAX_CLOCK_ERROR * abs(passed_ms)
        return abs(self.lag_s(clock_ms, read_at)) * 1000 > tolerance_ms

    def lag_s(self, clock_ms: int, read_at: float) -> float:
        """Return by how many seconds a reading is behind the known process's clock.

        :param read_at: monotonic time at which this process read it.
        """
        return self._clock_ms / 1000 + read_at - self._clock_read - clock_ms / 1000

    @property
    def clock_known(self) -> bool:
        """Whether the clock of the known process has been read."""
        return self._clock_read > 0

    def on_former_calls(self, until: float) -> None:
        """Note that calls meant for a former process may be carried out until a monotonic time."""
        self._former_calls_until = max(self._former_calls_until, until)

    def on_call_ended(self, at: float, *, is_answered: bool, is_former: bool) -> None:
        """Note that a call with an expiry was answered, or given up without an answer.

        :param at: the monotonic time.
        :param is_former: whether the expiry was a time of a former process's clock.
        """
        until = at if is_answered else at + MAX_ORDER_DELAY_S
        if is_former:
            self.on_former_calls(until)
        else:
            self._calls_until = max(self._calls_until, until)

    def reset(self) -> None:
        """Begin anew for another process of the endpoint."""
        self.on_former_calls(self._calls_until)
        self._calls_until = NEVER
        self._given_end = 0.0
        self._clock_ms, self._clock_read = 0, 0.0
        self._clock = RemoteClock(MAX_CLOCK_ERROR)
        self._latest_expiry_ms = 0

    def update_clock(self, clock_ms: int, read_at: float) -> float:
        """Update the estimate of the clock; return the local time of the reading."""
        self._clock_ms, self._clock_read = clock_ms, read_at
        self._update_given_end()
        return self.local_time_of(clock_ms, read_at)

    def local_time_of(self, clock_ms: int, read_at: float) -> float:
        """Convert a time of the endpoint's clock to this process's monotonic clock.

        :param read_at: when this process read it, which is later by an unknown delay.
        """
        return self._clock.local_time_of(clock_ms / 1000, read_at)

    def new_expiry_ms(self, lease_s: float = RUN_LEASE_S) -> int:
        """Return and record the expiry of a lease given now, on the endpoint's clock."""
        now = time.monotonic()
        expiry = int(self._clock_ms + (now - self._clock_read) * 1000 + lease_s * 1000)
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry)
        self._calls_until = max(self._calls_until, now)
        self._update_given_end()
        return expiry

    def assume(self, end: float) -> None:
        """Assume leases that others gave to the known process, up to a monotonic time."""
        self._given_end = max(self._given_end, end)

    def _update_given_end(self) -> None:
        left_s = (self._latest_expiry_ms - self._clock_ms) / 1000
        if left_s > 0:
            self._given_end = self._clock_read + longest_run_s(left_s)

    def end_of_longest(self, granted_at: float) -> float:
        """Return when a longest lease has expired that was granted at a monotonic time."""
        return granted_at + longest_run_s(self._max_lease_s) if granted_at > NEVER else 0.0
