"""Command that shows what workspaces use, as the owners of the pools know it."""

import argparse
from collections.abc import Iterable

from lentilrill.ctl import _show as show
from lentilrill.ctl._client import Client
from lentilrill.ctl._entry_hosts import read_all
from lentilrill.ctl._exit import Exit
from lentilrill.workloads import PoolUse, Resources, WorkspaceUse

__all__ = ["use_lines", "workspaces"]

PATH = "/workspaces"


def workspaces(client: Client, options: argparse.Namespace) -> Exit:
    """Print what each workspace uses in the pools of some entry hosts."""
    del client
    pools, failed = read_all(options.entry_hosts, PATH, PoolUse)
    if options.json:
        show.print_json(pools)
    else:
        show.print_lines([*failed, *use_lines(pools)])
    return Exit.UNREACHABLE if failed else Exit.DONE


def use_lines(pools: Iterable[PoolUse]) -> list[str]:
    """Return a table of pools and workspaces; amounts are cores and gigabytes."""
    rows = [_row(pool, use) for pool in pools for use in pool.workspaces]
    head = ("POOL", "WORKSPACE", "USES", "HOLDS", "LACKS", "CAP", "HELD ELSEWHERE", "WAITING")
    return show.table(head, rows)


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
    )


def _amounts(amounts: Resources) -> str:
    return f"{amounts.cpu / 1000:g}/{amounts.memory_mb / 1024:.0f}"
