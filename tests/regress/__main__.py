"""Replays the simulated days that broke a rule before, with the users' bench.

    python -m tests.regress [--earlier] BENCH SITES

BENCH is the program; SITES holds the site files, at any depth. The exit code is 1 if a day
breaks a rule again.
"""

import argparse
import subprocess
import sys
from pathlib import Path

SEEDS_FILE = Path(__file__).with_name("seeds.txt")
EARLIER_FILE = Path(__file__).with_name("earlier.txt")
BROKEN = "BROKEN"
GENERATED_PREFIXES = ("hunt-", "fresh-")


def main() -> int:
    """Replay all listed days, one after the other."""
    parser = argparse.ArgumentParser(prog="tests.regress")
    parser.add_argument("bench")
    parser.add_argument("sites")
    parser.add_argument(
        "--earlier", action="store_true", help="also replay the days of the two oldest sites"
    )
    arguments = parser.parse_args()
    bench, sites = arguments.bench, arguments.sites
    lines = SEEDS_FILE.read_text().splitlines()
    if arguments.earlier:
        lines += EARLIER_FILE.read_text().splitlines()
    broken = 0
    for line in lines:
        if not line or line.startswith("#"):
            continue
        site, day, seed, description = line.split(" ", 3)
        # A generated day is replayed by its name from the journal. A standard day is run by name
        # and seed, and a day file of this project by its path and the seed of its variation.
        subcommand = "replay" if day.startswith(GENERATED_PREFIXES) else "run"
        [file] = Path(sites).rglob(f"{site}.toml")
        command = [bench, subcommand, str(file), day]
        command += ["--why", f"regression: {description}"]
        if day.endswith(".toml"):
            command.append("--vary")
        if seed != "-":
            command += ["--seed", seed]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        is_broken = BROKEN in result.stdout or result.returncode != 0
        broken += is_broken
        print(f"{'broken' if is_broken else 'kept  '} {site} {day} {seed}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
