"""Routing of jobs to hosts: schedulers, queues, grants, retry limits and ejection of hosts."""

from lentilrill.routing._client import SlotClient
from lentilrill.routing._contract import Decline, Job, Slot, Slots, SlotTarget
from lentilrill.routing._ledger import SendLedger
from lentilrill.routing._limits import RetryBudget, TokenBucket
from lentilrill.routing._routing import Routing
from lentilrill.routing._scheduler import PoolScheduler
from lentilrill.routing._schedulers import LocalSchedulers
from lentilrill.routing._withdrawals import WithdrawalAcknowledger

__all__ = [
    "Decline",
    "Job",
    "LocalSchedulers",
    "PoolScheduler",
    "RetryBudget",
    "Routing",
    "SendLedger",
    "Slot",
    "SlotClient",
    "SlotTarget",
    "Slots",
    "TokenBucket",
    "WithdrawalAcknowledger",
]
