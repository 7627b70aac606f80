"""The part of the fault matrix that CI plays on real processes, the same cells each time."""

from testtools import TestCase

from standins.site import Site
from tests.matrix._cells import Outcome, Verdict, all_cells, run_cell
from tests.matrix._world import World, a_site

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
        # Callers, operators and hosts meet one fault of each kind: each cell's own story is told
        # by its step and its fault.
        cells = {cell.name: cell for cell in all_cells()}
        self.assertEqual([], [name for name in FIXED if name not in cells])
        with Site(a_site()) as site:
            world = World(site)
            self.addCleanup(world.close)
            world.bring_up()
            outcomes = [run_cell(world, cells[name]) for name in FIXED]
        self.assertEqual([], [_shown(o) for o in outcomes if o.verdict is not Verdict.PASSED])


def _shown(outcome: Outcome) -> str:
    return f"{outcome.step} / {outcome.injection}: {outcome.verdict.value}: {outcome.reasons}"
