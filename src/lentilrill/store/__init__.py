"""Clients of the key-value service and the host list, and a local copy of the state keys."""

from lentilrill.store._contract import (
    Compare,
    DeleteRange,
    HostInfo,
    HostKind,
    HostList,
    HostListing,
    HostState,
    Item,
    KeyValue,
    Priority,
    Put,
    RangeAnswer,
    TxnAnswer,
    WatchBatch,
    WatchStream,
)
from lentilrill.store._etcd import MAX_VALUE_BYTES, EtcdKeyValue
from lentilrill.store._fenced import FencedRecord, WriteResult
from lentilrill.store._follow import Follower
from lentilrill.store._guard import CallBudget, CallGuard, Effect
from lentilrill.store._hostlist import HttpHostList
from lentilrill.store._mirror import Mirror
from lentilrill.store._transport import DECODE_ERRORS, Transport

__all__ = [
    "DECODE_ERRORS",
    "MAX_VALUE_BYTES",
    "CallBudget",
    "CallGuard",
    "Compare",
    "DeleteRange",
    "Effect",
    "EtcdKeyValue",
    "FencedRecord",
    "Follower",
    "HostInfo",
    "HostKind",
    "HostList",
    "HostListing",
    "HostState",
    "HttpHostList",
    "Item",
    "KeyValue",
    "Mirror",
    "Priority",
    "Put",
    "RangeAnswer",
    "Transport",
    "TxnAnswer",
    "WatchBatch",
    "WatchStream",
    "WriteResult",
]
