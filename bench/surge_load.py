"""The load of the surge benchmark: arrivals, run times, and a discrete-event loop."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = [
    "HOSTS",
    "PLANS",
    "POOLS",
    "SLOTS",
    "Endpoint",
    "Events",
    "Job",
    "Kind",
    "Load",
    "Outcome",
    "Report",
]

POOLS = ("depot-1", "depot-2")
HOSTS = 8
SLOTS = 8
ENDPOINT_CONNECTIONS = 64
ROUNDS = 2
MEAN_LOAD_OF_CAPACITY = 0.6
SURGE_FACTOR = 5.0
LOW_LOAD_FACTOR = 0.05


@dataclass(frozen=True)
class Kind:
    """Jobs of one plan.

    :ivar share: part of the arrivals.
    :ivar run_s: mean run time; single ones spread log-normally around it.
    """

    plan: str
    urgency: int
    share: float
    run_s: float
    wait_s: float


PLANS = (
    Kind("routes", 0, 0.20, 0.2, 8.2),
    Kind("orders", 1, 0.40, 0.2, 15.0),
    Kind("app", 1, 0.20, 0.2, 15.0),
    Kind("ledgers", 2, 0.20, 0.4, 60.0),
)
MEAN_RUN_S = sum(kind.share * kind.run_s for kind in PLANS)


@dataclass
class Job:
    """One job and its result."""

    id: int
    pool: str
    kind: Kind
    run_s: float
    arrived: float
    gateway: int
    started: float = -1.0
    ended: float = -1.0
    refused: bool = False
    attempts: int = 1
    first_arrived: float = 0.0

    def __post_init__(self) -> None:
        self.first_arrived = self.arrived

    @property
    def succeeded(self) -> bool:
        """Whether it started in time and ran to its end."""
        return self.ended >= 0.0 and self.started - self.arrived <= self.kind.wait_s


class Events:
    """A discrete-event loop, which is also the clock of the simulated systems."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def __call__(self) -> float:
        return self.now

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Run ``event`` at ``when``."""
        heapq.heappush(self._events, (when, next(self._order), event))

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run ``event`` after ``delay_s``."""
        self.at(self.now + delay_s, event)

    def run(self, until: float) -> None:
        """Run all events up to ``until``."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()


class Endpoint:
    """Endpoint of a host: runs ``slots`` jobs at once and queues further ones in order."""

    def __init__(self, events: Events, slots: int = SLOTS) -> None:
        self._events = events
        self._free = slots
        self._waiting: deque[tuple[Job, Callable[[], None]]] = deque()

    def run(self, job: Job, on_end: Callable[[], None]) -> bool:
        """Run or queue a job; return ``False`` if no connection is left."""
        if self._free:
            self._start(job, on_end)
        elif len(self._waiting) < ENDPOINT_CONNECTIONS - SLOTS:
            self._waiting.append((job, on_end))
        else:
            return False
        return True

    def _start(self, job: Job, on_end: Callable[[], None]) -> None:
        self._free -= 1
        job.started = self._events.now
        self._events.after(job.run_s, lambda: self._end(job, on_end))

    def _end(self, job: Job, on_end: Callable[[], None]) -> None:
        job.ended = self._events.now
        self._free += 1
        if self._waiting:
            self._start(*self._waiting.popleft())
        on_end()


@dataclass(frozen=True)
class Load:
    """Surges of each pool in turn, with low load in between.

    :ivar surge_s: duration of a surge.
    """

    seed: int
    surge_s: float

    @property
    def end(self) -> float:
        """Time at which the low load after the last surge ends."""
        return self.surges(len(POOLS) - 1)[-1][1] + 2 * self.surge_s

    def surges(self, pool: int) -> list[tuple[float, float]]:
        """Return the surges of the ``pool``-th pool as start and end."""
        step = 3 * self.surge_s
        starts = [5.0 + pool * step + n * len(POOLS) * step for n in range(ROUNDS)]
        return [(start, start + self.surge_s) for start in starts]

    def arrivals(self, slots: int, gateways: int) -> Iterator[Job]:
        """Yield jobs in order of arrival, for pools of ``slots`` slots."""
        rng = random.Random(self.seed)
        peak_per_s = SURGE_FACTOR * MEAN_LOAD_OF_CAPACITY * slots / MEAN_RUN_S
        streams = [self._stream(n, peak_per_s, rng) for n in range(len(POOLS))]
        ids = itertools.count()
        for when, pool in heapq.merge(*streams):
            kind = rng.choices(PLANS, [kind.share for kind in PLANS])[0]
            run_s = kind.run_s * rng.lognormvariate(-0.125, 0.5)
            yield Job(next(ids), pool, kind, run_s, when, rng.randrange(gateways))

    def _stream(self, pool: int, peak_per_s: float, rng: random.Random) -> list[tuple[float, str]]:
        found: list[tuple[float, str]] = []
        now = 0.0
        while now < self.end:
            # Draws at the peak rate and thins out, so that a long gap never reaches into a surge.
            now += rng.expovariate(peak_per_s)
            in_surge = any(start <= now < stop for start, stop in self.surges(pool))
            if in_surge or rng.random() < LOW_LOAD_FACTOR / SURGE_FACTOR:
                found.append((now, POOLS[pool]))
        return found


@dataclass
class Report:
    """Figures of one run."""

    goodput: float
    urgent_start_p99_s: float
    refused_by_urgency: dict[int, float] = field(default_factory=dict)
    late_by_urgency: dict[int, float] = field(default_factory=dict)
    fairness: float = 0.0
    normal_served: float = 0.0
    normal_attempts: float = 0.0


class Outcome:
    """All jobs of a run, and its report."""

    def __init__(self, jobs: list[Job], load: Load, slots: int) -> None:
        self.jobs = jobs
        self._load = load
        self._slots = slots

    def report(self) -> Report:
        """Return the figures over the surges of all pools."""
        surging = [
            (pool, start, stop)
            for n, pool in enumerate(POOLS)
            for start, stop in self._load.surges(n)
        ]
        used_s = sum(self._used_s(pool, start, stop) for pool, start, stop in surging)
        capacity_s = len(surging) * self._load.surge_s * self._slots
        in_surge = [
            job
            for job in self.jobs
            if any(p == job.pool and a <= job.first_arrived < b for p, a, b in surging)
        ]
        urgent = sorted(
            job.started - job.arrived
            for job in in_surge
            if job.kind.urgency == 0 and job.started >= 0.0
        )
        by_urgency = {rank: [j for j in in_surge if j.kind.urgency == rank] for rank in range(3)}
        return Report(
            used_s / capacity_s,
            urgent[int(0.99 * (len(urgent) - 1))] if urgent else -1.0,
            {rank: _share(jobs, lambda j: j.refused) for rank, jobs in by_urgency.items()},
            {
                rank: _share(jobs, lambda j: not j.refused and not j.succeeded)
                for rank, jobs in by_urgency.items()
            },
            self._fairness(surging),
            _share(by_urgency[1], lambda job: job.succeeded),
            sum(job.attempts for job in by_urgency[1]) / max(1, len(by_urgency[1])),
        )

    def _used_s(self, pool: str, start: float, stop: float, plan: str = "") -> float:
        return sum(
            max(0.0, min(job.ended, stop) - max(job.started, start))
            for job in self.jobs
            if job.pool == pool and job.succeeded and plan in ("", job.kind.plan)
        )

    def _fairness(self, surging: list[tuple[str, float, float]]) -> float:
        """Return slot seconds in surges of plan ``app``, with half the load, over ``orders``."""
        app_s, orders_s = (
            sum(self._used_s(*surge, plan) for surge in surging) for plan in ("app", "orders")
        )
        return app_s / max(1e-9, orders_s)


def _share(jobs: list[Job], holds: Callable[[Job], bool]) -> float:
    return sum(map(holds, jobs)) / max(1, len(jobs))
