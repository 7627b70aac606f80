"""The clock by which a process measures its own rights."""

import time

__all__ = ["boottime"]


def boottime() -> float:
    """Return seconds since boot, counting the time in which the host was suspended.

    Guard against a host that sleeps through the end of its lease: the monotonic clock stands
    still meanwhile, so on waking the lease would seem fresh; this clock shows that it lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
