"""Processor time to identify a caller by its key.

Run as ``python -m bench.keys``. Measures known and unknown keys with 100 and 10,000 keys.
"""

import time

from bench import figure
from lentilrill.ids import WorkspaceId
from lentilrill.platform._caller_key import workspace_of
from lentilrill.workloads import Workspace, Workspaces, digest_of

__all__ = ["main"]

SIZES = (100, 10_000)
CALLS = 20_000
KEYS_PER_WORKSPACE = 10


def main() -> None:
    """Run and print the measurements."""
    for size in SIZES:
        workspaces = _workspaces(size)
        for kind, key in (("known", _key(size // 2)), ("unknown", _key(size + 1))):
            started = time.process_time()
            for _ in range(CALLS):
                workspace_of(key, workspaces)
            took_s = time.process_time() - started
            figure("keys", kind, took_s / CALLS * 1e6, "us", keys=size)


def _workspaces(size: int) -> Workspaces:
    ids = [WorkspaceId(f"w{number // KEYS_PER_WORKSPACE}") for number in range(size)]
    digests = {digest_of(_key(number).encode()): id for number, id in enumerate(ids)}
    return Workspaces({id: Workspace(id) for id in ids}, digests)


def _key(number: int) -> str:
    return f"{number:020d}"


if __name__ == "__main__":
    main()
