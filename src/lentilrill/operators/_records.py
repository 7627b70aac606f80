"""Audit records of edits."""

from enum import Enum

import msgspec

from lentilrill.ids import Revision
from lentilrill.operators._diff import Difference

__all__ = ["Action", "AuditEntry", "AuditRecord", "EditVerdict", "truncate_differences"]

MAX_DIFFERENCES = 50
MAX_DIFFERENCES_BYTES = 4096
"""Limits a record so that 100 refused edits of any size fit into one value of the platform."""


class Action(Enum):
    """The kind of edit that an operator requested."""

    APPLY = "apply"
    DECLARE_STOP = "declare_stop"
    CANCEL_STOP = "cancel_stop"


class EditVerdict(Enum):
    """The verdict on an edit."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    """The document is already as requested; nothing was written."""
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    """The platform could not be reached; nothing was written."""
    UNKNOWN = "unknown"
    """The write may or may not have taken effect, and the platform doesn't answer."""


class AuditRecord(msgspec.Struct, frozen=True):
    """The stored record of one edit.

    :param at: seconds since the epoch, by the clock of the controller that handled the edit.
    :param base: revision of the document that the edit is based on.
    :param message: why the edit was refused; empty if it was accepted.
    :param more: number of differences omitted to limit the size of the record.
    """

    at: float
    who: str
    action: Action
    verdict: EditVerdict
    base: Revision
    write_id: str = ""
    number: int = 0
    differences: tuple[Difference, ...] = ()
    more: int = 0
    message: str = ""


class AuditEntry(msgspec.Struct, frozen=True):
    """A record and the revision that the edit created, ``None`` if it created none."""

    record: AuditRecord
    revision: Revision | None


def truncate_differences(differences: tuple[Difference, ...]) -> tuple[tuple[Difference, ...], int]:
    """Return the differences to store in a record, and the number of omitted ones."""
    kept, size_bytes = 0, 0
    for each in differences[:MAX_DIFFERENCES]:
        size_bytes += len(msgspec.json.encode(each))
        if size_bytes > MAX_DIFFERENCES_BYTES:
            break
        kept += 1
    return differences[:kept], len(differences) - kept
