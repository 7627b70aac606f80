"""Shutdown signals of the stand-in processes."""

import signal
import threading

__all__ = ["stop_event"]


def stop_event() -> threading.Event:
    """Install handlers for SIGTERM and SIGINT, and return the event that they set."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    return stopped
