"""Job requests of callers: accepting (by a commit in the store), refusing, showing, cancelling."""

from lentilrill.intake._group import GroupCommit
from lentilrill.intake._intake import MAX_STORE_SILENT_S, Intake
from lentilrill.intake._waiting_counts import WaitingCounts
from lentilrill.intake._workspace_admission import WorkspaceAdmission

__all__ = ["MAX_STORE_SILENT_S", "GroupCommit", "Intake", "WaitingCounts", "WorkspaceAdmission"]
