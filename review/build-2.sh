#!/bin/sh
# The stand-ins of review/4 to review/7 are Python modules that run from the tree; this only checks
# that they load, and that the build of the deploy file has been made.
set -e
cd "$(dirname "$0")/.."
python3 -B -c "import sys; sys.path.insert(0, 'review/kit-2'); import runner2"
test -d target/deps/lentilrill
