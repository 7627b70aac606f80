"""Pools and their hosts: records, assignment, availability budgets, withdrawals and waves."""

from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord, pool_key
from lentilrill.fleet._report import FleetReport, PoolReport, StopReport, StopState, WaveReport
from lentilrill.fleet._task import FleetTask
from lentilrill.fleet._view import DOCUMENT_KEY, FleetView
from lentilrill.fleet._waves import StopDelay

__all__ = [
    "DOCUMENT_KEY",
    "FleetReport",
    "FleetTask",
    "FleetView",
    "HostEntry",
    "HostPhase",
    "PoolRecord",
    "PoolReport",
    "StopDelay",
    "StopReport",
    "StopState",
    "WaveReport",
    "pool_key",
]
