"""Support for KNOWN-RED.txt: listed tests run and are reported, but their failure is accepted."""

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = "KNOWN-RED.txt"
MAX_ENTRIES = 3
UNCOUNTED = "tests/limits/"
"""Folder of tests that are listed one by one, and don't count against the limit."""


def entries(folder: Path) -> list[str]:
    """Return the entries of the list in ``folder``, without blank lines and comments."""
    path = folder / KNOWN_RED
    lines = path.read_text().splitlines() if path.exists() else []
    return [line for line in lines if line.strip() and not line.startswith("#")]


def listed_ids(entries: list[str]) -> set[str]:
    """Return the ids of the tests in ``entries``; some entries name other checks."""
    names = (entry.split("|")[0].strip() for entry in entries)
    return {name for name in names if "::" in name}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected to fail."""
    known = listed_ids(entries(config.rootpath))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="known red", strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the entries of the list, and the results of their tests in this run."""
    known = entries(config.rootpath)
    if sum(not entry.startswith(UNCOUNTED) for entry in known) > MAX_ENTRIES:
        raise pytest.UsageError(f"{KNOWN_RED} holds more than {MAX_ENTRIES} entries")
    for entry in known:
        terminalreporter.write_line(f"known red: {entry}")
    for how, report in _reports(terminalreporter, listed_ids(known)):
        terminalreporter.write_line(f"known red, {how}: {report.nodeid}")
        terminalreporter.write_line(report.longreprtext)


def _reports(
    reporter: pytest.TerminalReporter, known: set[str]
) -> Iterator[tuple[str, pytest.TestReport]]:
    for how, outcome in (("failed", "xfailed"), ("passed", "xpassed")):
        for report in reporter.stats.get(outcome, []):
            if report.nodeid in known:
                yield how, report
