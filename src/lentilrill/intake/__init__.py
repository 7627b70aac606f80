"""Jobs from callers: accepted by a commit in the store, shown, cancelled, or refused."""

from lentilrill.intake._group import GroupCommit
from lentilrill.intake._intake import Intake

__all__ = ["GroupCommit", "Intake"]
