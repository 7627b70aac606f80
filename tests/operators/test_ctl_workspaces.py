"""What the command line shows of workspaces."""

from testtools import TestCase

from lentilrill.ctl._workspaces import submission_lines, use_lines
from lentilrill.ids import PoolId, WorkspaceId
from lentilrill.workloads import PoolUse, Resources, WorkspaceSubmissions, WorkspaceUse

SCHOOLS, LIBRARY = WorkspaceId("schools"), WorkspaceId("library")
NOTHING = Resources()


class WorkspaceLinesTest(TestCase):
    def test_submissions_are_summed_over_hosts(self) -> None:
        submissions = [
            WorkspaceSubmissions(SCHOOLS, 3.0, 2.5, 4),
            WorkspaceSubmissions(LIBRARY, 1.0, 0.0, 0),
            WorkspaceSubmissions(SCHOOLS, 3.0, 1.5, 1),
        ]
        head, library, schools = submission_lines(submissions)
        self.assertEqual(["WORKSPACE", "WEIGHT", "SHARE", "SENT/S", "REFUSED"], head.split())
        self.assertEqual(["library", "1", "25.0%", "0.0", "0"], library.split())
        self.assertEqual(["schools", "3", "75.0%", "4.0", "5"], schools.split())

    def test_weights_of_0(self) -> None:
        """Guards against a division by nothing."""
        [_, line] = submission_lines([WorkspaceSubmissions(SCHOOLS, 0.0, 1.0, 0)])
        self.assertEqual(["schools", "0", "-", "1.0", "0"], line.split())

    def test_use_of_a_pool(self) -> None:
        use = WorkspaceUse(SCHOOLS, NOTHING, Resources(2000), NOTHING, NOTHING, {})
        for capacity, shown in ((Resources(8000), "25%"), (NOTHING, "-")):
            [_, line] = use_lines([PoolUse(PoolId("notices"), (use,), capacity=capacity)])
            self.assertEqual(["notices", "schools", "2/0"], line.split()[:3])
            self.assertEqual(shown, line.split()[-1])
