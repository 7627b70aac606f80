"""Scheduling decisions: admission of jobs, their order, placement of tasks, and pool sizes.

Pure computations without input or output; callers pass the current time.
"""

from lentilrill.scheduling._admission import Pressure, may_take, outage_retry_s, retry_after_s
from lentilrill.scheduling._capacity import (
    SETTLED_S,
    FreeHost,
    Move,
    PoolNeed,
    kept_hosts,
    plan_moves,
    pool_targets,
    target_hosts,
)
from lentilrill.scheduling._demand import Demand, HostShares, hosts_due
from lentilrill.scheduling._durations import DurationModel
from lentilrill.scheduling._order import Standing, sort_key
from lentilrill.scheduling._pacing import next_pace
from lentilrill.scheduling._placement import EndpointRoom, place
from lentilrill.scheduling._turns import Turns

__all__ = [
    "SETTLED_S",
    "Demand",
    "DurationModel",
    "EndpointRoom",
    "FreeHost",
    "HostShares",
    "Move",
    "PoolNeed",
    "Pressure",
    "Standing",
    "Turns",
    "hosts_due",
    "kept_hosts",
    "may_take",
    "next_pace",
    "outage_retry_s",
    "place",
    "plan_moves",
    "pool_targets",
    "retry_after_s",
    "sort_key",
    "target_hosts",
]
