"""Jobs that may be stored although their callers were not told so."""

import threading
import time
from collections import OrderedDict

from lentilrill.ids import JobId

__all__ = ["Doubts"]

KEPT_S = 60.0
"""How long a doubt is kept: callers who got no clear answer ask again within seconds."""
MOST_KEPT = 2000
"""Bound of the doubts kept, the newest: an outage of the store leaves some for each caller."""


class Doubts:
    """Remembers, on each entry host, jobs whose commit got no answer on any of them.

    Guard against a refusal that is untrue: a commit's answer is lost, the caller is told that the
    outcome is unknown and asks again at another host, which can't commit and would refuse the
    job as one that never runs, although it is stored.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._noted_by_job: OrderedDict[JobId, float] = OrderedDict()

    def note(self, job: JobId) -> None:
        """Note that a job may be stored."""
        with self._lock:
            self._noted_by_job[job] = time.monotonic()
            self._noted_by_job.move_to_end(job)
            if len(self._noted_by_job) > MOST_KEPT:
                self._noted_by_job.popitem(last=False)

    def __contains__(self, job: JobId) -> bool:
        with self._lock:
            noted = self._noted_by_job.get(job)
        return noted is not None and time.monotonic() - noted < KEPT_S
