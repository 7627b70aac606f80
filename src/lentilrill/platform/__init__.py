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
    WatchStream,
)
from lentilrill.platform._etcd import MAX_VALUE_BYTES, EtcdKeyValue
from lentilrill.platform._guard import CallBudget
from lentilrill.platform._hostlist import HttpHostList
from lentilrill.platform._mirror import Mirror

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
