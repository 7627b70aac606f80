"""Receipt of requests from one connection, without blocking, up to stated limits."""

import re
import time
from enum import Enum, auto

import msgspec

from lentilrill.serving._chunks import ChunkDecoder, ChunkError, ChunkErrorKind

__all__ = ["CONTINUE", "Framing", "Receipt", "ReceiptLimits", "Received", "RefusalKind"]

HEAD_END = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# The names as the parser of the server reads them: it strips all white space around a name.
_FRAMING = re.compile(
    rb"\r\n[\x0b\x0c]*(content-length|transfer-encoding|expect)[^\S\r\n]*:([^\r\n]*)", re.IGNORECASE
)
_EXPECT = re.compile(rb"\r\n[\x0b\x0c]*expect[^\S\r\n]*:[^\r\n]*", re.IGNORECASE)
_LENGTH = re.compile(rb"[0-9]{1,15}")
_FOLDED = re.compile(rb"\r\n[ \t]")
_BARE_LINE_FEED = re.compile(rb"(?:^|[^\r])\n")


class RefusalKind(Enum):
    """Reasons why a request is refused before it is handed to a thread."""

    SLOW = "the request did not come in time"
    TRUNCATED = "the connection ended before the request"
    MALFORMED = "the chunked body is malformed"
    TOO_LARGE = "the body is larger than allowed"
    LONG_CHUNKED = "a chunked body is longer than what is held"
    NO_ROOM = "too much is held for callers"


class Framing(Enum):
    """How the body of a received request reaches its reader."""

    HELD = auto()
    """The whole body is held."""
    STREAMED = auto()
    """The rest of the body is read from the connection."""
    UNREAD = auto()
    """The body is too long: its reader gets nothing of it, and the connection is closed."""
    UNKNOWN = auto()
    """Where the body ends is unknown: nothing more is read, and the connection is closed."""


class ReceiptLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one request.

    :param head_bytes: longest head.
    :param held_body_bytes: longest body that is received before the request is handed over.
    :param longer_bodies: framing of requests with longer bodies of a declared length; ``None`` if
        they are refused.
    :param body_bytes: longest body of a declared length.
    :param idle_s: how long a connection may be without a request, and a body may stand still.
    :param head_s: time for a whole head.
    :param body_grace_s: time for a body before its rate counts.
    :param least_bytes_per_s: least average rate of a body after that time.
    """

    head_bytes: int
    held_body_bytes: int
    longer_bodies: Framing | None = None
    body_bytes: int = 1 << 62
    idle_s: float = 15.0
    head_s: float = 10.0
    body_grace_s: float = 10.0
    least_bytes_per_s: float = 16 * 1024


class Received(msgspec.Struct):
    """A request that can be handed to a thread.

    :param data: the head, and what is held of the body behind it.
    :param length: length of the whole body.
    :param is_decoded: whether the body was chunked and is decoded.
    """

    data: bytes
    framing: Framing
    length: int = 0
    is_decoded: bool = False


class Receipt:
    """What has been received of the next request of one connection.

    ``deadline`` is the time at which the caller is given up, on the steady clock.
    """

    def __init__(self, limits: ReceiptLimits) -> None:
        self.deadline = time.monotonic() + limits.idle_s
        self._limits = limits
        self._buffer = bytearray()
        self._searched = 0
        self._head = b""
        self._length = 0
        self._chunks: ChunkDecoder | None = None
        self._body_began = 0.0
        self.wants_continue = False
        """Whether the caller waits for an interim response before it sends the body."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing of the next request has been received."""
        return not self._buffer and not self._head

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        decoded = len(self._chunks.body) if self._chunks is not None else 0
        return len(self._buffer) + len(self._head) + decoded

    def begin(self, limits: ReceiptLimits) -> None:
        """Begin with the next request; bytes that were received behind the last one stay."""
        now = time.monotonic()
        self._limits = limits
        self.deadline = now + (limits.head_s if self._buffer else limits.idle_s)
        self._searched = 0
        self._head = b""
        self._chunks = None
        self.wants_continue = False

    def clear(self) -> None:
        """Release what is held."""
        self._buffer = bytearray()
        self._head = b""
        self._chunks = None

    def feed(self, data: bytes) -> None:
        """Add what has been received."""
        if self.is_empty:
            self.deadline = time.monotonic() + self._limits.head_s
        self._buffer += data

    def advance(self) -> Received | RefusalKind | None:
        """Return the request if it can be handed over, why it is refused, or ``None``."""
        if not self._head:
            early = self._take_head()
            if early is not None or not self._head:
                return early
        if self._chunks is not None:
            return self._advance_chunks(self._chunks)
        if len(self._buffer) >= self._length:
            return self._hand_over(Framing.HELD, self._length)
        self._set_body_deadline(len(self._buffer))
        return None

    def _take_head(self) -> Received | RefusalKind | None:
        if self._buffer.startswith(b"\r\n"):
            # One empty line before a request is ignored.
            del self._buffer[:2]
        end = self._buffer.find(HEAD_END, max(0, self._searched - len(HEAD_END)))
        self._searched = len(self._buffer)
        if end < 0:
            is_over = len(self._buffer) > self._limits.head_bytes
            if is_over or _BARE_LINE_FEED.search(self._buffer[:256]):
                # The parser of the server refuses it.
                return self._hand_over_unknown()
            return None
        end += len(HEAD_END)
        self._head = bytes(self._buffer[:end])
        del self._buffer[:end]
        return self._read_framing()

    def _read_framing(self) -> Received | RefusalKind | None:
        head = self._head
        fields = [(name.lower(), value.strip()) for name, value in _FRAMING.findall(head)]
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [value for name, value in fields if name == b"transfer-encoding"]
        self._body_began = time.monotonic()
        if not lengths and not codings:
            return self._hand_over(Framing.HELD, 0)
        is_plain = len(lengths) + len(codings) == 1 and not _FOLDED.search(head)
        request_line = head[: head.index(b"\r\n")]
        if codings and is_plain:
            is_plain = codings[0].lower() == b"chunked" and request_line.endswith(b"HTTP/1.1")
        if lengths and is_plain:
            is_plain = _LENGTH.fullmatch(lengths[0]) is not None
        if not is_plain:
            return self._hand_over_unknown()
        self.wants_continue = any(
            name == b"expect" and value.lower() == b"100-continue" for name, value in fields
        )
        if self.wants_continue:
            # The server's loop sends the interim response, not the parser.
            self._head = _EXPECT.sub(b"", head)
        if codings:
            self._chunks = ChunkDecoder(self._limits.held_body_bytes)
            return None
        self._length = int(lengths[0])
        return self._weigh_length()

    def _weigh_length(self) -> Received | RefusalKind | None:
        if self._length > self._limits.body_bytes:
            return RefusalKind.TOO_LARGE
        if self._length <= self._limits.held_body_bytes or len(self._buffer) >= self._length:
            return None
        if self._limits.longer_bodies is None:
            return RefusalKind.TOO_LARGE
        return self._hand_over(self._limits.longer_bodies, self._length)

    def _advance_chunks(self, chunks: ChunkDecoder) -> Received | RefusalKind | None:
        try:
            is_whole = chunks.feed(self._buffer)
        except ChunkError as error:
            is_long = error.kind is ChunkErrorKind.TOO_LONG
            return RefusalKind.LONG_CHUNKED if is_long else RefusalKind.MALFORMED
        if not is_whole:
            self._set_body_deadline(len(chunks.body))
            return None
        body = bytes(chunks.body)
        return Received(self._head + body, Framing.HELD, len(body), is_decoded=True)

    def _set_body_deadline(self, count: int) -> None:
        # The time since the body began counts, so that it doesn't begin anew with each byte.
        limits = self._limits
        rate_end = self._body_began + limits.body_grace_s + count / limits.least_bytes_per_s
        self.deadline = min(rate_end, time.monotonic() + limits.idle_s)

    def _hand_over(self, framing: Framing, length: int) -> Received:
        data = self._head + bytes(self._buffer[:length])
        del self._buffer[:length]
        return Received(data, framing, length)

    def _hand_over_unknown(self) -> Received:
        data = self._head + bytes(self._buffer[: self._limits.head_bytes + 1])
        self._buffer.clear()
        return Received(data, Framing.UNKNOWN)
