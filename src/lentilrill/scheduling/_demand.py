"""Number of hosts that a pool needs to finish its jobs by their deadlines."""

from collections.abc import Iterable

import msgspec

__all__ = ["LEAD_S", "Demand", "HostShares", "required_hosts"]

LEAD_S = 2.4
"""Time from a pool's request for a host until the host serves: status messages and the host list
0.6 s, its move 1.5 s, and the first poll."""

HostShares = tuple[float, float, float]
"""Shares of the processors, memory and accelerators of one host."""

HORIZONS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 3.4, 4.5, 6.0, 9.0, 13.0, 20.0, 30.0)
"""Time spans for which due work is compared with hosts, from the shortest tasks to longer than the
latency objectives in use. Work with more slack counts once its deadline is nearer."""


class Demand(msgspec.Struct, frozen=True):
    """Work of one job in host seconds.

    :param host_s: for each resource, the share of a host that the job uses times its seconds of
        use.
    :param slack_s: seconds for which it can still wait and meet its deadline.
    :param span_s: seconds from its start to its end.
    """

    host_s: HostShares
    slack_s: float
    span_s: float

    def share_within(self, seconds: float) -> float:
        """Return the share of the work that must be done within ``seconds`` from now."""
        return min(1.0, max(0.0, (seconds - self.slack_s) / self.span_s))


def required_hosts(demands: Iterable[Demand], present: float = 0.0, lead_s: float = 0.0) -> float:
    """Return the number of fully used hosts that finish all demands by their deadlines.

    This is the demand bound of earliest-deadline-first scheduling: the maximum, over all spans, of
    the work due within a span divided by its length. Hosts that are still to be added work for
    only a part of the span, so more of them are needed.

    In one or two seconds of a surge several jobs arrive that could each fill a host at once. Sized
    by what they could use in parallel, they would request every host of the site, and these hosts
    would arrive after the work is done. Most jobs can wait about as long as they take, so fewer
    hosts finish them one after the other. A job without slack counts with all that it can use.

    :param present: hosts that run tasks now.
    :param lead_s: seconds until an additional host runs tasks; 0 counts all hosts as present.
    """
    demands = list(demands)
    needed = 0.0
    for span_s in HORIZONS_S:
        due = _due_within(demands, span_s)
        needed = max(needed, due / span_s)
        missing = due - present * span_s
        if lead_s and missing > 0 and span_s > lead_s:
            needed = max(needed, present + missing / (span_s - lead_s))
    return needed


def _due_within(demands: list[Demand], span_s: float) -> float:
    """Return the work due within a span, in host seconds of the scarcest resource."""
    due = [0.0, 0.0, 0.0]
    for demand in demands:
        share = demand.share_within(span_s)
        if share:
            for index, host_s in enumerate(demand.host_s):
                due[index] += share * host_s
    return max(due)
