"""Runs ``lentilrillctl`` by ``python -m lentilrill.ctl``."""

import sys

from lentilrill.ctl import main

sys.exit(main())
