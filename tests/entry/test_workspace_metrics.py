"""Metrics of workspaces."""

from testtools import TestCase

from lentilrill.entry._workspace_metrics import (
    MAX_WORKSPACES,
    set_submission_gauges,
    set_workspace_gauges,
)
from lentilrill.ids import PoolId, WorkspaceId
from lentilrill.telemetry import ScrapedMetrics
from lentilrill.workloads import PoolUse, Resources, WorkspaceSubmissions, WorkspaceUse


def a_use(workspace: str, used: int, lacking: int = 0) -> WorkspaceUse:
    return WorkspaceUse(
        WorkspaceId(workspace), Resources(), Resources(used), Resources(), Resources(lacking), {}
    )


class WorkspaceMetricsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pools: list[PoolUse] = []
        self.metrics = ScrapedMetrics()
        self.metrics.add_source(lambda gauges: set_workspace_gauges(gauges, self.pools))

    def shown(self, name: str) -> dict[str, float]:
        """Return the values of a gauge by workspace."""
        lines = self.metrics.render().decode().splitlines()
        prefix = f'lentilrill_workspace_{name}{{workspace="'
        pairs = [line.removeprefix(prefix).split('"} ') for line in lines if prefix in line]
        return {workspace: float(value) for workspace, value in pairs}

    def test_submissions_of_many_workspaces(self) -> None:
        """Guards against a monitoring system that is filled by one time series a workspace."""
        submissions = [
            WorkspaceSubmissions(WorkspaceId(f"w{n}"), 1.0, float(n), 2 * n) for n in range(100)
        ]
        self.metrics.add_source(lambda gauges: set_submission_gauges(gauges, submissions))
        for name, total in (("sent_per_s", sum(range(100))), ("refused", 2 * sum(range(100)))):
            shown = self.shown(name)
            self.assertEqual(MAX_WORKSPACES + 1, len(shown))
            self.assertEqual(total, sum(shown.values()))
            self.assertIn("w99", shown)

    def test_use_is_summed_over_pools(self) -> None:
        self.pools = [
            PoolUse(PoolId("notices"), (a_use("schools", 2000, 500),), others=Resources(250)),
            PoolUse(PoolId("library"), (a_use("schools", 1000), a_use("museum", 3500))),
        ]
        used = {"schools": 3.0, "museum": 3.5, "(rest)": 0.25}
        self.assertEqual(used, self.shown("used_cores"))
        lacking = {"schools": 0.5, "museum": 0.0, "(rest)": 0.0}
        self.assertEqual(lacking, self.shown("lacking_cores"))

    def test_many_workspaces_make_few_time_series(self) -> None:
        """Guards against a monitoring system that is filled by one time series a workspace."""
        for shift in (0, 500):
            uses = tuple(a_use(f"w{n + shift}", 1000 * n, n) for n in range(100))
            self.pools = [PoolUse(PoolId("notices"), uses)]
            used = self.shown("used_cores")
            self.assertEqual(MAX_WORKSPACES + 1, len(used))
            self.assertEqual(99.0, used[f"w{99 + shift}"])
            self.assertAlmostEqual(sum(range(100)), sum(used.values()))
            self.assertAlmostEqual(
                sum(range(100)) / 1000, sum(self.shown("lacking_cores").values())
            )
