"""Errors and warnings about the operators' lists, with their paths."""

from enum import Enum

import msgspec

__all__ = ["Finding", "Severity", "errors_of"]


class Severity(Enum):
    """Severity of a finding; an error rejects the edit."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One error or warning.

    :param path: path of the value, such as ``plans[3].hosts_owed``.
    :param message: human-readable description.
    """

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.path}: {self.message}"


def errors_of(findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
    """Return the findings that reject the edit."""
    return tuple(finding for finding in findings if finding.severity is Severity.ERROR)
