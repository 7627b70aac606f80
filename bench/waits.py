"""Breakdown of the time that jobs took, from the log lines of entry hosts.

Reads log files (or standard input), keeps the last ``job_ended`` line of each job, and prints one
JSON line for each queue: jobs, and the seconds that its slowest tenth spent on each cause. Text
before the JSON object of a line is skipped.
"""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

__all__ = ["Ended", "ended_jobs", "slowest"]

SLOWEST_SHARE = 0.1
CAUSES = ("owner_s", "take_over_s", "room_s", "cap_s", "order_s", "work_s", "store_s")


class Ended(msgspec.Struct):
    """One ``job_ended`` line; seconds by what the job waited for."""

    job: str
    queue: str
    took_s: float
    state: str = ""
    owner_s: float = 0.0
    take_over_s: float = 0.0
    room_s: float = 0.0
    cap_s: float = 0.0
    order_s: float = 0.0
    work_s: float = 0.0
    store_s: float = 0.0


def ended_jobs(lines: Iterable[str]) -> list[Ended]:
    """Return the last ``job_ended`` line of each job."""
    by_job: dict[str, Ended] = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"job_ended"' not in line:
            continue
        try:
            ended = msgspec.json.decode(line[start:], type=Ended)
        except msgspec.MsgspecError as error:
            print(f"skipped line, {error}: {line[:80]}", file=sys.stderr)
            continue
        by_job[ended.job] = ended
    return list(by_job.values())


def slowest(ended: list[Ended]) -> dict[str, float]:
    """Return the mean seconds that the slowest tenth spent on each cause."""
    ranked = sorted(ended, key=lambda job: -job.took_s)
    slowest_jobs = ranked[: max(1, round(len(ranked) * SLOWEST_SHARE))]
    return {
        cause: round(sum(getattr(job, cause) for job in slowest_jobs) / len(slowest_jobs), 2)
        for cause in CAUSES
    }


def _lines(paths: list[Path]) -> Iterator[str]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from file
    if not paths:
        yield from sys.stdin


def main() -> None:
    """Print one line for each queue."""
    parser = argparse.ArgumentParser(
        description="breakdown of the time that jobs took, from log files"
    )
    parser.add_argument("logs", nargs="*", type=Path)
    ended = ended_jobs(_lines(parser.parse_args().logs))
    for queue in sorted({job.queue for job in ended}):
        jobs = [job for job in ended if job.queue == queue and job.state != "cancelled"]
        if jobs:
            print(
                msgspec.json.encode(
                    {
                        "queue": queue,
                        "jobs": len(jobs),
                        "median_s": sorted(job.took_s for job in jobs)[len(jobs) // 2],
                        "slowest_tenth": slowest(jobs),
                    }
                ).decode()
            )


if __name__ == "__main__":
    main()
