"""The clock against which a process checks its own lease."""

import time

__all__ = ["boottime"]


def boottime() -> float:
    """Return the seconds since boot, including time spent suspended.

    The monotonic clock stops while a host is suspended, so a lease that expired meanwhile would
    still seem valid after the host resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
