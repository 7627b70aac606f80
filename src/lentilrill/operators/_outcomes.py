"""Outcomes of edits, with the messages shown to operators."""

import msgspec

from lentilrill.faults import Fault
from lentilrill.ids import Revision
from lentilrill.operators._diff import Difference
from lentilrill.operators._records import (
    Action,
    AuditEntry,
    AuditRecord,
    EditVerdict,
    truncate_differences,
)
from lentilrill.operators._store import Head
from lentilrill.settings import Finding, errors_of

__all__ = [
    "EditOutcome",
    "already_accepted",
    "audit_record",
    "conflict",
    "invalid",
    "lost_race",
    "unavailable",
    "unchanged",
    "unknown",
]

MAX_MESSAGE_CHARS = 1000
MAX_EDITS_SHOWN = 50


class EditOutcome(msgspec.Struct, frozen=True):
    """The outcome of an edit.

    :param revision: revision created by the edit; for a conflict, the one in force; else ``None``.
    :param number: number of the edit, if it was or may have been accepted.
    :param base: revision of the document that the edit is based on.
    :param differences: what the edit changed; for a conflict, what it would change now.
    :param since: for a conflict, the edits accepted after the base, if the trail holds them.
    """

    verdict: EditVerdict
    write_id: str
    revision: Revision | None = None
    number: int = 0
    base: Revision = Revision(0)
    differences: tuple[Difference, ...] = ()
    findings: tuple[Finding, ...] = ()
    since: tuple[AuditEntry, ...] = ()
    message: str = ""
    retry_after_s: float | None = None


def unchanged(head: Head, write_id: str) -> EditOutcome:
    """Return the outcome of an edit that equals the document in force."""
    return EditOutcome(
        EditVerdict.UNCHANGED,
        write_id,
        revision=head.revision,
        number=head.document.edit,
        base=head.revision,
    )


def already_accepted(entry: AuditEntry, number: int) -> EditOutcome:
    """Return the outcome of an edit that was accepted before but whose response was lost."""
    return EditOutcome(
        EditVerdict.ACCEPTED,
        entry.record.write_id,
        revision=entry.revision,
        number=number,
        base=entry.record.base,
        differences=entry.record.differences,
        message="accepted before; the answer was lost on its way",
    )


def invalid(
    write_id: str, base: Revision, findings: tuple[Finding, ...], message: str = ""
) -> EditOutcome:
    """Return the outcome of an edit with errors."""
    return EditOutcome(EditVerdict.INVALID, write_id, base=base, findings=findings, message=message)


def conflict(
    write_id: str,
    base: Revision,
    head: Head,
    differences: tuple[Difference, ...],
    since: tuple[AuditEntry, ...],
) -> EditOutcome:
    """Return the outcome of an edit based on a revision that is no longer in force.

    :param differences: what the edit would change in the document that is in force.
    """
    names = ", ".join(sorted({entry.record.who for entry in since}))
    by = f" by {names}" if names else ""
    return EditOutcome(
        EditVerdict.CONFLICT,
        write_id,
        revision=head.revision,
        base=base,
        differences=differences,
        since=since[-MAX_EDITS_SHOWN:],
        message=f"edited from revision {base}, but revision {head.revision}{by} is in force",
    )


def lost_race(write_id: str, base: Revision) -> EditOutcome:
    """Return the outcome of an edit that lost to a concurrent one, without details."""
    return EditOutcome(
        EditVerdict.CONFLICT,
        write_id,
        base=base,
        message="other edits came first; nothing was changed",
    )


def unavailable(write_id: str, base: Revision, fault: Fault) -> EditOutcome:
    """Return the outcome of an edit that was not applied because the platform failed."""
    return EditOutcome(
        EditVerdict.UNAVAILABLE,
        write_id,
        base=base,
        message=f"nothing was changed: {fault}",
        retry_after_s=fault.retry_after_s,
    )


def unknown(outcome: EditOutcome, fault: Fault) -> EditOutcome:
    """Return ``outcome`` with the verdict ``UNKNOWN`` and advice on how to resolve it."""
    message = (
        f"the platform's answer was lost ({fault}); the edit may be in effect. Once the platform "
        f"answers, look for write id {outcome.write_id} under edit {outcome.number} in the audit "
        "trail, or send the same edit again: it is not made twice"
    )
    return msgspec.structs.replace(
        outcome,
        verdict=EditVerdict.UNKNOWN,
        message=message,
        retry_after_s=fault.retry_after_s,
    )


def audit_record(outcome: EditOutcome, at: float, who: str, action: Action) -> AuditRecord:
    """Return the audit record of an outcome."""
    kept, more = truncate_differences(outcome.differences)
    errors = "; ".join(str(finding) for finding in errors_of(outcome.findings))
    return AuditRecord(
        at,
        who,
        action,
        outcome.verdict,
        outcome.base,
        outcome.write_id,
        outcome.number,
        kept,
        more,
        (outcome.message or errors)[:MAX_MESSAGE_CHARS],
    )
