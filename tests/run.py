"""The test command: tests in parallel, then one after the other those that have to run alone."""

import subprocess
import sys
from collections.abc import Sequence

__all__ = ["main"]

PYTEST = (sys.executable, "-m", "pytest")
PARALLEL = ("-n", "4", "-m", "not alone")
ALONE = ("-n", "0", "-m", "alone")
NO_TESTS = 5
"""Exit code of pytest if no test was selected."""


def main(arguments: Sequence[str]) -> int:
    """Run both parts; return 0 if one of them has run and neither has failed.

    :param arguments: options of pytest, which apply to both parts; those of a part go first.
    """
    parts = ((*PARALLEL, *arguments), (*arguments, *ALONE))
    codes = [subprocess.run([*PYTEST, *part], check=False).returncode for part in parts]
    if all(code == NO_TESTS for code in codes):
        return NO_TESTS
    return next((code for code in codes if code not in (0, NO_TESTS)), 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
