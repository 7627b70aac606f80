"""Cells of the matrix, each a step combined with a fault, and their verdicts."""

import time
from enum import Enum

import msgspec

from standins.site import Site
from tests.matrix._injections import INJECTIONS, PAIRS, Injection
from tests.matrix._steps import DirtySiteError, NotRunError, Step
from tests.matrix._world import Results, World

__all__ = ["Cell", "Outcome", "Verdict", "all_cells", "run_cell"]

INVARIANT = "invariant_broken"
MAX_REASONS = 4


class Verdict(Enum):
    """Result of a cell."""

    PASSED = "passed"
    FAILED = "failed"
    NOT_RUN = "not run"


class Cell(msgspec.Struct, frozen=True):
    """One step combined with one fault."""

    step: Step
    injection: Injection

    @property
    def name(self) -> str:
        """Names of the step and the fault."""
        return f"{self.step.name.lower()} / {self.injection.name}"


class Outcome(msgspec.Struct, frozen=True):
    """Verdict of a cell, with the reasons for a failure."""

    step: str
    injection: str
    verdict: Verdict
    reasons: tuple[str, ...] = ()
    took_s: float = 0.0
    answers: dict[str, int] = {}


def all_cells() -> list[Cell]:
    """Return all cells of the matrix."""
    return [Cell(step, injection) for step in Step for injection in INJECTIONS + PAIRS]


def run_cell(world: World, cell: Cell) -> Outcome:
    """Run one cell on a working site and return its outcome.

    :raises DirtySiteError: only if the site has run other cells before.
    """
    if cell.injection.not_run_reason:
        return _outcome(cell, Verdict.NOT_RUN, (cell.injection.not_run_reason,))
    world.results = Results()
    began = time.monotonic()
    try:
        cell.step.run(world, cell.injection)
        world.wait_until_recovered()
    except NotRunError as error:
        return _outcome(cell, Verdict.NOT_RUN, (str(error),))
    except DirtySiteError as error:
        if world.cells_run:
            raise
        world.results.check(False, str(error))
    except Exception as error:
        reason = str(error).splitlines()[0] if str(error) else ""
        world.results.check(False, f"{type(error).__name__}: {reason}")
    world.cells_run += 1
    reasons = world.results.find_failures(world.runs()) + broken_invariants(world.site)
    return _outcome(
        cell,
        Verdict.FAILED if reasons else Verdict.PASSED,
        tuple(reasons[:MAX_REASONS]),
        time.monotonic() - began,
        world.results.counts(),
    )


def broken_invariants(site: Site) -> list[str]:
    """Return the log lines in which the program reports a broken invariant."""
    return [
        f"{path.stem}: {line[line.index(INVARIANT) :]}"
        for path in sorted(site.folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if INVARIANT in line
    ]


def _outcome(
    cell: Cell,
    verdict: Verdict,
    reasons: tuple[str, ...],
    took_s: float = 0.0,
    answers: dict[str, int] | None = None,
) -> Outcome:
    return Outcome(
        cell.step.name.lower(),
        cell.injection.name,
        verdict,
        reasons,
        round(took_s, 1),
        answers or {},
    )
