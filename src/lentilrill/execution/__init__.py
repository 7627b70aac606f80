"""Execution of jobs' tasks on a pool's endpoints: orders, leases, ends and checkpoints."""

from lentilrill.execution._claims import claim_of, decode_claim
from lentilrill.execution._contract import (
    Dialer,
    EndKind,
    EndpointCalls,
    OrderAnswer,
    PolicyAnswer,
    PolicyCalls,
    PollResult,
    ReportedRun,
    RunEnd,
    StartOrder,
    Verdict,
)
from lentilrill.execution._host_reader import (
    NO_HOST_SOURCE,
    HostListing,
    HostReader,
    HostSource,
)
from lentilrill.execution._pool import PoolOwner

__all__ = [
    "NO_HOST_SOURCE",
    "Dialer",
    "EndKind",
    "EndpointCalls",
    "HostListing",
    "HostReader",
    "HostSource",
    "OrderAnswer",
    "PolicyAnswer",
    "PolicyCalls",
    "PollResult",
    "PoolOwner",
    "ReportedRun",
    "RunEnd",
    "StartOrder",
    "Verdict",
    "claim_of",
    "decode_claim",
]
