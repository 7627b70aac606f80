"""One batch of messages on the wire, in MessagePack."""

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Incarnation, ProcessId
from lentilrill.inner import _claims, _grants, _state, _withdrawals

__all__ = ["MAX_BATCH_BYTES", "Batch", "Message", "decode", "encode"]

MAX_BATCH_BYTES = 16 * 1024 * 1024
"""Larger than the whole state of the largest fleet; a longer batch is dropped unread."""

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
    | _grants.PoolLoad
    | _claims.ClaimAsk
    | _claims.ClaimAnswer
    | _claims.OutcomeNote
    | _claims.OutcomeAck
    | _withdrawals.WithdrawalAck
    | _withdrawals.HostTrouble
)


class Batch(msgspec.Struct, frozen=True):
    """Messages of one sender, in order.

    :param sender: the sending process.
    :param reply_to: inner address at which the sender listens.
    """

    sender: ProcessId
    incarnation: Incarnation
    reply_to: str
    messages: tuple[Message, ...]


_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def encode(batch: Batch) -> bytes:
    """Return ``batch`` as bytes."""
    return _ENCODER.encode(batch)


def decode(data: bytes) -> Result[Batch, Fault]:
    """Return the batch in ``data``, or an ``INVALID`` fault."""
    try:
        return Success(_DECODER.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError, OverflowError, RecursionError) as error:
        return Failure(Fault("inner.decode", "", FaultKind.INVALID, str(error)))
