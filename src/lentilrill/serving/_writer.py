"""Writer of answers that leaves to the server's loop what the caller doesn't read at once."""

import os
import socket
from typing import Any

from cheroot.makefile import StreamWriter

__all__ = ["AnswerWriter"]

WRITE_BYTES = 64 * 1024


class AnswerWriter(StreamWriter):
    """Writes without blocking, unless it is made to block for an answer that is streamed."""

    blocks = False
    buffering = False
    """Whether to hold what is written, so that head and body go out in one write."""

    def __init__(self, sock: socket.socket, mode: str, bufsize: int) -> None:
        super().__init__(sock, mode, bufsize)
        self._socket = sock

    @property
    def unsent(self) -> bytearray:
        """What has not been sent yet."""
        writer: Any = self
        unsent: bytearray = writer._write_buf
        return unsent

    def write(self, b: Any) -> Any:
        """Write ``b``, or hold it."""
        if not self.buffering:
            return super().write(b)
        self.unsent.extend(b)
        return len(b)

    def send_unsent(self) -> None:
        """Send what the connection takes now.

        :raises OSError: if the connection has failed.
        """
        unsent = self.unsent
        while unsent:
            try:
                sent = os.write(self._socket.fileno(), unsent[:WRITE_BYTES])
            except BlockingIOError:
                return
            del unsent[:sent]

    def _flush_unlocked(self) -> None:
        if self.blocks:
            writer: Any = super()
            writer._flush_unlocked()
        else:
            self.send_unsent()
