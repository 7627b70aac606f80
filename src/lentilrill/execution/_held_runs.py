"""Runs that hold their task and capacity although no report can show their end any more."""

from lentilrill.execution._link import EndpointLink, lease_end_of_report
from lentilrill.execution._tracking import Run

__all__ = ["MAX_UNSENT_S", "ended_runs", "unknown_runs_have_ended"]

MAX_UNSENT_S = 2.0
"""Time after which a run whose start was not sent yet is given up. Its order may have been lost, or
waits for a thread behind unresponsive endpoints."""


def ended_runs(link: EndpointLink, now: float) -> list[tuple[Run, str]]:
    """Return the runs on an endpoint that certainly are not in progress, each with the reason.

    :param now: the monotonic clock.
    """
    # Computed once: a pool has tens of thousands of runs, and most endpoints renew their leases.
    has_lapsed = 0 < link.lease_end < now
    has_ended = link.host_shows_end and not link.reachable
    found = []
    for run in link.runs_by_key.values():
        if run.is_unsent:
            if link.closed or now - run.placed_at > MAX_UNSENT_S:
                found.append((run, "its start was not sent in time"))
        elif has_ended:
            found.append((run, "the list of hosts shows that its endpoint has ended"))
        elif has_lapsed and now > link.lease_end_of(run):
            found.append((run, "its lease has lapsed out of sight"))
    return found


def unknown_runs_have_ended(link: EndpointLink, now: float) -> bool:
    """Return whether the runs that a lost endpoint listed last, of jobs not tracked, have ended."""
    lease_end = max(link.lease_end, lease_end_of_report(link.answered_at))
    return (link.closed or not link.reachable) and now > lease_end
