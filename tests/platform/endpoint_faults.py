"""Faults of endpoints that a soak plays, and the jobs that go with them."""

import enum
import random
import threading
import time
from collections import Counter
from collections.abc import Collection
from typing import Any

import msgspec

from standins.users_platform import Amounts, CrashPlan, UsersPlatform

__all__ = [
    "EndpointFaults",
    "Play",
    "crash_plan",
    "culprit_job",
    "cut_off_job",
    "lasting_job",
    "long_job",
    "longest_job",
    "wide_job",
]

CULPRIT_PREFIX = "crash:"
CULPRIT_TASK = ".0"
CUT_OFF_PREFIX = "cut:"
MAX_CUTS = 4
"""Endpoints that are cut off under one task: more than crashes after which it is given up."""
MAX_CUT_S = 8.0
"""Longer than a run's lease and the entry of a silent endpoint last."""
MAX_LONG_CUT_S = 14.0
"""Longer than the longest lease of an endpoint."""
MAX_DARK_S = 0.8
LATE_SHARE = 0.4
CUT_SHARE = 0.8
MAX_CLOCK_MS = 10_000_000
LONG_MS = (4000, 12_000)
LONGEST_MS = 20_000
CAPACITIES = (1000, 2000, 4000, 8000)
MEMORY_MB = 32768
MAX_BACK_S = 3.0
STEP = {"cpu": 1000, "mem_mb": 100, "estimate_ms": 150}


class Play(enum.Enum):
    """One kind of fault, or of work, that a soak plays besides its usual ones."""

    CULPRITS = "culprits"
    """Tasks crash each endpoint that starts them."""
    CRASHES = "crashes"
    """Endpoints crash by themselves and come back, or are lost."""
    FAILING = "failing"
    """Endpoints fail what they start for some time."""
    CAPACITY = "capacity"
    """The capacities of endpoints shrink and grow."""
    CUTS = "cuts"
    """Endpoints are cut off and work on, some just as they start a task, several in a row."""
    LASTING = "lasting"
    """Some jobs last until they are cancelled."""
    RESTARTS = "restarts"
    """Endpoints start again under their ids and are cut off soon after, while tasks take long and
    calls to the former process are carried out late."""
    CHAINS = "chains"
    """Owners are lost in series, after endpoints of their pool started again and were cut off,
    while tasks take long."""
    CANCELS = "cancels"
    """Jobs are cancelled while orders get no answer, and faults of hosts come in series."""


def culprit_job(rng: random.Random) -> dict[str, Any]:
    """Return a job whose first task crashes its endpoints, before or after the answer."""
    after_s = rng.choice((0.0, rng.uniform(0.001, 0.05)))
    back_s = None if rng.random() < 0.1 else rng.uniform(0.3, MAX_BACK_S)
    renamed = rng.random() < 0.5
    plan = msgspec.json.encode(CrashPlan(after_s, back_s, renamed)).decode()
    step = STEP | {"count": rng.randint(1, 3)}
    return {"spec": CULPRIT_PREFIX + plan, "steps": [step]}


def cut_off_job(rng: random.Random) -> dict[str, Any]:
    """Return a job whose first task has several endpoints cut off as they start it."""
    step = STEP | {"count": rng.randint(1, 3)}
    return {"spec": f"{CUT_OFF_PREFIX}{rng.uniform(0.5, MAX_CUT_S):.1f}", "steps": [step]}


def wide_job(rng: random.Random) -> dict[str, Any]:
    """Return a job that needs much of what endpoints of small capacity have."""
    return {"spec": "wide", "steps": [STEP | {"count": rng.randint(4, 16)}]}


def long_job(rng: random.Random) -> dict[str, Any]:
    """Return a job whose tasks outlast a run's lease, or the longest one."""
    return {"spec": "long", "steps": [STEP | {"count": 2, "estimate_ms": rng.choice(LONG_MS)}]}


def longest_job(rng: random.Random) -> dict[str, Any]:
    """Return a job whose tasks outlast the longest lease and a take-over."""
    step = STEP | {"count": rng.randint(2, 6), "estimate_ms": LONGEST_MS}
    return {"spec": "long", "steps": [step]}


def lasting_job(rng: random.Random) -> dict[str, Any]:
    """Return a job whose tasks run until it is cancelled."""
    cpu = rng.choice((500, 1000, 2000))
    step = STEP | {"count": rng.randint(1, 6), "cpu": cpu, "long_running": True}
    return {"spec": "lasting", "steps": [step]}


def crash_plan(task: str, spec: str) -> CrashPlan | None:
    """Return how a task of :func:`culprit_job` crashes its endpoint, ``None`` for all others."""
    if not spec.startswith(CULPRIT_PREFIX) or not task.endswith(CULPRIT_TASK):
        return None
    return msgspec.json.decode(spec.removeprefix(CULPRIT_PREFIX), type=CrashPlan)


class _Cuts:
    """Cuts endpoints off under the tasks of :func:`cut_off_job`, a limited number of times each."""

    def __init__(self) -> None:
        self._count_by_task: Counter[str] = Counter()

    def seconds(self, task: str, spec: str) -> float:
        """Return how long the start of a task cuts its endpoint off; 0.0 if it does not."""
        if not spec.startswith(CUT_OFF_PREFIX) or not task.endswith(CULPRIT_TASK):
            return 0.0
        self._count_by_task[task] += 1
        is_cut = self._count_by_task[task] <= MAX_CUTS
        return float(spec.removeprefix(CUT_OFF_PREFIX)) if is_cut else 0.0


class EndpointFaults:
    """Disturbs the endpoints of a platform.

    :param pools: pools whose endpoints are disturbed.
    :param hosts: number of hosts in all pools together, which stays the same.
    """

    def __init__(
        self, platform: UsersPlatform, plays: Collection[Play], pools: Collection[str], hosts: int
    ) -> None:
        self._platform = platform
        self._plays = plays
        self._pools = tuple(pools)
        self._hosts = hosts
        platform.crash_plan = crash_plan
        platform.cut_plan = _Cuts().seconds
        faults = {
            Play.CRASHES: self._crash,
            Play.FAILING: self._fail,
            Play.CAPACITY: self._resize,
            Play.CUTS: self._cut,
            Play.RESTARTS: self._restart,
        }
        if {Play.RESTARTS, Play.CHAINS}.intersection(plays):
            platform.max_clock_ms = MAX_CLOCK_MS
        self._faults = [fault for play, fault in faults.items() if play in plays]

    @property
    def are_disturbed(self) -> bool:
        """Whether there are faults to play."""
        return bool(self._faults)

    def disturb(self, rng: random.Random, stopping: threading.Event) -> None:
        """Play faults until ``stopping`` is set, then end all of them."""
        while not stopping.wait(rng.uniform(0.1, 0.8)):
            self.play_one(rng)
            self._replace_lost()
        self._platform.failing.clear()
        if Play.CAPACITY in self._plays:
            for host in self._all_hosts():
                self._platform.set_capacity(host, Amounts(max(CAPACITIES), MEMORY_MB))

    def _all_hosts(self) -> list[str]:
        return [host for pool in self._pools for host in self._platform.hosts_of(pool)]

    def recover(self) -> None:
        """End all faults but changed capacities, and wait until all endpoints are back."""
        self._platform.failing.clear()
        time.sleep(MAX_BACK_S)
        self._replace_lost()

    def play_one(self, rng: random.Random) -> None:
        """Play one fault, if there are any to play."""
        if self._faults:
            fault = rng.choice(self._faults)
            fault(rng, rng.choice(self._all_hosts()))

    def _crash(self, rng: random.Random, host: str) -> None:
        back_s = None if rng.random() < 0.1 else rng.uniform(0.0, MAX_BACK_S)
        self._platform.crash_endpoint(host, back_s, renamed=rng.random() < 0.3)

    def _fail(self, rng: random.Random, host: str) -> None:
        failing = self._platform.failing
        if failing:
            failing.clear()
        else:
            failing.add(host)

    def _resize(self, rng: random.Random, host: str) -> None:
        self._platform.set_capacity(host, Amounts(rng.choice(CAPACITIES), MEMORY_MB))

    def _cut(self, rng: random.Random, host: str) -> None:
        self._platform.cut_endpoint(host, rng.uniform(0.5, MAX_CUT_S))

    def _restart(self, rng: random.Random, host: str) -> None:
        """Restart an endpoint while calls are delayed, and cut it off soon after."""
        self._platform.order_faults.begin(LATE_SHARE, rng, with_polls=True)
        time.sleep(rng.uniform(0.0, 0.5))
        self._platform.restart_endpoint(host, rng.uniform(0.1, MAX_DARK_S))
        time.sleep(rng.uniform(0.2, 1.5))
        self._platform.order_faults.end()
        time.sleep(rng.uniform(0.0, 1.5))
        if rng.random() < CUT_SHARE:
            self._platform.cut_endpoint(host, rng.uniform(1.0, MAX_LONG_CUT_S))

    def _replace_lost(self) -> None:
        """Add a host for each whose endpoint never starts again; hosts may change their pools."""
        hosts_by_pool = {pool: len(self._platform.hosts_of(pool)) for pool in self._pools}
        for _ in range(sum(hosts_by_pool.values()), self._hosts):
            smallest = min(hosts_by_pool, key=hosts_by_pool.__getitem__)
            hosts_by_pool[smallest] += 1
            self._platform.add_host(smallest)
