"""Jobs whose commit has an unknown result, so that they may be stored."""

import threading
import time
from collections import OrderedDict

from lentilrill.ids import JobId

__all__ = ["UnconfirmedJobs"]

RETENTION_S = 60.0
"""Time for which a job is kept: callers without a definite answer retry within seconds."""
MAX_JOBS = 2000
"""Maximum number of jobs kept, the newest ones: a store outage leaves several for each caller."""


class UnconfirmedJobs:
    """Jobs whose commit got no answer, on this or any other entry host.

    Without them a host could refuse a job that is stored: the answer to a commit is lost, the
    caller gets an unknown outcome and retries at another host, and that host can't commit and
    would answer that the job never runs.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._added_at_by_job: OrderedDict[JobId, float] = OrderedDict()

    def add(self, job: JobId) -> None:
        """Record that a job may be stored."""
        with self._lock:
            self._added_at_by_job[job] = time.monotonic()
            self._added_at_by_job.move_to_end(job)
            if len(self._added_at_by_job) > MAX_JOBS:
                self._added_at_by_job.popitem(last=False)

    def __contains__(self, job: JobId) -> bool:
        with self._lock:
            added_at = self._added_at_by_job.get(job)
        return added_at is not None and time.monotonic() - added_at < RETENTION_S
