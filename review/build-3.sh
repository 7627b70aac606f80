#!/bin/sh
# Builds what the scripts of the third review start besides the product: the project's own stand-ins
# and the kit. They are Python on the libraries of the deploy file, so building them means loading
# them once. Run it at the root of the repository, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import sys
from pathlib import Path

sys.path[:0] = [str(Path("review/kit-3").resolve())]
import site_kit

for case in (Path(f"review/{number}/case.py") for number in range(9, 14)):
    if not case.is_file():
        continue
    compile(case.read_text(encoding="utf-8"), str(case), "exec")
print("built:", site_kit.Platform.__name__)
END
