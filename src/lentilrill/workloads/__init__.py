"""Data types of jobs, steps and tasks, and of the operators' configuration."""

from lentilrill.workloads._configuration import (
    Advice,
    Configuration,
    EndpointEntry,
    Limits,
    PoolEntry,
    Queue,
    Wave,
)
from lentilrill.workloads._endpoint_speed import EndpointSpeed
from lentilrill.workloads._job import (
    Job,
    JobAnswer,
    JobState,
    QueueTerms,
    Resources,
    Step,
    StepId,
    TaskId,
)
from lentilrill.workloads._job_records import (
    JobClaim,
    cancellation_key,
    claim_key,
    job_key,
    progress_key,
)
from lentilrill.workloads._progress import Attempt, FailureCause, JobProgress, JobView, StepProgress
from lentilrill.workloads._workspaces import (
    KeyDigest,
    PoolUse,
    Workspace,
    WorkspaceReport,
    Workspaces,
    WorkspaceSubmissions,
    WorkspaceUse,
    digest_of,
    fingerprint_of,
)

__all__ = [
    "Advice",
    "Attempt",
    "Configuration",
    "EndpointEntry",
    "EndpointSpeed",
    "FailureCause",
    "Job",
    "JobAnswer",
    "JobClaim",
    "JobProgress",
    "JobState",
    "JobView",
    "KeyDigest",
    "Limits",
    "PoolEntry",
    "PoolUse",
    "Queue",
    "QueueTerms",
    "Resources",
    "Step",
    "StepId",
    "StepProgress",
    "TaskId",
    "Wave",
    "Workspace",
    "WorkspaceReport",
    "WorkspaceSubmissions",
    "WorkspaceUse",
    "Workspaces",
    "cancellation_key",
    "claim_key",
    "digest_of",
    "fingerprint_of",
    "job_key",
    "progress_key",
]
