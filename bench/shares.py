"""Processor time of a planning round whose order follows the workspaces' shares.

Run as ``python -m bench.shares``. A round over 2,000 waiting jobs of 20 and 480 workspaces, on a
pool of 60 endpoints that are full but for a few: ordered by the key alone (``before``) and by
shares (``after``), in turn, so that other load on the machine falls on both. Then a surge of the
largest of 20 workspaces is replayed in several orders on a pool of slots.
"""

import random
import statistics
import time

from bench import figure
from bench._share_replay import ORDERS, replay
from lentilrill.execution._budgets import RoundBudgets
from lentilrill.execution._fair_shares import shares_of
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import Run, TrackedJob
from lentilrill.ids import EndpointId, JobId, PoolId, QueueId, Revision, WorkspaceId, ZoneId
from lentilrill.workloads import (
    Configuration,
    EndpointEntry,
    Job,
    PoolEntry,
    Queue,
    Resources,
    Step,
    Workspace,
    Workspaces,
)
from tests.execution.cases import Owner, a_planner
from tests.execution.fakes import FakeEndpoint

__all__ = ["main"]

POOL = PoolId("notices")
JOBS = 2_000
ENDPOINTS = 60
FREE_ENDPOINTS = 4
HOST = Resources(16_000, 32_768)
TASK = Resources(1_000, 1_000)
ROUNDS = 100
SEED = 7
LOADS = (1.3, 2.0, 4.0)
SEEDS = 10


class Pool:
    """A full pool with waiting jobs of some workspaces."""

    def __init__(self, workspaces: int) -> None:
        rng = random.Random(SEED)
        ids = [WorkspaceId(f"w{number}") for number in range(workspaces)]
        weights = {id: Workspace(id, float(rng.randint(3, 23))) for id in ids}
        queue = Queue(QueueId("proofs"), "braille.example", "/", POOL, stretch=1.6)
        self.configuration = Configuration(
            1, (queue,), (PoolEntry(POOL),), workspaces=Workspaces(weights, {})
        )
        self.links = [_link(number) for number in range(ENDPOINTS)]
        self.jobs = [_job(number, rng.choice(ids), rng) for number in range(JOBS)]
        running = [_job(JOBS + n, rng.choice(ids), rng) for n in range(ENDPOINTS)]
        for link, tracked_job in zip(self.links[FREE_ENDPOINTS:], running, strict=False):
            _fill(link, tracked_job)
        self.pairs = [(tracked_job, queue) for tracked_job in [*self.jobs, *running]]

    def round_s(self, *, by_shares: bool) -> float:
        """Plan one round, take back its starts, and return its processor time."""
        planner = a_planner()
        planner.feasible = False
        now = time.monotonic()
        for link in self.links:
            link.answered_at = now
        started = time.thread_time()
        capacities = planner.capacity_by_endpoint(self.links, now)
        budgets = RoundBudgets(None)
        if by_shares:
            budgets.shares = shares_of(self.configuration, self.links, {})
        placed = planner.place_tasks(self.pairs, capacities, now, frozenset(), 0, set(), budgets)
        took_s = time.thread_time() - started
        for _, run in placed:
            run.task.runs.clear()
        return took_s


def main() -> None:
    """Run and print the measurements."""
    for workspaces in (20, 480):
        pool = Pool(workspaces)
        before, after = [], []
        for _ in range(ROUNDS):
            before.append(pool.round_s(by_shares=False))
            after.append(pool.round_s(by_shares=True))
        # Other load on the machine only adds to a round, so the shortest ones compare best.
        shortest = {"before": min(before), "after": min(after)}
        for name, round_s in shortest.items():
            figure("shares", name, round_s * 1e3, "ms", workspaces=workspaces, jobs=JOBS)
        ratio = shortest["after"] / shortest["before"]
        figure("shares", "after/before", ratio, "", workspaces=workspaces, jobs=JOBS)
    for load in LOADS:
        for name in ORDERS:
            played = [replay(name, load, seed) for seed in range(SEEDS)]
            in_time = statistics.mean(outcome.in_time for outcome in played)
            owed = statistics.mean(outcome.owed_in_time for outcome in played)
            worst = statistics.mean(outcome.worst_tenth for outcome in played)
            figure("shares", "in time", in_time, "", order=name, load=load)
            figure("shares", "owed in time", owed, "", order=name, load=load)
            figure("shares", "worst tenth in time", worst, "", order=name, load=load)


def _link(number: int) -> EndpointLink:
    entry = EndpointEntry(
        EndpointId(f"e{number}"), POOL, "", ZoneId("z1"), HOST, labels=(f"r{number // 20}",)
    )
    link = EndpointLink(Owner(), entry, FakeEndpoint())
    link.was_polled = link.reachable = True
    link.update_clock(1000, time.monotonic())
    return link


def _job(number: int, workspace: WorkspaceId, rng: random.Random) -> TrackedJob:
    steps = (
        Step(rng.randint(1, 8), TASK, rng.randint(500, 4000)),
        Step(1, TASK, 500, after=(0,)),
    )
    job = Job(JobId(f"j{number}"), QueueId("proofs"), POOL, "", steps, workspace=workspace)
    tracked_job = TrackedJob(job, Revision(1), time.monotonic())
    tracked_job.is_recorded = True
    tracked_job.open_occurrences(0)
    return tracked_job


def _fill(link: EndpointLink, tracked_job: TrackedJob) -> None:
    """Fill an endpoint with runs, of which each reserves one core."""
    tasks = tracked_job.tasks()
    for number in range(HOST.cpu // TASK.cpu):
        run = Run(tasks[number % len(tasks)], number, link.entry.id, TASK)
        link.runs_by_key[run.key] = run
    for task in tasks:
        task.runs.append(run)


if __name__ == "__main__":
    main()
