"""Waves of upkeep: hosts are emptied, go down, and come back, a few at a time."""

from lentilrill.upkeep._contract import HostCalls, HostOrder, HostRow, HostState
from lentilrill.upkeep._waves import FLEET, WaveRunner

__all__ = ["FLEET", "HostCalls", "HostOrder", "HostRow", "HostState", "WaveRunner"]
