"""Pools and their hosts: records, assignment, availability budgets, withdrawals and waves."""

from lentilrill.fleet._records import HostEntry, HostPhase, PoolRecord, pool_key
from lentilrill.fleet._view import DOCUMENT_KEY, FleetView

__all__ = ["DOCUMENT_KEY", "FleetView", "HostEntry", "HostPhase", "PoolRecord", "pool_key"]
