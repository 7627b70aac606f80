"""MessagePack encoding of batches of messages."""

import zlib
from collections.abc import Iterator
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Incarnation, ProcessId
from lentilrill.inner import _claims, _entry, _grants, _state, _withdrawals

__all__ = ["MAX_BATCH_BYTES", "Batch", "Message", "decode", "encode", "encode_parts"]

MAX_BATCH_BYTES = 16 * 1024 * 1024
"""Larger than the whole state of the largest fleet; a longer batch is dropped without decoding."""
MAX_NAME_CHARACTERS = 255
COMPRESS_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
PLAIN, COMPRESSED = b"\x00", b"\x01"

Message = (
    _state.Heartbeat
    | _state.Leave
    | _state.StateAsk
    | _state.StateItems
    | _grants.Ask
    | _grants.Cancel
    | _grants.Granted
    | _grants.Refused
    | _grants.Done
    | _grants.HeldAsk
    | _grants.HeldGrants
    | _grants.GrantCopy
    | _grants.PoolLoad
    | _claims.ClaimAsk
    | _claims.ClaimAnswer
    | _claims.OutcomeNote
    | _claims.OutcomeAck
    | _withdrawals.WithdrawalAck
    | _withdrawals.HostTrouble
    | _entry.HostNews
    | _entry.Configured
    | _entry.JobAccepted
    | _entry.JobCancelled
    | _entry.JobDoubted
    | _entry.JobAsk
    | _entry.JobTold
    | _entry.ReleaseAsk
    | _entry.ReleaseTold
)


class Batch(msgspec.Struct, frozen=True):
    """Messages of one sender, in the order in which they were sent.

    :param sender: the sending process.
    :param reply_to: inner address on which the sender listens.
    """

    sender: Annotated[ProcessId, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
    incarnation: Incarnation
    reply_to: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
    messages: tuple[Message, ...]


_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def encode(batch: Batch) -> bytes:
    """Return ``batch`` as bytes: one byte for the format, then the data."""
    return _packed(_ENCODER.encode(batch))


def _packed(data: bytes) -> bytes:
    if len(data) < COMPRESS_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def encode_parts(batch: Batch, max_bytes: int) -> Iterator[bytes]:
    """Yield ``batch`` as one or more batches in order, each shorter than ``max_bytes`` if its
    messages allow it."""
    messages = batch.messages
    data = _ENCODER.encode(batch)
    if len(data) < max_bytes or len(messages) <= 1:
        yield _packed(data)
        return
    middle = len(messages) // 2
    for half in (messages[:middle], messages[middle:]):
        yield from encode_parts(msgspec.structs.replace(batch, messages=half), max_bytes)


def decode(data: bytes, max_bytes: int = MAX_BATCH_BYTES) -> Result[Batch, Fault]:
    """Return the batch encoded in ``data``, or an ``INVALID`` fault."""
    form, body = data[:1], data[1:]
    try:
        if form == COMPRESSED:
            body = _decompress(body, max_bytes)
        elif form != PLAIN:
            return _invalid(f"unknown batch format {form!r}")
        return Success(_DECODER.decode(body))
    except (
        msgspec.MsgspecError,
        zlib.error,
        UnicodeDecodeError,
        OverflowError,
        RecursionError,
    ) as error:
        return _invalid(str(error))


def _decompress(body: bytes, max_bytes: int) -> bytes:
    """Return the decompressed ``body``, truncated at the maximum size of a batch.

    A few kilobytes can decompress to gigabytes and exhaust the process's memory, so the output
    is bounded. A truncated batch fails to decode.
    """
    return zlib.decompressobj().decompress(body, max_bytes)


def _invalid(reason: str) -> Result[Batch, Fault]:
    return Failure(Fault("inner.decode", "", FaultKind.INVALID, reason))
