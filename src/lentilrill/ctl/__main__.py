"""Entry point of ``python -m lentilrill.ctl``, the same as ``lentilrillctl``."""

import sys

from lentilrill.ctl import main

sys.exit(main())
