"""The stand-in's judgement of caps."""

from testtools import TestCase

from standins._caps import CapChange, JobUse, find_excess
from standins.users_platform import RunRecord

USES = {"j": JobUse("schools", 1000), "k": JobUse("library", 1000)}


class CapsTest(TestCase):
    def runs(self, *spans: tuple[float, float]) -> list[RunRecord]:
        return [RunRecord("e", f"j.0.0.{n}", 1, *span) for n, span in enumerate(spans)]

    def test_a_start_above_the_cap_is_found(self) -> None:
        """Guards against a judgement that passes everything."""
        changes = [CapChange(0.0, {"schools": 1000})]
        self.assertEqual([], find_excess(self.runs((1.0, 3.0), (2.0, 0.0)), USES, changes))
        self.assertEqual(
            1, len(find_excess(self.runs((1.0, 3.0), (2.0, 0.0), (2.5, 0.0)), USES, changes))
        )
        self.assertEqual([], find_excess(self.runs((1.0, 2.0), (2.0, 3.0)), USES, changes))

    def test_the_former_cap_counts_until_a_new_one_is_in_force(self) -> None:
        changes = [CapChange(0.0, {"schools": 3000}), CapChange(10.0, {"schools": 1000})]
        early, late = (11.0, 0.0), (14.0, 0.0)
        begun = ((9.0, 0.0), (9.0, 0.0))
        self.assertEqual([], find_excess(self.runs(*begun, early), USES, changes))
        self.assertEqual(1, len(find_excess(self.runs(*begun, late), USES, changes)))

    def test_no_limit(self) -> None:
        runs = self.runs(*((1.0, 0.0) for _ in range(20)))
        self.assertEqual([], find_excess(runs, USES, [CapChange(0.0, {"schools": 0})]))
