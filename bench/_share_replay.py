"""Replay of surges on a pool of slots, to compare orders by the jobs that they serve in time."""

import random
from collections.abc import Callable

import msgspec

from lentilrill.ids import WorkspaceId
from lentilrill.scheduling import DominantShares, FairOrder, JobTiming, class_of
from lentilrill.scheduling._fair_order import ShareClass
from lentilrill.workloads import Resources

__all__ = ["ORDERS", "WORKSPACES", "Replayed", "replay"]

TASK = Resources(1000, 1000)
SLOTS = 96
STEP_S = 0.05
SPAN_S = 30.0
SURGE_S = (5.0, 15.0)
WORKSPACES = 20
STRETCH, OBJECTIVE_S = 1.6, 0.6
SPREAD = 0.5

ClassAndKey = Callable[[JobTiming, bool], tuple[ShareClass, float]]


class Replayed(msgspec.Struct):
    """Outcome of one replay.

    :ivar in_time_by_workspace: jobs in time and all jobs of each workspace.
    :ivar owed: jobs within the rate that ended in time, and all jobs within it.
    """

    in_time_by_workspace: dict[WorkspaceId, list[int]]
    owed: list[int]

    @property
    def in_time(self) -> float:
        """Share of all jobs that ended in time."""
        rows = list(self.in_time_by_workspace.values())
        return sum(done for done, _ in rows) / sum(all_jobs for _, all_jobs in rows)

    @property
    def owed_in_time(self) -> float:
        """Share of the jobs within the rate that ended in time."""
        return self.owed[0] / self.owed[1]

    @property
    def worst_tenth(self) -> float:
        """Mean share in time of the worst tenth of the workspaces."""
        shares = sorted(done / all_jobs for done, all_jobs in self.in_time_by_workspace.values())
        worst = shares[: max(1, len(shares) // 10)]
        return sum(worst) / len(worst)


class _Job(msgspec.Struct):
    workspace: WorkspaceId
    arrives_s: float
    tasks: int
    task_s: float
    beyond_rate: bool
    left: int = 0
    running: int = 0

    def timing(self, now: float) -> JobTiming:
        deadline_s = STRETCH * self.task_s + OBJECTIVE_S
        work = self.left * self.task_s
        return JobTiming(0, False, now - self.arrives_s, self.task_s, deadline_s, work)


def _today(timing: JobTiming, beyond: bool) -> tuple[ShareClass, float]:
    return class_of(timing, beyond_rate=beyond)


def _deadline(timing: JobTiming, beyond: bool) -> tuple[ShareClass, float]:
    job_class, key = class_of(timing, beyond_rate=beyond)
    return job_class, key if job_class.overdue else timing.slack_s


def _in_time_first(timing: JobTiming, beyond: bool) -> tuple[ShareClass, float]:
    job_class, key = class_of(timing, beyond_rate=beyond)
    # The class orders by its second field first: both fields change places.
    return ShareClass(job_class.group, job_class.overdue, job_class.beyond_rate), key


def _share_first(timing: JobTiming, beyond: bool) -> tuple[ShareClass, float]:
    job_class, key = class_of(timing, beyond_rate=beyond)
    overdue_key = 1e6 + key if job_class.overdue else key
    return ShareClass(job_class.group, job_class.beyond_rate), overdue_key


ORDERS: dict[str, tuple[bool, ClassAndKey]] = {
    "one order for all": (False, _today),
    "shares, shortest first": (True, _today),
    "shares, least slack first": (True, _deadline),
    "shares, in time before rate": (True, _in_time_first),
    "shares before in time": (True, _share_first),
}
"""Whether workspaces are told apart, and the class and key of a job."""


def replay(name: str, load: float, seed: int) -> Replayed:
    """Play a surge of the largest workspace in one order.

    :param load: work that arrives during the surge, as a multiple of what the pool can do.
    """
    fair, class_and_key = ORDERS[name]
    rng = random.Random(seed)
    weights = {WorkspaceId(f"w{n}"): 3.0 + n for n in range(WORKSPACES)}
    jobs = _jobs(rng, weights, load)
    rows: dict[WorkspaceId, list[int]] = {job.workspace: [0, 0] for job in jobs}
    owed = [0, 0]
    for job in jobs:
        rows[job.workspace][1] += 1
        owed[1] += not job.beyond_rate
    waiting: list[_Job] = []
    running: list[tuple[float, _Job]] = []
    now = 0.0
    while jobs or waiting or running:
        for _, job in [entry for entry in running if entry[0] <= now]:
            job.running -= 1
            if not job.left and not job.running:
                is_in_time = now <= job.arrives_s + job.timing(now).deadline_s
                rows[job.workspace][0] += is_in_time
                owed[0] += is_in_time and not job.beyond_rate
        running = [entry for entry in running if entry[0] > now]
        while jobs and jobs[0].arrives_s <= now:
            waiting.append(jobs.pop(0))
        used: dict[WorkspaceId, Resources] = {}
        for _, job in running:
            used[job.workspace] = used.get(job.workspace, Resources()).plus(TASK)
        shares = DominantShares(used, weights, TASK.times(SLOTS))
        order = FairOrder(
            waiting,
            lambda j: j.workspace if fair else WorkspaceId(""),
            lambda j: class_and_key(j.timing(now), j.beyond_rate and fair),  # noqa: B023
        )
        for job in order.by(shares):
            starts = min(job.left, SLOTS - len(running))
            if starts <= 0:
                break
            running += [(now + job.task_s * rng.uniform(0.5, 1.5), job)] * starts
            job.left -= starts
            job.running += starts
            shares.add(job.workspace, TASK.times(starts))
        waiting = [job for job in waiting if job.left]
        now += STEP_S
    return Replayed(rows, owed)


def _jobs(rng: random.Random, weights: dict[WorkspaceId, float], load: float) -> list[_Job]:
    """Return jobs by arrival: 0.6 of the pool, and the rest of the surge from the largest one."""
    largest = max(weights, key=lambda id: weights[id])
    mean_work = 4.5 * 1.0
    jobs = []
    calm_rate = 0.6 * SLOTS / mean_work
    surge_rate = (load - 0.6) * SLOTS / mean_work
    ids, shares = list(weights), list(weights.values())
    now = 0.0
    while now < SPAN_S:
        in_surge = SURGE_S[0] <= now < SURGE_S[1]
        rate = calm_rate + (surge_rate if in_surge else 0.0)
        now += rng.expovariate(rate)
        is_surge = in_surge and rng.random() < surge_rate / rate
        workspace = largest if is_surge else rng.choices(ids, shares)[0]
        task_s = rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        tasks = rng.randint(1, 8)
        jobs.append(_Job(workspace, now, tasks, task_s, is_surge and rng.random() < 0.5, tasks))
    return jobs
