"""Size of the reports of a pool's load by workspace, in the encoding between entry hosts.

Run as ``python -m bench.workspace_reports``. Every workspace has work of each kind and recent jobs,
and each report differs from the one before, as in a surge.
"""

import random

from bench import figure
from lentilrill.entry._recipients import SEND_INTERVAL_S
from lentilrill.execution._workspace_backlog import MAX_BY_JOBS, MAX_BY_WORK
from lentilrill.ids import Incarnation, PoolId, ProcessId, QueueId, WorkspaceId
from lentilrill.inner import Batch, HostNews, PoolPressure, WorkspaceLoad, WorkspaceLoads, encode

__all__ = ["main"]

WORKSPACES = (20, 480)
RECIPIENTS = 36
LINK_BITS_PER_S = 5e6


def main() -> None:
    """Run and print the measurements."""
    plain = _encoded_bytes(None)
    for count in WORKSPACES:
        listed = min(count, MAX_BY_WORK + MAX_BY_JOBS)
        added = _encoded_bytes(listed) - plain
        share = added * 8 * RECIPIENTS / SEND_INTERVAL_S / LINK_BITS_PER_S
        figure("workspace_reports", "added to a message", added, "bytes", workspaces=count)
        figure(
            "workspace_reports", "share of a 5 Mbit/s link", share, "1", workspaces=count, pools=1
        )


def _encoded_bytes(listed: int | None) -> int:
    """Return the size of a status message about one pool."""
    chance = random.Random(1)
    loads = None
    if listed is not None:
        loads = WorkspaceLoads(
            True, 640_000, 160_000, tuple(_load(n, chance) for n in range(listed)), 12_345
        )
    queues: dict[QueueId, int] = {QueueId(f"queue-{n}"): n for n in range(8)}
    pressure = PoolPressure(
        PoolId("notices"), 4.31, queues, 123_456, 41.22, 40, late_wait_s=2.5, workspaces=loads
    )
    status = HostNews(0.01, 1234, (pressure,), True, False, 123_456.789)
    return len(encode(Batch(ProcessId("entry-12"), Incarnation(1), "10.0.0.1:7001", (status,))))


def _load(number: int, chance: random.Random) -> WorkspaceLoad:
    works = [chance.randrange(100_000) for _ in range(3)]
    return WorkspaceLoad(WorkspaceId(f"workspace-{number:04d}"), *works, chance.randrange(10_000))


if __name__ == "__main__":
    main()
