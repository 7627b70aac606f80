"""What the stand-in for the users' platform records, for its judges to read."""

from collections.abc import Mapping
from typing import Any

import msgspec

__all__ = ["Amounts", "Crash", "Listing", "RunRecord", "SeenJob", "SeenStep", "Span", "runs_at"]


class Amounts(msgspec.Struct, frozen=True):
    """Resources that an endpoint has, or that a task needs."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def __sub__(self, other: "Amounts") -> "Amounts":
        return Amounts(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)

    def fits_in(self, room: "Amounts") -> bool:
        """Return whether none of the amounts is above its counterpart in ``room``."""
        return all(need <= free for need, free in self._pairs(room))

    def count_in(self, room: "Amounts") -> int:
        """Return how many times the amounts fit into ``room``."""
        return max(0, min((free // need for need, free in self._pairs(room) if need), default=0))

    def _pairs(self, other: "Amounts") -> tuple[tuple[int, int], ...]:
        return (self.cpu, other.cpu), (self.mem_mb, other.mem_mb), (self.gpu, other.gpu)


class RunRecord(msgspec.Struct):
    """One run of a task on an endpoint; ``ended`` is 0.0 while it runs.

    :param end_kind: how it ended, as a value of the platform's protocol; ``gone`` if its endpoint
        crashed or left.
    :param noted: whether the end was acknowledged.
    :param noted_at: when it was; 0.0 until then.
    :param outdated: whether its endpoint's lease lapsed behind a partition before that, so that the
        end counts as never noted.
    :param late: whether its start was carried out late, after its sender had got no answer.
    """

    endpoint: str
    task: str
    number: int
    began: float
    ended: float = 0.0
    end_kind: str = ""
    noted: bool = False
    outdated: bool = False
    noted_at: float = 0.0
    late: bool = False


class Span(msgspec.Struct, frozen=True):
    """A span of monotonic time."""

    began: float
    ended: float


class Crash(msgspec.Struct, frozen=True):
    """One crash of an endpoint; its runs ended at the same moment.

    :param culprit: task that crashed the endpoint, or an empty string.
    """

    endpoint: str
    at: float
    culprit: str = ""


class Listing(msgspec.Struct, frozen=True):
    """What an endpoint's entry in the store shows from one moment on.

    :param capacity: ``None`` from the moment at which the endpoint is down.
    """

    at: float
    endpoint: str
    pool: str
    capacity: Amounts | None


class SeenStep(msgspec.Struct, frozen=True):
    """The part of a step that the judges need."""

    count: int
    need: Amounts
    after: tuple[int, ...] = ()
    lasts: bool = False
    copied: bool = False
    """Whether several copies of a task may run at once."""
    gang: bool = False
    work_s: float = 0.0
    """Seconds that each task takes; 0.0 for what all tasks of the platform take."""


class SeenJob(msgspec.Struct):
    """One job, as its caller knows it.

    :param accepted_at: 0.0 until the job was accepted.
    :param cancelled_at: 0.0 until the caller asked to cancel the job.
    :param cancel_acknowledged_at: 0.0 until the caller was told that the job is cancelled.
    :param state: the state that was shown last.
    """

    id: str
    pool: str
    steps: tuple[SeenStep, ...]
    max_attempts: int = 3
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    state: str = ""
    cancel_acknowledged_at: float = 0.0
    timed: bool = False

    @classmethod
    def from_body(cls, job: str, pool: str, body: Mapping[str, Any]) -> "SeenJob":
        """Return the job of a request body."""
        steps = tuple(_seen_step(step) for step in body["steps"])
        return cls(job, pool, steps, timed=bool(body.get("repeat_count")))

    def step_of(self, task: str) -> SeenStep:
        """Return the step of one of the job's tasks."""
        return self.steps[int(task.split(".")[2])]


def runs_at(run: RunRecord, at: float) -> bool:
    """Return whether a run had begun and not ended at a time."""
    return run.began <= at and (not run.ended or run.ended > at)


def _seen_step(step: Mapping[str, Any]) -> SeenStep:
    # The cpu of a step that fills is not counted against the capacity of an endpoint.
    cpu = 0 if step.get("fills") else step.get("cpu", 0)
    need = Amounts(cpu, step.get("mem_mb", 0), step.get("gpu", 0))
    return SeenStep(
        step["count"],
        need,
        tuple(step.get("after", ())),
        bool(step.get("long_running")),
        bool(step.get("speculative")),
        bool(step.get("gang")),
        step.get("estimate_ms", 0) / 1000,
    )
