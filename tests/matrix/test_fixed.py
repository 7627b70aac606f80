"""The cells of the fault matrix that CI runs on real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

from testtools import TestCase

from standins.site import Site
from tests.matrix._cells import Outcome, Verdict, all_cells, run_cell
from tests.matrix._world import World, a_site

SITES = 2
FIXED = (
    "arriving / endpoint loses 5 answers",
    "arriving / platform down",
    "queued / kill gw-1-2",
    "running / pause ct-1-1 past its lease",
    "answering / endpoint resets connections",
    "keyed / platform's next 3 answers lost",
    "keyed / kill gw-1-2",
    "editing / platform's next 3 answers lost",
    "spreading / platform stale",
    "racing / none",
    "acknowledging / kill ct-1-1",
    "draining / endpoint answers twice",
    "joining / platform slow by 1 s",
)


class FixedPartTest(TestCase):
    def test_the_fixed_part_passes(self) -> None:
        # Covers callers, operators and hosts with one fault of each kind.
        with ThreadPoolExecutor(SITES) as pool:
            results = pool.map(_run_cells, (FIXED[n::SITES] for n in range(SITES)))
            outcomes = [outcome for part in results for outcome in part]
        self.assertEqual(len(FIXED), len(outcomes))
        self.assertEqual([], [_describe(o) for o in outcomes if o.verdict is not Verdict.PASSED])


def _run_cells(names: tuple[str, ...]) -> list[Outcome]:
    cells = {cell.name: cell for cell in all_cells()}
    with Site(a_site()) as site, closing(World(site)) as world:
        world.bring_up()
        return [run_cell(world, cells[name]) for name in names]


def _describe(outcome: Outcome) -> str:
    return f"{outcome.step} / {outcome.injection}: {outcome.verdict.value}: {outcome.reasons}"
