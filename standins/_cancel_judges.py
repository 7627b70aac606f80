"""Judgement of runs of cancelled jobs that went on, or began, in calm time."""

from collections.abc import Iterable, Iterator

from standins._platform_records import RunRecord, SeenJob, Span

__all__ = ["find_uncancelled"]

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
    acknowledged_at = {job.id: job.cancel_acknowledged_at for job in jobs}
    stretches = list(_calm_stretches(disruptions, until))
    found: list[str] = []
    for run in runs:
        since = acknowledged_at.get(run.task.split(".")[0], 0.0)
        if since:
            found += _judge(run, since, stretches)
    return found


def _judge(run: RunRecord, since: float, stretches: Iterable[Span]) -> Iterator[str]:
    """Yield a line if a run breaks the bounds that begin at a time."""
    known_at = run.began + CONTACT_S if run.late else 0.0
    for stretch in stretches:
        start_until = max(stretch.began, since) + CANCEL_S
        if not run.late and start_until < run.began <= stretch.ended:
            yield f"{run.task} began {run.began - since:.1f} s after its job was cancelled"
            return
        stop_until = max(stretch.began, since, known_at) + CANCEL_S + STOP_S
        if run.began <= stop_until <= stretch.ended and _is_at_work(run, stop_until):
            yield f"{run.task} on {run.endpoint} ran on {stop_until - since:.1f} s after the cancel"
            return


def _is_at_work(run: RunRecord, at: float) -> bool:
    return not run.ended or run.ended > at


def _calm_stretches(disruptions: Iterable[Span], until: float) -> Iterator[Span]:
    """Yield the spans between disruptions."""
    calm_since = 0.0
    for disruption in sorted(disruptions, key=lambda span: span.began):
        if disruption.began > calm_since:
            yield Span(calm_since, min(disruption.began, until))
        calm_since = max(calm_since, disruption.ended)
    if calm_since < until:
        yield Span(calm_since, until)
