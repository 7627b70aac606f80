"""Generator of docs/events.md from the event catalogue: ``python -m tests.docs.events``."""

from pathlib import Path

from lentilrill.telemetry import Event

__all__ = ["EVENTS_PAGE", "events_page"]

EVENTS_PAGE = Path(__file__).parents[2] / "docs" / "events.md"
HEAD = """\
# Log events

Each log line is a JSON object on standard output: when (seconds since the epoch), level, number and
name of the event, then its own fields:

    {"at":1770658014.453,"level":"info","id":901,"event":"edit_accepted","who":"ben","revision":219}

Of the events `queue_unknown`, `key_refused`, `job_odd` and `operator_denied`, which any caller can
cause, ten lines a second are logged each; `dropped` in the next one is how many were not.

A line `lines_dropped` reports how many lines were dropped because the reader was too slow.

Numbers are never reused. The tables are written by `python -m tests.docs.events` from the catalogue
in `lentilrill/telemetry/_events.py`, and a test compares them.

"""
BLOCKS = {
    1: "Process",
    2: "Inner protocol",
    3: "Membership",
    4: "Platform",
    5: "Configuration",
    6: "Fleet, endpoints and jobs",
    7: "Request path",
    8: "Claims of idempotency keys",
    9: "Operators",
}


def events_page() -> str:
    """Return the expected content of the page."""
    text = HEAD
    for block, title in BLOCKS.items():
        events = sorted((e for e in Event if e.number // 100 == block), key=lambda e: e.number)
        rows = [
            f"| {e.number} | {e.name.lower()} | {e.level.value} | {e.meaning} |" for e in events
        ]
        if rows:
            head = ["| number | event | level | meaning |", "|---|---|---|---|"]
            text += "\n".join([f"## {title}", "", *head, *rows, "", ""])
    return text.rstrip() + "\n"


if __name__ == "__main__":
    EVENTS_PAGE.write_text(events_page())
