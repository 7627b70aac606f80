"""Log lines as JSON objects on standard output, written by a separate thread."""

import logging as std_logging
import queue
import sys
import threading
import time
from logging.handlers import QueueHandler

import msgspec
from absl import flags, logging

__all__ = ["set_level", "setup"]

MAX_QUEUED_LINES = 10_000
"""Maximum number of lines queued for standard output. Further lines are counted and dropped,
because a reader that stopped reading must not block requests."""
BATCH_INTERVAL_S = 0.05
"""Lines logged within this time are written with one system call."""


class _BoundedHandler(QueueHandler):
    """Queues records for the writer thread and drops records when the queue is full."""

    def __init__(self, pending: "queue.Queue[std_logging.LogRecord]") -> None:
        super().__init__(pending)
        self.pending = pending
        self.dropped = 0

    def enqueue(self, record: std_logging.LogRecord) -> None:
        """Queue a record without blocking."""
        try:
            self.pending.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Writer(threading.Thread):
    def __init__(self, handler: _BoundedHandler) -> None:
        super().__init__(name="log-writer", daemon=True)
        self._handler = handler
        self._reported_drops = 0

    def run(self) -> None:
        """Write queued lines until the process ends."""
        while True:
            self.write([self._handler.pending.get()])
            time.sleep(BATCH_INTERVAL_S)

    def write(self, records: list[std_logging.LogRecord]) -> None:
        """Write ``records`` and all queued records."""
        while True:
            try:
                records.append(self._handler.pending.get_nowait())
            except queue.Empty:
                break
        lines = [_encode_line(record) for record in records]
        dropped = self._handler.dropped
        if dropped != self._reported_drops:
            lines.append(msgspec.json.encode({"event": "lines_dropped", "so_far": dropped}))
            self._reported_drops = dropped
        sys.stdout.buffer.write(b"\n".join(lines) + b"\n")
        sys.stdout.buffer.flush()


def _encode_line(record: std_logging.LogRecord) -> bytes:
    common_fields = {"at": round(record.created, 3), "level": record.levelname.lower()}
    fields = getattr(record, "fields", None)
    if fields is None:
        fields = {"event": "line", "text": record.getMessage()}
    return msgspec.json.encode(common_fields | fields, enc_hook=str)


def set_level(level: str) -> None:
    """Log lines at or above ``level`` (debug, info, warning, error) from now on."""
    logging.set_verbosity(getattr(logging, level.upper()))


def setup(level: str, process: str = "") -> None:
    """Send log lines at or above ``level`` (debug, info, warning, error) to standard output.

    :param process: name of the process in the first log line.
    """
    flags.FLAGS([sys.argv[0]])
    logging.use_absl_handler()
    set_level(level)
    handler = _BoundedHandler(queue.Queue(MAX_QUEUED_LINES))
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    # Records of libraries use the same handler: a line that is not JSON breaks programs that parse
    # the log, and a write in the calling thread can block it.
    std_logging.getLogger().handlers = [handler]
    writer = _Writer(handler)
    writer.start()
    logging.info("log started: %s", process)
