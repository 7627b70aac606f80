#!/bin/sh
# Builds the stand-ins that the scripts of review/4, 6 and 7 start: Python of the standard library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile kit-2/platform2.py kit-2/site2.py kit-2/runner2.py
test -d ../target/deps/lentilrill
