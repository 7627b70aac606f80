"""Cancels of jobs while owners are killed and orders are lost, for a soak."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence

from standins.users_platform import Span, UsersPlatform
from tests.execution.fakes import eventually
from tests.platform.site import EntrySite
from tests.platform.soak_jobs import SoakJob

__all__ = ["CALLERS", "Cancels"]

Fault = Callable[[random.Random], None]

CALLERS = 3
"""Threads that cancel jobs."""
MAX_PAUSE_S = 0.3
NEWEST = 40
"""Number of the newest accepted jobs of which some are cancelled."""
MAX_FAULTS = 5
"""Faults of one series."""
CALM_S = 4.5
"""Length of the calm between two series: the bound of a cancel, and some time more."""
ACKNOWLEDGED = frozenset({200, 410})
REPEATED = frozenset({0, 429, 502, 503, 504})
"""Answers after which a cancel is sent again; 0 for none."""
RETRY_S = 0.2
SETTLE_S = 10.0
"""Time after the last fault within which each cancel is acknowledged."""


class Cancels:
    """Cancels jobs of a soak, and plays the faults meanwhile.

    :param fail: takes note of a broken promise.
    :ivar answers: number of answers to cancels, by their status.
    """

    def __init__(
        self, site: EntrySite, platform: UsersPlatform, fail: Callable[[str], None]
    ) -> None:
        self._site = site
        self._platform = platform
        self._fail = fail
        self._lock = threading.Lock()
        self._jobs: list[SoakJob] = []
        self.answers: Counter[int] = Counter()

    def add(self, job: SoakJob) -> None:
        """Take note of an accepted job, which may be cancelled from now on."""
        with self._lock:
            self._jobs.append(job)

    def cancel_some(self, rng: random.Random, stopping: threading.Event) -> None:
        """Cancel jobs until ``stopping`` is set."""
        while not stopping.wait(rng.uniform(0.0, MAX_PAUSE_S)):
            job = self._choose(rng)
            while job is not None and not self._send(job, rng):
                if stopping.wait(RETRY_S):
                    return

    def _choose(self, rng: random.Random) -> SoakJob | None:
        with self._lock:
            jobs = [job for job in self._jobs[-NEWEST:] if not job.seen.cancelled_at]
            if not jobs:
                return None
            job = rng.choice(jobs)
            job.seen.cancelled_at = time.monotonic()
            return job

    def _send(self, job: SoakJob, rng: random.Random) -> bool:
        """Send the cancel of a job to any host; return whether it needs no other attempt."""
        status = self._site.cancel(rng.choice(list(self._site.settings)), job.path, job.key)
        with self._lock:
            self.answers[status] += 1
        if status in REPEATED:
            return False
        if status in ACKNOWLEDGED:
            job.seen.cancel_acknowledged_at = time.monotonic()
        else:
            self._fail(f"{job.id} not cancelled: {status}")
        return True

    def disturb(
        self, rng: random.Random, stopping: threading.Event, faults: Sequence[Fault]
    ) -> None:
        """Play series of faults that overlap, with calm between them."""
        while not stopping.is_set():
            began = time.monotonic()
            self._platform.order_faults.begin(rng.uniform(0.6, 1.0), rng)
            self._play_series(rng, stopping, faults)
            self._platform.order_faults.end()
            self._platform.lose_every_nth = self._platform.store.refuse_every_nth = 0
            if not eventually(self._is_ready):
                self._fail("not all entry hosts became ready")
            self._platform.disruptions.append(Span(began, time.monotonic()))
            stopping.wait(CALM_S)

    def _play_series(
        self, rng: random.Random, stopping: threading.Event, faults: Sequence[Fault]
    ) -> None:
        threads = []
        for _ in range(rng.randint(1, MAX_FAULTS)):
            stopping.wait(rng.uniform(0.2, 1.2))
            arguments = (random.Random(rng.getrandbits(64)),)
            threads.append(threading.Thread(target=rng.choice(faults), args=arguments))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _is_ready(self) -> bool:
        return all(self._site.is_ready(name) for name in self._site.settings)

    def finish(self, rng: random.Random, deadline: float) -> None:
        """Send the cancels again that have had no answer."""
        for job in self._jobs:
            if not job.seen.cancelled_at or job.seen.cancel_acknowledged_at:
                continue
            while not self._send(job, rng):
                if time.monotonic() > deadline:
                    self._fail(f"{job.id} not cancelled: no answer")
                    break
                time.sleep(RETRY_S)
