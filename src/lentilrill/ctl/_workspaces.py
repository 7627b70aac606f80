"""Command that shows what workspaces use and submit, as entry hosts know it."""

import argparse
from collections.abc import Iterable

from lentilrill.ctl import _show as show
from lentilrill.ctl._client import Client
from lentilrill.ctl._entry_hosts import read_all
from lentilrill.ctl._exit import Exit
from lentilrill.ids import WorkspaceId
from lentilrill.workloads import (
    PoolUse,
    Resources,
    WorkspaceReport,
    WorkspaceSubmissions,
    WorkspaceUse,
)

__all__ = ["submission_lines", "use_lines", "workspaces"]

PATH = "/workspaces"


def workspaces(client: Client, options: argparse.Namespace) -> Exit:
    """Print what each workspace uses in the pools of some entry hosts, and submits to them."""
    del client
    reports, failed = read_all(options.entry_hosts, PATH, WorkspaceReport)
    if options.json:
        show.print_json(reports)
    else:
        pools = [pool for report in reports for pool in report.pools]
        submissions = [each for report in reports for each in report.submissions]
        show.print_lines([*failed, *use_lines(pools), "", *submission_lines(submissions)])
    return Exit.UNREACHABLE if failed else Exit.DONE


def use_lines(pools: Iterable[PoolUse]) -> list[str]:
    """Return a table of pools and workspaces; amounts are cores and gigabytes."""
    rows = [_row(pool, use) for pool in pools for use in pool.workspaces]
    head = (
        "POOL",
        "WORKSPACE",
        "USES",
        "HOLDS",
        "LACKS",
        "CAP",
        "HELD ELSEWHERE",
        "WAITING",
        "OF POOL",
    )
    return show.table(head, rows)


def submission_lines(submissions: Iterable[WorkspaceSubmissions]) -> list[str]:
    """Return a table of workspaces: their weights, and what they submit to all the hosts."""
    hosts_by_workspace: dict[WorkspaceId, list[WorkspaceSubmissions]] = {}
    for each in submissions:
        hosts_by_workspace.setdefault(each.id, []).append(each)
    total = sum(hosts[0].weight for hosts in hosts_by_workspace.values())
    rows = [
        (
            workspace,
            f"{hosts[0].weight:g}",
            f"{hosts[0].weight / total:.1%}" if total else "-",
            f"{sum(each.sent_per_s for each in hosts):.1f}",
            str(sum(each.refused for each in hosts)),
        )
        for workspace, hosts in sorted(hosts_by_workspace.items())
    ]
    return show.table(("WORKSPACE", "WEIGHT", "SHARE", "SENT/S", "REFUSED"), rows)


def _row(pool: PoolUse, use: WorkspaceUse) -> tuple[str, ...]:
    elsewhere = [
        f"{other} {_amounts(held)}"
        for other, held in sorted(use.held_by_pool.items())
        if other != pool.pool
    ]
    return (
        pool.pool,
        use.id,
        _amounts(use.used),
        _amounts(use.held),
        _amounts(use.lacking),
        _amounts(use.cap) if use.cap != Resources() else "none",
        ", ".join(elsewhere) or "-",
        ", ".join(use.waiting) or "-",
        f"{use.used.cpu / pool.capacity.cpu:.0%}" if pool.capacity.cpu else "-",
    )


def _amounts(amounts: Resources) -> str:
    return f"{amounts.cpu / 1000:g}/{amounts.memory_mb / 1024:.0f}"
