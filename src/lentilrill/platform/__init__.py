"""The platform's key-value service and host list, and this process's copy of the state keys."""

from lentilrill.platform._contract import (
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
)
from lentilrill.platform._mirror import Mirror

__all__ = [
    "Compare",
    "DeleteRange",
    "HostInfo",
    "HostKind",
    "HostList",
    "HostListing",
    "HostState",
    "Item",
    "KeyValue",
    "Mirror",
    "Priority",
    "Put",
    "RangeAnswer",
    "TxnAnswer",
    "WatchBatch",
]
