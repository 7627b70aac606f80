"""Typed identifiers shared by every package."""

from typing import NewType

__all__ = [
    "NO_WORKSPACE",
    "CustomerId",
    "EndpointId",
    "EntryHostId",
    "GrantId",
    "HostId",
    "Incarnation",
    "JobId",
    "LeaseId",
    "PlanId",
    "PoolId",
    "ProcessId",
    "QueueId",
    "RackId",
    "RequestId",
    "Revision",
    "ServiceId",
    "StopId",
    "WorkspaceId",
    "ZoneId",
]

CustomerId = NewType("CustomerId", str)
EndpointId = NewType("EndpointId", str)
"""The platform's identifier of one run of the endpoint software on a host."""
EntryHostId = NewType("EntryHostId", str)
GrantId = NewType("GrantId", str)
HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", int)
"""Start time of a process in nanoseconds since the epoch; a restart always has a higher one."""
JobId = NewType("JobId", str)
LeaseId = NewType("LeaseId", int)
"""A lease in the store, which deletes the keys that are bound to it when it ends."""
PlanId = NewType("PlanId", str)
PoolId = NewType("PoolId", str)
ProcessId = NewType("ProcessId", str)
QueueId = NewType("QueueId", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""The platform's modification revision of a key, from one counter for the whole store."""
ServiceId = NewType("ServiceId", str)
StopId = NewType("StopId", str)
WorkspaceId = NewType("WorkspaceId", str)
NO_WORKSPACE = WorkspaceId("")
"""The workspace of jobs of public queues, and of all jobs where there are no workspaces."""
ZoneId = NewType("ZoneId", str)
