"""Limits of the request path."""

__all__ = [
    "CALLER_TIMEOUT_S",
    "CHUNK_BYTES",
    "DEFAULT_RUN_TIMEOUT_S",
    "MAX_ATTEMPTS",
    "MAX_BUFFERED_BYTES",
    "MAX_HEADER_BYTES",
    "MAX_HELD_BYTES",
    "MAX_KEY_CHARACTERS",
    "MAX_WAIT_S",
    "MIN_RATE_BYTES_PER_S",
    "MIN_RATE_GRACE_S",
    "REFUSAL_THREADS",
]

MAX_ATTEMPTS = 4
"""Attempts to run one job on different hosts, including the first."""
MAX_BUFFERED_BYTES = 1024 * 1024
"""Bodies up to this size are buffered; longer ones are streamed."""
CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_HELD_BYTES = 64 * 1024 * 1024
"""Requests that are not complete yet, and unread answers, of all callers together."""
MAX_KEY_CHARACTERS = 255
DEFAULT_RUN_TIMEOUT_S = 900.0
"""Time from the latest start of a job to the deadline of its answer, without ``Prefer: wait``."""
MAX_WAIT_S = 3600.0
REFUSAL_THREADS = 16
"""Threads that only send refusals, so that a refusal never queues behind callers in progress."""
CALLER_TIMEOUT_S = 10
"""Timeout of one read or write on a caller's socket."""
MIN_RATE_GRACE_S = 30.0
MIN_RATE_BYTES_PER_S = 16 * 1024
"""Minimum average transfer rate after the grace period; a slower transfer is ended."""
