#!/bin/sh
# The stand-ins are Python modules that run from the tree; this only checks that all of them load.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import sys; sys.path.insert(0, 'review/kit'); import proxy, site_kit"
