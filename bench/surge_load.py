"""The load of the surge bench: arrivals, run times, and a discrete-event loop."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = ["PLANS", "SURGE_S", "Events", "Job", "Kind", "Outcome", "Report", "arrivals"]

HOSTS = 8
SLOTS = 8
SURGE_S = 10.0
CALM_S = 20.0
ROUNDS = 2
MEAN_OF_CAPACITY = 0.6
SURGE_FACTOR = 5.0
CALM_FACTOR = 0.05


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
    """One job and what became of it."""

    id: int
    pool: str
    kind: Kind
    run_s: float
    arrived: float
    gateway: int
    started: float = -1.0
    ended: float = -1.0
    refused: bool = False

    @property
    def good(self) -> bool:
        """Whether it started in time and ran to its end."""
        return self.ended >= 0.0 and self.started - self.arrived <= self.kind.wait_s


class Events:
    """A discrete-event loop; also the clock of what it drives."""

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


def arrivals(pools: tuple[str, ...], slots: int, gateways: int, seed: int) -> Iterator[Job]:
    """Yield jobs in order of arrival: each pool in turn surges, and is calm in between."""
    rng = random.Random(seed)
    mean_per_s = MEAN_OF_CAPACITY * slots / MEAN_RUN_S
    streams = [_stream(pool, mean_per_s, surges(n), rng) for n, pool in enumerate(pools)]
    ids = itertools.count()
    for when, pool in heapq.merge(*streams):
        kind = rng.choices(PLANS, [kind.share for kind in PLANS])[0]
        run_s = kind.run_s * rng.lognormvariate(-0.125, 0.5)
        yield Job(next(ids), pool, kind, run_s, when, rng.randrange(gateways))


def surges(pool: int) -> list[tuple[float, float]]:
    """Return the surges of the ``pool``-th pool as start and end."""
    step = SURGE_S + CALM_S
    starts = [CALM_S / 4 + pool * step + n * 2 * step for n in range(ROUNDS)]
    return [(start, start + SURGE_S) for start in starts]


def _stream(
    pool: str, mean_per_s: float, surging: list[tuple[float, float]], rng: random.Random
) -> list[tuple[float, str]]:
    found: list[tuple[float, str]] = []
    now, end = 0.0, surging[-1][1] + SURGE_S + CALM_S
    while now < end:
        in_surge = any(start <= now < stop for start, stop in surging)
        rate = mean_per_s * (SURGE_FACTOR if in_surge else CALM_FACTOR)
        now += rng.expovariate(rate)
        found.append((now, pool))
    return found


@dataclass
class Report:
    """Figures of one run."""

    goodput: float
    urgent_start_p99_s: float
    refused_by_urgency: dict[int, float] = field(default_factory=dict)
    late_by_urgency: dict[int, float] = field(default_factory=dict)
    fairness: float = 0.0


class Outcome:
    """All jobs of a run, and what it reports."""

    def __init__(self, jobs: list[Job], pools: tuple[str, ...], slots: int) -> None:
        self.jobs = jobs
        self._pools = pools
        self._slots = slots

    def report(self) -> Report:
        """Return the figures over the surges of all pools."""
        surging = [
            (pool, start, stop) for n, pool in enumerate(self._pools) for start, stop in surges(n)
        ]
        used_s = sum(self._used_s(pool, start, stop) for pool, start, stop in surging)
        capacity_s = len(surging) * SURGE_S * self._slots
        in_surge = [
            job
            for job in self.jobs
            if any(p == job.pool and a <= job.arrived < b for p, a, b in surging)
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
                rank: _share(jobs, lambda j: not j.refused and not j.good)
                for rank, jobs in by_urgency.items()
            },
            self._fairness(surging),
        )

    def _used_s(self, pool: str, start: float, stop: float, plan: str = "") -> float:
        return sum(
            max(0.0, min(job.ended, stop) - max(job.started, start))
            for job in self.jobs
            if job.pool == pool and job.good and plan in ("", job.kind.plan)
        )

    def _fairness(self, surging: list[tuple[str, float, float]]) -> float:
        """Slot seconds in surges of the plan that offers half, over those of its equal."""
        app_s, orders_s = (
            sum(self._used_s(*surge, plan) for surge in surging) for plan in ("app", "orders")
        )
        return app_s / max(1e-9, orders_s)


def _share(jobs: list[Job], holds: Callable[[Job], bool]) -> float:
    return sum(map(holds, jobs)) / max(1, len(jobs))
