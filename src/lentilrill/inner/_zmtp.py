"""The receiving end of ZeroMQ's wire protocol, ZMTP 3 without keys, with limits.

It accepts what a DEALER socket sends: messages of one part. A library that keeps the parts of a
message, or whole messages, until somebody reads them has no limit over all connections.
"""

from collections.abc import Iterator
from enum import Enum, auto

__all__ = ["GREETING", "ProtocolError", "Receiver"]

MORE, LONG, COMMAND = 1, 2, 4
SIGNATURE_BYTES = 10
GREETING_BYTES = 64
MECHANISM = b"NULL".ljust(20, b"\0")
MAJOR_VERSION = 3
GREETING = b"\xff" + bytes(8) + b"\x7f" + bytes((MAJOR_VERSION, 0)) + MECHANISM + bytes(32)
MAX_COMMAND_BYTES = 512
PING, PONG = b"\x04PING", b"\x04PONG"
PING_TTL_BYTES = 2
MAX_CONTEXT_BYTES = 16
"""Maximum length of what a ping carries to be sent back."""


def _command(body: bytes) -> bytes:
    return bytes((COMMAND, len(body))) + body


def _property(name: bytes, value: bytes) -> bytes:
    return bytes((len(name),)) + name + len(value).to_bytes(4, "big") + value


READY = b"\x05READY"
OWN_READY = _command(READY + _property(b"Socket-Type", b"ROUTER") + _property(b"Identity", b""))


class ProtocolError(Exception):
    """A peer does not keep to the protocol or exceeds a limit."""


class _State(Enum):
    GREETING = auto()
    HANDSHAKE = auto()
    OPEN = auto()


class Receiver:
    """What one connection has received and not yet passed on.

    :param max_message_bytes: maximum length of a message.
    :ivar answer: bytes to send to the peer; the caller removes them.
    :ivar expected_bytes: length of the frame that has begun to arrive; 0 if there is none or if its
        length is not known yet.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self._max_message_bytes = max_message_bytes
        self._state = _State.GREETING
        self._buffer = bytearray()
        self.answer = bytearray(GREETING)
        self.expected_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete."""
        return self._state is _State.OPEN

    @property
    def is_within_frame(self) -> bool:
        """Whether a frame has begun to arrive and is not complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the messages that are complete with ``data``.

        :raises ProtocolError: the connection must be closed.
        """
        self._buffer += data
        position = 0
        try:
            if self._state is _State.GREETING:
                if not self._read_greeting():
                    return
                position = GREETING_BYTES
            while (found := self._frame(position)) is not None:
                flags, begin, end = found
                with memoryview(self._buffer) as view:
                    body = bytes(view[begin:end])
                position = end
                if flags & COMMAND:
                    self._on_command(body)
                elif self._state is not _State.OPEN:
                    raise ProtocolError("a message before the handshake")
                else:
                    yield body
        finally:
            del self._buffer[:position]

    def _read_greeting(self) -> bool:
        received = self._buffer
        if received[:1] != b"\xff" or (
            len(received) >= SIGNATURE_BYTES and not received[SIGNATURE_BYTES - 1] & 1
        ):
            raise ProtocolError("not the protocol")
        if len(received) < GREETING_BYTES:
            return False
        if received[SIGNATURE_BYTES] < MAJOR_VERSION or received[12:32] != MECHANISM:
            raise ProtocolError("another version or mechanism")
        self._state = _State.HANDSHAKE
        self.answer += OWN_READY
        return True

    def _frame(self, position: int) -> tuple[int, int, int] | None:
        """Return flags, begin and end of the next frame; ``None`` if it is not complete."""
        self.expected_bytes = 0
        buffer = self._buffer
        left = len(buffer) - position
        if left < 2:
            return None
        flags = buffer[position]
        if flags & ~(MORE | LONG | COMMAND) or flags & MORE:
            raise ProtocolError("a message of several parts, or not the protocol")
        header_bytes = 9 if flags & LONG else 2
        if left < header_bytes:
            return None
        begin = position + header_bytes
        size = int.from_bytes(buffer[position + 1 : begin], "big")
        if size > (MAX_COMMAND_BYTES if flags & COMMAND else self._max_message_bytes):
            raise ProtocolError("a frame is too long")
        if len(buffer) < begin + size:
            self.expected_bytes = header_bytes + size
            return None
        return flags, begin, begin + size

    def _on_command(self, body: bytes) -> None:
        if self._state is _State.HANDSHAKE:
            if not body.startswith(READY):
                raise ProtocolError("no handshake")
            self._state = _State.OPEN
        elif body.startswith(PING):
            context = body[len(PING) + PING_TTL_BYTES :]
            if len(context) > MAX_CONTEXT_BYTES:
                raise ProtocolError("a ping is too long")
            self.answer += _command(PONG + context)
