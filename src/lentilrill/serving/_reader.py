"""The request of one caller as a file, for the parser of the server."""

import io
import socket

__all__ = ["RequestReader"]


class RequestReader:
    """Reads a request from what is held, and the rest of a streamed body from the connection.

    :param rest_bytes: bytes of the body that are still to come.
    """

    def __init__(self, data: bytes = b"", sock: socket.socket | None = None, rest_bytes: int = 0):
        self._held = io.BytesIO(data)
        self._socket = sock
        self.rest_bytes = rest_bytes
        self.bytes_read = 0
        self.closed = False

    def read(self, size: int | None = -1) -> bytes:
        """Return ``size`` bytes, or fewer at the end of the request."""
        wanted = None if size is None or size < 0 else size
        data = self._held.read(wanted)
        if not self.rest_bytes or (wanted is not None and len(data) >= wanted):
            return data
        parts = [data]
        left = self.rest_bytes if wanted is None else wanted - len(data)
        while left and (part := self._receive(left)):
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def read1(self, size: int) -> bytes:
        """Return at most ``size`` bytes by at most one read from the connection."""
        return self._held.read(size) or self._receive(size)

    def readline(self, size: int = -1) -> bytes:
        """Return a line of what is held."""
        return self._held.readline(size)

    def has_data(self) -> bool:
        """Return whether more requests are held; the connection holds them, not this reader."""
        return False

    def close(self) -> None:
        """Release what is held."""
        self.closed = True
        self._held = io.BytesIO()

    def _receive(self, size: int) -> bytes:
        if not self.rest_bytes or self._socket is None:
            return b""
        data = self._socket.recv(min(size, self.rest_bytes))
        self.rest_bytes -= len(data)
        return data
