"""The platform's key-value service and host list, and this process's copy of the state keys."""

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
from lentilrill.store._guard import CallBudget
from lentilrill.store._hostlist import HttpHostList
from lentilrill.store._mirror import Mirror

__all__ = [
    "MAX_VALUE_BYTES",
    "CallBudget",
    "Compare",
    "DeleteRange",
    "EtcdKeyValue",
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
    "TxnAnswer",
    "WatchBatch",
    "WatchStream",
]
