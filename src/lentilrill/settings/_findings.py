"""What is wrong, or doubtful, in the operators' lists, and where."""

from enum import Enum

import msgspec

__all__ = ["Finding", "Severity", "errors_of"]


class Severity(Enum):
    """Whether a finding forbids the edit."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One thing that is wrong or doubtful.

    :param path: where, such as ``plans[3].hosts_owed``.
    :param message: what is wrong, for people.
    """

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.path}: {self.message}"


def errors_of(findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
    """Return the findings that forbid the edit."""
    return tuple(finding for finding in findings if finding.severity is Severity.ERROR)
