"""How many hosts a pool's work needs so that each job is done when it is due."""

from collections.abc import Iterable

import msgspec

__all__ = ["Demand", "HostShares", "hosts_due"]

HostShares = tuple[float, float, float]
"""Shares of a whole host's processors, memory and accelerators."""

HORIZONS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 3.4, 4.5, 6.0, 9.0, 13.0, 20.0, 30.0)
"""Spans over which work that must be done is set against hosts: from the shortest tasks to longer
than the objectives in use. Work that may wait for longer counts once it is nearer."""


class Demand(msgspec.Struct, frozen=True):
    """Work of one job, as seconds of whole hosts.

    :param host_s: shares of a host that it takes, times the seconds for which it takes them.
    :param slack_s: seconds for which it may still wait and be done when it is due.
    :param span_s: seconds that it takes from its start to its end.
    """

    host_s: HostShares
    slack_s: float
    span_s: float

    def share_within(self, seconds: float) -> float:
        """Return the share of it that must be done within some seconds from now."""
        return min(1.0, max(0.0, (seconds - self.slack_s) / self.span_s))


def hosts_due(demands: Iterable[Demand], present: float = 0.0, lead_s: float = 0.0) -> float:
    """Return the hosts that are needed, all in full use, so that no demand is done late.

    This is the demand bound of earliest-deadline-first scheduling: the largest, over all spans, of
    the work that must be done within a span, divided by its length. Hosts that are yet to come
    work for a part of the span only, so more of them are needed.

    Load pattern: a second or two of a surge hands in several jobs, each of which would fill a host
    if it started at once. Counted by the room that they could take, they ask for every host of the
    site, which come when the work is over. But most may wait for about as long as they take, and
    be done one after the other by a part of these hosts. A job that can't wait asks for its room.

    :param present: hosts that serve now.
    :param lead_s: time until another one serves; 0: all that are needed count as present.
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
    """Return the work that must be done within a span, in seconds of hosts' scarcest resource."""
    due = [0.0, 0.0, 0.0]
    for demand in demands:
        share = demand.share_within(span_s)
        if share:
            for index, host_s in enumerate(demand.host_s):
                due[index] += share * host_s
    return max(due)
