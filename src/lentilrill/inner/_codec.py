"""MessagePack encoding of batches of messages."""

import zlib

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Incarnation, ProcessId
from lentilrill.inner import _claims, _entry, _grants, _state, _withdrawals

__all__ = ["MAX_BATCH_BYTES", "Batch", "Message", "decode", "encode"]

MAX_BATCH_BYTES = 16 * 1024 * 1024
"""Larger than the whole state of the largest fleet; a longer batch is dropped without decoding."""
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

    sender: ProcessId
    incarnation: Incarnation
    reply_to: str
    messages: tuple[Message, ...]


_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def encode(batch: Batch) -> bytes:
    """Return ``batch`` as bytes: one byte for the format, then the data."""
    data = _ENCODER.encode(batch)
    if len(data) < COMPRESS_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode(data: bytes) -> Result[Batch, Fault]:
    """Return the batch encoded in ``data``, or an ``INVALID`` fault."""
    form, body = data[:1], data[1:]
    try:
        if form == COMPRESSED:
            body = _decompress(body)
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


def _decompress(body: bytes) -> bytes:
    """Return the decompressed ``body``, truncated at the maximum size of a batch.

    A few kilobytes can decompress to gigabytes and exhaust the process's memory, so the output
    is bounded. A truncated batch fails to decode.
    """
    return zlib.decompressobj().decompress(body, MAX_BATCH_BYTES)


def _invalid(reason: str) -> Result[Batch, Fault]:
    return Failure(Fault("inner.decode", "", FaultKind.INVALID, reason))
