"""Scheduling decisions: admission of jobs, their order, placement of tasks, and pool sizes.

Pure computations without input or output; callers pass the current time.
"""

from lentilrill.scheduling._admission import (
    MAX_WAIT_S,
    AdmissionDecision,
    PoolBacklog,
    Pressure,
    WorkspaceBacklog,
    admit_by_fair_share,
    can_accept,
    outage_retry_s,
    retry_after_s,
    usable_wait_s,
)
from lentilrill.scheduling._allowances import (
    Allowances,
    Budget,
    KnownAllowances,
    PoolAllowance,
    Usage,
    next_allowance,
)
from lentilrill.scheduling._capacity import (
    SURPLUS_DELAY_S,
    MovableHost,
    Move,
    PoolNeed,
    minimum_hosts,
    plan_moves,
    pool_targets,
    target_hosts,
)
from lentilrill.scheduling._copies import (
    CopyBudget,
    CopyResults,
    StragglingRun,
    copy_key,
    is_worth_a_copy,
)
from lentilrill.scheduling._demand import LEAD_S, Demand, HostShares, required_hosts
from lentilrill.scheduling._durations import DurationModel
from lentilrill.scheduling._fair_order import DominantShares, FairOrder, ShareClass, class_of
from lentilrill.scheduling._order import JobTiming, sort_key
from lentilrill.scheduling._pacing import next_pace
from lentilrill.scheduling._placement import EndpointCapacity, can_keep, place, total_free
from lentilrill.scheduling._rates import DECAY_S, DecayingCounts, PoolRates, RateBook, max_count
from lentilrill.scheduling._relocation import (
    MIN_SLOWDOWN,
    RelocatableRun,
    RelocationCost,
    is_worth_relocating,
    may_relocate_again,
)
from lentilrill.scheduling._shares import (
    CapacityOutlook,
    ExpectedHosts,
    fair_shares,
    usable_weight,
    work_before,
)
from lentilrill.scheduling._speeds import (
    EndpointKind,
    EndpointSpeeds,
    Speed,
    SpeedChange,
    hosts_for,
)
from lentilrill.scheduling._surges import SurgeTracker
from lentilrill.scheduling._time_left import TaskTimes

__all__ = [
    "DECAY_S",
    "LEAD_S",
    "MAX_WAIT_S",
    "MIN_SLOWDOWN",
    "SURPLUS_DELAY_S",
    "AdmissionDecision",
    "Allowances",
    "Budget",
    "CapacityOutlook",
    "CopyBudget",
    "CopyResults",
    "DecayingCounts",
    "Demand",
    "DominantShares",
    "DurationModel",
    "EndpointCapacity",
    "EndpointKind",
    "EndpointSpeeds",
    "ExpectedHosts",
    "FairOrder",
    "HostShares",
    "JobTiming",
    "KnownAllowances",
    "MovableHost",
    "Move",
    "PoolAllowance",
    "PoolBacklog",
    "PoolNeed",
    "PoolRates",
    "Pressure",
    "RateBook",
    "RelocatableRun",
    "RelocationCost",
    "ShareClass",
    "Speed",
    "SpeedChange",
    "StragglingRun",
    "SurgeTracker",
    "TaskTimes",
    "Usage",
    "WorkspaceBacklog",
    "admit_by_fair_share",
    "can_accept",
    "can_keep",
    "class_of",
    "copy_key",
    "fair_shares",
    "hosts_for",
    "is_worth_a_copy",
    "is_worth_relocating",
    "max_count",
    "may_relocate_again",
    "minimum_hosts",
    "next_allowance",
    "next_pace",
    "outage_retry_s",
    "place",
    "plan_moves",
    "pool_targets",
    "required_hosts",
    "retry_after_s",
    "sort_key",
    "target_hosts",
    "total_free",
    "usable_wait_s",
    "usable_weight",
    "work_before",
]
