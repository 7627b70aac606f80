"""Runs one script case: starts the site, plays it, writes the record, and sets the exit status."""

import sys
import traceback

from site2 import Site

EXIT_BY_RESULT = {True: 1, False: 0, None: 2}
TEXT_BY_RESULT = {True: "BROKEN", False: "HELD", None: "NOT RUN"}


def run(folder, play):
    """Play a case and end this process.

    :param play: takes the site; returns whether the rule was broken (``None`` if the case could
        not run) and what was seen.
    """
    site = Site()
    broken, text = None, "it could not run"
    try:
        broken, text = play(site)
    except Exception as error:  # whatever it is, the case could not run
        traceback.print_exc()
        text = repr(error)
    finally:
        site.close(folder, f"{TEXT_BY_RESULT[broken]}: {text}")
    print(f"{TEXT_BY_RESULT[broken]}: {text}")
    sys.exit(EXIT_BY_RESULT[broken])
