"""Limits of the request path."""

__all__ = [
    "ATTEMPTS",
    "BUFFERED_BYTES",
    "CHUNK_BYTES",
    "HEADER_BYTES",
    "KEY_CHARACTERS",
    "LONGEST_RUN_S",
    "LONGEST_WAIT_S",
    "RESERVED_THREADS",
    "SILENT_CALLER_S",
    "SLOW_GRACE_S",
    "SLOW_RATE_BYTES_PER_S",
]

ATTEMPTS = 4
"""Attempts to run one job on different hosts, including the first."""
BUFFERED_BYTES = 1024 * 1024
"""Bodies up to this size are buffered; longer ones are streamed."""
CHUNK_BYTES = 64 * 1024
HEADER_BYTES = 32 * 1024
KEY_CHARACTERS = 255
LONGEST_RUN_S = 900.0
"""Time from the latest start of a job to the deadline of its answer, without ``Prefer: wait``."""
LONGEST_WAIT_S = 3600.0
RESERVED_THREADS = 16
"""Threads that only send refusals, so that a refusal never queues behind callers in progress."""
SILENT_CALLER_S = 10
"""Timeout of one read or write on a caller's socket."""
SLOW_GRACE_S = 30.0
SLOW_RATE_BYTES_PER_S = 16 * 1024
"""Minimum average transfer rate after the grace period; a slower transfer is ended."""
