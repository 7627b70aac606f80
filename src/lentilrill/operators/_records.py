"""What the audit trail holds of one edit."""

from enum import Enum

import msgspec

from lentilrill.ids import Revision
from lentilrill.operators._diff import Difference

__all__ = ["Action", "AuditEntry", "AuditRecord", "EditVerdict", "bounded"]

MAX_DIFFERENCES = 50
MAX_DIFFERENCES_BYTES = 4096
"""So that a hundred refused edits fit into one value of the platform, whatever they changed."""


class Action(Enum):
    """What an operator asked for."""

    APPLY = "apply"
    DECLARE_STOP = "declare_stop"
    CANCEL_STOP = "cancel_stop"


class EditVerdict(Enum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    """The document already says so; nothing was written."""
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    """The platform could not be reached; nothing was written."""
    UNKNOWN = "unknown"
    """The write may or may not have taken effect, and the platform can't be asked."""


class AuditRecord(msgspec.Struct, frozen=True):
    """One edit, as stored.

    :param at: seconds since the epoch at the controller that handled the edit.
    :param base: revision of the document that the edit was made from.
    :param message: why it was refused; empty if it was accepted.
    :param more: differences left out to keep the record small.
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
    """A record and the revision it made; ``None`` for an edit that made none."""

    record: AuditRecord
    revision: Revision | None


def bounded(differences: tuple[Difference, ...]) -> tuple[tuple[Difference, ...], int]:
    """Return the differences that a record keeps, and the count of the others."""
    kept, size_bytes = 0, 0
    for each in differences[:MAX_DIFFERENCES]:
        size_bytes += len(msgspec.json.encode(each))
        if size_bytes > MAX_DIFFERENCES_BYTES:
            break
        kept += 1
    return differences[:kept], len(differences) - kept
