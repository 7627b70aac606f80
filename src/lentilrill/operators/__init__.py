"""HTTP API for operators: configuration, planned stops, status and the audit trail."""

from lentilrill.operators._answers import (
    ApplyBody,
    AuditAnswer,
    CheckAnswer,
    CheckBody,
    ConfigAnswer,
    EditAnswer,
    HostRow,
    HostsAnswer,
    Problem,
    StopBody,
)
from lentilrill.operators._audit import MAX_AUDIT_LIMIT, AuditTrail
from lentilrill.operators._capacity import check_capacity
from lentilrill.operators._diff import Change, Difference, FieldChange, diff_documents
from lentilrill.operators._editing import MAX_DOCUMENT_BYTES, Editor
from lentilrill.operators._outcomes import EditOutcome
from lentilrill.operators._records import Action, AuditEntry, AuditRecord, EditVerdict
from lentilrill.operators._server import MAX_BODY_BYTES, OperatorServer
from lentilrill.operators._status import (
    MemberStatus,
    PoolStatus,
    Propagation,
    Status,
    StopState,
    StopStatus,
    WaveStatus,
    propagation_of,
)
from lentilrill.operators._store import DocumentStore, Head

__all__ = [
    "MAX_AUDIT_LIMIT",
    "MAX_BODY_BYTES",
    "MAX_DOCUMENT_BYTES",
    "Action",
    "ApplyBody",
    "AuditAnswer",
    "AuditEntry",
    "AuditRecord",
    "AuditTrail",
    "Change",
    "CheckAnswer",
    "CheckBody",
    "ConfigAnswer",
    "Difference",
    "DocumentStore",
    "EditAnswer",
    "EditOutcome",
    "EditVerdict",
    "Editor",
    "FieldChange",
    "Head",
    "HostRow",
    "HostsAnswer",
    "MemberStatus",
    "OperatorServer",
    "PoolStatus",
    "Problem",
    "Propagation",
    "Status",
    "StopBody",
    "StopState",
    "StopStatus",
    "WaveStatus",
    "check_capacity",
    "diff_documents",
    "propagation_of",
]
