"""Bounds of the request path, in one place."""

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
"""Tries of one job on different hosts, the first one included."""
BUFFERED_BYTES = 1024 * 1024
"""Bodies up to this size are held whole; longer ones are streamed."""
CHUNK_BYTES = 64 * 1024
HEADER_BYTES = 32 * 1024
KEY_CHARACTERS = 255
LONGEST_RUN_S = 900.0
"""Time from acceptance until the caller is answered for certain, if it named no wait."""
LONGEST_WAIT_S = 3600.0
RESERVED_THREADS = 16
"""Threads that only refuse, so that a refusal never waits behind callers that are held."""
SILENT_CALLER_S = 10
"""Silence on a caller's socket, in the middle of a transfer, that ends the transfer."""
SLOW_GRACE_S = 30.0
SLOW_RATE_BYTES_PER_S = 16 * 1024
"""A caller that moves less than this on average, after the grace, loses its slot."""
