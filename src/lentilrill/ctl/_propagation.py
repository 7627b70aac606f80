"""Waits until a revision is in force everywhere, and reports progress."""

import sys
import time
from collections.abc import Callable

from returns.result import Failure

from lentilrill.ctl._client import Client
from lentilrill.ctl._exit import Exit
from lentilrill.ctl._show_status import propagation_text
from lentilrill.ids import Revision
from lentilrill.operators import propagation_of

__all__ = ["wait_until_in_force"]

POLL_S = 0.2


def wait_until_in_force(
    client: Client,
    revision: Revision,
    wait_s: float,
    *,
    clock: Callable[[], float] = time.monotonic,
    pause: Callable[[float], None] = time.sleep,
) -> Exit:
    """Wait up to ``wait_s`` seconds, and print progress to stderr when it changes."""
    started, printed = clock(), ""
    while True:
        answer = client.status()
        if isinstance(answer, Failure):
            text, everywhere = f"status: {answer.failure().detail}", False
        else:
            propagation = propagation_of(answer.unwrap(), revision)
            text, everywhere = propagation_text(propagation), propagation.is_complete
        if text != printed:
            print(f"revision {revision}: {text}", file=sys.stderr)
            printed = text
        waited_s = clock() - started
        if everywhere:
            return Exit.DONE
        if waited_s >= wait_s:
            print(f"not in force everywhere after {waited_s:.1f} s", file=sys.stderr)
            return Exit.NOT_IN_FORCE
        pause(POLL_S)
