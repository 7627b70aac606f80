"""Command that shows the speed of endpoints, as the owners of their pools judge it."""

import argparse
from collections.abc import Iterable

from lentilrill.ctl import _show as show
from lentilrill.ctl._client import Client
from lentilrill.ctl._entry_hosts import read_all
from lentilrill.ctl._exit import Exit
from lentilrill.workloads import EndpointSpeed

__all__ = ["endpoints", "speed_lines"]

PATH = "/endpoints"


def endpoints(client: Client, options: argparse.Namespace) -> Exit:
    """Print the speed of the endpoints in the pools of some entry hosts, and its evidence."""
    del client
    speeds, failed = read_all(options.entry_hosts, PATH, EndpointSpeed)
    if options.json:
        show.print_json(speeds)
    else:
        show.print_lines([*failed, *speed_lines(speeds)])
    return Exit.UNREACHABLE if failed else Exit.DONE


def speed_lines(speeds: Iterable[EndpointSpeed]) -> list[str]:
    """Return a table of endpoints, those that are slow first."""
    ordered = sorted(speeds, key=lambda s: (s.verdict == "normal", s.pool, -s.slowdown))
    rows = [
        (
            speed.pool,
            speed.endpoint,
            speed.verdict,
            f"{speed.slowdown:.2f}" if speed.tasks else "-",
            str(speed.tasks),
            str(speed.jobs),
            str(speed.runs),
        )
        for speed in ordered
    ]
    return show.table(("POOL", "ENDPOINT", "SPEED", "SLOWDOWN", "TASKS", "JOBS", "RUNS"), rows)
