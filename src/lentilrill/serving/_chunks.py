"""Decoder of chunked bodies that holds nothing but the body, and counts everything else."""

import re
from enum import Enum, auto

__all__ = ["ChunkDecoder", "ChunkError", "ChunkErrorKind"]

MAX_LINE_BYTES = 4096
"""Longest chunk-size line or line of a trailer."""
MAX_EXTRA_BYTES = 16 * 1024
"""All chunk extensions and trailers of one body. Both are ignored."""
CRLF = b"\r\n"
_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")


class ChunkErrorKind(Enum):
    """Reasons why a chunked body is refused."""

    MALFORMED = auto()
    TOO_LONG = auto()


class ChunkError(Exception):
    """The body is not decoded any further."""

    def __init__(self, kind: ChunkErrorKind) -> None:
        super().__init__(kind.name)
        self.kind = kind


class _Stage(Enum):
    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    DONE = auto()


class ChunkDecoder:
    """Decodes one chunked body piece by piece.

    :param max_bytes: longest body.
    """

    def __init__(self, max_bytes: int) -> None:
        self.body = bytearray()
        self._max_bytes = max_bytes
        self._stage = _Stage.SIZE
        self._left = 0
        self._extra_bytes = 0

    def feed(self, buffer: bytearray) -> bool:
        """Take what can be decoded from the start of ``buffer``; return whether the body is whole.

        :raises ChunkError: if the body breaks a limit or a rule of HTTP.
        """
        position = 0
        while self._stage is not _Stage.DONE:
            end = self._step(buffer, position)
            if end == position:
                break
            position = end
        del buffer[:position]
        return self._stage is _Stage.DONE

    def _step(self, buffer: bytearray, start: int) -> int:
        if self._stage is _Stage.DATA:
            return self._take_data(buffer, start)
        if self._stage is _Stage.DATA_END:
            return self._take_data_end(buffer, start)
        end = buffer.find(CRLF, start, start + MAX_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LINE_BYTES:
                raise ChunkError(ChunkErrorKind.MALFORMED)
            return start
        line = bytes(buffer[start:end])
        if self._stage is _Stage.SIZE:
            self._take_size(line)
        else:
            self._take_trailer(line)
        return end + len(CRLF)

    def _take_size(self, line: bytes) -> None:
        size, _, extension = line.partition(b";")
        self._count_extra(len(extension))
        if not _SIZE.fullmatch(size.strip()):
            raise ChunkError(ChunkErrorKind.MALFORMED)
        self._left = int(size, 16)
        if len(self.body) + self._left > self._max_bytes:
            raise ChunkError(ChunkErrorKind.TOO_LONG)
        self._stage = _Stage.DATA if self._left else _Stage.TRAILER

    def _take_data(self, buffer: bytearray, start: int) -> int:
        data = buffer[start : start + self._left]
        self.body += data
        self._left -= len(data)
        if not self._left:
            self._stage = _Stage.DATA_END
        return start + len(data)

    def _take_data_end(self, buffer: bytearray, start: int) -> int:
        end = start + len(CRLF)
        if len(buffer) < end:
            return start
        if buffer[start:end] != CRLF:
            raise ChunkError(ChunkErrorKind.MALFORMED)
        self._stage = _Stage.SIZE
        return end

    def _take_trailer(self, line: bytes) -> None:
        self._count_extra(len(line))
        if not line:
            self._stage = _Stage.DONE

    def _count_extra(self, count: int) -> None:
        self._extra_bytes += count
        if self._extra_bytes > MAX_EXTRA_BYTES:
            raise ChunkError(ChunkErrorKind.MALFORMED)
