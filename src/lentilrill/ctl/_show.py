"""Output of responses as text or as JSON."""

import sys
import time
from collections.abc import Iterable, Sequence
from itertools import groupby

import msgspec

from lentilrill.operators import (
    AuditEntry,
    Change,
    Difference,
    EditAnswer,
    EditVerdict,
    HostRow,
    Problem,
)
from lentilrill.settings import Finding

__all__ = [
    "audit_lines",
    "difference_lines",
    "edit_lines",
    "finding_lines",
    "host_lines",
    "print_json",
    "print_lines",
    "problem_lines",
    "table",
]

INDENT = "  "


def print_json(value: object) -> None:
    """Print ``value`` as JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_lines(lines: Iterable[str], to_stderr: bool = False) -> None:
    """Print lines of text."""
    for line in lines:
        print(line, file=sys.stderr if to_stderr else sys.stdout)


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return a table with aligned columns; numeric columns are right-aligned."""
    rows = [tuple(row) for row in rows]
    texts = [tuple(header), *(tuple(_cell(value) for value in row) for row in rows)]
    widths = [max(len(text[n]) for text in texts) for n in range(len(header))]
    right_aligned = [
        bool(rows) and all(_is_number(row[n]) for row in rows) for n in range(len(header))
    ]
    return [
        "  ".join(
            cell.rjust(widths[n]) if right_aligned[n] else cell.ljust(widths[n])
            for n, cell in enumerate(text)
        ).rstrip()
        for text in texts
    ]


def difference_lines(differences: Iterable[Difference]) -> list[str]:
    """Return one line per list for added or removed entries, and one per changed field."""
    signs = {Change.ADDED: "+", Change.REMOVED: "-", Change.CHANGED: "~"}
    lines = []
    for (name, change), group in groupby(differences, lambda each: (each.list, each.change)):
        if change is not Change.CHANGED:
            lines.append(f"{INDENT}{signs[change]} {name} {', '.join(each.id for each in group)}")
            continue
        for each in group:
            lines.append(f"{INDENT}{signs[change]} {name} {each.id}".rstrip())
            lines += [f"{INDENT * 3}{f.field}: {f.before} -> {f.after}" for f in each.fields]
    return lines


def finding_lines(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each finding, errors first."""
    by_severity = sorted(findings, key=lambda finding: finding.severity.value)
    return [f"{INDENT}{finding}" for finding in by_severity]


def edit_lines(answer: EditAnswer) -> list[str]:
    """Return the result of an accepted or unchanged edit."""
    if answer.verdict is EditVerdict.UNCHANGED:
        return [f"unchanged: revision {answer.revision} says so already"]
    note = f" ({answer.message})" if answer.message else ""
    return [
        f"accepted as revision {answer.revision}, edit {answer.number}{note}",
        *difference_lines(answer.differences),
        *finding_lines(answer.findings),
    ]


def problem_lines(problem: Problem) -> list[str]:
    """Return a problem's title and details, and the edits and differences of a conflict."""
    lines = [problem.title]
    if problem.findings:
        lines += finding_lines(problem.findings)
    elif problem.detail:
        lines.append(INDENT + problem.detail)
    if problem.since:
        lines.append("edits that came first:")
        lines += [INDENT + line for line in audit_lines(problem.since)]
    if problem.differences:
        title = {
            EditVerdict.CONFLICT: f"yours would change in revision {problem.revision}:",
            EditVerdict.UNKNOWN: "the edit changes:",
        }
        lines.append(title.get(problem.verdict or EditVerdict.INVALID, "differences:"))
        lines += difference_lines(problem.differences)
    return lines


def host_lines(hosts: Iterable[HostRow]) -> list[str]:
    """Return a table of hosts."""
    rows = [
        (h.pool, h.id, h.zone, h.rack, h.address, h.phase.value, _withdrawal_reason(h))
        for h in hosts
    ]
    return table(("POOL", "HOST", "ZONE", "RACK", "ADDRESS", "PHASE", "FOR"), rows)


def audit_lines(entries: Iterable[AuditEntry]) -> list[str]:
    """Return one line for each edit, with its differences below."""
    lines = []
    for entry in entries:
        record = entry.record
        at = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(record.at))
        what = f"{record.action.value.replace('_', ' ')}: {record.verdict.value}"
        if entry.revision:
            what += f", revision {entry.revision}"
        elif record.base:
            what += f", from revision {record.base}"
        lines.append(f"{at}  {record.who}  {what}")
        if record.differences and record.verdict is not EditVerdict.ACCEPTED:
            lines.append(INDENT * 2 + "asked for:")
        lines += [INDENT + line for line in difference_lines(record.differences)]
        if record.more:
            lines.append(f"{INDENT * 2}... and {record.more} more")
        if record.message:
            lines.append(INDENT * 2 + record.message)
    return lines


def _withdrawal_reason(host: HostRow) -> str:
    if host.stop is not None:
        return f"stop {host.stop}"
    return f"pool {host.target}" if host.target is not None else "-"


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def _is_number(value: object) -> bool:
    return value is None or isinstance(value, int | float)
