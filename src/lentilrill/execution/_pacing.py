"""Pace of the calls to the store that the planning thread makes itself."""

__all__ = ["MAX_CALL_SHARE", "pause_after_call"]

MAX_CALL_SHARE = 0.02
"""Maximum share of the planning thread's time spent on these calls, which delay its rounds."""


def pause_after_call(call_s: float) -> float:
    """Return the seconds to wait after a call that took ``call_s`` before the next one."""
    return call_s * (1 / MAX_CALL_SHARE - 1)
