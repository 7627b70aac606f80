"""Writes the results of the matrix as a page."""

from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

from tests.matrix._cells import Outcome, Verdict
from tests.matrix._injections import INJECTIONS, PAIRS
from tests.matrix._steps import Step

__all__ = ["write_page"]

LIMITS = """\
## What it can't see

Seen to fail, each with its guard left out of the program: lost answers retried, lost answers
told as `not_run`, truncated answers taken as whole, a host released with jobs in flight. Not
seen to fail, as another guard holds as well: a mirror that takes older items, the check for
silent watches left out; these have tests of their own. Not played: three faults at once, most
pairs, reordered messages, a fault at each single message. A passed cell is one run of one
interleaving; `make soak` plays others.
"""

MARKS = {Verdict.PASSED: "pass", Verdict.FAILED: "**FAIL**", Verdict.NOT_RUN: "-"}
INTRO = """\
# Fault matrix

Written by `make matrix` on {when}. Each cell plays a step on real processes (two zones, two entry
hosts in each, stand-ins for the platform and the endpoints), brings the fault about at that step,
ends it, and judges: every 200 is whole and the caller's own; what was told `not_run` is in no
endpoint's record; what must run at most once did; no revision steps back; accepted changes come
into force; nothing begins on a released host; jobs that the fault does not hit end whole; both
services run through every gateway again. "pass" means that one run found nothing wrong. "-" was
not run and proves nothing.

{counts} {note}
"""


def write_page(path: Path, outcomes: list[Outcome], note: str) -> None:
    """Write the table, and the cells that failed or were not run, with their reasons.

    :param note: remark on this run for the head of the page.
    """
    found = {(o.step, o.injection): o for o in outcomes}
    counts = Counter(outcome.verdict for outcome in outcomes)
    total = len(Step) * len(INJECTIONS + PAIRS)
    counts[Verdict.NOT_RUN] += total - len(outcomes)
    shown = ", ".join(f"{counts[verdict]} {verdict.value}" for verdict in Verdict)
    when = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    lines = [INTRO.format(when=when, counts=f"{total} cells: {shown}.", note=note)]
    lines += _table(found)
    lines += ["", "## Steps", ""]
    lines += [f"- `{step.name.lower()}` ({step.group.value}): {step.description}" for step in Step]
    lines += ["", "## Failed", "", *_listing(outcomes, Verdict.FAILED)]
    lines += ["", "## Not run", "", *_listing(outcomes, Verdict.NOT_RUN)]
    lines += ["", LIMITS.rstrip()]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(lines) + "\n")


def _table(found: dict[tuple[str, str], Outcome]) -> list[str]:
    steps = [step.name.lower() for step in Step]
    rows = ["| fault | " + " | ".join(steps) + " |", "|---" * (len(steps) + 1) + "|"]
    for injection in INJECTIONS + PAIRS:
        marks = []
        for step in steps:
            outcome = found.get((step, injection.name))
            marks.append(MARKS[outcome.verdict] if outcome else MARKS[Verdict.NOT_RUN])
        rows.append(f"| {injection.name} | " + " | ".join(marks) + " |")
    return rows


def _listing(outcomes: list[Outcome], verdict: Verdict) -> list[str]:
    by_reason: dict[tuple[str, ...], list[str]] = {}
    for outcome in outcomes:
        if outcome.verdict is verdict:
            name = f"{outcome.step} / {outcome.injection}"
            by_reason.setdefault(outcome.reasons, []).append(name)
    if verdict is Verdict.NOT_RUN:
        return [f"- {'; '.join(why)}: {len(names)} cells" for why, names in by_reason.items()] or [
            "None."
        ]
    return [f"- {', '.join(names)}: {'; '.join(why)}" for why, names in by_reason.items()] or [
        "None."
    ]
