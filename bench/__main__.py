"""Runs benchmarks: all with ``python -m bench``, selected ones with ``python -m bench NAME...``."""

import subprocess
import sys

__all__ = ["main"]

BENCHMARKS = (
    "gateway",
    "allowances",
    "claims",
    "surge",
    "ejection",
    "routing_costs",
    "fleet",
    "config",
    "control",
    "durations",
    "entry_config",
    "keys",
    "owner",
    "platform",
    "rest",
    "rolling",
    "shares",
    "silence",
    "state",
    "workspace_reports",
)


def main() -> int:
    """Run each benchmark in a separate process; return 1 if one of them failed."""
    names = sys.argv[1:] or BENCHMARKS
    failed = [name for name in names if _run(name) != 0]
    for name in failed:
        print(f"bench.{name} failed", file=sys.stderr)
    return 1 if failed else 0


def _run(name: str) -> int:
    return subprocess.run([sys.executable, "-m", f"bench.{name}"], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
