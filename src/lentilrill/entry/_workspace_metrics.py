"""Metrics of what workspaces use in the pools that an entry host owns, and submit to it."""

from collections.abc import Iterable

import msgspec

from lentilrill.ids import WorkspaceId
from lentilrill.telemetry import ScrapeGauges
from lentilrill.workloads import PoolUse, Resources, WorkspaceSubmissions

__all__ = ["set_submission_gauges", "set_workspace_gauges"]

MAX_WORKSPACES = 20
"""Workspaces with gauges of their own: the number of time series must not grow with theirs."""
REST = "(rest)"
MILLICORES = 1000


class _Sums(msgspec.Struct):
    used: Resources = Resources()
    lacking: Resources = Resources()


def set_workspace_gauges(gauges: ScrapeGauges, pools: Iterable[PoolUse]) -> None:
    """Set the gauges of the workspaces that use and lack most, and those of the rest together."""
    sums_by_workspace: dict[WorkspaceId, _Sums] = {}
    rest = _Sums()
    for pool in pools:
        rest.used = rest.used.plus(pool.others)
        for use in pool.workspaces:
            sums = sums_by_workspace.setdefault(use.id, _Sums())
            sums.used = sums.used.plus(use.used)
            sums.lacking = sums.lacking.plus(use.lacking)
    largest = sorted(sums_by_workspace.items(), key=lambda pair: (-_demand(pair[1]), pair[0]))
    for workspace, sums in largest[:MAX_WORKSPACES]:
        _set(gauges, workspace, sums)
    for _, sums in largest[MAX_WORKSPACES:]:
        rest = _Sums(rest.used.plus(sums.used), rest.lacking.plus(sums.lacking))
    _set(gauges, REST, rest)


def set_submission_gauges(
    gauges: ScrapeGauges, submissions: Iterable[WorkspaceSubmissions]
) -> None:
    """Set the gauges of the workspaces that submit most, and those of the rest together."""
    largest = sorted(submissions, key=lambda each: (-each.sent_per_s, -each.refused, each.id))
    for each in largest[:MAX_WORKSPACES]:
        _set_submissions(gauges, each.id, each.sent_per_s, each.refused)
    rest = largest[MAX_WORKSPACES:]
    sent_per_s = sum(each.sent_per_s for each in rest)
    _set_submissions(gauges, REST, sent_per_s, sum(each.refused for each in rest))


def _set_submissions(gauges: ScrapeGauges, workspace: str, sent_per_s: float, refused: int) -> None:
    gauges.gauge("workspace.sent_per_s", sent_per_s, workspace=workspace)
    gauges.gauge("workspace.refused", refused, workspace=workspace)


def _demand(sums: _Sums) -> int:
    return sums.used.cpu + sums.lacking.cpu


def _set(gauges: ScrapeGauges, workspace: str, sums: _Sums) -> None:
    gauges.gauge("workspace.used_cores", sums.used.cpu / MILLICORES, workspace=workspace)
    gauges.gauge("workspace.lacking_cores", sums.lacking.cpu / MILLICORES, workspace=workspace)
