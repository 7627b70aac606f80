"""Judgement of runs of cancelled jobs that went on, or began, in calm time."""

from collections.abc import Iterable, Iterator

from standins._platform_records import RunRecord, SeenJob, Span, runs_at

__all__ = ["count_at_work", "find_uncancelled"]

CANCEL_S = 3.0
"""Calm time after an acknowledged cancel after which no task of the job starts."""
STOP_S = 0.2
"""Time that the stop of a run may take."""
CONTACT_S = 4.0
"""Time after a start that was carried out late, after which the run counts as known."""


def find_uncancelled(
    jobs: Iterable[SeenJob], runs: Iterable[RunRecord], disruptions: Iterable[Span], until: float
) -> list[str]:
    """Return a line for each run that a cancelled job should not have, or no longer.

    :param disruptions: spans after which the time begins anew.
    :param until: time at which the judgement ends.
    """
    stretches = list(_calm_stretches(disruptions, until))
    found: list[str] = []
    for run, since in _runs_of_cancelled(jobs, runs):
        found += _judge(run, since, stretches)
    return found


def count_at_work(jobs: Iterable[SeenJob], runs: Iterable[RunRecord]) -> int:
    """Return how many jobs had a run in progress as their cancel was acknowledged."""
    cancelled = _runs_of_cancelled(jobs, runs)
    return len({_job(run) for run, since in cancelled if runs_at(run, since)})


def _runs_of_cancelled(
    jobs: Iterable[SeenJob], runs: Iterable[RunRecord]
) -> Iterator[tuple[RunRecord, float]]:
    """Yield the runs of cancelled jobs, and the times of the acknowledgements."""
    acknowledged_at = {job.id: job.cancel_acknowledged_at for job in jobs}
    for run in runs:
        since = acknowledged_at.get(_job(run), 0.0)
        if since:
            yield run, since


def _job(run: RunRecord) -> str:
    return run.task.split(".")[0]


def _judge(run: RunRecord, since: float, stretches: Iterable[Span]) -> Iterator[str]:
    """Yield a line if a run breaks the bounds that begin at a time."""
    known_at = run.began + CONTACT_S if run.late else 0.0
    for stretch in stretches:
        start_until = max(stretch.began, since) + CANCEL_S
        if not run.late and start_until < run.began <= stretch.ended:
            yield f"{run.task} began {run.began - since:.1f} s after its job was cancelled"
            return
        stop_until = max(stretch.began, since, known_at) + CANCEL_S + STOP_S
        if stop_until <= stretch.ended and runs_at(run, stop_until):
            yield f"{run.task} on {run.endpoint} ran on {stop_until - since:.1f} s after the cancel"
            return


def _calm_stretches(disruptions: Iterable[Span], until: float) -> Iterator[Span]:
    """Yield the spans between disruptions."""
    calm_since = 0.0
    for disruption in sorted(disruptions, key=lambda span: span.began):
        if disruption.began > calm_since:
            yield Span(calm_since, min(disruption.began, until))
        calm_since = max(calm_since, disruption.ended)
    if calm_since < until:
        yield Span(calm_since, until)
