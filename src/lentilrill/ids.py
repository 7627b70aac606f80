"""Typed identifiers shared by every package."""

from typing import NewType

__all__ = [
    "CustomerId",
    "EntryHostId",
    "GrantId",
    "HostId",
    "Incarnation",
    "PlanId",
    "PoolId",
    "ProcessId",
    "RackId",
    "RequestId",
    "Revision",
    "ServiceId",
    "StopId",
    "ZoneId",
]

CustomerId = NewType("CustomerId", str)
EntryHostId = NewType("EntryHostId", str)
GrantId = NewType("GrantId", str)
HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", int)
"""Start time of a process in nanoseconds since the epoch; a restart always has a higher one."""
PlanId = NewType("PlanId", str)
PoolId = NewType("PoolId", str)
ProcessId = NewType("ProcessId", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""The platform's modification revision of a key: one counter over the whole store."""
ServiceId = NewType("ServiceId", str)
StopId = NewType("StopId", str)
ZoneId = NewType("ZoneId", str)
