"""Error of the predicted time left of running tasks.

Run as ``python -m bench.durations``. Jobs of sixteen tasks run on generated durations, a few of
them several times as long as the others; in the middle of each play all tasks become slower. The
error is the median of the absolute logarithm of predicted over actual time left: 0.69 is a factor
of two.
"""

import math
import random
import statistics
import time
from collections.abc import Iterator

import msgspec

from bench import figure
from lentilrill.execution._need import Durations
from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import JobId, PoolId, QueueId, Revision
from lentilrill.workloads import Job, Step

__all__ = ["main"]

JOBS = 120
TASKS = 16
USUAL_MS_BY_QUEUE = {"short": 600.0, "medium": 1500.0, "long": 4000.0}
SPREAD = 0.3
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
MAX_ESTIMATE_ERROR = 0.9
SHIFT_FACTOR = 2.0
STARTUP_MS = 30.0
AGES = (0.25, 0.5, 1.0, 1.5, 2.0, 4.0)
"""Ages at which time left is predicted, as shares of the usual duration."""
MIN_LEFT_MS = 200.0
"""Least time left that is predicted and counted, as in the pool's demand."""
SEEDS = range(5)
CALLS = 20_000


class _Prediction(msgspec.Struct, frozen=True):
    queue: str
    age: float
    is_shifted: bool
    is_long: bool
    error_by_method: dict[str, float]


def main() -> None:
    """Run and print the measurements."""
    found = [prediction for seed in SEEDS for prediction in _predictions(random.Random(seed))]
    for queue in USUAL_MS_BY_QUEUE:
        _report([p for p in found if p.queue == queue], queue=queue)
    for age in AGES:
        _report([p for p in found if p.age == age], age=age)
    _report([p for p in found if p.is_shifted], part="after the shift")
    _report([p for p in found if p.is_long], part="long tasks")
    _report(found, part="all")
    figure("durations", "cost", _cost_us(), "us", calls=CALLS)


def _report(predictions: list[_Prediction], **fields: object) -> None:
    for method in ("before", "without progress", "after"):
        errors = [p.error_by_method[method] for p in predictions]
        figure(
            "durations",
            f"error {method}",
            round(statistics.median(errors), 3),
            "log",
            mean=round(statistics.fmean(errors), 3),
            **fields,
        )


def _cost_us() -> float:
    """Return the processor time of one prediction, in microseconds."""
    durations = Durations()
    tracked_job = _job("a", "short", 1000)
    step = tracked_job.steps_by_occurrence[0][0]
    for number in range(TASKS):
        durations.record(step, 900.0 + number)
        durations.record(_job("b", "short", 1000).steps_by_occurrence[0][0], 900.0 + number)
    started = time.process_time()
    for _ in range(CALLS):
        durations.remaining_ms(tracked_job.job, step.spec, step, 500.0, 0.3)
    return (time.process_time() - started) / CALLS * 1e6


def _predictions(rng: random.Random) -> Iterator[_Prediction]:
    durations = Durations()
    for number in range(JOBS):
        is_shifted = number >= JOBS // 2
        for queue, usual_ms in USUAL_MS_BY_QUEUE.items():
            usual_ms *= rng.lognormvariate(0, SPREAD) * (SHIFT_FACTOR if is_shifted else 1.0)
            estimate_ms = usual_ms * (1 + rng.uniform(-MAX_ESTIMATE_ERROR, MAX_ESTIMATE_ERROR))
            tracked_job = _job(f"{queue}{number}", queue, int(max(1, estimate_ms)))
            tasks = [_duration(rng, usual_ms) for _ in range(TASKS)]
            yield from _of_job(durations, tracked_job, usual_ms, tasks, is_shifted)


def _of_job(
    durations: Durations,
    tracked_job: TrackedJob,
    usual_ms: float,
    tasks: list[tuple[float, bool]],
    is_shifted: bool,
) -> Iterator[_Prediction]:
    """Run the tasks of a job at once; predict those that are still running at each age."""
    step = tracked_job.steps_by_occurrence[0][0]
    waiting = sorted(ms for ms, _ in tasks)
    for age in AGES:
        elapsed_ms = age * usual_ms
        while waiting and waiting[0] <= elapsed_ms:
            durations.record(step, waiting.pop(0))
        for ms, is_long in tasks:
            if ms > elapsed_ms:
                errors = _errors(durations, tracked_job, elapsed_ms, ms)
                queue = tracked_job.job.queue
                yield _Prediction(queue, age, is_shifted, is_long, errors)
    for ms in waiting:
        durations.record(step, ms)


def _errors(
    durations: Durations, tracked_job: TrackedJob, elapsed_ms: float, ms: float
) -> dict[str, float]:
    step = tracked_job.steps_by_occurrence[0][0]
    job, spec = tracked_job.job, step.spec
    worked = max(0.0, elapsed_ms - STARTUP_MS) / (ms - STARTUP_MS)
    share = int(worked * 100) / 100
    predicted_by_method = {
        "before": durations.expected_ms(job, spec, step) - elapsed_ms,
        "without progress": durations.remaining_ms(job, spec, step, elapsed_ms, 0.0),
        "after": durations.remaining_ms(job, spec, step, elapsed_ms, share),
    }
    left_ms = max(MIN_LEFT_MS, ms - elapsed_ms)
    return {
        method: abs(math.log(max(MIN_LEFT_MS, predicted) / left_ms))
        for method, predicted in predicted_by_method.items()
    }


def _duration(rng: random.Random, usual_ms: float) -> tuple[float, bool]:
    is_long = rng.random() < LONG_SHARE
    ms = usual_ms * rng.lognormvariate(0, SPREAD) * (LONG_FACTOR if is_long else 1.0)
    return max(2 * STARTUP_MS, ms), is_long


def _job(id: str, queue: str, estimate_ms: int) -> TrackedJob:
    step = Step(TASKS, estimate_ms=estimate_ms)
    job = Job(JobId(id), QueueId(queue), PoolId("pool"), "", (step,))
    tracked_job = TrackedJob(job, Revision(1), 0.0)
    tracked_job.open_occurrences(0)
    return tracked_job


if __name__ == "__main__":
    main()
