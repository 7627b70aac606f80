"""Job requests of callers: accepting (by a commit in the store), refusing, showing, cancelling."""

from lentilrill.intake._group import GroupCommit
from lentilrill.intake._intake import SILENT_STORE_S, Intake

__all__ = ["SILENT_STORE_S", "GroupCommit", "Intake"]
