"""The page of log events, from the catalogue: ``python -m tests.docs.events`` writes it."""

from pathlib import Path

from lentilrill.telemetry import Event

__all__ = ["EVENTS_PAGE", "events_page"]

EVENTS_PAGE = Path(__file__).parents[2] / "docs" / "events.md"
HEAD = """\
# Log events

Each log line names its event by number and name, then come fields as `key=value`:

    I0302 08:14:09.120385 4242 _editing.py:190] E901 edit_accepted who=ben action=apply revision=219

Numbers are never reused. The tables are written by `python -m tests.docs.events` from the catalogue
in `lentilrill/telemetry/_events.py`, and a test compares them.

"""
BLOCKS = {
    1: "Process",
    2: "Inner protocol",
    3: "Membership",
    4: "Platform",
    5: "Configuration",
    6: "Fleet",
    7: "Request path",
    8: "Claims of idempotency keys",
    9: "Operators",
}


def events_page() -> str:
    """Return the page as it should be."""
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
