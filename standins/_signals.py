"""How every stand-in is told to end."""

import signal
import threading

__all__ = ["stop_event"]


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set from now on."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    return stopped
