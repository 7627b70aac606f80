"""Jobs that the callers of a soak submit."""

import random
import time
from collections.abc import Callable
from typing import Any

from standins.users_platform import SeenJob

__all__ = ["CPU", "SoakJob", "cancelled_job", "short_job"]

CPU = 1000
REFUSALS = frozenset({401, 409, 429, 503})
"""Statuses that mean that a job never runs."""
WORK_MS = (150, 1500, 4000, 8000)
"""Times that tasks take, some longer than a cancel may."""
MAX_OCCURRENCES = 3


class SoakJob:
    """One job of a caller, and the answers to its attempts."""

    def __init__(
        self, path: str, pool: str, workspace: str, key: str, body: dict[str, Any]
    ) -> None:
        self.path = path
        self.id = path.rpartition("/")[2]
        self.workspace = workspace
        self.key = key
        self.body = body
        self.seen = SeenJob.from_body(self.id, pool, body)
        self.answers: list[int] = []

    @property
    def lasts(self) -> bool:
        """Whether a task of the job runs until the job is cancelled."""
        return any(step.lasts for step in self.seen.steps)

    @property
    def is_accepted(self) -> bool:
        """Whether the job was accepted."""
        return 200 in self.answers

    @property
    def is_refused(self) -> bool:
        """Whether the job may never run."""
        return bool(self.answers) and all(answer in REFUSALS for answer in self.answers)


def short_job(rng: random.Random) -> dict[str, Any]:
    """Return a job of one step whose tasks take a short time."""
    return {"spec": "soak", "steps": [_step(rng) | {"estimate_ms": 150}]}


def cancelled_job(rng: random.Random) -> dict[str, Any]:
    """Return a job of any kind, for a caller that cancels it."""
    return {"spec": "cancelled"} | rng.choice(KINDS)(rng)


def _step(rng: random.Random) -> dict[str, Any]:
    step = {"count": rng.randint(1, 4), "cpu": CPU, "mem_mb": 100}
    return step | {"estimate_ms": rng.choice(WORK_MS)}


def _single(rng: random.Random) -> dict[str, Any]:
    return {"steps": [_step(rng)]}


def _stepwise(rng: random.Random) -> dict[str, Any]:
    later = [_step(rng) | {"after": [before]} for before in range(rng.randint(1, 2))]
    return {"steps": [_step(rng), *later]}


def _gang(rng: random.Random) -> dict[str, Any]:
    return {"steps": [_step(rng) | {"count": rng.randint(2, 4), "gang": True}]}


def _speculative(rng: random.Random) -> dict[str, Any]:
    return {"steps": [_step(rng) | {"speculative": True}]}


def _lasting(rng: random.Random) -> dict[str, Any]:
    return {"steps": [_step(rng) | {"long_running": True}]}


def _filling(rng: random.Random) -> dict[str, Any]:
    return {"steps": [_step(rng) | {"fills": True}]}


def _timed(rng: random.Random) -> dict[str, Any]:
    return {
        "steps": [_step(rng)],
        "repeat_count": rng.randint(2, MAX_OCCURRENCES),
        "first_run_ms": int(time.time() * 1000) + rng.randint(0, 1500),
        "interval_ms": rng.randint(500, 2000),
    }


KINDS: tuple[Callable[[random.Random], dict[str, Any]], ...] = (
    _single,
    _stepwise,
    _gang,
    _speculative,
    _lasting,
    _filling,
    _timed,
)
