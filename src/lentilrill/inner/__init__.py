"""The protocol between the system's own processes: messages, codec and ZeroMQ node."""

from lentilrill.inner._claims import ClaimAnswer, ClaimAsk, ClaimState, OutcomeAck, OutcomeNote
from lentilrill.inner._codec import Batch, Message, decode, encode
from lentilrill.inner._grants import (
    LONGEST_RUN_S,
    Ask,
    Cancel,
    Done,
    Granted,
    Held,
    HeldAsk,
    HeldGrants,
    PoolLoad,
    Refusal,
    Refused,
    Verdict,
)
from lentilrill.inner._node import Node
from lentilrill.inner._state import Heartbeat, Leave, StateAsk, StateItems, ZoneHealth
from lentilrill.inner._withdrawals import Barred, HostTrouble, WithdrawalAck

__all__ = [
    "LONGEST_RUN_S",
    "Ask",
    "Barred",
    "Batch",
    "Cancel",
    "ClaimAnswer",
    "ClaimAsk",
    "ClaimState",
    "Done",
    "Granted",
    "Heartbeat",
    "Held",
    "HeldAsk",
    "HeldGrants",
    "HostTrouble",
    "Leave",
    "Message",
    "Node",
    "OutcomeAck",
    "OutcomeNote",
    "PoolLoad",
    "Refusal",
    "Refused",
    "StateAsk",
    "StateItems",
    "Verdict",
    "WithdrawalAck",
    "ZoneHealth",
    "decode",
    "encode",
]
